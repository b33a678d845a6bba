//! Failure detector: which members are alive and reach each other, as their heartbeats show.
//!
//! The first step of a reconfiguration: a suspected member of the chain is a reason to propose a view without
//! it, and a stable one that is not in the view a reason to add it.
//!
//! A member is suspected after [`SUSPICION_TIMEOUT`] without a message. Heartbeats list the members that
//! their sender hears, so that links between others are known too, and echo the receiver's last heartbeat,
//! which proves both directions of a link.
//!
//! | a member is | if |
//! | --- | --- |
//! | heard | a message of it has arrived within [`SUSPICION_TIMEOUT`] |
//! | alive | it is heard, or this process has listened for less than [`SUSPICION_TIMEOUT`] |
//! | stable | its messages have come for [`STABLE_TIME`] without a gap of more than [`SUSPICION_TIMEOUT`] before the last one |
//! | reachable | it is heard, and has listed this member as heard within [`SUSPICION_TIMEOUT`] |
//! | in contact | it has echoed a heartbeat that this process sent within [`CONTACT_TIMEOUT`] |
//! | connected to another | each of the two hears the other, as far as this process has listened for long enough to tell |

use std::collections::BTreeMap;
use std::time::Duration;

use crate::failure_domain::FailureDomain;
use crate::message::{Heartbeat, HeartbeatTime};
use crate::state::WritePosition;
use crate::view::MemberId;

/// A member from which no message has come for this time is suspected.
pub(crate) const SUSPICION_TIMEOUT: Duration = Duration::from_millis(600);
/// How long a new or returned member must have been alive before it is added to a view.
pub(crate) const STABLE_TIME: Duration = Duration::from_millis(800);
/// Greatest age of an echoed heartbeat that still counts as contact.
pub(crate) const CONTACT_TIMEOUT: Duration = Duration::from_millis(1000);
/// How long a member is remembered after its last message.
const PEER_EXPIRY: Duration = Duration::from_secs(30);
/// Upper bound of the members that are remembered, and of those that a heartbeat may list.
const MAX_PEERS: usize = 128;

/// What is known of another member.
#[derive(Clone, Debug)]
struct PeerState {
    /// When its last message arrived.
    last_heard: Duration,
    /// Since when it has been alive without being suspected in between.
    alive_since: Duration,
    /// Whether it may be in a chain, as it last reported.
    can_replicate: bool,
    /// Whether it is shutting down, as it last reported.
    leaving: bool,
    /// Whether it may vote in epoch 0.
    bootstrap: bool,
    /// Its zone and region.
    failure_domain: FailureDomain,
    /// Send time of its newest heartbeat, by its own clock, to be echoed.
    sent: HeartbeatTime,
    /// Send time of the newest heartbeat of this member that it has echoed. Never above the current time.
    echoed: Option<Duration>,
    /// Position of the newest committed state that it has reported. Never decreases.
    committed: WritePosition,
    /// When it last listed each member as heard.
    hears: BTreeMap<MemberId, Duration>,
}

impl PeerState {
    /// The state of a member whose first heartbeat arrives at `now`.
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
            hears: BTreeMap::new(),
        }
    }

    /// Records what the member reports of itself.
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

    /// Records the members that it lists as heard, and drops those that it has ceased to list.
    fn record_hears(&mut self, now: Duration, hears: &[MemberId]) {
        for &member in hears.iter().take(MAX_PEERS) {
            self.hears.insert(member, now);
        }
        self.hears.retain(|_, heard| is_recent(now, *heard));
    }
}

/// What is known of the other members.
#[derive(Clone, Debug)]
pub(crate) struct Peers {
    /// This member.
    own: MemberId,
    /// Incarnation of this process, never 0. Echoes of other incarnations are ignored.
    incarnation: u64,
    /// Since when this process has listened: its start, or the end of its last stall.
    started: Duration,
    /// The other members that have sent a heartbeat; at most [`MAX_PEERS`].
    table: BTreeMap<MemberId, PeerState>,
}

impl Peers {
    /// The peers of a process that starts at `now`, none of which it has heard.
    pub(crate) fn new(own: MemberId, incarnation: u64, now: Duration) -> Peers {
        Peers {
            own,
            incarnation,
            started: now,
            table: BTreeMap::new(),
        }
    }

