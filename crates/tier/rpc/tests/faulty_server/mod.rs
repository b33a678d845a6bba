//! Calls to a server that answers late, twice, cut, in another order, under numbers that are not awaited or
//! not at all, ends and comes back at its address, with an oracle of who may get which response and what may
//! arrive how often.

mod oracle;
mod server;

use oorandom::Rand64;
use oracle::Oracle;
use parking_lot::Mutex;
use server::FaultyServer;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;
use woadreach_rpc::{Client, ClientOptions, ServiceId};

const SERVICE: ServiceId = ServiceId(40);
const CALLERS: usize = 6;
const CALLS_OF_A_CALLER: usize = 30;
/// One in so many calls is given up by its caller before its time is over.
const GIVEN_UP_ONE_IN: u64 = 12;
/// One in so many calls is made even if nobody listens.
const UNCHECKED_ONE_IN: u64 = 8;
const TIMEOUT: Duration = Duration::from_millis(60);
/// The longest that a run may take; one that reaches it has failed.
const WAIT: Duration = Duration::from_secs(30);

/// Chance and the oracle, shared by all parts of one run.
struct Shared {
    random: Mutex<Rand64>,
    oracle: Mutex<Oracle>,
}

impl Shared {
    fn below(&self, bound: u64) -> u64 {
        self.random.lock().rand_range(0..bound)
    }
}

/// What a run came to.
pub struct Outcome {
    /// What was broken.
    pub violations: Vec<String>,
    /// How often the server did what, and how calls ended.
    pub counts: BTreeMap<String, usize>,
}

/// Plays one seed; `prepare` may change the client.
pub fn play(seed: u64, prepare: impl FnOnce(&Client)) -> Outcome {
    let client = Client::new(ClientOptions::default());
    prepare(&client);
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    let run = async {
        tokio::time::timeout(WAIT, run(seed, client))
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
            for number in 0..CALLS_OF_A_CALLER {
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
    if shared.below(GIVEN_UP_ONE_IN) == 0 {
        tokio::select! {
            biased;
            result = call => shared.oracle.lock().ended(&body, result),
            () = tokio::task::yield_now() => shared.oracle.lock().count("call: given up"),
        }
    } else {
        let result = call.await;
        shared.oracle.lock().ended(&body, result);
    }
}
