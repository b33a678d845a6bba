//! A state of the tier: the machines, what the core knows of them, and a proxy that writes.

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
use woadreach_storage::write::Write;
use woadreach_storage::{StorageMember, StorageView};

use super::machine::Machine;

const PROGRAM: &str = "program";
const ANNOUNCE_INTERVAL: Duration = Duration::from_secs(1);
/// Time without announcements after which the core drops a machine whatever else happens.
const UNRESPONSIVE_TIMEOUT: Duration = Duration::from_secs(8);

/// A bug that is put into the tier, by what it leaves out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Mutation {
    /// The unchanged code.
    None,
    /// A source serves pages before it refuses writes under the view before.
    Seal,
    /// A machine that lost its disk keeps its identity.
    Identity,
    /// A machine says that it has pulled before it has.
    Pull,
    /// A write in a joint epoch needs no quorum of the next machines.
    NextQuorum,
}

/// One tier to search.
#[derive(Clone)]
pub(crate) struct World {
    /// Number of machines of the first view; those beyond it wait to join.
    pub current: u8,
    pub machines: u8,
    pub tolerated_losses: usize,
    pub mutation: Mutation,
    /// Whether the core hears each announcement at once, and a machine pulls from all sources that answer at
    /// once.
    pub is_coarse: bool,
    pub max_counts: Counts,
    pub started: Instant,
}

/// How often each thing has happened.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub(crate) struct Counts {
    pub views: u8,
    pub wipes: u8,
    pub restarts: u8,
    pub retirements: u8,
    pub timeouts: u8,
    pub writes: u8,
}

/// A write that the proxy has begun and that is not acknowledged yet.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct PendingWrite {
    request_id: String,
    /// Disks that have answered it under the epoch that the proxy knows, in ascending order.
    answered: Vec<u64>,
}

/// A state of the tier.
#[derive(Clone)]
pub(crate) struct Tier {
    machines: Vec<Arc<Machine>>,
    /// The last announcement that the core has of each machine; `None` for an unresponsive one.
    last_announcements: Vec<Option<Announcement>>,
    /// Views that the core has committed, newest last.
    views: Vec<StorageView>,
    /// View that the proxy knows, as a position in `views`.
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
    /// The core receives nothing more of a machine until it announces itself again.
    StopResponding(u8),
    Plan,
    Retire(u8),
    Learn(u8),
    ProxyLearns,
    Write,
    /// The proxy's write reaches a machine, and the answer the proxy.
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

    fn holder(&self, member: &StorageMember) -> Option<&Machine> {
        let machine = self
            .machines
            .iter()
            .find(|machine| machine.identity().node == member.node)?;
        (machine.node.disk() == member.disk).then_some(machine)
    }

    fn has_turn(&self, member: &StorageMember, request_id: &str) -> bool {
        let holder = self.holder(member);
        holder.is_some_and(|machine| {
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
            .filter(|member| self.holder(member).is_none())
            .count()
    }

    /// What the core knows, if every responsive machine has announced itself at each interval.
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

    /// Every machine that is responsive announces itself.
    fn hear_all(&mut self) {
        for (heard, machine) in self.last_announcements.iter_mut().zip(&self.machines) {
            if heard.is_some() {
                *heard = Some(machine.announcement());
            }
        }
    }

    fn planned(&self, world: &World) -> Option<StorageView> {
        let (now, announcements) = self.announcements(world);
        plan(now, self.view(), &announcements, world.tolerated_losses)
    }

    /// The write under the view that the proxy knows, with the answers so far.
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
            write.record_answer(view.epoch, *disk, Answer::Stored);
        }
        Some(write)
    }

    /// Computes the digests by which the state is compared with others.
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

    /// Disks may be lost while all that are in the view's present members are there.
    fn may_lose(&self, world: &World, index: u8) -> bool {
        let current: Vec<&StorageMember> = self.view().current.iter().collect();
        let identity = self.machines[usize::from(index)].identity();
        let is_there = self
            .view()
            .members()
            .iter()
            .any(|member| **member == identity);
        is_there
            && self.lost(&current) < world.tolerated_losses
            && self.lost(&self.view().members()) < world.tolerated_losses
    }

    fn check(&mut self, world: &World) {
        let view = self.view();
        let current = group(&view.current, PROGRAM, world.tolerated_losses);
        let lost = self.lost(&current);
        for request_id in &self.acknowledged {
            let holders = current
                .iter()
                .filter(|member| self.has_turn(member, request_id))
                .count();
            if holders + lost <= world.tolerated_losses {
                self.violation = Some("an acknowledged turn is on too few disks");
                return;
            }
            if self.views.iter().any(|view| self.denies(view, request_id)) {
                self.violation = Some("a reader is told that an acknowledged turn does not exist");
                return;
            }
        }
    }

    /// Whether a reader that knows `view` gets the answer of every machine that there is no such turn.
    fn denies(&self, view: &StorageView, request_id: &str) -> bool {
        view.members().iter().all(|member| {
            let operation = Operation::Find {
                request_id: request_id.to_owned(),
            };
            let answer = self
                .holder(member)
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
