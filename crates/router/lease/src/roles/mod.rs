//! All singleton roles of one co-ordinator: their leases, what their holders do, and what other members make of it.
//!
//! - `candidates.rs`: which members are candidates for which role.
//! - `holder.rs`: what a holder announces.
//! - `quota_exchange.rs`: reports of demand to quota allocators, and their grants.
//! - `receive.rs`: messages of other members.
//!
//! Replicas are named by their [`ReplicaKey`] only.

mod actions;
mod candidates;
mod holder;
mod quota_exchange;
mod receive;

pub use actions::{LeaseAction, OutgoingPayload, RoleActions};

use crate::clock_stamp::ClockStamp;
use crate::endpoint_update::Departure;
use crate::endpoint_updates::EndpointUpdates;
use crate::fencing_token::FencingToken;
use crate::leases::{Actions, LeaseConfig, LeaseCounters, LeaseEvent, Leases};
use crate::message::{Message, encode_messages};
use crate::quota::{LocalDemand, QuotaAllocator, QuotaConfig, QuotaShare};
use crate::replica_key::ReplicaKey;
use crate::role::Role;
use std::collections::BTreeMap;
use woadreach_membership::{MemberId, View};

/// Members per quota allocator. It limits the reports that one allocator receives.
const MEMBERS_PER_ALLOCATOR: usize = 64;
/// Limit on the quota allocators of a tier: each costs it some eight datagrams a second.
const MAX_ALLOCATORS: usize = 4;
/// Limit on the bytes that [`SingletonRoles::gossip`] adds to a datagram.
const MAX_GOSSIP_BYTES: usize = 80;

/// How the quota of a warming replica is split by the settings.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SlowStartSplit {
    /// The number of members with an even share each.
    pub member_count: usize,
    /// Window over which the slow-start rule counts, in seconds.
    pub window_s: f64,
}

/// What this co-ordinator is by its settings.
#[derive(Clone, Debug)]
pub struct LocalMember {
    /// Its position in the roster.
    pub id: MemberId,
    /// Its zone.
    pub zone: u8,
    /// The number of members in the roster, the same at all of them.
    pub roster_size: usize,
    /// The split of warming replicas' quota, if it is to be allocated.
    pub slow_start: Option<SlowStartSplit>,
}

/// The latest beacon of a quota allocator.
#[derive(Clone, Copy, Debug)]
struct Beacon {
    token: FencingToken,
    sent_at: ClockStamp,
    /// When it was received first, by this member's clock.
    received_at_s: f64,
}

/// When a message was received, by this member's clock, and from whom.
#[derive(Clone, Copy, Debug)]
struct Reception {
    now_s: f64,
    from: MemberId,
}

/// All singleton roles of one co-ordinator.
///
/// The driver calls [`update`](Self::update) five to ten times a second, [`tick`](Self::tick) when
/// [`next_due_s`](Self::next_due_s) says so, [`receive`](Self::receive) for each payload, and adds
/// [`gossip`](Self::gossip) to datagrams that it sends anyway. It executes the [`RoleActions`] that they return.
pub struct SingletonRoles {
    member: LocalMember,
    /// Quota allocators in the tier; each has a bucket of the replicas.
    bucket_count: u8,
    leases: Leases,
    endpoint_updates: EndpointUpdates,
    /// `None` where quota is not allocated.
    quota_share: Option<QuotaShare>,
    /// The allocators of buckets whose leases this member holds.
    allocators: BTreeMap<u8, QuotaAllocator>,
    /// The latest beacon of each bucket's allocator.
    beacons: BTreeMap<u8, Beacon>,
    last_announcement_s: f64,
    /// Payloads and messages, see [`SingletonRoles::rejected`].
    rejected: u64,
}

fn quota_config(split: SlowStartSplit) -> QuotaConfig {
    QuotaConfig {
        window_s: split.window_s,
        ..QuotaConfig::default()
    }
}

impl SingletonRoles {
    /// The roles of a co-ordinator that starts at `now_s`.
    pub fn new(member: LocalMember, config: LeaseConfig, seed: u64, now_s: f64) -> SingletonRoles {
        let bucket_count = member
            .roster_size
            .div_ceil(MEMBERS_PER_ALLOCATOR)
            .clamp(1, MAX_ALLOCATORS) as u8;
        SingletonRoles {
            bucket_count,
            leases: Leases::new(member.id, member.roster_size, config, seed, now_s),
            endpoint_updates: EndpointUpdates::default(),
            quota_share: member
                .slow_start
                .map(|split| QuotaShare::new(split.member_count, quota_config(split))),
            allocators: BTreeMap::new(),
            beacons: BTreeMap::new(),
            last_announcement_s: f64::NEG_INFINITY,
            rejected: 0,
            member,
        }
    }

