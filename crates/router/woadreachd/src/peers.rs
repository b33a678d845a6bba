//! The task that speaks with the other co-ordinators of the tier.
//!
//! It owns the socket for their datagrams and drives the state machines behind [`LocalPeer`] (membership, verdicts
//! on zones) and [`SingletonRoles`] (leases). They decide; this task carries out what they ask for and sends
//! the core what the tier has agreed on. Nothing is sent unless the settings allow it. Start reading at
//! [`run`]:
//!
//! - [`roles`]: singleton roles and the demand for warming replicas.
//! - [`zone_failover`]: the zones that take traffic.

mod config;
mod roles;
mod zone_failover;

pub use config::PeerConfig;

use crate::events::{EndpointReport, Events};
use crate::phase::Phase;
use roles::WarmingState;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use tokio::sync::{mpsc, watch};
use tracing::{debug, info, warn};
use woadreach_lease::{LeaseConfig, LocalMember, ReplicaKey, SingletonRoles};
use woadreach_membership::{
    Member, MemberId, Members, MembershipConfig, MembershipEvent, datagram,
};
use woadreach_routing::api::ZoneFailoverState;
use woadreach_runtime::{Datagrams, Net};
use woadreach_zone_failover::{
    LocalPeer, PeerActions, VerdictChange, ZoneFailoverConfig, ZoneObservation, Zones,
};
use zone_failover::AttemptRate;

/// What the core has observed: the health of zones, the attempts sent and the demand for warming replicas.
#[derive(Clone, Debug, Default)]
pub(crate) struct CoreObservations {
    /// In the settings' order.
    pub(crate) zones: Vec<ZoneObservation>,
    /// Attempts sent since the start.
    pub(crate) attempts_sent: u64,
    pub(crate) warming: Vec<WarmingDemand>,
}

/// Demand for a warming replica.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct WarmingDemand {
    pub(crate) replica: ReplicaKey,
    /// Parts that slow start has kept from it since the start.
    pub(crate) suppressed: u64,
    /// Whether it was sent any part lately.
    pub(crate) sent: bool,
}

/// Receives each new verdict on a zone.
pub type VerdictCallback = Box<dyn Fn(&VerdictChange)>;

/// The task's inputs from other tasks, and where its results go.
pub(crate) struct PeerChannels {
    pub(crate) observations: watch::Receiver<CoreObservations>,
    pub(crate) endpoint_reports: mpsc::UnboundedReceiver<EndpointReport>,
    pub(crate) phase: watch::Receiver<Phase>,
    pub(crate) events: Events,
    pub(crate) on_verdict: VerdictCallback,
}

/// Seconds between the log lines that report the state of membership and leases.
const STATUS_INTERVAL: f64 = 5.0;
/// Shortest slow start of a zone that is back, in seconds.
const MIN_ZONE_SLOW_START: f64 = 1.5;
/// Longest slow start of a zone that is back, in seconds.
const MAX_ZONE_SLOW_START: f64 = 8.0;
/// A zone that is back has all of its traffic after the time in which a replica warms up, divided by this: its
/// slow start is over before that of its replicas.
const ZONE_SLOW_START_DIVISOR: f64 = 3.0;
/// Seconds to wait after an error of the socket, which is temporary.
const RECEIVE_RETRY_INTERVAL: f64 = 0.1;
/// Makes the seed of leases differ from that of membership.
const LEASE_SEED_ROTATION: u32 = 17;

struct PeerTask<N: Net> {
    net: N,
    config: PeerConfig,
    socket: N::Datagrams,
    by_address: BTreeMap<SocketAddr, MemberId>,
    peer: LocalPeer,
    roles: Option<SingletonRoles>,
    /// By warming replica, as of the last observation.
    warming: BTreeMap<ReplicaKey, WarmingState>,
    events: Events,
    on_verdict: VerdictCallback,
    /// What the core was last sent.
    published: Option<ZoneFailoverState>,
    /// Whether another co-ordinator has been heard: before that this one decides as if it had no peers.
    has_met_peer: bool,
    attempt_rate: AttemptRate,
    next_status: f64,
}

