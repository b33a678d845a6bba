//! Derives the role of a machine from its metrics, and the remarks that need an operator's attention.

use std::fmt;

use serde::Serialize;

use super::MachineStatus;
use super::parsed_page::ParsedPage;

/// Maximum time since an edge last received an answer from a core machine. Polls are answered every second, so an edge
/// over this limit is partitioned from the core machines.
const MAX_CORE_SILENCE_S: f64 = 3.0;
/// Maximum time for which a disk operation may be unfinished before the disk counts as stalled.
const MAX_DISK_STALL_S: f64 = 1.0;

/// Role of a machine in the tier.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum Role {
    /// Serves clients.
    Edge,
    /// Is a member of the control plane.
    Core,
    /// Stores conversations.
    Storage,
}

impl Role {
    /// Derives the role from the metrics of a page; `None` if the page has no metric that is specific to a role.
    pub(crate) fn of(page: &ParsedPage) -> Option<Role> {
        let has = |name| page.get(name).is_some();
        if has("core_epoch") {
            Some(Role::Core)
        } else if has("storage_pulled_epoch") {
            Some(Role::Storage)
        } else if has("client_connections") {
            Some(Role::Edge)
        } else {
            None
        }
    }
}

impl fmt::Display for Role {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Role::Edge => "edge",
            Role::Core => "core",
            Role::Storage => "storage",
        })
    }
}

/// Replaces the remarks of each machine: conditions in its own metrics, and a configuration or storage view older than
/// the newest among all machines.
pub(crate) fn set_remarks(statuses: &mut [MachineStatus]) {
    let newest = |name: &str| {
        let values = statuses.iter().filter_map(|status| status.page.get(name));
        values.fold(0.0, f64::max)
    };
    let newest_generation = newest("configuration_generation");
    let newest_storage_epoch = newest("storage_epoch");
    for status in statuses.iter_mut() {
        let page = &status.page;
        let mut remarks = own_remarks(page);
        if is_behind(page, "configuration_generation", newest_generation) {
            remarks.push(format!("configuration behind {newest_generation}"));
        }
        if is_behind(page, "storage_epoch", newest_storage_epoch) {
            remarks.push(format!("storage view behind {newest_storage_epoch}"));
        }
        status.remarks = remarks;
    }
}

fn is_behind(page: &ParsedPage, name: &str, newest: f64) -> bool {
    page.get(name).is_some_and(|value| value < newest)
}

/// Remarks that follow from the metrics of one machine alone.
fn own_remarks(page: &ParsedPage) -> Vec<String> {
    let mut remarks = Vec::new();
    let mut remark_if = |applies: bool, text: &str| {
        if applies {
            remarks.push(text.to_owned());
        }
    };
    remark_if(page.is_zero("ready"), "not ready");
    remark_if(page.is_zero("core_in_quorum"), "out of quorum");
    remark_if(page.is_zero("core_in_chain"), "not in the chain");
    remark_if(
        page.is_positive("registry_warming"),
        "may not know all replicas",
    );
    remark_if(page.is_zero("journal_healthy"), "disk unhealthy");
    let exceeds = |name, limit| page.get(name).is_some_and(|value| value > limit);
    remark_if(
        exceeds("journal_stall_seconds", MAX_DISK_STALL_S),
        "disk stalled",
    );
    remark_if(
        exceeds("core_silence_seconds", MAX_CORE_SILENCE_S),
        "hears no core machine",
    );
    remark_if(
        page.is_zero("storage_is_current"),
        "not in the storage view",
    );
    remark_if(page.is_positive("storage_shutting_down"), "leaving");
    for (name, what) in [
        ("core_voters{state=\"suspected\"}", "voters suspected"),
        ("ejected_replicas", "replicas ejected"),
    ] {
        if let Some(count) = page.get(name).filter(|count| *count > 0.0) {
            remarks.push(format!("{count} {what}"));
        }
    }
    remarks
}

#[cfg(test)]
#[path = "../../tests/unit/remarks.rs"]
mod tests;
