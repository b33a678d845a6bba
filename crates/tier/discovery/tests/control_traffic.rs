//! Traffic of the control plane in tiers of three sizes, and the propagation time of changes. Simulated time.

mod common;

use std::time::Duration;

use common::world::{LINK_DELAY, World};

/// Maximum time from the acknowledgement of a departure until all observers have applied it.
const PROPAGATION_BOUND: Duration = Duration::from_millis(20);

fn millis(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn seconds(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

/// Propagation times of one change to the observers, ascending.
struct PropagationTimes(Vec<Duration>);

impl PropagationTimes {
    fn measure(world: &mut World, has_change: impl Fn(&World, usize) -> bool) -> Self {
        let (start, edges) = (world.now, world.edges.len());
        let mut pending: Vec<usize> = (0..edges).collect();
        let mut times = Vec::new();
        while !pending.is_empty() && world.now < start + seconds(2) {
            pending.retain(|edge| !has_change(world, *edge));
            times.resize(edges - pending.len(), world.now - start);
            world.run_for(millis(1));
        }
        assert!(
            pending.is_empty(),
            "{} observers did not receive the change",
            pending.len()
        );
        Self(times)
    }

    fn percentile(&self, share: f64) -> Duration {
        self.0[((self.0.len() - 1) as f64 * share) as usize]
    }
}

/// Measures the propagation times and the traffic in a tier of this size, and prints the figures for docs/discovery.md.
fn measure_tier(cores: usize, edges: usize, replicas: usize) {
    let mut world = World::new(11, cores, edges, replicas);
    world.run(seconds(10));
    assert!(
        world
            .edges
            .iter()
            .all(|edge| edge.watcher.has_reached_current_state())
    );
    world
        .edges
        .iter_mut()
        .for_each(|edge| (edge.bytes, edge.messages) = (0, 0));
    world.core_bytes = 0;
    world.run_for(seconds(10));
    let bytes = world.edges.iter().map(|edge| edge.bytes).max().unwrap() / 10;
    let messages = world.edges.iter().map(|edge| edge.messages).max().unwrap() / 10;
    let core_bytes = world.core_bytes / 10 / cores as u64;
    assert!(bytes < 1_000, "{bytes} bytes a second");
    assert!(messages <= 7, "{messages} messages a second");

    world.commit_configuration(2);
    let configuration = PropagationTimes::measure(&mut world, |world, edge| {
        world.edges[edge].configuration == 2
    });
    world.drain(0, 0);
    world.run_for(millis(20));
    assert!(world.replicas[0].drained_at.is_some(), "acknowledged");
    let departure =
        PropagationTimes::measure(&mut world, |world, edge| !world.edge_routes_to(edge, 0));
    let bounds = [
        ("configuration", &configuration, 10 * LINK_DELAY),
        ("departure", &departure, PROPAGATION_BOUND),
    ];
    for (name, times, bound) in bounds {
        let [middle, high, worst] = [0.5, 0.99, 1.0].map(|share| times.percentile(share));
        println!("{cores} core, {edges} edges: {name} propagated in {middle:?} {high:?} {worst:?}");
        assert!(worst <= bound, "{name}: {worst:?}");
    }
    println!(
        "{cores} core, {edges} edges: {bytes} B/s and {messages} messages/s an edge, {core_bytes} B/s a core"
    );
}

#[test]
fn control_traffic_of_a_small_tier_stays_within_its_bounds() {
    measure_tier(3, 6, 14);
}

#[test]
fn control_traffic_of_a_medium_tier_stays_within_its_bounds() {
    measure_tier(5, 73, 150);
}

#[test]
fn control_traffic_of_a_large_tier_stays_within_its_bounds() {
    measure_tier(19, 620, 300);
}
