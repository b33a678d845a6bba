//! Calls to a server that answers late, twice, truncated, in another order, with unknown request ids or not
//! at all, and that restarts at its address. An oracle knows which response belongs to which call and how
//! often a request may arrive.

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
/// One in this many calls is cancelled by its caller before its time-out.
const CANCELLED_ONE_IN: u64 = 12;
/// One in this many calls is made even while the server doesn't listen.
const UNCHECKED_ONE_IN: u64 = 8;
const TIMEOUT: Duration = Duration::from_millis(60);
/// Limit on the time of a run.
const RUN_TIMEOUT: Duration = Duration::from_secs(30);

/// Source of randomness and the oracle, shared by all parts of one run.
struct Shared {
    random: Mutex<Rand64>,
    oracle: Mutex<Oracle>,
}

impl Shared {
    fn below(&self, bound: u64) -> u64 {
        self.random.lock().rand_range(0..bound)
    }
}

/// Outcome of a run.
pub(crate) struct Outcome {
    /// Violations of the guarantees of calls.
    pub(crate) violations: Vec<String>,
    /// Counts of the server's behaviours and of the outcomes of calls.
    pub(crate) counts: BTreeMap<String, usize>,
}

/// Runs one seed; `prepare` may change the client.
pub(crate) fn run_seed(seed: u64, prepare: impl FnOnce(&Client)) -> Outcome {
    let client = Client::new(ClientOptions::default());
    prepare(&client);
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    let run = async {
        tokio::time::timeout(RUN_TIMEOUT, run(seed, client))
            .await
            .expect("the end of a run")
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
                if shared.below(UNCHECKED_ONE_IN) > 0 {
                    server.wait_until_listening().await;
                }
                call(&client, &server, &shared, format!("c{caller}-{number}")).await;
            }
        })
    });
    for caller in callers.collect::<Vec<_>>() {
        caller.await.expect("a caller that does not panic");
    }
    server.wait_until_read().await;
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
