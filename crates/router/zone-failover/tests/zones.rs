//! Co-ordinators of a tier on a lossy network in virtual time, with zones that fail: all of it from one seed.

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use rstest::rstest;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use woadreach_membership::{Member, MemberId, Members, MembershipConfig};
use woadreach_zone_failover::{
    GossipPayload, Peer, Report, ZoneFailoverConfig, ZoneObservation, ZoneVerdict, Zones,
};

/// How it is for a co-ordinator of one zone to send parts to another: the share that fails.
type Trouble = Box<dyn Fn(f64, usize, usize) -> f64>;

struct World {
    now: f64,
    chance: Pcg64Mcg,
    zones: usize,
    loss: f64,
    /// Parts a second that each member sends to each zone while it serves; a tenth of it when out.
    rate: f64,
    trouble: Trouble,
    /// Datagrams between two zones that are lost.
    cut: Box<dyn Fn(f64, usize, usize) -> bool>,
    peers: BTreeMap<MemberId, Peer>,
    /// What each has seen lately of each zone: when, and whether it was bad.
    seen: BTreeMap<MemberId, Vec<VecDeque<(f64, bool)>>>,
    flight: BTreeMap<(u64, u64), (MemberId, MemberId, Vec<u8>)>,
    n: u64,
    /// Each one's turns: when, zone, epoch.
    turns: Vec<(f64, MemberId, u8, u32)>,
}

fn zone_of(id: MemberId, zones: usize) -> usize {
    usize::from(id.0) % zones
}

impl World {
    fn new(members: usize, zones: usize, loss: f64, seed: u64) -> World {
        let peers = (0..members).map(|n| {
            let id = MemberId(n as u16);
            let zone = zone_of(id, zones) as u8;
            let me = Member {
                id,
                zone,
                generation: 0,
            };
            let m = Members::new(
                me,
                members,
                MembershipConfig::default(),
                seed * 1000 + n as u64,
                0.0,
            );
            (
                id,
                Peer::new(
                    id,
                    m,
                    Zones::new(
                        id,
                        zone,
                        vec![0; zones],
                        members,
                        ZoneFailoverConfig::default(),
                        0.0,
                    ),
                ),
            )
        });
        World {
            now: 0.0,
            chance: Pcg64Mcg::seed_from_u64(seed),
            zones,
            loss,
            rate: 2.0,
            trouble: Box::new(|_, _, _| 0.0),
            cut: Box::new(|_, _, _| false),
            peers: peers.collect(),
            seen: (0..members)
                .map(|n| (MemberId(n as u16), vec![VecDeque::new(); zones]))
                .collect(),
            flight: BTreeMap::new(),
            n: 0,
            turns: Vec::new(),
        }
    }

    fn take(&mut self, from: MemberId, out: woadreach_zone_failover::Out) {
        self.turns.extend(
            out.turns
                .iter()
                .map(|t| (self.now, from, t.zone, t.verdict.epoch)),
        );
        for (to, bytes) in out.datagrams {
            let (a, b) = (zone_of(from, self.zones), zone_of(to, self.zones));
            if !self.chance.random_bool(self.loss) && !(self.cut)(self.now, a, b) {
                let at = self.now + 0.001 + 0.01 * self.chance.random::<f64>();
                self.n += 1;
                self.flight
                    .insert(((at * 1e6) as u64, self.n), (from, to, bytes));
            }
        }
    }

    fn run(&mut self, until: f64) {
        let mut next_sight = self.now;
        while self.now < until {
            self.now += 0.01;
            while let Some(entry) = self
                .flight
                .first_entry()
                .filter(|e| e.key().0 as f64 / 1e6 <= self.now)
            {
                let (from, to, bytes) = entry.remove();
                if let Some(peer) = self.peers.get_mut(&to) {
                    let out = peer.heard(self.now, Some(from), &bytes);
                    self.take(to, out);
                }
            }
            if self.now >= next_sight {
                next_sight += 0.1;
                self.look();
            }
            let due = self
                .peers
                .iter()
                .filter(|(_, p)| p.next_due() <= self.now)
                .map(|(id, _)| *id);
            for id in due.collect::<Vec<_>>() {
                if let Some(out) = self.peers.get_mut(&id).map(|p| p.tick(self.now)) {
                    self.take(id, out);
                }
            }
        }
    }

