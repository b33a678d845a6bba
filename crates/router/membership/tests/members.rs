//! The membership protocol on a lossy network in simulated time, and the datagram codec. Each run is determined by its
//! seed.

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

/// A membership event that was returned by any member.
struct RecordedEvent {
    at: f64,
    event: MembershipEvent,
}

struct Net {
    now: f64,
    random: Pcg64Mcg,
    loss: f64,
    members: BTreeMap<MemberId, Members>,
    /// Stalled members. Datagrams to them are lost.
    stalled: BTreeSet<MemberId>,
    /// Side of a partition for each member; empty without a partition.
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
            .expect("the datagram is within its limit");
            self.sent += 1;
            self.bytes += body.len() as u64;
            if self.random.random_bool(self.loss) || self.side.get(&from) != self.side.get(&to) {
                continue;
            }
            // One datagram in fifty is duplicated. Each copy has a random latency, so that datagrams are reordered.
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
                let body = decode(&bytes).expect("the datagram can be decoded");
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

    /// Whether the view of every member has this number of live members.
    fn all_see(&self, live: usize) -> bool {
        self.members.values().all(|m| m.view().live.len() == live)
    }

    /// Returns the number of times that any member was declared down.
    fn down_events(&self) -> usize {
        self.events
            .iter()
            .filter(|recorded| matches!(recorded.event, MembershipEvent::Down(_)))
            .count()
    }
}

/// Members that start simultaneously must all join, and packet loss alone must not make any of them down. The datagrams
/// per member are bounded.
#[rstest]
#[case(3, 0.0)]
#[case(6, 0.3)]
#[case(100, 0.1)]
fn members_that_start_simultaneously_join_and_stay_alive(#[case] n: usize, #[case] loss: f64) {
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
    assert_eq!(
        net.down_events(),
        downs,
        "packet loss alone must not make a member down"
    );
    // SWIM sends a probe and an answer per period, and further datagrams because of loss.
    let rate = (net.sent - sent) as f64 / 30.0 / n as f64;
    println!(
        "{n} members, loss {loss}: {rate:.1} datagrams, {:.0} bytes per second and member",
        (net.bytes - bytes) as f64 / 30.0 / n as f64
    );
    assert!(rate < 9.0, "{rate} datagrams per second and member");
}

#[test]
fn a_crashed_member_is_declared_down_by_all_and_rejoins() {
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
fn a_member_that_leaves_is_declared_down_immediately() {
    let mut net = Net::new(6, 0.0, 3);
    net.run(10.0);
    let now = net.now;
    let actions = net
        .members
        .get_mut(&id(5))
        .expect("the member is running")
        .leave(now);
    net.execute(id(5), actions);
    net.members.remove(&id(5));
    net.run(now + 1.0);
    assert!(net.all_see(5));
}

/// Both sides of a partition declare each other down, and must reconnect after its end. Only members on the minority
/// side must report themselves as partitioned.
#[test]
fn a_partition_heals_and_only_the_minority_reports_it() {
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

/// Guards against a member that declares others down because its timers expired during its own stall. The stall is
/// longer than the suspicion timeout. The member must rejoin afterwards.
#[test]
fn a_stalled_member_declares_no_other_member_down() {
    let mut net = Net::new(6, 0.0, 5);
    net.run(10.0);
    net.stalled.insert(id(2));
    net.run(16.0);
    net.stalled.clear();
    let resumed_at = net.now;
    net.run(30.0);
    let false_downs = net.events.iter().filter(|recorded| {
        recorded.at > resumed_at
            && matches!(recorded.event, MembershipEvent::Down(member) if member != id(2))
    });
    assert_eq!(false_downs.count(), 0);
    assert!(net.all_see(6));
}

/// Guards against members that aren't configured: an id outside the roster must not become a member.
#[test]
fn an_id_outside_the_roster_does_not_join() {
    let mut net = Net::new(3, 0.0, 6);
    // The additional member is configured with a larger roster, in which it is the last.
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
    let bytes = encode(&body).expect("the datagram is within its limit");
    assert!(bytes.len() <= MAX_BYTES && bytes.len() + 5 > MAX_BYTES);
    assert_eq!(decode(&bytes), Ok(body));
}

#[rstest]
#[case::empty(vec![], Rejection::Malformed)]
#[case::unknown_version(vec![VERSION + 1, 0, 0, 0], Rejection::UnknownVersion)]
#[case::truncated(vec![VERSION, 1, 5, 1, 2], Rejection::Malformed)]
#[case::trailing_byte(vec![VERSION, 1, 0, 0, 0, 0], Rejection::Malformed)]
#[case::length_exceeds_datagram(vec![VERSION, 1, 0xff, 0xff, 0xff, 0xff, 0x0f], Rejection::Malformed)]
#[case::oversize(vec![VERSION; MAX_BYTES + 1], Rejection::Oversize)]
fn malformed_datagrams_are_rejected(#[case] bytes: Vec<u8>, #[case] rejection: Rejection) {
    assert_eq!(decode(&bytes), Err(rejection));
}

#[test]
fn a_malformed_message_is_counted_and_changes_nothing() {
    let mut m = member(0, 3, 0.0);
    let before = m.view().clone();
    let actions = m.receive(0.0, &[1, 2, 3, 250, 251]);
    assert!(actions.messages.is_empty() && actions.events.is_empty());
    assert_eq!((m.unusable_messages(), m.view()), (1, &before));
}
