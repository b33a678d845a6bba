//! Fencing tokens, which identify the lease under which an action was performed.

use serde::{Deserialize, Serialize};
use woadreach_membership::MemberId;

/// Identifies one run of a process by a random number drawn at its start. Messages for an earlier run are ignored
/// (SWIM, section 4.2).
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Incarnation(pub u16);

/// Identifies the lease under which an action was performed, as Chubby's sequencer does (section 2.4). A token with a
/// higher epoch supersedes one with a lower epoch. Of two different tokens with the same epoch, a member accepts the
/// one that it received first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct FencingToken {
    /// Epoch of the lease. It is higher than every epoch that the holder knew of when it requested the lease.
    pub epoch: u32,
    /// Member that has or requests the lease.
    pub holder: MemberId,
    /// Run of the holder. It is part of the token because a restarted member may reuse an epoch.
    pub incarnation: Incarnation,
}
