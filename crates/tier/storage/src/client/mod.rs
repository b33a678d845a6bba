//! Client of the storage machines, for edges: reserves tokens before a turn, stores the turn and settles its
//! reservation after it, and reads the chain that a turn continues.

mod chain;
mod delivery;
mod exchange;
mod reservation;
mod write;

use std::sync::Arc;
use std::time::{Duration, Instant};

use oorandom::Rand64;
use parking_lot::Mutex;
use snafu::Snafu;
use tokio::sync::watch;
use woadreach_rpc::Client;

use crate::cache::TurnCache;
use crate::grant::ReservationOutcome;
use crate::message::{Operation, Settlement};
use crate::random::random_number;
use crate::turn::{Turn, TurnKey, TurnRecord};
use crate::view::StorageView;

use self::delivery::MissedWritesByDisk;
pub use self::reservation::ReservationGuard;

/// Upper bound of the turn cache, in bytes.
const CACHE_BYTES: usize = 16 << 20;
/// Timeout of a reservation, for both rounds together.
const RESERVE_TIMEOUT: Duration = Duration::from_millis(600);
/// Timeout for a turn to become durable.
const PUT_TIMEOUT: Duration = Duration::from_secs(2);
/// Time for which a refusal is delayed to let the withdrawal of its reservation finish.
const WITHDRAW_TIMEOUT: Duration = Duration::from_millis(200);

/// A request to reserve the tokens of a turn.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReserveRequest {
    /// Program to which the turn belongs.
    pub program: String,
    /// `Request-Id` of the turn.
    pub request_id: String,
    /// Total number of tokens that the program's turns may generate.
    pub budget: u64,
    /// Upper bound of the number of tokens that this turn generates.
    pub max_tokens: u64,
}

/// Reason why no tokens were reserved.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
#[snafu(module)]
pub enum ReserveError {
    /// The turn exceeds the remaining budget. No tokens remain reserved for it.
    #[snafu(display("the budget is spent"))]
    Spent,
    /// No quorum of storage machines has answered in time.
    #[snafu(display("no quorum of storage machines in reach"))]
    Unavailable,
}

/// No quorum of storage machines has answered in time; the turn may or may not become durable.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
#[snafu(display("no quorum of storage machines in reach"))]
pub struct Unavailable;

/// Reason why a chain cannot be read.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
#[snafu(module)]
pub enum ChainError {
    /// Every machine has answered that it does not store the turn.
    #[snafu(display("no such turn"))]
    NotFound,
    /// Not all machines that may store the turn were reachable.
    #[snafu(display("not all machines that may hold the turn are in reach"))]
    Unavailable,
}

/// Reads and writes turns and budgets on the storage machines. Clones share all state.
#[derive(Clone)]
pub struct StorageClient {
    shared: Arc<Shared>,
}

struct Shared {
    rpc: Client,
    /// Zone of this process, whose machines are read from first.
    zone: String,
    /// Number of machines whose simultaneous failure is tolerated.
    tolerated_losses: usize,
    /// Reference point of the times in the cache.
    started: Instant,
    /// The newest view that this client has received; its epoch never decreases.
    view: watch::Sender<Arc<StorageView>>,
    cache: Mutex<TurnCache>,
    /// Generator of the reservations' identifiers.
    random: Mutex<Rand64>,
    missed_writes: Mutex<MissedWritesByDisk>,
}

impl StorageClient {
    /// A client without a view. It reads from machines of `own_zone` first; up to `tolerated_losses` machines may fail
    /// at once.
    #[must_use]
    pub fn new(rpc: Client, own_zone: String, tolerated_losses: usize) -> StorageClient {
        let (view, _) = watch::channel(Arc::new(StorageView::default()));
        let seed = u128::from(random_number(&own_zone)) << 64 | u128::from(random_number("client"));
        let shared = Shared {
            rpc,
            zone: own_zone,
            tolerated_losses,
            started: Instant::now(),
            view,
            cache: Mutex::new(TurnCache::new(CACHE_BYTES)),
            random: Mutex::new(Rand64::new(seed)),
            missed_writes: Mutex::default(),
        };
        StorageClient {
            shared: Arc::new(shared),
        }
    }

