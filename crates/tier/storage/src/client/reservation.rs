//! A turn's reservation in its program's budget, for the duration of the turn: the client returns it to the edge,
//! which records the number of tokens delivered. It is renewed while the turn runs, since the machines drop a budget that
//! has not been used for some time.

use std::fmt::{Debug, Formatter};
use std::time::Duration;

use tokio::runtime::Handle;
use tokio::task::AbortHandle;
use tokio::time::{sleep, timeout};

use super::{
    RESERVE_TIMEOUT, ReserveError, ReserveRequest, StorageClient, Unavailable, settle_operation,
};
use crate::grant::{BudgetCheck, ReservationOutcome, ReservationRound};
use crate::message::{Operation, Settlement};
use crate::store::BUDGET_RETENTION;

/// Interval of the renewals of a reservation; two may fail.
const RENEWAL_INTERVAL: Duration = Duration::from_secs(BUDGET_RETENTION.as_secs() / 4);

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
    /// Task that renews the reservation, once it is granted.
    renewal: Option<AbortHandle>,
}

impl ReservationGuard {
    pub(super) fn new(client: StorageClient, program: String, id: u64) -> ReservationGuard {
        ReservationGuard {
            client,
            program,
            id,
            delivered_tokens: 0,
            settled: false,
            renewal: None,
        }
    }

    /// Renews the reservation of `max_tokens` until the guard is dropped.
    pub(super) fn start_renewal(&mut self, max_tokens: u64) {
        let (client, program) = (self.client.clone(), self.program.clone());
        let reservation = self.id;
        let renewal = async move { client.renew(&program, reservation, max_tokens).await };
        self.renewal = Some(tokio::spawn(renewal).abort_handle());
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
        if let Some(renewal) = self.renewal.take() {
            renewal.abort();
        }
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
    /// Writes a reservation until it is decided whether the turn may run; never returns [`ReservationOutcome::Repeat`].
    pub(super) async fn write_reservation(
        &self,
        reservation: u64,
        request: &ReserveRequest,
    ) -> Result<ReservationOutcome, ReserveError> {
        let rounds = self.write_reservation_rounds(reservation, request);
        match timeout(RESERVE_TIMEOUT, rounds).await {
            Ok(Ok(outcome)) => Ok(outcome),
            Ok(Err(Unavailable)) | Err(_) => Err(ReserveError::Unavailable),
        }
    }

    async fn write_reservation_rounds(
        &self,
        reservation: u64,
        request: &ReserveRequest,
    ) -> Result<ReservationOutcome, Unavailable> {
        let check = BudgetCheck {
            reservation,
            max_tokens: request.max_tokens,
            budget: request.budget,
        };
        let mut round = ReservationRound::First;
        loop {
            let operation = reserve_operation(&request.program, reservation, request.max_tokens);
            let write = self
                .write(&request.program, operation, RESERVE_TIMEOUT)
                .await?;
            match check.outcome(round, &write) {
                ReservationOutcome::Repeat => round = ReservationRound::Second,
                outcome => return Ok(outcome),
            }
        }
    }

    /// Writes an open reservation again and again, which renews the retention of the program's budget. The reservation
    /// stays the same: a settlement replaces it, whichever arrives first.
    async fn renew(&self, program: &str, reservation: u64, max_tokens: u64) {
        loop {
            sleep(RENEWAL_INTERVAL).await;
            let operation = reserve_operation(program, reservation, max_tokens);
            if self
                .write(program, operation, RESERVE_TIMEOUT)
                .await
                .is_err()
            {
                tracing::debug!(program, "reservation not renewed");
            }
        }
    }

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

fn reserve_operation(program: &str, reservation: u64, max_tokens: u64) -> Operation {
    Operation::Reserve {
        program: program.to_owned(),
        reservation,
        max_tokens,
    }
}