    /// The leases of this member.
    pub fn leases(&self) -> &Leases {
        &self.leases
    }

    /// Counters of its leases.
    pub fn counters(&self) -> &LeaseCounters {
        self.leases.counters()
    }

    /// Payloads that could not be decoded, and messages that were not valid from their sender.
    pub fn rejected(&self) -> u64 {
        self.rejected
    }

    /// How many replicas were closed before this member's own endpoint list reported the change.
    pub fn updates_ahead_of_list(&self) -> u64 {
        self.endpoint_updates.ahead_of_list
    }

    /// This member's own endpoint list has reported a replica; `None`: it serves.
    pub fn record_endpoint_state(
        &mut self,
        now_s: f64,
        replica: ReplicaKey,
        departure: Option<Departure>,
    ) {
        self.endpoint_updates
            .record_endpoint_state(now_s, replica, departure);
    }

    /// How many times its even share this member may send to a warming replica; 1 where nothing is allocated.
    pub fn multiple_of_even_share(&self, now_s: f64, replica: ReplicaKey) -> f64 {
        self.quota_share
            .as_ref()
            .map_or(1.0, |share| share.multiple_of_even_share(now_s, replica))
    }

    /// Does what is due, with the current members and the demand for all warming replicas. To be called five to ten
    /// times a second.
    pub fn update(&mut self, now_s: f64, view: &View, demands: &[LocalDemand]) -> RoleActions {
        let mut actions = RoleActions::default();
        let lease_actions = self.leases.set_candidates(now_s, &self.candidates(view));
        self.execute(now_s, lease_actions, &mut actions);
        if let Some(quota_share) = &mut self.quota_share {
            quota_share.record_demand(now_s, demands);
        }
        self.announce(now_s, view, &mut actions);
        self.report_demand(now_s, &mut actions);
        actions.expired_closures = self.endpoint_updates.take_expired(now_s);
        actions
    }

    /// When [`SingletonRoles::tick`] is due.
    pub fn next_due_s(&self) -> f64 {
        self.leases.next_due_s()
    }

    /// Renews leases and sends requests again.
    pub fn tick(&mut self, now_s: f64) -> RoleActions {
        let mut actions = RoleActions::default();
        let lease_actions = self.leases.tick(now_s);
        self.execute(now_s, lease_actions, &mut actions);
        actions
    }

    /// Releases all leases before the co-ordinator ends.
    pub fn leave(&mut self, now_s: f64) -> RoleActions {
        let mut actions = RoleActions::default();
        let lease_actions = self.leases.set_candidates(now_s, &BTreeMap::new());
        self.execute(now_s, lease_actions, &mut actions);
        actions
    }

    /// The payload to piggyback on other datagrams: the latest beacons, so that they reach all members within a few
    /// rounds. Empty if there are none, or if this member has no use for them.
    pub fn gossip(&self, now_s: f64) -> Vec<u8> {
        let has_no_demand = self.quota_share.as_ref().is_none_or(QuotaShare::is_empty);
        if has_no_demand && self.allocators.is_empty() {
            return Vec::new();
        }
        let timeout_s = QuotaConfig::default().beacon_timeout_s;
        let beacons: Vec<Message> = self
            .beacons
            .iter()
            .filter(|(_, beacon)| now_s - beacon.received_at_s < timeout_s)
            .map(|(bucket, beacon)| Message::Beacon {
                role: Role::QuotaAllocator(*bucket),
                token: beacon.token,
                sent_at: beacon.sent_at,
            })
            .collect();
        let bytes = encode_messages(&beacons);
        if bytes.len() > MAX_GOSSIP_BYTES {
            Vec::new()
        } else {
            bytes
        }
    }

    /// Executes what the leases ask for: starts and ends allocators, and passes on messages and events.
    fn execute(&mut self, now_s: f64, lease_actions: Actions, actions: &mut RoleActions) {
        for event in &lease_actions.events {
            match *event {
                LeaseEvent::Acquired {
                    role: Role::QuotaAllocator(bucket),
                    ..
                } => self.start_allocator(now_s, bucket),
                LeaseEvent::Lost {
                    role: Role::QuotaAllocator(bucket),
                    ..
                } => {
                    self.allocators.remove(&bucket);
                    self.beacons.remove(&bucket);
                }
                _ => {}
            }
        }
        actions.events.extend(lease_actions.events);
        for outgoing in lease_actions.messages {
            actions.send(outgoing.to, &outgoing.message);
        }
    }

    fn start_allocator(&mut self, now_s: f64, bucket: u8) {
        if let Some(split) = self.member.slow_start {
            let allocator = QuotaAllocator::new(split.member_count, quota_config(split), now_s);
            self.allocators.insert(bucket, allocator);
        }
    }
}
