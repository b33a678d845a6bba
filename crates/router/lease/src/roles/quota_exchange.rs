//! Reports of demand to quota allocators, and their answers.

use super::actions::{LeaseAction, RoleActions};
use super::{Reception, SingletonRoles};
use crate::clock_stamp::{CENTIS_PER_SECOND, ClockStamp};
use crate::fencing_token::FencingToken;
use crate::message::Message;
use crate::quota::{QuotaGrant, ReplicaDemand};
use crate::role::Role;
use woadreach_membership::MemberId;

/// Limits on the number of replicas in one message, so that it fits into a datagram.
const MAX_DEMANDS_PER_MESSAGE: usize = 24;
const MAX_GRANTS_PER_MESSAGE: usize = 25;

/// A member's report, as received by an allocator.
pub(super) struct DemandReport<'a> {
    pub(super) from: MemberId,
    pub(super) bucket: u8,
    pub(super) token: FencingToken,
    pub(super) beacon_sent_at: ClockStamp,
    pub(super) sent_at: ClockStamp,
    pub(super) demands: &'a [ReplicaDemand],
}

impl SingletonRoles {
    /// Sends reports of demand and releases to the allocators, if reports are due. A report to an allocator at this
    /// member is answered locally after all other reports are sent.
    pub(super) fn report_demand(&mut self, now_s: f64, actions: &mut RoleActions) {
        let Some(quota_share) = &mut self.quota_share else {
            return;
        };
        if !quota_share.start_report_if_due(now_s) {
            return;
        }
        let sent_at = ClockStamp::at(now_s);
        let mut reports_to_self = Vec::new();
        for (bucket, beacon) in &self.beacons {
            let beacon_age_s = now_s - beacon.received_at_s;
            let demands = quota_share.take_report(now_s, *bucket, self.bucket_count, beacon_age_s);
            for chunk in demands.chunks(MAX_DEMANDS_PER_MESSAGE) {
                let message = Message::Demands {
                    role: Role::QuotaAllocator(*bucket),
                    token: beacon.token,
                    beacon_sent_at: beacon.sent_at,
                    sent_at,
                    demands: chunk.to_vec(),
                };
                if beacon.token.holder == self.member.id {
                    reports_to_self.push(message);
                } else {
                    actions.send(beacon.token.holder, &message);
                }
            }
        }
        let reception = Reception {
            now_s,
            from: self.member.id,
        };
        for message in reports_to_self {
            self.receive_message(reception, message, actions);
        }
    }

    /// Answers a report with grants, as the allocator of its bucket.
    pub(super) fn answer_report(
        &mut self,
        now_s: f64,
        report: &DemandReport<'_>,
        actions: &mut RoleActions,
    ) {
        let role = Role::QuotaAllocator(report.bucket);
        // A report under another lease of this member is not intended for the current allocator.
        let Some(token) = self
            .leases
            .token(now_s, role)
            .filter(|t| *t == report.token)
        else {
            return;
        };
        let Some(allocator) = self.allocators.get_mut(&report.bucket) else {
            return;
        };
        let beacon_sent_at_s = report.beacon_sent_at.to_seconds(now_s);
        let allocation = allocator.allocate(now_s, report.from, beacon_sent_at_s, report.demands);
        let valid_for_centis =
            ((allocation.valid_until_s - now_s).max(0.0) * CENTIS_PER_SECOND) as u16;
        if allocation.grants.is_empty() || valid_for_centis == 0 {
            return;
        }
        actions.lease_actions.push(LeaseAction {
            role,
            epoch: token.epoch,
        });
        if report.from == self.member.id {
            let valid_until_s = now_s + f64::from(valid_for_centis) / CENTIS_PER_SECOND;
            self.record_grants(now_s, &allocation.grants, valid_until_s);
            return;
        }
        for chunk in allocation.grants.chunks(MAX_GRANTS_PER_MESSAGE) {
            let message = Message::QuotaGrants {
                role,
                token,
                demands_sent_at: report.sent_at,
                valid_for_centis,
                grants: chunk.to_vec(),
            };
            actions.send(report.from, &message);
        }
    }

    /// Records grants to this member that expire at `valid_until_s` by its clock.
    pub(super) fn record_grants(&mut self, now_s: f64, grants: &[QuotaGrant], valid_until_s: f64) {
        if let Some(quota_share) = &mut self.quota_share {
            for grant in grants {
                quota_share.record_grant(now_s, *grant, valid_until_s);
            }
        }
    }
}
