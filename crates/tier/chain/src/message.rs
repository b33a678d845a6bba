//! Messages between members.

use snafu::{OptionExt, ResultExt, Snafu, ensure};
use speedy::{Readable, Writable};

use crate::agreement::Report;
use crate::ballot::{Accepted, Ballot};
use crate::failure_domain::FailureDomain;
use crate::state::{Command, ControlState, Stamp};
use crate::view::{MemberId, View, ViewError};

/// Version of the messages' format.
const MESSAGE_VERSION: u8 = 2;

/// A message that can't be read.
#[derive(Debug, Snafu)]
pub enum DecodeError {
    #[snafu(display("the message is empty"))]
    EmptyMessage,
    #[snafu(display("message version {found}, expected {MESSAGE_VERSION}"))]
    MessageVersion { found: u8 },
    #[snafu(display("malformed message"))]
    MalformedMessage { source: speedy::Error },
    #[snafu(display("unsound view: {source}"))]
    UnsoundView { source: ViewError },
    #[snafu(display("a vote in epoch {epoch} on the view of epoch {found}"))]
    ViewDoesNotFollow { epoch: u64, found: u64 },
}

/// When a member sent a heartbeat, by its own clock.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Readable, Writable)]
pub struct HeartbeatTime {
    /// Differs between lives of the process; 0 for no heartbeat at all.
    pub incarnation: u64,
    pub micros: u64,
}

/// A heartbeat.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub struct Heartbeat {
    /// When it was sent.
    pub sent: HeartbeatTime,
    /// When the newest heartbeat was sent that the sender has heard from the receiver.
    pub echo: HeartbeatTime,
    /// Whether the sender may be in a chain (neither leaving nor unable to sync).
    pub can_replicate: bool,
    /// Whether the sender is stopping and wants to be replaced.
    pub leaving: bool,
    /// Whether the sender may vote in epoch 0.
    pub bootstrap: bool,
    /// Where the sender stands.
    pub failure_domain: FailureDomain,
    /// Stamp of the newest committed state that the sender knows.
    pub committed: Stamp,
    /// Members that the sender has heard lately.
    pub hears: Vec<MemberId>,
}

/// Number of a barrier of one life of a head.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Readable, Writable)]
pub struct Barrier {
    /// Drawn when the head took office.
    pub session: u64,
    pub number: u64,
}

/// A write on its way down the chain.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub struct Write {
    pub stamp: Stamp,
    pub command: Command,
}

/// What a message says.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub enum Body {
    Heartbeat(Heartbeat),
    /// First phase of a proposal.
    Prepare {
        ballot: Ballot,
    },
    /// Answer to `Prepare`: the sender has sealed the epoch.
    Promise {
        ballot: Ballot,
        report: Report,
    },
    /// Second phase of a proposal.
    Accept(Accepted),
    /// Answer to `Accept`: the sender has voted.
    Accepted {
        ballot: Ballot,
    },
    /// The sender has promised more.
    Superseded {
        promised: Ballot,
    },
    /// A decided view.
    Decided(View),
    /// Asks for the newest decided view.
    RequestView,
    /// From the predecessor: the writes after `after`.
    Replicate {
        after: Stamp,
        writes: Vec<Write>,
        barrier: Barrier,
    },
    /// From the predecessor: its whole state.
    Transfer {
        state: ControlState,
        barrier: Barrier,
    },
    /// From the successor: how far it is, and how far the rest of the chain is.
    Replicated {
        active: bool,
        persisted: Stamp,
        committed: Option<Stamp>,
        barrier: Barrier,
    },
    /// Asks for the newest committed state.
    RequestState,
    /// The newest committed state, for members outside the chain.
    Committed(ControlState),
    /// From a member that is being stopped: asks whether the receiver is active in this epoch.
    RequestActive,
    /// The sender is active in this epoch, and the state is on its disk.
    Active,
}

/// A message with its sender and the epoch in which the sender is.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub struct Envelope {
    pub from: MemberId,
    pub epoch: u64,
    pub body: Body,
}

impl Body {
    /// Whether it may hold a configuration, and so may take long on its way. Such messages go over a
    /// connection of their own, in order, so that heartbeats and votes don't wait behind them.
    pub fn is_bulk(&self) -> bool {
        matches!(
            self,
            Body::Replicate { .. } | Body::Transfer { .. } | Body::Committed(_)
        )
    }
}

impl Envelope {
    /// The message as it is sent.
    pub fn encode(&self) -> Vec<u8> {
        let mut bytes = vec![MESSAGE_VERSION];
        // Writing to a vector fails only when a length exceeds 32 bits, far above every bound on our values.
        self.write_to_stream(&mut bytes)
            .expect("lengths within 32 bits");
        bytes
    }

    /// Checks the views that a message carries: a view that is voted on follows the sender's, and no view is
    /// one that a proposer would not make.
    pub fn check(&self) -> Result<(), DecodeError> {
        let voted = match &self.body {
            Body::Accept(accepted) => Some(&accepted.view),
            Body::Promise { report, .. } => report.accepted.as_ref().map(|accepted| &accepted.view),
            _ => None,
        };
        if let Some(view) = voted {
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
            .or(voted)
            .map_or(Ok(()), |view| view.check().context(UnsoundViewSnafu))
    }

    /// Reads a message.
    pub fn decode(bytes: &[u8]) -> Result<Envelope, DecodeError> {
        let (&version, rest) = bytes.split_first().context(EmptyMessageSnafu)?;
        if version != MESSAGE_VERSION {
            return MessageVersionSnafu { found: version }.fail();
        }
        Envelope::read_from_buffer(rest).context(MalformedMessageSnafu)
    }
}
