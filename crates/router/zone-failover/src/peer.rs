//! One co-ordinator among its peers: membership and verdicts behind one door, for a host that has a socket
//! and a clock. Owns both and the counts of what was refused; must never decide what either of them decides.

use crate::decide::{Turn, ZoneObservation, Zones};
use std::collections::BTreeMap;
use woadreach_membership::datagram::{self, Body, Rejection};
use woadreach_membership::{Actions, MemberId, Members, MembershipEvent, View};

/// While something is about to change, reports go to so many others at each look beside the members' own
/// datagrams. At 300 members each round reaches four times as many; with two of them eight plays at 10 %
/// loss agreed after 1.2 to 2.1 s, with three after 1.1 to 2.0 s, for 19 datagrams a second and not 14
/// meanwhile.
const PUSH_TO: usize = 3;
/// That lasts for so long, by when all have heard; then, while it goes on and nothing has changed, to one
/// other so often. Under an overload something is always about to change: 60 members sent 5 kB a second each
/// throughout.
const PUSH_FOR: f64 = 1.5;
const PUSH_LATER: f64 = 0.5;
/// Quiet for so long, the next is a new one.
const QUIET: f64 = 3.0;

/// What has been sent, taken and refused so far.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PeerCounters {
    pub sent: u64,
    pub bytes: u64,
    pub taken: u64,
    pub refused: BTreeMap<Rejection, u64>,
    /// GossipPayload and membership messages that could not be used.
    pub unusable: u64,
}

/// What the host has to do and may want to log.
#[derive(Debug, Default)]
pub struct Out {
    pub datagrams: Vec<(MemberId, Vec<u8>)>,
    pub changes: Vec<MembershipEvent>,
    pub turns: Vec<Turn>,
    /// What a datagram said of roles, for whoever keeps them.
    pub roles: Option<(MemberId, Vec<u8>)>,
}

pub struct Peer {
    me: MemberId,
    pub members: Members,
    pub zones: Zones,
    /// On roles, to go with every datagram; not for this package to read.
    pub role_messages: Vec<u8>,
    next_push: f64,
    /// Since when something has been about to change, and when it last was.
    pressed: Option<(f64, f64)>,
    counts: PeerCounters,
}

impl Peer {
    pub fn new(me: MemberId, members: Members, zones: Zones) -> Self {
        Peer {
            me,
            members,
            zones,
            role_messages: Vec::new(),
            next_push: 0.0,
            pressed: None,
            counts: PeerCounters::default(),
        }
    }

    pub fn view(&self) -> &View {
        self.members.view()
    }

    pub fn counts(&self) -> PeerCounters {
        PeerCounters {
            unusable: self.members.unusable + self.zones.refused,
            ..self.counts.clone()
        }
    }

    pub fn next_due(&self) -> f64 {
        self.members.next_due()
    }

    /// A datagram has come; `from`: whose address in the roster it came from, if anybody's.
    ///
    /// Danger: a member that takes another's name speaks for it. What does not come from that name's address
    /// is refused. Covers two that are configured alike, not one that forges addresses. Harm: a member that
    /// has moved is not heard until the roster says so.
    pub fn heard(&mut self, now: f64, from: Option<MemberId>, bytes: &[u8]) -> Out {
        let body = datagram::decode(bytes).and_then(|body| {
            let named = from == Some(body.from) && body.from != self.me;
            if named {
                Ok(body)
            } else {
                Err(Rejection::Name)
            }
        });
        let body = match body {
            Ok(body) => body,
            Err(why) => {
                *self.counts.refused.entry(why).or_default() += 1;
                return Out::default();
            }
        };
        self.counts.taken += 1;
        // Counted where it is refused; the rest of the datagram holds all the same.
        let _ = self.zones.heard(now, body.zone_gossip);
        let roles = (!body.roles.is_empty()).then(|| (body.from, body.roles.to_vec()));
        if body.swim.is_empty() {
            return Out {
                roles,
                ..Out::default()
            };
        }
        let acts = self.members.heard(now, body.swim);
        Out {
            roles,
            ..self.out(now, acts)
        }
    }

    /// A datagram on roles alone, which are sealed by whoever keeps them.
    pub fn tell(&mut self, to: MemberId, roles: &[u8]) -> Out {
        let mut out = Out::default();
        self.seal(to, &[], &[], roles, &mut out);
        out
    }

    /// Whatever of the membership is due by now.
    pub fn tick(&mut self, now: f64) -> Out {
        let acts = self.members.tick(now);
        self.out(now, acts)
    }

    /// What this co-ordinator sees of each zone, and its parts a second, some ten times a second. Verdicts
    /// are worked out here and not for each datagram: at 300 members that took more of a small co-ordinator's
    /// processor than its searches.
    pub fn see(&mut self, now: f64, sights: &[ZoneObservation], demand: f64) -> Out {
        self.zones.see(now, sights, demand);
        let turns = self.zones.decide(now, self.members.view());
        let mut out = Out {
            turns,
            ..Out::default()
        };
        if now >= self.next_push {
            self.push(now, &mut out);
        }
        out
    }

    fn push(&mut self, now: f64, out: &mut Out) {
        self.next_push = now;
        if !self.zones.pressing(now) {
            self.pressed = self.pressed.filter(|p| now - p.1 < QUIET);
            return;
        }
        let since = self.pressed.map_or(now, |p| p.0).max(self.zones.turned());
        self.pressed = Some((since, now));
        let mut to = PUSH_TO;
        if now - since > PUSH_FOR {
            to = 1;
            self.next_push = now + PUSH_LATER;
        }
        for to in self.members.some(to) {
            let room = datagram::capacity_beside(self.role_messages.len());
            let gossip = self.zones.gossip(now, room, self.members.view());
            if !gossip.is_empty() {
                self.send(to, &[], &gossip, out);
            }
        }
    }

    pub fn leave(&mut self, now: f64) -> Out {
        let acts = self.members.leave(now);
        self.out(now, acts)
    }

    fn out(&mut self, now: f64, acts: Actions) -> Out {
        let mut out = Out {
            changes: acts.changes,
            ..Out::default()
        };
        for (to, message) in acts.send {
            let room = datagram::capacity_beside(message.len() + self.role_messages.len());
            let gossip = self.zones.gossip(now, room, self.members.view());
            self.send(to, &message, &gossip, &mut out);
        }
        out
    }

    fn send(&mut self, to: MemberId, swim: &[u8], gossip: &[u8], out: &mut Out) {
        let roles = std::mem::take(&mut self.role_messages);
        self.seal(to, swim, gossip, &roles, out);
        self.role_messages = roles;
    }

    fn seal(&mut self, to: MemberId, swim: &[u8], gossip: &[u8], roles: &[u8], out: &mut Out) {
        if let Some(bytes) = datagram::encode(&Body {
            from: self.me,
            swim,
            zone_gossip: gossip,
            roles,
        }) {
            self.counts.sent += 1;
            self.counts.bytes += bytes.len() as u64;
            out.datagrams.push((to, bytes));
        }
    }
}
