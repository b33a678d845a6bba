//! Parameters of a member, which the driver reads from the settings.

use std::net::SocketAddrV4;

use crate::failure_domain::FailureDomain;
use crate::policy::Tolerance;

/// Parameters of a member. All except the seeds are constant while the process runs.
#[derive(Clone, Debug)]
pub struct MemberOptions {
    /// Internal address of this machine; must be reachable by the other members.
    pub address: SocketAddrV4,
    /// Internal addresses of the seeds, which may include this machine. Replaced by
    /// [`Input::Seeds`](super::Input::Seeds).
    pub seeds: Vec<SocketAddrV4>,
    /// Failures that the core must survive. Must be the same at all members.
    pub tolerance: Tolerance,
    /// Zone and region of this machine.
    pub failure_domain: FailureDomain,
    /// Seed of the random number generator. Must differ between members, so that their random delays do.
    pub random_seed: u64,
}