    /// Records that a message of `from` arrived. Members that have sent no heartbeat yet are ignored.
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
        peer.record_hears(now, &heartbeat.hears);
        self.record_message(now, from);
    }

    /// When the next of `members` becomes suspected, if no message arrives after `now`.
    pub(crate) fn next_suspicion(&self, now: Duration, members: &[MemberId]) -> Option<Duration> {
        let heard = members.iter().filter_map(|member| self.table.get(member));
        let suspected_at =
            heard.map(|peer| peer.last_heard + SUSPICION_TIMEOUT + Duration::from_millis(1));
        suspected_at.filter(|&at| at > now).min()
    }

    /// Drops members that have sent nothing for [`PEER_EXPIRY`], and earlier identities of addresses in use.
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

    /// Restarts the time-outs of members that were alive at `last_tick`: this process was stalled from then
    /// to `now` and could not receive their messages.
    pub(crate) fn excuse_stall(&mut self, now: Duration, last_tick: Duration) {
        self.started = now;
        for peer in self.table.values_mut() {
            if last_tick.saturating_sub(peer.last_heard) <= SUSPICION_TIMEOUT {
                peer.last_heard = now;
            }
            peer.hears.values_mut().for_each(|heard| *heard = now);
        }
    }

    /// Whether a message of `member` arrived within [`SUSPICION_TIMEOUT`].
    pub(crate) fn is_heard(&self, now: Duration, member: MemberId) -> bool {
        member == self.own
            || self
                .table
                .get(&member)
                .is_some_and(|peer| is_recent(now, peer.last_heard))
    }

    /// Whether `member` isn't suspected: it is heard, or this process has listened for less than
    /// [`SUSPICION_TIMEOUT`].
    pub(crate) fn is_alive(&self, now: Duration, member: MemberId) -> bool {
        is_recent(now, self.started) || self.is_heard(now, member)
    }

    /// Whether `member` has been alive without interruption for [`STABLE_TIME`].
    pub(crate) fn is_stable(&self, now: Duration, member: MemberId) -> bool {
        self.table
            .get(&member)
            .is_some_and(|peer| now.saturating_sub(peer.alive_since) >= STABLE_TIME)
    }

    /// Whether `first` hears `second`. Assumed where `first` has not been heard for long enough to tell.
    pub(crate) fn hears(&self, now: Duration, first: MemberId, second: MemberId) -> bool {
        if first == self.own {
            return self.is_alive(now, second);
        }
        let Some(peer) = self.table.get(&first) else {
            return is_recent(now, self.started);
        };
        let is_listed = peer
            .hears
            .get(&second)
            .is_some_and(|&heard| is_recent(now, heard));
        is_listed || is_recent(now, peer.alive_since)
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
            let is_heard_by = peer
                .hears
                .get(&self.own)
                .is_some_and(|&heard| is_recent(now, heard));
            is_recent(now, peer.last_heard) && is_heard_by
        })
    }

    /// The send time of a heartbeat that leaves now.
    pub(crate) fn heartbeat_time(&self, now: Duration) -> HeartbeatTime {
        HeartbeatTime {
            incarnation: self.incarnation,
            micros: u64::try_from(now.as_micros()).unwrap_or(u64::MAX),
        }
    }

    /// The echo in a heartbeat to `address`: the send time of the newest heartbeat from there.
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
    /// [`is_reachable`](Self::is_reachable) this counts from the send time, so it ends when either direction
    /// of the link fails and while this process is stalled.
    pub(crate) fn is_in_contact(&self, now: Duration, member: MemberId) -> bool {
        let echoed = || self.table.get(&member).and_then(|peer| peer.echoed);
        member == self.own
            || echoed().is_some_and(|sent| now.saturating_sub(sent) <= CONTACT_TIMEOUT)
    }

    /// Position of the newest committed state that `member` has reported.
    pub(crate) fn committed(&self, member: MemberId) -> WritePosition {
        self.table
            .get(&member)
            .map(|peer| peer.committed)
            .unwrap_or_default()
    }

    /// Whether `member` may be in a chain. Assumed of members that have reported nothing yet.
    pub(crate) fn can_replicate(&self, member: MemberId) -> bool {
        self.table
            .get(&member)
            .is_none_or(|peer| peer.can_replicate && !peer.leaving)
    }

    /// Whether `member` has reported that it is shutting down.
    pub(crate) fn is_leaving(&self, member: MemberId) -> bool {
        self.table.get(&member).is_some_and(|peer| peer.leaving)
    }

    /// Zone and region of `member`; the default if it has reported nothing yet.
    pub(crate) fn failure_domain(&self, member: MemberId) -> FailureDomain {
        self.table
            .get(&member)
            .map(|peer| peer.failure_domain)
            .unwrap_or_default()
    }

    /// The members that are heard, this one first.
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

    /// The members that are listed by those that are heard. May contain a member several times.
    pub(crate) fn heard_of(&self, now: Duration) -> Vec<MemberId> {
        let recent = self
            .table
            .values()
            .filter(|peer| is_recent(now, peer.last_heard));
        recent.flat_map(|peer| peer.hears.keys().copied()).collect()
    }
}

/// Whether `then` is no longer ago than [`SUSPICION_TIMEOUT`].
fn is_recent(now: Duration, then: Duration) -> bool {
    now.saturating_sub(then) <= SUSPICION_TIMEOUT
}
