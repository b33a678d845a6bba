//! A turn's reservation in its program's budget, for as long as the turn runs: the client hands it to the edge, which
//! counts the tokens delivered.

use std::fmt::{Debug, Formatter};
use std::time::Duration;

use tokio::runtime::Handle;

use super::{StorageClient, settle_operation};
use crate::message::Settlement;

/// How long one attempt to settle a reservation takes at most.
const SETTLE_ATTEMPT_TIMEOUT: Duration = Duration::from_secs(8);
/// Attempts before the reservation is left open, at its upper bound: longer than a partition or a restart of the
/// storage machines lasts.
const MAX_SETTLE_ATTEMPTS: usize = 8;

/// Tokens of a program's budget that are reserved for a turn.
///
/// Dropping the guard settles the reservation in the background at the tokens delivered until then. So no end of a turn
/// (an error, a client that disconnects, a cancelled future) leaves its upper bound reserved.
#[must_use = "dropping a reservation settles it"]
pub struct ReservationGuard {
    client: StorageClient,
    program: String,
    /// [`Reservation::id`](crate::budget::Reservation::id).
    id: u64,
    delivered_tokens: u64,
    /// Whether a quorum has the settlement.
    settled: bool,
}

impl ReservationGuard {
    pub(super) fn new(client: StorageClient, program: String, id: u64) -> ReservationGuard {
        ReservationGuard {
            client,
            program,
            id,
            delivered_tokens: 0,
            settled: false,
        }
    }

    /// Sets the tokens that were delivered to the client so far.
    pub fn set_delivered_tokens(&mut self, delivered_tokens: u64) {
        self.delivered_tokens = delivered_tokens;
    }

    /// The settlement, if the turn ended now.
    pub(super) fn settlement(&self) -> Settlement {
        Settlement {
            reservation: self.id,
            delivered_tokens: self.delivered_tokens,
        }
    }

    /// Marks the reservation as settled at a quorum.
    pub(super) fn set_settled(&mut self) {
        self.settled = true;
    }
}

impl Debug for ReservationGuard {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> std::fmt::Result {
        let ReservationGuard {
            program,
            id,
            delivered_tokens,
            settled,
            ..
        } = self;
        write!(
            formatter,
            "reservation {id} of {program}: {delivered_tokens} tokens delivered, settled {settled}"
        )
    }
}

impl Drop for ReservationGuard {
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
    /// Retries the settlement until a quorum has it.
    async fn settle(&self, program: &str, settlement: Settlement) {
        for _ in 0..MAX_SETTLE_ATTEMPTS {
            let operation = settle_operation(program.to_owned(), settlement);
            if self
                .write(program, operation, SETTLE_ATTEMPT_TIMEOUT)
                .await
                .is_ok()
            {
                return;
            }
        }
        tracing::warn!(
            program,
            delivered_tokens = settlement.delivered_tokens,
            "settlement abandoned"
        );
    }
}
