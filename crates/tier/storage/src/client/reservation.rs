//! A turn's reservation in its program's budget, for the duration of the turn: the client returns it to the edge,
//! which records the number of tokens delivered.

use std::fmt::{Debug, Formatter};
use std::time::Duration;

use tokio::runtime::Handle;

use super::{StorageClient, settle_operation};
use crate::message::Settlement;

/// Timeout of one attempt to settle a reservation.
const SETTLE_ATTEMPT_TIMEOUT: Duration = Duration::from_secs(8);
/// Attempts before the reservation is left open, at its upper bound. Together they last longer than a partition or a
/// restart of the storage machines.
const MAX_SETTLE_ATTEMPTS: usize = 8;

/// Tokens of a program's budget that are reserved for a turn.
///
/// Dropping the guard settles the reservation in the background at the number of tokens delivered so far. So an
/// error, a client that disconnects or a cancelled future does not leave the turn's upper bound reserved.
#[must_use = "dropping a reservation settles it"]
pub struct ReservationGuard {
    client: StorageClient,
    program: String,
    /// [`Reservation::id`](crate::budget::Reservation::id).
    id: u64,
    delivered_tokens: u64,
    /// Whether a quorum has stored the settlement.
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

    /// Sets the number of tokens delivered to the client so far.
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

    /// Marks the reservation as settled by a quorum.
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
    /// Retries the settlement until a quorum has stored it or the attempts are exhausted.
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
