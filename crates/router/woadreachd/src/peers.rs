//! The task that speaks with the other co-ordinators of the tier. Owns the socket for their datagrams and
//! what is known by them; must never decide: membership and verdicts do so behind [`Peer`], and the module
//! what a verdict does to a search. Nothing is sent but where the settings allow it.

use crate::events::{EndpointReport, Event, Events, RoleUpdate};
use crate::front::Phase;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use tokio::sync::{mpsc, watch};
use tracing::{debug, info, warn};
use woadreach_lease::{
    LeaseEvent, LocalDemand, LocalMember, ReplicaKey, RoleActions, SingletonRoles,
};
use woadreach_membership::{Member, MemberId, Members, MembershipEvent, datagram};
use woadreach_routing::api::{ZoneFailoverState, ZoneId};
use woadreach_runtime::{Datagrams, Net};
use woadreach_zone_failover::{Out, Peer, Turn, ZoneObservation, Zones};

/// What the configuration says of peers.
#[derive(Clone, Debug, PartialEq)]
pub struct PeerConfig {
    pub listen: SocketAddr,
    /// One for each co-ordinator of the tier, its own included.
    pub roster: Vec<SocketAddr>,
    pub me: usize,
    pub zone: usize,
    /// By the settings' order.
    pub zones: Vec<String>,
    /// Each zone's region, by number.
    pub regions: Vec<u8>,
    /// Zones that an operator has taken out, at this co-ordinator alone.
    pub out: Vec<usize>,
    /// Ties between replicas go near. Off unless an operator asks for it: where clients are uneven between
    /// zones it crowds the busy ones, and on the fleet bench's calm day it cost a fifth of the score.
    pub near: bool,
    /// Seconds in which a replica that has started warms up; 0 if it is warm at once.
    pub warm: f64,
    /// SingletonRoles that one co-ordinator holds for others; off, each does them for itself.
    pub duties: bool,
    /// A warden shares out what cold replicas bear. Off unless an operator asks for it: on the fleet bench's
    /// day of restarts, where all want every cold replica, shares ceded lay idle and G fell from 0.83 to
    /// 0.70.
    pub warden: bool,
    /// Each act under a lease is told in the log: for rigs, and for who hunts a duty held twice.
    pub records: bool,
    /// Over how many co-ordinators the cold rule is split, and its window in seconds; absent where there is
    /// none.
    pub cold: Option<(usize, f64)>,
    pub seed: u64,
}

/// What the core tells of each zone, and how many parts it has sent so far.
#[derive(Clone, Debug, Default)]
pub struct ZoneObservations {
    pub zones: Vec<ZoneObservation>,
    pub sent: u64,
    /// Of each cold replica: what was asked of it so far, and whether it was sent any lately.
    pub colds: Vec<(ReplicaKey, u64, bool)>,
}

/// What the task hears of, and whom it tells.
pub struct Ends {
    pub(crate) sights: watch::Receiver<ZoneObservations>,
    /// What its own list says.
    pub(crate) words: mpsc::UnboundedReceiver<EndpointReport>,
    pub(crate) phase: watch::Receiver<Phase>,
    pub(crate) events: Events,
    /// ConnectionEvent each new verdict.
    pub(crate) verdict: Box<dyn Fn(&Turn)>,
}

/// Seconds between the lines that say how it stands.
const REPORT: f64 = 5.0;
/// The share that stays near is told to the module in such steps, so that it is not told of every breath.
const STEP: f64 = 0.05;
/// A zone that is back has all of its traffic after a third of the time in which a replica warms up, so that
/// the ramp is over before the cold guard's is; but within these bounds of seconds.
const RAMP: (f64, f64) = (1.5, 8.0);
/// What of a new count of parts a second, twice a second, goes into the one that is told. With a half of it
/// the share that stays near swung between 0.4 and 1 on a calm day.
const SMOOTH: f64 = 0.1;
/// After an error of the socket, which then has something the matter that passes.
const PAUSE: f64 = 0.1;

