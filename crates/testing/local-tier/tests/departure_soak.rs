//! Seeded runs of real processes in which replicas depart while edges are suspended, and processes are killed, terminated,
//! suspended and reloaded, core machines lose their disks and the configuration changes, one beside the other. Clients use
//! the connections that they have until the edge's process is gone. Guards against requests that edges send to a replica
//! long after its departure was acknowledged.
//!
//! `SOAK_SEEDS` is the number of runs, `SOAK_FIRST_SEED` the first one; runs beside each other need different values of
//! `SOAK_NETWORK`. `SOAK_EDGES`, `SOAK_CORES` and `SOAK_STORAGE` set the size of the tier.

#[path = "departure_soak/faults.rs"]
mod faults;
mod support;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use faults::{FaultDraw, Step};
use oorandom::Rand32;
use support::{bring_up, configuration, logs};
use tokio::sync::mpsc;
use tokio::task::JoinHandle;
use tokio::time::{Instant, sleep, sleep_until};
use woadreach_local_tier::{
    Client, DepartureNotice, FakeReplica, MachineClass, NodeProcess, Operator, ReplicaKind, Tier,
    TierSize, built_programs, example,
};

/// Time after the acknowledgement in which requests may still reach the replica.
const DRAIN_TIMEOUT: Duration = Duration::from_millis(2000);
/// Time without a fault after which machines are in touch.
const TOUCH: Duration = Duration::from_millis(3000);
/// Time for which requests are watched after all machines are in touch.
const WATCHED: Duration = Duration::from_millis(2500);
/// Time-out of a departure without an acknowledgement.
const ACKNOWLEDGEMENT_TIMEOUT: Duration = Duration::from_secs(10);
/// Time-out of a change of the configuration.
const CHANGE_TIMEOUT: Duration = Duration::from_secs(20);
/// Pause between two requests of a client.
const REQUEST_INTERVAL: Duration = Duration::from_millis(40);
const ROUNDS: u32 = 3;

fn variable(name: &str, default: u32) -> u32 {
    std::env::var(name).map_or(default, |text| {
        text.parse().expect("the variable is a number")
    })
}

/// A run of one seed.
struct Soak {
    tier: Tier,
    size: TierSize,
    random: Rand32,
    generation: u64,
    /// Time of the last event that put machines out of touch.
    disturbed_at: Instant,
}

impl Soak {
    fn draw(&mut self, bound: u32) -> u32 {
        self.random.rand_range(0..bound)
    }

    fn draw_millis(&mut self, from: u32, to: u32) -> Duration {
        Duration::from_millis(u64::from(self.random.rand_range(from..to)))
    }

    fn draw_control(&mut self) -> SocketAddr {
        let control = self.tier.control();
        control[self.draw(control.len() as u32) as usize]
    }

    /// Lets a new replica depart among faults. Panics if requests reach it too late.
    async fn play_round(&mut self, round: u32, seed: u32) {
        let id = format!("i-leaves-{seed}-{round}");
        let control = self.tier.control();
        let leaver = FakeReplica::start(&id, "plain", ReplicaKind::Plain, control)
            .await
            .expect("a replica");
        support::wait_for(&self.tier, "requests to the new replica", || {
            (!leaver.received().is_empty()).then_some(())
        })
        .await;
        let edge = 1 + self.draw(u32::from(self.size.edges)) as u8;
        let suspended_at = Instant::now();
        self.node(MachineClass::Edge, edge)
            .suspend()
            .expect("suspended");
        sleep(self.draw_millis(0, 400)).await;
        let notice = match self.draw(2) {
            0 => DepartureNotice::Draining,
            _ => DepartureNotice::Deregistration,
        };
        let departed_at = leaver.depart(notice, ACKNOWLEDGEMENT_TIMEOUT).await;
        let departed_at =
            departed_at.unwrap_or_else(|| panic!("{id}: no answer\n{}", logs(&self.tier)));
        self.play_faults().await;
        sleep_until(suspended_at + self.draw_millis(1500, 4000)).await;
        self.node(MachineClass::Edge, edge)
            .resume()
            .expect("resumed");
        self.disturbed_at = Instant::now();
        if self.draw(2) == 0 {
            let control = self.draw_control();
            leaver.send_late_heartbeat(control).await;
        }
        sleep_until(self.disturbed_at + TOUCH + WATCHED).await;

        let in_touch_from = self.disturbed_at + TOUCH;
        let bound = in_touch_from.max(Instant::from_std(departed_at) + DRAIN_TIMEOUT);
        let received = leaver.received().into_iter();
        let late = received.filter(|request| Instant::from_std(request.received_at) > bound);
        let late = late.count();
        assert_eq!(
            late,
            0,
            "seed {seed}, round {round}, {notice:?}: requests reached {id} too late\n{}",
            logs(&self.tier)
        );
    }

