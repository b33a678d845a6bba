//! A member's own share of each warming replica's quota.

use super::FULL_QUOTA;
use super::config::QuotaConfig;
use super::demand::{LocalDemand, QuotaGrant, ReplicaDemand};
use crate::replica_key::ReplicaKey;
use std::collections::BTreeMap;

/// Limit on the replicas of one report. They are taken in the order of their keys, from the one after the last that the
/// report before had: each has its turn, also where idle replicas, of which every report may tell, are more than this.
const MAX_DEMANDS_PER_REPORT: usize = 32;

/// A member's share of one replica.
#[derive(Clone, Debug, Default)]
struct ReplicaShare {
    /// Until when the even share is released.
    released_until_s: f64,
    /// The latest grant, in 65,535ths of the quota.
    granted_fraction: u16,
    /// When the latest grant expires.
    granted_until_s: f64,
    /// Parts demanded since the last report.
    unreported_parts: u32,
    /// When anything was last demanded or sent.
    last_active_s: f64,
}

/// A member's own share of the quota of each warming replica.
#[derive(Clone, Debug)]
pub struct QuotaShare {
    config: QuotaConfig,
    member_count: usize,
    replicas: BTreeMap<ReplicaKey, ReplicaShare>,
    last_report_s: f64,
    /// The last replica of the latest report on each bucket.
    last_reported: BTreeMap<u8, ReplicaKey>,
}

impl QuotaShare {
    /// `member_count` is the number of members among which the quota is split by the settings.
    pub fn new(member_count: usize, config: QuotaConfig) -> QuotaShare {
        QuotaShare {
            config,
            member_count: member_count.max(1),
            replicas: BTreeMap::new(),
            last_report_s: f64::NEG_INFINITY,
            last_reported: BTreeMap::new(),
        }
    }

    /// Records the demand for all warming replicas that the endpoint list names. Other replicas are forgotten, unless
    /// their shares are released.
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

    /// Whether a report to the allocators is due. If so, the next is due an interval later.
    pub fn start_report_if_due(&mut self, now_s: f64) -> bool {
        let is_due = now_s >= self.last_report_s + self.config.report_interval_s;
        if is_due {
            self.last_report_s = now_s;
        }
        is_due
    }

    /// The report to the allocator of a bucket whose latest beacon is `beacon_age_s` seconds old. It is empty if the
    /// beacon has expired. Releases the shares of idle replicas, and counts demands as reported.
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
            // Only a member that has sent nothing for a window releases its share: otherwise another could use the
            // share within the same window.
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

    /// The replicas of a bucket, from the one after the last that was reported.
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

    /// Records a grant that is valid until `until_s` by this member's clock, counted from when it reported its demand.
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

    /// Whether it has no warming replica in its state table.
    pub fn is_empty(&self) -> bool {
        self.replicas.is_empty()
    }

    /// How many times its even share this member may send to the replica. It is 1 where nothing was released or
    /// granted.
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
