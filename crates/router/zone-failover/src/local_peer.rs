//! The state machine of one co-ordinator for the datagrams of its peers. It combines membership and verdicts.

use crate::part_counts::ZoneObservation;
use crate::peer_actions::{OutgoingDatagram, PeerActions, PeerCounters, RolePayload};
use crate::zones::Zones;
use woadreach_membership::datagram::{self, Body, Rejection};
use woadreach_membership::{Actions, MemberId, Members, View};

/// Number of members to which reports are pushed at each update while a verdict may be about to change, in addition to
/// membership datagrams. Measurements: `docs/failover.md#reports-and-pushes`.
const URGENT_FANOUT: usize = 3;
/// Duration of pushes at each update, in seconds. All members have the reports by its end.
const URGENT_DURATION_S: f64 = 1.5;
/// Number of members to which reports are pushed after [`URGENT_DURATION_S`].
const SUSTAINED_FANOUT: usize = 1;
/// Interval between two pushes after [`URGENT_DURATION_S`], in seconds. Pushes are limited because a verdict may be
/// about to change continuously during an overload.
const SUSTAINED_PUSH_INTERVAL_S: f64 = 0.5;
/// Time without urgency after which the next urgency counts as a new one, in seconds.
const URGENCY_GAP_S: f64 = 3.0;

/// A period during which a verdict may be about to change.
#[derive(Clone, Copy, Debug)]
struct Urgency {
    /// Start of the period, or the latest change of a verdict if that is later.
    since_s: f64,
    /// Time of the latest push in the period.
    last_s: f64,
}

/// The state machine of one co-ordinator for the datagrams of its peers.
///
/// The driver calls [`update`](Self::update) five to ten times per second, [`tick`](Self::tick) at the time of
/// [`next_due_s`](Self::next_due_s), and [`receive`](Self::receive) for each datagram. It executes the returned
/// [`PeerActions`].
pub struct LocalPeer {
    id: MemberId,
    /// Membership protocol of this member.
    pub members: Members,
    /// Verdicts on zones, as computed by this member.
    pub zones: Zones,
    /// Payload about singleton roles to piggyback on every datagram, set by the driver. This crate doesn't decode it.
    pub role_gossip: Vec<u8>,
    next_push_s: f64,
    /// Latest period of urgency; `None` from [`URGENCY_GAP_S`] after its end.
    urgency: Option<Urgency>,
    counters: PeerCounters,
}

impl LocalPeer {
    /// Creates the state machine of the co-ordinator `id`. `members` and `zones` must belong to the same member.
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

    /// Returns the live members, as seen by this member.
    pub fn view(&self) -> &View {
        self.members.view()
    }

    /// Returns the counters since the start of this member.
    pub fn counters(&self) -> PeerCounters {
        PeerCounters {
            unusable: self.members.unusable_messages() + self.zones.rejected(),
            ..self.counters.clone()
        }
    }

    /// Returns the time at which [`LocalPeer::tick`] is due.
    pub fn next_due_s(&self) -> f64 {
        self.members.next_due_s()
    }

    /// Handles a datagram. `from` is the member whose roster address matches the source address; `None` if there is
    /// none.
    ///
    /// A datagram whose sender id doesn't match its source address is rejected, so that two co-ordinators that are
    /// configured with the same id don't send in each other's name. Forged addresses are not detected. The drawback:
    /// datagrams of a member whose address has changed are rejected until the roster has its new address.
    pub fn receive(&mut self, now_s: f64, from: Option<MemberId>, bytes: &[u8]) -> PeerActions {
        let body = match self.decode(from, bytes) {
            Ok(body) => body,
            Err(rejection) => {
                *self.counters.rejected.entry(rejection).or_default() += 1;
                return PeerActions::default();
            }
        };
        self.counters.accepted += 1;
        // `Zones` counts a payload that it rejects. The rest of the datagram is still valid.
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

    /// Sends a datagram that contains only a payload about singleton roles.
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

    /// Performs all due steps of the membership protocol.
    pub fn tick(&mut self, now_s: f64) -> PeerActions {
        let membership = self.members.tick(now_s);
        self.execute(now_s, membership)
    }

    /// Records this co-ordinator's observation of each zone and the rate at which it sends parts, computes the
    /// verdicts, and pushes reports. Must be called five to ten times per second. Verdicts are computed here and not
    /// for each datagram, because with 300 members that used more processor time of a small co-ordinator than its
    /// searches.
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

    /// Notifies other members that this co-ordinator leaves the tier.
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

    /// Pushes reports to a few members while a verdict may be about to change.
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

    /// Sends the messages of the membership protocol with gossip piggybacked.
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

    /// Returns the zone payload for a datagram with a membership message of `swim_bytes` bytes.
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

/// Encodes and counts a datagram. A datagram that is too long is dropped; callers must respect its capacity.
fn send(counters: &mut PeerCounters, to: MemberId, body: &Body<'_>, actions: &mut PeerActions) {
    if let Some(bytes) = datagram::encode(body) {
        counters.sent += 1;
        counters.sent_bytes += bytes.len() as u64;
        actions.datagrams.push(OutgoingDatagram { to, bytes });
    }
}
