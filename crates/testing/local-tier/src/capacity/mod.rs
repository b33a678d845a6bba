//! The tables and plots of `docs/CAPACITY.md`, made from the files of hollow runs.
//!
//! Every run is a [`HollowReport`](crate::hollow::HollowReport) in a file. Costs are fitted by least squares
//! ([`fit`]), then worked out at the target's size ([`target`]). The page holds each table between two marks
//! and [`page`] puts them there.

mod error;
mod fit;
mod page;
mod plot;
mod runs;
mod slopes;
mod tables;
mod target;

pub use error::CapacityError;
pub use fit::{Fit, Term, fit};
pub use page::{fill, tables_of};
pub use plot::{Plot, plots};
pub use runs::{Run, load};
pub use slopes::Slopes;
pub use tables::{Table, tables};
