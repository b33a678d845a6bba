//! The client of discovery: receives endpoint lists and their changes, and sends them to the core in order.
//!
//! It has its own connections: two at most, and two more where a descriptor is free. It never decides what a
//! list means, and the one in force stays so while discovery is unresponsive. Start reading at [`follow`]:
//!
//! - [`schedule`]: when calls are made; [`version`]: which lists are accepted.
//! - [`agent`]: calls until one is answered, and watches; [`call`]: one call.
//! - [`list_state`]: the list in force; [`parse`] and [`object_lines`]: what discovery writes.

mod agent;
mod call;
mod error;
mod list_state;
mod object_lines;
mod parse;
pub(crate) mod schedule;
mod version;

pub use parse::parse_list;

use crate::events::EndpointLists;
use crate::sockets::Sockets;
use agent::Agent;
use list_state::ListState;
use schedule::Need;
use tokio::sync::watch;
use tracing::{debug, info};
use woadreach_runtime::Net;

/// Seconds without a complete line after which a watch counts as dead.
///
/// PROTOCOL: as long as nothing changes, an empty line is sent every 2 s, and updates count as received 6 s after
/// a watch became unresponsive, or after discovery had them and could be reached. This allows half a second for
/// lines that are late, and leaves time for two more calls one after the other.
const WATCH_TIMEOUT: f64 = 2.5;
/// Longest line or list that is accepted, in bytes: 500 for each of 16,000 entries. Bounds the memory that a
/// broken agent can take.
const MAX_LIST: usize = 8 * 1024 * 1024;

/// What [`follow`] needs to know.
pub(crate) struct DiscoveryConfig {
    /// Version of the list that the core has from the start, if any.
    pub(crate) known_generation: Option<u64>,
    /// Seconds between calls while none is answered, see [`schedule::call_interval`].
    pub(crate) call_interval_s: f64,
}

/// Runs for as long as the process: the complete list once, then changes after the last version. A new
/// address is called at once, for its complete list: what was on its way from the old one is lost.
pub(crate) async fn follow<N: Net>(
    net: N,
    mut addresses: watch::Receiver<String>,
    config: DiscoveryConfig,
    sockets: Sockets,
    lists: EndpointLists,
) {
    let mut state = ListState::new(config.known_generation, lists);
    let mut last_error = String::new();
    loop {
        let address = addresses.borrow_and_update().clone();
        let agent = Agent {
            net: &net,
            address: &address,
            sockets: &sockets,
        };
        let ended = tokio::select! {
            biased;
            Ok(()) = addresses.changed() => {
                state.need = Need::Resume;
                last_error.clear();
                continue;
            }
            ended = agent.update(&mut state, config.call_interval_s) => ended,
        };
        let Err(error) = ended else {
            // The complete list has been received: changes next.
            last_error.clear();
            continue;
        };
        let error = error.to_string();
        // Logged once for as long as it lasts.
        if error == last_error {
            debug!(error, "discovery failed again");
        } else {
            info!(error, "discovery failed");
            last_error = error;
        }
        // Cut short by a new address, which is looked at first.
        let retry = schedule::RETRY_INTERVAL.min(config.call_interval_s);
        let _ = net
            .timeout(retry, addresses.wait_for(|a| *a != address))
            .await;
    }
}
