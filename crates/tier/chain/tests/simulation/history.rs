//! What machines answered to operators and what they published, and whether a single register explains it.

use std::collections::BTreeMap;
use std::time::Duration;

use woadreach_chain::{
    Command, ControlState, Digest, PutConfiguration, Rejection, Reply, Request, View, WritePosition,
};

use super::operator::CallId;

/// Number of an order in the history.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Attempt(usize);

/// A clear answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Outcome {
    Acknowledged,
    Refused(Rejection),
    Read(Option<(u64, Vec<u8>)>),
}

#[derive(Clone, Debug)]
struct Order {
    id: CallId,
    request: Request,
    invoked: Duration,
    answered: Option<(Duration, Outcome)>,
}

/// Something that no single register can have done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Violation {
    /// Two machines published different states under one stamp.
    Diverged { stamp: WritePosition },
    /// A machine published something older than before.
    WentBack { node: usize },
    /// A committed version has a generation that is not above the one before it.
    GenerationFell { stamp: WritePosition },
    /// Two different views have the same epoch.
    TwoViews { epoch: u64 },
    /// An acknowledged change is not among those taken at the end.
    Lost { generation: u64 },
    /// A refused change was taken.
    RefusedInForce { generation: u64 },
    /// Two changes on one version are in force.
    TwoOnOneBase { base: u64 },
    /// A change was refused for a mismatch although its base was the current version throughout.
    RefusedThoughCurrent { generation: u64 },
    /// A change that had been acknowledged was refused when it was sent again.
    RepeatRefused { generation: u64 },
    /// One change was both acknowledged and refused, whichever came first.
    TwoAnswers { generation: u64 },
    /// A read gave something older than what was acknowledged before it began.
    StaleRead { read: u64, acknowledged: u64 },
    /// A read returned bytes that nobody submitted under that generation.
    ForeignRead { generation: u64 },
    /// A member sent a view that other members reject.
    InvalidView { node: usize },
    /// A machine that said that it was in quorum had an older configuration than one acknowledged long
    /// before.
    StaleInQuorum {
        node: usize,
        published: u64,
        acknowledged: u64,
    },
    /// No order was answered for too long although a majority was connected.
    NoAnswers,
    /// Nothing could be written after all faults had ended.
    NoProgress,
}

/// Everything that was seen.
#[derive(Default)]
pub(crate) struct History {
    orders: Vec<Order>,
    /// Published states: configuration's generation and digest by stamp.
    versions: BTreeMap<WritePosition, (u64, Digest)>,
    /// When each version was first published.
    first_published: BTreeMap<WritePosition, Duration>,
    newest: BTreeMap<usize, WritePosition>,
    views: BTreeMap<u64, View>,
    violations: Vec<Violation>,
    /// Changes that were taken before the run began.
    earlier: Vec<PutConfiguration>,
    /// Every clear answer to a change: whether it was ever acknowledged, and ever refused.
    answers: BTreeMap<Digest, (bool, bool)>,
    pub published_count: u64,
    pub acknowledged: u64,
    /// Acknowledgements of changes that had not been taken before.
    pub newly_taken: u64,
    pub last_acknowledged_at: Option<Duration>,
    /// When an operator last had a clear answer of any kind.
    pub last_answered_at: Option<Duration>,
}

impl History {
    pub(crate) fn invoked(&mut self, now: Duration, id: CallId, request: &Request) -> Attempt {
        self.orders.push(Order {
            id,
            request: request.clone(),
            invoked: now,
            answered: None,
        });
        Attempt(self.orders.len() - 1)
    }

    pub(crate) fn answered(&mut self, now: Duration, attempt: Attempt, outcome: Outcome) {
        if outcome == Outcome::Acknowledged {
            self.acknowledged += 1;
            self.last_acknowledged_at = Some(now);
        }
        self.last_answered_at = Some(now);
        self.orders[attempt.0].answered = Some((now, outcome));
    }

