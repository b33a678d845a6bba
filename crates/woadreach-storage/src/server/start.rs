//! Opening the journal and the machine's state from it.

use std::path::Path;
use std::time::Duration;

use woadreach_journal::{Journal, JournalError, JournalOptions};

use super::ServerOptions;
use crate::client::random_number;
use crate::member::Member;

/// Most bytes that wait for the disk before requests are refused.
const MOST_QUEUED_BYTES: usize = 8 << 20;

/// The machine as its disk has it, or a new one on a disk that holds nothing that can be trusted.
pub(super) async fn start(folder: &Path, options: &ServerOptions) -> Result<(Journal, Member), JournalError> {
    let bounds = JournalOptions { max_bytes: options.disk_bytes, max_queued_bytes: MOST_QUEUED_BYTES };
    match Journal::open(folder, bounds) {
        Ok((journal, found)) => {
            let node = options.node.clone();
            let snapshot = found.snapshot.as_deref();
            let recovered =
                Member::recover(Duration::ZERO, node, options.tolerated, snapshot, &found.records);
            if let Some(member) = recovered {
                return Ok((journal, member));
            }
            if !found.was_empty {
                tracing::warn!("the journal does not hold a machine's state: beginning anew");
            }
        }
        Err(error @ (JournalError::Corrupt { .. } | JournalError::Version { .. })) => {
            tracing::error!(%error, "the disk's content cannot be trusted: beginning anew");
        }
        Err(error) => return Err(error),
    }
    begin_anew(folder, bounds, options).await
}

/// Gives the disk a new identity.
async fn begin_anew(
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
