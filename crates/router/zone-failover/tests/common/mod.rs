//! A simulated tier: co-ordinators on a lossy network in simulated time, and zones that fail.

#[path = "../../../membership/tests/common/arrival.rs"]
mod arrival;

use arrival::{Arrival, take_arrived};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::{BTreeMap, VecDeque};
use woadreach_membership::{Member, MemberId, Members, MembershipConfig};
use woadreach_zone_failover::{
    LocalPeer, OutgoingDatagram, PeerActions, ZoneFailoverConfig, ZoneObservation, Zones,
};

/// The fraction of parts that fail, as a function of time, the zone of the co-ordinator and the zone of the replica.
pub(crate) type FailedShare = Box<dyn Fn(f64, usize, usize) -> f64>;

/// A datagram in flight.
struct Datagram {
    from: MemberId,
    to: MemberId,
    bytes: Vec<u8>,
}

/// A part of a search that has finished.
#[derive(Clone, Copy)]
struct FinishedPart {
    at: f64,
    has_failed: bool,
}

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
    /// Parts per second that each member sends to each serving zone. An ejected zone receives a tenth of it.
    pub(crate) rate: f64,
    pub(crate) failed_share: FailedShare,
    /// Whether datagrams between two zones are lost, as a function of time and of both zones.
    pub(crate) is_partitioned: Box<dyn Fn(f64, usize, usize) -> bool>,
    pub(crate) peers: BTreeMap<MemberId, LocalPeer>,
    /// Recent parts of each member, by zone.
    recent_parts: BTreeMap<MemberId, Vec<VecDeque<FinishedPart>>>,
    in_flight: BTreeMap<Arrival, Datagram>,
    sent: u64,
    pub(crate) verdict_changes: Vec<RecordedChange>,
}

pub(crate) fn zone_of(id: MemberId, zones: usize) -> usize {
    usize::from(id.0) % zones
}

fn new_peer(n: usize, members: usize, zones: usize, seed: u64) -> LocalPeer {
    let id = MemberId(n as u16);
    let zone = zone_of(id, zones) as u8;
    let me = Member {
        id,
        zone,
        generation: 0,
    };
    let membership = Members::new(
        me,
        members,
        MembershipConfig::default(),
        seed * 1000 + n as u64,
        0.0,
    );
    let verdicts = Zones::new(
        id,
        zone,
        vec![0; zones],
        members,
        ZoneFailoverConfig::default(),
        0.0,
    );
    LocalPeer::new(id, membership, verdicts)
}

/// Returns a member's observation of a zone from its recent parts, in the same way as the routing decisions: the latest
/// run of consecutive failures if there are several, otherwise all parts of the last two seconds.
fn observation(parts: &VecDeque<FinishedPart>, now: f64) -> ZoneObservation {
    let run = parts
        .iter()
        .rev()
        .take_while(|part| part.has_failed)
        .count() as u32;
    let recent = parts.iter().filter(|part| part.at > now - 2.0);
    let seen = if run > 1 {
        run
    } else {
        recent.clone().count() as u32
    };
    let failed = if run > 1 {
        run
    } else {
        recent.filter(|part| part.has_failed).count() as u32
    };
    ZoneObservation {
        seen,
        failed,
        capacity: 1.0,
    }
}

impl World {
    pub(crate) fn new(members: usize, zones: usize, loss: f64, seed: u64) -> World {
        let peers = (0..members).map(|n| (MemberId(n as u16), new_peer(n, members, zones, seed)));
        World {
            now: 0.0,
            random: Pcg64Mcg::seed_from_u64(seed),
            zones,
            loss,
            rate: 2.0,
            failed_share: Box::new(|_, _, _| 0.0),
            is_partitioned: Box::new(|_, _, _| false),
            peers: peers.collect(),
            recent_parts: (0..members)
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
                let arrival = Arrival::new(at, self.sent);
                self.in_flight.insert(arrival, Datagram { from, to, bytes });
            }
        }
    }

    pub(crate) fn run(&mut self, until: f64) {
        let mut next_observation = self.now;
        while self.now < until {
            self.now += 0.01;
            while let Some(datagram) = take_arrived(&mut self.in_flight, self.now) {
                let Datagram { from, to, bytes } = datagram;
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

    /// Simulates the parts of all members for a tenth of a second, and updates all members.
    fn observe(&mut self) {
        let mut all_actions = Vec::new();
        for (id, peer) in &mut self.peers {
            let Some(recent_parts) = self.recent_parts.get_mut(id) else {
                continue;
            };
            let shares = peer.zones.traffic_shares(self.now);
            let mut observations = Vec::new();
            for (zone, parts) in recent_parts.iter_mut().enumerate() {
                let sent = self.rate * 0.1 * shares[zone].max(0.1);
                if self.random.random_bool(sent.min(1.0)) {
                    let share = (self.failed_share)(self.now, zone_of(*id, self.zones), zone);
                    parts.push_back(FinishedPart {
                        at: self.now,
                        has_failed: self.random.random_bool(share.max(0.03)),
                    });
                }
                parts.retain(|part| part.at > self.now - 6.0);
                while parts.len() > 6 {
                    parts.pop_front();
                }
                observations.push(observation(parts, self.now));
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

    /// Returns the seconds from `since` until the last of the members selected by `is_included` ejected the zone;
    /// `None` if one of them hasn't.
    pub(crate) fn time_to_ejection(
        &self,
        since: f64,
        zone: u8,
        is_included: impl Fn(MemberId) -> bool,
    ) -> Option<f64> {
        let mut worst = 0.0f64;
        for id in self.peers.keys().filter(|id| is_included(**id)) {
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
