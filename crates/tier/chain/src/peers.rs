//! Failure detector: which members are alive, and which receive each other's messages.
//!
//! A suspected member of the chain is a reason to propose a view without it, and a stable member outside the
//! view is a reason to add it.
//!
//! A member is suspected if no message of it was received for [`SUSPICION_TIMEOUT`]. A heartbeat lists the
//! members that its sender has heard, so links between other members are known too. It also echoes the receiver's
//! last heartbeat, which proves that both directions of the link work.
//!
//! | a member is | if |
//! | --- | --- |
//! | heard | this process has received a message of it within [`SUSPICION_TIMEOUT`] |
//! | alive | it is heard, or this process has been receiving for less than [`SUSPICION_TIMEOUT`] |
//! | stable | its first message, or the first after a gap of more than [`SUSPICION_TIMEOUT`], was received at least [`STABLE_TIME`] ago |
//! | reachable | it is heard, and has listed this member as heard within [`SUSPICION_TIMEOUT`] |
//! | in contact | it has echoed a heartbeat that this process sent within [`CONTACT_TIMEOUT`] |
//! | connected to another | each of the two has heard the other; assumed where this process has not been receiving for long enough to know |

use std::collections::BTreeMap;
use std::time::Duration;

use crate::failure_domain::FailureDomain;
use crate::message::{Heartbeat, HeartbeatTime};
use crate::state::WritePosition;
use crate::view::MemberId;

/// A member is suspected if no message of it was received for this time.
pub(crate) const SUSPICION_TIMEOUT: Duration = Duration::from_millis(600);
/// How long a new or restarted member must have been alive before it is added to a view.
pub(crate) const STABLE_TIME: Duration = Duration::from_millis(800);
/// Maximum age of an echoed heartbeat that still counts as contact.
pub(crate) const CONTACT_TIMEOUT: Duration = Duration::from_millis(1000);
/// Time after its last message at which a member is dropped from the table.
const PEER_EXPIRY: Duration = Duration::from_secs(30);
/// Maximum number of members in the table, and of listed members that are read from one heartbeat.
const MAX_PEERS: usize = 128;

/// State of another member (the peer), as known from its messages.
#[derive(Clone, Debug)]
struct PeerState {
    /// Time at which the peer's last message was received.
    last_heard: Duration,
    /// Start of the period in which the peer was alive without being suspected.
    alive_since: Duration,
    /// Whether the peer may be in a chain, as it last reported.
    can_replicate: bool,
    /// Whether the peer is shutting down, as it last reported.
    leaving: bool,
    /// Whether the peer may vote in epoch 0.
    bootstrap: bool,
    /// Zone and region of the peer.
    failure_domain: FailureDomain,
    /// Send time of the peer's newest heartbeat, by the peer's clock; this member's heartbeats echo it.
    sent: HeartbeatTime,
    /// Send time of this process's newest heartbeat that the peer has echoed. Never above the current time.
    echoed: Option<Duration>,
    /// Position of the newest committed state that the peer has reported. Never decreases.
    committed: WritePosition,
    /// For each member that the peer lists as heard, the time at which a heartbeat last listed it.
    listed_at: BTreeMap<MemberId, Duration>,
}

impl PeerState {
    /// The state of a peer whose first heartbeat is received at `now`.
    fn new(now: Duration, heartbeat: &Heartbeat) -> PeerState {
        PeerState {
            last_heard: now,
            alive_since: now,
            can_replicate: heartbeat.can_replicate,
            leaving: heartbeat.leaving,
            bootstrap: heartbeat.bootstrap,
            failure_domain: heartbeat.failure_domain,
            sent: heartbeat.sent,
            echoed: None,
            committed: heartbeat.committed,
            listed_at: BTreeMap::new(),
        }
    }

    /// Records the status that the peer reports of itself.
    fn record_status(&mut self, heartbeat: &Heartbeat) {
        self.can_replicate = heartbeat.can_replicate;
        self.leaving = heartbeat.leaving;
        self.bootstrap = heartbeat.bootstrap;
        self.failure_domain = heartbeat.failure_domain;
        self.sent = heartbeat.sent;
        self.committed = self.committed.max(heartbeat.committed);
    }

    /// Records the echo of a heartbeat of this process, unless its send time is in the future.
    fn record_echo(&mut self, now: Duration, echo: HeartbeatTime) {
        let echoed = Duration::from_micros(echo.micros);
        if echoed <= now {
            self.echoed = self.echoed.max(Some(echoed));
        }
    }

    /// Records the members that the peer lists as heard, and drops those that it has not listed for
    /// [`SUSPICION_TIMEOUT`].
    fn record_heard_members(&mut self, now: Duration, heard_members: &[MemberId]) {
        for &member in heard_members.iter().take(MAX_PEERS) {
            self.listed_at.insert(member, now);
        }
        self.listed_at
            .retain(|_, listed_at| is_recent(now, *listed_at));
    }
}

