//! Faults of core machines and edges, within what the core tolerates at a time.

use std::time::Duration;

use crate::common::view;
use crate::common::world::{Node, NodeState, World, core_address};

/// Time for which a machine counts as lost after its return.
const CATCH_UP: Duration = Duration::from_millis(4100);
/// Time between the start of a partition and the moment at which the machine reports that it is out of quorum.
const QUORUM_TIMEOUT: Duration = Duration::from_millis(900);

/// What ends, or changes, at a later time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Later {
    StartCore(usize),
    ResumeCore(usize),
    EndStall(usize),
    LoseQuorum(usize),
    EndPartition(usize),
    StartEdge(usize),
    ResumeEdge(usize),
}

pub(crate) struct Faults {
    /// What is due at which time.
    later: Vec<(Duration, Later)>,
    /// Time until which each core machine counts as lost; `None` for one that is not.
    lost_until: Vec<Option<Duration>>,
    /// Time of the last kill, start, pause or other event of a core machine.
    core_disturbed_at: Duration,
    /// Time of the last event of each edge.
    edge_disturbed_at: Vec<Duration>,
    is_traced: bool,
}

impl Faults {
    pub(crate) fn new(cores: usize, edges: usize, is_traced: bool) -> Self {
        Self {
            later: Vec::new(),
            lost_until: vec![None; cores],
            core_disturbed_at: Duration::ZERO,
            edge_disturbed_at: vec![Duration::ZERO; edges],
            is_traced,
        }
    }

    /// Time of the last event of the core or of `edge`, an ongoing pause included.
    pub(crate) fn disturbed_at(&self, world: &World, edge: usize) -> Duration {
        if world.edges[edge].is_paused {
            return world.now;
        }
        self.core_disturbed_at.max(self.edge_disturbed_at[edge])
    }

    pub(crate) fn core_disturbed_at(&self) -> Duration {
        self.core_disturbed_at
    }

    /// Number of core machines that do not answer calls.
    pub(crate) fn unresponsive_cores(&self, world: &World) -> u32 {
        let is_unresponsive = |core: &usize| {
            world.cores[*core].node_state != NodeState::Up || self.is_partitioned(*core)
        };
        (0..world.cores.len()).filter(is_unresponsive).count() as u32
    }

    /// Draws at most one fault for this step.
    pub(crate) fn draw(&mut self, world: &mut World) {
        match world.draw(100) {
            0 => self.kill_all_cores(world),
            1 | 2 => self.disturb_one_core(world),
            3..=6 => self.pause_edge(world),
            7 => self.kill_edge(world),
            _ => {}
        }
    }

    /// Applies what is due.
    pub(crate) fn end_due(&mut self, world: &mut World) {
        let now = world.now;
        let (due, later): (Vec<_>, Vec<_>) = self.later.drain(..).partition(|(at, _)| *at <= now);
        self.later = later;
        for (_, event) in due {
            self.trace(world, &format!("{event:?}"));
            self.apply(world, event);
        }
        for lost_until in &mut self.lost_until {
            *lost_until = lost_until.filter(|until| *until > now);
        }
    }

    fn apply(&mut self, world: &mut World, event: Later) {
        match event {
            Later::StartCore(core) => {
                world.restart_core(core);
                self.core_returned(world, core);
            }
            Later::ResumeCore(core) => {
                world.resume_core(core);
                self.core_returned(world, core);
            }
            Later::EndStall(core) => {
                world.set_disk_stalled(core, false);
                self.core_returned(world, core);
            }
            Later::LoseQuorum(core) => set_in_quorum(world, core, false),
            Later::EndPartition(core) => {
                for other in 0..world.cores.len() {
                    for (from, to) in [(core, other), (other, core)] {
                        world.partitions.remove(&(Node::Core(from), Node::Core(to)));
                    }
                }
                set_in_quorum(world, core, true);
                self.core_returned(world, core);
            }
            Later::StartEdge(edge) => {
                let seeds = (0..world.cores.len().min(3)).map(core_address).collect();
                world.restart_edge(edge, seeds);
                self.edge_disturbed_at[edge] = world.now;
            }
            Later::ResumeEdge(edge) => {
                let answers_are_late = world.draw(2) == 0;
                world.resume_edge(edge, answers_are_late);
                self.edge_disturbed_at[edge] = world.now;
            }
        }
    }

