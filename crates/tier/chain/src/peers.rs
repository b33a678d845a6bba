//! Which members are alive and reach each other, from their heartbeats.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::failure_domain::FailureDomain;
use crate::message::{Heartbeat, HeartbeatTime};
use crate::state::Stamp;
use crate::view::MemberId;

/// A member that has been silent for so long is suspected.
pub(crate) const SUSPICION_TIMEOUT: Duration = Duration::from_millis(600);
/// A new or returned member is taken into a view after so long a time of heartbeats.
pub(crate) const STABLE_TIME: Duration = Duration::from_millis(800);
/// A member is in contact if it has heard a heartbeat that was sent so lately, and has said so.
pub(crate) const CONTACT_TIMEOUT: Duration = Duration::from_millis(1000);
/// How long a member that has fallen silent is remembered.
const PEER_EXPIRY: Duration = Duration::from_secs(30);
/// How many members are remembered.
const MAX_PEERS: usize = 128;

/// What is known of one other member.
#[derive(Clone, Debug)]
struct PeerState {
    last_heard: Duration,
    /// Start of the present time without a silence.
    alive_since: Duration,
    can_replicate: bool,
    leaving: bool,
    bootstrap: bool,
    failure_domain: FailureDomain,
    /// Its newest heartbeat, to be echoed.
    sent: HeartbeatTime,
    /// When the newest own heartbeat was sent that it has echoed.
    echoed: Option<Duration>,
    /// Stamp of the newest committed state that it knows.
    committed: Stamp,
    /// When each other member was last among those that this one hears.
    hears: BTreeMap<MemberId, Duration>,
}

/// The other members, as heard.
#[derive(Clone, Debug)]
pub(crate) struct Peers {
    own: MemberId,
    /// Number of this life of the process.
    incarnation: u64,
    started: Duration,
    table: BTreeMap<MemberId, PeerState>,
}

impl Peers {
    pub(crate) fn new(own: MemberId, incarnation: u64, now: Duration) -> Peers {
        Peers {
            own,
            incarnation,
            started: now,
            table: BTreeMap::new(),
        }
    }

    /// Notes a message of `from`.
    pub(crate) fn record_message(&mut self, now: Duration, from: MemberId) {
        if let Some(peer) = self.table.get_mut(&from) {
            if now.saturating_sub(peer.last_heard) > SUSPICION_TIMEOUT {
                peer.alive_since = now;
            }
            peer.last_heard = now;
        }
    }

    /// Notes a heartbeat of `from`.
    pub(crate) fn record_heartbeat(
        &mut self,
        now: Duration,
        from: MemberId,
        heartbeat: &Heartbeat,
    ) {
        if !self.table.contains_key(&from) && self.table.len() >= MAX_PEERS {
            return;
        }
        let peer = self.table.entry(from).or_insert_with(|| PeerState {
            last_heard: now,
            alive_since: now,
            can_replicate: true,
            leaving: false,
            bootstrap: false,
            failure_domain: heartbeat.failure_domain,
            sent: heartbeat.sent,
            echoed: None,
            committed: heartbeat.committed,
            hears: BTreeMap::new(),
        });
        peer.can_replicate = heartbeat.can_replicate;
        peer.leaving = heartbeat.leaving;
        peer.bootstrap = heartbeat.bootstrap;
        peer.failure_domain = heartbeat.failure_domain;
        peer.sent = heartbeat.sent;
        peer.committed = peer.committed.max(heartbeat.committed);
        let echoed = Duration::from_micros(heartbeat.echo.micros);
        if heartbeat.echo.incarnation == self.incarnation && echoed <= now {
            peer.echoed = peer.echoed.max(Some(echoed));
        }
        for &member in heartbeat.hears.iter().take(MAX_PEERS) {
            peer.hears.insert(member, now);
        }
        peer.hears
            .retain(|_, heard| now.saturating_sub(*heard) <= SUSPICION_TIMEOUT);
        self.record_message(now, from);
    }

    /// When the next of `members` will have been silent for too long, if none is heard after `now`.
    pub(crate) fn next_suspicion(&self, now: Duration, members: &[MemberId]) -> Option<Duration> {
        let heard = members.iter().filter_map(|member| self.table.get(member));
        let silent =
            heard.map(|peer| peer.last_heard + SUSPICION_TIMEOUT + Duration::from_millis(1));
        silent.filter(|&at| at > now).min()
    }

    /// Forgets members that have been silent for long, and earlier identities of addresses in use.
    pub(crate) fn expire(&mut self, now: Duration) {
        self.table
            .retain(|_, peer| now.saturating_sub(peer.last_heard) <= PEER_EXPIRY);
        let table = &self.table;
        let replaced: Vec<MemberId> = table
            .iter()
            .filter(|(member, peer)| {
                table.iter().any(|(other, newer)| {
                    other.address == member.address
                        && newer.last_heard > peer.last_heard + SUSPICION_TIMEOUT
                })
            })
            .map(|(&member, _)| member)
            .collect();
        for member in replaced {
            self.table.remove(&member);
        }
    }

    /// After this process itself stood still: nobody is suspected for a silence that it could not have heard.
    pub(crate) fn excuse_stall(&mut self, now: Duration, last_tick: Duration) {
        self.started = now;
        for peer in self.table.values_mut() {
            if last_tick.saturating_sub(peer.last_heard) <= SUSPICION_TIMEOUT {
                peer.last_heard = now;
            }
            peer.hears.values_mut().for_each(|heard| *heard = now);
        }
    }

