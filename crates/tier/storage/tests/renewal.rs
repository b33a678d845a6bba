//! The reservation of a turn that runs for longer than the machines retain an unused budget. Guards against a budget that is
//! spent twice: the machines dropped it 300 s after the reservation while the turn still ran, and granted the same tokens
//! to another turn of the program.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use parking_lot::Mutex;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::time::{Instant, advance, pause, resume, sleep, timeout};
use woadreach_journal::{Engine, SimulatedDisk, Synced};
use woadreach_rpc::{Client, ClientOptions, Router, ServiceId, serve};
use woadreach_storage::message::{MessageError, Operation, Request, decode, encode};
use woadreach_storage::node::{Step, StorageNode};
use woadreach_storage::{
    ReservationGuard, ReserveError, ReserveRequest, StorageClient, StorageMember, StorageView,
};

const DISK: u64 = 7;
const BUDGET: u64 = 100;
const MAX_TOKENS: u64 = 60;
/// Longer than the interval of the renewals, and a third of what the machines retain an unused budget for.
const STEP: Duration = Duration::from_secs(90);
/// Renewals of the turn, which add up to more than the retention of an unused budget.
const RENEWALS: usize = 8;
/// Real time in which a task that has been answered goes on to wait.
const SETTLE: Duration = Duration::from_millis(20);
/// Real time in which a renewal that is due arrives.
const ARRIVAL: Duration = Duration::from_secs(2);

/// A storage machine on the clock of the test, which counts the reservations that it gets.
struct Machine {
    started: Instant,
    node: Mutex<StorageNode>,
    reserves: watch::Sender<usize>,
}

fn receipt() -> Synced {
    let (mut engine, _) =
        Engine::open(Box::new(SimulatedDisk::default()), 1 << 20).expect("an empty disk");
    engine.append_batch(&[Vec::new()]).expect("a healthy disk")
}

impl Machine {
    fn answer(&self, body: &Bytes) -> Result<Vec<u8>, MessageError> {
        let request: Request = decode(body)?;
        let is_reserve = matches!(request.operation, Operation::Reserve { .. });
        let mut node = self.node.lock();
        let now = self.started.elapsed();
        node.expire(now);
        let response = match node.handle(now, request) {
            Step::Reply(response) => response,
            Step::Persist { pending, .. } | Step::PersistSnapshot { pending, .. } => {
                node.complete(pending, &receipt())
            }
        };
        self.reserves
            .send_modify(|count| *count += usize::from(is_reserve));
        Ok(encode(&response))
    }

    /// Advances the clock until a renewal has arrived; twice if its task did not wait yet the first time.
    async fn advance_to_renewal(&self) {
        let mut reserves = self.reserves.subscribe();
        let before = *reserves.borrow_and_update();
        for _ in 0..2 {
            sleep(SETTLE).await;
            pause();
            advance(STEP).await;
            resume();
            let renewed = reserves.wait_for(|count| *count > before);
            if timeout(ARRIVAL, renewed).await.is_ok() {
                return;
            }
        }
    }
}

async fn start() -> (Arc<Machine>, StorageView) {
    let address = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    let listener = TcpListener::bind(address).await.expect("a free port");
    let member = StorageMember {
        node: "store".to_owned(),
        disk: DISK,
        address: listener.local_addr().expect("an address"),
        zone: "zone".to_owned(),
    };
    let machine = Arc::new(Machine {
        started: Instant::now(),
        node: Mutex::new(StorageNode::create("store".to_owned(), DISK, 0).0),
        reserves: watch::Sender::new(0),
    });
    let serving = machine.clone();
    let router = Router::new().route_checked(ServiceId::STORAGE, move |_, body: Bytes| {
        let answer = serving.answer(&body);
        async move { answer }
    });
    tokio::spawn(serve(listener, router));
    let view = StorageView {
        epoch: 1,
        current: vec![member],
        ..StorageView::default()
    };
    (machine, view)
}

fn client(view: &StorageView) -> StorageClient {
    let client = StorageClient::new(Client::new(ClientOptions::default()), "zone".into(), 0);
    client.set_view(Arc::new(view.clone()));
    client
}

async fn reserve(client: &StorageClient, turn: &str) -> Result<ReservationGuard, ReserveError> {
    let request = ReserveRequest {
        program: "program".to_owned(),
        request_id: turn.to_owned(),
        budget: BUDGET,
        max_tokens: MAX_TOKENS,
    };
    client.reserve(&request).await
}

#[tokio::test(flavor = "current_thread")]
async fn a_budget_is_retained_as_long_as_a_turn_runs() {
    let (machine, view) = start().await;
    let client = client(&view);
    let running = reserve(&client, "long").await.expect("an unused budget");
    for _ in 0..RENEWALS {
        machine.advance_to_renewal().await;
    }
    assert_eq!(
        reserve(&client, "other").await.expect_err("it is reserved"),
        ReserveError::Spent
    );
    assert!(*machine.reserves.borrow() >= RENEWALS + 2);
    drop(running);
}
