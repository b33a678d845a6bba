//! Duties that one co-ordinator holds at a time.
//!
//! [`Leases`] is both sides of the agreement: it asks a few members of the tier, the acceptors, for a lease
//! on a duty, and as an acceptor promises one. A majority of promises is a lease; no two majorities are
//! without a common member. Every act of a holder carries a [`Fence`], and whoever has seen a later one
//! refuses it. Nothing is written to a disk: an acceptor that has started, or whose clock has jumped, is
//! silent for as long as any promise that it may have forgotten.
//!
//! Two duties stand on it: [`Ration`] and [`Warden`] share out what a cold replica bears, [`Facts`] spreads
//! what a list told one of them. Times and messages go in, messages and acts come out: no clock, no socket.
//! `docs/leases.md` has the options that were weighed and the operators' page.

mod decide;
mod duties;
mod facts;
mod message;
mod warden;

pub use decide::{Acts, Change, Counts, Figures, Leases};
pub use duties::{Done, Duties, Place};
pub use facts::{Fact, Facts, Gone};
pub use message::{Duty, Fence, Life, MOST, Message, open, seal};
pub use warden::{Figures as RationFigures, Offer, Ration, Replica, Share, Want, Warden};
