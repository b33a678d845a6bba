//! A simulated tier: co-ordinators on a lossy network, and zones that fail.

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::{BTreeMap, VecDeque};
use woadreach_membership::{Member, MemberId, Members, MembershipConfig};
use woadreach_zone_failover::{
    OutgoingDatagram, Peer, PeerActions, ZoneFailoverConfig, ZoneObservation, Zones,
};

/// The share of parts that fails, by time and by the zones of the co-ordinator and of the replica.
pub(crate) type FailedShare = Box<dyn Fn(f64, usize, usize) -> f64>;

/// A change of a member's verdict on a zone.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RecordedChange {
    pub(crate) at: f64,
    pub(crate) member: MemberId,
    pub(crate) zone: u8,
    pub(crate) epoch: u32,
}

pub(crate) struct World {
    pub(crate) now: f64,
    random: Pcg64Mcg,
    zones: usize,
    loss: f64,
    /// Parts per second that each member sends to each zone while it serves; a tenth of it when ejected.
    pub(crate) rate: f64,
    pub(crate) failed_share: FailedShare,
    /// Whether datagrams between two zones are lost, by time.
    pub(crate) is_partitioned: Box<dyn Fn(f64, usize, usize) -> bool>,
    pub(crate) peers: BTreeMap<MemberId, Peer>,
    /// What each member has lately seen of each zone: when, and whether it failed.
    seen: BTreeMap<MemberId, Vec<VecDeque<(f64, bool)>>>,
    in_flight: BTreeMap<(u64, u64), (MemberId, MemberId, Vec<u8>)>,
    sent: u64,
    pub(crate) verdict_changes: Vec<RecordedChange>,
}

pub(crate) fn zone_of(id: MemberId, zones: usize) -> usize {
    usize::from(id.0) % zones
}

impl World {
    pub(crate) fn new(members: usize, zones: usize, loss: f64, seed: u64) -> World {
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
            random: Pcg64Mcg::seed_from_u64(seed),
            zones,
            loss,
            rate: 2.0,
            failed_share: Box::new(|_, _, _| 0.0),
            is_partitioned: Box::new(|_, _, _| false),
            peers: peers.collect(),
            seen: (0..members)
                .map(|n| (MemberId(n as u16), vec![VecDeque::new(); zones]))
                .collect(),
            in_flight: BTreeMap::new(),
            sent: 0,
            verdict_changes: Vec::new(),
        }
    }

    fn execute(&mut self, from: MemberId, actions: PeerActions) {
        let changes = actions.verdict_changes.iter();
        self.verdict_changes
            .extend(changes.map(|change| RecordedChange {
                at: self.now,
                member: from,
                zone: change.zone,
                epoch: change.verdict.epoch,
            }));
        for OutgoingDatagram { to, bytes } in actions.datagrams {
            let (a, b) = (zone_of(from, self.zones), zone_of(to, self.zones));
            if !self.random.random_bool(self.loss) && !(self.is_partitioned)(self.now, a, b) {
                let at = self.now + 0.001 + 0.01 * self.random.random::<f64>();
                self.sent += 1;
                self.in_flight
                    .insert(((at * 1e6) as u64, self.sent), (from, to, bytes));
            }
        }
    }

    pub(crate) fn run(&mut self, until: f64) {
        let mut next_observation = self.now;
        while self.now < until {
            self.now += 0.01;
            while let Some(entry) = self
                .in_flight
                .first_entry()
                .filter(|e| e.key().0 as f64 / 1e6 <= self.now)
            {
                let (from, to, bytes) = entry.remove();
                if let Some(peer) = self.peers.get_mut(&to) {
                    let actions = peer.receive(self.now, Some(from), &bytes);
                    self.execute(to, actions);
                }
            }
            if self.now >= next_observation {
                next_observation += 0.1;
                self.observe();
            }
            let due = self
                .peers
                .iter()
                .filter(|(_, p)| p.next_due_s() <= self.now)
                .map(|(id, _)| *id);
            for id in due.collect::<Vec<_>>() {
                if let Some(actions) = self.peers.get_mut(&id).map(|p| p.tick(self.now)) {
                    self.execute(id, actions);
                }
            }
        }
    }

    /// Plays a tenth of a second of all members' parts.
    fn observe(&mut self) {
        let mut all_actions = Vec::new();
        for (id, peer) in &mut self.peers {
            let Some(seen) = self.seen.get_mut(id) else {
                continue;
            };
            let shares = peer.zones.traffic_shares(self.now);
            let mut observations = Vec::new();
            for (z, window) in seen.iter_mut().enumerate() {
                if self
                    .random
                    .random_bool((self.rate * 0.1 * shares[z].max(0.1)).min(1.0))
                {
                    let share = (self.failed_share)(self.now, zone_of(*id, self.zones), z);
                    window.push_back((self.now, self.random.random_bool(share.max(0.03))));
                }
                window.retain(|x| x.0 > self.now - 6.0);
                while window.len() > 6 {
                    window.pop_front();
                }
                // As the routing decisions do: the run of failed parts up to now, where there is one.
                let run = window.iter().rev().take_while(|x| x.1).count() as u32;
                let fresh = window.iter().filter(|x| x.0 > self.now - 2.0);
                let seen = if run > 1 {
                    run
                } else {
                    fresh.clone().count() as u32
                };
                let failed = if run > 1 {
                    run
                } else {
                    fresh.filter(|x| x.1).count() as u32
                };
                observations.push(ZoneObservation {
                    seen,
                    failed,
                    capacity: 1.0,
                });
            }
            all_actions.push((
                *id,
                peer.update(self.now, &observations, self.rate * self.zones as f64),
            ));
        }
        for (id, actions) in all_actions {
            self.execute(id, actions);
        }
    }

    /// Seconds from `since` until the last of `who` had an odd epoch of the zone.
    pub(crate) fn agreed(
        &self,
        since: f64,
        zone: u8,
        who: impl Fn(MemberId) -> bool,
    ) -> Option<f64> {
        let mut worst = 0.0f64;
        for id in self.peers.keys().filter(|id| who(**id)) {
            let first = self.verdict_changes.iter().find(|change| {
                change.member == *id
                    && change.zone == zone
                    && change.epoch % 2 == 1
                    && change.at > since
            })?;
            worst = worst.max(first.at - since);
        }
        Some(worst)
    }
}
