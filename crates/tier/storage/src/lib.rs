//! Durable turns and programs' budgets, on the disks of the storage machines.
//!
//! A program's turns and its budget live at its *group*: the first `2f + 1` storage machines by rendezvous
//! hashing over the agreed [`StorageView`]. Turns never change and budgets only grow, so no machine decides
//! alone: a write is durable once a quorum of the group has synced it. When the membership changes, a joint
//! epoch demands quorums of the present and of the next group until every next member has pulled its part.
//!
//! Start with [`client`], which edges use, and with [`node`], which decides what a storage machine answers.
//!
//! Decisions, without I/O or clock:
//!
//! - [`placement`] and [`quorum`]: which machines hold a program, and how many of them must answer;
//! - [`view`]: the agreed membership, and the next one to propose;
//! - [`node`]: one storage machine, with its [`store`] and the [`budget`] of each program;
//! - [`mod@write`]: one write of a client; [`pull`]: copying from other machines, in a joint epoch or after records may
//!   have been missed.
//!
//! Drivers: [`client`] for edges, [`server`] for storage machines, [`announce`] for both ends of the membership.
//! Formats: [`message`] on the wire, [`record`] on disk, both in the byte format of [`message::encode`].
//! `docs/storage.md` describes the protocol and its measurements.

#![warn(missing_docs)]

pub mod announce;
pub mod budget;
pub mod cache;
pub mod client;
mod codec;
pub mod message;
pub mod node;
pub mod placement;
pub mod pull;
pub mod quorum;
mod random;
pub mod record;
pub mod server;
pub mod store;
pub mod turn;
pub mod view;
pub mod write;

pub use client::{
    ChainError, ReservationGuard, ReserveError, ReserveRequest, StorageClient, Unavailable,
};
pub use turn::{Turn, TurnKey};
pub use view::{StorageMember, StorageView};
