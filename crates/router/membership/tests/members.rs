//! Members on a lossy network in virtual time: all of it from one seed.

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use rstest::rstest;
use std::collections::{BTreeMap, BTreeSet};
use woadreach_membership::datagram::{
    Body, MAX_BYTES, Rejection, VERSION, capacity_beside, decode, encode,
};
use woadreach_membership::{Actions, Member, MemberId, Members, MembershipConfig, MembershipEvent};

struct Net {
    now: f64,
    chance: Pcg64Mcg,
    loss: f64,
    members: BTreeMap<MemberId, Members>,
    /// Stand still: what comes waits for them.
    stalled: BTreeSet<MemberId>,
    /// A side of a partition each; the same side hears each other.
    side: BTreeMap<MemberId, u8>,
    flight: BTreeMap<(u64, u64), (MemberId, MemberId, Vec<u8>)>,
    sent: u64,
    bytes: u64,
    changes: Vec<(f64, MemberId, MembershipEvent)>,
}

fn id(n: usize) -> MemberId {
    MemberId(n as u16)
}

fn member(n: usize, roster: usize, now: f64) -> Members {
    let me = Member {
        id: id(n),
        zone: (n % 3) as u8,
        turn: 0,
    };
    Members::new(me, roster, MembershipConfig::default(), 7 + n as u64, now)
}

impl Net {
    fn new(n: usize, loss: f64, seed: u64) -> Net {
        Net {
            now: 0.0,
            chance: Pcg64Mcg::seed_from_u64(seed),
            loss,
            members: (0..n).map(|i| (id(i), member(i, n, 0.0))).collect(),
            stalled: BTreeSet::new(),
            side: BTreeMap::new(),
            flight: BTreeMap::new(),
            sent: 0,
            bytes: 0,
            changes: Vec::new(),
        }
    }

    fn take(&mut self, from: MemberId, acts: Actions) {
        self.changes
            .extend(acts.changes.into_iter().map(|c| (self.now, from, c)));
        for (to, message) in acts.send {
            let body = encode(&Body {
                from,
                swim: &message,
                zone_gossip: &[],
                roles: &[],
            })
            .expect("it fits");
            self.sent += 1;
            self.bytes += body.len() as u64;
            if self.chance.random_bool(self.loss) || self.side.get(&from) != self.side.get(&to) {
                continue;
            }
            // One in fifty comes twice, each at its own time, so that they overtake each other.
            for _ in 0..if self.chance.random_bool(0.02) { 2 } else { 1 } {
                let at = self.now + 0.001 + 0.02 * self.chance.random::<f64>();
                self.flight.insert(
                    ((at * 1e6) as u64, self.sent * 2 + self.flight.len() as u64),
                    (from, to, body.clone()),
                );
            }
        }
    }

    fn run(&mut self, until: f64) {
        while self.now < until {
            self.now += 0.005;
            while let Some(entry) = self
                .flight
                .first_entry()
                .filter(|e| e.key().0 as f64 / 1e6 <= self.now)
            {
                let (_, to, bytes) = entry.remove();
                if self.stalled.contains(&to) {
                    continue;
                }
                let body = decode(&bytes).expect("sound");
                if let Some(m) = self.members.get_mut(&to) {
                    let acts = m.heard(self.now, body.swim);
                    self.take(to, acts);
                }
            }
            let due: Vec<_> = self
                .members
                .iter()
                .filter(|(_, m)| m.next_due() <= self.now)
                .map(|(i, _)| *i)
                .collect();
            for i in due
                .into_iter()
                .filter(|i| !self.stalled.contains(i))
                .collect::<Vec<_>>()
            {
                if let Some(acts) = self.members.get_mut(&i).map(|m| m.tick(self.now)) {
                    self.take(i, acts);
                }
            }
        }
    }

    fn agree(&self, live: usize) -> bool {
        self.members.values().all(|m| m.view().live.len() == live)
    }

    fn downs(&self) -> usize {
        self.changes
            .iter()
            .filter(|c| matches!(c.2, MembershipEvent::Down(_)))
            .count()
    }
}

#[rstest]
#[case(3, 0.0)]
#[case(6, 0.3)]
#[case(100, 0.1)]
fn all_who_start_together_know_each_other_and_stay(#[case] n: usize, #[case] loss: f64) {
    let mut net = Net::new(n, loss, 1);
    net.run(10.0);
    assert!(
        net.agree(n),
        "{:?}",
        net.members
            .values()
            .map(|m| m.view().live.len())
            .collect::<Vec<_>>()
    );
    assert!(net.members.values().all(|m| !m.view().cut_off));
    let zones: Vec<u8> = net.members[&id(0)].view().live.values().copied().collect();
    assert_eq!(zones, (0..n).map(|i| (i % 3) as u8).collect::<Vec<_>>());
    let (sent, bytes, downs) = (net.sent, net.bytes, net.downs());
    net.run(40.0);
    assert_eq!(net.downs(), downs, "loss alone kills nobody");
    // SWIM: a probe and an answer a period each, and what loss adds.
    let rate = (net.sent - sent) as f64 / 30.0 / n as f64;
    println!(
        "{n} members, loss {loss}: {rate:.1} datagrams, {:.0} bytes a second a member",
        (net.bytes - bytes) as f64 / 30.0 / n as f64
    );
    assert!(rate < 9.0, "{rate} datagrams a second a member");
}

