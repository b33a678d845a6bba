//! Actions of role holders on a simulated network. The shares of a warming replica in use must never exceed its quota,
//! even if messages are lost or delayed, and endpoint updates must only close replicas.

#[path = "../../membership/tests/common/arrival.rs"]
mod arrival;

use arrival::{Arrival, take_arrived};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use rstest::rstest;
use std::collections::BTreeMap;
use woadreach_lease::{
    Departure, LeaseConfig, LocalDemand, LocalMember, ReplicaKey, Role, RoleActions,
    SingletonRoles, SlowStartSplit,
};
use woadreach_membership::{MemberId, View};

const WINDOW: f64 = 1.0;

/// A datagram in flight.
struct Datagram {
    from: usize,
    to: usize,
    bytes: Vec<u8>,
}

/// A replica that a member has closed.
#[derive(Debug)]
struct ClosedReplica {
    member: usize,
    replica: ReplicaKey,
    departure: Departure,
}

/// The quota that a member could use at one time, as a multiple of an even share.
struct UsableQuota {
    at: f64,
    multiple: f64,
}

/// Members that all consider each other alive, on a network that loses and delays datagrams.
struct Tier {
    now: f64,
    random: Pcg64Mcg,
    loss: f64,
    max_latency: f64,
    members: Vec<Option<SingletonRoles>>,
    rates: Vec<f64>,
    in_flight: BTreeMap<Arrival, Datagram>,
    sent: u64,
    closed: Vec<ClosedReplica>,
    /// Parts per update that each member demands of the warming replica.
    demands: Vec<u32>,
}

const WARMING: ReplicaKey = ReplicaKey(7);

fn local_member(n: usize, member_count: usize) -> LocalMember {
    LocalMember {
        id: MemberId(n as u16),
        zone: 0,
        roster_size: member_count,
        slow_start: Some(SlowStartSplit {
            member_count,
            window_s: WINDOW,
        }),
    }
}

impl Tier {
    fn new(members: usize, seed: u64, loss: f64, max_latency: f64) -> Tier {
        let mut random = Pcg64Mcg::seed_from_u64(seed);
        let rates: Vec<f64> = (0..members)
            .map(|_| 1.0 + 0.01 * (2.0 * random.random::<f64>() - 1.0))
            .collect();
        let roles = |n| {
            SingletonRoles::new(
                local_member(n, members),
                LeaseConfig::default(),
                seed * 100 + n as u64,
                500.0,
            )
        };
        Tier {
            now: 0.0,
            random,
            loss,
            max_latency,
            members: (0..members).map(|n| Some(roles(n))).collect(),
            rates,
            in_flight: BTreeMap::new(),
            sent: 0,
            closed: Vec::new(),
            demands: vec![0; members],
        }
    }

    fn clock(&self, n: usize) -> f64 {
        500.0 + self.now * self.rates[n]
    }

    fn execute(&mut self, from: usize, actions: RoleActions) {
        let closed = actions.closed_replicas.iter();
        self.closed.extend(closed.map(|update| ClosedReplica {
            member: from,
            replica: update.replica,
            departure: update.departure,
        }));
        for payload in actions.payloads {
            self.send(from, usize::from(payload.to.0), payload.bytes);
        }
    }

    fn send(&mut self, from: usize, to: usize, bytes: Vec<u8>) {
        assert!(bytes.len() <= 240, "{} bytes", bytes.len());
        if !self.random.random_bool(self.loss) {
            let at = self.now + 0.001 + self.max_latency * self.random.random::<f64>();
            self.sent += 1;
            let arrival = Arrival::new(at, self.sent);
            self.in_flight.insert(arrival, Datagram { from, to, bytes });
        }
    }

    fn view(&self) -> View {
        let members = self.members.len();
        let live = (0..members)
            .filter(|n| self.members[*n].is_some())
            .map(|n| (MemberId(n as u16), 0))
            .collect();
        View {
            live,
            roster_size: members,
            is_partitioned: false,
            version: 1,
        }
    }

    fn deliver_arrived(&mut self) {
        while let Some(datagram) = take_arrived(&mut self.in_flight, self.now) {
            let Datagram { from, to, bytes } = datagram;
            let clock = self.clock(to);
            if let Some(member) = &mut self.members[to] {
                let actions = member.receive(clock, MemberId(from as u16), &bytes);
                self.execute(to, actions);
            }
        }
    }

    /// Updates a member. Returns the quota that it uses, in even shares; `None` if it has crashed.
    fn update(&mut self, n: usize, view: &View) -> Option<f64> {
        let clock = self.clock(n);
        let parts = self.demands[n];
        let member = self.members[n].as_mut()?;
        let demand = LocalDemand {
            replica: WARMING,
            parts,
            sent_recently: parts > 0,
        };
        let actions = member.update(clock, view, &[demand]);
        let gossip = member.gossip(clock);
        // A member uses its quota only while it has demand.
        let multiple = if parts > 0 {
            member.multiple_of_even_share(clock, WARMING)
        } else {
            0.0
        };
        self.execute(n, actions);
        if !gossip.is_empty() {
            let to = self.random.random_range(0..self.members.len());
            self.send(n, to, gossip);
        }
        Some(multiple)
    }

