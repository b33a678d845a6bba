//! The allocator side of quota allocation, which runs at the lease holder.

use super::FULL_QUOTA;
use super::config::QuotaConfig;
use super::demand::{QuotaGrant, ReplicaDemand};
use crate::replica_key::ReplicaKey;
use std::collections::BTreeMap;
use woadreach_membership::MemberId;

/// Tolerance for clocks of different rates: a duration is at least this fraction of its length by another clock.
const CLOCK_RATE_TOLERANCE: f64 = 0.98;

/// A grant that a member may still use, or has used within the last slow-start window.
#[derive(Clone, Copy, Debug)]
struct ActiveGrant {
    /// Granted quota in 65,535ths of the replica's total quota.
    fraction: u16,
    /// Time from which the grant no longer counts as used. It is one slow-start window after expiry, because requests
    /// sent under the grant count against the replica's quota for that long.
    counts_until_s: f64,
}

/// Released and granted shares of one replica.
#[derive(Clone, Debug, Default)]
struct ReplicaQuota {
    /// Earliest end of each member's release, by the allocator's clock.
    released_until_s: BTreeMap<MemberId, f64>,
    /// Grants by member. Each is backed by shares that are released until its `counts_until_s` or later.
    grants: BTreeMap<MemberId, ActiveGrant>,
}

impl ReplicaQuota {
    fn remove_expired(&mut self, now_s: f64) {
        self.released_until_s.retain(|_, until_s| *until_s > now_s);
        self.grants.retain(|_, grant| grant.counts_until_s > now_s);
    }

    fn is_empty(&self) -> bool {
        self.released_until_s.is_empty() && self.grants.is_empty()
    }

    fn record_release(&mut self, member: MemberId, until_s: f64) {
        let released_until_s = self.released_until_s.entry(member).or_insert(until_s);
        *released_until_s = released_until_s.max(until_s);
    }

    /// Returns the fraction that can be granted to a member that demands `parts`, from shares that are released until
    /// `counts_until_s` or later. Returns `None` if nothing can be granted, or less than the member's active grant.
    fn grantable(
        &self,
        member: MemberId,
        parts: u8,
        even_share: u16,
        counts_until_s: f64,
    ) -> Option<u16> {
        let releases = self.released_until_s.values();
        let usable_releases = releases
            .filter(|until_s| **until_s >= counts_until_s)
            .count();
        let pool = u32::from(even_share) * usable_releases as u32;
        let granted_to_others: u32 = self
            .grants
            .iter()
            .filter(|(other, _)| **other != member)
            .map(|(_, grant)| u32::from(grant.fraction))
            .sum();
        let limit = pool
            .saturating_sub(granted_to_others)
            .min(u32::from(u16::MAX)) as u16;
        let current = self.grants.get(&member).map_or(0, |grant| grant.fraction);
        if limit < current {
            return None;
        }
        // First come, first served is sufficient, as a grant is renewed only while there is demand.
        let demanded = even_share.saturating_mul(u16::from(parts));
        let fraction = limit.min(current.max(demanded));
        (fraction > 0).then_some(fraction)
    }
}

/// The terms for all grants that answer one report. Times are by the allocator's clock.
#[derive(Clone, Copy, Debug)]
struct GrantTerms {
    /// Earliest end of the releases in the report.
    released_until_s: f64,
    /// Expiry of the grants.
    valid_until_s: f64,
    /// Time from which the grants no longer count as used; see [`ActiveGrant`].
    counts_until_s: f64,
    /// Whether grants are permitted now.
    may_grant: bool,
}

/// The grants that answer one report.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Allocation {
    /// One entry for each replica whose quota was granted.
    pub grants: Vec<QuotaGrant>,
    /// Expiry of the grants, by the allocator's clock.
    pub valid_until_s: f64,
}

