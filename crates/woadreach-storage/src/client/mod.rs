//! Client of the storage machines, for proxies.

mod chain;
mod exchange;
mod peers;
mod write;

use std::collections::HashMap;
use std::collections::hash_map::RandomState;
use std::hash::{BuildHasher, Hasher};
use std::sync::Arc;
use std::time::{Duration, Instant};

use oorandom::Rand64;
use parking_lot::Mutex;
use snafu::Snafu;
use tokio::sync::watch;
use woadreach_rpc::Client;

use crate::cache::TurnCache;
use crate::message::{Operation, Settlement};
use crate::turn::{Turn, TurnKey, TurnRecord};
use crate::view::StorageView;

use self::peers::SilentPeers;

/// Memory for turns that were seen.
const CACHE_BYTES: usize = 16 << 20;
/// How long a reservation may take.
const RESERVE_WITHIN: Duration = Duration::from_millis(600);
/// How long a turn may take to become durable.
const PUT_WITHIN: Duration = Duration::from_secs(2);
/// How long a withdrawal is waited for before the refusal is told.
const WITHDRAW_WITHIN: Duration = Duration::from_millis(200);
/// How long the end of a turn is told to machines that do not answer.
const SETTLE_WITHIN: Duration = Duration::from_secs(8);

/// Tokens that a turn may generate.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReserveRequest {
    /// Program that takes the turn.
    pub program: String,
    /// `Request-Id` of the turn.
    pub request_id: String,
    /// Tokens that the program's turns may generate together.
    pub budget: u64,
    /// The most that this turn may generate.
    pub most: u64,
}

/// Why nothing was reserved.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
#[snafu(module)]
pub enum ReserveError {
    /// The turn does not fit into what is left of the budget. Nothing stays reserved for it.
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

/// Why a chain cannot be given.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
#[snafu(module)]
pub enum ChainError {
    /// Every machine that could hold the turn says that there is none.
    #[snafu(display("no such turn"))]
    NotFound,
    /// Not all machines that could hold it were in reach.
    #[snafu(display("not all machines that may hold the turn are in reach"))]
    Unavailable,
}

/// Reads and writes turns and budgets at the storage machines. Clones share everything.
#[derive(Clone)]
pub struct StorageClient {
    shared: Arc<Shared>,
}

struct Shared {
    rpc: Client,
    zone: String,
    tolerated: usize,
    started: Instant,
    view: watch::Sender<Arc<StorageView>>,
    cache: Mutex<TurnCache>,
    open: Mutex<HashMap<TurnKey, Vec<u64>>>,
    random: Mutex<Rand64>,
    silent: Mutex<SilentPeers>,
}

impl StorageClient {
    /// A client that knows no view yet. Machines of `own_zone` are read first; `tolerated` machines may be
    /// lost at once.
    #[must_use]
    pub fn new(rpc: Client, own_zone: String, tolerated: usize) -> StorageClient {
        let (view, _) = watch::channel(Arc::new(StorageView::default()));
        let seed = u128::from(random_number(&own_zone)) << 64 | u128::from(random_number("client"));
        let shared = Shared {
            rpc,
            zone: own_zone,
            tolerated,
            started: Instant::now(),
            view,
            cache: Mutex::new(TurnCache::new(CACHE_BYTES)),
            open: Mutex::default(),
            random: Mutex::new(Rand64::new(seed)),
            silent: Mutex::default(),
        };
        StorageClient { shared: Arc::new(shared) }
    }

    /// Takes a view unless a newer one is known.
    pub fn set_view(&self, view: Arc<StorageView>) {
        self.shared.view.send_if_modified(|known| {
            let newer = view.epoch > known.epoch;
            if newer {
                *known = view;
            }
            newer
        });
    }

    /// The newest view that is known.
    #[must_use]
    pub fn view(&self) -> Arc<StorageView> {
        self.shared.view.borrow().clone()
    }