    /// Runs until this time. Returns the maximum quota that all members together used within any window, in even
    /// shares.
    fn run(&mut self, until: f64) -> f64 {
        let view = self.view();
        let mut max_in_use = 0.0f64;
        // By member, within the latest window.
        let mut usable: Vec<Vec<UsableQuota>> = self.members.iter().map(|_| Vec::new()).collect();
        while self.now < until {
            self.now += 0.02;
            self.deliver_arrived();
            for (n, usable) in usable.iter_mut().enumerate() {
                if let Some(multiple) = self.update(n, &view) {
                    let at = self.now;
                    usable.push(UsableQuota { at, multiple });
                    usable.retain(|sample| sample.at > at - WINDOW);
                }
            }
            let max_of = |samples: &Vec<UsableQuota>| {
                let multiples = samples.iter().map(|sample| sample.multiple);
                multiples.fold(0.0, f64::max)
            };
            let sum: f64 = usable.iter().map(max_of).sum();
            max_in_use = max_in_use.max(sum);
        }
        max_in_use
    }
}

/// Guards against a share that two members use within one window. One of ten members demands a warming replica and is
/// granted most of its quota. Then other members begin to demand it, the allocator crashes, and messages are lost and
/// delayed. The quota in use by all members must never exceed the total.
#[rstest]
fn shares_never_exceed_the_quota(
    #[values(0.0, 0.3)] loss: f64,
    #[values(0.01, 0.4)] max_latency: f64,
) {
    let mut max_multiple = 0.0f64;
    for seed in 0..12 {
        let mut t = Tier::new(10, seed, loss, max_latency);
        t.demands[3] = 5;
        let mut max_in_use = t.run(20.0);
        let clock = t.clock(3);
        max_multiple = max_multiple.max(
            t.members[3]
                .as_ref()
                .map_or(0.0, |m| m.multiple_of_even_share(clock, WARMING)),
        );
        for n in [0, 5, 8] {
            max_in_use = max_in_use.max(t.run(t.now + 1.7));
            t.demands[n] = 3;
        }
        max_in_use = max_in_use.max(t.run(t.now + 4.0));
        // The holder crashes, and another member acquires the lease.
        let clocks: Vec<f64> = (0..10).map(|n| t.clock(n)).collect();
        let holds = |n: &usize| {
            t.members[*n]
                .as_ref()
                .is_some_and(|m| !m.leases().held_roles(clocks[*n]).is_empty())
        };
        if let Some(holder) = (0..10).find(holds) {
            t.members[holder] = None;
        }
        max_in_use = max_in_use.max(t.run(t.now + 14.0));
        assert!(
            max_in_use <= 10.0 + 1e-6,
            "seed {seed}: {max_in_use} even shares of 10 in use within a window"
        );
    }
    assert!(
        max_multiple > 5.0 || max_latency > 0.1,
        "the member was granted at most {max_multiple} even shares of 10"
    );
}

/// Guards against updates from members that are not the holder, and against a departed replica that other members keep
/// open.
#[test]
fn only_the_holder_sends_endpoint_updates() {
    let mut t = Tier::new(5, 1, 0.1, 0.02);
    t.run(8.0);
    let (departed, draining) = (ReplicaKey(21), ReplicaKey(22));
    for n in 0..5 {
        // Each member's own list reports the draining replica; only the holder's reports the departed one.
        let clock = t.clock(n);
        if let Some(m) = &mut t.members[n] {
            m.record_endpoint_state(clock, draining, Some(Departure::Draining));
        }
    }
    let clocks: Vec<f64> = (0..5).map(|n| t.clock(n)).collect();
    let watch = Role::EndpointWatch(0);
    let holds = |n: &usize| {
        t.members[*n]
            .as_ref()
            .is_some_and(|m| m.leases().token(clocks[*n], watch).is_some())
    };
    let holder = (0..5).find(holds).expect("a member has the lease");
    let clock = t.clock(holder);
    t.members[holder]
        .as_mut()
        .expect("the holder is alive")
        .record_endpoint_state(clock, departed, Some(Departure::Departed));
    t.run(t.now + 2.0);
    let closed_at = t.closed.iter().filter(|closed| closed.replica == departed);
    assert_eq!(closed_at.count(), 4, "{:?}", t.closed);
    assert!(
        t.closed.iter().all(|closed| closed.member != holder
            && (closed.replica != departed || closed.departure == Departure::Departed)),
        "{:?}",
        t.closed
    );
}

/// Guards against malformed payloads that cause any action.
#[rstest]
#[case::malformed(&[0x07, 0xff, 0xff, 0xff, 0xff])]
#[case::too_long(&[0x00; 300])]
fn payloads_that_cannot_be_decoded_are_counted(#[case] bytes: &[u8]) {
    let mut roles = SingletonRoles::new(local_member(0, 3), LeaseConfig::default(), 1, 0.0);
    let actions = roles.receive(1.0, MemberId(1), bytes);
    assert!(
        actions.payloads.is_empty() && actions.closed_replicas.is_empty(),
        "{actions:?}"
    );
    assert_eq!(roles.rejected(), 1);
}
