//! The member side of quota allocation.

use super::FULL_QUOTA;
use super::config::QuotaConfig;
use super::demand::{LocalDemand, QuotaGrant, ReplicaDemand};
use crate::replica_key::ReplicaKey;
use std::collections::BTreeMap;

/// Limit on the number of replicas in one report. Reports select replicas round-robin in the order of their keys, so
/// that every replica is reported eventually, even if more replicas than this are idle and thus part of every report.
const MAX_DEMANDS_PER_REPORT: usize = 32;

/// A member's share of one replica.
#[derive(Clone, Debug, Default)]
struct ReplicaShare {
    /// End of the release of the even share.
    released_until_s: f64,
    /// Latest grant, in 65,535ths of the total quota.
    granted_fraction: u16,
    /// Expiry of the latest grant.
    granted_until_s: f64,
    /// Number of parts demanded since the last report.
    unreported_parts: u32,
    /// Time of the latest demand or sent part.
    last_active_s: f64,
}

/// This member's share of the quota of each warming replica.
#[derive(Clone, Debug)]
pub struct QuotaShare {
    config: QuotaConfig,
    member_count: usize,
    replicas: BTreeMap<ReplicaKey, ReplicaShare>,
    last_report_s: f64,
    /// Last replica in the latest report on each bucket.
    last_reported: BTreeMap<u8, ReplicaKey>,
}

impl QuotaShare {
    /// Creates the state without any replicas. `member_count` is the number of members among which the settings split
    /// the quota.
    pub fn new(member_count: usize, config: QuotaConfig) -> QuotaShare {
        QuotaShare {
            config,
            member_count: member_count.max(1),
            replicas: BTreeMap::new(),
            last_report_s: f64::NEG_INFINITY,
            last_reported: BTreeMap::new(),
        }
    }

    /// Records the demand for all warming replicas in the endpoint list. Other replicas are removed, unless their
    /// shares are released.
    pub fn record_demand(&mut self, now_s: f64, demands: &[LocalDemand]) {
        for demand in demands {
            let is_full = self.replicas.len() >= self.config.max_replicas;
            if is_full && !self.replicas.contains_key(&demand.replica) {
                continue;
            }
            let share = self
                .replicas
                .entry(demand.replica)
                .or_insert_with(|| ReplicaShare {
                    last_active_s: now_s,
                    ..ReplicaShare::default()
                });
            share.unreported_parts = share.unreported_parts.saturating_add(demand.parts);
            if demand.parts > 0 || demand.sent_recently {
                share.last_active_s = now_s;
            }
        }
        let is_named = |replica: &ReplicaKey| demands.iter().any(|d| d.replica == *replica);
        self.replicas
            .retain(|replica, share| is_named(replica) || share.released_until_s > now_s);
    }

    /// Returns whether a report to the allocators is due. If so, the next report is due after `report_interval_s`.
    pub fn start_report_if_due(&mut self, now_s: f64) -> bool {
        let is_due = now_s >= self.last_report_s + self.config.report_interval_s;
        if is_due {
            self.last_report_s = now_s;
        }
        is_due
    }

    /// Returns the report to the allocator of a bucket whose latest beacon is `beacon_age_s` seconds old; it is empty
    /// if the beacon has expired. Releases the shares of idle replicas, and resets the demands that are reported.
    pub fn take_report(
        &mut self,
        now_s: f64,
        bucket: u8,
        bucket_count: u8,
        beacon_age_s: f64,
    ) -> Vec<ReplicaDemand> {
        if beacon_age_s > self.config.beacon_timeout_s {
            return Vec::new();
        }
        let window_s = self.config.window_s;
        let released_until_s = now_s + (self.config.release_duration_s + window_s);
        let mut report = Vec::new();
        for replica in self.report_order(bucket, bucket_count) {
            let Some(share) = self.replicas.get_mut(&replica) else {
                continue;
            };
            // A share is released only if nothing was sent for a window. Otherwise another member could use the share
            // within the same window.
            let is_idle = now_s - share.last_active_s > window_s.max(self.config.idle_timeout_s);
            if is_idle {
                share.released_until_s = released_until_s;
            }
            if is_idle || share.unreported_parts > 0 {
                report.push(ReplicaDemand {
                    replica,
                    parts: share.unreported_parts.min(255) as u8,
                });
                share.unreported_parts = 0;
            }
            if report.len() == MAX_DEMANDS_PER_REPORT {
                break;
            }
        }
        if let Some(last) = report.last() {
            self.last_reported.insert(bucket, last.replica);
        }
        report
    }

    /// Returns the replicas of a bucket, starting after the last reported one.
    fn report_order(&self, bucket: u8, bucket_count: u8) -> Vec<ReplicaKey> {
        let in_bucket = |replica: &ReplicaKey| replica.bucket(bucket_count) == bucket;
        let all = self.replicas.keys().copied().filter(in_bucket);
        let Some(last) = self.last_reported.get(&bucket) else {
            return all.collect();
        };
        let (reported, mut order): (Vec<ReplicaKey>, Vec<ReplicaKey>) =
            all.partition(|replica| replica <= last);
        order.extend(reported);
        order
    }

    /// Records a grant that expires at `until_s` by this member's clock. The grant is valid from the time at which this
    /// member reported its demand.
    pub fn record_grant(&mut self, now_s: f64, grant: QuotaGrant, until_s: f64) {
        if until_s <= now_s {
            return;
        }
        let latest = now_s + self.config.release_duration_s;
        if let Some(share) = self.replicas.get_mut(&grant.replica) {
            share.granted_fraction = grant.fraction;
            share.granted_until_s = until_s.min(latest);
        }
    }

    /// Whether there is no warming replica in the state table.
    pub fn is_empty(&self) -> bool {
        self.replicas.is_empty()
    }

    /// Returns the quota that this member may use of a replica, as a multiple of its even share. It is 1 if the share
    /// isn't released and nothing was granted.
    pub fn multiple_of_even_share(&self, now_s: f64, replica: ReplicaKey) -> f64 {
        let Some(share) = self.replicas.get(&replica) else {
            return 1.0;
        };
        let even = if share.released_until_s > now_s {
            0.0
        } else {
            1.0
        };
        let granted = if share.granted_until_s > now_s {
            f64::from(share.granted_fraction) / FULL_QUOTA
        } else {
            0.0
        };
        even + granted * self.member_count as f64
    }
}