    /// Reserves what a turn may generate, durably, before it is sent on.
    ///
    /// # Errors
    /// See [`ReserveError`].
    pub async fn reserve(&self, request: &ReserveRequest) -> Result<(), ReserveError> {
        let id = self.shared.random.lock().rand_u64();
        let operation =
            Operation::Reserve { program: request.program.clone(), reservation: id, most: request.most };
        let Ok(write) = self.write(&request.program, operation, RESERVE_WITHIN).await else {
            let withdrawal = settle_operation(request.program.clone(), id, 0);
            self.write_in_background(request.program.clone(), withdrawal, SETTLE_WITHIN);
            return Err(ReserveError::Unavailable);
        };
        if !write.reservation_fits(id, request.most, request.budget) {
            let withdrawal = settle_operation(request.program.clone(), id, 0);
            let _ = self.write(&request.program, withdrawal, WITHDRAW_WITHIN).await;
            return Err(ReserveError::Spent);
        }
        let key = TurnKey { program: request.program.clone(), request_id: request.request_id.clone() };
        self.shared.open.lock().entry(key).or_default().push(id);
        Ok(())
    }

    /// Tells the tokens that a reserved turn has given; in the background.
    pub fn settle(&self, program: &str, request_id: &str, given: u64) {
        let key = TurnKey { program: program.to_owned(), request_id: request_id.to_owned() };
        if let Some(id) = self.take_reservation(&key) {
            let operation = settle_operation(key.program.clone(), id, given);
            self.write_in_background(key.program, operation, SETTLE_WITHIN);
        }
    }

    /// Stores a turn and, with `given`, settles its reservation. When this returns, the turn is durable.
    ///
    /// # Errors
    /// [`Unavailable`]; the turn must then not be answered as whole.
    pub async fn put_turn(&self, turn: Turn, given: Option<u64>) -> Result<(), Unavailable> {
        let program = turn.program.clone();
        let mut records = self.adopted_ancestors(&turn).await?;
        records.push(turn.to_record(&program));
        let reservation = given.and_then(|tokens| Some((self.take_reservation(&turn.key())?, tokens)));
        let settlement = reservation.map(|(reservation, given)| Settlement { reservation, given });
        let operation = Operation::PutTurns { program: program.clone(), turns: records.clone(), settlement };
        if self.write(&program, operation, PUT_WITHIN).await.is_err() {
            // Nothing tells whether the settlement arrives: the caller may settle once more.
            if let Some(settlement) = settlement {
                self.shared.open.lock().entry(turn.key()).or_default().push(settlement.reservation);
            }
            return Err(Unavailable);
        }
        let now = self.now();
        let mut cache = self.shared.cache.lock();
        for stored in records.into_iter().filter_map(TurnRecord::into_turn) {
            cache.insert(now, Arc::new(stored));
        }
        Ok(())
    }

    /// The chain that a new turn goes on from, oldest first.
    ///
    /// # Errors
    /// See [`ChainError`].
    pub async fn chain(&self, program: &str, request_id: &str) -> Result<Vec<Arc<Turn>>, ChainError> {
        let key = TurnKey { program: program.to_owned(), request_id: request_id.to_owned() };
        self.read_chain(key).await
    }

    /// Turns of another program that `turn` goes on from, to be stored in its own program's group.
    async fn adopted_ancestors(&self, turn: &Turn) -> Result<Vec<TurnRecord>, Unavailable> {
        let Some(previous) = &turn.previous else { return Ok(Vec::new()) };
        let own = TurnKey { program: turn.program.clone(), request_id: previous.request_id.clone() };
        if !self.shared.cache.lock().chain(&own).is_empty() {
            return Ok(Vec::new());
        }
        let chain = self.read_chain(previous.clone()).await.map_err(|_| Unavailable)?;
        let others = chain.iter().filter(|ancestor| ancestor.program != turn.program);
        Ok(others.map(|ancestor| ancestor.to_record(&turn.program)).collect())
    }

    fn take_reservation(&self, key: &TurnKey) -> Option<u64> {
        let mut open = self.shared.open.lock();
        let ids = open.get_mut(key)?;
        let id = ids.pop();
        if ids.is_empty() {
            open.remove(key);
        }
        id
    }

    fn now(&self) -> Duration {
        self.shared.started.elapsed()
    }
}

fn settle_operation(program: String, reservation: u64, given: u64) -> Operation {
    Operation::Settle { program, settlement: Settlement { reservation, given } }
}

/// A number that no other process draws, from the standard library's source of randomness and `salt`.
#[must_use]
pub fn random_number(salt: &str) -> u64 {
    let mut hasher = RandomState::new().build_hasher();
    hasher.write(salt.as_bytes());
    let since_epoch = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    hasher.write_u128(since_epoch.map_or(0, |time| time.as_nanos()));
    hasher.write_u32(std::process::id());
    hasher.finish()
}
