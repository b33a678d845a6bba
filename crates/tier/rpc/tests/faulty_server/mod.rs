//! Random calls to a faulty server. Its responses may be delayed, duplicated, truncated, reordered, missing, or have
//! unknown request ids, and it may restart at the same address. An oracle checks that each call receives its own
//! response and that each request is received at most once.

mod oracle;
mod server;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use oorandom::Rand64;
use parking_lot::Mutex;
use woadreach_rpc::{Client, ClientOptions, ServiceId};

use oracle::Oracle;
use server::FaultyServer;

const SERVICE: ServiceId = ServiceId(40);
const CALLERS: usize = 6;
const CALLS_PER_CALLER: usize = 30;
/// On average one in this many calls is cancelled by its caller before it finishes.
const CANCELLED_ONE_IN: u64 = 12;
/// On average one in this many calls is made without waiting until the server listens.
const UNSYNCHRONIZED_ONE_IN: u64 = 8;
/// Time-out of each call.
const TIMEOUT: Duration = Duration::from_millis(60);
/// Maximum duration of the run of one seed.
const RUN_TIMEOUT: Duration = Duration::from_secs(30);

/// Random generator and oracle of one run, shared by the callers and the server.
struct Shared {
    random: Mutex<Rand64>,
    oracle: Mutex<Oracle>,
}

impl Shared {
    /// Returns a random number less than `bound`.
    fn below(&self, bound: u64) -> u64 {
        self.random.lock().rand_range(0..bound)
    }
}

/// Outcome of the run of one seed.
pub(crate) struct Outcome {
    /// Violated guarantees. Each text begins with the name of the violated rule.
    pub(crate) violations: Vec<String>,
    /// Number of requests by the server's behaviour, and of calls by their outcome.
    pub(crate) counts: BTreeMap<String, usize>,
}

/// Runs one seed. `prepare` is called on the client before its first call, for example to inject a bug.
pub(crate) fn run_seed(seed: u64, prepare: impl FnOnce(&Client)) -> Outcome {
    let client = Client::new(ClientOptions::default());
    prepare(&client);
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("build a runtime");
    let run = async {
        tokio::time::timeout(RUN_TIMEOUT, run(seed, client))
            .await
            .expect("run not finished within RUN_TIMEOUT")
    };
    runtime.block_on(run)
}

async fn run(seed: u64, client: Client) -> Outcome {
    let random = Mutex::new(Rand64::new(u128::from(seed)));
    let shared = Arc::new(Shared {
        random,
        oracle: Mutex::default(),
    });
    let server = Arc::new(FaultyServer::start(shared.clone()));
    let callers = (0..CALLERS).map(|caller| {
        let (client, server, shared) = (client.clone(), server.clone(), shared.clone());
        tokio::spawn(async move {
            for number in 0..CALLS_PER_CALLER {
                if shared.below(UNSYNCHRONIZED_ONE_IN) > 0 {
                    server.wait_until_listening().await;
                }
                call(&client, &server, &shared, format!("c{caller}-{number}")).await;
            }
        })
    });
    for caller in callers.collect::<Vec<_>>() {
        caller.await.expect("task of a caller panicked");
    }
    server.yield_until_read().await;
    std::mem::take(&mut *shared.oracle.lock()).finish()
}

async fn call(client: &Client, server: &FaultyServer, shared: &Shared, body: String) {
    let call = client.call(server.address, SERVICE, body.clone().into_bytes(), TIMEOUT);
    if shared.below(CANCELLED_ONE_IN) == 0 {
        tokio::select! {
            biased;
            result = call => shared.oracle.lock().record_result(&body, result),
            () = tokio::task::yield_now() => shared.oracle.lock().count("call: cancelled"),
        }
    } else {
        let result = call.await;
        shared.oracle.lock().record_result(&body, result);
    }
}
