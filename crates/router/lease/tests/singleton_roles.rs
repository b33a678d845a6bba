//! What holders do: a cold replica's shares never add up to more than the whole, whatever is lost or late,
//! and a fact only ever closes.

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use rstest::rstest;
use std::collections::BTreeMap;
use woadreach_lease::{
    Departure, LeaseConfig, LocalDemand, LocalMember, ReplicaKey, RoleActions, SingletonRoles,
};
use woadreach_membership::{MemberId, View};

const WINDOW: f64 = 1.0;

/// Members that all see each other, on a network that loses and delays; some of them want a cold replica.
struct Tier {
    now: f64,
    chance: Pcg64Mcg,
    loss: f64,
    late: f64,
    members: Vec<Option<SingletonRoles>>,
    rates: Vec<f64>,
    flight: BTreeMap<(u64, u64), (usize, usize, Vec<u8>)>,
    n: u64,
    closed: Vec<(usize, ReplicaKey, Departure)>,
    wants: Vec<u32>,
}

const COLD: ReplicaKey = ReplicaKey(7);

fn place(n: usize, members: usize) -> LocalMember {
    let cold = Some((members, WINDOW));
    LocalMember {
        me: MemberId(n as u16),
        zone: 0,
        roster: members,
        cold,
    }
}

impl Tier {
    fn new(members: usize, seed: u64, loss: f64, late: f64) -> Tier {
        let mut chance = Pcg64Mcg::seed_from_u64(seed);
        let rates: Vec<f64> = (0..members)
            .map(|_| 1.0 + 0.01 * (2.0 * chance.random::<f64>() - 1.0))
            .collect();
        let duties = |n| {
            SingletonRoles::new(
                place(n, members),
                LeaseConfig::default(),
                seed * 100 + n as u64,
                500.0,
            )
        };
        Tier {
            now: 0.0,
            chance,
            loss,
            late,
            members: (0..members).map(|n| Some(duties(n))).collect(),
            rates,
            flight: BTreeMap::new(),
            n: 0,
            closed: Vec::new(),
            wants: vec![0; members],
        }
    }

    fn clock(&self, n: usize) -> f64 {
        500.0 + self.now * self.rates[n]
    }

    fn take(&mut self, from: usize, done: RoleActions) {
        self.closed
            .extend(done.closed.iter().map(|(r, what)| (from, *r, *what)));
        for (to, bytes) in done.send {
            self.put(from, usize::from(to.0), bytes);
        }
    }

    fn put(&mut self, from: usize, to: usize, bytes: Vec<u8>) {
        assert!(bytes.len() <= 240, "{} bytes", bytes.len());
        if !self.chance.random_bool(self.loss) {
            let at = self.now + 0.001 + self.late * self.chance.random::<f64>();
            self.n += 1;
            self.flight
                .insert(((at * 1e6) as u64, self.n), (from, to, bytes));
        }
    }

    /// The greatest sum, in even shares of the whole, that is in use within any window.
    fn run(&mut self, until: f64) -> f64 {
        let members = self.members.len();
        let live: BTreeMap<MemberId, u8> = (0..members)
            .filter(|n| self.members[*n].is_some())
            .map(|n| (MemberId(n as u16), 0))
            .collect();
        let view = View {
            live,
            roster: members,
            cut_off: false,
            version: 1,
        };
        let mut most = 0.0f64;
        // What each may use, at its most within the last window.
        let mut used: Vec<Vec<(f64, f64)>> = vec![Vec::new(); members];
        while self.now < until {
            self.now += 0.02;
            while let Some(entry) = self
                .flight
                .first_entry()
                .filter(|e| e.key().0 as f64 / 1e6 <= self.now)
            {
                let (from, to, bytes) = entry.remove();
                let clock = self.clock(to);
                if let Some(done) = self.members[to]
                    .as_mut()
                    .map(|m| m.heard(clock, MemberId(from as u16), &bytes))
                {
                    self.take(to, done);
                }
            }
            for (n, used) in used.iter_mut().enumerate() {
                let (clock, wants) = (self.clock(n), self.wants[n]);
                let Some(m) = &mut self.members[n] else {
                    continue;
                };
                let done = m.look(
                    clock,
                    &view,
                    &[LocalDemand {
                        replica: COLD,
                        wants,
                        sent: wants > 0,
                    }],
                );
                let rides = m.riders(clock);
                // A member's word on its own: it sends only while it wants to.
                let times = if wants > 0 { m.times(clock, COLD) } else { 0.0 };
                used.push((self.now, times));
                used.retain(|u| u.0 > self.now - WINDOW);
                self.take(n, done);
                if !rides.is_empty() {
                    let to = self.chance.random_range(0..members);
                    self.put(n, to, rides);
                }
            }
            let sum: f64 = used
                .iter()
                .map(|u| u.iter().map(|x| x.1).fold(0.0, f64::max))
                .sum();
            most = most.max(sum);
        }
        most
    }
}

