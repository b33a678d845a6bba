//! Storage client and servers over loopback TCP, with journals in real files.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::mpsc::channel;
use std::task::Poll;
use std::thread::JoinHandle;
use std::time::Duration;

use bytes::Bytes;
use tempfile::TempDir;
use tokio::net::TcpListener;
use tokio::runtime::Builder;
use tokio::sync::oneshot;
use woadreach_rpc::{Client, ClientOptions, Router, serve};
use woadreach_storage::server::{Server, ServerOptions};
use woadreach_storage::{
    ChainError, ReservationGuard, ReserveError, ReserveRequest, StorageClient, StorageMember,
    StorageView, Turn, TurnKey, Unavailable,
};

const TOLERATED_LOSSES: usize = 1;

/// Storage machine with a separate thread and runtime, so that stopping it closes all its connections.
struct Machine {
    node: String,
    address: SocketAddr,
    folder: TempDir,
    server: Server,
    stop: oneshot::Sender<()>,
    thread: JoinHandle<()>,
}

fn start(node: &str, folder: TempDir, address: Option<SocketAddr>) -> Machine {
    let (started, start) = channel();
    let (stop, stopped) = oneshot::channel();
    let (name, path) = (node.to_owned(), folder.path().to_owned());
    let thread = std::thread::spawn(move || {
        let runtime = Builder::new_current_thread().enable_all().build().unwrap();
        runtime.block_on(async move {
            let any = "127.0.0.1:0".parse().unwrap();
            let listener = TcpListener::bind(address.unwrap_or(any)).await.unwrap();
            let address = listener.local_addr().unwrap();
            let options = ServerOptions {
                zone: format!("zone-of-{name}"),
                node: name,
                address,
                tolerated_losses: TOLERATED_LOSSES,
                disk_bytes: 50 << 20,
            };
            let rpc = Client::new(ClientOptions::default());
            let server = Server::open(&path, rpc, options).await.unwrap();
            let router = server.handlers(Router::new());
            started.send((address, server.clone())).unwrap();
            tokio::select! {
                () = serve(listener, router) => {}
                () = server.run_pulls() => {}
                _ = stopped => {}
            }
        });
    });
    let (address, server) = start.recv().unwrap();
    Machine {
        node: node.to_owned(),
        address,
        folder,
        server,
        stop,
        thread,
    }
}

impl Machine {
    fn member(&self) -> StorageMember {
        self.server.announcement().member
    }

    fn stop(self) -> StoppedMachine {
        drop(self.stop);
        self.thread.join().unwrap();
        StoppedMachine {
            node: self.node,
            address: self.address,
            folder: self.folder,
        }
    }
}

/// Name, address and disk of a stopped machine.
struct StoppedMachine {
    node: String,
    address: SocketAddr,
    folder: TempDir,
}

impl StoppedMachine {
    /// Restarts the machine with the same disk.
    fn restart(self) -> Machine {
        start(&self.node, self.folder, Some(self.address))
    }

    /// Restarts the machine with an empty disk.
    fn restart_wiped(self) -> Machine {
        start(&self.node, tempfile::tempdir().unwrap(), Some(self.address))
    }
}

fn machines(count: usize) -> (Vec<Machine>, StorageView) {
    let mut machines = Vec::new();
    for number in 0..count {
        machines.push(start(
            &format!("store-{number}"),
            tempfile::tempdir().unwrap(),
            None,
        ));
    }
    let current = machines.iter().map(Machine::member).collect();
    (
        machines,
        StorageView {
            epoch: 1,
            current,
            ..StorageView::default()
        },
    )
}

fn client(view: &StorageView) -> StorageClient {
    let client = StorageClient::new(
        Client::new(ClientOptions::default()),
        "zone-of-store-0".into(),
        TOLERATED_LOSSES,
    );
    client.set_view(Arc::new(view.clone()));
    client
}

fn turn(program: &str, request_id: &str, previous: Option<(&str, &str)>) -> Turn {
    Turn {
        program: program.into(),
        session: "session".into(),
        request_id: request_id.into(),
        previous: previous.map(|(program, request_id)| TurnKey {
            program: program.into(),
            request_id: request_id.into(),
        }),
        input: Bytes::from(format!("input of {request_id}")),
        events: vec![Bytes::from_static(b"one"), Bytes::from_static(b"two")],
        retention: Duration::from_secs(60),
    }
}

/// Stores a turn as an edge does, with the chain that it continues.
async fn store(client: &StorageClient, turn: Turn) {
    let ancestors = match &turn.previous {
        Some(previous) => client.chain(&turn.program, &previous.request_id).await,
        None => Ok(Vec::new()),
    };
    client
        .put_turn(turn, &ancestors.unwrap(), None)
        .await
        .unwrap();
}

fn request(program: &str, request_id: &str, budget: u64, max_tokens: u64) -> ReserveRequest {
    ReserveRequest {
        program: program.into(),
        request_id: request_id.into(),
        budget,
        max_tokens,
    }
}

