//! Defences that tests can switch off, one at a time, to show that the tests find what each prevents.
//! Without the feature `mutations`, which no release build has, none can be switched off.

/// A defence that is switched off.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mutation {
    /// The check of a response's `Request-Id`.
    SkipResponseIdCheck,
    /// The rule that a connection carries a request at most once.
    ReuseConnectionForResend,
    /// The rule that a request may have run once its connection has broken.
    TreatBrokenAsUnsent,
    /// The check that a body is complete.
    AcceptTruncatedBody,
    /// The check that a replica's error response does not falsely state that the request has not run.
    ForwardAnyFailure,
    /// The rules that the stream of an aborted attempt is not forwarded, and that nothing is sent beside a stream.
    ForwardAbortedStream,
}

#[cfg(feature = "mutations")]
mod active {
    use super::Mutation;
    use std::cell::Cell;

    thread_local! {
        static ACTIVE: Cell<Option<Mutation>> = const { Cell::new(None) };
    }

    /// Switches a defence off for this thread, and the one switched off before on again.
    pub fn set_mutation(mutation: Option<Mutation>) {
        ACTIVE.set(mutation);
    }

    /// Whether this defence is switched off on this thread.
    pub fn is_mutated(mutation: Mutation) -> bool {
        ACTIVE.get() == Some(mutation)
    }
}

#[cfg(feature = "mutations")]
pub use active::{is_mutated, set_mutation};

/// Whether this defence is switched off: never, in this build.
#[cfg(not(feature = "mutations"))]
#[inline(always)]
pub const fn is_mutated(_: Mutation) -> bool {
    false
}
