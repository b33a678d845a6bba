//! Building blocks of deterministic simulations.
//!
//! [`EventQueue`] orders events by simulated time, [`PartitionedLinks`] is the set of partitioned links between
//! simulated nodes, and [`CpuQuota`] determines when a process is stalled. None of them has a clock or a random number
//! generator: the simulation owns both, so that its seed determines the whole run.

mod cpu_quota;
mod event_queue;
mod partitioned_links;

pub use cpu_quota::CpuQuota;
pub use event_queue::{EventQueue, Scheduled};
pub use partitioned_links::PartitionedLinks;
