//! The replicated control state: two compare-and-set registers.
//!
//! The head evaluates each command once, against its newest state. Every member applies the resulting writes
//! in the same order.
//!
//! | command | value of the register | verdict |
//! | --- | --- | --- |
//! | `PutConfiguration` | the same content, now or earlier | `AlreadyApplied` |
//! | `PutConfiguration`, below every retained generation | any | `Undecided(Forgotten)` |
//! | `PutConfiguration` | a generation above `base` | `Rejected(BaseMismatch)` |
//! | `PutConfiguration`, its generation not above `base` | `base` or below | `Rejected(StaleGeneration)` |
//! | `PutConfiguration` | a generation below `base` | `Undecided(FutureBase)` |
//! | `PutConfiguration` | `base` | `Apply` |
//! | `PutStorageView` | the same epoch and bytes | `AlreadyApplied` |
//! | `PutStorageView` | an epoch other than `expected_epoch` | `Rejected(StorageEpochMismatch)` |
//! | `PutStorageView` | `expected_epoch` | `Apply` |
//!
//! `Rejected` is final for a configuration: generations only increase, so the change applies to no later
//! state, and a duplicate of the request that is received later is rejected too. Where that can't be
//! guaranteed, the verdict is `Undecided`.

use snafu::Snafu;
use speedy::{Readable, Writable};

use crate::blob::Blob;

/// Maximum number of digests of applied configurations that the state retains. For an older change, the state
/// can't show whether it was applied.
pub const MAX_APPLIED_CONFIGURATIONS: usize = 8192;

/// Digest of a configuration's bytes. Computed by the driver; this crate only compares digests for equality.
pub type Digest = [u8; 16];

/// Position of a write in the sequence of all writes, ordered by epoch, then by number (in Raft: term and
/// index). Two members whose last writes have the same position have equal states.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Readable, Writable)]
pub struct WritePosition {
    /// Epoch in which the head appended the write.
    pub epoch: u64,
    /// Number of the write, one above that of the previous write, also across epochs.
    pub number: u64,
}

/// The operator's configuration as submitted.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub struct StoredConfiguration {
    /// Generation, chosen by the operator above that of the previous configuration.
    pub generation: u64,
    /// Digest of `body`.
    pub digest: Digest,
    /// The configuration's bytes.
    pub body: Blob,
}

/// The encoded view of the storage machines.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub struct StoredStorageView {
    /// Epoch of the storage view.
    pub epoch: u64,
    /// The encoded view.
    pub bytes: Blob,
}

/// Generation and digest of a configuration that was applied, whether or not it has been replaced since.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Readable, Writable)]
pub struct AppliedConfiguration {
    /// Generation of the configuration.
    pub generation: u64,
    /// Digest of the configuration's bytes.
    pub digest: Digest,
}

/// Replaces the configuration of generation `base` (0: none yet).
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub struct PutConfiguration {
    /// Generation that must be current for the change to be applied.
    pub base: u64,
    /// Generation of the new configuration; must be above `base`.
    pub generation: u64,
    /// Digest of `body`; must match it.
    pub digest: Digest,
    /// The new configuration.
    pub body: Blob,
}

/// Replaces the storage view of epoch `expected_epoch` (0: none yet).
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub struct PutStorageView {
    /// Storage epoch that must be current for the change to be applied.
    pub expected_epoch: u64,
    /// Epoch of the new view; must be above `expected_epoch`.
    pub epoch: u64,
    /// The encoded new view.
    pub bytes: Blob,
}

/// A change of the control state.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub enum Command {
    /// Replaces the configuration.
    PutConfiguration(PutConfiguration),
    /// Replaces the storage view.
    PutStorageView(PutStorageView),
}

/// Why a command is not applied, now or later.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu, Readable, Writable)]
pub enum Rejection {
    /// The base of the change is below the current generation.
    #[snafu(display("the current generation is {current}"))]
    BaseMismatch {
        /// Current generation.
        current: u64,
    },
    /// The new generation is not above the base of the change.
    #[snafu(display(
        "the generation must exceed the one that the change builds on; the current one is {current}"
    ))]
    StaleGeneration {
        /// Current generation.
        current: u64,
    },
    /// The expected storage epoch is not the current one, or the new epoch is not above it.
    #[snafu(display("the current storage epoch is {current}"))]
    StorageEpochMismatch {
        /// Current storage epoch.
        current: u64,
    },
}

/// Why it is undecided whether a command was or will be applied.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu, Readable, Writable)]
pub enum Undecided {
    /// The base of the change is above the current generation. That generation may still be applied, and a
    /// duplicate of the request that is received afterwards would then be applied too.
    #[snafu(display("the change builds on a generation above the current one, {current}"))]
    FutureBase {
        /// Current generation.
        current: u64,
    },
    /// The generation is below every retained one, so the change may have been applied earlier.
    #[snafu(display("changes below generation {oldest} are no longer remembered"))]
    Forgotten {
        /// The lowest generation whose digest is retained.
        oldest: u64,
    },
}

