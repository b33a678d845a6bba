//! Defences that tests switch off, to show that the oracle of the calls finds what they prevent. Never in a
//! release build.

/// A defence that is switched off.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mutation {
    /// A response without a call of its number is given to another call of its connection.
    AnyNumber,
    /// A call whose connection broke is sent once more.
    SentAgain,
}
