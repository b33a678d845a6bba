//! The lease holder's table of released and granted shares.

use super::FULL_QUOTA;
use super::config::QuotaConfig;
use super::demand::{QuotaGrant, ReplicaDemand};
use crate::replica_key::ReplicaKey;
use std::collections::BTreeMap;
use woadreach_membership::MemberId;

/// Part of its true length that a duration has at least by a clock of another rate.
const CLOCK_RATE_TOLERANCE: f64 = 0.98;

/// A grant that may still be in use.
#[derive(Clone, Copy, Debug)]
struct ActiveGrant {
    /// In 65,535ths of the replica's complete quota.
    fraction: u16,
    /// When it no longer counts as used. That is a slow-start window after it expires, since the replica counts what
    /// was sent under it for that long.
    counts_until_s: f64,
}

/// Released and granted shares of one replica.
#[derive(Clone, Debug, Default)]
struct ReplicaQuota {
    /// Until when, at the least and by the allocator's clock, each member has released its share.
    released_until_s: BTreeMap<MemberId, f64>,
    /// Each was given out of shares that are released until its `counts_until_s` at the least.
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

    /// The fraction for a member that demands `parts`, from shares released until `counts_until_s` at least. `None` if
    /// nothing can be granted, or less than the member already has.
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
        // First come, first served suffices: a grant is renewed only while there is demand.
        let demanded = even_share.saturating_mul(u16::from(parts));
        let fraction = limit.min(current.max(demanded));
        (fraction > 0).then_some(fraction)
    }
}

/// The times that apply to all demands of one report, by the allocator's clock.
#[derive(Clone, Copy, Debug)]
struct GrantTerms {
    /// Until when the member has released the shares that it reports as released, at the least.
    released_until_s: f64,
    /// When grants to the member expire.
    valid_until_s: f64,
    /// When such grants no longer count as used; see [`ActiveGrant`].
    counts_until_s: f64,
    /// Whether anything may be granted now.
    may_grant: bool,
}

/// The grants that answer one report.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Allocation {
    /// One for each replica of which something is granted.
    pub grants: Vec<QuotaGrant>,
    /// Until when the grants are valid, by the allocator's clock.
    pub valid_until_s: f64,
}

/// The lease holder's table of released and granted shares. It is void once the lease ends. A new allocator starts with
/// an empty table and grants nothing until every earlier allocator's grants have expired.
#[derive(Clone, Debug)]
pub struct QuotaAllocator {
    config: QuotaConfig,
    member_count: usize,
    started_at_s: f64,
    replicas: BTreeMap<ReplicaKey, ReplicaQuota>,
}

impl QuotaAllocator {
    /// An allocator whose lease was acquired at `now_s`. `member_count` is the number of members among which the quota
    /// is split by the settings.
    pub fn new(member_count: usize, config: QuotaConfig, now_s: f64) -> QuotaAllocator {
        QuotaAllocator {
            config,
            member_count: member_count.max(1),
            started_at_s: now_s,
            replicas: BTreeMap::new(),
        }
    }

    /// Records a member's report and answers it with grants.
    ///
    /// `beacon_sent_at_s` is when the beacon was sent that the member had received, by the allocator's clock: what the
    /// member releases, it has released since then at the earliest. A grant ends a window before the release that it
    /// rests on, and counts as used for a window after it ends. So no share is used twice, even if datagrams are late,
    /// lost or duplicated. The cost is that a share is idle for a window between two members that use it.
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

    /// The terms for a member that has received the beacon of `beacon_sent_at_s`.
    fn grant_terms(&self, now_s: f64, beacon_sent_at_s: f64) -> GrantTerms {
        let config = &self.config;
        let released_until_s = beacon_sent_at_s
            + (config.release_duration_s + config.window_s) * CLOCK_RATE_TOLERANCE
            - config.clock_margin_s;
        let valid_until_s = (beacon_sent_at_s + config.release_duration_s * CLOCK_RATE_TOLERANCE
            - config.clock_margin_s)
            .min(now_s + config.grant_duration_s);
        // Until then, grants of an earlier allocator may be in use.
        let starts_granting_at_s = self.started_at_s + config.release_duration_s + config.window_s;
        GrantTerms {
            released_until_s,
            valid_until_s,
            counts_until_s: valid_until_s + config.window_s,
            may_grant: valid_until_s > now_s && now_s >= starts_granting_at_s,
        }
    }

    /// Records a member's release of a replica, or grants what it demands of it as far as it can.
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

    /// Forgets replicas without releases and grants.
    pub fn remove_expired(&mut self, now_s: f64) {
        for quota in self.replicas.values_mut() {
            quota.remove_expired(now_s);
        }
        self.replicas.retain(|_, quota| !quota.is_empty());
    }
}
