//! Recovery of a machine's state from its journal.

use std::path::Path;
use std::time::Duration;

use snafu::{ResultExt, ensure};
use woadreach_journal::{Journal, JournalError, JournalOptions};

use super::{DiskSnafu, ServerError, ServerOptions, UnreadableSnafu};
use crate::node::StorageNode;
use crate::random::random_number;

/// Upper bound of the bytes queued for the disk; further requests are refused.
const MAX_QUEUED_BYTES: usize = 8 << 20;

/// Recovers the machine from its disk, or creates a new one on a disk that is empty or corrupt.
///
/// The state of another version of the program is an error instead: replacing it would destroy acknowledged records, on
/// one machine after the other during a rollback to an earlier version.
pub(super) async fn recover_or_create(
    folder: &Path,
    options: &ServerOptions,
) -> Result<(Journal, StorageNode), ServerError> {
    let bounds = JournalOptions {
        max_bytes: options.disk_bytes,
        max_queued_bytes: MAX_QUEUED_BYTES,
    };
    match Journal::open(folder, bounds) {
        Ok((journal, found)) => {
            let name = options.node.clone();
            let snapshot = found.snapshot.as_deref();
            let recovered = StorageNode::recover(
                Duration::ZERO,
                name,
                options.tolerated_losses,
                snapshot,
                &found.records,
            );
            if let Some(node) = recovered {
                let (disk, epoch) = (node.disk(), node.view().epoch);
                tracing::info!(disk, storage_epoch = epoch, "state recovered");
                return Ok((journal, node));
            }
            // A new disk whose identity is not synced yet has neither snapshot nor records.
            let is_new = found.snapshot.is_none() && found.records.is_empty();
            ensure!(is_new, UnreadableSnafu { path: folder });
        }
        Err(error @ JournalError::Corrupt { .. }) => {
            tracing::error!(%error, "journal corrupted, starting with a new disk identity");
        }
        Err(source) => return Err(ServerError::Disk { source }),
    }
    create_on_empty_disk(folder, bounds, options)
        .await
        .context(DiskSnafu)
}

/// Empties the disk and gives it a new identity.
async fn create_on_empty_disk(
    folder: &Path,
    bounds: JournalOptions,
    options: &ServerOptions,
) -> Result<(Journal, StorageNode), JournalError> {
    Journal::discard(folder)?;
    let (journal, _) = Journal::open(folder, bounds)?;
    let disk = random_number(&options.node);
    let (node, record) = StorageNode::create(options.node.clone(), disk, options.tolerated_losses);
    let _synced = journal.append(record).await?;
    tracing::info!(disk, "empty disk initialized");
    Ok((journal, node))
}
