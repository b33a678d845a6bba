//! Process-local keys of replicas, routes and attempts.

use crate::call::CallId;

/// Number of a replica within this process; never reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct ReplicaKey(u32);

impl ReplicaKey {
    pub(crate) fn new(number: u32) -> Self {
        Self(number)
    }
}

/// Key of one attempt of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct AttemptKey {
    pub call: CallId,
    /// Index of the attempt among those of the call, from 0.
    pub index: u32,
}

/// Number of a route within this process; never reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct RouteKey(u32);

impl RouteKey {
    /// The key with this number.
    pub(crate) fn new(number: u32) -> Self {
        Self(number)
    }
}
