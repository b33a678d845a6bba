//! How the request quota of a warming replica is shared out among the members that send to it.
//!
//! Without messages each member may send its even share: the quota divided by the number of members. With many members
//! that is less than one part, and most of it belongs to members that have no part to send. A member that has sent a
//! warming replica nothing lately may therefore *release* its share for some seconds, by its own clock and whether or
//! not anybody receives its message. The allocator grants what was released, and nothing else, to members that demand
//! it. So the shares in use never add up to more than the quota, and a member that receives nothing has its even share.
//!
//! [`QuotaShare`] is each member's side, [`QuotaAllocator`] that of the lease holder.

mod allocator;
mod config;
mod demand;
mod share;

pub use allocator::{Allocation, QuotaAllocator};
pub use config::QuotaConfig;
pub use demand::{LocalDemand, QuotaGrant, ReplicaDemand};
pub use share::QuotaShare;

/// The complete quota of a replica, in the unit of [`QuotaGrant::fraction`].
const FULL_QUOTA: f64 = 65_535.0;