/// One of ten wants a cold replica, and comes to have most of it; the sum stays within the whole throughout,
/// also as others begin to want it, wardens die and words are lost.
#[rstest]
fn shares_never_add_up_to_more_than_the_whole(
    #[values(0.0, 0.3)] loss: f64,
    #[values(0.01, 0.4)] late: f64,
) {
    let mut best = 0.0f64;
    for seed in 0..12 {
        let mut t = Tier::new(10, seed, loss, late);
        t.wants[3] = 5;
        let mut most = t.run(20.0);
        let clock = t.clock(3);
        best = best.max(t.members[3].as_ref().map_or(0.0, |m| m.times(clock, COLD)));
        for n in [0, 5, 8] {
            most = most.max(t.run(t.now + 1.7));
            t.wants[n] = 3;
        }
        most = most.max(t.run(t.now + 4.0));
        // Whoever holds it dies, and a new one takes it up.
        let clocks: Vec<f64> = (0..10).map(|n| t.clock(n)).collect();
        let holds = |n: &usize| {
            t.members[*n]
                .as_ref()
                .is_some_and(|m| !m.leases.held(clocks[*n]).is_empty())
        };
        if let Some(holder) = (0..10).find(holds) {
            t.members[holder] = None;
        }
        most = most.max(t.run(t.now + 14.0));
        assert!(
            most <= 10.0 + 1e-6,
            "seed {seed}: {most} even shares of 10 in use within a window"
        );
    }
    assert!(
        best > 5.0 || late > 0.1,
        "it came to have {best} even shares of 10"
    );
}

#[test]
fn a_holder_tells_what_drains_and_goes_and_nobody_else_does() {
    let mut t = Tier::new(5, 1, 0.1, 0.02);
    t.run(8.0);
    let (gone, draining) = (ReplicaKey(21), ReplicaKey(22));
    for n in 0..5 {
        // Its own list tells each of them that this one drains; only one has been told of the other.
        let clock = t.clock(n);
        if let Some(m) = &mut t.members[n] {
            m.listed(clock, draining, Some(Departure::Draining));
        }
    }
    let clocks: Vec<f64> = (0..5).map(|n| t.clock(n)).collect();
    let list = woadreach_lease::Role::EndpointWatch(0);
    let holds = |n: &usize| {
        t.members[*n]
            .as_ref()
            .is_some_and(|m| m.leases.holds(clocks[*n], list).is_some())
    };
    let holder = (0..5).find(holds).expect("somebody holds it");
    let clock = t.clock(holder);
    t.members[holder]
        .as_mut()
        .expect("it lives")
        .listed(clock, gone, Some(Departure::Departed));
    t.run(t.now + 2.0);
    let told: Vec<usize> = t
        .closed
        .iter()
        .filter(|c| c.1 == gone)
        .map(|c| c.0)
        .collect();
    assert_eq!(told.len(), 4, "{:?}", t.closed);
    assert!(
        t.closed
            .iter()
            .all(|c| c.0 != holder && (c.1 != gone || c.2 == Departure::Departed)),
        "{:?}",
        t.closed
    );
}

/// Bad input costs a count, and nothing else.
#[rstest]
#[case::garbled(&[0x07, 0xff, 0xff, 0xff, 0xff])]
#[case::too_long(&[0x00; 300])]
fn what_cannot_be_read_is_counted(#[case] bytes: &[u8]) {
    let mut duties = SingletonRoles::new(place(0, 3), LeaseConfig::default(), 1, 0.0);
    let done = duties.heard(1.0, MemberId(1), bytes);
    assert!(done.send.is_empty() && done.closed.is_empty(), "{done:?}");
    assert_eq!(duties.refused, 1);
}