struct Task<N: Net> {
    net: N,
    figures: PeerConfig,
    socket: N::Datagrams,
    by_address: BTreeMap<SocketAddr, MemberId>,
    peer: Peer,
    duties: Option<SingletonRoles>,
    /// Of each cold replica: what was asked of it by the last look, and what share the module was told of.
    wants: BTreeMap<ReplicaKey, (u64, f64)>,
    events: Events,
    verdict: Box<dyn Fn(&Turn)>,
    told: Option<ZoneFailoverState>,
    /// It has met another: before that it is alone, and decides as one that has no peers.
    met: bool,
    /// The parts sent by the last look, when that was, and how many a second.
    sent: (u64, f64),
    demand: f64,
    /// How many times that has been counted.
    counts: f64,
    next_report: f64,
}

/// Runs until the co-ordinator ends.
pub async fn run<N: Net>(net: N, figures: PeerConfig, socket: N::Datagrams, ends: Ends) {
    let Ends {
        mut sights,
        mut words,
        mut phase,
        events,
        verdict,
    } = ends;
    let now = net.now();
    let id = MemberId(figures.me as u16);
    let me = Member {
        id,
        zone: figures.zone as u8,
        turn: 0,
    };
    let roster = figures.roster.len();
    let members = Members::new(
        me,
        roster,
        woadreach_membership::MembershipConfig::default(),
        figures.seed,
        now,
    );
    let ramp = if figures.warm > 0.0 {
        (figures.warm / 3.0).clamp(RAMP.0, RAMP.1)
    } else {
        RAMP.0
    };
    let of_zones = woadreach_zone_failover::ZoneFailoverConfig {
        ramp,
        ..woadreach_zone_failover::ZoneFailoverConfig::default()
    };
    let mut zones = Zones::new(
        id,
        figures.zone as u8,
        figures.regions.clone(),
        roster,
        of_zones,
        now,
    );
    zones.forced = figures.out.iter().map(|z| *z as u8).collect();
    let cold = figures.cold.filter(|_| figures.warden);
    let place = LocalMember {
        me: id,
        zone: figures.zone as u8,
        roster,
        cold,
    };
    let leases = woadreach_lease::LeaseConfig::default();
    let duties = figures
        .duties
        .then(|| SingletonRoles::new(place, leases, figures.seed.rotate_left(17), now));
    let names = figures
        .roster
        .iter()
        .enumerate()
        .map(|(n, at)| (*at, MemberId(n as u16)));
    let mut task = Task {
        net: net.clone(),
        by_address: names.collect(),
        peer: Peer::new(id, members, zones),
        duties,
        wants: BTreeMap::new(),
        figures,
        socket,
        events,
        verdict,
        told: None,
        met: false,
        sent: (0, now),
        demand: 0.0,
        counts: 0.0,
        next_report: now + REPORT,
    };
    let mut bytes = [0; datagram::MAX_BYTES + 1];
    loop {
        let leases = task
            .duties
            .as_ref()
            .map_or(f64::INFINITY, SingletonRoles::next_due);
        let due = task.peer.next_due().min(task.next_report).min(leases);
        tokio::select! {
            biased;
            ended = phase.changed() => {
                if ended.is_err() || *phase.borrow() > Phase::Draining {
                    let now = task.net.now();
                    let done = task.duties.as_mut().map(|d| d.leave(now));
                    task.carry_duties(done.unwrap_or_default());
                    let out = task.peer.leave(now);
                    return task.carry_out(out);
                }
            }
            () = net.sleep_until(due) => task.tick(),
            told = sights.changed() => {
                if told.is_err() {
                    return;
                }
                let told = sights.borrow_and_update().clone();
                task.see(&told);
            }
            Some(word) = words.recv() => {
                let now = task.net.now();
                if let Some(duties) = &mut task.duties {
                    duties.listed(now, word.replica, word.what);
                }
            }
            came = task.socket.receive(&mut bytes) => match came {
                Ok((n, from)) => {
                    let from = task.by_address.get(&from).copied();
                    let out = task.peer.heard(task.net.now(), from, &bytes[..n]);
                    task.carry_out(out);
                }
                Err(e) => {
                    debug!("peers: {e}");
                    net.sleep(PAUSE).await;
                }
            },
        }
    }
}

