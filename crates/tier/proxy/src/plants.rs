//! Defences that tests switch off, to show that the oracle of the connections finds what they prevent.
//! Without the feature `plants`, which no release build has, none can be switched.

/// A defence that is switched off.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Plant {
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

#[cfg(feature = "plants")]
mod on {
    use super::Plant;
    use std::cell::Cell;

    thread_local! {
        static PLANTED: Cell<Option<Plant>> = const { Cell::new(None) };
    }

    /// Switches a defence off for this thread, and the one before on.
    pub fn plant(plant: Option<Plant>) {
        PLANTED.set(plant);
    }

    /// Whether this defence is switched off on this thread.
    pub fn planted(plant: Plant) -> bool {
        PLANTED.get() == Some(plant)
    }
}

#[cfg(feature = "plants")]
pub use on::{plant, planted};

/// Whether this defence is switched off: never, in this build.
#[cfg(not(feature = "plants"))]
#[inline(always)]
pub const fn planted(_: Plant) -> bool {
    false
}
