//! Decisions of the control plane, without I/O and without a clock.
//!
//! A [`Member`] is one core machine. It takes the time and an [`Input`] (a message of another member, a
//! request, a finished sync, a tick) and gives back [`Output`]s (records to persist, messages to send,
//! replies). The driver around it owns the sockets, the disk and the timers.
//!
//! - [`View`]: the agreed membership. An epoch, the voters, and the chain. The view of epoch `e + 1` is
//!   decided by single-decree Paxos among the voters of view `e` (`agreement`); a promise seals epoch `e` at
//!   the voter.
//! - [`ControlState`]: two compare-and-set registers, the operator's configuration and the view of the
//!   storage machines. It is replicated down the chain (`replication`): the head takes commands, every
//!   member persists before it passes on, and what the tail has persisted is committed.
//! - [`Durable`]: what a member has on its disk, as the result of applying [`Record`]s in order.
//! - `peers` detects failures and `plan` chooses the next view.

#[cfg(all(feature = "mutations", not(debug_assertions)))]
compile_error!("the feature `mutations` switches defences off: tests only");

mod agreement;
mod blob;
mod durable;
mod election;
mod member;
mod message;
#[cfg(feature = "mutations")]
mod mutations;
mod peers;
mod plan;
mod replication;
mod requests;
mod state;
mod view;

pub use agreement::{Ballot, Promise, Report};
pub use blob::Blob;
pub use durable::{Accepted, Durable, IdleEpoch, Record, RecordError};
#[doc(hidden)]
pub use member::TimedStep;
pub use member::{Departure, Input, Member, MemberOptions, Output, Status};
pub use message::{Barrier, Body, DecodeError, Envelope, Ping, PingTime, Write};
#[cfg(feature = "mutations")]
pub use mutations::Mutation;
pub use plan::{Candidate, Place, PlanError, Policy, Tolerance, next_view};
pub use requests::{Reply, Request, RequestId};
pub use state::{
    Command, ControlState, Digest, PutConfiguration, PutStorageView, Rejection, Stamp,
    StoredConfiguration, StoredStorageView, TAKEN_LIMIT, TakenConfiguration, Undecided, Verdict,
};
pub use view::{MemberId, View, ViewError};
