//! Three core machines with real drivers, journals and connections on loopback: orders that race at several
//! machines at once, copies of each at two machines, and a head that ends with orders in hand. The mutated
//! fault is a core whose machines don't know of each other.

use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::path::{Path, PathBuf};
use std::sync::{Arc, mpsc};
use std::thread::JoinHandle;
use std::time::Duration;

use axum::Router as Api;
use axum::body::Body;
use axum::http::{Request, StatusCode};
use serde_json::json;
use tokio::net::TcpListener;
use tokio::runtime::{Builder, Handle, Runtime};
use tokio::sync::oneshot;
use tokio::task::JoinSet;
use tower::ServiceExt;
use woadreach_chain::{FailureDomain, MemberOptions, Tolerance};
use woadreach_control::durable_log::{RecoveredMember, encode_snapshot, recover};
use woadreach_control::member_driver::{MemberDriver, new_durable};
use woadreach_control::operator;
use woadreach_control::order::OrderService;
use woadreach_journal::{Journal, JournalOptions};
use woadreach_rpc::{Client, ClientOptions, Router, ServiceId, serve};

const MACHINES: usize = 3;
/// Rounds in which orders race; the head ends in every third.
const ROUNDS: u64 = 9;
/// Changes that race in a round, each at two machines.
const CHANGES: u64 = 4;
/// An order, or a start, that takes longer has failed.
const PATIENCE: Duration = Duration::from_secs(20);

/// A process of a core machine: one thread with a runtime, with which everything in it ends.
struct Machine {
    thread: JoinHandle<()>,
    stop: oneshot::Sender<()>,
    handle: Handle,
    api: Api,
    driver: Arc<MemberDriver>,
}

/// The machines of a core, each with its folder and address.
struct Core {
    folder: PathBuf,
    addresses: Vec<SocketAddrV4>,
    /// Each machine is a core of its own.
    is_split: bool,
    machines: Vec<Option<Machine>>,
}

impl Core {
    fn start(folder: &Path, is_split: bool) -> Core {
        let addresses = free_addresses();
        let machines = (0..MACHINES).map(|_| None).collect();
        let mut core = Core {
            folder: folder.to_owned(),
            addresses,
            is_split,
            machines,
        };
        for index in 0..MACHINES {
            core.start_machine(index);
        }
        core
    }

    fn start_machine(&mut self, index: usize) {
        let folder = self.folder.join(index.to_string());
        let options = MemberOptions {
            address: self.addresses[index],
            seeds: if self.is_split {
                vec![self.addresses[index]]
            } else {
                self.addresses.clone()
            },
            tolerance: Tolerance {
                machines: usize::from(!self.is_split),
                ..Tolerance::default()
            },
            failure_domain: FailureDomain::default(),
            random_seed: index as u64,
        };
        let (stop, stopped) = oneshot::channel();
        let (started, process) = mpsc::channel();
        let thread = std::thread::spawn(move || {
            runtime().block_on(async move {
                let (api, driver) = start_process(&folder, options).await;
                started
                    .send((Handle::current(), api, driver))
                    .expect("the test waits");
                // Either the test says stop, or it has ended.
                let _ = stopped.await;
            });
        });
        let (handle, api, driver) = process.recv().expect("a process that started");
        self.machines[index] = Some(Machine {
            thread,
            stop,
            handle,
            api,
            driver,
        });
    }

    /// Ends a machine's process with everything that it has in hand.
    fn end_machine(&mut self, index: usize) {
        if let Some(machine) = self.machines[index].take() {
            drop((machine.stop, machine.api, machine.driver));
            machine.thread.join().expect("no panic");
        }
    }

    fn running(&self) -> impl Iterator<Item = (usize, &Machine)> {
        let machines = self.machines.iter().enumerate();
        machines.filter_map(|(index, machine)| machine.as_ref().map(|machine| (index, machine)))
    }