    /// Whether a heartbeat of `member` came lately.
    pub(crate) fn is_heard(&self, now: Duration, member: MemberId) -> bool {
        member == self.own
            || self
                .table
                .get(&member)
                .is_some_and(|peer| is_recent(now, peer.last_heard))
    }

    /// Whether `member` isn't suspected: heard lately, or this process has not listened for long enough.
    pub(crate) fn is_alive(&self, now: Duration, member: MemberId) -> bool {
        is_recent(now, self.started) || self.is_heard(now, member)
    }

    /// Whether `member` has given heartbeats, without a silence, for long enough to be taken into a view.
    pub(crate) fn is_stable(&self, now: Duration, member: MemberId) -> bool {
        self.table
            .get(&member)
            .is_some_and(|peer| now.saturating_sub(peer.alive_since) >= STABLE_TIME)
    }

    /// Whether `first` hears `second`, as far as is known.
    pub(crate) fn hears(&self, now: Duration, first: MemberId, second: MemberId) -> bool {
        if first == self.own {
            return self.is_alive(now, second);
        }
        let Some(peer) = self.table.get(&first) else {
            return is_recent(now, self.started);
        };
        let listed = peer
            .hears
            .get(&second)
            .is_some_and(|&heard| is_recent(now, heard));
        listed || is_recent(now, peer.alive_since)
    }

    /// Whether the two hear each other.
    pub(crate) fn are_connected(&self, now: Duration, first: MemberId, second: MemberId) -> bool {
        self.hears(now, first, second) && self.hears(now, second, first)
    }

    /// Whether `member` is heard and is known to hear this one.
    pub(crate) fn is_reachable(&self, now: Duration, member: MemberId) -> bool {
        if member == self.own {
            return true;
        }
        self.table.get(&member).is_some_and(|peer| {
            let heard_by = peer
                .hears
                .get(&self.own)
                .is_some_and(|&heard| is_recent(now, heard));
            is_recent(now, peer.last_heard) && heard_by
        })
    }

    /// The time to put on a heartbeat that is sent now.
    pub(crate) fn heartbeat_time(&self, now: Duration) -> HeartbeatTime {
        HeartbeatTime {
            incarnation: self.incarnation,
            micros: u64::try_from(now.as_micros()).unwrap_or(u64::MAX),
        }
    }

    /// What a heartbeat to `address` echoes.
    pub(crate) fn echo_for(&self, address: std::net::SocketAddrV4) -> HeartbeatTime {
        let at_address = self
            .table
            .iter()
            .filter(|(member, _)| member.address == address);
        at_address
            .max_by_key(|(_, peer)| peer.last_heard)
            .map(|(_, peer)| peer.sent)
            .unwrap_or_default()
    }

    /// Whether `member` has heard this one within [`CONTACT_TIMEOUT`], as it has told. Unlike
    /// [`is_reachable`](Self::is_reachable) this counts from when this process sent: it ends by itself when
    /// either direction is cut, and while this process stands still.
    pub(crate) fn is_in_contact(&self, now: Duration, member: MemberId) -> bool {
        let echoed = || self.table.get(&member).and_then(|peer| peer.echoed);
        member == self.own
            || echoed().is_some_and(|sent| now.saturating_sub(sent) <= CONTACT_TIMEOUT)
    }

    /// Stamp of the newest committed state that `member` has told of.
    pub(crate) fn committed(&self, member: MemberId) -> Stamp {
        self.table
            .get(&member)
            .map(|peer| peer.committed)
            .unwrap_or_default()
    }

    /// Whether `member` may be in a chain; assumed of those that have said nothing yet.
    pub(crate) fn can_replicate(&self, member: MemberId) -> bool {
        self.table
            .get(&member)
            .is_none_or(|peer| peer.can_replicate && !peer.leaving)
    }

    /// Whether `member` has said that it is being stopped.
    pub(crate) fn is_leaving(&self, member: MemberId) -> bool {
        self.table.get(&member).is_some_and(|peer| peer.leaving)
    }

    /// Where `member` stands, if it has said so.
    pub(crate) fn failure_domain(&self, member: MemberId) -> FailureDomain {
        self.table
            .get(&member)
            .map(|peer| peer.failure_domain)
            .unwrap_or_default()
    }

    /// Members heard lately, this one among them.
    pub(crate) fn heard_lately(&self, now: Duration) -> Vec<MemberId> {
        let others = self
            .table
            .iter()
            .filter(|(_, peer)| is_recent(now, peer.last_heard));
        std::iter::once(self.own)
            .chain(others.map(|(&member, _)| member))
            .collect()
    }

    /// The member at `address` that was heard lately and may vote in epoch 0.
    pub(crate) fn is_bootstrapping(&self, now: Duration, address: std::net::SocketAddrV4) -> bool {
        self.table.iter().any(|(member, peer)| {
            member.address == address && peer.bootstrap && is_recent(now, peer.last_heard)
        })
    }

    /// Members that are known from others only: heard by those that are heard.
    pub(crate) fn heard_of(&self, now: Duration) -> Vec<MemberId> {
        let recent = self
            .table
            .values()
            .filter(|peer| is_recent(now, peer.last_heard));
        recent.flat_map(|peer| peer.hears.keys().copied()).collect()
    }
}

fn is_recent(now: Duration, then: Duration) -> bool {
    now.saturating_sub(then) <= SUSPICION_TIMEOUT
}