impl<N: Net> Task<N> {
    fn tick(&mut self) {
        let now = self.net.now();
        let done = self.duties.as_mut().map(|d| d.tick(now));
        self.carry_duties(done.unwrap_or_default());
        let out = self.peer.tick(now);
        self.carry_out(out);
        if now >= self.next_report {
            self.next_report = now + REPORT;
            let (view, c) = (self.peer.view(), self.peer.counts());
            let refused: u64 = c.refused.values().sum::<u64>() + c.unusable;
            info!(
                live = view.live.len(),
                roster = view.roster,
                cut_off = view.cut_off,
                health = self.peer.members.health(),
                sent = c.sent,
                bytes = c.bytes,
                taken = c.taken,
                refused,
                "peers"
            );
            if let Some(duties) = &self.duties {
                let c = duties.counts();
                info!(
                    held = duties.leases.held(now).len(),
                    taken = c.held,
                    lost = c.lost,
                    stale = c.stale,
                    jumped = c.jumped,
                    refused = duties.refused,
                    ahead = duties.ahead(),
                    "duties"
                );
            }
        }
    }

    fn see(&mut self, told: &ZoneObservations) {
        let now = self.net.now();
        // Over half a second at least, so that one search's parts are no rate.
        if now - self.sent.1 >= 0.5 {
            let rate = told.sent.saturating_sub(self.sent.0) as f64 / (now - self.sent.1);
            // The first counts are averaged: from nothing it would take seconds, and seem to grow meanwhile.
            self.counts += 1.0;
            self.demand += SMOOTH.max(1.0 / self.counts) * (rate - self.demand);
            self.sent = (told.sent, now);
        }
        self.look_at_duties(now, told);
        let out = self.peer.see(now, &told.zones, self.demand);
        self.carry_out(out);
        self.tell(now);
    }

    fn look_at_duties(&mut self, now: f64, told: &ZoneObservations) {
        let Some(duties) = &mut self.duties else {
            return;
        };
        let before = |r: &ReplicaKey| self.wants.get(r).copied().unwrap_or((0, 1.0));
        let want = |(replica, wants, sent): &(ReplicaKey, u64, bool)| {
            let wants = wants
                .saturating_sub(before(replica).0)
                .min(u64::from(u32::MAX)) as u32;
            LocalDemand {
                replica: *replica,
                wants,
                sent: *sent,
            }
        };
        let wants: Vec<LocalDemand> = told.colds.iter().map(want).collect();
        let done = duties.look(now, self.peer.view(), &wants);
        let mut rations = Vec::new();
        let mut kept = BTreeMap::new();
        for (replica, so_far, _) in &told.colds {
            let times = duties.times(now, *replica);
            if (times - before(replica).1).abs() > 1e-9 {
                rations.push((*replica, times));
            }
            kept.insert(*replica, (*so_far, times));
        }
        self.wants = kept;
        self.peer.role_messages = duties.riders(now);
        if !rations.is_empty() {
            // The core ends with the process.
            let _ = self
                .events
                .send(Event::Role(RoleUpdate::QuotaShare(rations)));
        }
        self.carry_duties(done);
    }