/// Runs until the process ends.
pub(crate) async fn run<N: Net>(
    net: N,
    config: PeerConfig,
    socket: N::Datagrams,
    channels: PeerChannels,
) {
    let PeerChannels {
        mut observations,
        mut endpoint_reports,
        mut phase,
        events,
        on_verdict,
    } = channels;
    let mut task = PeerTask::new(net.clone(), config, socket, events, on_verdict);
    let mut bytes = [0; datagram::MAX_BYTES + 1];
    loop {
        let due = task.next_due();
        tokio::select! {
            biased;
            changed = phase.changed() => {
                if changed.is_err() || *phase.borrow() > Phase::Draining {
                    return task.leave();
                }
            }
            () = net.sleep_until(due) => task.tick(),
            changed = observations.changed() => {
                if changed.is_err() {
                    return;
                }
                let observed = observations.borrow_and_update().clone();
                task.observe(&observed);
            }
            Some(report) = endpoint_reports.recv() => task.endpoint_reported(report),
            received = task.socket.receive(&mut bytes) => match received {
                Ok((length, from)) => task.datagram_received(&bytes[..length], from),
                Err(error) => {
                    debug!(%error, "receiving a datagram failed");
                    net.sleep(RECEIVE_RETRY_INTERVAL).await;
                }
            },
        }
    }
}

impl<N: Net> PeerTask<N> {
    fn new(
        net: N,
        config: PeerConfig,
        socket: N::Datagrams,
        events: Events,
        on_verdict: VerdictCallback,
    ) -> Self {
        let now = net.now();
        let addresses = config.roster.iter().enumerate();
        let by_address = addresses
            .map(|(index, address)| (*address, MemberId(index as u16)))
            .collect();
        PeerTask {
            by_address,
            peer: new_peer(&config, now),
            roles: config.roles.then(|| new_roles(&config, now)),
            warming: BTreeMap::new(),
            net,
            config,
            socket,
            events,
            on_verdict,
            published: None,
            has_met_peer: false,
            attempt_rate: AttemptRate::new(now),
            next_status: now + STATUS_INTERVAL,
        }
    }

    fn next_due(&self) -> f64 {
        let roles = self.roles.as_ref();
        let roles = roles.map_or(f64::INFINITY, SingletonRoles::next_due_s);
        self.peer.next_due_s().min(self.next_status).min(roles)
    }

    fn tick(&mut self) {
        let now = self.net.now();
        let actions = self.roles.as_mut().map(|roles| roles.tick(now));
        self.perform_role_actions(actions.unwrap_or_default());
        let actions = self.peer.tick(now);
        self.perform(actions);
        if now >= self.next_status {
            self.next_status = now + STATUS_INTERVAL;
            self.log_membership();
            self.log_roles(now);
        }
    }

    /// Releases leases and notifies the peers that this process ends.
    fn leave(mut self) {
        let now = self.net.now();
        let actions = self.roles.as_mut().map(|roles| roles.leave(now));
        self.perform_role_actions(actions.unwrap_or_default());
        let actions = self.peer.leave(now);
        self.perform(actions);
    }

    fn observe(&mut self, observed: &CoreObservations) {
        let now = self.net.now();
        self.attempt_rate.record(now, observed.attempts_sent);
        self.update_roles(now, observed);
        let demand = self.attempt_rate.per_second;
        let actions = self.peer.update(now, &observed.zones, demand);
        self.perform(actions);
        self.publish_zone_failover(now);
    }

    fn datagram_received(&mut self, bytes: &[u8], from: SocketAddr) {
        let from = self.by_address.get(&from).copied();
        let actions = self.peer.receive(self.net.now(), from, bytes);
        self.perform(actions);
    }

