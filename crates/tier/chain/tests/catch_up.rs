//! Catch-up of a member that has missed changes, under continuous writes and with limited rates of links and disks.
//!
//! The tests run on simulated time. Each case writes continuously, kills one member, restarts it after a number
//! of changes, and waits until it is active in the chain. Then one head after the other is killed, so that an
//! outdated state of a new head would be detected. At the end, every machine must have every acknowledged change.

mod simulation;

use std::time::Duration;

use simulation::capacity::{Capacity, state_bytes};
use simulation::world::{InjectedBug, World};
use woadreach_chain::{
    AppliedConfiguration, Blob, Command, Input, PutConfiguration, Request, RequestId, WritePosition,
};

/// Write rate of a disk in bytes per second: 120 MB/s.
const DISK_RATE: u64 = 120_000_000;
/// Rate of a fast link in bytes per second: 1,000 Mbit/s.
const FAST_LINK: u64 = 125_000_000;
/// Rate of a slow link in bytes per second: 30 Mbit/s.
const SLOW_LINK: u64 = 3_750_000;
/// Size of a small configuration in bytes.
const SMALL: usize = 1_000;
/// Size of a large configuration in bytes.
const LARGE: usize = 4 << 20;
/// Interval between small changes. A large change begins as soon as the previous one is committed.
const SMALL_CHANGE_INTERVAL: Duration = Duration::from_millis(50);
const STEP: Duration = Duration::from_millis(5);
/// Time-out for each condition that a test waits for.
const TIMEOUT: Duration = Duration::from_secs(300);

/// Writes one change after the other.
struct Writer {
    body: Blob,
    interval: Duration,
    next_at: Duration,
    /// Changes that are known to be committed, oldest first.
    acknowledged: Vec<AppliedConfiguration>,
    /// The change in flight, and the time at which it was last sent. That time is zero before the first sending.
    sent: Option<(PutConfiguration, Duration)>,
}

impl Writer {
    fn new(bytes: usize, interval: Duration) -> Writer {
        let body = Blob::from(vec![7; bytes]);
        Writer {
            body,
            interval,
            next_at: Duration::ZERO,
            acknowledged: Vec::new(),
            sent: None,
        }
    }

    fn generation(&self) -> u64 {
        self.acknowledged
            .last()
            .map_or(0, |applied| applied.generation)
    }

    fn step(&mut self, world: &mut World) {
        if let Some((put, _)) = &self.sent {
            let applied = AppliedConfiguration {
                generation: put.generation,
                digest: put.digest,
            };
            if head_has_committed(world, put.generation) {
                self.acknowledged.push(applied);
                self.sent = None;
            }
        }
        if self.sent.is_none() && world.now >= self.next_at {
            let generation = self.generation() + 1;
            let mut digest = [0; 16];
            digest[..8].copy_from_slice(&generation.to_le_bytes());
            let put = PutConfiguration {
                base: generation - 1,
                generation,
                digest,
                body: self.body.clone(),
            };
            self.sent = Some((put, Duration::ZERO));
            self.next_at = world.now + self.interval;
        }
        self.send(world);
    }

    /// Sends the change in flight to the head, and again if it is not committed after a second.
    fn send(&mut self, world: &mut World) {
        let Some((put, sent_at)) = &mut self.sent else {
            return;
        };
        if !sent_at.is_zero() && world.now - *sent_at < Duration::from_secs(1) {
            return;
        }
        let Some(head) = head(world) else { return };
        *sent_at = world.now;
        let request = Request::Submit(Command::PutConfiguration(put.clone()));
        world.input(head, Input::Request(RequestId(u64::MAX), request));
    }
}

fn head(world: &World) -> Option<usize> {
    (0..world.nodes.len()).find(|&node| {
        let member = world.nodes[node].member.as_ref();
        world.is_running(node) && member.is_some_and(|member| member.status(world.now).is_head)
    })
}

fn head_has_committed(world: &World, generation: u64) -> bool {
    let member = head(world).and_then(|head| world.nodes[head].member.as_ref());
    member.is_some_and(|member| member.published().generation() >= generation)
}

