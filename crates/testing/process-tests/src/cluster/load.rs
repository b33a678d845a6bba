//! The clients: an open-loop load. They send searches to each co-ordinator at random intervals, whether or not earlier
//! ones have been answered.

use super::Cluster;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::cell::Cell;
use std::rc::Rc;
use std::sync::Arc;
use woadreach_fakes::{Caller, Retry};
use woadreach_runtime::{Net, Tokio};
use woadreach_simulation::{Repeats, Script, draw_gap, draw_request, seed_of};

/// Factor by which the rate of searches is higher while clients abandon them.
const ABANDONING_FACTOR: f64 = 3.0;
/// Maximum delay in seconds after which a client abandons a search.
const MAX_ABANDON_DELAY: f64 = 0.2;

/// The clients of one co-ordinator.
struct Clients {
    net: Tokio,
    script: Script,
    node: usize,
    client: Caller<Tokio>,
    /// Number of searches of all clients, retries included; used to name them.
    search_count: Rc<Cell<u64>>,
    accepts_clients: Rc<Vec<Cell<bool>>>,
    abandon: Rc<Cell<bool>>,
    random: Pcg64Mcg,
}

impl Cluster {
    /// Starts clients that send searches to all co-ordinators until the time `until`, in Unix seconds.
    pub(super) fn start_load(&self, until: f64) {
        let search_count = Rc::new(Cell::new(0));
        for (node, co_ordinator) in self.co_ordinators.iter().enumerate() {
            let seed = seed_of(self.config.seed, &format!("load {node}"));
            let clients = Clients {
                net: self.net,
                script: self.script.clone(),
                node,
                client: co_ordinator.client.clone(),
                search_count: search_count.clone(),
                accepts_clients: self.accepts_clients.clone(),
                abandon: self.clients_abandon.clone(),
                random: Pcg64Mcg::seed_from_u64(seed),
            };
            drop(self.net.spawn(clients.run(until)));
        }
    }
}

impl Clients {
    async fn run(mut self, until: f64) {
        while self.net.now() < until {
            let factor = if self.abandon.get() {
                ABANDONING_FACTOR
            } else {
                1.0
            };
            let rate = self.script.load.rate * factor;
            let gap = draw_gap(rate, &mut self.random);
            self.net.sleep(gap).await;
            self.send_search();
        }
    }

    fn send_search(&mut self) {
        let name = next_name(&self.search_count);
        let mut search = draw_request(&self.script, 1.0, name, &mut self.random);
        if self.abandon.get() {
            search.disconnect_after = Some(MAX_ABANDON_DELAY * self.random.random::<f64>());
        }
        if !self.accepts_clients[self.node].get() {
            return;
        }
        let query_type = &self.script.query_types[search.query_type];
        let is_idempotent = query_type.repeats == Repeats::Idempotent;
        let retry = Retry {
            max_retries: self.script.load.retries,
            delay_s: self.script.load.retry_delay_s,
            honors_retry_after: self.script.load.honors_retry_after,
        };
        let client = self.client.clone();
        let search_count = self.search_count.clone();
        drop(self.net.spawn(async move {
            let name = move || next_name(&search_count);
            drop(
                client
                    .call_with_retries(search, retry, is_idempotent, name)
                    .await,
            );
        }));
    }
}

fn next_name(search_count: &Cell<u64>) -> Arc<str> {
    format!("q{}", search_count.replace(search_count.get() + 1)).into()
}
