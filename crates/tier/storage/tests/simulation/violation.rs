//! Violations of the storage tier's guarantees.

use snafu::Snafu;
use woadreach_storage::TurnKey;
use woadreach_storage::turn::TurnRecord;

/// Violation of a guarantee of the storage tier, found in a simulation run.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub(crate) enum Violation {
    #[snafu(display("budget of {program} overspent: {total} of {budget}"))]
    BudgetOverspent {
        program: String,
        total: u64,
        budget: u64,
    },
    #[snafu(display("turn of {program} refused though {total} + {max_tokens} fit {budget}"))]
    WrongRefusal {
        program: String,
        total: u64,
        max_tokens: u64,
        budget: u64,
    },
    #[snafu(display("chain of {newest:?} is too long"))]
    ChainTooLong { newest: TurnKey },
    #[snafu(display("turn {key:?} is {turn:?}, not {known:?} as acknowledged"))]
    ChangedTurn {
        key: TurnKey,
        turn: Box<TurnRecord>,
        known: Box<Option<TurnRecord>>,
    },
    #[snafu(display("chain of {newest:?} ends before {missing:?}"))]
    TruncatedChain { newest: TurnKey, missing: TurnKey },
    #[snafu(display("acknowledged turn {key:?} is said not to exist"))]
    DeniedTurn { key: TurnKey },
    #[snafu(display("acknowledged turn {key:?} is out of reach though all is well"))]
    UnavailableTurn { key: TurnKey },
    #[snafu(display("turn {key:?} has only {replicas} replicas"))]
    TooFewReplicas { key: TurnKey, replicas: usize },
    #[snafu(display("joint epoch does not end: {state}"))]
    EndlessJointEpoch { state: String },
}
