//! State of the model: the machines, their announcements to the core, the committed views, and a proxy that writes.

mod model;

use std::hash::{Hash, Hasher};
use std::sync::Arc;
use std::time::{Duration, Instant};

use woadreach_storage::announce::{Announcement, Announcements};
use woadreach_storage::message::{Answer, Operation};
use woadreach_storage::placement::group;
use woadreach_storage::pull::Pages;
use woadreach_storage::turn::TurnRecord;
use woadreach_storage::view::plan;
use woadreach_storage::write::{FollowUp, Write};
use woadreach_storage::{StorageMember, StorageView};

use super::machine::Machine;

const PROGRAM: &str = "program";
const ANNOUNCE_INTERVAL: Duration = Duration::from_secs(1);
/// Time without announcements after which the core treats a machine as unresponsive in every case.
const UNRESPONSIVE_TIMEOUT: Duration = Duration::from_secs(8);

/// Bug injected into the tier, named after the safeguard that it omits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Mutation {
    /// The unchanged code.
    None,
    /// A source serves pages before it refuses writes under the previous view.
    Seal,
    /// A machine whose disk was wiped keeps its disk identity.
    Identity,
    /// A machine announces a pull as finished before it is.
    Pull,
    /// A write in a joint epoch does not require a quorum of the next members.
    NextQuorum,
}

/// Deployment to explore, with the limits of the search.
#[derive(Clone)]
pub(crate) struct World {
    /// Number of machines in the first view; the others join later.
    pub current: u8,
    pub machines: u8,
    pub tolerated_losses: usize,
    pub mutation: Mutation,
    /// Whether the core receives announcements immediately, and a machine pulls from all available sources in one
    /// action. This reduces the number of states.
    pub is_coarse: bool,
    pub max_counts: Counts,
    pub started: Instant,
}

/// Number of actions of each kind in a run, or the limits of these numbers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub(crate) struct Counts {
    pub views: u8,
    pub wipes: u8,
    pub restarts: u8,
    pub retirements: u8,
    pub timeouts: u8,
    pub writes: u8,
}

/// Write of the proxy that is not acknowledged yet.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct PendingWrite {
    request_id: String,
    /// Disks that have stored the write under the proxy's epoch, in ascending order.
    answered: Vec<u64>,
}

/// State of the tier in the model.
#[derive(Clone)]
pub(crate) struct Tier {
    machines: Vec<Arc<Machine>>,
    /// Last announcement that the core received from each machine; `None` for an unresponsive machine.
    last_announcements: Vec<Option<Announcement>>,
    /// Views that the core has committed, newest last.
    views: Vec<StorageView>,
    /// Index in `views` of the proxy's view.
    proxy: usize,
    /// The proxy's write in flight.
    write: Option<PendingWrite>,
    acknowledged: Vec<String>,
    counts: Counts,
    pub violation: Option<&'static str>,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Action {
    Announce(u8),
    /// The core receives no further announcements from a machine until the machine announces itself again.
    StopResponding(u8),
    Plan,
    Retire(u8),
    Learn(u8),
    ProxyLearns,
    Write,
    /// A machine receives the proxy's write, and the proxy receives the answer.
    Put(u8),
    Pull {
        to: u8,
        from: u8,
    },
    PullFromAll(u8),
    Restart(u8),
    Wipe(u8),
}

impl Hash for Tier {
    fn hash<H: Hasher>(&self, state: &mut H) {
        self.machines
            .iter()
            .for_each(|machine| machine.digest().hash(state));
        format!("{:?} {:?}", self.last_announcements, self.views.last()).hash(state);
        (
            self.views.len(),
            self.proxy,
            &self.write,
            &self.acknowledged,
            self.counts,
        )
            .hash(state);
    }
}

