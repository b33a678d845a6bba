//! What several simulations from seeds share.
//!
//! [`EventQueue`] orders events by simulated time, [`PartitionedLinks`] says which links between simulated nodes
//! deliver nothing, and [`CpuQuota`] when a process does not run. None keeps a clock or draws from a generator: a
//! simulation owns both, so that one seed determines its whole run.

mod cpu_quota;
mod event_queue;
mod partitioned_links;

pub use cpu_quota::CpuQuota;
pub use event_queue::{EventQueue, Scheduled};
pub use partitioned_links::PartitionedLinks;
