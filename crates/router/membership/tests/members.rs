//! Members on a lossy network in simulated time. Each run is determined by its seed.

#[path = "common/arrival.rs"]
mod arrival;

use arrival::{Arrival, take_arrived};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use rstest::rstest;
use std::collections::{BTreeMap, BTreeSet};
use woadreach_membership::datagram::{
    Body, MAX_BYTES, Rejection, VERSION, capacity_beside, decode, encode,
};
use woadreach_membership::{
    Actions, Member, MemberId, Members, MembershipConfig, MembershipEvent, OutgoingMessage,
};

/// A datagram in flight.
struct Datagram {
    to: MemberId,
    bytes: Vec<u8>,
}

/// An event that some member has reported.
struct RecordedEvent {
    at: f64,
    event: MembershipEvent,
}

struct Net {
    now: f64,
    random: Pcg64Mcg,
    loss: f64,
    members: BTreeMap<MemberId, Members>,
    /// Stalled members: what is sent to them is lost.
    stalled: BTreeSet<MemberId>,
    /// The side of a partition on which each member is.
    side: BTreeMap<MemberId, u8>,
    in_flight: BTreeMap<Arrival, Datagram>,
    sent: u64,
    bytes: u64,
    events: Vec<RecordedEvent>,
}

fn id(n: usize) -> MemberId {
    MemberId(n as u16)
}

fn member(n: usize, roster: usize, now: f64) -> Members {
    let me = Member {
        id: id(n),
        zone: (n % 3) as u8,
        generation: 0,
    };
    Members::new(me, roster, MembershipConfig::default(), 7 + n as u64, now)
}

impl Net {
    fn new(n: usize, loss: f64, seed: u64) -> Net {
        Net {
            now: 0.0,
            random: Pcg64Mcg::seed_from_u64(seed),
            loss,
            members: (0..n).map(|i| (id(i), member(i, n, 0.0))).collect(),
            stalled: BTreeSet::new(),
            side: BTreeMap::new(),
            in_flight: BTreeMap::new(),
            sent: 0,
            bytes: 0,
            events: Vec::new(),
        }
    }

    fn execute(&mut self, from: MemberId, actions: Actions) {
        let events = actions.events.into_iter();
        self.events.extend(events.map(|event| RecordedEvent {
            at: self.now,
            event,
        }));
        for OutgoingMessage { to, bytes } in actions.messages {
            let body = encode(&Body {
                from,
                swim: &bytes,
                zone_gossip: &[],
                roles: &[],
            })
            .expect("it fits");
            self.sent += 1;
            self.bytes += body.len() as u64;
            if self.random.random_bool(self.loss) || self.side.get(&from) != self.side.get(&to) {
                continue;
            }
            // One in fifty is duplicated, with a latency of its own, so that messages overtake each other.
            let copies = if self.random.random_bool(0.02) { 2 } else { 1 };
            for _ in 0..copies {
                let at = self.now + 0.001 + 0.02 * self.random.random::<f64>();
                let arrival = Arrival::new(at, self.sent * 2 + self.in_flight.len() as u64);
                let bytes = body.clone();
                self.in_flight.insert(arrival, Datagram { to, bytes });
            }
        }
    }

    fn run(&mut self, until: f64) {
        while self.now < until {
            self.now += 0.005;
            while let Some(datagram) = take_arrived(&mut self.in_flight, self.now) {
                let Datagram { to, bytes } = datagram;
                if self.stalled.contains(&to) {
                    continue;
                }
                let body = decode(&bytes).expect("it can be decoded");
                if let Some(m) = self.members.get_mut(&to) {
                    let actions = m.receive(self.now, body.swim);
                    self.execute(to, actions);
                }
            }
            let due: Vec<_> = self
                .members
                .iter()
                .filter(|(_, m)| m.next_due_s() <= self.now)
                .map(|(i, _)| *i)
                .collect();
            for i in due
                .into_iter()
                .filter(|i| !self.stalled.contains(i))
                .collect::<Vec<_>>()
            {
                if let Some(actions) = self.members.get_mut(&i).map(|m| m.tick(self.now)) {
                    self.execute(i, actions);
                }
            }
        }
    }

    /// Whether every member sees this number of live members.
    fn all_see(&self, live: usize) -> bool {
        self.members.values().all(|m| m.view().live.len() == live)
    }

    /// How often a member was declared down.
    fn down_events(&self) -> usize {
        self.events
            .iter()
            .filter(|recorded| matches!(recorded.event, MembershipEvent::Down(_)))
            .count()
    }
}

