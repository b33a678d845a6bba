//! Replicated control state: agreed membership, chain replication and the registers of the control plane,
//! without I/O and without a clock.
//!
//! Start with [`Member`], which is one core machine. It takes the time and an [`Input`] (a message of another
//! member, a request, a finished sync, a tick) and returns [`Output`]s (records to persist, messages to send,
//! replies). The driver around it, in `woadreach-control`, owns the sockets, the disk and the timers.
//!
//! - [`View`]: the agreed membership. An epoch, the voters, and the chain. The view of epoch `e + 1` is
//!   decided by single-decree Paxos among the voters of view `e` (`agreement`; Lamport, Paxos Made Simple,
//!   2001). A promise seals epoch `e` at the voter.
//! - [`ControlState`]: two compare-and-set registers, the operator's configuration and the view of the
//!   storage machines. It is replicated down the chain (`replication`; van Renesse & Schneider, Chain
//!   Replication, 2004): the head accepts commands, every member persists a write before it forwards it, and
//!   what the tail has persisted is committed.
//! - [`Durable`]: what a member has on its disk, as the result of applying [`Record`]s in order.
//! - `peers` is the failure detector, [`next_view`] chooses the next view, and `election` and the `proposals`
//!   of a member decide when one is proposed.
//!
//! # A change of the configuration, step by step
//!
//! 1. The driver gives the head the operator's command, as [`Request::Submit`] (`member/head`).
//! 2. The head judges it on its newest state (`state`) and appends the write at the next [`WritePosition`].
//! 3. The write is a [`Record`] first: it is forwarded once the driver has synced it (`durable`,
//!    `member/dispatch`).
//! 4. It passes down the chain, from each member to its successor (`replication`, `member/propagation`).
//! 5. The tail has synced it: it is committed. The commit passes back up to the head, and each member
//!    publishes the state.
//! 6. The head answers the operator (`requests`), and members outside the chain request the state, which the
//!    heartbeats announce (`member/heartbeats`).
//!
//! # A reconfiguration, step by step
//!
//! 1. Heartbeats stop: the failure detector suspects a member of the chain (`peers`).
//! 2. A voter has a reason to propose a view, and its random delay has passed (`member/proposals`,
//!    `election`).
//! 3. Phase 1: a majority of the voters promises, seals its epoch and reports its state (`member/paxos`,
//!    `agreement`, `ballot`).
//! 4. The next view is chosen from the reports (`member/view_selection`, `plan`, `policy`).
//! 5. Phase 2: a majority accepts the view, which is decided, announced and installed
//!    (`member/installation`).
//! 6. The head activates the epoch with its own state, and each successor with its predecessor's
//!    (`member/propagation`). Once the tail has it, the chain commits again.
//!
//! Formats on the wire and on disk follow the order of fields and variants, which must not change.

#[cfg(all(feature = "mutations", not(debug_assertions)))]
compile_error!("the feature `mutations` switches defences off: tests only");

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
