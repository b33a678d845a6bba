//! All singleton roles of one co-ordinator: their leases, the actions of their holders, and how other members handle
//! them.
//!
//! - `candidates.rs`: selection of the candidates for each role.
//! - `holder.rs`: announcements of a holder.
//! - `quota_exchange.rs`: reports of demand to quota allocators, and their grants.
//! - `receive.rs`: messages from other members.
//!
//! Replicas are identified by their [`ReplicaKey`] only.

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

/// Members per quota allocator. This limits the reports that one allocator receives.
const MEMBERS_PER_ALLOCATOR: usize = 64;
/// Limit on the number of quota allocators in a tier. Each of them costs the tier some eight datagrams per second.
const MAX_ALLOCATORS: usize = 4;
/// Limit on the length of the payload of [`SingletonRoles::gossip`], in bytes.
const MAX_GOSSIP_BYTES: usize = 80;

/// The split of a warming replica's quota among members, from the settings.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SlowStartSplit {
    /// Number of members, each of which has an even share.
    pub member_count: usize,
    /// Window of the slow-start rule, in seconds.
    pub window_s: f64,
}

/// The identity of this co-ordinator, from the settings.
#[derive(Clone, Debug)]
pub struct LocalMember {
    /// Position of this co-ordinator in the roster.
    pub id: MemberId,
    /// Zone of this co-ordinator, as a position in the settings' list of zones.
    pub zone: u8,
    /// Number of members in the roster. Must be the same at all members.
    pub roster_size: usize,
    /// Split of the quota of warming replicas; `None` if quota is not allocated.
    pub slow_start: Option<SlowStartSplit>,
}

/// The latest beacon of a quota allocator.
#[derive(Clone, Copy, Debug)]
struct Beacon {
    token: FencingToken,
    sent_at: ClockStamp,
    /// Time of the first receipt, by this member's clock.
    received_at_s: f64,
}

/// The time of receipt of a message, by this member's clock, and its sender.
#[derive(Clone, Copy, Debug)]
struct Reception {
    now_s: f64,
    from: MemberId,
}

/// All singleton roles of one co-ordinator.
///
/// The driver calls [`update`](Self::update) five to ten times per second, [`tick`](Self::tick) at the time of
/// [`next_due_s`](Self::next_due_s), and [`receive`](Self::receive) for each payload. It executes the returned
/// [`RoleActions`], and piggybacks [`gossip`](Self::gossip) on other datagrams.
pub struct SingletonRoles {
    member: LocalMember,
    /// Number of quota allocators in the tier. Each is responsible for one bucket of replicas.
    bucket_count: u8,
    leases: Leases,
    endpoint_updates: EndpointUpdates,
    /// `None` if quota is not allocated.
    quota_share: Option<QuotaShare>,
    /// Allocators that run at this member, by bucket: those whose leases it has.
    allocators: BTreeMap<u8, QuotaAllocator>,
    /// Latest beacon of the allocator of each bucket.
    beacons: BTreeMap<u8, Beacon>,
    last_announcement_s: f64,
    /// Number of payloads and messages; see [`SingletonRoles::rejected`].
    rejected: u64,
}

fn quota_config(split: SlowStartSplit) -> QuotaConfig {
    QuotaConfig {
        window_s: split.window_s,
        ..QuotaConfig::default()
    }
}

impl SingletonRoles {
    /// Creates the roles of a co-ordinator that starts at `now_s`. `seed` determines its random numbers.
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

    /// Returns the leases of this member.
    pub fn leases(&self) -> &Leases {
        &self.leases
    }

    /// Returns the counters of its leases.
    pub fn counters(&self) -> &LeaseCounters {
        self.leases.counters()
    }

    /// Returns the number of payloads that could not be decoded, plus that of messages that were not valid from their
    /// sender.
    pub fn rejected(&self) -> u64 {
        self.rejected
    }

    /// Returns the number of replicas that were closed before this member's own endpoint list contained the change.
    pub fn updates_ahead_of_list(&self) -> u64 {
        self.endpoint_updates.ahead_of_list
    }

    /// Records the state of a replica in this member's own endpoint list. `departure` is `None` while the replica
    /// serves.
    pub fn record_endpoint_state(
        &mut self,
        now_s: f64,
        replica: ReplicaKey,
        departure: Option<Departure>,
    ) {
        self.endpoint_updates
            .record_endpoint_state(now_s, replica, departure);
    }

    /// Returns the quota that this member may use of a warming replica, as a multiple of its even share; 1 if quota is
    /// not allocated.
    pub fn multiple_of_even_share(&self, now_s: f64, replica: ReplicaKey) -> f64 {
        self.quota_share
            .as_ref()
            .map_or(1.0, |share| share.multiple_of_even_share(now_s, replica))
    }

    /// Performs all due work, with the current members and the demand for all warming replicas. Must be called five to
    /// ten times per second.
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

    /// Returns the time at which [`SingletonRoles::tick`] is due.
    pub fn next_due_s(&self) -> f64 {
        self.leases.next_due_s()
    }

    /// Renews leases and retries requests that are due.
    pub fn tick(&mut self, now_s: f64) -> RoleActions {
        let mut actions = RoleActions::default();
        let lease_actions = self.leases.tick(now_s);
        self.execute(now_s, lease_actions, &mut actions);
        actions
    }

    /// Releases all leases. Must be called before the co-ordinator terminates.
    pub fn leave(&mut self, now_s: f64) -> RoleActions {
        let mut actions = RoleActions::default();
        let lease_actions = self.leases.set_candidates(now_s, &BTreeMap::new());
        self.execute(now_s, lease_actions, &mut actions);
        actions
    }

    /// Returns the payload to piggyback on other datagrams: the latest beacons, so that they reach all members within a
    /// few gossip rounds. It is empty if there are no beacons or they exceed the length limit, and if this member
    /// neither has warming replicas nor runs an allocator.
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

    /// Executes the output of the leases: starts and stops allocators, and forwards messages and events.
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