    /// A tenth of a second of everybody's parts.
    fn look(&mut self) {
        let mut outs = Vec::new();
        for (id, peer) in &mut self.peers {
            let Some(seen) = self.seen.get_mut(id) else {
                continue;
            };
            let shares = peer.zones.shares(self.now);
            let mut sights = Vec::new();
            for (z, window) in seen.iter_mut().enumerate() {
                if self
                    .chance
                    .random_bool((self.rate * 0.1 * shares[z].max(0.1)).min(1.0))
                {
                    let share = (self.trouble)(self.now, zone_of(*id, self.zones), z);
                    window.push_back((self.now, self.chance.random_bool(share.max(0.03))));
                }
                window.retain(|x| x.0 > self.now - 6.0);
                while window.len() > 6 {
                    window.pop_front();
                }
                // As the module does: the run of bad ones up to now, where there is one.
                let run = window.iter().rev().take_while(|x| x.1).count() as u32;
                let fresh = window.iter().filter(|x| x.0 > self.now - 2.0);
                let seen = if run > 1 {
                    run
                } else {
                    fresh.clone().count() as u32
                };
                let bad = if run > 1 {
                    run
                } else {
                    fresh.filter(|x| x.1).count() as u32
                };
                sights.push(ZoneObservation {
                    seen,
                    bad,
                    capacity: 1.0,
                });
            }
            outs.push((
                *id,
                peer.see(self.now, &sights, self.rate * self.zones as f64),
            ));
        }
        for (id, out) in outs {
            self.take(id, out);
        }
    }

    /// Seconds from `since` until the last of `who` held an odd epoch of the zone.
    fn agreed(&self, since: f64, zone: u8, who: impl Fn(MemberId) -> bool) -> Option<f64> {
        let mut worst = 0.0f64;
        for id in self.peers.keys().filter(|id| who(**id)) {
            let first = self
                .turns
                .iter()
                .find(|t| t.1 == *id && t.2 == zone && t.3 % 2 == 1 && t.0 > since)?;
            worst = worst.max(first.0 - since);
        }
        Some(worst)
    }
}

#[rstest]
#[case(6, 0.0, 2.0, 1.0)]
#[case(6, 0.3, 2.0, 1.5)]
#[case(60, 0.1, 1.0, 2.0)]
fn a_lost_zone_is_out_for_all_and_returns_on_one_ramp(
    #[case] n: usize,
    #[case] loss: f64,
    #[case] rate: f64,
    #[case] within: f64,
) {
    let mut w = World::new(n, 3, loss, 1);
    w.rate = 4.0 * rate;
    w.trouble = Box::new(|at, _, to| {
        if to == 1 && (10.0..15.0).contains(&at) {
            1.0
        } else {
            0.0
        }
    });
    w.run(10.0);
    assert!(w.turns.is_empty(), "{:?}", w.turns);
    w.run(14.9);
    let agreed = w.agreed(10.0, 1, |_| true).expect("all hold it");
    assert!(agreed < within, "{agreed}");
    w.run(30.0);
    let mut lowest = f64::INFINITY;
    for peer in w.peers.values() {
        assert!(!peer.zones.verdicts()[1].out());
        lowest = lowest.min(peer.zones.verdicts()[1].since);
    }
    // One ramp: all count it from the same moment, but for the way that the word of it takes.
    let last = w
        .peers
        .values()
        .map(|p| p.zones.verdicts()[1].since)
        .fold(0.0, f64::max);
    assert!(last - lowest < 0.25, "{lowest} to {last}");
    assert!(w.peers.values().all(|p| p.zones.shares(w.now)[1] == 1.0));
    assert!(
        w.turns.iter().all(|t| t.2 == 1 && t.3 <= 2),
        "no other zone, no flap"
    );
}

/// The zone that is cut off sees all others fail. Its own shift nobody; the others shift it.
#[test]
fn a_zone_cut_off_does_not_shift_the_others() {
    let mut w = World::new(6, 3, 0.0, 2);
    let cut = |at: f64, a: usize, b: usize| at > 10.0 && (a == 2) != (b == 2);
    w.rate = 8.0;
    w.trouble = Box::new(move |at, from, to| f64::from(u8::from(cut(at, from, to))));
    w.cut = Box::new(cut);
    w.run(22.0);
    assert!(
        w.agreed(10.0, 2, |id| zone_of(id, 3) != 2)
            .is_some_and(|s| s < 1.5),
        "{:?}",
        w.turns
    );
    assert!(
        w.turns.iter().all(|t| t.2 == 2 && zone_of(t.1, 3) != 2),
        "{:?}",
        w.turns
    );
    let view = w.peers[&MemberId(2)].view();
    assert!(view.cut_off);
}

