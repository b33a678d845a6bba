//! State of one storage machine in memory: turns and budgets by program. [`StorageNode`](crate::node::StorageNode)
//! owns it and controls all writes.
//!
//! A program's turns are kept together until the retention of its newest turn has passed, so that no turn loses its
//! ancestors. The budget is kept for longer, since the program may start further turns.

use std::collections::{BTreeMap, BTreeSet};
use std::ops::Bound;
use std::sync::Arc;
use std::time::Duration;

use woadreach_routing::rendezvous::{hash64, mix};

use crate::budget::{Budget, Reservation};
use crate::message::{ProgramDigest, ProgramRecords};
use crate::turn::{TurnRecord, ancestry};

/// Added to the retention to allow for the network latency to the client and back.
const RETENTION_MARGIN: Duration = Duration::from_secs(5);
/// Retention of a program's budget after its last use; edges renew the reservations of turns in progress.
pub(crate) const BUDGET_RETENTION: Duration = Duration::from_secs(300);

/// Records of one program.
#[derive(Clone, Debug, Default)]
struct Program {
    budget: Budget,
    /// Turns by `Request-Id`.
    turns: BTreeMap<String, Arc<TurnRecord>>,
    /// Common expiry of all turns of the program; never decreases.
    turns_expire_at: Duration,
    /// Expiry of the budget if no turns are left; never decreases.
    budget_expires_at: Duration,
}

impl Program {
    /// Expiry of the turns or, if there are none, of the budget.
    fn next_expiry(&self) -> Duration {
        if self.turns.is_empty() {
            self.budget_expires_at
        } else {
            self.turns_expire_at
        }
    }

    /// Hash over the turns' `Request-Id`s and the reservations, independent of their order.
    fn digest(&self) -> u64 {
        let turns = self
            .turns
            .keys()
            .map(|name| mix(hash64(name.as_bytes(), 1)));
        let reservations = self.budget.iter().map(|entry| {
            let state = hash64(&entry.id.to_le_bytes(), 2 + u64::from(entry.settled));
            mix(hash64(&entry.tokens.to_le_bytes(), state))
        });
        turns.chain(reservations).fold(0, u64::wrapping_add)
    }
}

/// Next expiry of a program's turns or budget; ordered by time.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Expiry {
    at: Duration,
    program: String,
}

/// A page of digests, in the order of the programs' names.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DigestPage {
    /// Digests of the page.
    pub digests: Vec<ProgramDigest>,
    /// Whether further pages follow.
    pub more: bool,
}

/// Turns and budgets. Times are read from the monotonic clock, relative to the process's start.
#[derive(Clone, Debug, Default)]
pub struct Store {
    programs: BTreeMap<String, Program>,
    /// Names of the programs that have a turn with this `Request-Id`; no set is empty.
    programs_of: BTreeMap<String, BTreeSet<String>>,
    /// One entry for each program, at its [`Program::next_expiry`].
    expiries: BTreeSet<Expiry>,
    /// Approximate bytes of all turns.
    bytes: usize,
}

impl Store {
    /// Merges records of a program and returns whether any of them was new.
    pub fn merge(&mut self, now: Duration, records: ProgramRecords) -> bool {
        let name = records.program;
        let mut changed = false;
        let program = self.programs.entry(name.clone()).or_default();
        let before = Expiry {
            at: program.next_expiry(),
            program: name.clone(),
        };
        for reservation in records.reservations {
            changed |= program.budget.join(reservation);
        }
        for turn in records.turns {
            if program.turns.contains_key(&turn.request_id) {
                continue;
            }
            self.bytes += turn.size();
            self.programs_of
                .entry(turn.request_id.clone())
                .or_default()
                .insert(name.clone());
            program
                .turns
                .insert(turn.request_id.clone(), Arc::new(turn));
            changed = true;
        }
        let retained_for = Duration::from_millis(records.remaining_ms);
        program.turns_expire_at = program.turns_expire_at.max(now + retained_for);
        program.budget_expires_at = program.budget_expires_at.max(now + BUDGET_RETENTION);
        let after = Expiry {
            at: program.next_expiry(),
            program: name,
        };
        if before != after {
            self.expiries.remove(&before);
        }
        self.expiries.insert(after);
        changed
    }

    /// Builds the records of a program with `turns` and `reservations`, retained for the longest retention of the
    /// turns.
    #[must_use]
    pub fn records(
        program: String,
        reservations: Vec<Reservation>,
        turns: Vec<TurnRecord>,
    ) -> ProgramRecords {
        let longest = turns.iter().map(|turn| turn.retention_ms).max();
        let margin = u64::try_from(RETENTION_MARGIN.as_millis()).unwrap_or(u64::MAX);
        let remaining_ms = longest.map_or(0, |retention| retention.saturating_add(margin));
        ProgramRecords {
            program,
            reservations,
            turns,
            remaining_ms,
        }
    }