/// The state of a quota allocator: which shares members have released, and which were granted to others. It must be
/// discarded once the lease ends. A new allocator starts empty, and grants nothing until the grants of all earlier
/// allocators have expired.
#[derive(Clone, Debug)]
pub struct QuotaAllocator {
    config: QuotaConfig,
    member_count: usize,
    started_at_s: f64,
    replicas: BTreeMap<ReplicaKey, ReplicaQuota>,
}

impl QuotaAllocator {
    /// Creates an allocator whose lease was acquired at `now_s`. `member_count` is the number of members among which
    /// the settings split the quota.
    pub fn new(member_count: usize, config: QuotaConfig, now_s: f64) -> QuotaAllocator {
        QuotaAllocator {
            config,
            member_count: member_count.max(1),
            started_at_s: now_s,
            replicas: BTreeMap::new(),
        }
    }

    /// Records a member's report and returns the grants that answer it.
    ///
    /// `beacon_sent_at_s` is the time, by the allocator's clock, at which it sent the latest beacon that the member had
    /// received; the member's releases start no earlier. A grant ends one window before the releases that back it, and
    /// counts as used for one window after its end. So no share is used twice, even if datagrams are delayed, lost or
    /// duplicated. The drawback is that a share is idle for one window when it passes from one member to another.
    pub fn allocate(
        &mut self,
        now_s: f64,
        member: MemberId,
        beacon_sent_at_s: f64,
        demands: &[ReplicaDemand],
    ) -> Allocation {
        let terms = self.grant_terms(now_s, beacon_sent_at_s);
        let grants = demands
            .iter()
            .filter_map(|demand| self.answer_demand(now_s, member, demand, &terms))
            .collect();
        Allocation {
            grants,
            valid_until_s: terms.valid_until_s,
        }
    }

    /// Returns the terms for a member whose latest beacon was sent at `beacon_sent_at_s`.
    fn grant_terms(&self, now_s: f64, beacon_sent_at_s: f64) -> GrantTerms {
        let config = &self.config;
        let released_until_s = beacon_sent_at_s
            + (config.release_duration_s + config.window_s) * CLOCK_RATE_TOLERANCE
            - config.clock_margin_s;
        let valid_until_s = (beacon_sent_at_s + config.release_duration_s * CLOCK_RATE_TOLERANCE
            - config.clock_margin_s)
            .min(now_s + config.grant_duration_s);
        // Grants of an earlier allocator may be in use until then.
        let starts_granting_at_s = self.started_at_s + config.release_duration_s + config.window_s;
        GrantTerms {
            released_until_s,
            valid_until_s,
            counts_until_s: valid_until_s + config.window_s,
            may_grant: valid_until_s > now_s && now_s >= starts_granting_at_s,
        }
    }

    /// Records a member's release of its share in a replica, or grants as much of its demand as possible.
    fn answer_demand(
        &mut self,
        now_s: f64,
        member: MemberId,
        demand: &ReplicaDemand,
        terms: &GrantTerms,
    ) -> Option<QuotaGrant> {
        let is_full = self.replicas.len() >= self.config.max_replicas;
        if is_full && !self.replicas.contains_key(&demand.replica) {
            return None;
        }
        let even_share = (FULL_QUOTA / self.member_count as f64) as u16;
        let quota = self.replicas.entry(demand.replica).or_default();
        quota.remove_expired(now_s);
        if demand.parts == 0 {
            quota.record_release(member, terms.released_until_s);
            return None;
        }
        if !terms.may_grant {
            return None;
        }
        let counts_until_s = terms.counts_until_s;
        let fraction = quota.grantable(member, demand.parts, even_share, counts_until_s)?;
        let grant = ActiveGrant {
            fraction,
            counts_until_s,
        };
        quota.grants.insert(member, grant);
        Some(QuotaGrant {
            replica: demand.replica,
            fraction,
        })
    }

    /// Removes expired releases and grants, and replicas that have neither.
    pub fn remove_expired(&mut self, now_s: f64) {
        for quota in self.replicas.values_mut() {
            quota.remove_expired(now_s);
        }
        self.replicas.retain(|_, quota| !quota.is_empty());
    }
}