/// The failure detector: the state of the other members.
#[derive(Clone, Debug)]
pub(crate) struct Peers {
    /// This member.
    own: MemberId,
    /// Incarnation of this process, never 0. Echoes of other incarnations are ignored.
    incarnation: u64,
    /// Time since which this process has been receiving messages: its start, or the end of its last stall.
    receiving_since: Duration,
    /// The other members that have sent a heartbeat; at most [`MAX_PEERS`].
    table: BTreeMap<MemberId, PeerState>,
}

impl Peers {
    /// The failure detector of a process that starts at `now` and has received no message.
    pub(crate) fn new(own: MemberId, incarnation: u64, now: Duration) -> Peers {
        Peers {
            own,
            incarnation,
            receiving_since: now,
            table: BTreeMap::new(),
        }
    }

    /// Records that a message of `from` was received. Members that have sent no heartbeat yet are ignored.
    pub(crate) fn record_message(&mut self, now: Duration, from: MemberId) {
        if let Some(peer) = self.table.get_mut(&from) {
            if now.saturating_sub(peer.last_heard) > SUSPICION_TIMEOUT {
                peer.alive_since = now;
            }
            peer.last_heard = now;
        }
    }

    /// Records a heartbeat of `from`, unless [`MAX_PEERS`] others are known.
    pub(crate) fn record_heartbeat(
        &mut self,
        now: Duration,
        from: MemberId,
        heartbeat: &Heartbeat,
    ) {
        if !self.table.contains_key(&from) && self.table.len() >= MAX_PEERS {
            return;
        }
        let peer = self
            .table
            .entry(from)
            .or_insert_with(|| PeerState::new(now, heartbeat));
        peer.record_status(heartbeat);
        if heartbeat.echo.incarnation == self.incarnation {
            peer.record_echo(now, heartbeat.echo);
        }
        peer.record_heard_members(now, &heartbeat.heard_members);
        self.record_message(now, from);
    }

    /// Time at which the next of `members` becomes suspected if no message is received after `now`; `None` if
    /// each of them is already suspected or unknown.
    pub(crate) fn next_suspicion(&self, now: Duration, members: &[MemberId]) -> Option<Duration> {
        let heard = members.iter().filter_map(|member| self.table.get(member));
        let suspected_at =
            heard.map(|peer| peer.last_heard + SUSPICION_TIMEOUT + Duration::from_millis(1));
        suspected_at.filter(|&at| at > now).min()
    }

    /// Drops members that have sent nothing for [`PEER_EXPIRY`], and members whose address is now used by another
    /// identity.
    pub(crate) fn expire(&mut self, now: Duration) {
        self.table
            .retain(|_, peer| now.saturating_sub(peer.last_heard) <= PEER_EXPIRY);
        let members = self.table.keys().copied();
        let replaced: Vec<MemberId> = members.filter(|&member| self.is_replaced(member)).collect();
        for member in replaced {
            self.table.remove(&member);
        }
    }

    /// Whether another identity at the member's address was heard after the member was suspected.
    fn is_replaced(&self, member: MemberId) -> bool {
        let Some(peer) = self.table.get(&member) else {
            return false;
        };
        self.table.iter().any(|(other, newer)| {
            other.address == member.address
                && newer.last_heard > peer.last_heard + SUSPICION_TIMEOUT
        })
    }

    /// Restarts the time-outs of members that were not suspected at `last_tick`: this process was stalled from
    /// then until `now` and could not receive their messages.
    pub(crate) fn restart_timeouts_after_stall(&mut self, now: Duration, last_tick: Duration) {
        self.receiving_since = now;
        for peer in self.table.values_mut() {
            if last_tick.saturating_sub(peer.last_heard) <= SUSPICION_TIMEOUT {
                peer.last_heard = now;
            }
            peer.listed_at
                .values_mut()
                .for_each(|listed_at| *listed_at = now);
        }
    }

    /// Whether a message of `member` was received within [`SUSPICION_TIMEOUT`]. Always true for this member.
    pub(crate) fn is_heard(&self, now: Duration, member: MemberId) -> bool {
        member == self.own
            || self
                .table
                .get(&member)
                .is_some_and(|peer| is_recent(now, peer.last_heard))
    }

    /// Whether `member` is not suspected: it is heard, or this process has been receiving for less than
    /// [`SUSPICION_TIMEOUT`].
    pub(crate) fn is_alive(&self, now: Duration, member: MemberId) -> bool {
        is_recent(now, self.receiving_since) || self.is_heard(now, member)
    }

    /// Whether `member` has been alive without interruption for [`STABLE_TIME`].
    pub(crate) fn is_stable(&self, now: Duration, member: MemberId) -> bool {
        self.table
            .get(&member)
            .is_some_and(|peer| now.saturating_sub(peer.alive_since) >= STABLE_TIME)
    }