impl PartialEq for Tier {
    fn eq(&self, other: &Tier) -> bool {
        let digests = |tier: &Tier| {
            tier.machines
                .iter()
                .map(|one| one.digest())
                .collect::<Vec<_>>()
        };
        digests(self) == digests(other)
            && self.last_announcements == other.last_announcements
            && self.views == other.views
            && (self.proxy, &self.write, &self.acknowledged, self.counts)
                == (other.proxy, &other.write, &other.acknowledged, other.counts)
    }
}

impl std::fmt::Debug for Tier {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        for machine in &self.machines {
            let names: Vec<&str> = machine.node.store().names().collect();
            let epoch = machine.node.view().epoch;
            writeln!(
                formatter,
                "disk {} epoch {epoch} has {names:?}",
                machine.node.disk()
            )?;
        }
        write!(formatter, "{:?} {:?}", self.views.last(), self.acknowledged)
    }
}

fn turn_record(request_id: &str) -> TurnRecord {
    TurnRecord {
        program: PROGRAM.to_owned(),
        session: String::new(),
        request_id: request_id.to_owned(),
        previous: None,
        retention_ms: 60_000,
        content: Vec::new(),
    }
}

impl Tier {
    fn view(&self) -> &StorageView {
        self.views.last().expect("the first view")
    }

    fn machine(&mut self, index: u8) -> &mut Machine {
        Arc::make_mut(&mut self.machines[usize::from(index)])
    }

    fn machine_of(&self, member: &StorageMember) -> Option<&Machine> {
        let machine = self
            .machines
            .iter()
            .find(|machine| machine.identity().node == member.node)?;
        (machine.node.disk() == member.disk).then_some(machine)
    }

    fn has_turn(&self, member: &StorageMember, request_id: &str) -> bool {
        let machine = self.machine_of(member);
        machine.is_some_and(|machine| {
            !machine
                .node
                .store()
                .chain(PROGRAM, request_id, 1)
                .is_empty()
        })
    }

    fn lost(&self, members: &[&StorageMember]) -> usize {
        members
            .iter()
            .filter(|member| self.machine_of(member).is_none())
            .count()
    }

    /// The core's announcements at a time when each responsive machine has announced itself at every interval.
    fn announcements(&self, world: &World) -> (Instant, Announcements) {
        let end = world.started + UNRESPONSIVE_TIMEOUT;
        let mut now = world.started;
        let mut announcements = Announcements::new(now);
        while now <= end {
            for announcement in self.last_announcements.iter().flatten() {
                announcements.record(now, announcement.clone());
            }
            now += ANNOUNCE_INTERVAL;
        }
        (end, announcements)
    }

    /// The core receives the announcement of every responsive machine.
    fn announce_all(&mut self) {
        for (last, machine) in self.last_announcements.iter_mut().zip(&self.machines) {
            if last.is_some() {
                *last = Some(machine.announcement());
            }
        }
    }

    fn planned(&self, world: &World) -> Option<StorageView> {
        let (now, announcements) = self.announcements(world);
        plan(now, self.view(), &announcements, world.tolerated_losses)
    }

    /// Rebuilds the proxy's write under its view, with the answers received so far.
    fn write_in_flight(&self, world: &World) -> Option<Write> {
        let PendingWrite {
            request_id,
            answered,
        } = self.write.as_ref()?;
        let mut view = self.views[self.proxy].clone();
        if world.mutation == Mutation::NextQuorum {
            view.next = None;
        }
        let operation = put_operation(request_id);
        let mut write = Write::new(&view, PROGRAM.to_owned(), operation, world.tolerated_losses);
        for disk in answered {
            let follow_up = write.record_answer(view.epoch, *disk, Answer::Stored);
            assert_eq!(follow_up, FollowUp::None);
        }
        Some(write)
    }

    /// Computes the missing machine digests, by which states are compared.
    fn compute_digests(&mut self) {
        for machine in self
            .machines
            .iter_mut()
            .filter(|machine| !machine.has_digest())
        {
            Arc::make_mut(machine).compute_digest();
        }
    }

