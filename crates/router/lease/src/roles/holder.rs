//! The announcements of a lease holder. Each contains its token, and is sent only while it has the lease.

use super::actions::{LeaseAction, RoleActions};
use super::candidates::{MAX_CANDIDATES, allocator_candidates, members_in_zone};
use super::{Beacon, SingletonRoles};
use crate::clock_stamp::ClockStamp;
use crate::fencing_token::FencingToken;
use crate::message::Message;
use crate::rendezvous;
use crate::role::Role;
use woadreach_membership::{MemberId, View};

/// Interval between two announcements of a holder, which show that it is alive, in seconds.
const ANNOUNCEMENT_INTERVAL_S: f64 = 0.5;

impl SingletonRoles {
    /// Sends endpoint updates and beacons for the roles of which this member is the holder.
    pub(super) fn announce(&mut self, now_s: f64, view: &View, actions: &mut RoleActions) {
        let is_due = now_s >= self.last_announcement_s + ANNOUNCEMENT_INTERVAL_S;
        if is_due {
            self.last_announcement_s = now_s;
        }
        let watch = Role::EndpointWatch(self.member.zone);
        if let Some(token) = self.leases.token(now_s, watch) {
            self.announce_endpoint_updates(now_s, is_due, token, view, actions);
        } else {
            self.endpoint_updates.clear_outgoing();
        }
        if !is_due {
            return;
        }
        for bucket in 0..self.bucket_count {
            let allocator = Role::QuotaAllocator(bucket);
            if let Some(token) = self.leases.token(now_s, allocator) {
                self.announce_allocator(now_s, bucket, token, view, actions);
            }
        }
    }

    /// Sends due endpoint updates to all members of the zone. An announcement without updates is sent to the other
    /// candidates only, as only they need to know that the holder is alive.
    fn announce_endpoint_updates(
        &mut self,
        now_s: f64,
        announcement_is_due: bool,
        token: FencingToken,
        view: &View,
        actions: &mut RoleActions,
    ) {
        let updates = self.endpoint_updates.take_due(now_s);
        if updates.is_empty() && !announcement_is_due {
            return;
        }
        let role = Role::EndpointWatch(self.member.zone);
        let mut receivers = members_in_zone(view, self.member.zone);
        receivers.retain(|member| *member != self.member.id);
        if updates.is_empty() {
            receivers = rendezvous::select(role, receivers, MAX_CANDIDATES);
        }
        let message = Message::EndpointUpdates {
            role,
            token,
            updates,
        };
        actions.send_to_all(receivers, &message);
        actions.lease_actions.push(LeaseAction {
            role,
            epoch: token.epoch,
        });
    }

    /// Sends the beacon of a quota allocator to the other candidates. All other members receive it by gossip.
    fn announce_allocator(
        &mut self,
        now_s: f64,
        bucket: u8,
        token: FencingToken,
        view: &View,
        actions: &mut RoleActions,
    ) {
        let role = Role::QuotaAllocator(bucket);
        let sent_at = ClockStamp::at(now_s);
        let message = Message::Beacon {
            role,
            token,
            sent_at,
        };
        let mut receivers: Vec<MemberId> = allocator_candidates(view, role);
        receivers.retain(|member| *member != self.member.id);
        actions.send_to_all(receivers, &message);
        actions.lease_actions.push(LeaseAction {
            role,
            epoch: token.epoch,
        });
        let beacon = Beacon {
            token,
            sent_at,
            received_at_s: now_s,
        };
        self.beacons.insert(bucket, beacon);
        if let Some(allocator) = self.allocators.get_mut(&bucket) {
            allocator.remove_expired(now_s);
        }
    }
}