    /// Whether `first` has received a message of `second` within the suspicion time-out, as listed in its
    /// heartbeats. Assumed to be true while `first` has not been alive for long enough to list `second`.
    pub(crate) fn has_heard(&self, now: Duration, first: MemberId, second: MemberId) -> bool {
        if first == self.own {
            return self.is_alive(now, second);
        }
        let Some(peer) = self.table.get(&first) else {
            return is_recent(now, self.receiving_since);
        };
        let is_listed = peer
            .listed_at
            .get(&second)
            .is_some_and(|&listed_at| is_recent(now, listed_at));
        is_listed || is_recent(now, peer.alive_since)
    }

    /// Whether each of the two members has heard the other.
    pub(crate) fn are_connected(&self, now: Duration, first: MemberId, second: MemberId) -> bool {
        self.has_heard(now, first, second) && self.has_heard(now, second, first)
    }

    /// Whether `member` is heard and has listed this member as heard within [`SUSPICION_TIMEOUT`]. Always true
    /// for this member.
    pub(crate) fn is_reachable(&self, now: Duration, member: MemberId) -> bool {
        if member == self.own {
            return true;
        }
        self.table.get(&member).is_some_and(|peer| {
            let lists_own = peer
                .listed_at
                .get(&self.own)
                .is_some_and(|&listed_at| is_recent(now, listed_at));
            is_recent(now, peer.last_heard) && lists_own
        })
    }

    /// The send time of a heartbeat that is sent now.
    pub(crate) fn heartbeat_time(&self, now: Duration) -> HeartbeatTime {
        HeartbeatTime {
            incarnation: self.incarnation,
            micros: u64::try_from(now.as_micros()).unwrap_or(u64::MAX),
        }
    }

    /// The echo in a heartbeat to `address`: the send time of the newest heartbeat from that address; the default
    /// if there was none.
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

    /// Whether `member` has echoed a heartbeat that this process sent within [`CONTACT_TIMEOUT`]. Unlike
    /// [`is_reachable`](Self::is_reachable), this is measured from the send time, so contact also ends when
    /// either direction of the link fails and while this process is stalled. Always true for this member.
    pub(crate) fn is_in_contact(&self, now: Duration, member: MemberId) -> bool {
        let echoed = || self.table.get(&member).and_then(|peer| peer.echoed);
        member == self.own
            || echoed().is_some_and(|sent| now.saturating_sub(sent) <= CONTACT_TIMEOUT)
    }

    /// Position of the newest committed state that `member` has reported; the default if it has reported none.
    pub(crate) fn committed(&self, member: MemberId) -> WritePosition {
        self.table
            .get(&member)
            .map(|peer| peer.committed)
            .unwrap_or_default()
    }

    /// Whether `member` may be in a chain. Assumed for members that have sent no heartbeat yet.
    pub(crate) fn can_replicate(&self, member: MemberId) -> bool {
        self.table
            .get(&member)
            .is_none_or(|peer| peer.can_replicate && !peer.leaving)
    }

    /// Whether `member` has reported that it is shutting down.
    pub(crate) fn is_leaving(&self, member: MemberId) -> bool {
        self.table.get(&member).is_some_and(|peer| peer.leaving)
    }

    /// Zone and region of `member`; the default if it has sent no heartbeat yet.
    pub(crate) fn failure_domain(&self, member: MemberId) -> FailureDomain {
        self.table
            .get(&member)
            .map(|peer| peer.failure_domain)
            .unwrap_or_default()
    }

    /// The members that are heard, this member first.
    pub(crate) fn heard_members(&self, now: Duration) -> Vec<MemberId> {
        let others = self
            .table
            .iter()
            .filter(|(_, peer)| is_recent(now, peer.last_heard));
        std::iter::once(self.own)
            .chain(others.map(|(&member, _)| member))
            .collect()
    }

    /// Whether a member at `address` is heard and may vote in epoch 0.
    pub(crate) fn is_bootstrapping(&self, now: Duration, address: std::net::SocketAddrV4) -> bool {
        self.table.iter().any(|(member, peer)| {
            member.address == address && peer.bootstrap && is_recent(now, peer.last_heard)
        })
    }

    /// The members that heard members list in their heartbeats. May contain a member several times.
    pub(crate) fn listed_members(&self, now: Duration) -> Vec<MemberId> {
        let recent = self
            .table
            .values()
            .filter(|peer| is_recent(now, peer.last_heard));
        recent
            .flat_map(|peer| peer.listed_at.keys().copied())
            .collect()
    }
}

/// Whether `then` is at most [`SUSPICION_TIMEOUT`] before `now`.
fn is_recent(now: Duration, then: Duration) -> bool {
    now.saturating_sub(then) <= SUSPICION_TIMEOUT
}
