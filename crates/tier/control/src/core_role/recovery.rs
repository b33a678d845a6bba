//! State of a core machine at its start: the member's, recovered from its journal, or initialized with a new identity if
//! the disk is empty; and the departures of replicas, which have a journal of their own in the same folder.

use std::path::Path;

use snafu::{OptionExt, ResultExt};
use woadreach_chain::MemberOptions;
use woadreach_discovery::DepartureJournal;
use woadreach_journal::{FileDisk, Journal, JournalError, JournalOptions, Recovered};
use woadreach_settings::NodeSettings;

use crate::durable_log::{RecoveredMember, encode_snapshot, recover};
use crate::error::{
    JournalSnafu, MissingFieldSnafu, RoleError, UnreadableDeparturesSnafu, UnreadableSnafu,
};
use crate::member_driver::new_durable;
use crate::random::random_number;

/// Maximum percentage of the disk that the member's journal uses.
const MAX_MEMBER_DISK_PERCENT: u64 = 80;
/// Maximum total size in bytes of the member's records queued for the disk.
const MAX_MEMBER_QUEUED_BYTES: usize = 64 << 20;
/// Maximum percentage of the disk that the journal of departures uses.
const MAX_DEPARTURES_DISK_PERCENT: u64 = 15;
/// Maximum total size in bytes of the departures queued for the disk.
const MAX_DEPARTURES_QUEUED_BYTES: usize = 8 << 20;
/// Prefix of the names of the files with the departures.
const DEPARTURES_PREFIX: &str = "departures-";

/// Opens the journal and recovers the state of the member. On an empty disk, creates a new identity and syncs
/// it.
pub(super) async fn recover_or_initialize(
    settings: &NodeSettings,
    member_options: &MemberOptions,
) -> Result<(Journal, RecoveredMember), RoleError> {
    let path = data_dir(settings)?;
    let options = JournalOptions {
        max_bytes: settings.limits.disk_bytes() / 100 * MAX_MEMBER_DISK_PERCENT,
        max_queued_bytes: MAX_MEMBER_QUEUED_BYTES,
    };
    let opened = open_journal(path, "", options)?;
    if let Some(error) = &opened.corruption {
        tracing::error!(%error, "journal corrupted, starting with a new disk identity");
    }
    let journal = opened.journal;
    if let Some(snapshot) = &opened.found.snapshot {
        let recovered =
            recover(snapshot, &opened.found.records).context(UnreadableSnafu { path })?;
        tracing::info!(
            epoch = recovered.durable.view.epoch,
            number = recovered.number,
            "state recovered"
        );
        return Ok((journal, recovered));
    }
    // After damage, the machine must not bootstrap a new core, because the core that it was a member of may still be
    // running.
    let bootstrap = settings.bootstrap && opened.corruption.is_none();
    let durable = new_durable(bootstrap, member_options, random_number() | 1);
    let synced = journal.replace(encode_snapshot(0, &durable)).await;
    let _receipt = synced.context(JournalSnafu { path })?;
    tracing::info!(
        identity = durable.identity,
        bootstrap,
        "empty disk initialized"
    );
    Ok((journal, RecoveredMember { durable, number: 0 }))
}

/// Opens the journal of departures, and reads those that the disk has.
///
/// # Errors
/// [`RoleError`] if the journal cannot be opened or read.
pub(super) fn recover_departures(settings: &NodeSettings) -> Result<DepartureJournal, RoleError> {
    let path = data_dir(settings)?;
    let options = JournalOptions {
        max_bytes: settings.limits.disk_bytes() / 100 * MAX_DEPARTURES_DISK_PERCENT,
        max_queued_bytes: MAX_DEPARTURES_QUEUED_BYTES,
    };
    let opened = open_journal(path, DEPARTURES_PREFIX, options)?;
    if let Some(error) = &opened.corruption {
        tracing::error!(%error, "journal of departures corrupted, starting with an empty one");
    }
    let departures = DepartureJournal::new(opened.journal, &opened.found)
        .context(UnreadableDeparturesSnafu { path })?;
    tracing::info!(
        statuses = departures.recovered_count(),
        "departures recovered"
    );
    Ok(departures)
}

fn data_dir(settings: &NodeSettings) -> Result<&Path, RoleError> {
    settings.data_dir.as_deref().context(MissingFieldSnafu {
        field: "data_dir",
        role: "core",
        expected: "a folder on the machine's disk",
    })
}

struct OpenedJournal {
    journal: Journal,
    found: Recovered,
    /// Damage for which the journal was discarded; `None` if there was none.
    corruption: Option<JournalError>,
}

/// Opens the journal whose files in the folder `path` begin with `prefix`. Discards a corrupted journal, as if the disk
/// had been lost.
fn open_journal(
    path: &Path,
    prefix: &str,
    options: JournalOptions,
) -> Result<OpenedJournal, RoleError> {
    let open = || {
        let disk = FileDisk::open_with_prefix(path, prefix)?;
        Journal::with_disk(Box::new(disk), options)
    };
    let (opened, corruption) = match open() {
        Err(error @ JournalError::Corrupt { .. }) => {
            FileDisk::open_with_prefix(path, prefix)
                .and_then(|mut disk| Journal::discard_disk(&mut disk))
                .context(JournalSnafu { path })?;
            (open(), Some(error))
        }
        opened => (opened, None),
    };
    let (journal, found) = opened.context(JournalSnafu { path })?;
    Ok(OpenedJournal {
        journal,
        found,
        corruption,
    })
}
