//! Defences that tests switch off, to show that the oracle of the calls detects what they prevent. Never in a
//! release build.

/// A defence that is switched off.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mutation {
    /// A response whose request id no call has is given to another call of its connection.
    AcceptsAnyRequestId,
    /// A call whose connection broke is sent once more.
    RetriesBrokenCalls,
}
