//! Copying of the records that a machine should store from other members: which requests to send, and when the copy
//! is complete. [`Server`](crate::server::Server) sends the requests.
//!
//! A machine of `next`, or a current one that may have missed records, pulls from the members of `current`, page by
//! page: digests first, then the records of the programs whose digests differ. A source that serves a page has sealed
//! the epoch, so no write under an earlier one can be acknowledged without being in some source's pages.

use std::collections::{BTreeSet, VecDeque};

use crate::message::{Answer, Operation, ProgramRecords};
use crate::placement::{group_size, write_quorum};
use crate::store::Store;
use crate::view::{StorageMember, StorageView};

/// Upper bound of the programs requested in one message.
const MAX_PROGRAMS_PER_FETCH: usize = 64;

/// Progress of one pull from all sources of an epoch.
#[derive(Debug, Clone)]
pub struct Pull {
    /// Epoch of the view under which the pull runs.
    epoch: u64,
    /// Members of `current`, which together store every acknowledged write; includes this machine if it is a member.
    sources: Vec<StorageMember>,
    /// Disks of the sources whose records are all synced on this machine, each once.
    finished: Vec<u64>,
    /// Maximum number of unfinished sources of a complete pull; with distinct zones, of zones with unfinished sources.
    max_missing: usize,
    /// Whether a group has at most one machine of each zone.
    has_distinct_zones: bool,
}

impl Pull {
    /// A pull under `view` by the machine with disk `own`.
    #[must_use]
    pub fn new(view: &StorageView, own: u64, tolerated_losses: usize) -> Pull {
        let size = group_size(view.current.len(), tolerated_losses);
        let max_missing = write_quorum(size, tolerated_losses)
            .min(size)
            .saturating_sub(1);
        let finished = if view.is_current(own) {
            vec![own]
        } else {
            Vec::new()
        };
        let zones: BTreeSet<&str> = view
            .current
            .iter()
            .map(|member| member.zone.as_str())
            .collect();
        let has_distinct_zones = zones.len() >= size;
        Pull {
            epoch: view.epoch,
            sources: view.current.clone(),
            finished,
            max_missing,
            has_distinct_zones,
        }
    }

    /// Epoch of the view under which the pull runs.
    #[must_use]
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// Marks a source as finished: all its records are synced on this machine.
    pub fn record_finished(&mut self, disk: u64) {
        let is_source = self.sources.iter().any(|source| source.disk == disk);
        if is_source && !self.finished.contains(&disk) {
            self.finished.push(disk);
        }
    }

    /// Whether all records of a source are synced on this machine.
    #[must_use]
    pub fn has_finished(&self, disk: u64) -> bool {
        self.finished.contains(&disk)
    }

    /// Whether every acknowledged write is included: no group has more unfinished sources than a read quorum may
    /// omit.
    #[must_use]
    pub fn is_complete(&self) -> bool {
        let missing = self
            .sources
            .iter()
            .filter(|source| !self.finished.contains(&source.disk));
        if self.has_distinct_zones {
            let zones: BTreeSet<&str> = missing.map(|source| source.zone.as_str()).collect();
            return zones.len() <= self.max_missing;
        }
        missing.count() <= self.max_missing
    }
}

/// Progress through the pages of one source.
#[derive(Debug, Clone, Default)]
pub struct Pages {
    /// Last program of the last page of digests; `None` before the first page.
    after: Option<String>,
    /// Whether no page of digests follows.
    last_page: bool,
    /// Programs whose digests differ and whose records are still to be requested.
    to_fetch: VecDeque<String>,
}

impl Pages {
    /// The next request; `None` once all pages and records were received.
    #[must_use]
    pub fn next_request(&self, node: &str) -> Option<Operation> {
        if !self.to_fetch.is_empty() {
            let programs = self
                .to_fetch
                .iter()
                .take(MAX_PROGRAMS_PER_FETCH)
                .cloned()
                .collect();
            return Some(Operation::Fetch { programs });
        }
        (!self.last_page).then(|| Operation::Digests {
            node: node.to_owned(),
            after: self.after.clone(),
        })
    }

    /// Processes the answer to [`Pages::next_request`] and returns the records to merge; `None` if the answer is not of
    /// a kind that the request allows.
    pub fn accept_answer(&mut self, store: &Store, answer: Answer) -> Option<Vec<ProgramRecords>> {
        match answer {
            Answer::DigestPage { digests, more } => {
                self.last_page = !more;
                self.after = digests.last().map(|last| last.program.clone());
                let differs = |digest: &u64, name: &str| store.digest(name) != Some(*digest);
                let wanted = digests
                    .into_iter()
                    .filter(|entry| differs(&entry.digest, &entry.program));
                self.to_fetch.extend(wanted.map(|entry| entry.program));
                Some(Vec::new())
            }
            Answer::Records { programs } if !programs.is_empty() => {
                self.to_fetch
                    .drain(..programs.len().min(self.to_fetch.len()));
                Some(programs)
            }
            _ => None,
        }
    }
}