    fn head(&self) -> Option<usize> {
        self.running()
            .find(|(_, machine)| machine.driver.status().is_head)
            .map(|(index, _)| index)
    }

    /// Waits until every running machine is in the chain and one of them is the head.
    fn wait_until_whole(&self, operators: &Runtime) {
        for (_, machine) in self.running() {
            let driver = Arc::clone(&machine.driver);
            let whole = async move {
                let mut changes = driver.changes();
                while !driver.status().in_chain || driver.status().head.is_none() {
                    changes.changed().await.expect("the driver runs");
                }
            };
            let waited = operators.block_on(async { tokio::time::timeout(PATIENCE, whole).await });
            waited.expect("a whole chain");
        }
    }
}

impl Drop for Core {
    fn drop(&mut self) {
        for index in 0..MACHINES {
            self.end_machine(index);
        }
    }
}

fn runtime() -> Runtime {
    Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime")
}

fn free_addresses() -> Vec<SocketAddrV4> {
    let listeners: Vec<std::net::TcpListener> = (0..MACHINES)
        .map(|_| std::net::TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a port"))
        .collect();
    let port = |listener: &std::net::TcpListener| listener.local_addr().expect("bound").port();
    listeners
        .iter()
        .map(|listener| SocketAddrV4::new(Ipv4Addr::LOCALHOST, port(listener)))
        .collect()
}

/// Starts a member on the folder's disk and serves the other members.
async fn start_process(folder: &Path, options: MemberOptions) -> (Api, Arc<MemberDriver>) {
    let (journal, found) = Journal::open(folder, JournalOptions::default()).expect("a journal");
    let recovered = match &found.snapshot {
        Some(snapshot) => recover(snapshot, &found.records).expect("own records"),
        None => {
            let durable = new_durable(true, &options, options.random_seed + 7);
            let _receipt = journal
                .replace(encode_snapshot(0, &durable))
                .await
                .expect("a sync");
            RecoveredMember { durable, number: 0 }
        }
    };
    let address = SocketAddr::V4(options.address);
    let listener = TcpListener::bind(address)
        .await
        .expect("the machine's port");
    let rpc = Client::new(ClientOptions::default());
    let driver = MemberDriver::start(options, recovered, journal, rpc.clone());
    let orders = Arc::new(OrderService::new(Arc::clone(&driver), rpc, address, 1));
    let (chain, forwarded) = (Arc::clone(&driver), Arc::clone(&orders));
    let services = Router::new()
        .route_checked(ServiceId::CHAIN, move |_peer, body| {
            let received = chain.receive(&body);
            async { received.map(|()| Vec::new()) }
        })
        .route_checked(ServiceId::FORWARD, move |_peer, body| {
            let orders = Arc::clone(&forwarded);
            async move { orders.take_forwarded(body).await }
        });
    tokio::spawn(serve(listener, services));
    (operator::router(orders), driver)
}

fn configuration(generation: u64, number: u64) -> String {
    json!({
        "generation": generation,
        "routes": [{
            "name": "r", "domain": "a.example", "path_prefix": "/x/", "route_type": "safe",
            "timeout_ms": 1000 + number, "service": "s"
        }],
        "services": [{ "name": "s" }]
    })
    .to_string()
}

/// Sends an order to one machine; nothing if the machine ends before it answers.
async fn put(machine: (Handle, Api), base: u64, body: String) -> Option<StatusCode> {
    let request = Request::put("/config")
        .header("If-Match", base.to_string())
        .body(Body::from(body));
    let (handle, api) = machine;
    let call = handle.spawn(api.oneshot(request.expect("a request")));
    call.await
        .ok()
        .map(|response| response.expect("an answer").status())
}

fn target(core: &Core, index: usize) -> Option<(Handle, Api)> {
    core.machines[index]
        .as_ref()
        .map(|machine| (machine.handle.clone(), machine.api.clone()))
}

/// Sends the order again, to one running machine after the other, until the answer is clear.
async fn insist(core: &Core, base: u64, body: &str) -> StatusCode {
    let clear = async {
        loop {
            for index in 0..MACHINES {
                let Some(machine) = target(core, index) else {
                    continue;
                };
                match put(machine, base, body.to_owned()).await {
                    None | Some(StatusCode::SERVICE_UNAVAILABLE) => {}
                    Some(status) => return status,
                }
            }
        }
    };
    tokio::time::timeout(PATIENCE, clear)
        .await
        .expect("a clear answer")
}

/// What each copy of a change was answered, by the change's number.
type Answers = JoinSet<(u64, Option<StatusCode>)>;

fn race(core: &Core, operators: &Runtime, round: u64, base: u64, generation: u64) -> Answers {
    let mut answers = JoinSet::new();
    for number in 0..CHANGES {
        for copy in 0..2 {
            let index = (round + number + copy) as usize % MACHINES;
            let machine = target(core, index).expect("it runs");
            let body = configuration(generation, number);
            let call = async move { (number, put(machine, base, body).await) };
            answers.spawn_on(call, operators.handle());
        }
    }
    answers
}

/// Plays all rounds; what was found if more or less than one change won, or one was answered in two ways.
fn play(is_split: bool) -> Result<(), String> {
    let folder = tempfile::tempdir().expect("a folder");
    let mut core = Core::start(folder.path(), is_split);
    let operators = runtime();
    core.wait_until_whole(&operators);
    let mut taken: Vec<(u64, String)> = Vec::new();
    for round in 1..=ROUNDS {
        let (base, generation) = (3 * (round - 1), 3 * round);
        let mut answers = race(&core, &operators, round, base, generation);
        let mut told: Vec<(u64, Option<StatusCode>)> = Vec::new();
        let ended = (round % 3 == 0).then(|| core.head()).flatten();
        if let Some(head) = ended {
            // Some orders are answered, others are in hand.
            told.extend(
                operators
                    .block_on(answers.join_next())
                    .map(|answer| answer.expect("no panic")),
            );
            core.end_machine(head);
        }
        told.extend(operators.block_on(answers.join_all()));
        for number in 0..CHANGES {
            let body = configuration(generation, number);
            told.push((number, Some(operators.block_on(insist(&core, base, &body)))));
        }
        let winner = find_winner(round, &told)?;
        taken.push((base, configuration(generation, winner)));
        for (base, body) in &taken {
            let status = operators.block_on(insist(&core, *base, body));
            if status != StatusCode::OK {
                return Err(format!("round {round}: {status} for {body}, sent again"));
            }
        }
        if let Some(head) = ended {
            core.start_machine(head);
            core.wait_until_whole(&operators);
        }
    }
    Ok(())
}

/// The one change that is acknowledged whoever asks; each other one is refused whoever asks.
fn find_winner(round: u64, told: &[(u64, Option<StatusCode>)]) -> Result<u64, String> {
    let mut winners: Vec<u64> = Vec::new();
    for number in 0..CHANGES {
        let clear: Vec<StatusCode> = told
            .iter()
            .filter(|(other, _)| *other == number)
            .filter_map(|(_, status)| {
                status.filter(|status| *status != StatusCode::SERVICE_UNAVAILABLE)
            })
            .collect();
        let is_one = clear.iter().all(|status| *status == clear[0]);
        match clear[0] {
            StatusCode::OK if is_one => winners.push(number),
            StatusCode::PRECONDITION_FAILED if is_one => {}
            _ => return Err(format!("round {round}, change {number}: {clear:?}")),
        }
    }
    match winners[..] {
        [winner] => Ok(winner),
        _ => Err(format!("round {round}: {told:?}")),
    }
}

#[test]
fn of_racing_orders_one_wins_at_all_machines_and_through_the_loss_of_a_head() {
    assert_eq!(play(false), Ok(()));
}

#[test]
fn machines_that_are_cores_of_their_own_are_found() {
    let found = play(true).expect_err("several winners");
    println!("{found}");
}
