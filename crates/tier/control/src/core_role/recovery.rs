//! State of a core machine at its start: recovered from the journal, or initialized with a new identity if the
//! disk is empty.

use std::path::Path;

use snafu::{OptionExt, ResultExt};
use woadreach_chain::MemberOptions;
use woadreach_journal::{Journal, JournalError, JournalOptions, Recovered};
use woadreach_settings::NodeSettings;

use crate::durable_log::{RecoveredMember, encode_snapshot, recover};
use crate::error::{JournalSnafu, MissingFieldSnafu, RoleError, UnreadableSnafu};
use crate::member_driver::new_durable;
use crate::random::random_number;

/// Maximum percentage of the disk that the journal uses.
const MAX_DISK_PERCENT: u64 = 80;
/// Maximum total size in bytes of the records queued for the disk.
const MAX_QUEUED_BYTES: usize = 64 << 20;

/// Opens the journal and recovers the state of the member. On an empty disk, creates a new identity and syncs
/// it.
pub(super) async fn recover_or_initialize(
    settings: &NodeSettings,
    options: &MemberOptions,
) -> Result<(Journal, RecoveredMember), RoleError> {
    let path = settings.data_dir.clone().context(MissingFieldSnafu {
        field: "data_dir",
        role: "core",
        expected: "a folder on the machine's disk",
    })?;
    let opened = open_journal(&path, settings.limits.disk_bytes())?;
    let journal = opened.journal;
    if let Some(snapshot) = &opened.found.snapshot {
        let recovered =
            recover(snapshot, &opened.found.records).context(UnreadableSnafu { path: &path })?;
        tracing::info!(
            epoch = recovered.durable.view.epoch,
            number = recovered.number,
            "state recovered"
        );
        return Ok((journal, recovered));
    }
    let bootstrap = settings.bootstrap && opened.is_intact;
    let durable = new_durable(bootstrap, options, random_number() | 1);
    let synced = journal.replace(encode_snapshot(0, &durable)).await;
    let _receipt = synced.context(JournalSnafu { path: &path })?;
    tracing::info!(
        identity = durable.identity,
        bootstrap,
        "empty disk initialized"
    );
    Ok((journal, RecoveredMember { durable, number: 0 }))
}

struct OpenedJournal {
    journal: Journal,
    found: Recovered,
    /// Whether the journal was undamaged when it was opened. After damage, the machine must not bootstrap a new
    /// core, because the core that it was a member of may still be running.
    is_intact: bool,
}

/// Opens the journal. Discards a corrupted journal, so that the machine starts as a new member.
fn open_journal(path: &Path, disk_bytes: u64) -> Result<OpenedJournal, RoleError> {
    let max_bytes = disk_bytes / 100 * MAX_DISK_PERCENT;
    let options = JournalOptions {
        max_bytes,
        max_queued_bytes: MAX_QUEUED_BYTES,
    };
    let (opened, is_intact) = match Journal::open(path, options) {
        Err(error @ JournalError::Corrupt { .. }) => {
            tracing::error!(%error, "journal corrupted, starting with a new disk identity");
            Journal::discard(path).context(JournalSnafu { path })?;
            (Journal::open(path, options), false)
        }
        opened => (opened, true),
    };
    let (journal, found) = opened.context(JournalSnafu { path })?;
    Ok(OpenedJournal {
        journal,
        found,
        is_intact,
    })
}