    fn carry_duties(&mut self, done: RoleActions) {
        for (to, bytes) in &done.send {
            let out = self.peer.tell(*to, bytes);
            self.carry_out(out);
        }
        for change in &done.changes {
            match change {
                LeaseEvent::Acquired(duty, epoch) => {
                    info!(duty = ?duty, epoch, held = true, "lease")
                }
                LeaseEvent::Lost(duty, epoch) => info!(duty = ?duty, epoch, held = false, "lease"),
            }
        }
        for (duty, epoch) in &done.acts {
            if self.figures.records {
                info!(duty = ?duty, epoch, "act");
            }
        }
        let told = [
            (!done.closed.is_empty()).then_some(RoleUpdate::Closed(done.closed)),
            (!done.lapsed.is_empty()).then_some(RoleUpdate::Expired(done.lapsed)),
        ];
        for told in told.into_iter().flatten() {
            let _ = self.events.send(Event::Role(told));
        }
    }

    /// Tells the module what is decided in common, where that is new or has to be kept up.
    fn tell(&mut self, now: f64) {
        let view = self.peer.view();
        self.met |= view.live.len() > 1;
        if !self.met {
            return;
        }
        let ids = |zones: &BTreeSet<u8>| zones.iter().map(|z| ZoneId(u64::from(*z))).collect();
        let step = |share: f64| (share / STEP).round() * STEP;
        let shares = self.peer.zones.shares(now);
        let ladder = if self.figures.near {
            self.peer.zones.ladder(now, view)
        } else {
            Vec::new()
        };
        let zone_failover = ZoneFailoverState {
            shares: shares
                .iter()
                .enumerate()
                .map(|(z, s)| (ZoneId(z as u64), *s))
                .collect(),
            near: ladder.iter().map(|(z, s)| (ids(z), step(*s))).collect(),
        };
        // One that is out is told again, so that trials of its own do not end that.
        if self.told.as_ref() != Some(&zone_failover) || shares.iter().any(|s| *s <= 0.0) {
            let near = |z: &ZoneFailoverState| z.near.first().map_or(0.0, |n| n.1);
            let moved = |told: &ZoneFailoverState| (near(told) - near(&zone_failover)).abs() > 1e-9;
            if self.figures.near && self.told.as_ref().is_none_or(moved) {
                info!(share = near(&zone_failover), "near");
            }
            self.told = Some(zone_failover.clone());
            // The core ends with the process.
            let _ = self.events.send(Event::ZoneFailover(zone_failover));
        }
    }

    fn carry_out(&mut self, out: Out) {
        for (to, bytes) in &out.datagrams {
            if let Some(at) = self.figures.roster.get(usize::from(to.0))
                && let Err(e) = self.socket.send(bytes, *at)
            {
                debug!("peers: {at}: {e}");
            }
        }
        for change in &out.changes {
            match change {
                MembershipEvent::Up(m) => debug!(member = m.0, "member up"),
                // Unheard, while this side may be the one that is cut off.
                MembershipEvent::Down(m) if self.peer.view().cut_off => {
                    debug!(member = m.0, "member unheard")
                }
                MembershipEvent::Down(m) => debug!(member = m.0, "member down"),
                MembershipEvent::Rejoined => warn!("taken for down by others, and back"),
                MembershipEvent::CutOff(cut) => warn!(cut_off = cut, "cut off"),
            }
        }
        for turn in &out.turns {
            (self.verdict)(turn);
            let v = turn.verdict;
            let zone = self
                .figures
                .zones
                .get(usize::from(turn.zone))
                .map_or("", String::as_str);
            warn!(
                zone,
                epoch = v.epoch,
                out = v.out(),
                consecutive_failovers = v.consecutive_failovers,
                seen = turn.seen,
                bad = turn.bad,
                "verdict"
            );
        }
        if let (Some((from, bytes)), Some(duties)) = (&out.roles, &mut self.duties) {
            let done = duties.heard(self.net.now(), *from, bytes);
            self.carry_duties(done);
        }
        if !out.turns.is_empty() {
            self.tell(self.net.now());
        }
    }
}
