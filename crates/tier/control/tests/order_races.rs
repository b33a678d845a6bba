//! Concurrent orders on three core machines with real drivers, journals and loopback connections. Two copies of each
//! order are sent to different machines, and in some rounds the head stops with orders in flight. Guards against two
//! committed changes on one base, and against contradicting answers to copies of one order. As a negative control,
//! the check must fail for three machines that are independent cores of one machine each.

mod support;

use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::path::{Path, PathBuf};
use std::sync::{Arc, mpsc};
use std::thread::JoinHandle;
use std::time::Duration;

use axum::Router as Api;
use axum::body::Body;
use axum::http::{Request, StatusCode};
use serde_json::json;
use snafu::{Snafu, ensure};
use support::{IDENTITY, recover_or_initialize};
use tokio::net::TcpListener;
use tokio::runtime::{Builder, Handle, Runtime};
use tokio::sync::oneshot;
use tokio::task::JoinSet;
use tower::ServiceExt;
use woadreach_chain::{FailureDomain, MemberOptions, Tolerance};
use woadreach_control::member_driver::MemberDriver;
use woadreach_control::operator;
use woadreach_control::order::service::OrderService;
use woadreach_journal::{Journal, JournalOptions};
use woadreach_rpc::{Client, ClientOptions, Router, ServiceId, serve};

const MACHINES: usize = 3;
/// Number of rounds of concurrent orders. The head is stopped in every third round.
const ROUNDS: u64 = 9;
/// Number of concurrent changes in a round, each sent to two machines.
const CHANGES: u64 = 4;
/// Time limit for an order or a start.
const TIMEOUT: Duration = Duration::from_secs(20);

/// Simulated process of a core machine: a thread with a runtime. When the runtime is dropped, all its tasks end.
struct Machine {
    thread: JoinHandle<()>,
    stop: oneshot::Sender<()>,
    handle: Handle,
    api: Api,
    driver: Arc<MemberDriver>,
}

/// Machines of the test, each with a folder and an address.
struct Core {
    folder: PathBuf,
    addresses: Vec<SocketAddrV4>,
    /// Whether each machine is an independent core of one machine.
    has_independent_cores: bool,
    machines: Vec<Option<Machine>>,
}

impl Core {
    fn start(folder: &Path, has_independent_cores: bool) -> Core {
        let addresses = free_addresses();
        let machines = (0..MACHINES).map(|_| None).collect();
        let mut core = Core {
            folder: folder.to_owned(),
            addresses,
            has_independent_cores,
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
            seeds: if self.has_independent_cores {
                vec![self.addresses[index]]
            } else {
                self.addresses.clone()
            },
            tolerance: Tolerance {
                machines: usize::from(!self.has_independent_cores),
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
                    .expect("the test thread waits for the start");
                // Completes when the test sends a stop or drops the sender.
                let _ = stopped.await;
            });
        });
        let (handle, api, driver) = process.recv().expect("the machine starts");
        self.machines[index] = Some(Machine {
            thread,
            stop,
            handle,
            api,
            driver,
        });
    }

    /// Stops the process of a machine, including all orders in flight.
    fn stop_machine(&mut self, index: usize) {
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

    /// Waits until every running machine is in the chain and knows a head.
    fn wait_until_complete(&self, operators: &Runtime) {
        for (_, machine) in self.running() {
            let driver = Arc::clone(&machine.driver);
            let complete = async move {
                let mut changes = driver.changes();
                while !driver.status().in_chain || driver.status().head.is_none() {
                    changes.changed().await.expect("the driver runs");
                }
            };
            let waited =
                operators.block_on(async { tokio::time::timeout(TIMEOUT, complete).await });
            waited.expect("a complete chain");
        }
    }
}

