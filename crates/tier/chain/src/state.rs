//! The replicated control state: two compare-and-set registers.
//!
//! The head judges each command on its newest state, once; every member applies the writes that follow from
//! it in the same order.
//!
//! | command | register holds | verdict |
//! | --- | --- | --- |
//! | `PutConfiguration` | the same content, now or earlier | `AlreadyApplied` |
//! | `PutConfiguration`, older than all that is remembered | any | `Undecided(Forgotten)` |
//! | `PutConfiguration` | a generation above `base` | `Rejected(BaseMismatch)` |
//! | `PutConfiguration`, its generation not above `base` | `base` or below | `Rejected(StaleGeneration)` |
//! | `PutConfiguration` | a generation below `base` | `Undecided(FutureBase)` |
//! | `PutConfiguration` | `base` | `Apply` |
//! | `PutStorageView` | the same epoch and bytes | `AlreadyApplied` |
//! | `PutStorageView` | an epoch other than `expected_epoch` | `Rejected(StorageEpochMismatch)` |
//! | `PutStorageView` | `expected_epoch` | `Apply` |
//!
//! `Rejected` of a configuration is final: generations only rise, so that it applies to no later state, and
//! a duplicate of the request that arrives later can't bring it into force. Where that can't be guaranteed,
//! the verdict is `Undecided`.

use snafu::Snafu;
use speedy::{Readable, Writable};

use crate::blob::Blob;

/// Upper bound of the digests of applied configurations that the state retains. Whether an older change was
/// applied is undecided.
pub const MAX_APPLIED_CONFIGURATIONS: usize = 8192;

/// Digest of a configuration's bytes. Computed by the driver; compared here only for equality.
pub type Digest = [u8; 16];

/// Position of a write in the sequence of all writes, ordered by epoch, then by number (in Raft: term and
/// index). States whose last writes have the same position are equal, at any two members.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Readable, Writable)]
pub struct WritePosition {
    /// Epoch in which the head appended the write.
    pub epoch: u64,
    /// Number of the write; rises by one from each write to the next, across epochs too.
    pub number: u64,
}

/// The operator's configuration, as it was submitted.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub struct StoredConfiguration {
    /// Generation, which the operator chose above that of the one before.
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

/// A configuration that is or was in force.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Readable, Writable)]
pub struct AppliedConfiguration {
    /// Its generation.
    pub generation: u64,
    /// Digest of its bytes.
    pub digest: Digest,
}

/// Replaces the configuration of generation `base` (0: none yet).
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub struct PutConfiguration {
    /// Generation that must be in force for the change to be applied.
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
    /// Storage epoch that must be in force for the change to be applied.
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
    /// The change builds on another generation than the current one.
    #[snafu(display("the current generation is {current}"))]
    BaseMismatch {
        /// Generation in force.
        current: u64,
    },
    /// The new generation is not above the one that the change builds on.
    #[snafu(display(
        "the generation must exceed the one that the change builds on; the current one is {current}"
    ))]
    StaleGeneration {
        /// Generation in force.
        current: u64,
    },
    /// The storage view builds on another epoch than the current one.
    #[snafu(display("the current storage epoch is {current}"))]
    StorageEpochMismatch {
        /// Storage epoch in force.
        current: u64,
    },
}

/// Why it is undecided whether a command takes effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu, Readable, Writable)]
pub enum Undecided {
    /// The change builds on a generation above the current one, which may yet come into force; a duplicate of
    /// the request that arrives after that would be applied.
    #[snafu(display("the change builds on a generation above the current one, {current}"))]
    FutureBase {
        /// Generation in force.
        current: u64,
    },
    /// The change is older than every change that is remembered, so it may have been applied.
    #[snafu(display("changes below generation {oldest} are no longer remembered"))]
    Forgotten {
        /// The lowest generation that is remembered.
        oldest: u64,
    },
}

/// What becomes of a command on a given state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The command applies to the state: the head appends it.
    Apply,
    /// The same change was applied earlier.
    AlreadyApplied,
    /// The command is not applied, now or later.
    Rejected(Rejection),
    /// The command is not applied now; a duplicate of it may be, or may have been.
    Undecided(Undecided),
}

/// The replicated state.
#[derive(Clone, Debug, Default, PartialEq, Eq, Readable, Writable)]
pub struct ControlState {
    /// Position of the last applied write. Never decreases in a member's committed states.
    pub position: WritePosition,
    /// Configuration in force.
    pub configuration: Option<StoredConfiguration>,
    /// View of the storage machines in force.
    pub storage_view: Option<StoredStorageView>,
    /// Configurations that were applied, in ascending order of generations, the one in force last. At most
    /// [`MAX_APPLIED_CONFIGURATIONS`].
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

    /// What becomes of `command` on this state.
    pub fn evaluate(&self, command: &Command) -> Verdict {
        match command {
            Command::PutConfiguration(put) => self.evaluate_configuration(put),
            Command::PutStorageView(put) => self.evaluate_storage_view(put),
        }
    }

    /// Applies a command whose verdict at the head was [`Verdict::Apply`]. `position` must be above that of
    /// the state.
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
        if self.is_remembered(put) {
            return Verdict::AlreadyApplied;
        }
        let oldest = self.oldest_remembered();
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

    /// Whether this change was applied and is remembered. The search relies on ascending generations.
    fn is_remembered(&self, put: &PutConfiguration) -> bool {
        let found = self
            .applied
            .binary_search_by_key(&put.generation, |applied| applied.generation);
        found.is_ok_and(|index| self.applied[index].digest == put.digest)
    }

    /// The generation from which on every applied change is remembered.
    fn oldest_remembered(&self) -> u64 {
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
