//! A data plane on loopback between clients and replicas whose responses are late, duplicate, truncated, crossed,
//! early, without length or missing, with an oracle of who may see what and what may run how often.

mod answers;
mod clients;
mod oracle;
mod replica;

use crate::support::tier::{CONFIGURATION, Tier, snapshot_of};
use crate::support::{on_one_thread, wait_for};
use oorandom::Rand64;
use oracle::Oracle;
use parking_lot::Mutex;
use replica::FaultyReplica;
use std::collections::BTreeMap;
use std::sync::Arc;

/// Replicas at most; seeds differ in their number.
const REPLICAS: u64 = 3;
const CLIENTS: usize = 5;
const REQUESTS_OF_A_CLIENT: usize = 8;

/// Chance and the oracle, shared by all parts of one run.
pub(crate) struct Shared {
    random: Mutex<Rand64>,
    oracle: Mutex<Oracle>,
}

impl Shared {
    fn below(&self, bound: u64) -> u64 {
        self.random.lock().rand_range(0..bound)
    }
}

/// Result of a run.
pub(crate) struct Outcome {
    /// Rules that were broken.
    pub violations: Vec<String>,
    /// Number of responses by the replica's behavior, and by the status that a client got.
    pub counts: BTreeMap<String, usize>,
}

/// Plays one seed.
pub(crate) fn play(seed: u64) -> Outcome {
    on_one_thread(wait_for("the end of a run", run(seed)))
}

async fn run(seed: u64) -> Outcome {
    let random = Mutex::new(Rand64::new(u128::from(seed)));
    let shared = Arc::new(Shared {
        random,
        oracle: Mutex::default(),
    });
    let mut replicas = Vec::new();
    let count = 1 + seed % REPLICAS;
    for number in 0..count {
        replicas.push(FaultyReplica::start(number, count == 1, shared.clone()).await);
    }
    let tier = Tier::start_knowing(&known(&replicas)).await;
    let clients = (0..CLIENTS).map(|number| {
        let (shared, front) = (shared.clone(), tier.front);
        tokio::spawn(async move { clients::run(number, front, &shared).await })
    });
    let mut clients: Vec<_> = clients.collect();
    // One replica ends in the middle, and its address goes to another.
    if let Some(half) = clients.pop() {
        half.await.expect("a client that does not panic");
        replicas[shared.below(replicas.len() as u64) as usize].replace();
        if shared.below(2) == 0 {
            tier.proxy.apply_snapshot(&known(&replicas));
        }
    }
    for client in clients {
        client.await.expect("a client that does not panic");
    }
    for replica in &replicas {
        replica.wait_until_idle().await;
    }
    std::mem::take(&mut *shared.oracle.lock()).finish()
}

fn known(replicas: &[FaultyReplica]) -> woadreach_discovery::ControlSnapshot {
    let named: Vec<_> = replicas
        .iter()
        .map(|replica| (replica.id(), replica.address))
        .collect();
    snapshot_of(
        named.iter().map(|(id, address)| (id.as_str(), *address)),
        CONFIGURATION,
    )
}