    fn put(&mut self, world: &World, index: u8) {
        let Some(write) = self.write_in_flight(world) else {
            return;
        };
        let (epoch, operation) = (write.epoch(), write.operation().clone());
        let node = self.machines[usize::from(index)].identity().node;
        let Some(member) = write.members().iter().find(|member| member.node == node) else {
            return;
        };
        let disk = member.disk;
        let answer = self.machine(index).request(epoch, disk, operation);
        if answer != Answer::Stored {
            return;
        }
        let Some(pending) = &mut self.write else {
            return;
        };
        if !pending.answered.contains(&disk) {
            pending.answered.push(disk);
            pending.answered.sort_unstable();
        }
        let request_id = pending.request_id.clone();
        if self
            .write_in_flight(world)
            .is_some_and(|write| write.is_durable())
        {
            self.acknowledged.push(request_id);
            self.write = None;
        }
    }

    fn pull(&mut self, world: &World, to: u8, from: u8) {
        let epoch = self.machines[usize::from(to)].node.view().epoch;
        let node = self.machines[usize::from(to)].identity().node;
        let source = Arc::clone(&self.machines[usize::from(from)]);
        let mut pages = Pages::default();
        while let Some(operation) = pages.next_request(&node) {
            let epoch = if world.mutation == Mutation::Seal {
                source.node.view().epoch
            } else {
                epoch
            };
            let answer = source.read(epoch, source.node.disk(), operation);
            let store = self.machines[usize::from(to)].node.store();
            let Some(records) = pages.accept_answer(store, answer) else {
                return;
            };
            self.machine(to).store_pulled(records);
        }
        let disk = source.node.disk();
        self.machine(to).finished_source(disk);
    }

    fn can_pull(&self, to: u8, from: u8) -> bool {
        let machine = &self.machines[usize::from(to)];
        let disk = self.machines[usize::from(from)].node.disk();
        let view = machine.node.view();
        to != from
            && view.is_current(disk)
            && machine
                .pull
                .as_ref()
                .is_some_and(|pull| !pull.has_finished(disk))
    }

    /// Whether a disk of the view may be wiped without exceeding the tolerated losses in current or all members.
    fn may_lose(&self, world: &World, index: u8) -> bool {
        let current: Vec<&StorageMember> = self.view().current.iter().collect();
        let identity = self.machines[usize::from(index)].identity();
        let is_member = self
            .view()
            .members()
            .iter()
            .any(|member| **member == identity);
        is_member
            && self.lost(&current) < world.tolerated_losses
            && self.lost(&self.view().members()) < world.tolerated_losses
    }

    fn check(&mut self, world: &World) {
        let view = self.view();
        let current = group(&view.current, PROGRAM, world.tolerated_losses);
        let lost = self.lost(&current);
        for request_id in &self.acknowledged {
            let replicas = current
                .iter()
                .filter(|member| self.has_turn(member, request_id))
                .count();
            if replicas + lost <= world.tolerated_losses {
                self.violation = Some("an acknowledged turn is on too few disks");
                return;
            }
            if self.views.iter().any(|view| self.denies(view, request_id)) {
                self.violation = Some("a reader is told that an acknowledged turn does not exist");
                return;
            }
        }
    }

    /// Whether every member of `view` answers a reader that it does not store the turn.
    fn denies(&self, view: &StorageView, request_id: &str) -> bool {
        view.members().iter().all(|member| {
            let operation = Operation::Find {
                request_id: request_id.to_owned(),
            };
            let answer = self
                .machine_of(member)
                .map(|machine| machine.read(view.epoch, member.disk, operation));
            matches!(answer, Some(Answer::Found { programs }) if programs.is_empty())
        })
    }
}

fn put_operation(request_id: &str) -> Operation {
    Operation::PutTurns {
        program: PROGRAM.to_owned(),
        turns: vec![turn_record(request_id)],
        settlement: None,
    }
}
