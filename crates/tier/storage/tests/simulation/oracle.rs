//! Oracle: records acknowledgements and checks later answers against them.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use woadreach_storage::turn::TurnRecord;
use woadreach_storage::{Turn, TurnKey};

use super::violation::{
    BudgetOverspentSnafu, ChainTooLongSnafu, ChangedTurnSnafu, TruncatedChainSnafu, Violation,
    WrongRefusalSnafu,
};

/// State of one reservation attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Attempt {
    /// Sent, or abandoned without a durable withdrawal: counts at its upper bound.
    Open { max_tokens: u64 },
    /// Granted: the turn may run.
    Granted { max_tokens: u64 },
    /// The turn ended: the proxy knows the delivered tokens, the machines may not.
    Ended {
        max_tokens: u64,
        delivered_tokens: u64,
    },
    /// Settled: a quorum stores the delivered tokens since `at`.
    Settled {
        max_tokens: u64,
        delivered_tokens: u64,
        at: Duration,
    },
}

impl Attempt {
    fn delivered_tokens(self) -> u64 {
        match self {
            Attempt::Open { .. } => 0,
            Attempt::Granted { max_tokens } => max_tokens,
            Attempt::Ended {
                delivered_tokens, ..
            }
            | Attempt::Settled {
                delivered_tokens, ..
            } => delivered_tokens,
        }
    }

    /// Upper bound of the tokens counted for this attempt in an answer to a request sent at `sent`.
    fn max_counted_tokens(self, sent: Duration) -> u64 {
        match self {
            Attempt::Settled {
                delivered_tokens,
                at,
                ..
            } if at <= sent => delivered_tokens,
            Attempt::Open { max_tokens }
            | Attempt::Granted { max_tokens }
            | Attempt::Ended { max_tokens, .. }
            | Attempt::Settled { max_tokens, .. } => max_tokens,
        }
    }
}

#[derive(Debug, Default)]
pub(crate) struct Oracle {
    /// Turns that were acknowledged as durable.
    acknowledged: BTreeMap<TurnKey, TurnRecord>,
    /// When the retention of each acknowledged turn ends.
    retained_until: BTreeMap<TurnKey, Duration>,
    attempts: BTreeMap<String, BTreeMap<u64, Attempt>>,
}

impl Oracle {
    /// Records a turn that was acknowledged as durable at `now`.
    pub(crate) fn acknowledge(&mut self, now: Duration, turn: TurnRecord) {
        let retention = Duration::from_millis(turn.retention_ms);
        self.retained_until.insert(turn.key(), now + retention);
        self.acknowledged.insert(turn.key(), turn);
    }

    /// Whether an acknowledged turn has to be readable with its whole chain at `now`.
    pub(crate) fn is_retained(&self, now: Duration, key: &TurnKey) -> bool {
        self.retained_until
            .get(key)
            .is_some_and(|until| now < *until)
    }

    /// Acknowledged turns that have to be readable at `now`.
    pub(crate) fn retained(&self, now: Duration) -> Vec<TurnKey> {
        let keys = self.acknowledged.keys();
        keys.filter(|key| self.is_retained(now, key))
            .cloned()
            .collect()
    }

    /// The chain that ends with this acknowledged turn, oldest first.
    pub(crate) fn chain(&self, newest: &TurnKey) -> Vec<Arc<Turn>> {
        let previous = |turn: &&TurnRecord| {
            let request_id = turn.previous.as_ref()?;
            self.acknowledged
                .get(&TurnKey::new(&turn.program, request_id))
        };
        let records = std::iter::successors(self.acknowledged.get(newest), previous);
        let mut chain: Vec<Arc<Turn>> = records
            .map(|record| Arc::new(record.clone().into_turn().expect("well-formed content")))
            .collect();
        chain.reverse();
        chain
    }

    pub(crate) fn attempt(&mut self, program: &str, id: u64, state: Attempt) {
        self.attempts
            .entry(program.to_owned())
            .or_default()
            .insert(id, state);
    }

    /// Checks a granted reservation: the sum of delivered and still deliverable tokens must fit the budget.
    pub(crate) fn granted(
        &mut self,
        program: &str,
        id: u64,
        max_tokens: u64,
        budget: u64,
    ) -> Result<(), Violation> {
        self.attempt(program, id, Attempt::Granted { max_tokens });
        let total: u64 = self.attempts[program]
            .values()
            .map(|attempt| attempt.delivered_tokens())
            .sum();
        if total > budget {
            return BudgetOverspentSnafu {
                program,
                total,
                budget,
            }
            .fail();
        }
        Ok(())
    }

    /// Checks a refused reservation: with all other attempts at their upper bounds, it must not fit the budget.
    pub(crate) fn refused(
        &self,
        program: &str,
        id: u64,
        (max_tokens, budget): (u64, u64),
        sent: Duration,
    ) -> Result<(), Violation> {
        let others = self.attempts[program]
            .iter()
            .filter(|(other, _)| **other != id);
        let total: u64 = others
            .map(|(_, attempt)| attempt.max_counted_tokens(sent))
            .sum();
        if total + max_tokens <= budget {
            return WrongRefusalSnafu {
                program,
                total,
                max_tokens,
                budget,
            }
            .fail();
        }
        Ok(())
    }

    /// Checks a chain that was read: it must consist of the acknowledged turn `newest` and all its ancestors.
    pub(crate) fn read(&self, newest: &TurnKey, chain: &[TurnRecord]) -> Result<(), Violation> {
        let mut next = Some(newest.clone());
        for turn in chain {
            let Some(key) = next else {
                return ChainTooLongSnafu {
                    newest: newest.clone(),
                }
                .fail();
            };
            if self.acknowledged.get(&key) != Some(turn) {
                let known = self.acknowledged.get(&key).cloned();
                return ChangedTurnSnafu {
                    key,
                    turn: Box::new(turn.clone()),
                    known: Box::new(known),
                }
                .fail();
            }
            let program = key.program;
            next = turn.previous.clone().map(|request_id| TurnKey {
                program,
                request_id,
            });
        }
        next.map_or(Ok(()), |missing| {
            TruncatedChainSnafu {
                newest: newest.clone(),
                missing,
            }
            .fail()
        })
    }
}