/// Only one zone has no way to another: it is no reason for the third.
#[test]
fn a_way_cut_between_two_zones_shifts_neither() {
    let mut w = World::new(9, 3, 0.0, 3);
    w.rate = 8.0;
    w.trouble =
        Box::new(|at, from, to| f64::from(u8::from(at > 10.0 && from + to == 1 && from != to)));
    w.run(25.0);
    assert!(w.turns.is_empty(), "{:?}", w.turns);
}

#[rstest]
#[case::trouble_everywhere(|_: usize| 1.0)]
#[case::two_of_three(|to: usize| if to == 0 { 0.0 } else { 1.0 })]
fn trouble_in_most_zones_shifts_none(#[case] share: fn(usize) -> f64) {
    let mut w = World::new(9, 3, 0.0, 4);
    w.rate = 8.0;
    w.trouble = Box::new(move |at, _, to| if at > 10.0 { share(to) } else { 0.0 });
    w.run(25.0);
    let out: BTreeSet<u8> = w
        .turns
        .iter()
        .filter(|t| t.3 % 2 == 1)
        .map(|t| t.2)
        .collect();
    assert!(out.is_empty(), "{:?}", w.turns);
}

/// Two of three zones are gone with their co-ordinators: the third cannot tell that from being cut off
/// itself.
#[test]
fn without_a_quorum_the_last_verdict_stands() {
    let mut w = World::new(6, 3, 0.0, 5);
    w.rate = 8.0;
    w.trouble = Box::new(|at, _, to| f64::from(u8::from(at > 10.0 && to > 0)));
    w.run(10.0);
    w.peers.retain(|id, _| zone_of(*id, 3) == 0);
    w.run(25.0);
    let late: Vec<_> = w.turns.iter().filter(|t| t.0 > 16.0).collect();
    assert!(late.is_empty(), "{late:?}");
    assert!(w.peers.values().all(|p| p.view().cut_off));
}

/// A zone that is up and down every two seconds is out for longer each time.
#[test]
fn a_zone_that_flaps_stays_out_for_longer_each_time() {
    let mut w = World::new(6, 3, 0.0, 6);
    w.rate = 8.0;
    w.trouble =
        Box::new(|at, _, to| f64::from(u8::from(to == 1 && at > 10.0 && (at as u64 / 2) % 2 == 1)));
    w.run(70.0);
    let of_one = w.turns.iter().filter(|t| t.1 == MemberId(0)).count();
    assert!(
        (2..=12).contains(&of_one),
        "{of_one} turns in 60 s, 30 of the zone's own"
    );
}

#[test]
fn loss_of_datagrams_alone_shifts_nothing() {
    for seed in 0..12 {
        let mut w = World::new(6, 3, 0.3, seed);
        w.rate = 8.0;
        w.run(30.0);
        assert!(w.turns.is_empty(), "seed {seed}: {:?}", w.turns);
    }
}

fn report(member: u16, zones: usize) -> GossipPayload {
    let rows = vec![(1, 1); zones];
    GossipPayload {
        verdicts: vec![],
        reports: vec![Report::new(MemberId(member), 0, 1, 1.0, &rows)],
    }
}

#[rstest]
#[case::unknown_zone(GossipPayload { verdicts: vec![ZoneVerdict::new(7, 1, 0.0, 0)], reports: vec![] })]
#[case::unknown_member(report(60, 3))]
#[case::other_zones(report(1, 4))]
fn riders_of_another_deployment_are_refused(#[case] gossip: GossipPayload) {
    let mut zones = Zones::new(
        MemberId(0),
        0,
        vec![0; 3],
        6,
        ZoneFailoverConfig::default(),
        0.0,
    );
    assert!(zones.heard(1.0, &gossip.seal()).is_err());
    assert_eq!(zones.refused, 1);
    assert!(zones.verdicts().iter().all(|v| v.epoch == 0));
}

#[test]
fn an_epoch_far_ahead_is_refused_and_an_old_one_changes_nothing() {
    let mut zones = Zones::new(
        MemberId(0),
        0,
        vec![0; 3],
        6,
        ZoneFailoverConfig::default(),
        0.0,
    );
    let tell = |epoch, age| {
        GossipPayload {
            verdicts: vec![ZoneVerdict::new(1, epoch, age, 0)],
            reports: vec![],
        }
        .seal()
    };
    zones.heard(10.0, &tell(3, 1.0)).expect("sound");
    assert_eq!(
        (zones.verdicts()[1].epoch, zones.verdicts()[1].since),
        (3, 9.0)
    );
    zones.heard(11.0, &tell(2, 0.0)).expect("sound");
    zones.heard(11.0, &tell(3_000_000, 0.0)).expect("sound");
    assert_eq!((zones.verdicts()[1].epoch, zones.refused), (3, 1));
}