fn is_active(world: &World, node: usize) -> bool {
    world.nodes[node].member.as_ref().is_some_and(|member| {
        let durable = member.durable();
        durable.view.epoch > 0
            && durable.view.chain.contains(&member.id())
            && durable.active_epoch == durable.view.epoch
            && !durable.is_sealed()
    })
}

fn published(world: &World, node: usize) -> WritePosition {
    world.nodes[node]
        .member
        .as_ref()
        .map(|member| member.published().position)
        .unwrap_or_default()
}

/// Writes until `is_done` is true. Returns the time that it took; `None` after [`TIMEOUT`].
fn write_until(
    world: &mut World,
    writer: &mut Writer,
    is_done: impl Fn(&World, &Writer) -> bool,
) -> Option<Duration> {
    let started = world.now;
    while !is_done(world, writer) {
        if world.now - started > TIMEOUT {
            return None;
        }
        let next = world.now + STEP;
        world.run_until(next);
        writer.step(world);
    }
    Some(world.now - started)
}

/// A fault while the member catches up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fault {
    /// The member is killed, loses some of its unsynced records, and restarts.
    Killed,
    /// The member's disk stalls for three seconds.
    DiskStalls,
    /// The head is killed, unless it is the member, and restarts two seconds later.
    HeadKilled,
}

#[derive(Clone, Copy, Debug)]
struct Case {
    seed: u64,
    /// Rate of each link in bytes per second.
    link_rate: u64,
    /// Size of each change in bytes.
    bytes: usize,
    /// Number of changes that the member misses.
    missed: u64,
    /// Position in the chain of the member that is killed and restarted.
    position: usize,
    /// A fault during the catch-up, and the time from the member's restart to the fault.
    fault: Option<(Fault, Duration)>,
    /// A disabled safeguard.
    bug: Option<InjectedBug>,
    /// Injected bug: heartbeats are queued behind long messages.
    has_one_queue: bool,
}

impl Case {
    fn new(link_rate: u64, bytes: usize, missed: u64, position: usize) -> Case {
        let seed = 1 + position as u64;
        Case {
            seed,
            link_rate,
            bytes,
            missed,
            position,
            fault: None,
            bug: None,
            has_one_queue: false,
        }
    }
}

/// Measurements of one case.
#[derive(Debug, Default)]
struct CatchUp {
    /// Time from the start of the measurement until the member has the state that was the newest at that start. The
    /// measurement starts at the member's restart or, in a case with a fault, once the fault has been injected.
    to_state: Duration,
    /// Time from the same start until the member is active in the chain.
    to_active: Duration,
    /// Largest number of bytes that were queued at one machine.
    max_backlog_bytes: u64,
    /// Bytes sent between machines since the member's restart.
    sent_bytes: u64,
    /// Size of the member's state at the end.
    state_bytes: u64,
}

fn all_active(world: &World) -> bool {
    (0..world.nodes.len()).all(|node| is_active(world, node))
}

