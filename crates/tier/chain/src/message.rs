//! Messages between members: heartbeats, both phases of Paxos, replication from predecessor to successor with
//! progress reports in the other direction, and requests of members that are behind or shutting down.
//!
//! The driver decodes and [`check`](Envelope::check)s a message before it passes it to the member.

use snafu::{OptionExt, ResultExt, Snafu, ensure};
use speedy::{Readable, Writable};

use crate::agreement::Report;
use crate::ballot::{Accepted, Ballot};
use crate::failure_domain::FailureDomain;
use crate::state::{Command, ControlState, WritePosition};
use crate::view::{MemberId, View, ViewError};

/// Version of the message format, the first byte of each message.
const MESSAGE_VERSION: u8 = 2;

/// Why a message is rejected.
#[derive(Debug, Snafu)]
pub enum DecodeError {
    /// The message has no bytes, so the version byte is missing.
    #[snafu(display("the message is empty"))]
    EmptyMessage,
    /// The sender uses another version of the format.
    #[snafu(display("message version {found}, expected {MESSAGE_VERSION}"))]
    MessageVersion {
        /// Version of the message.
        found: u8,
    },
    /// The bytes after the version are not a message of this version.
    #[snafu(display("malformed message"))]
    MalformedMessage {
        /// Error of the decoder.
        source: speedy::Error,
    },
    /// The message contains a view that violates an invariant; see [`View::check`].
    #[snafu(display("invalid view: {source}"))]
    InvalidView {
        /// Invariant that the view violates.
        source: ViewError,
    },
    /// The proposed view is not the one after the sender's.
    #[snafu(display("proposed view has epoch {found}, expected the epoch after {epoch}"))]
    ViewDoesNotFollow {
        /// Epoch of the sender.
        epoch: u64,
        /// Epoch of the proposed view.
        found: u64,
    },
}

/// Send time of a heartbeat, by the sender's clock.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Readable, Writable)]
pub struct HeartbeatTime {
    /// Incarnation of the sending process, drawn at its start; 0 if there was no heartbeat.
    pub incarnation: u64,
    /// Microseconds since the origin of the sender's clock.
    pub micros: u64,
}

/// A heartbeat: the status that a member reports at every heartbeat interval.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub struct Heartbeat {
    /// Send time of this heartbeat.
    pub sent: HeartbeatTime,
    /// Send time of the newest heartbeat that the sender has received from the receiver.
    pub echo: HeartbeatTime,
    /// Whether the sender may be in a chain: it is not shutting down, and its disk syncs in time.
    pub can_replicate: bool,
    /// Whether the sender is shutting down and asks to be replaced.
    pub leaving: bool,
    /// Whether the sender may vote in epoch 0.
    pub bootstrap: bool,
    /// Zone and region of the sender.
    pub failure_domain: FailureDomain,
    /// Position of the newest committed state that the sender knows.
    pub committed: WritePosition,
    /// Members from which the sender has received a message within the suspicion time-out, itself included.
    pub heard_members: Vec<MemberId>,
}

/// A barrier: a marker that is forwarded down the chain after every earlier write.
///
/// Once the tail has confirmed it, every member of the chain was still in the epoch when it forwarded the
/// barrier.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Readable, Writable)]
pub struct Barrier {
    /// Random number, drawn when the head installed its view, so that barriers of different views differ.
    pub session: u64,
    /// Number of the barrier within its session, from 1; 0 means no barrier.
    pub number: u64,
}

/// A write that is replicated down the chain.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub struct Write {
    /// Position of the write, assigned by the head.
    pub position: WritePosition,
    /// The change, for which the head's verdict was `Apply`.
    pub command: Command,
}

