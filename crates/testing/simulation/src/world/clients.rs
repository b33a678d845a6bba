//! The clients of a world. They send searches at random intervals, whether or not earlier ones are answered, so that
//! slow answers don't reduce the load.

use super::World;
use crate::load::{draw_gap, draw_request, rate_shares};
use crate::network::seed_of;
use crate::script::Repeats;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use std::rc::Rc;
use std::sync::Arc;
use woadreach_fakes::{Retry, SearchRequest};
use woadreach_runtime::Net;

/// Seconds until the first client, when co-ordinators have their endpoint lists.
const FIRST_CLIENT: f64 = 0.5;
/// Longest time between two clients, in seconds, so that a change of the load shows soon.
const MAX_GAP: f64 = 5.0;

impl World {
    /// Starts the clients that the load balancer sends to a co-ordinator. They arrive independently of how
    /// earlier ones are served.
    pub(super) fn start_clients(self: &Rc<Self>, index: usize) {
        let net = self.coordinators[index].clients_net();
        drop(net.spawn(self.clone().send_searches(index)));
    }

    async fn send_searches(self: Rc<Self>, index: usize) {
        let mut rng = Pcg64Mcg::seed_from_u64(seed_of(self.script.seed, &format!("load {index}")));
        let net = self.coordinators[index].clients_net().clone();
        let share = rate_shares(&self.script)[index];
        net.sleep(FIRST_CLIENT).await;
        while self.clients_active.get() {
            let rate = self.script.load.rate * share * self.load_factor.get();
            net.sleep(draw_gap(rate, &mut rng).min(MAX_GAP)).await;
            let name = self.next_search_name();
            let request = draw_request(&self.script, self.work_factor.get(), name, &mut rng);
            drop(net.spawn(self.clone().run_client(index, request)));
        }
    }

    /// Runs one client, at the first co-ordinator from `index` on that is in rotation.
    async fn run_client(self: Rc<Self>, index: usize, request: SearchRequest) {
        let all = self.coordinators.len();
        let in_rotation = (0..all)
            .map(|offset| &self.coordinators[(index + offset) % all])
            .find(|coordinator| coordinator.in_rotation.get());
        let Some(coordinator) = in_rotation else {
            return;
        };
        let load = &self.script.load;
        let retry = Retry {
            max_retries: load.retries,
            delay_s: load.retry_delay_s,
            honors_retry_after: load.honors_retry_after,
        };
        let idempotent = self.script.query_types[request.query_type].repeats == Repeats::Idempotent;
        let caller = coordinator.clients.clone();
        caller
            .call_with_retries(request, retry, idempotent, || self.next_search_name())
            .await;
    }

    fn next_search_name(&self) -> Arc<str> {
        let count = self.searches.replace(self.searches.get() + 1);
        format!("q{count}").into()
    }
}
