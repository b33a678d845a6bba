//! What several simulations from seeds share.
//!
//! [`EventQueue`] orders events by simulated time, [`PartitionedLinks`] says which links between simulated nodes
//! deliver nothing. Neither draws a random number or keeps a clock: a simulation owns both, so that one seed
//! determines its whole run.

mod event_queue;
mod partitioned_links;

pub use event_queue::{EventQueue, Scheduled};
pub use partitioned_links::PartitionedLinks;
