//! Opening the journal and the machine's state from it.

use std::path::Path;
use std::time::Duration;

use snafu::{ResultExt, ensure};
use woadreach_journal::{Journal, JournalError, JournalOptions};

use super::{DiskSnafu, ServerError, ServerOptions, UnreadableSnafu};
use crate::client::random_number;
use crate::member::Member;

/// Most bytes that wait for the disk before requests are refused.
const MAX_QUEUED_BYTES: usize = 8 << 20;

/// The machine as its disk has it, or a new one on a disk that holds nothing or is damaged.
///
/// What another version of the program has written is no damage: emptying that disk would destroy what was
/// acknowledged, on every machine in turn where a version is rolled back.
pub(super) async fn start(
    folder: &Path,
    options: &ServerOptions,
) -> Result<(Journal, Member), ServerError> {
    let bounds = JournalOptions {
        max_bytes: options.disk_bytes,
        max_queued_bytes: MAX_QUEUED_BYTES,
    };
    match Journal::open(folder, bounds) {
        Ok((journal, found)) => {
            let node = options.node.clone();
            let snapshot = found.snapshot.as_deref();
            let recovered = Member::recover(
                Duration::ZERO,
                node,
                options.tolerated,
                snapshot,
                &found.records,
            );
            if let Some(member) = recovered {
                return Ok((journal, member));
            }
            // A new disk whose identity was not synced yet has neither.
            let is_new = found.snapshot.is_none() && found.records.is_empty();
            ensure!(is_new, UnreadableSnafu { path: folder });
        }
        Err(error @ JournalError::Corrupt { .. }) => {
            tracing::error!(%error, "the disk's content cannot be trusted: beginning anew");
        }
        Err(source) => return Err(ServerError::Disk { source }),
    }
    create_anew(folder, bounds, options)
        .await
        .context(DiskSnafu)
}

/// Gives the disk a new identity.
async fn create_anew(
    folder: &Path,
    bounds: JournalOptions,
    options: &ServerOptions,
) -> Result<(Journal, Member), JournalError> {
    Journal::discard(folder)?;
    let (journal, _) = Journal::open(folder, bounds)?;
    let disk = random_number(&options.node);
    let (member, record) = Member::create(options.node.clone(), disk, options.tolerated);
    let _synced = journal.append(record).await?;
    Ok((journal, member))
}