impl Drop for Core {
    fn drop(&mut self) {
        for index in 0..MACHINES {
            self.stop_machine(index);
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

/// Starts a member with the journal in `folder`, and serves requests of the other members.
async fn start_process(folder: &Path, options: MemberOptions) -> (Api, Arc<MemberDriver>) {
    let (journal, found) = Journal::open(folder, JournalOptions::default()).expect("a journal");
    let identity = options.random_seed + IDENTITY;
    let recovered = recover_or_initialize(&journal, found, &options, identity).await;
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
            async move { orders.execute_forwarded(body).await }
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

/// Sends an order to one machine. Returns `None` if the machine stops before it answers.
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

/// Sends an order to each running machine in turn, until an answer is final.
async fn retry_until_final(core: &Core, base: u64, body: &str) -> StatusCode {
    let answer = async {
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
    tokio::time::timeout(TIMEOUT, answer)
        .await
        .expect("a final answer")
}

/// Answer to one copy of a change.
#[derive(Debug)]
struct ChangeAnswer {
    /// Index of the change in its round.
    change: u64,
    /// Status code of the answer; `None` if the machine stopped before it answered.
    status: Option<StatusCode>,
}

fn send_concurrent_orders(
    core: &Core,
    operators: &Runtime,
    round: u64,
    base: u64,
    generation: u64,
) -> JoinSet<ChangeAnswer> {
    let mut answers = JoinSet::new();
    for change in 0..CHANGES {
        for copy in 0..2 {
            let index = (round + change + copy) as usize % MACHINES;
            let machine = target(core, index).expect("the machine is running");
            let body = configuration(generation, change);
            let call = async move {
                let status = put(machine, base, body).await;
                ChangeAnswer { change, status }
            };
            answers.spawn_on(call, operators.handle());
        }
    }
    answers
}

/// Violation found in a round.
#[derive(Debug, Snafu)]
enum RaceError {
    /// The number of accepted changes in the round is not one.
    #[snafu(display("round {round}: expected exactly one accepted change, got {answers:?}"))]
    WinnerCount {
        round: u64,
        answers: Vec<ChangeAnswer>,
    },
    /// Copies of one change got different answers, or an unexpected status.
    #[snafu(display(
        "round {round}, change {change}: contradicting or unexpected answers {statuses:?}"
    ))]
    Contradiction {
        round: u64,
        change: u64,
        statuses: Vec<StatusCode>,
    },
    /// An accepted change was rejected when it was sent again.
    #[snafu(display("round {round}: {status} for a retry of the accepted change {body}"))]
    WinnerRejected {
        round: u64,
        status: StatusCode,
        body: String,
    },
}

/// Runs all rounds. In each round, exactly one change must be accepted, and all copies of a change must get the same
/// answer.
fn run_rounds(has_independent_cores: bool) -> Result<(), RaceError> {
    let folder = tempfile::tempdir().expect("a folder");
    let mut core = Core::start(folder.path(), has_independent_cores);
    let operators = runtime();
    core.wait_until_complete(&operators);
    // Base and body of the accepted change of each round.
    let mut winners: Vec<(u64, String)> = Vec::new();
    for round in 1..=ROUNDS {
        let (base, generation) = (3 * (round - 1), 3 * round);
        let mut pending_answers =
            send_concurrent_orders(&core, &operators, round, base, generation);
        let mut answers: Vec<ChangeAnswer> = Vec::new();
        let stopped = (round % 3 == 0).then(|| core.head()).flatten();
        if let Some(head) = stopped {
            // Stop the head after the first answer, while other orders may be in flight.
            answers.extend(
                operators
                    .block_on(pending_answers.join_next())
                    .map(|answer| answer.expect("no panic")),
            );
            core.stop_machine(head);
        }
        answers.extend(operators.block_on(pending_answers.join_all()));
        for change in 0..CHANGES {
            let body = configuration(generation, change);
            let status = operators.block_on(retry_until_final(&core, base, &body));
            answers.push(ChangeAnswer {
                change,
                status: Some(status),
            });
        }
        let winner = find_winner(round, answers)?;
        winners.push((base, configuration(generation, winner)));
        for (base, body) in &winners {
            let status = operators.block_on(retry_until_final(&core, *base, body));
            ensure!(
                status == StatusCode::OK,
                WinnerRejectedSnafu {
                    round,
                    status,
                    body
                }
            );
        }
        if let Some(head) = stopped {
            core.start_machine(head);
            core.wait_until_complete(&operators);
        }
    }
    Ok(())
}

/// Returns the one change that every machine accepts. Every machine must reject all other changes.
fn find_winner(round: u64, answers: Vec<ChangeAnswer>) -> Result<u64, RaceError> {
    let mut winners: Vec<u64> = Vec::new();
    for change in 0..CHANGES {
        let statuses: Vec<StatusCode> = answers
            .iter()
            .filter(|answer| answer.change == change)
            .filter_map(|answer| answer.status)
            .filter(|status| *status != StatusCode::SERVICE_UNAVAILABLE)
            .collect();
        let is_unanimous = statuses.iter().all(|status| *status == statuses[0]);
        match statuses[0] {
            StatusCode::OK if is_unanimous => winners.push(change),
            StatusCode::PRECONDITION_FAILED if is_unanimous => {}
            _ => {
                return ContradictionSnafu {
                    round,
                    change,
                    statuses,
                }
                .fail();
            }
        }
    }
    match winners[..] {
        [winner] => Ok(winner),
        _ => WinnerCountSnafu { round, answers }.fail(),
    }
}

#[test]
fn one_of_the_concurrent_orders_is_accepted_on_all_machines_even_if_the_head_stops() {
    run_rounds(false).expect("one accepted change per round");
}

#[test]
fn the_check_detects_machines_that_are_independent_cores() {
    let found = run_rounds(true).expect_err("several accepted changes in a round");
    println!("{found}");
}
