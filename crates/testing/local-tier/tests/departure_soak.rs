//! Seeded runs of real processes in which replicas depart while edges are suspended and core machines are killed,
//! suspended and lose their disks, beside changes of the configuration. Clients keep their connections open. Guards
//! against requests that edges send to a replica long after its departure was acknowledged.
//!
//! `SOAK_SEEDS` is the number of runs, `SOAK_FIRST_SEED` the first one; runs beside each other need different values of
//! `SOAK_NETWORK`. `SOAK_EDGES` and `SOAK_CORES` set the size of the tier.

mod support;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use oorandom::Rand32;
use support::{bring_up, configuration, logs};
use tokio::task::JoinHandle;
use tokio::time::{Instant, sleep, sleep_until};
use woadreach_local_tier::{
    Client, DepartureNotice, FakeReplica, MachineClass, Operator, ReplicaKind, Tier, TierSize,
    built_programs, example,
};

/// Time after the acknowledgement in which requests may still reach the replica.
const DRAIN_TIMEOUT: Duration = Duration::from_millis(2000);
/// Time without a fault after which machines are in touch.
const TOUCH: Duration = Duration::from_millis(3000);
/// Time for which requests are watched after all machines are in touch.
const WATCHED: Duration = Duration::from_millis(2500);
/// Time-out of a departure without an acknowledgement.
const ACKNOWLEDGEMENT_TIMEOUT: Duration = Duration::from_secs(10);
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

    fn draw_index(&mut self, class: MachineClass) -> u8 {
        let nodes = self.tier.nodes.iter();
        let count = nodes.filter(|node| node.spec.class == class).count();
        1 + self.draw(count as u32) as u8
    }

    fn draw_control(&mut self) -> SocketAddr {
        let control = self.tier.control();
        control[self.draw(control.len() as u32) as usize]
    }

    fn disturb(&mut self) {
        self.disturbed_at = Instant::now();
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
        let edge = self.draw_index(MachineClass::Edge);
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
        sleep(self.draw_millis(0, 200)).await;
        self.draw_faults().await;
        sleep_until(suspended_at + self.draw_millis(1500, 4000)).await;
        self.node(MachineClass::Edge, edge)
            .resume()
            .expect("resumed");
        self.disturb();
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

    fn node(&mut self, class: MachineClass, index: u8) -> &mut woadreach_local_tier::NodeProcess {
        self.tier.node(class, index).expect("a machine of the tier")
    }

    /// One to three faults or changes in series, the first a kill of all core machines in half of the cases.
    async fn draw_faults(&mut self) {
        let mut may_lose_disk = true;
        if self.draw(2) == 0 {
            may_lose_disk = !self.kill_all_cores().await;
        }
        for _ in 0..self.draw(3) {
            match self.draw(5) {
                0 if may_lose_disk => {
                    may_lose_disk = false;
                    let core = self.draw_index(MachineClass::Core);
                    self.restart(MachineClass::Core, core, true).await;
                }
                1 if may_lose_disk => {
                    may_lose_disk = false;
                    let core = self.draw_index(MachineClass::Core);
                    self.node(MachineClass::Core, core)
                        .suspend()
                        .expect("suspended");
                    sleep(self.draw_millis(300, 1500)).await;
                    self.node(MachineClass::Core, core)
                        .resume()
                        .expect("resumed");
                }
                2 => {
                    let storage = self.draw_index(MachineClass::Storage);
                    self.restart(MachineClass::Storage, storage, false).await;
                }
                3 => self.change_configuration().await,
                _ => {
                    let edge = self.draw_index(MachineClass::Edge);
                    self.node(MachineClass::Edge, edge)
                        .reload()
                        .expect("signalled");
                }
            }
            self.disturb();
        }
    }

    /// Kills all core machines. Returns whether one of them has lost its disk.
    async fn kill_all_cores(&mut self) -> bool {
        let cores: Vec<u8> = self
            .tier
            .nodes
            .iter()
            .filter(|node| node.spec.class == MachineClass::Core)
            .map(|node| node.spec.index)
            .collect();
        let wiped = (self.draw(3) == 0).then(|| self.draw_index(MachineClass::Core));
        for core in &cores {
            self.node(MachineClass::Core, *core)
                .kill()
                .await
                .expect("killed");
        }
        sleep(self.draw_millis(50, 800)).await;
        for core in cores {
            self.restart(MachineClass::Core, core, wiped == Some(core))
                .await;
        }
        self.disturb();
        wiped.is_some()
    }

    async fn restart(&mut self, class: MachineClass, index: u8, wipe: bool) {
        let restarted = self.tier.restart(class, index, wipe).await;
        restarted.unwrap_or_else(|error| panic!("{error}\n{}", logs(&self.tier)));
    }

    async fn change_configuration(&mut self) {
        let next = self.generation + 1;
        let operator = Operator::new(self.tier.control());
        let timeout = Duration::from_secs(20);
        let status = operator
            .put(self.generation, &configuration(next), timeout)
            .await;
        assert!(
            status.is_ok_and(|status| status.is_success()),
            "{}",
            logs(&self.tier)
        );
        self.generation = next;
    }
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
        storage: 3,
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
