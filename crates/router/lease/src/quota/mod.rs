//! Allocation of the request quota of a warming replica to the members that send to it.
//!
//! By default each member may use its even share: the quota divided by the number of members. With many members an even
//! share is less than one part, and most shares belong to members that have no part to send. A member that has recently
//! sent nothing to a warming replica therefore *releases* its share for some seconds. The release is valid by the
//! member's own clock, even if its message is lost. The allocator grants released shares, and only these, to members
//! that demand them. So the sum of the shares in use never exceeds the quota, and a member that receives no message has
//! its even share.
//!
//! [`QuotaShare`] is the state of each member, [`QuotaAllocator`] that of the lease holder.

mod allocator;
mod config;
mod demand;
mod share;

pub use allocator::{Allocation, QuotaAllocator};
pub use config::QuotaConfig;
pub use demand::{LocalDemand, QuotaGrant, ReplicaDemand};
pub use share::QuotaShare;

/// The total quota of a replica, in the unit of [`QuotaGrant::fraction`].
const FULL_QUOTA: f64 = 65_535.0;
