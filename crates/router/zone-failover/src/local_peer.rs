//! One co-ordinator among its peers: membership and verdicts, datagrams in and datagrams out.

use crate::part_counts::ZoneObservation;
use crate::peer_actions::{OutgoingDatagram, PeerActions, PeerCounters, RolePayload};
use crate::zones::Zones;
use woadreach_membership::datagram::{self, Body, Rejection};
use woadreach_membership::{Actions, MemberId, Members, View};

/// To how many members reports are pushed at each update while a verdict may be about to change, beside the datagrams
/// of membership. Measurements: `docs/failover.md#reports-and-pushes`.
const URGENT_FANOUT: usize = 3;
/// How long reports are pushed at each update, in seconds; by then all members have them.
const URGENT_DURATION_S: f64 = 1.5;
/// To how many members reports are pushed after that.
const SUSTAINED_FANOUT: usize = 1;
/// Time between two pushes after that, in seconds. Under an overload a verdict may be about to change all the time.
const SUSTAINED_PUSH_INTERVAL_S: f64 = 0.5;
/// After so long without urgency, in seconds, the next counts as new.
const URGENCY_GAP_S: f64 = 3.0;

/// A time in which a verdict may be about to change.
#[derive(Clone, Copy, Debug)]
struct Urgency {
    /// When it began, or the latest change of a verdict if that was later.
    since_s: f64,
    /// When reports were last pushed for it.
    last_s: f64,
}

/// One co-ordinator among its peers.
///
/// The driver calls [`update`](Self::update) five to ten times a second, [`tick`](Self::tick) when
/// [`next_due_s`](Self::next_due_s) says so, [`receive`](Self::receive) for each datagram, and executes the returned
/// [`PeerActions`].
pub struct LocalPeer {
    id: MemberId,
    /// Which members are alive.
    pub members: Members,
    /// The verdicts on zones.
    pub zones: Zones,
    /// A payload on singleton roles to piggyback on every datagram. This crate doesn't read it.
    pub role_gossip: Vec<u8>,
    next_push_s: f64,
    /// The latest urgency, for [`URGENCY_GAP_S`] after its end.
    urgency: Option<Urgency>,
    counters: PeerCounters,
}

impl LocalPeer {
    /// The co-ordinator `id`. `members` and `zones` must be of the same member.
    pub fn new(id: MemberId, members: Members, zones: Zones) -> LocalPeer {
        LocalPeer {
            id,
            members,
            zones,
            role_gossip: Vec::new(),
            next_push_s: 0.0,
            urgency: None,
            counters: PeerCounters::default(),
        }
    }

    /// Which members are alive.
    pub fn view(&self) -> &View {
        self.members.view()
    }

    /// Counters since the start.
    pub fn counters(&self) -> PeerCounters {
        PeerCounters {
            unusable: self.members.unusable_messages() + self.zones.rejected(),
            ..self.counters.clone()
        }
    }

    /// When [`LocalPeer::tick`] is due.
    pub fn next_due_s(&self) -> f64 {
        self.members.next_due_s()
    }

    /// Handles a datagram. `from` is the member whose address in the roster it came from, if any.
    ///
    /// A datagram whose sender isn't the member with its address is rejected, so that two co-ordinators that are
    /// configured alike don't speak for each other. Forged addresses are not detected. The cost: a member that has
    /// moved is unheard until the roster has its new address.
    pub fn receive(&mut self, now_s: f64, from: Option<MemberId>, bytes: &[u8]) -> PeerActions {
        let body = match self.decode(from, bytes) {
            Ok(body) => body,
            Err(rejection) => {
                *self.counters.rejected.entry(rejection).or_default() += 1;
                return PeerActions::default();
            }
        };
        self.counters.accepted += 1;
        // `Zones` counts a payload that it rejects. The rest of the datagram is valid all the same.
        let _ = self.zones.receive(now_s, body.zone_gossip);
        let roles = (!body.roles.is_empty()).then(|| RolePayload {
            from: body.from,
            bytes: body.roles.to_vec(),
        });
        let mut actions = PeerActions::default();
        if !body.swim.is_empty() {
            let membership = self.members.receive(now_s, body.swim);
            actions = self.execute(now_s, membership);
        }
        actions.role_payload = roles;
        actions
    }