/// Result of evaluating a command against a state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The command applies to the state: the head appends it.
    Apply,
    /// The same change was applied earlier.
    AlreadyApplied,
    /// The command is not applied, now or later.
    Rejected(Rejection),
    /// The command is not applied now. A duplicate of it may be applied later or may have been applied earlier.
    Undecided(Undecided),
}

/// The replicated state.
#[derive(Clone, Debug, Default, PartialEq, Eq, Readable, Writable)]
pub struct ControlState {
    /// Position of the last applied write. Never decreases in a member's committed states.
    pub position: WritePosition,
    /// Current configuration; `None` before the first.
    pub configuration: Option<StoredConfiguration>,
    /// Current view of the storage machines; `None` before the first.
    pub storage_view: Option<StoredStorageView>,
    /// The newest configurations that were applied, in ascending order of generations, the current one last.
    /// At most [`MAX_APPLIED_CONFIGURATIONS`].
    pub applied: Vec<AppliedConfiguration>,
}

impl ControlState {
    /// Generation of the current configuration, 0 before the first.
    pub fn generation(&self) -> u64 {
        self.configuration
            .as_ref()
            .map_or(0, |configuration| configuration.generation)
    }

    /// Epoch of the current storage view, 0 before the first.
    pub fn storage_epoch(&self) -> u64 {
        self.storage_view.as_ref().map_or(0, |view| view.epoch)
    }

    /// Evaluates `command` against this state, without applying it.
    pub fn evaluate(&self, command: &Command) -> Verdict {
        match command {
            Command::PutConfiguration(put) => self.evaluate_configuration(put),
            Command::PutStorageView(put) => self.evaluate_storage_view(put),
        }
    }

    /// Applies a command for which the head's verdict was [`Verdict::Apply`]. `position` must be above the
    /// state's position.
    pub fn apply(&mut self, position: WritePosition, command: &Command) {
        self.position = position;
        match command {
            Command::PutConfiguration(put) => self.apply_configuration(put),
            Command::PutStorageView(put) => {
                self.storage_view = Some(StoredStorageView {
                    epoch: put.epoch,
                    bytes: put.bytes.clone(),
                });
            }
        }
    }

    fn evaluate_configuration(&self, put: &PutConfiguration) -> Verdict {
        let current = self.generation();
        if self.is_retained(put) {
            return Verdict::AlreadyApplied;
        }
        let oldest = self.oldest_retained();
        if put.generation < oldest {
            return Verdict::Undecided(Undecided::Forgotten { oldest });
        }
        if put.base < current {
            return Verdict::Rejected(Rejection::BaseMismatch { current });
        }
        if put.generation <= put.base {
            return Verdict::Rejected(Rejection::StaleGeneration { current });
        }
        if put.base > current {
            return Verdict::Undecided(Undecided::FutureBase { current });
        }
        Verdict::Apply
    }

    /// Whether this change was applied and its digest is retained. The binary search relies on ascending
    /// generations.
    fn is_retained(&self, put: &PutConfiguration) -> bool {
        let found = self
            .applied
            .binary_search_by_key(&put.generation, |applied| applied.generation);
        found.is_ok_and(|index| self.applied[index].digest == put.digest)
    }

    /// The lowest retained generation if earlier ones may have been dropped, otherwise 0.
    fn oldest_retained(&self) -> u64 {
        let is_full = self.applied.len() >= MAX_APPLIED_CONFIGURATIONS;
        self.applied
            .first()
            .filter(|_| is_full)
            .map_or(0, |oldest| oldest.generation)
    }

    fn evaluate_storage_view(&self, put: &PutStorageView) -> Verdict {
        let current = self.storage_epoch();
        let same = StoredStorageView {
            epoch: put.epoch,
            bytes: put.bytes.clone(),
        };
        if self.storage_view.as_ref() == Some(&same) {
            return Verdict::AlreadyApplied;
        }
        if put.expected_epoch != current || put.epoch <= current {
            return Verdict::Rejected(Rejection::StorageEpochMismatch { current });
        }
        Verdict::Apply
    }

    fn apply_configuration(&mut self, put: &PutConfiguration) {
        if self.applied.len() == MAX_APPLIED_CONFIGURATIONS {
            self.applied.remove(0);
        }
        self.applied.push(AppliedConfiguration {
            generation: put.generation,
            digest: put.digest,
        });
        self.configuration = Some(StoredConfiguration {
            generation: put.generation,
            digest: put.digest,
            body: put.body.clone(),
        });
    }
}