fn simulate(case: Case) -> Result<CatchUp, String> {
    let mut world = World::new(case.seed, 3, 0, 1, case.bug);
    world.are_faults_over = true;
    world.operators.is_stopped = true;
    let mut capacity = Capacity::new(case.link_rate, DISK_RATE);
    capacity.has_one_queue = case.has_one_queue;
    world.capacity = Some(capacity);
    let interval = if case.bytes == SMALL {
        SMALL_CHANGE_INTERVAL
    } else {
        Duration::ZERO
    };
    let mut writer = Writer::new(case.bytes, interval);
    write_until(&mut world, &mut writer, |world, writer| {
        all_active(world) && writer.generation() >= 3
    })
    .ok_or("the core did not start")?;
    let restarted = node_at(&world, case.position);
    world.kill(restarted);
    let target = writer.generation() + case.missed;
    write_until(&mut world, &mut writer, |_, writer| {
        writer.generation() >= target
    })
    .ok_or("no writes while the member is down")?;

    let capacity = world.capacity.as_mut().expect("set above");
    (capacity.max_backlog_bytes, capacity.sent_bytes) = (0, 0);
    world.start(restarted);
    if let Some((fault, after)) = case.fault {
        write_for(&mut world, &mut writer, after);
        inject_fault(&mut world, &mut writer, restarted, fault);
    }
    let newest = (0..3)
        .map(|node| published(&world, node))
        .max()
        .expect("members");
    let to_state = write_until(&mut world, &mut writer, |world, _| {
        published(world, restarted) >= newest
    });
    let to_active = write_until(&mut world, &mut writer, |world, _| {
        is_active(world, restarted)
    });
    let (Some(to_state), Some(rest)) = (to_state, to_active) else {
        return Err(format!(
            "member not active after {TIMEOUT:?}; caught up after {to_state:?}"
        ));
    };
    let capacity = world.capacity.as_ref().expect("set above");
    let (max_backlog_bytes, sent_bytes) = (capacity.max_backlog_bytes, capacity.sent_bytes);
    check_leadership(&mut world, &mut writer)?;
    let member = world.nodes[restarted]
        .member
        .as_ref()
        .expect("a running process");
    Ok(CatchUp {
        to_state,
        to_active: to_state + rest,
        max_backlog_bytes,
        sent_bytes,
        state_bytes: state_bytes(member.latest()),
    })
}

fn write_for(world: &mut World, writer: &mut Writer, length: Duration) {
    let end = world.now + length;
    write_until(world, writer, |world, _| world.now >= end);
}

fn inject_fault(world: &mut World, writer: &mut Writer, restarted: usize, fault: Fault) {
    match fault {
        Fault::Killed => {
            world.kill(restarted);
            world.start(restarted);
        }
        Fault::DiskStalls => {
            world.nodes[restarted].is_disk_stalled = true;
            write_for(world, writer, Duration::from_secs(3));
            world.nodes[restarted].is_disk_stalled = false;
        }
        Fault::HeadKilled => {
            let Some(killed) = head(world).filter(|&head| head != restarted) else {
                return;
            };
            world.kill(killed);
            write_for(world, writer, Duration::from_secs(2));
            world.start(killed);
        }
    }
}

fn node_at(world: &World, position: usize) -> usize {
    let member = world.nodes[0].member.as_ref().expect("a running process");
    let address = member.durable().view.chain[position].address;
    world
        .nodes
        .iter()
        .position(|node| node.address == address)
        .expect("a machine")
}

/// Kills one head after the other, so that each member becomes head. At the end, every machine must have every
/// acknowledged change.
fn check_leadership(world: &mut World, writer: &mut Writer) -> Result<(), String> {
    for _ in 0..3 {
        write_until(world, writer, |world, _| {
            all_active(world) && head(world).is_some()
        })
        .ok_or("not all members became active")?;
        let affected = head(world).expect("a head, as waited for");
        world.kill(affected);
        let target = writer.generation() + 2;
        write_until(world, writer, |_, writer| writer.generation() >= target)
            .ok_or("no writes after the head was killed")?;
        world.start(affected);
    }
    let acknowledged = writer.generation();
    let is_up_to_date = |world: &World, _: &Writer| {
        all_active(world) && (0..3).all(|node| generation(world, node) >= acknowledged)
    };
    write_until(world, writer, is_up_to_date).ok_or("a member's state is outdated at the end")?;
    for node in 0..3 {
        let applied = &world.nodes[node]
            .member
            .as_ref()
            .expect("a running process")
            .published()
            .applied;
        if !applied.starts_with(&writer.acknowledged[..acknowledged as usize]) {
            return Err(format!("machine {node} lacks acknowledged changes"));
        }
    }
    Ok(())
}

fn generation(world: &World, node: usize) -> u64 {
    world.nodes[node]
        .member
        .as_ref()
        .map_or(0, |member| member.published().generation())
}