    /// A datagram with only a payload on singleton roles.
    pub fn send_role_payload(&mut self, to: MemberId, roles: &[u8]) -> PeerActions {
        let mut actions = PeerActions::default();
        let body = Body {
            from: self.id,
            swim: &[],
            zone_gossip: &[],
            roles,
        };
        send(&mut self.counters, to, &body, &mut actions);
        actions
    }

    /// Does what is due of membership.
    pub fn tick(&mut self, now_s: f64) -> PeerActions {
        let membership = self.members.tick(now_s);
        self.execute(now_s, membership)
    }

    /// Records what this co-ordinator sees of each zone and how many parts per second it sends, computes the verdicts,
    /// and pushes reports. To be called five to ten times a second. Verdicts are computed here and not for each
    /// datagram: at 300 members that took more of a small co-ordinator's processor than its searches.
    pub fn update(
        &mut self,
        now_s: f64,
        observations: &[ZoneObservation],
        parts_per_second: f64,
    ) -> PeerActions {
        self.zones
            .record_observations(now_s, observations, parts_per_second);
        let mut actions = PeerActions {
            verdict_changes: self.zones.decide(now_s, self.members.view()),
            ..PeerActions::default()
        };
        if now_s >= self.next_push_s {
            self.push(now_s, &mut actions);
        }
        actions
    }

    /// Notifies the others that this co-ordinator leaves.
    pub fn leave(&mut self, now_s: f64) -> PeerActions {
        let membership = self.members.leave(now_s);
        self.execute(now_s, membership)
    }

    fn decode<'a>(&self, from: Option<MemberId>, bytes: &'a [u8]) -> Result<Body<'a>, Rejection> {
        let body = datagram::decode(bytes)?;
        if from == Some(body.from) && body.from != self.id {
            Ok(body)
        } else {
            Err(Rejection::WrongSender)
        }
    }

    /// Sends reports to a few members while a verdict may be about to change.
    fn push(&mut self, now_s: f64, actions: &mut PeerActions) {
        self.next_push_s = now_s;
        if !self.zones.is_urgent(now_s) {
            self.urgency = self.urgency.filter(|u| now_s - u.last_s < URGENCY_GAP_S);
            return;
        }
        let started_at_s = self.urgency.map_or(now_s, |urgency| urgency.since_s);
        let since_s = started_at_s.max(self.zones.last_change_s());
        self.urgency = Some(Urgency {
            since_s,
            last_s: now_s,
        });
        let mut fanout = URGENT_FANOUT;
        if now_s - since_s > URGENT_DURATION_S {
            fanout = SUSTAINED_FANOUT;
            self.next_push_s = now_s + SUSTAINED_PUSH_INTERVAL_S;
        }
        for to in self.members.random_peers(fanout) {
            let gossip = self.zone_gossip(now_s, 0);
            if !gossip.is_empty() {
                self.send_with_roles(to, &[], &gossip, actions);
            }
        }
    }

    /// Sends membership's messages with gossip piggybacked.
    fn execute(&mut self, now_s: f64, membership: Actions) -> PeerActions {
        let mut actions = PeerActions {
            membership_events: membership.events,
            ..PeerActions::default()
        };
        for message in membership.messages {
            let gossip = self.zone_gossip(now_s, message.bytes.len());
            self.send_with_roles(message.to, &message.bytes, &gossip, &mut actions);
        }
        actions
    }

    /// The payload on zones for a datagram with a membership message of `swim_bytes`.
    fn zone_gossip(&mut self, now_s: f64, swim_bytes: usize) -> Vec<u8> {
        let capacity = datagram::capacity_beside(swim_bytes + self.role_gossip.len());
        self.zones.gossip(now_s, capacity, self.members.view())
    }

    fn send_with_roles(
        &mut self,
        to: MemberId,
        swim: &[u8],
        zone_gossip: &[u8],
        actions: &mut PeerActions,
    ) {
        let body = Body {
            from: self.id,
            swim,
            zone_gossip,
            roles: &self.role_gossip,
        };
        send(&mut self.counters, to, &body, actions);
    }
}

/// Encodes and counts a datagram. One that is too long is dropped; callers keep to the capacity.
fn send(counters: &mut PeerCounters, to: MemberId, body: &Body<'_>, actions: &mut PeerActions) {
    if let Some(bytes) = datagram::encode(body) {
        counters.sent += 1;
        counters.sent_bytes += bytes.len() as u64;
        actions.datagrams.push(OutgoingDatagram { to, bytes });
    }
}
