//! Replicated control state: membership agreement, chain replication and the registers of the control plane,
//! without I/O and without a clock.
//!
//! [`Member`] is the state machine of one core machine. [`Member::handle`] receives the current time and an
//! [`Input`] (a message from another member, a request, a finished sync, a tick) and returns [`Output`]s
//! (records to persist, messages to send, replies). The driver, in `woadreach-control`, owns the sockets, the
//! disk and the timers.
//!
//! - [`View`]: the agreed membership: an epoch, the voters, and the chain. The view of epoch `e + 1` is
//!   decided by single-decree Paxos among the voters of view `e` (`agreement`; Lamport, Paxos Made Simple,
//!   2001). A promise seals epoch `e` at the voter: it accepts no more writes of that epoch.
//! - [`ControlState`]: two compare-and-set registers, the operator's configuration and the view of the
//!   storage machines. It is replicated down the chain (`replication`; van Renesse & Schneider, Chain
//!   Replication, 2004): the head accepts commands, every member persists a write before it forwards it, and
//!   a write is committed once the tail has persisted it.
//! - [`Durable`]: the state on a member's disk, the result of applying [`Record`]s in order.
//! - `peers` is the failure detector, [`next_view`] chooses the next view, and `election` and
//!   `member/proposals` decide when a view is proposed.
//!
//! # Steps of a configuration change
//!
//! 1. The driver passes the operator's command to the head, as [`Request::Submit`] (`member/head`).
//! 2. The head evaluates the command against its newest state (`state`) and appends the write at the next
//!    [`WritePosition`].
//! 3. The write is appended to the log as a [`Record`], and is forwarded once the driver has synced it
//!    (`durable`, `member/dispatch`).
//! 4. Each member forwards the write to its successor in the chain (`replication`, `member/propagation`).
//! 5. The write is committed once the tail has synced it. The acknowledgement travels from the tail to the
//!    head, and each member publishes the new state.
//! 6. The head answers the operator (`requests`). Heartbeats announce the position of the committed state, and
//!    members outside the chain request it (`member/heartbeats`).
//!
//! # Steps of a reconfiguration
//!
//! 1. The failure detector suspects a member of the chain whose heartbeats have stopped (`peers`).
//! 2. A voter has a reason to propose a view, and its random delay has passed (`member/proposals`,
//!    `election`).
//! 3. Phase 1: a majority of the voters promises, seals its epoch and reports its state (`member/paxos`,
//!    `agreement`, `ballot`).
//! 4. The next view is chosen from the reports (`member/view_selection`, `plan`, `policy`).
//! 5. Phase 2: a majority accepts the view, which is thereby decided. It is announced and installed
//!    (`member/installation`).
//! 6. The head activates the epoch with its own state, and each successor with its predecessor's
//!    (`member/propagation`). Once the tail has activated it, the chain commits writes again.
//!
//! The formats on the wire and on disk encode fields and variants by position, so their order must not change.

#[cfg(all(feature = "mutations", not(debug_assertions)))]
compile_error!("the feature `mutations` disables safeguards: tests only");

mod agreement;
mod ballot;
mod blob;
mod durable;
mod election;
mod failure_domain;
mod member;
mod message;
#[cfg(feature = "mutations")]
mod mutations;
mod peers;
mod plan;
mod policy;
mod replication;
mod requests;
mod state;
mod view;

pub use agreement::Report;
pub use ballot::{Accepted, Ballot, Promise};
pub use blob::Blob;
pub use durable::{Durable, IdleEpoch, Record, RecordError};
pub use election::ProposalReason;
pub use failure_domain::FailureDomain;
#[doc(hidden)]
pub use member::TimedStep;
pub use member::{ExitReadiness, Input, Member, MemberOptions, Output, Status};
pub use message::{Barrier, Body, DecodeError, Envelope, Heartbeat, HeartbeatTime, Write};
#[cfg(feature = "mutations")]
pub use mutations::Mutation;
pub use plan::{Candidate, PlanError, next_view};
pub use policy::{Policy, Tolerance};
pub use requests::{Reply, Request, RequestId};
pub use state::{
    AppliedConfiguration, Command, ControlState, Digest, MAX_APPLIED_CONFIGURATIONS,
    PutConfiguration, PutStorageView, Rejection, StoredConfiguration, StoredStorageView, Undecided,
    Verdict, WritePosition,
};
pub use view::{MemberId, View, ViewError};