    fn core_returned(&mut self, world: &World, core: usize) {
        self.core_disturbed_at = world.now;
        // A machine that only returned with all others is not lost, but has to catch up if it was before.
        if self.lost_until[core].is_some() {
            self.lost_until[core] = Some(world.now + CATCH_UP);
        }
    }

    /// Kills every core process. The disks are kept, except that of one machine at times if no machine is lost.
    pub(crate) fn kill_all_cores(&mut self, world: &mut World) {
        let loses_disk = world.draw(3) == 0 && self.can_lose_one(world);
        let loser = world.draw(world.cores.len() as u32) as usize;
        self.trace(
            world,
            &format!("all core machines killed, loses disk: {loses_disk} {loser}"),
        );
        self.core_disturbed_at = world.now;
        for core in 0..world.cores.len() {
            // A paused process is killed, too; what was to end its pause is void.
            self.later.retain(|(_, event)| {
                !matches!(event, Later::ResumeCore(one) | Later::StartCore(one) if *one == core)
            });
            world.set_node_state(core, NodeState::Down);
            let back = world.now + Duration::from_millis(u64::from(100 + world.draw(850)));
            self.later.push((back, Later::StartCore(core)));
        }
        if loses_disk {
            world.lose_disk(loser);
            self.lost_until[loser] = Some(Duration::MAX);
        }
    }

    fn disturb_one_core(&mut self, world: &mut World) {
        let core = world.draw(world.cores.len() as u32) as usize;
        if !self.can_lose_one(world) || world.cores[core].node_state != NodeState::Up {
            return;
        }
        self.core_disturbed_at = world.now;
        self.lost_until[core] = Some(Duration::MAX);
        let end = world.now + Duration::from_millis(u64::from(300 + world.draw(4700)));
        let kind = world.draw(5);
        self.trace(world, &format!("core {core}: fault {kind} until {end:?}"));
        match kind {
            0 | 1 => {
                world.set_node_state(core, NodeState::Down);
                if kind == 1 {
                    world.lose_disk(core);
                }
                self.later.push((end, Later::StartCore(core)));
            }
            2 => {
                world.set_node_state(core, NodeState::Paused);
                self.later.push((end, Later::ResumeCore(core)));
            }
            3 => {
                world.set_disk_stalled(core, true);
                self.later.push((end, Later::EndStall(core)));
            }
            _ => {
                for other in (0..world.cores.len()).filter(|other| *other != core) {
                    world.partition_cores(core, other);
                }
                let unquorate = world.now + QUORUM_TIMEOUT;
                if unquorate < end {
                    self.later.push((unquorate, Later::LoseQuorum(core)));
                }
                self.later.push((end, Later::EndPartition(core)));
            }
        }
    }

    fn pause_edge(&mut self, world: &mut World) {
        let edge = world.draw(world.edges.len() as u32) as usize;
        if world.edges[edge].is_paused {
            return;
        }
        let end = world.now + Duration::from_millis(u64::from(300 + world.draw(3700)));
        self.trace(world, &format!("edge {edge} paused until {end:?}"));
        world.pause_edge(edge);
        self.later.push((end, Later::ResumeEdge(edge)));
    }

    /// Kills an edge, which starts again at once.
    fn kill_edge(&mut self, world: &mut World) {
        let edge = world.draw(world.edges.len() as u32) as usize;
        if !world.edges[edge].is_paused {
            self.trace(world, &format!("edge {edge} killed"));
            self.apply(world, Later::StartEdge(edge));
        }
    }

    /// Whether fewer machines are lost than may be: one of three, two of five.
    fn can_lose_one(&self, world: &World) -> bool {
        let lost = self.lost_until.iter().flatten().count();
        let all_are_back = !self
            .later
            .iter()
            .any(|(_, event)| matches!(event, Later::StartCore(_)));
        lost < (world.cores.len() - 1) / 2 && all_are_back
    }

    fn is_partitioned(&self, core: usize) -> bool {
        self.later
            .iter()
            .any(|(_, event)| *event == Later::EndPartition(core))
    }

    fn trace(&self, world: &World, text: &str) {
        if self.is_traced {
            println!("{:8.3} {text}", world.now.as_secs_f64());
        }
    }
}

fn set_in_quorum(world: &mut World, core: usize, in_quorum: bool) {
    let members = (0..world.cores.len()).map(core_address).collect();
    world.set_view(core, view(1, in_quorum, members));
}
