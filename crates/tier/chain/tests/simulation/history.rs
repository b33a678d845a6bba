//! History of the answers to operators and of the published states. The checker verifies that a single register
//! could have produced them.

use std::collections::BTreeMap;
use std::time::Duration;

use woadreach_chain::{
    Command, ControlState, Digest, PutConfiguration, Rejection, Reply, Request, View, WritePosition,
};

use super::operator::CallId;

/// Index of an operation in the history.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct OperationIndex(usize);

/// A definite answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Outcome {
    Acknowledged,
    Rejected(Rejection),
    Read(Option<(u64, Vec<u8>)>),
}

#[derive(Clone, Debug)]
struct Operation {
    id: CallId,
    request: Request,
    invoked_at: Duration,
    answer: Option<(Duration, Outcome)>,
}

/// Behaviour that a single register can't have.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Violation {
    /// Two machines published different states at the same position.
    Diverged { position: WritePosition },
    /// A machine published an older state than before.
    PublishedOlderState { node: usize },
    /// The generation of a published state is not above that of the state before it.
    GenerationNotIncreased { position: WritePosition },
    /// Two different views have the same epoch.
    TwoViews { epoch: u64 },
    /// An acknowledged change was not applied.
    AcknowledgedButLost { generation: u64 },
    /// A rejected change was applied.
    RejectedButApplied { generation: u64 },
    /// Two changes with the same base were applied.
    TwoChangesOfOneBase { base: u64 },
    /// A change was rejected for a mismatch although its base was the current generation throughout the operation.
    RejectedThoughCurrent { generation: u64 },
    /// A duplicate of an acknowledged change was rejected.
    DuplicateRejected { generation: u64 },
    /// A change was both acknowledged and rejected, in either order.
    ContradictoryAnswers { generation: u64 },
    /// A read returned an older generation than one that was acknowledged before the read began.
    StaleRead { read: u64, acknowledged: u64 },
    /// A read returned bytes that no operator submitted with that generation.
    UnknownContentRead { generation: u64 },
    /// A member sent a view that violates an invariant.
    InvalidView { node: usize },
    /// A machine that reported to be in quorum had an older configuration than one acknowledged long before.
    StaleInQuorum {
        node: usize,
        published: u64,
        acknowledged: u64,
    },
    /// No operation was answered for too long although a majority was connected.
    NoAnswers,
    /// No write succeeded after all faults had ended.
    NoProgress,
}

/// History of a run.
#[derive(Default)]
pub(crate) struct History {
    operations: Vec<Operation>,
    /// Generation and digest of the configuration in each published state, by position.
    versions: BTreeMap<WritePosition, (u64, Digest)>,
    /// Time at which each state was first published, by position.
    first_published: BTreeMap<WritePosition, Duration>,
    newest: BTreeMap<usize, WritePosition>,
    views: BTreeMap<u64, View>,
    violations: Vec<Violation>,
    /// Changes that were applied and acknowledged before the run began.
    preloaded: Vec<PutConfiguration>,
    /// For each change, whether it was ever acknowledged, and whether it was ever rejected.
    answers: BTreeMap<Digest, (bool, bool)>,
    pub published_count: u64,
    pub acknowledged: u64,
    /// Number of acknowledgements of changes that were applied for the first time.
    pub newly_applied: u64,
    pub last_acknowledged_at: Option<Duration>,
    /// Time of the last definite answer of any kind to an operator.
    pub last_answered_at: Option<Duration>,
}

impl History {
    pub(crate) fn record_invocation(
        &mut self,
        now: Duration,
        id: CallId,
        request: &Request,
    ) -> OperationIndex {
        self.operations.push(Operation {
            id,
            request: request.clone(),
            invoked_at: now,
            answer: None,
        });
        OperationIndex(self.operations.len() - 1)
    }

    pub(crate) fn record_answer(&mut self, now: Duration, index: OperationIndex, outcome: Outcome) {
        if outcome == Outcome::Acknowledged {
            self.acknowledged += 1;
            self.last_acknowledged_at = Some(now);
        }
        self.last_answered_at = Some(now);
        self.operations[index.0].answer = Some((now, outcome));
    }

