//! Simulation of core machines, observers and replicas on simulated time, with one event queue and one random
//! generator.
//!
//! A message takes [`LINK_DELAY`] one way. A machine that is down refuses connections. A machine that is unreachable or
//! partitioned does not answer. A paused machine handles all events when it resumes. The disk of a core machine outlasts
//! its processes.
// Each test program uses only a part of this module.
#![allow(dead_code, unused_imports)]

mod acknowledgement;
mod core_node;
mod disk;
mod dispatch;
mod event;
mod observer;
mod registry_pull;
mod replica;

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use woadreach_sim_support::{CpuQuota, EventQueue, PartitionedLinks};

use self::core_node::CoreNode;
pub(crate) use self::core_node::{NodeState, core_address};
use self::event::Event;
pub(crate) use self::event::Node;
pub(crate) use self::observer::EdgeNode;
use self::replica::Replica;

pub(crate) const LINK_DELAY: Duration = Duration::from_millis(1);
pub(crate) const HEARTBEAT: Duration = Duration::from_millis(1200);
const TICK_INTERVAL: Duration = Duration::from_millis(250);
const REGISTRY_TIMEOUT: Duration = Duration::from_millis(1000);
const REGISTRY_RETRY_INTERVAL: Duration = Duration::from_millis(500);
/// Time without an acknowledgement after which a replica calls the next core machine.
const ACKNOWLEDGEMENT_TIMEOUT: Duration = Duration::from_millis(1000);

pub(crate) struct World {
    pub(crate) now: Duration,
    pub(crate) cores: Vec<CoreNode>,
    pub(crate) edges: Vec<EdgeNode>,
    pub(crate) replicas: Vec<Replica>,
    pub(crate) partitions: PartitionedLinks<Node>,
    /// Core machines that receive no messages from replicas.
    pub(crate) unreachable_from_replicas: BTreeSet<usize>,
    pub(crate) core_bytes: u64,
    /// CPU quota that stalls the processes of the tier; `None` if they always run.
    pub(crate) quota: Option<CpuQuota>,
    queue: EventQueue<Duration, Event>,
    /// Number of the last call of any replica or observer.
    last_call: u64,
    random: oorandom::Rand32,
}

impl World {
    pub(crate) fn new(seed: u64, cores: usize, edges: usize, replicas: usize) -> Self {
        let mut world = Self {
            now: Duration::ZERO,
            cores: Vec::new(),
            edges: Vec::new(),
            replicas: Vec::new(),
            partitions: PartitionedLinks::default(),
            unreachable_from_replicas: BTreeSet::new(),
            core_bytes: 0,
            quota: None,
            queue: EventQueue::new(),
            last_call: 0,
            random: oorandom::Rand32::new(seed),
        };
        let members: Vec<SocketAddr> = (0..cores).map(core_address).collect();
        for core in 0..cores {
            world.cores.push(CoreNode::new(core, &members));
            world.start_core(core);
        }
        for edge in 0..edges {
            let seeds = members.iter().take(3).copied().collect();
            world.edges.push(EdgeNode::new(edge, seeds));
            let wake = Event::EdgeWake {
                edge,
                incarnation: 1,
            };
            world.schedule(Duration::ZERO, wake);
        }
        for replica in 0..replicas {
            world.add_replica(&format!("r{replica}"), replica);
        }
        world
    }

    pub(crate) fn partition_cores(&mut self, one: usize, two: usize) {
        self.partitions
            .insert_both_ways(Node::Core(one), Node::Core(two));
    }

    /// Runs until `until`, and calls `check` after each event.
    pub(crate) fn run_checked(&mut self, until: Duration, mut check: impl FnMut(&World)) {
        while let Some(due) = self.queue.pop_due(&until) {
            self.now = due.at;
            match self.stalled_until(&due.event) {
                Some(until) => self.queue.schedule(until, due.event),
                None => self.handle(due.event),
            }
            check(self);
        }
        self.now = until;
    }

    pub(crate) fn run(&mut self, until: Duration) {
        self.run_checked(until, |_| {});
    }

    pub(crate) fn run_for(&mut self, duration: Duration) {
        self.run(self.now + duration);
    }

    /// If the process that handles the event is stalled by its CPU quota, the time at which it resumes.
    fn stalled_until(&self, event: &Event) -> Option<Duration> {
        let quota = self.quota.as_ref()?;
        let process = match event.node()? {
            Node::Core(core) => core,
            Node::Edge(edge) => self.cores.len() + edge,
        };
        quota.stalled_until(process as u64, self.now)
    }

    /// A number below `bound`.
    pub(crate) fn draw(&mut self, bound: u32) -> u32 {
        self.random.rand_range(0..bound)
    }

    fn random_core(&mut self) -> usize {
        self.random.rand_range(0..self.cores.len() as u32) as usize
    }
}