    /// All reservations of a program.
    #[must_use]
    pub fn reservations(&self, program: &str) -> Vec<Reservation> {
        let budget = self.programs.get(program).map(|found| &found.budget);
        budget
            .map(|found| found.iter().copied().collect())
            .unwrap_or_default()
    }

    /// A turn and its ancestors, newest first, up to the first that is not stored or to `max_bytes`; if the newest is
    /// stored, at least that one.
    #[must_use]
    pub fn chain(&self, program: &str, request_id: &str, max_bytes: usize) -> Vec<Arc<TurnRecord>> {
        let mut chain: Vec<Arc<TurnRecord>> = Vec::new();
        let Some(found) = self.programs.get(program) else {
            return chain;
        };
        let newest = found.turns.get(request_id);
        let previous = |turn: &TurnRecord| found.turns.get(turn.previous.as_ref()?);
        let mut bytes = 0;
        for turn in ancestry(newest, found.turns.len(), previous) {
            bytes += turn.size();
            if bytes > max_bytes && !chain.is_empty() {
                break;
            }
            chain.push(Arc::clone(turn));
        }
        chain
    }

    /// Whether a turn and all its ancestors are stored.
    #[must_use]
    pub fn has_complete_chain(&self, program: &str, request_id: &str) -> bool {
        let Some(found) = self.programs.get(program) else {
            return false;
        };
        let newest = found.turns.get(request_id);
        let previous = |turn: &TurnRecord| found.turns.get(turn.previous.as_ref()?);
        let oldest = ancestry(newest, found.turns.len(), previous).last();
        oldest.is_some_and(|turn| turn.previous.is_none())
    }

    /// Names of the programs that have a turn with this `Request-Id`.
    #[must_use]
    pub fn programs_of(&self, request_id: &str) -> Vec<String> {
        self.programs_of
            .get(request_id)
            .map(|names| names.iter().cloned().collect())
            .unwrap_or_default()
    }

    /// Digests of up to `limit` programs after `after` that `filter` accepts.
    #[must_use]
    pub fn digests(
        &self,
        after: Option<&str>,
        limit: usize,
        filter: impl Fn(&str) -> bool,
    ) -> DigestPage {
        let start = after.map_or(Bound::Unbounded, Bound::Excluded);
        let range = self.programs.range::<str, _>((start, Bound::Unbounded));
        let mut digests = Vec::new();
        for (name, program) in range.filter(|(name, _)| filter(name)) {
            if digests.len() == limit {
                return DigestPage {
                    digests,
                    more: true,
                };
            }
            digests.push(ProgramDigest {
                program: name.clone(),
                digest: program.digest(),
            });
        }
        DigestPage {
            digests,
            more: false,
        }
    }

    /// Digest of one program; `None` if nothing of it is stored.
    #[must_use]
    pub fn digest(&self, program: &str) -> Option<u64> {
        self.programs.get(program).map(Program::digest)
    }

    /// All records of a program; `None` if nothing of it is stored.
    #[must_use]
    pub fn program(&self, now: Duration, name: &str) -> Option<ProgramRecords> {
        let program = self.programs.get(name)?;
        let remaining = program.turns_expire_at.saturating_sub(now);
        Some(ProgramRecords {
            program: name.to_owned(),
            reservations: program.budget.iter().copied().collect(),
            turns: program
                .turns
                .values()
                .map(|turn| TurnRecord::clone(turn))
                .collect(),
            remaining_ms: u64::try_from(remaining.as_millis()).unwrap_or(u64::MAX),
        })
    }

    /// Names of all programs.
    pub fn names(&self) -> impl Iterator<Item = &str> {
        self.programs.keys().map(String::as_str)
    }

    /// Removes turns and budgets that have expired by `now`.
    pub fn expire(&mut self, now: Duration) {
        while let Some(expiry) = self.expiries.first().cloned() {
            if expiry.at > now {
                return;
            }
            self.expiries.pop_first();
            self.expire_program(now, expiry.program);
        }
    }

    fn expire_program(&mut self, now: Duration, name: String) {
        let Some(program) = self.programs.get_mut(&name) else {
            return;
        };
        if program.turns_expire_at <= now {
            for (request_id, turn) in std::mem::take(&mut program.turns) {
                self.bytes -= turn.size();
                if let Some(names) = self.programs_of.get_mut(&request_id) {
                    names.remove(&name);
                    if names.is_empty() {
                        self.programs_of.remove(&request_id);
                    }
                }
            }
        }
        if program.turns.is_empty() && program.budget_expires_at <= now {
            self.programs.remove(&name);
        } else {
            self.expiries.insert(Expiry {
                at: program.next_expiry(),
                program: name,
            });
        }
    }

    /// Approximate bytes of all turns.
    #[must_use]
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Number of programs.
    #[must_use]
    pub fn len(&self) -> usize {
        self.programs.len()
    }

    /// Whether nothing is stored.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.programs.is_empty()
    }
}