/// The largest measurements of the three positions in the chain.
fn measure(link_rate: u64, bytes: usize, missed: u64) -> CatchUp {
    let mut worst = CatchUp::default();
    for position in 0..3 {
        let case = Case::new(link_rate, bytes, missed, position);
        let caught = simulate(case).unwrap_or_else(|fault| panic!("{case:?}: {fault}"));
        worst.to_state = worst.to_state.max(caught.to_state);
        worst.to_active = worst.to_active.max(caught.to_active);
        worst.max_backlog_bytes = worst.max_backlog_bytes.max(caught.max_backlog_bytes);
        worst.sent_bytes = worst.sent_bytes.max(caught.sent_bytes);
        worst.state_bytes = worst.state_bytes.max(caught.state_bytes);
    }
    println!("link {link_rate} bytes {bytes} missed {missed}: {worst:?}");
    worst
}

/// Numbers of large changes missed; 1,000 only if `WOADREACH_LONG` is set.
fn large_counts() -> &'static [u64] {
    let is_long = std::env::var_os("WOADREACH_LONG").is_some();
    if is_long {
        &[1, 10, 100, 1000]
    } else {
        &[1, 10, 100]
    }
}

#[test]
fn small_changes_missed() {
    for missed in [0, 1, 10, 100, 1000] {
        let caught = measure(FAST_LINK, SMALL, missed);
        assert!(caught.to_state <= Duration::from_millis(300), "{caught:?}");
        assert!(
            caught.to_active <= Duration::from_millis(1500),
            "{caught:?}"
        );
    }
}

#[test]
fn large_changes_missed() {
    for &missed in large_counts() {
        let caught = measure(FAST_LINK, LARGE, missed);
        assert!(caught.to_state <= Duration::from_millis(500), "{caught:?}");
        assert!(
            caught.to_active <= Duration::from_millis(2000),
            "{caught:?}"
        );
        assert!(
            caught.max_backlog_bytes <= 4 * caught.state_bytes,
            "{caught:?}"
        );
    }
}

#[test]
fn small_changes_missed_on_a_slow_link() {
    for missed in [1, 10, 100, 1000] {
        let caught = measure(SLOW_LINK, SMALL, missed);
        assert!(
            caught.to_active <= Duration::from_millis(1500),
            "{caught:?}"
        );
    }
}

/// The transmission of a change takes over a second, which is longer than the suspicion time-out.
#[test]
fn large_changes_missed_on_a_slow_link() {
    for missed in [1, 10, 100] {
        let caught = measure(SLOW_LINK, LARGE, missed);
        assert!(caught.to_active <= Duration::from_secs(12), "{caught:?}");
        assert!(
            caught.max_backlog_bytes <= 5 * caught.state_bytes,
            "{caught:?}"
        );
    }
}

#[test]
fn faults_at_any_moment_of_catching_up() {
    let mut longest = Duration::ZERO;
    for fault in [Fault::Killed, Fault::DiskStalls, Fault::HeadKilled] {
        for (number, bytes) in (0..15).flat_map(|number| [(number, SMALL), (number, LARGE)]) {
            let after = Duration::from_millis(90 * number);
            let position = number as usize % 3;
            let case = Case {
                fault: Some((fault, after)),
                ..Case::new(FAST_LINK, bytes, 10, position)
            };
            let caught = simulate(case).unwrap_or_else(|fault| panic!("{case:?}: {fault}"));
            longest = longest.max(caught.to_active);
        }
    }
    println!("longest after a fault: {longest:?}");
    assert!(longest <= Duration::from_secs(4), "{longest:?}");
}

#[test]
fn heartbeats_behind_long_messages_are_found() {
    let case = Case {
        has_one_queue: true,
        ..Case::new(SLOW_LINK, LARGE, 1, 0)
    };
    assert!(simulate(case).is_err());
}

#[cfg(feature = "mutations")]
#[test]
fn digests_lost_by_a_restart_are_found() {
    let bug = Some(InjectedBug::Member(
        woadreach_chain::Mutation::DigestsForgotten,
    ));
    // No change is missed, since a member that has missed one is sent the complete state, with its digests.
    let is_found = (0..3).any(|position| {
        simulate(Case {
            bug,
            ..Case::new(FAST_LINK, SMALL, 0, position)
        })
        .is_err()
    });
    assert!(is_found);
}