    /// Carries out what membership and verdicts ask for.
    fn perform(&mut self, actions: PeerActions) {
        for datagram in &actions.datagrams {
            if let Some(address) = self.config.roster.get(usize::from(datagram.to.0))
                && let Err(error) = self.socket.send(&datagram.bytes, *address)
            {
                debug!(%address, %error, "sending a datagram failed");
            }
        }
        for event in &actions.membership_events {
            self.log_membership_event(event);
        }
        for change in &actions.verdict_changes {
            (self.on_verdict)(change);
            self.log_verdict(change);
        }
        if let (Some(received), Some(roles)) = (&actions.role_payload, &mut self.roles) {
            let actions = roles.receive(self.net.now(), received.from, &received.bytes);
            self.perform_role_actions(actions);
        }
        if !actions.verdict_changes.is_empty() {
            self.publish_zone_failover(self.net.now());
        }
    }

    fn log_membership_event(&self, event: &MembershipEvent) {
        match event {
            MembershipEvent::Up(member) => debug!(member = member.0, "member joined"),
            // Not heard, while this side may be the one that is partitioned.
            MembershipEvent::Down(member) if self.peer.view().is_partitioned => {
                debug!(member = member.0, "member unheard");
            }
            // It has failed, or has left: the protocol tells others the same of both.
            MembershipEvent::Down(member) => debug!(member = member.0, "member down"),
            MembershipEvent::Rejoined => {
                warn!("rejoined after peers had declared this member failed")
            }
            MembershipEvent::Partitioned => warn!("partitioned from the majority"),
            MembershipEvent::Reconnected => warn!("reconnected to the majority"),
        }
    }

    fn log_verdict(&self, change: &VerdictChange) {
        let zone = self.config.zones.get(usize::from(change.zone));
        let zone = zone.map_or("", String::as_str);
        let (verdict, seen, failed) = (change.verdict, change.seen, change.failed);
        let (epoch, consecutive_failovers) = (verdict.epoch, verdict.consecutive_failovers);
        if verdict.is_ejected() {
            warn!(
                zone,
                epoch, consecutive_failovers, seen, failed, "zone ejected"
            );
        } else {
            warn!(
                zone,
                epoch, consecutive_failovers, seen, failed, "zone restored"
            );
        }
    }

    fn log_membership(&self) {
        let (view, counts) = (self.peer.view(), self.peer.counters());
        let refused: u64 = counts.rejected.values().sum::<u64>() + counts.unusable;
        info!(
            live = view.live.len(),
            roster = view.roster_size,
            partitioned = view.is_partitioned,
            health = self.peer.members.local_health(),
            datagrams_sent = counts.sent,
            bytes_sent = counts.sent_bytes,
            datagrams_received = counts.accepted,
            datagrams_refused = refused,
            "membership reported"
        );
    }
}

fn new_peer(config: &PeerConfig, now: f64) -> LocalPeer {
    let id = MemberId(config.index as u16);
    let zone = config.zone as u8;
    let roster = config.roster.len();
    let member = Member {
        id,
        zone,
        generation: 0,
    };
    let members = Members::new(
        member,
        roster,
        MembershipConfig::default(),
        config.seed,
        now,
    );
    let slow_start_duration_s = if config.warm_up_s > 0.0 {
        (config.warm_up_s / ZONE_SLOW_START_DIVISOR).clamp(MIN_ZONE_SLOW_START, MAX_ZONE_SLOW_START)
    } else {
        MIN_ZONE_SLOW_START
    };
    let failover = ZoneFailoverConfig {
        slow_start_duration_s,
        ..ZoneFailoverConfig::default()
    };
    let mut zones = Zones::new(id, zone, config.regions.clone(), roster, failover, now);
    zones.ejected_by_operator = config
        .ejected_by_operator
        .iter()
        .map(|z| *z as u8)
        .collect();
    LocalPeer::new(id, members, zones)
}

fn new_roles(config: &PeerConfig, now: f64) -> SingletonRoles {
    let slow_start = config.slow_start.filter(|_| config.quota_allocator);
    let member = LocalMember {
        id: MemberId(config.index as u16),
        zone: config.zone as u8,
        roster_size: config.roster.len(),
        slow_start,
    };
    let seed = config.seed.rotate_left(LEASE_SEED_ROTATION);
    SingletonRoles::new(member, LeaseConfig::default(), seed, now)
}
