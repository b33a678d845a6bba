//! Shared helpers of the tests: start a tier of real processes, wait for conditions in its logs, and build
//! configurations that differ in their routes.

#![allow(dead_code)]

use serde_json::{Value, json};
use std::time::Duration;
use tokio::time::{Instant, sleep};
use woadreach_local_tier::{
    Client, FakeReplica, MachineClass, Tier, TierSize, built_programs, example,
};

/// Time-out of each wait after a machine or link has failed; long enough that no result depends on the speed of the
/// host.
pub(crate) const TIMEOUT: Duration = Duration::from_secs(40);
/// Pause between two checks of a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
const TIER_SIZE: TierSize = TierSize {
    edges: 2,
    core: 3,
    storage: 3,
};

pub(crate) fn start(network: u8) -> Tier {
    Tier::start(&built_programs(), network, TIER_SIZE).unwrap()
}

/// Sends the example's first configuration and waits until the edges are ready. Returns the example's replicas.
pub(crate) async fn bring_up(tier: &Tier) -> Vec<FakeReplica> {
    example::bring_up(tier)
        .await
        .unwrap_or_else(|error| panic!("{error}\n{}", logs(tier)))
}

/// Logs of all processes, for the message of a failed assertion.
pub(crate) fn logs(tier: &Tier) -> String {
    tier.nodes
        .iter()
        .map(|node| format!("== {}\n{}", node.spec.name(), node.log()))
        .collect()
}

pub(crate) fn log_of(tier: &Tier, class: MachineClass, index: u8) -> String {
    let node = tier
        .nodes
        .iter()
        .find(|node| node.spec.class == class && node.spec.index == index);
    node.map(|node| node.log()).unwrap_or_default()
}

/// Polls `condition` until it returns a value; panics with `what` and the logs after [`TIMEOUT`].
pub(crate) async fn wait_for<T>(
    tier: &Tier,
    what: &str,
    mut condition: impl FnMut() -> Option<T>,
) -> T {
    let end = Instant::now() + TIMEOUT;
    loop {
        if let Some(found) = condition() {
            return found;
        }
        assert!(
            Instant::now() < end,
            "{what}: timed out after {TIMEOUT:?}\n{}",
            logs(tier)
        );
        sleep(POLL_INTERVAL).await;
    }
}

/// Returns the example's configuration with an additional route, whose path contains the generation.
pub(crate) fn configuration(generation: u64) -> String {
    let mut configuration: Value =
        serde_json::from_str(&example::configuration(generation)).unwrap();
    let route = json!({
        "name": "newest", "domain": example::HOST, "path_prefix": newest_path(generation),
        "route_type": "safe", "timeout_ms": 1200, "target_latency_ms": 150, "priority": 2, "service": "plain",
        "max_retries": 2,
    });
    configuration["routes"].as_array_mut().unwrap().push(route);
    configuration.to_string()
}

/// Path prefix that is routed only in this generation.
pub(crate) fn newest_path(generation: u64) -> String {
    format!("/generation-{generation}/")
}

/// Waits until every edge serves the route that only this generation has.
pub(crate) async fn wait_until_generation_served(tier: &Tier, generation: u64) {
    let end = Instant::now() + TIMEOUT;
    for edge in tier.edge_addresses() {
        let client = Client::new(edge);
        while client
            .get(example::HOST, &newest_path(generation), "g")
            .await
            .map(|answer| answer.status)
            .ok()
            != Some(200)
        {
            assert!(
                Instant::now() < end,
                "edge {edge} did not serve generation {generation} within {TIMEOUT:?}\n{}",
                logs(tier)
            );
            sleep(POLL_INTERVAL).await;
        }
    }
}

/// View of the core, parsed from the `view installed` log line of a machine.
pub(crate) struct View {
    pub(crate) epoch: u64,
    /// Last byte of each member's address, head first.
    pub(crate) chain: Vec<u8>,
}

/// Returns the view that was installed last according to a log.
pub(crate) fn last_view(log: &str) -> Option<View> {
    let line = log
        .lines()
        .rev()
        .find(|line| line.contains("view installed"))?;
    let epoch = number_after(line, "epoch=")?;
    let (_, chain) = line.split_once("chain=[")?;
    let (chain, _) = chain.split_once(']')?;
    let member = |text: &str| {
        text.trim()
            .split(':')
            .next()?
            .rsplit('.')
            .next()?
            .parse()
            .ok()
    };
    chain
        .split(',')
        .map(member)
        .collect::<Option<Vec<u8>>>()
        .map(|chain| View { epoch, chain })
}

/// Returns the number that follows the last occurrence of `key` in a text.
pub(crate) fn number_after(text: &str, key: &str) -> Option<u64> {
    let (_, rest) = text.rsplit_once(key)?;
    let digits: String = rest.chars().take_while(char::is_ascii_digit).collect();
    digits.parse().ok()
}