    /// Records every reply to an operator, also to an operation that was answered before.
    pub(crate) fn record_reply(&mut self, request: &Request, reply: &Reply) {
        let Request::Submit(Command::PutConfiguration(put)) = request else {
            return;
        };
        let (is_acknowledged, is_rejected) = self.answers.entry(put.digest).or_default();
        *is_acknowledged |= matches!(reply, Reply::Committed | Reply::AlreadyCommitted);
        self.newly_applied += u64::from(*reply == Reply::Committed);
        *is_rejected |= matches!(reply, Reply::Rejected(_));
        if *is_acknowledged && *is_rejected {
            self.violations.push(Violation::ContradictoryAnswers {
                generation: put.generation,
            });
        }
    }

    /// For each of the changes, whether it was ever acknowledged, and whether it was ever rejected.
    pub(crate) fn recorded_answers(&self, changes: [Digest; 2]) -> [(bool, bool); 2] {
        changes.map(|digest| self.answers.get(&digest).copied().unwrap_or_default())
    }

    /// Records that `changes` were applied and acknowledged before the run began.
    pub(crate) fn preload_changes(&mut self, changes: Vec<PutConfiguration>) {
        for put in &changes {
            self.answers.insert(put.digest, (true, false));
        }
        self.preloaded = changes;
    }

    pub(crate) fn record_restart(&mut self, node: usize) {
        self.newest.remove(&node);
    }

    pub(crate) fn record_published(&mut self, now: Duration, node: usize, state: &ControlState) {
        self.published_count += 1;
        let Some(configuration) = &state.configuration else {
            return;
        };
        let version = (configuration.generation, configuration.digest);
        if *self.versions.entry(state.position).or_insert(version) != version {
            self.violations.push(Violation::Diverged {
                position: state.position,
            });
        }
        self.first_published.entry(state.position).or_insert(now);
        let newest = self.newest.entry(node).or_default();
        if *newest > state.position {
            self.violations
                .push(Violation::PublishedOlderState { node });
        }
        *newest = state.position;
    }

    pub(crate) fn record_view(&mut self, view: &View) {
        let known = self.views.entry(view.epoch).or_insert_with(|| view.clone());
        if known != view {
            self.violations
                .push(Violation::TwoViews { epoch: view.epoch });
        }
    }

    pub(crate) fn report(&mut self, violation: Violation) {
        self.violations.push(violation);
    }

    /// Checks the whole history against `last`, the committed state at the end.
    pub(crate) fn check(&self, last: &ControlState) -> Vec<Violation> {
        let mut violations = self.violations.clone();
        violations.extend(self.check_generations());
        violations.extend(self.check_changes(last));
        violations.extend(self.check_reads());
        violations
    }

    fn check_generations(&self) -> Vec<Violation> {
        let mut violations = Vec::new();
        let mut previous: Option<(u64, Digest)> = None;
        for (&position, &version) in &self.versions {
            if let Some(before) = previous
                && before != version
                && version.0 <= before.0
            {
                violations.push(Violation::GenerationNotIncreased { position });
            }
            previous = Some(version);
        }
        violations
    }

    fn check_changes(&self, last: &ControlState) -> Vec<Violation> {
        let mut violations = Vec::new();
        let mut bases: BTreeMap<u64, Digest> = BTreeMap::new();
        for operation in &self.operations {
            let Request::Submit(Command::PutConfiguration(put)) = &operation.request else {
                continue;
            };
            let is_applied = self.was_applied(put, last);
            if is_applied && *bases.entry(put.base).or_insert(put.digest) != put.digest {
                violations.push(Violation::TwoChangesOfOneBase { base: put.base });
            }
            match &operation.answer {
                Some((_, Outcome::Acknowledged)) if !is_applied => {
                    violations.push(Violation::AcknowledgedButLost {
                        generation: put.generation,
                    });
                }
                Some((at, Outcome::Rejected(_))) => {
                    if self.was_acknowledged_before(put.digest, operation.invoked_at) {
                        violations.push(Violation::DuplicateRejected {
                            generation: put.generation,
                        });
                    } else if is_applied {
                        violations.push(Violation::RejectedButApplied {
                            generation: put.generation,
                        });
                    }
                    let is_mismatch = matches!(
                        operation.answer,
                        Some((_, Outcome::Rejected(Rejection::BaseMismatch { .. })))
                    );
                    if is_mismatch && self.was_current_throughout(put, operation.invoked_at, *at) {
                        violations.push(Violation::RejectedThoughCurrent {
                            generation: put.generation,
                        });
                    }
                }
                _ => {}
            }
        }
        violations
    }

