//! The agreed membership of the storage machines. The core commits each [`StorageView`], as proposed by
//! [`plan`] and [`retire`]; storage machines and clients use the newest that they have received.

mod member;
mod plan;

use std::collections::BTreeSet;

use snafu::Snafu;
use speedy::{Readable, Writable};

pub use member::StorageMember;
pub use plan::plan;

use crate::codec::{self, MessageError};

/// Membership at one epoch. If `next` is present, the epoch is *joint*: writes need quorums of both `current` and
/// `next`.
#[derive(Debug, Clone, Default, PartialEq, Eq, Readable, Writable)]
pub struct StorageView {
    /// Number of the view; incremented by one with each change.
    pub epoch: u64,
    /// Machines that together store every acknowledged write; empty before the first view.
    pub current: Vec<StorageMember>,
    /// Machines that replace `current` once each has pulled its records; `None` outside a joint epoch.
    pub next: Option<Vec<StorageMember>>,
    /// Names of machines that are being drained.
    pub retiring: BTreeSet<String>,
    /// Names of machines that are drained and may be removed.
    pub retired: BTreeSet<String>,
}

/// Reason why a machine cannot be drained.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
pub enum RetireError {
    /// The view has no such machine.
    #[snafu(display("no storage machine of this name"))]
    Unknown,
    /// Fewer than `tolerated_losses + 1` machines would remain.
    #[snafu(display("too few storage machines would remain"))]
    TooFew,
}

impl StorageView {
    /// Encodes the view for the control state.
    #[must_use]
    pub fn encode(&self) -> Vec<u8> {
        codec::encode(self)
    }

    /// Decodes the view from the control state's bytes.
    ///
    /// # Errors
    /// [`MessageError`] if the bytes cannot be decoded as a view.
    pub fn decode(bytes: &[u8]) -> Result<StorageView, MessageError> {
        codec::decode(bytes)
    }

    /// Whether the disk is one of [`StorageView::current`].
    #[must_use]
    pub fn is_current(&self, disk: u64) -> bool {
        self.current.iter().any(|member| member.disk == disk)
    }

    /// Members after the change in progress: `next` if there is one, else `current`.
    #[must_use]
    pub fn latest(&self) -> &[StorageMember] {
        self.next.as_deref().unwrap_or(&self.current)
    }

    /// The memberships in each of which an operation needs a quorum: `current` and, in a joint epoch, `next`.
    pub fn memberships(&self) -> impl Iterator<Item = &[StorageMember]> {
        std::iter::once(&self.current)
            .chain(&self.next)
            .map(Vec::as_slice)
    }

    /// All machines of the view, each disk once.
    #[must_use]
    pub fn members(&self) -> Vec<&StorageMember> {
        let mut members: Vec<&StorageMember> = self.current.iter().collect();
        for member in self.next.iter().flatten() {
            if !self.is_current(member.disk) {
                members.push(member);
            }
        }
        members
    }
}

/// The view in which `node` is being drained. Repeating the request has no effect.
///
/// # Errors
/// [`RetireError::Unknown`] if no view names the machine, [`RetireError::TooFew`] if fewer than
/// `tolerated_losses + 1` machines would remain.
pub fn retire(
    view: &StorageView,
    node: &str,
    tolerated_losses: usize,
) -> Result<StorageView, RetireError> {
    if view.retiring.contains(node) || view.retired.contains(node) {
        return Ok(view.clone());
    }
    if !view.members().iter().any(|member| member.node == node) {
        return Err(RetireError::Unknown);
    }
    let stays =
        |member: &&StorageMember| member.node != node && !view.retiring.contains(&member.node);
    if view.latest().iter().filter(stays).count() < tolerated_losses + 1 {
        return Err(RetireError::TooFew);
    }
    let mut changed = view.clone();
    changed.epoch += 1;
    changed.retiring.insert(node.to_owned());
    Ok(changed)
}