    fn node(&mut self, class: MachineClass, index: u8) -> &mut NodeProcess {
        self.tier.node(class, index).expect("a machine of the tier")
    }

    /// Plays the faults of a round, beside changes of the configuration. Returns once the changes are acknowledged.
    async fn play_faults(&mut self) {
        let steps = FaultDraw::new(&mut self.random, self.size).draw();
        let is_change = |(_, step): &&(Duration, Step)| *step == Step::ChangeConfiguration;
        let change_count = steps.iter().filter(is_change).count() as u64;
        let (next_change, changes) = mpsc::unbounded_channel();
        let operator = Operator::new(self.tier.control());
        let changing = tokio::spawn(change_configurations(operator, self.generation, changes));
        self.generation += change_count;
        let started = Instant::now();
        for (at, step) in steps {
            sleep_until(started + at).await;
            if step == Step::ChangeConfiguration {
                next_change.send(()).expect("the operator is running");
            } else {
                self.apply(step).await;
                self.disturbed_at = Instant::now();
            }
        }
        drop(next_change);
        let changed = changing.await.expect("the operator has ended");
        changed.unwrap_or_else(|error| panic!("{error}\n{}", logs(&self.tier)));
    }

    async fn apply(&mut self, step: Step) {
        let applied = match step {
            Step::Kill(class, index) => self.node(class, index).kill().await,
            Step::Terminate(class, index) => self.node(class, index).terminate(),
            Step::Start { class, index, wipe } => self.tier.restart(class, index, wipe).await,
            Step::Suspend(class, index) => self.node(class, index).suspend(),
            Step::Resume(class, index) => self.node(class, index).resume(),
            Step::Reload(class, index) => self.node(class, index).reload(),
            Step::ChangeConfiguration => Ok(()),
        };
        applied.unwrap_or_else(|error| panic!("{step:?}: {error}\n{}", logs(&self.tier)));
    }
}

/// Changes the configuration once for each message, beginning on top of `generation`. Fails unless all are acknowledged.
async fn change_configurations(
    operator: Operator,
    mut generation: u64,
    mut changes: mpsc::UnboundedReceiver<()>,
) -> Result<(), String> {
    while changes.recv().await.is_some() {
        let next = generation + 1;
        let body = configuration(next);
        let status = operator.put(generation, &body, CHANGE_TIMEOUT).await;
        if !status.as_ref().is_ok_and(|status| status.is_success()) {
            return Err(format!("configuration {next}: {status:?}"));
        }
        generation = next;
    }
    Ok(())
}

/// Sends requests to one edge over the connections that it has open, until it is aborted.
async fn send_requests(edge: SocketAddr, answered: Arc<AtomicU64>) {
    let client = Client::new(edge);
    for number in 0_u64.. {
        let id = format!("soak-{edge}-{number}");
        let answer = client.get(example::HOST, "/stock/2f", &id).await;
        if answer.is_ok_and(|answer| answer.status == 200) {
            answered.fetch_add(1, Ordering::Relaxed);
        }
        sleep(REQUEST_INTERVAL).await;
    }
}

async fn play(seed: u32) -> u64 {
    let size = TierSize {
        edges: variable("SOAK_EDGES", 2) as u8,
        core: variable("SOAK_CORES", 3) as u8,
        storage: variable("SOAK_STORAGE", 3) as u8,
    };
    let network = variable("SOAK_NETWORK", 61) as u8;
    let tier = Tier::start(&built_programs(), network, size).expect("a tier");
    let _replicas = bring_up(&tier).await;
    let answered = Arc::new(AtomicU64::new(0));
    let clients: Vec<JoinHandle<()>> = tier
        .edge_addresses()
        .into_iter()
        .map(|edge| tokio::spawn(send_requests(edge, Arc::clone(&answered))))
        .collect();
    let mut soak = Soak {
        tier,
        size,
        random: Rand32::new(u64::from(seed)),
        generation: 1,
        disturbed_at: Instant::now(),
    };
    for round in 0..ROUNDS {
        soak.play_round(round, seed).await;
    }
    clients.iter().for_each(JoinHandle::abort);
    answered.load(Ordering::Relaxed)
}

#[tokio::test]
async fn no_request_reaches_a_replica_long_after_its_departure_was_acknowledged() {
    let first = variable("SOAK_FIRST_SEED", 0);
    for seed in first..first + variable("SOAK_SEEDS", 2) {
        let answered = play(seed).await;
        println!("seed {seed}: {answered} requests answered");
        assert!(answered > 0, "seed {seed}");
    }
}