    /// Whether a change was applied, in the run or before it. The state may no longer retain the digests of the
    /// changes before the run.
    fn was_applied(&self, put: &PutConfiguration, last: &ControlState) -> bool {
        let is_same = |generation, digest| generation == put.generation && digest == put.digest;
        last.applied
            .iter()
            .any(|applied| is_same(applied.generation, applied.digest))
            || self
                .preloaded
                .iter()
                .any(|preloaded| is_same(preloaded.generation, preloaded.digest))
    }

    fn was_acknowledged_before(&self, digest: Digest, moment: Duration) -> bool {
        self.operations.iter().any(|operation| {
            let Request::Submit(Command::PutConfiguration(put)) = &operation.request else {
                return false;
            };
            let is_acknowledged =
                matches!(operation.answer, Some((at, Outcome::Acknowledged)) if at < moment);
            put.digest == digest && is_acknowledged
        })
    }

    /// Whether the base of `rejected` was certainly the current generation from `start` to `end`: it was published
    /// and acknowledged before `start`, and no other change that builds on it or on a later generation was sent
    /// before `end`.
    fn was_current_throughout(
        &self,
        rejected: &PutConfiguration,
        start: Duration,
        end: Duration,
    ) -> bool {
        let base = rejected.base;
        let is_acknowledged = base == 0
            || self.operations.iter().any(|operation| {
                let Request::Submit(Command::PutConfiguration(put)) = &operation.request else {
                    return false;
                };
                put.generation == base
                    && matches!(operation.answer, Some((at, Outcome::Acknowledged)) if at < start)
                    && self
                        .versions
                        .values()
                        .any(|version| *version == (put.generation, put.digest))
            });
        let has_other = self.operations.iter().any(|operation| {
            let Request::Submit(Command::PutConfiguration(put)) = &operation.request else {
                return false;
            };
            put.base >= base
                && operation.invoked_at < end
                && put.digest != rejected.digest
                && put.generation > base
        });
        is_acknowledged && !has_other
    }

    fn check_reads(&self) -> Vec<Violation> {
        let mut violations = Vec::new();
        for operation in &self.operations {
            let Some((_, Outcome::Read(found))) = &operation.answer else {
                continue;
            };
            let read = found.as_ref().map_or(0, |(generation, _)| *generation);
            let acknowledged = self.newest_known_before(operation.invoked_at);
            if read < acknowledged {
                violations.push(Violation::StaleRead { read, acknowledged });
            }
            if let Some((generation, body)) = found
                && !self.was_sent(*generation, body)
            {
                violations.push(Violation::UnknownContentRead {
                    generation: *generation,
                });
            }
        }
        violations
    }

    /// The newest generation that was acknowledged or read before `moment`.
    fn newest_known_before(&self, moment: Duration) -> u64 {
        let known = self.operations.iter().filter_map(|operation| {
            let (at, outcome) = operation.answer.as_ref()?;
            if *at >= moment {
                return None;
            }
            match (outcome, &operation.request) {
                (Outcome::Acknowledged, Request::Submit(Command::PutConfiguration(put))) => {
                    Some(put.generation)
                }
                (Outcome::Read(found), _) => found.as_ref().map(|(generation, _)| *generation),
                _ => None,
            }
        });
        known
            .chain(self.preloaded.last().map(|put| put.generation))
            .max()
            .unwrap_or(0)
    }

    /// Checks a machine's report that it is in quorum and that `published` is the current generation, against the
    /// newest generation that was acknowledged or read before `moment`.
    pub(crate) fn check_quorum_report(&mut self, node: usize, published: u64, moment: Duration) {
        let acknowledged = self.newest_known_before(moment);
        if published < acknowledged {
            self.report(Violation::StaleInQuorum {
                node,
                published,
                acknowledged,
            });
        }
    }

    fn was_sent(&self, generation: u64, body: &[u8]) -> bool {
        self.operations.iter().any(|operation| {
            let Request::Submit(Command::PutConfiguration(put)) = &operation.request else {
                return false;
            };
            put.generation == generation && put.body.0 == body
        }) || self
            .preloaded
            .iter()
            .any(|put| put.generation == generation && put.body.0 == body)
    }

    pub(crate) fn describe(&self) -> String {
        let lines = self.operations.iter().map(|operation| {
            format!(
                "{:?} {:?} {:?} -> {:?}\n",
                operation.invoked_at, operation.id, operation.request, operation.answer
            )
        });
        lines.collect()
    }
}
