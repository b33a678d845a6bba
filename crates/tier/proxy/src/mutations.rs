//! Defences that tests switch off, to show that the oracle of the connections finds what they prevent.
//! Without the feature `mutations`, which no release build has, none can be switched.

/// A defence that is switched off.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mutation {
    /// The check of an answer's `Request-Id`.
    AnyId,
    /// The bar on a second send of a request over one connection.
    CarriedTwice,
    /// The knowledge that a request may have run once its connection has broken.
    BrokenIsUnsent,
    /// The check that a body has come whole.
    CutIsWhole,
    /// The check that a replica's own failure does not promise what is not so.
    AnyFailurePasses,
}

#[cfg(feature = "mutations")]
mod on {
    use super::Mutation;
    use std::cell::Cell;

    thread_local! {
        static ACTIVE: Cell<Option<Mutation>> = const { Cell::new(None) };
    }

    /// Switches a defence off for this thread, and the one before on.
    pub fn mutation(mutation: Option<Mutation>) {
        ACTIVE.set(mutation);
    }

    /// Whether this defence is switched off on this thread.
    pub fn mutated(mutation: Mutation) -> bool {
        ACTIVE.get() == Some(mutation)
    }
}

#[cfg(feature = "mutations")]
pub use on::{mutated, mutation};

/// Whether this defence is switched off: never, in this build.
#[cfg(not(feature = "mutations"))]
#[inline(always)]
pub const fn mutated(_: Mutation) -> bool {
    false
}