    /// Records every reply that an operator got, also one to an order that was answered before.
    pub(crate) fn replied(&mut self, request: &Request, reply: &Reply) {
        let Request::Submit(Command::PutConfiguration(put)) = request else {
            return;
        };
        let (is_acknowledged, is_refused) = self.answers.entry(put.digest).or_default();
        *is_acknowledged |= matches!(reply, Reply::Committed | Reply::AlreadyCommitted);
        self.newly_taken += u64::from(*reply == Reply::Committed);
        *is_refused |= matches!(reply, Reply::Rejected(_));
        if *is_acknowledged && *is_refused {
            self.violations.push(Violation::TwoAnswers {
                generation: put.generation,
            });
        }
    }

    /// Whether each change was ever acknowledged, and ever refused.
    pub(crate) fn recorded_answers(&self, changes: [Digest; 2]) -> [(bool, bool); 2] {
        changes.map(|digest| self.answers.get(&digest).copied().unwrap_or_default())
    }

    /// `changes` were taken and acknowledged before the run began.
    pub(crate) fn begin_after(&mut self, changes: Vec<PutConfiguration>) {
        for put in &changes {
            self.answers.insert(put.digest, (true, false));
        }
        self.earlier = changes;
    }

    pub(crate) fn restarted(&mut self, node: usize) {
        self.newest.remove(&node);
    }

    pub(crate) fn published(&mut self, now: Duration, node: usize, state: &ControlState) {
        self.published_count += 1;
        let Some(configuration) = &state.configuration else {
            return;
        };
        let version = (configuration.generation, configuration.digest);
        if *self.versions.entry(state.position).or_insert(version) != version {
            self.violations.push(Violation::Diverged {
                stamp: state.position,
            });
        }
        self.first_published.entry(state.position).or_insert(now);
        let newest = self.newest.entry(node).or_default();
        if *newest > state.position {
            self.violations.push(Violation::WentBack { node });
        }
        *newest = state.position;
    }

    pub(crate) fn view_installed(&mut self, view: &View) {
        let known = self.views.entry(view.epoch).or_insert_with(|| view.clone());
        if known != view {
            self.violations
                .push(Violation::TwoViews { epoch: view.epoch });
        }
    }

    pub(crate) fn report(&mut self, violation: Violation) {
        self.violations.push(violation);
    }