/// Content of a message.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub enum Body {
    /// Liveness and status of the sender. Valid in every epoch.
    Heartbeat(Heartbeat),
    /// Phase 1a of Paxos: asks for a promise.
    Prepare {
        /// Ballot of the proposal.
        ballot: Ballot,
    },
    /// Phase 1b: the sender has promised, which also seals its epoch. Sent only after the promise is synced.
    Promise {
        /// Ballot that was promised.
        ballot: Ballot,
        /// Accepted proposal and state of the sender.
        report: Report,
    },
    /// Phase 2a: asks to accept a view.
    Accept(Accepted),
    /// Phase 2b: the sender has accepted. Sent only after the acceptance is synced.
    Accepted {
        /// Ballot of the accepted proposal.
        ballot: Ballot,
    },
    /// Rejects `Prepare` or `Accept`: the sender has promised a higher ballot.
    Superseded {
        /// The ballot that the sender has promised.
        promised: Ballot,
    },
    /// A decided view.
    Decided(View),
    /// Requests the newest decided view.
    RequestView,
    /// From the predecessor: consecutive writes. Without writes, a probe that requests a progress report.
    Replicate {
        /// Position of the write before the first of `writes`.
        after: WritePosition,
        /// Writes in ascending order of positions.
        writes: Vec<Write>,
        /// The newest barrier that the predecessor has begun or received.
        barrier: Barrier,
    },
    /// From the predecessor: its complete persisted state.
    Transfer {
        /// The state, which replaces the receiver's.
        state: ControlState,
        /// The newest barrier that the predecessor has begun or received.
        barrier: Barrier,
    },
    /// From the successor: its progress and that of the chain after it.
    Replicated {
        /// Whether the sender has activated the epoch on disk.
        active: bool,
        /// Position of the sender's persisted state in this epoch; the default if `active` is false.
        persisted: WritePosition,
        /// Position of the last write that the sender knows to be committed in this epoch.
        committed: Option<WritePosition>,
        /// The newest barrier that the tail has confirmed to the sender.
        barrier: Barrier,
    },
    /// Requests the newest committed state.
    RequestState,
    /// The newest committed state, for members outside the chain.
    Committed(ControlState),
    /// From a member that is shutting down: requests whether the receiver is active in this epoch.
    RequestActive,
    /// The sender is active in this epoch, and the state is on its disk.
    Active,
}

/// A message with its sender and the sender's epoch.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub struct Envelope {
    /// The sending member.
    pub from: MemberId,
    /// Epoch of the view that the sender has installed.
    pub epoch: u64,
    /// Content of the message.
    pub body: Body,
}

impl Body {
    /// Whether the message may contain a configuration, which may take long to transmit. The driver must send
    /// such messages in order over a separate connection, so that heartbeats and Paxos messages are not queued
    /// behind them.
    pub fn is_bulk(&self) -> bool {
        matches!(
            self,
            Body::Replicate { .. } | Body::Transfer { .. } | Body::Committed(_)
        )
    }
}

impl Envelope {
    /// The message as bytes, with a leading version byte.
    pub fn encode(&self) -> Vec<u8> {
        let mut bytes = vec![MESSAGE_VERSION];
        // Writing to a vector fails only if a length exceeds 32 bits, which the bounds on the values exclude.
        self.write_to_stream(&mut bytes)
            .expect("lengths within 32 bits");
        bytes
    }

    /// Checks the views in the message.
    ///
    /// # Errors
    ///
    /// [`DecodeError::ViewDoesNotFollow`] if the epoch of a proposed view is not the one after the sender's;
    /// [`DecodeError::InvalidView`] if [`View::check`] rejects a view.
    pub fn check(&self) -> Result<(), DecodeError> {
        let proposed = match &self.body {
            Body::Accept(accepted) => Some(&accepted.view),
            Body::Promise { report, .. } => report.accepted.as_ref().map(|accepted| &accepted.view),
            _ => None,
        };
        if let Some(view) = proposed {
            let (epoch, found) = (self.epoch, view.epoch);
            ensure!(
                epoch.checked_add(1) == Some(found),
                ViewDoesNotFollowSnafu { epoch, found }
            );
        }
        let decided = if let Body::Decided(view) = &self.body {
            Some(view)
        } else {
            None
        };
        decided
            .or(proposed)
            .map_or(Ok(()), |view| view.check().context(InvalidViewSnafu))
    }

    /// Decodes a message. The caller must [`check`](Self::check) it before passing it to a member.
    ///
    /// # Errors
    ///
    /// [`DecodeError`] if the bytes are empty, of another version, or not a message.
    pub fn decode(bytes: &[u8]) -> Result<Envelope, DecodeError> {
        let (&version, rest) = bytes.split_first().context(EmptyMessageSnafu)?;
        if version != MESSAGE_VERSION {
            return MessageVersionSnafu { found: version }.fail();
        }
        Envelope::read_from_buffer(rest).context(MalformedMessageSnafu)
    }
}
