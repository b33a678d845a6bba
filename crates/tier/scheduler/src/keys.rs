//! Numbers by which this process refers to replicas and routes.

/// Number of a replica in this process. It is never used twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct ReplicaKey(u32);

impl ReplicaKey {
    /// The key with this number.
    pub(crate) fn new(number: u32) -> Self {
        Self(number)
    }
}

/// Number of a route in this process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct RouteKey(u32);

impl RouteKey {
    /// The key with this number.
    pub(crate) fn new(number: u32) -> Self {
        Self(number)
    }
}