#[tokio::test(flavor = "current_thread")]
async fn a_chain_is_read_by_another_client() {
    let (_machines, view) = machines(4);
    let writer = client(&view);
    store(&writer, turn("p", "a", None)).await;
    store(&writer, turn("p", "b", Some(("p", "a")))).await;
    let reader = client(&view);
    let chain = reader.chain("p", "b").await.unwrap();
    let inputs: Vec<_> = chain.iter().map(|turn| turn.input.clone()).collect();
    assert_eq!(
        inputs,
        [Bytes::from("input of a"), Bytes::from("input of b")]
    );
    assert_eq!(chain[0].events.len(), 2);
    assert_eq!(reader.chain("p", "c").await, Err(ChainError::NotFound));
}

#[tokio::test(flavor = "current_thread")]
async fn another_program_may_continue_a_turn() {
    let (_machines, view) = machines(4);
    let writer = client(&view);
    store(&writer, turn("p", "a", None)).await;
    let other = client(&view);
    let chain = other.chain("q", "a").await.unwrap();
    assert_eq!(chain[0].program, "p");
    store(&other, turn("q", "b", Some(("p", "a")))).await;
    let reader = client(&view);
    let chain = reader.chain("q", "b").await.unwrap();
    assert_eq!(chain.len(), 2);
    assert_eq!(chain[0].input, "input of a");
}

/// Guards against a turn that is stored alone while what it goes on from has expired, so that nothing goes on from it.
#[tokio::test(flavor = "current_thread")]
async fn a_turn_is_stored_with_its_chain_where_the_chain_has_expired() {
    let (_machines, view) = machines(4);
    let ancestors = [
        Arc::new(turn("p", "a", None)),
        Arc::new(turn("p", "b", Some(("p", "a")))),
    ];
    client(&view)
        .put_turn(turn("p", "c", Some(("p", "b"))), &ancestors, None)
        .await
        .unwrap();
    let chain = client(&view).chain("p", "c").await.unwrap();
    let names: Vec<_> = chain.iter().map(|turn| turn.request_id.as_str()).collect();
    assert_eq!(names, ["a", "b", "c"]);
}

#[tokio::test(flavor = "current_thread")]
async fn a_budget_is_spent_once_across_clients() {
    let (_machines, view) = machines(4);
    let (one, two) = (client(&view), client(&view));
    let mut first = one.reserve(&request("p", "a", 100, 60)).await.unwrap();
    assert_eq!(
        two.reserve(&request("p", "b", 100, 60)).await.unwrap_err(),
        ReserveError::Spent
    );
    first.set_delivered_tokens(30);
    one.put_turn(turn("p", "a", None), &[], Some(&mut first))
        .await
        .unwrap();
    let _second = two.reserve(&request("p", "c", 100, 60)).await.unwrap();
    assert_eq!(
        one.reserve(&request("p", "d", 100, 60)).await.unwrap_err(),
        ReserveError::Spent
    );
    let _third = one.reserve(&request("p", "e", 100, 10)).await.unwrap();
}

/// Retries a reservation until it is granted, that is, until other reservations of the program are settled.
async fn wait_until_granted(client: &StorageClient, request: &ReserveRequest) -> ReservationGuard {
    let granted = async {
        loop {
            match client.reserve(request).await {
                Ok(reservation) => return reservation,
                Err(_) => tokio::task::yield_now().await,
            }
        }
    };
    tokio::time::timeout(Duration::from_secs(20), granted)
        .await
        .expect("the reservation fits the budget once the others are settled")
}

#[tokio::test(flavor = "current_thread")]
async fn a_dropped_reservation_counts_the_tokens_delivered() {
    let (_machines, view) = machines(3);
    let (one, two) = (client(&view), client(&view));
    let mut reservation = one.reserve(&request("p", "a", 100, 60)).await.unwrap();
    reservation.set_delivered_tokens(30);
    assert_eq!(
        two.reserve(&request("p", "b", 100, 60)).await.unwrap_err(),
        ReserveError::Spent
    );
    drop(reservation);
    let _next = wait_until_granted(&two, &request("p", "c", 100, 70)).await;
    assert_eq!(
        two.reserve(&request("p", "d", 100, 1)).await.unwrap_err(),
        ReserveError::Spent
    );
}

#[tokio::test(flavor = "current_thread")]
async fn a_reservation_whose_future_is_cancelled_is_withdrawn() {
    let (_machines, view) = machines(3);
    let (one, two) = (client(&view), client(&view));
    let cancelled_reserve = async {
        let reserve_request = request("p", "a", 100, 60);
        let mut reserve = std::pin::pin!(one.reserve(&reserve_request));
        let polled =
            std::future::poll_fn(|context| Poll::Ready(reserve.as_mut().poll(context))).await;
        assert!(polled.is_pending(), "no machine has answered");
    };
    cancelled_reserve.await;
    let _next = wait_until_granted(&two, &request("p", "b", 100, 100)).await;
}

