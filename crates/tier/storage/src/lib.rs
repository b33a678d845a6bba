//! Durable storage of turns and of the programs' token budgets on the disks of the storage machines.
//!
//! A program's turns and its budget are stored by its *group*: the first `2f + 1` storage machines by rendezvous
//! hashing over the agreed [`StorageView`]. Turns are immutable and budgets only grow, so a group needs no leader:
//! a write is durable once a quorum of the group has synced it. When the membership changes, writes need quorums of
//! both the current and the next group (a joint epoch) until every next member has pulled its records.
//!
//! Start with [`client`], which edges use, and with [`node`], which computes a storage machine's answers.
//!
//! Protocol logic, without I/O or clock:
//!
//! - [`placement`] and [`quorum`]: which machines store a program, and how many of them must answer;
//! - [`view`]: the agreed membership, and the planning of the next one;
//! - [`node`]: one storage machine, with its [`store`] and the [`budget`] of each program;
//! - [`mod@write`]: one write of a client; [`grant`]: whether a reservation is granted; [`pull`]: copying records from other machines, in a joint epoch or after
//!   records may have been missed.
//!
//! Drivers: [`client`] for edges, [`server`] for storage machines, [`announce`] for the sender and the
//! receiver of membership announcements.
//! Formats: [`message`] on the wire, [`record`] on disk, both in the byte format of [`message::encode`].
//! `docs/storage.md` describes the protocol and its measurements.

#![warn(missing_docs)]

pub mod announce;
pub mod budget;
pub mod cache;
pub mod client;
mod codec;
pub mod grant;
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