#[rstest]
#[case::sound((8, 0), 1.0)]
#[case::within_headroom((10, 2), 1.0)]
#[case::spills_in_proportion((10, 5), 0.7)]
fn traffic_stays_near_while_its_zone_is_sound(#[case] near: (u32, u32), #[case] stays: f64) {
    let mut zones = Zones::new(
        MemberId(0),
        0,
        vec![0, 0, 1],
        3,
        ZoneFailoverConfig::default(),
        0.0,
    );
    let sight = |(seen, bad)| ZoneObservation {
        seen,
        bad,
        capacity: 1.0,
    };
    zones.see(1.0, &[sight(near), sight((8, 0)), sight((8, 0))], 10.0);
    let view = woadreach_membership::View {
        live: (0..3).map(|i| (MemberId(i), i as u8)).collect(),
        roster: 3,
        cut_off: false,
        version: 1,
    };
    let ladder = zones.ladder(1.0, &view);
    assert_eq!(ladder[0].0, BTreeSet::from([0]));
    assert!((ladder[0].1 - stays).abs() < 0.02, "{ladder:?}");
    assert_eq!(ladder[1].0, BTreeSet::from([0, 1]));
    assert!(ladder[1].1 >= ladder[0].1);
    zones.forced.insert(0);
    assert_eq!(
        (zones.ladder(1.0, &view)[0].1, zones.shares(1.0)[0]),
        (0.0, 0.0)
    );
}

/// Not a verdict of CI, but a measurement: `cargo test --release -p woadreach-zone-failover -- --ignored
/// --nocapture`.
#[test]
#[ignore = "a measurement of a minute"]
fn how_soon_three_hundred_agree() {
    for rate in [0.5, 3.0] {
        let mut worst: Vec<f64> = Vec::new();
        for seed in 0..4 {
            let mut w = World::new(300, 3, 0.1, seed);
            w.rate = rate;
            w.trouble = Box::new(|at, _, to| {
                if to == 1 && (20.0..25.0).contains(&at) {
                    1.0
                } else {
                    0.0
                }
            });
            w.run(20.0);
            assert!(w.turns.is_empty());
            let counts = |w: &World| {
                w.peers
                    .values()
                    .map(|p| p.counts())
                    .fold((0, 0), |a, c| (a.0 + c.sent, a.1 + c.bytes))
            };
            let calm = counts(&w);
            w.run(25.0);
            let trouble = counts(&w);
            let each = |n: u64, s: f64| n as f64 / s / 300.0;
            println!(
                "{rate} parts a second to each zone, seed {seed}: agreed {:?} s; a second a member, \
                 calm {:.1} datagrams {:.0} bytes, in trouble {:.1} and {:.0}",
                w.agreed(20.0, 1, |_| true),
                each(calm.0, 20.0),
                each(calm.1, 20.0),
                each(trouble.0 - calm.0, 5.0),
                each(trouble.1 - calm.1, 5.0)
            );
            worst.extend(w.agreed(20.0, 1, |_| true));
        }
        worst.sort_by(f64::total_cmp);
        println!(
            "{rate}: {} of 4 agreed, worst {:?}",
            worst.len(),
            worst.last()
        );
    }
}

/// Likewise: seeds with loss and no fault of any zone.
#[test]
#[ignore = "a measurement of minutes"]
fn ten_thousand_seeds_with_loss_alone() {
    let threads = std::thread::available_parallelism().map_or(1, usize::from) as u64;
    let shifts: Vec<_> = (0..threads)
        .map(|t| {
            std::thread::spawn(move || {
                let mut shifts = 0;
                for seed in (0..10_000u64).filter(|s| s % threads == t) {
                    let mut w = World::new(
                        3 + (seed % 7) as usize,
                        3,
                        0.1 + 0.2 * (seed % 2) as f64,
                        seed,
                    );
                    w.rate = [0.5, 2.0, 8.0][(seed % 3) as usize];
                    w.run(20.0);
                    shifts += usize::from(!w.turns.is_empty());
                }
                shifts
            })
        })
        .collect();
    let shifts: usize = shifts.into_iter().map(|t| t.join().expect("played")).sum();
    println!("false shifts: {shifts} of 10000 seeds");
    assert_eq!(shifts, 0);
}