#[rstest]
#[case(3, 0.0)]
#[case(6, 0.3)]
#[case(100, 0.1)]
fn members_that_start_together_find_each_other_and_stay(#[case] n: usize, #[case] loss: f64) {
    let mut net = Net::new(n, loss, 1);
    net.run(10.0);
    assert!(
        net.all_see(n),
        "{:?}",
        net.members
            .values()
            .map(|m| m.view().live.len())
            .collect::<Vec<_>>()
    );
    assert!(net.members.values().all(|m| !m.view().is_partitioned));
    let zones: Vec<u8> = net.members[&id(0)].view().live.values().copied().collect();
    assert_eq!(zones, (0..n).map(|i| (i % 3) as u8).collect::<Vec<_>>());
    let (sent, bytes, downs) = (net.sent, net.bytes, net.down_events());
    net.run(40.0);
    assert_eq!(net.down_events(), downs, "loss alone makes nobody down");
    // SWIM: a probe and an answer each period, and what loss adds.
    let rate = (net.sent - sent) as f64 / 30.0 / n as f64;
    println!(
        "{n} members, loss {loss}: {rate:.1} datagrams, {:.0} bytes a second a member",
        (net.bytes - bytes) as f64 / 30.0 / n as f64
    );
    assert!(rate < 9.0, "{rate} datagrams a second a member");
}

#[test]
fn a_crashed_member_is_down_for_all_and_rejoins() {
    let mut net = Net::new(6, 0.1, 2);
    net.run(10.0);
    net.members.remove(&id(5));
    net.run(18.0);
    assert!(net.all_see(5));
    assert!(net.members.values().all(|m| !m.view().is_partitioned));
    net.members.insert(id(5), member(5, 6, net.now));
    net.run(26.0);
    assert!(net.all_see(6));
}

#[test]
fn a_member_that_leaves_is_down_at_once() {
    let mut net = Net::new(6, 0.0, 3);
    net.run(10.0);
    let now = net.now;
    let actions = net.members.get_mut(&id(5)).expect("there").leave(now);
    net.execute(id(5), actions);
    net.members.remove(&id(5));
    net.run(now + 1.0);
    assert!(net.all_see(5));
}

/// After both sides have declared each other down they find each other again; the minority reports throughout that it
/// is partitioned.
#[test]
fn a_partition_heals_and_only_the_minority_is_partitioned() {
    let mut net = Net::new(5, 0.0, 4);
    net.run(10.0);
    net.side = (0..5).map(|i| (id(i), u8::from(i < 2))).collect();
    net.run(30.0);
    for (i, m) in &net.members {
        assert_eq!(m.view().is_partitioned, i.0 < 2, "{i:?}");
    }
    net.side.clear();
    net.run(45.0);
    assert!(net.all_see(5));
    assert!(net.members.values().all(|m| !m.view().is_partitioned));
}

/// A member that has stalled for longer than the suspicion time-out declares nobody down when it resumes, and rejoins.
#[test]
fn a_stalled_member_declares_nobody_down() {
    let mut net = Net::new(6, 0.0, 5);
    net.run(10.0);
    net.stalled.insert(id(2));
    net.run(16.0);
    net.stalled.clear();
    let woken = net.now;
    net.run(30.0);
    let wrong = net.events.iter().filter(|recorded| {
        recorded.at > woken
            && matches!(recorded.event, MembershipEvent::Down(member) if member != id(2))
    });
    assert_eq!(wrong.count(), 0);
    assert!(net.all_see(6));
}

#[test]
fn an_id_outside_the_roster_is_no_member() {
    let mut net = Net::new(3, 0.0, 6);
    // It is configured with a larger roster, of which it is the last.
    net.members.insert(id(9), member(9, 10, 0.0));
    net.run(10.0);
    assert!((0..3).all(|i| net.members[&id(i)].view().live.len() == 3));
}

#[test]
fn a_datagram_is_decoded_as_it_was_encoded() {
    let swim = vec![7; 120];
    let roles = vec![3; 40];
    let zone_gossip = vec![9; capacity_beside(swim.len() + roles.len())];
    let body = Body {
        from: id(299),
        swim: &swim,
        zone_gossip: &zone_gossip,
        roles: &roles,
    };
    let bytes = encode(&body).expect("it has the capacity");
    assert!(bytes.len() <= MAX_BYTES && bytes.len() + 5 > MAX_BYTES);
    assert_eq!(decode(&bytes), Ok(body));
}

#[rstest]
#[case::nothing(vec![], Rejection::Malformed)]
#[case::version(vec![VERSION + 1, 0, 0, 0], Rejection::UnknownVersion)]
#[case::cut(vec![VERSION, 1, 5, 1, 2], Rejection::Malformed)]
#[case::longer_than_it_says(vec![VERSION, 1, 0, 0, 0, 0], Rejection::Malformed)]
#[case::a_length_beyond_reason(vec![VERSION, 1, 0xff, 0xff, 0xff, 0xff, 0x0f], Rejection::Malformed)]
#[case::oversize(vec![VERSION; MAX_BYTES + 1], Rejection::Oversize)]
fn malformed_datagrams_are_rejected(#[case] bytes: Vec<u8>, #[case] why: Rejection) {
    assert_eq!(decode(&bytes), Err(why));
}

#[test]
fn a_malformed_message_is_counted_and_changes_nothing() {
    let mut m = member(0, 3, 0.0);
    let before = m.view().clone();
    let actions = m.receive(0.0, &[1, 2, 3, 250, 251]);
    assert!(actions.messages.is_empty() && actions.events.is_empty());
    assert_eq!((m.unusable_messages(), m.view()), (1, &before));
}