    /// Sets the view unless the client has a newer one.
    pub fn set_view(&self, view: Arc<StorageView>) {
        self.shared.view.send_if_modified(|known| {
            let newer = view.epoch > known.epoch;
            if newer {
                *known = view;
            }
            newer
        });
    }

    /// The newest view that this client has received.
    #[must_use]
    pub fn view(&self) -> Arc<StorageView> {
        self.shared.view.borrow().clone()
    }

    /// Reserves the tokens of a turn durably, before the request is forwarded. Dropping the future withdraws the
    /// reservation.
    ///
    /// # Errors
    /// See [`ReserveError`].
    pub async fn reserve(
        &self,
        request: &ReserveRequest,
    ) -> Result<ReservationGuard, ReserveError> {
        let program = &request.program;
        let id = self.shared.random.lock().rand_u64();
        let mut reservation = ReservationGuard::new(self.clone(), program.clone(), id);
        if self.write_reservation(id, request).await? == ReservationOutcome::Granted {
            reservation.start_renewal(request.max_tokens);
            return Ok(reservation);
        }
        let withdrawal = settle_operation(program.clone(), reservation.settlement());
        if self
            .write(program, withdrawal, WITHDRAW_TIMEOUT)
            .await
            .is_ok()
        {
            reservation.set_settled();
        }
        Err(ReserveError::Spent)
    }

    /// Stores a turn with the whole chain of `ancestors` that it continues, oldest first, and settles its reservation.
    /// When this returns, a quorum has stored all of them, whatever has expired since the ancestors were read. They are
    /// sent to the machines that lack any of them, and to all if the last one belongs to another program.
    ///
    /// # Errors
    /// [`Unavailable`]. The caller must then not complete the answer to its client; the reservation is settled when its
    /// guard is dropped.
    pub async fn put_turn(
        &self,
        turn: Turn,
        ancestors: &[Arc<Turn>],
        reservation: Option<&mut ReservationGuard>,
    ) -> Result<(), Unavailable> {
        let program = turn.program.clone();
        let is_other = |last: &Arc<Turn>| last.program != program;
        let (copied, ancestors) = if ancestors.last().is_some_and(is_other) {
            (ancestors, Vec::new())
        } else {
            (&[][..], ancestors.to_vec())
        };
        let mut records: Vec<TurnRecord> =
            copied.iter().map(|turn| turn.to_record(&program)).collect();
        records.push(turn.to_record(&program));
        let settlement = reservation.as_ref().map(|guard| guard.settlement());
        let operation = Operation::PutTurns {
            program: program.clone(),
            turns: records.clone(),
            settlement,
        };
        self.write_after(&program, ancestors, operation, PUT_TIMEOUT)
            .await?;
        if let Some(guard) = reservation {
            guard.set_settled();
        }
        let now = self.now();
        let mut cache = self.shared.cache.lock();
        for stored in records.into_iter().filter_map(TurnRecord::into_turn) {
            cache.insert(now, Arc::new(stored));
        }
        Ok(())
    }

    /// The chain that a new turn continues, oldest first.
    ///
    /// # Errors
    /// See [`ChainError`].
    pub async fn chain(
        &self,
        program: &str,
        request_id: &str,
    ) -> Result<Vec<Arc<Turn>>, ChainError> {
        self.read_chain(TurnKey::new(program, request_id)).await
    }

    fn now(&self) -> Duration {
        self.shared.started.elapsed()
    }
}

fn settle_operation(program: String, settlement: Settlement) -> Operation {
    Operation::Settle {
        program,
        settlement,
    }
}
