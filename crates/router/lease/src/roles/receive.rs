//! Handling of messages from other members.

use super::actions::RoleActions;
use super::quota_exchange::DemandReport;
use super::{Beacon, Reception, SingletonRoles};
use crate::clock_stamp::{CENTIS_PER_SECOND, ClockStamp};
use crate::endpoint_update::EndpointUpdate;
use crate::fencing_token::FencingToken;
use crate::message::{MAX_MESSAGES, Message, decode_messages};
use crate::role::Role;
use woadreach_membership::MemberId;

impl SingletonRoles {
    /// Handles a payload from another member. A payload that can't be decoded is counted and dropped. Messages under an
    /// older lease than the latest known one are rejected.
    pub fn receive(&mut self, now_s: f64, from: MemberId, bytes: &[u8]) -> RoleActions {
        let mut actions = RoleActions::default();
        let Some(messages) = decode_messages(bytes, self.member.roster_size) else {
            self.rejected += 1;
            return actions;
        };
        debug_assert!(messages.len() <= MAX_MESSAGES);
        for message in messages {
            self.receive_message(Reception { now_s, from }, message, &mut actions);
        }
        actions
    }

    pub(super) fn receive_message(
        &mut self,
        reception: Reception,
        message: Message,
        actions: &mut RoleActions,
    ) {
        match message {
            Message::Request { .. }
            | Message::Granted { .. }
            | Message::Denied { .. }
            | Message::Release { .. } => {
                let Reception { now_s, from } = reception;
                let lease_actions = self.leases.receive(now_s, from, &message);
                self.execute(now_s, lease_actions, actions);
            }
            Message::EndpointUpdates {
                role,
                token,
                updates,
            } => self.receive_endpoint_updates(reception, role, token, updates, actions),
            other => self.receive_allocator_message(reception, other, actions),
        }
    }

    /// Handles a message from or to a quota allocator.
    fn receive_allocator_message(
        &mut self,
        Reception { now_s, from }: Reception,
        message: Message,
        actions: &mut RoleActions,
    ) {
        match message {
            Message::Beacon {
                role: Role::QuotaAllocator(bucket),
                token,
                sent_at,
            } if bucket < self.bucket_count => {
                self.receive_beacon(now_s, bucket, token, sent_at);
            }
            Message::Demands {
                role: Role::QuotaAllocator(bucket),
                token,
                beacon_sent_at,
                sent_at,
                demands,
            } => {
                let report = DemandReport {
                    from,
                    bucket,
                    token,
                    beacon_sent_at,
                    sent_at,
                    demands: &demands,
                };
                self.answer_report(now_s, &report, actions);
            }
            Message::QuotaGrants {
                role: role @ Role::QuotaAllocator(_),
                token,
                demands_sent_at,
                valid_for_centis,
                grants,
            } => {
                if token.holder == from && self.leases.accept_token(now_s, role, token) {
                    let valid_for_s = f64::from(valid_for_centis) / CENTIS_PER_SECOND;
                    let valid_until_s = demands_sent_at.to_seconds(now_s) + valid_for_s;
                    self.record_grants(now_s, &grants, valid_until_s);
                }
            }
            _ => self.rejected += 1,
        }
    }

    /// Handles updates from the holder of this zone's endpoint watch. Updates from other members are rejected.
    fn receive_endpoint_updates(
        &mut self,
        Reception { now_s, from }: Reception,
        role: Role,
        token: FencingToken,
        updates: Vec<EndpointUpdate>,
        actions: &mut RoleActions,
    ) {
        if token.holder != from || role != Role::EndpointWatch(self.member.zone) {
            self.rejected += 1;
        } else if self.leases.accept_token(now_s, role, token) {
            let new_updates = updates
                .into_iter()
                .filter(|update| self.endpoint_updates.receive(now_s, *update));
            actions.closed_replicas.extend(new_updates);
        }
    }

    /// Handles a beacon that was sent by its allocator or forwarded by any member. A beacon that is already known is
    /// ignored and doesn't count as a stale action.
    fn receive_beacon(&mut self, now_s: f64, bucket: u8, token: FencingToken, sent_at: ClockStamp) {
        let is_known = self
            .beacons
            .get(&bucket)
            .is_some_and(|known| known.token == token && known.sent_at.is_at_or_after(sent_at));
        if token.holder == self.member.id || is_known {
            return;
        }
        let role = Role::QuotaAllocator(bucket);
        if self.leases.accept_token(now_s, role, token) {
            let beacon = Beacon {
                token,
                sent_at,
                received_at_s: now_s,
            };
            self.beacons.insert(bucket, beacon);
        }
    }
}
