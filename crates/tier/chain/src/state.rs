//! The replicated control state: two compare-and-set registers.
//!
//! | command | register holds | verdict |
//! | --- | --- | --- |
//! | `PutConfiguration` | the same content, now or earlier | `AlreadyTaken` |
//! | `PutConfiguration`, older than all that is remembered | any | `Undecided(Forgotten)` |
//! | `PutConfiguration` | a generation above `base` | `Rejected(BaseMismatch)` |
//! | `PutConfiguration`, its generation not above `base` | `base` or below | `Rejected(StaleGeneration)` |
//! | `PutConfiguration` | a generation below `base` | `Undecided(FutureBase)` |
//! | `PutConfiguration` | `base` | `Take` |
//! | `PutStorageView` | the same epoch and bytes | `AlreadyTaken` |
//! | `PutStorageView` | an epoch other than `expected_epoch` | `Rejected(StorageEpochMismatch)` |
//! | `PutStorageView` | `expected_epoch` | `Take` |
//!
//! `Rejected` of a configuration is final: generations only rise, so that no later state takes it either. A
//! copy of the order that is still on its way can't bring it into force. Where that can't be promised, the
//! verdict is `Undecided`.

use snafu::Snafu;
use speedy::{Readable, Writable};

use crate::blob::Blob;

/// How many digests of taken configurations are kept; older ones are forgotten, and whether a change as old
/// as those was taken is then undecided.
pub const TAKEN_LIMIT: usize = 8192;

/// Digest of a configuration's bytes.
pub type Digest = [u8; 16];

/// Position of a write: the epoch of the head that took it, and its number.
///
/// Two members whose state has the same stamp have the same state.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Readable, Writable)]
pub struct Stamp {
    pub epoch: u64,
    pub number: u64,
}

/// The operator's configuration as it was taken.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub struct StoredConfiguration {
    pub generation: u64,
    pub digest: Digest,
    pub body: Blob,
}

/// The encoded view of the storage machines.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub struct StoredStorageView {
    pub epoch: u64,
    pub bytes: Blob,
}

/// A configuration that was taken at some time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Readable, Writable)]
pub struct TakenConfiguration {
    pub generation: u64,
    pub digest: Digest,
}

/// Replaces the configuration of generation `base` (0: none yet).
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub struct PutConfiguration {
    pub base: u64,
    pub generation: u64,
    pub digest: Digest,
    pub body: Blob,
}

/// Replaces the storage view of epoch `expected_epoch` (0: none yet).
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub struct PutStorageView {
    pub expected_epoch: u64,
    pub epoch: u64,
    pub bytes: Blob,
}

/// A change of the control state.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub enum Command {
    PutConfiguration(PutConfiguration),
    PutStorageView(PutStorageView),
}

/// Why a command was not taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu, Readable, Writable)]
pub enum Rejection {
    /// The change builds on another generation than the current one.
    #[snafu(display("the current generation is {current}"))]
    BaseMismatch { current: u64 },
    /// The new generation is not above the current one.
    #[snafu(display("the generation must exceed the current one, {current}"))]
    StaleGeneration { current: u64 },
    /// The storage view builds on another epoch than the current one.
    #[snafu(display("the current storage epoch is {current}"))]
    StorageEpochMismatch { current: u64 },
}

/// Why nothing is promised about a command.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu, Readable, Writable)]
pub enum Undecided {
    /// The change builds on a generation above the current one, which may yet come into force; a copy of the
    /// change that is still on its way would then be taken.
    #[snafu(display("the change builds on a generation above the current one, {current}"))]
    FutureBase { current: u64 },
    /// The change is older than every change that is remembered, so that it may have been taken.
    #[snafu(display("changes below generation {oldest} are no longer remembered"))]
    Forgotten { oldest: u64 },
}

/// What the state says to a command.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    Take,
    AlreadyTaken,
    /// Not taken, now or later.
    Rejected(Rejection),
    /// Not taken now; nothing is promised.
    Undecided(Undecided),
}

/// The replicated state.
#[derive(Clone, Debug, Default, PartialEq, Eq, Readable, Writable)]
pub struct ControlState {
    /// Stamp of the last write that is applied.
    pub stamp: Stamp,
    pub configuration: Option<StoredConfiguration>,
    pub storage_view: Option<StoredStorageView>,
    /// Configurations that were taken, oldest first, the current one included.
    pub taken: Vec<TakenConfiguration>,
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
    pub fn judge(&self, command: &Command) -> Verdict {
        match command {
            Command::PutConfiguration(put) => self.judge_configuration(put),
            Command::PutStorageView(put) => self.judge_storage_view(put),
        }
    }

    /// Applies a command that the head has taken.
    pub fn apply(&mut self, stamp: Stamp, command: &Command) {
        self.stamp = stamp;
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

    fn judge_configuration(&self, put: &PutConfiguration) -> Verdict {
        let current = self.generation();
        if self.is_remembered(put) {
            return Verdict::AlreadyTaken;
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
        Verdict::Take
    }

    /// Whether this very change was taken. Generations rise from one taken change to the next.
    fn is_remembered(&self, put: &PutConfiguration) -> bool {
        let found = self
            .taken
            .binary_search_by_key(&put.generation, |taken| taken.generation);
        found.is_ok_and(|place| self.taken[place].digest == put.digest)
    }

    /// Every taken change of this generation or a later one is remembered.
    fn oldest_remembered(&self) -> u64 {
        let is_full = self.taken.len() >= TAKEN_LIMIT;
        self.taken
            .first()
            .filter(|_| is_full)
            .map_or(0, |oldest| oldest.generation)
    }

    fn judge_storage_view(&self, put: &PutStorageView) -> Verdict {
        let current = self.storage_epoch();
        let same = StoredStorageView {
            epoch: put.epoch,
            bytes: put.bytes.clone(),
        };
        if self.storage_view.as_ref() == Some(&same) {
            return Verdict::AlreadyTaken;
        }
        if put.expected_epoch != current || put.epoch <= current {
            return Verdict::Rejected(Rejection::StorageEpochMismatch { current });
        }
        Verdict::Take
    }

    fn apply_configuration(&mut self, put: &PutConfiguration) {
        if self.taken.len() == TAKEN_LIMIT {
            self.taken.remove(0);
        }
        self.taken.push(TakenConfiguration {
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
