//! Injected bugs: each disables one safeguard of calls, so that tests can show that their oracle detects the resulting
//! fault. Never part of a release build.

/// An injected bug of a [`crate::Client`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mutation {
    /// A response with an unknown request id completes another pending call of its connection.
    AcceptsAnyRequestId,
    /// A call that fails with [`crate::CallError::Broken`] is sent a second time.
    RetriesBrokenCalls,
}
