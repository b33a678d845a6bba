//! A turn's reservation in its program's budget, for as long as the turn runs.

use std::fmt::{Debug, Formatter};
use std::time::Duration;

use tokio::runtime::Handle;

use super::{StorageClient, settle_operation};
use crate::message::Settlement;

/// How long one round of telling the end of a turn takes at most.
const SETTLE_ROUND: Duration = Duration::from_secs(8);
/// Rounds before the reservation is left at its most: longer than a cut or a restart of the storage machines
/// lasts.
const SETTLE_ROUNDS: usize = 8;

/// Tokens that a turn holds of its program's budget.
///
/// Dropping it settles it in the background at what has been given until then, so no way out of a turn (an
/// error, a client that leaves, a future that is cancelled) leaves the most of the turn reserved.
#[must_use = "dropping a reservation settles it"]
pub struct HeldReservation {
    client: StorageClient,
    program: String,
    id: u64,
    given: u64,
    settled: bool,
}

impl HeldReservation {
    pub(super) fn new(client: StorageClient, program: String, id: u64) -> HeldReservation {
        HeldReservation {
            client,
            program,
            id,
            given: 0,
            settled: false,
        }
    }

    /// Notes the tokens that the turn has given so far.
    pub fn set_given(&mut self, given: u64) {
        self.given = given;
    }

    /// The end of the turn, if it ended now.
    pub(super) fn settlement(&self) -> Settlement {
        Settlement {
            reservation: self.id,
            given: self.given,
        }
    }

    /// A quorum knows the settlement.
    pub(super) fn set_settled(&mut self) {
        self.settled = true;
    }
}

impl Debug for HeldReservation {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> std::fmt::Result {
        let HeldReservation {
            program,
            id,
            given,
            settled,
            ..
        } = self;
        write!(
            formatter,
            "reservation {id} of {program}: given {given}, settled {settled}"
        )
    }
}

impl Drop for HeldReservation {
    fn drop(&mut self) {
        if self.settled {
            return;
        }
        if let Ok(runtime) = Handle::try_current() {
            let (client, settlement) = (self.client.clone(), self.settlement());
            let program = std::mem::take(&mut self.program);
            runtime.spawn(async move { client.settle(&program, settlement).await });
        }
    }
}

impl StorageClient {
    /// Tells the end of a turn until a quorum knows it.
    async fn settle(&self, program: &str, settlement: Settlement) {
        for _ in 0..SETTLE_ROUNDS {
            let operation = settle_operation(program.to_owned(), settlement);
            if self.write(program, operation, SETTLE_ROUND).await.is_ok() {
                return;
            }
        }
        tracing::warn!(
            program,
            given = settlement.given,
            "the end of a turn could not be told"
        );
    }
}