#[test]
fn one_that_dies_is_down_for_all_and_comes_back() {
    let mut net = Net::new(6, 0.1, 2);
    net.run(10.0);
    net.members.remove(&id(5));
    net.run(18.0);
    assert!(net.agree(5));
    assert!(net.members.values().all(|m| !m.view().cut_off));
    net.members.insert(id(5), member(5, 6, net.now));
    net.run(26.0);
    assert!(net.agree(6));
}

#[test]
fn one_that_leaves_is_gone_at_once() {
    let mut net = Net::new(6, 0.0, 3);
    net.run(10.0);
    let now = net.now;
    let acts = net.members.get_mut(&id(5)).expect("there").leave(now);
    net.take(id(5), acts);
    net.members.remove(&id(5));
    net.run(now + 1.0);
    assert!(net.agree(5));
}

/// After both sides have declared each other down they find each other again; the minority says all along
/// that it is the one cut off.
#[test]
fn a_partition_heals_and_only_the_minority_is_cut_off() {
    let mut net = Net::new(5, 0.0, 4);
    net.run(10.0);
    net.side = (0..5).map(|i| (id(i), u8::from(i < 2))).collect();
    net.run(30.0);
    for (i, m) in &net.members {
        assert_eq!(m.view().cut_off, i.0 < 2, "{i:?}");
    }
    net.side.clear();
    net.run(45.0);
    assert!(net.agree(5));
    assert!(net.members.values().all(|m| !m.view().cut_off));
}

/// One that has stood still for longer than a suspicion condemns nobody when it goes on, and is back itself.
#[test]
fn one_that_stood_still_condemns_nobody() {
    let mut net = Net::new(6, 0.0, 5);
    net.run(10.0);
    net.stalled.insert(id(2));
    net.run(16.0);
    net.stalled.clear();
    let woken = net.now;
    net.run(30.0);
    let wrong = net
        .changes
        .iter()
        .filter(|c| c.0 > woken && matches!(c.2, MembershipEvent::Down(d) if d != id(2)));
    assert_eq!(wrong.count(), 0);
    assert!(net.agree(6));
}

#[test]
fn a_name_beyond_the_roster_is_no_member() {
    let mut net = Net::new(3, 0.0, 6);
    // It believes in a larger roster, of which it is the last.
    net.members.insert(id(9), member(9, 10, 0.0));
    net.run(10.0);
    assert!((0..3).all(|i| net.members[&id(i)].view().live.len() == 3));
}

#[test]
fn the_envelope_is_read_as_it_was_sealed() {
    let swim = vec![7; 120];
    let roles = vec![3; 40];
    let zone_gossip = vec![9; capacity_beside(swim.len() + roles.len())];
    let body = Body {
        from: id(299),
        swim: &swim,
        zone_gossip: &zone_gossip,
        roles: &roles,
    };
    let bytes = encode(&body).expect("the room is what fits");
    assert!(bytes.len() <= MAX_BYTES && bytes.len() + 5 > MAX_BYTES);
    assert_eq!(decode(&bytes), Ok(body));
}

#[rstest]
#[case::nothing(vec![], Rejection::Garbled)]
#[case::version(vec![VERSION + 1, 0, 0, 0], Rejection::Version)]
#[case::cut(vec![VERSION, 1, 5, 1, 2], Rejection::Garbled)]
#[case::longer_than_it_says(vec![VERSION, 1, 0, 0, 0, 0], Rejection::Garbled)]
#[case::a_length_beyond_reason(vec![VERSION, 1, 0xff, 0xff, 0xff, 0xff, 0x0f], Rejection::Garbled)]
#[case::oversize(vec![VERSION; MAX_BYTES + 1], Rejection::Oversize)]
fn what_is_not_sound_is_refused(#[case] bytes: Vec<u8>, #[case] why: Rejection) {
    assert_eq!(decode(&bytes), Err(why));
}

#[test]
fn a_message_that_is_garbled_is_counted_and_changes_nothing() {
    let mut m = member(0, 3, 0.0);
    let before = m.view().clone();
    let acts = m.heard(0.0, &[1, 2, 3, 250, 251]);
    assert!(acts.send.is_empty() && acts.changes.is_empty());
    assert_eq!((m.unusable, m.view()), (1, &before));
}
