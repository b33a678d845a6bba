//! All replicas of a tier are replaced in a row, while one core machine's disk stalls and another one's is lost. Then
//! all core machines and edges restart at once. Simulated time.
//!
//! `REPLACED_REPLICAS` sets the number of replicas, which are replaced at a rate of 11,000 in ten minutes.

mod common;

use std::time::Duration;

use common::world::{NodeState, World, core_address};

const CORES: usize = 5;
const EDGES: usize = 6;
/// Time between the starts of two replacements: 11,000 in ten minutes.
const REPLACEMENT_INTERVAL: Duration = Duration::from_micros(54_545);
/// Time for which a draining replica serves on before it deregisters.
const SERVES_ON: Duration = Duration::from_secs(3);
const SETTLING: Duration = Duration::from_secs(8);
/// Maximum time from the call of a replica that departs to the acknowledgement.
const ACKNOWLEDGEMENT_BOUND: Duration = Duration::from_secs(1);
/// Maximum time after which nine in ten restarted processes are ready.
const READY_BOUND: Duration = Duration::from_secs(10);

struct Replacement {
    world: World,
    replicas: usize,
    /// Number of replicas that have started to drain.
    draining: usize,
    /// Number of replicas that have started to deregister.
    deregistering: usize,
    /// Times at which the replicas started to drain and to deregister.
    drain_started_at: Vec<Duration>,
    deregistration_started_at: Vec<Duration>,
}

impl Replacement {
    fn new(replicas: usize) -> Self {
        let mut world = World::new(1, CORES, EDGES, replicas);
        world.run(SETTLING);
        Self {
            world,
            replicas,
            draining: 0,
            deregistering: 0,
            drain_started_at: Vec::new(),
            deregistration_started_at: Vec::new(),
        }
    }

    /// Replaces replicas until `share` of them are draining.
    fn run_until(&mut self, share: f64) {
        let last = (self.replicas as f64 * share) as usize;
        while self.draining < last {
            let replica = self.draining;
            let address = self.replicas + replica;
            self.world.add_replica(&format!("new-{replica}"), address);
            self.world.drain(replica, replica % CORES);
            self.drain_started_at.push(self.world.now);
            self.draining += 1;
            self.deregister_due();
            self.world.run_for(REPLACEMENT_INTERVAL);
        }
    }

    fn deregister_due(&mut self) {
        while self.deregistering < self.draining
            && self.drain_started_at[self.deregistering] + SERVES_ON <= self.world.now
        {
            let replica = self.deregistering;
            self.world
                .deregister_replica(replica, (replica + 1) % CORES);
            self.deregistration_started_at.push(self.world.now);
            self.deregistering += 1;
        }
    }

    /// Lets the last replicas deregister.
    fn finish(&mut self) {
        while self.deregistering < self.replicas {
            self.world.run_for(REPLACEMENT_INTERVAL);
            self.deregister_due();
        }
        self.world.run_for(ACKNOWLEDGEMENT_BOUND);
    }

    /// Times from the calls to the acknowledgements, in ascending order.
    fn acknowledgement_times(&self) -> Vec<Duration> {
        let replicas = &self.world.replicas[..self.replicas];
        let drained = replicas.iter().map(|replica| replica.drained_at);
        let deregistered = replicas.iter().map(|replica| replica.deregistered_at);
        let ended = drained.chain(deregistered);
        let started = self
            .drain_started_at
            .iter()
            .chain(&self.deregistration_started_at);
        let mut times: Vec<Duration> = ended
            .zip(started)
            .map(|(ended, started)| ended.expect("acknowledged") - *started)
            .collect();
        times.sort();
        times
    }

    /// Restarts all core machines and edges. Returns the times until the edges are ready, in ascending order.
    fn restart_everything(&mut self) -> Vec<Duration> {
        let world = &mut self.world;
        (0..CORES).for_each(|core| world.set_node_state(core, NodeState::Down));
        world.run_for(Duration::from_millis(500));
        (0..CORES).for_each(|core| world.restart_core(core));
        let restarted_at = world.now;
        let seeds: Vec<_> = (0..3).map(core_address).collect();
        (0..EDGES).for_each(|edge| world.restart_edge(edge, seeds.clone()));
        let mut ready_after = vec![None; EDGES];
        while ready_after.contains(&None) {
            world.run_for(Duration::from_millis(10));
            for (edge, ready_after) in ready_after.iter_mut().enumerate() {
                if world.edges[edge].watcher.has_reached_current_state() {
                    ready_after.get_or_insert(world.now - restarted_at);
                }
            }
        }
        let mut times: Vec<Duration> = ready_after.into_iter().flatten().collect();
        times.sort();
        times
    }
}

#[test]
fn departures_are_acknowledged_in_time_while_all_replicas_are_replaced_and_a_disk_fails() {
    let replicas = std::env::var("REPLACED_REPLICAS")
        .map_or(400, |text| text.parse().expect("the variable is a number"));
    let mut replacement = Replacement::new(replicas);
    replacement.run_until(0.2);
    replacement.world.set_disk_stalled(1, true);
    replacement.run_until(0.4);
    replacement.world.set_disk_stalled(1, false);
    replacement.run_until(0.6);
    replacement.world.set_node_state(2, NodeState::Down);
    replacement.world.lose_disk(2);
    replacement.world.run_for(Duration::from_millis(500));
    replacement.world.restart_core(2);
    replacement.run_until(1.0);
    replacement.finish();
    let times = replacement.acknowledgement_times();
    let (median, last) = (times[times.len() / 2], times[times.len() - 1]);
    let disk = &replacement.world.cores[0].disk;
    println!(
        "{replicas} replicas: acknowledged within {median:?} (median), {last:?} (all); {} writes, {} bytes on a disk",
        disk.writes(),
        disk.bytes(),
    );
    assert!(last <= ACKNOWLEDGEMENT_BOUND, "{last:?}");

    let ready = replacement.restart_everything();
    println!("edges ready after {ready:?}");
    assert!(ready[EDGES * 9 / 10] <= READY_BOUND, "{ready:?}");
    for replica in 0..replicas {
        assert_eq!(replacement.world.edges_using(replica), 0, "{replica}");
    }
}
