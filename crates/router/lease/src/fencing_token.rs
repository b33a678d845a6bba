//! Which lease an action was done under.

use serde::{Deserialize, Serialize};
use woadreach_membership::MemberId;

/// One run of a process, by a number drawn at its start. Messages for an earlier run are ignored (SWIM, section 4.2).
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Incarnation(pub u16);

/// Identifies the lease under which an action was done, as Chubby's sequencer does (section 2.4). A token with a higher
/// epoch supersedes one with a lower; of two that differ but share an epoch, the first that a member has seen is valid.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct FencingToken {
    /// Higher than every epoch that the holder knew of when it requested the lease.
    pub epoch: u32,
    /// The member that holds, or requests, the lease.
    pub holder: MemberId,
    /// The holder's run. It is part of the token since a restarted member may reuse an epoch.
    pub incarnation: Incarnation,
}