/// The machines are down for longer than the timeout of one attempt to settle.
#[tokio::test(flavor = "current_thread")]
async fn a_turn_that_could_not_be_stored_is_settled_after_the_machines_restart() {
    let (machines, view) = machines(3);
    let (one, two) = (client(&view), client(&view));
    let mut reservation = one.reserve(&request("p", "a", 100, 60)).await.unwrap();
    reservation.set_delivered_tokens(30);
    let stopped: Vec<_> = machines.into_iter().map(Machine::stop).collect();
    tokio::time::pause();
    assert_eq!(
        one.put_turn(turn("p", "a", None), &[], Some(&mut reservation))
            .await,
        Err(Unavailable)
    );
    drop(reservation);
    // The first attempt to settle starts and times out before the machines restart.
    tokio::time::advance(Duration::from_millis(1)).await;
    tokio::time::advance(Duration::from_secs(20)).await;
    tokio::time::resume();
    let _machines: Vec<Machine> = stopped.into_iter().map(StoppedMachine::restart).collect();
    let _next = wait_until_granted(&two, &request("p", "b", 100, 70)).await;
}

#[tokio::test(flavor = "current_thread")]
async fn turns_stay_readable_while_one_machine_is_down_and_after_it_restarts() {
    let (mut machines, view) = machines(3);
    let writer = client(&view);
    store(&writer, turn("p", "a", None)).await;
    let stopped = machines.remove(0).stop();
    store(&writer, turn("p", "b", Some(("p", "a")))).await;
    let restarted = stopped.restart();
    assert_eq!(restarted.member(), view.current[0]);
    machines.remove(0).stop();
    let reader = client(&view);
    assert_eq!(reader.chain("p", "b").await.unwrap().len(), 2);
}

#[tokio::test(flavor = "current_thread")]
async fn budgets_survive_a_restart_of_all_machines() {
    let (machines, view) = machines(3);
    let one = client(&view);
    let mut settled = one.reserve(&request("p", "a", 100, 60)).await.unwrap();
    settled.set_delivered_tokens(30);
    one.put_turn(turn("p", "a", None), &[], Some(&mut settled))
        .await
        .unwrap();
    let _unsettled = one.reserve(&request("p", "b", 100, 60)).await.unwrap();
    let stopped: Vec<_> = machines.into_iter().map(Machine::stop).collect();
    let _machines: Vec<Machine> = stopped.into_iter().map(StoppedMachine::restart).collect();
    let two = client(&view);
    assert_eq!(
        two.reserve(&request("p", "c", 100, 11)).await.unwrap_err(),
        ReserveError::Spent
    );
    let _fits = two.reserve(&request("p", "d", 100, 10)).await.unwrap();
    assert_eq!(two.chain("p", "a").await.unwrap().len(), 1);
}

#[tokio::test(flavor = "current_thread")]
async fn no_turn_is_reported_missing_while_a_machine_is_down_or_wiped() {
    let (mut machines, view) = machines(3);
    let reader = client(&view);
    assert_eq!(reader.chain("p", "never").await, Err(ChainError::NotFound));
    let stopped = machines.remove(0).stop();
    assert_eq!(
        reader.chain("p", "never").await,
        Err(ChainError::Unavailable)
    );
    let _wiped = stopped.restart_wiped();
    assert_eq!(
        reader.chain("p", "never").await,
        Err(ChainError::Unavailable)
    );
}

#[tokio::test(flavor = "current_thread")]
async fn a_wiped_machine_pulls_before_it_joins_quorums() {
    let (mut machines, view) = machines(3);
    let writer = client(&view);
    for number in 0..50 {
        store(&writer, turn(&format!("p{number}"), "a", None)).await;
    }
    let stopped = machines.remove(0).stop();
    let wiped = stopped.restart_wiped();
    assert_ne!(wiped.member().disk, view.current[0].disk);
    let mut joint = view.clone();
    joint.epoch = 2;
    joint.next = Some(vec![
        wiped.member(),
        view.current[1].clone(),
        view.current[2].clone(),
    ]);
    let mut pulled_epoch = wiped.server.announcement_changed();
    wiped.server.learn_view(joint.clone()).await;
    writer.set_view(Arc::new(joint.clone()));
    store(&writer, turn("p0", "b", Some(("p0", "a")))).await;
    pulled_epoch.wait_for(|epoch| *epoch == 2).await.unwrap();
    let after = StorageView {
        epoch: 3,
        current: joint.next.unwrap(),
        ..StorageView::default()
    };
    let only_wiped = StorageView {
        epoch: 3,
        current: vec![wiped.member()],
        ..StorageView::default()
    };
    wiped.server.learn_view(after).await;
    let reader = client(&only_wiped);
    for number in 1..50 {
        assert_eq!(
            reader
                .chain(&format!("p{number}"), "a")
                .await
                .unwrap()
                .len(),
            1
        );
    }
    assert_eq!(reader.chain("p0", "b").await.unwrap().len(), 2);
}