    /// Checks the whole history against the state that is committed at the end.
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
        for (&stamp, &version) in &self.versions {
            if let Some(before) = previous
                && before != version
                && version.0 <= before.0
            {
                violations.push(Violation::GenerationFell { stamp });
            }
            previous = Some(version);
        }
        violations
    }

    fn check_changes(&self, last: &ControlState) -> Vec<Violation> {
        let mut violations = Vec::new();
        let mut bases: BTreeMap<u64, Digest> = BTreeMap::new();
        for order in &self.orders {
            let Request::Submit(Command::PutConfiguration(put)) = &order.request else {
                continue;
            };
            let is_taken = self.was_taken(put, last);
            if is_taken && *bases.entry(put.base).or_insert(put.digest) != put.digest {
                violations.push(Violation::TwoOnOneBase { base: put.base });
            }
            match &order.answered {
                Some((_, Outcome::Acknowledged)) if !is_taken => {
                    violations.push(Violation::Lost {
                        generation: put.generation,
                    });
                }
                Some((at, Outcome::Refused(_))) => {
                    if self.was_acknowledged_before(put.digest, order.invoked) {
                        violations.push(Violation::RepeatRefused {
                            generation: put.generation,
                        });
                    } else if is_taken {
                        violations.push(Violation::RefusedInForce {
                            generation: put.generation,
                        });
                    }
                    let is_mismatch = matches!(
                        order.answered,
                        Some((_, Outcome::Refused(Rejection::BaseMismatch { .. })))
                    );
                    if is_mismatch && self.was_current_throughout(put, order.invoked, *at) {
                        violations.push(Violation::RefusedThoughCurrent {
                            generation: put.generation,
                        });
                    }
                }
                _ => {}
            }
        }
        violations
    }

    /// Whether a change was taken, in the run or before it; the state may have forgotten the latter.
    fn was_taken(&self, put: &PutConfiguration, last: &ControlState) -> bool {
        let is_same = |generation, digest| generation == put.generation && digest == put.digest;
        last.applied
            .iter()
            .any(|taken| is_same(taken.generation, taken.digest))
            || self
                .earlier
                .iter()
                .any(|earlier| is_same(earlier.generation, earlier.digest))
    }

    fn was_acknowledged_before(&self, digest: Digest, moment: Duration) -> bool {
        self.orders.iter().any(|order| {
            let Request::Submit(Command::PutConfiguration(put)) = &order.request else {
                return false;
            };
            let is_acknowledged =
                matches!(order.answered, Some((at, Outcome::Acknowledged)) if at < moment);
            put.digest == digest && is_acknowledged
        })
    }

    /// Whether the base of `refused` was surely the current one from `start` to `end`: acknowledged before
    /// `start`, and nothing that was published before `end` is newer, nor was any other change in flight.
    fn was_current_throughout(
        &self,
        refused: &PutConfiguration,
        start: Duration,
        end: Duration,
    ) -> bool {
        let base = refused.base;
        let is_acknowledged = base == 0
            || self.orders.iter().any(|order| {
                let Request::Submit(Command::PutConfiguration(put)) = &order.request else {
                    return false;
                };
                put.generation == base
                    && matches!(order.answered, Some((at, Outcome::Acknowledged)) if at < start)
                    && self
                        .versions
                        .values()
                        .any(|version| *version == (put.generation, put.digest))
            });
        let has_other = self.orders.iter().any(|order| {
            let Request::Submit(Command::PutConfiguration(put)) = &order.request else {
                return false;
            };
            put.base >= base
                && order.invoked < end
                && put.digest != refused.digest
                && put.generation > base
        });
        is_acknowledged && !has_other
    }

    fn check_reads(&self) -> Vec<Violation> {
        let mut violations = Vec::new();
        for order in &self.orders {
            let Some((_, Outcome::Read(found))) = &order.answered else {
                continue;
            };
            let read = found.as_ref().map_or(0, |(generation, _)| *generation);
            let acknowledged = self.newest_known_before(order.invoked);
            if read < acknowledged {
                violations.push(Violation::StaleRead { read, acknowledged });
            }
            if let Some((generation, body)) = found
                && !self.was_sent(*generation, body)
            {
                violations.push(Violation::ForeignRead {
                    generation: *generation,
                });
            }
        }
        violations
    }

    /// The newest generation that an operator knew before `moment`, from an acknowledgement or a read.
    fn newest_known_before(&self, moment: Duration) -> u64 {
        let known = self.orders.iter().filter_map(|order| {
            let (at, outcome) = order.answered.as_ref()?;
            if *at >= moment {
                return None;
            }
            match (outcome, &order.request) {
                (Outcome::Acknowledged, Request::Submit(Command::PutConfiguration(put))) => {
                    Some(put.generation)
                }
                (Outcome::Read(found), _) => found.as_ref().map(|(generation, _)| *generation),
                _ => None,
            }
        });
        known
            .chain(self.earlier.last().map(|put| put.generation))
            .max()
            .unwrap_or(0)
    }

    /// A machine says that it is in quorum and that `published` is the newest generation.
    pub(crate) fn claimed_current(&mut self, node: usize, published: u64, moment: Duration) {
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
        self.orders.iter().any(|order| {
            let Request::Submit(Command::PutConfiguration(put)) = &order.request else {
                return false;
            };
            put.generation == generation && put.body.0 == body
        }) || self
            .earlier
            .iter()
            .any(|put| put.generation == generation && put.body.0 == body)
    }

    pub(crate) fn describe(&self) -> String {
        let lines = self.orders.iter().map(|order| {
            format!(
                "{:?} {:?} {:?} -> {:?}\n",
                order.invoked, order.id, order.request, order.answered
            )
        });
        lines.collect()
    }
}
