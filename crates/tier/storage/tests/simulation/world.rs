//! Events, network and workload of one run.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::sync::Arc;
use std::time::{Duration, Instant};

use oorandom::Rand64;
use woadreach_journal::SimulatedDisk;
use woadreach_storage::announce::Announcement;
use woadreach_storage::message::{Answer, FencingToken, Operation, Request, Response, Settlement};
use woadreach_storage::operation::Write;
use woadreach_storage::pull::{Pages, Pull};
use woadreach_storage::turn::TurnRecord;
use woadreach_storage::{StorageView, TurnKey};

use super::core::Core;
use super::faults::Fault;
use super::final_fault::FinalFault;
use super::machine::{Caller, Machine, Pulling, Source};
use super::oracle::{Attempt, Oracle};
use super::proxy::{Job, JobId, Proxy, Purpose, Read, ReadFailure, Work};

/// Mutated bug.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Mutation {
    None,
    EndBeforeSync,
    OneReplicaTooFew,
    ReservationInMemory,
    JointEpochEndsEarly,
    WipedMachineCounts,
    Unfenced,
    /// A process that is told to stop ends at once.
    StopsAtOnce,
}

const MS: Duration = Duration::from_millis(1);
const RESERVE_TIMEOUT: Duration = Duration::from_millis(600);
const PUT_TIMEOUT: Duration = Duration::from_millis(2_000);
const READ_TIMEOUT: Duration = Duration::from_millis(1_200);
const RETRY_TIMEOUT: Duration = Duration::from_secs(8);
const CALL_TIMEOUT: Duration = Duration::from_millis(500);
const RESEND_INTERVAL: Duration = Duration::from_millis(150);
const START_OF_TRAFFIC: Duration = Duration::from_secs(3);
/// After this the proxies' background tries have ended too.
const SETTLED_AFTER: Duration = Duration::from_secs(12);

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Endpoint {
    Machine(usize),
    Proxy(usize),
}

pub(crate) enum Event {
    Request {
        to: usize,
        call: u64,
        request: Request,
    },
    Response {
        call: u64,
        response: Response,
    },
    Silence {
        call: u64,
    },
    SyncDone {
        machine: usize,
        incarnation: u64,
    },
    Announce {
        machine: usize,
        incarnation: u64,
    },
    Announced(Announcement),
    Plan,
    Commit(StorageView),
    View {
        to: Endpoint,
        view: StorageView,
    },
    Turn,
    EndOfTurn {
        proxy: usize,
        program: usize,
        id: u64,
    },
    Resend {
        proxy: usize,
        job: JobId,
    },
    Deadline {
        proxy: usize,
        job: JobId,
    },
    Fault(Fault),
    LastReads,
}

#[derive(Debug, Clone, Copy)]
enum CallFor {
    Job {
        proxy: usize,
        job: JobId,
        round: u64,
    },
    Pull {
        machine: usize,
        incarnation: u64,
    },
}

struct Call {
    purpose: CallFor,
    epoch: u64,
    disk: u64,
}

struct Program {
    name: String,
    budget: u64,
    turns: u64,
    last: Option<TurnKey>,
}

pub(crate) struct World {
    pub now: Duration,
    pub random: Rand64,
    pub mutation: Mutation,
    pub tolerated: usize,
    pub machines: Vec<Machine>,
    pub core: Core,
    pub proxies: Vec<Proxy>,
    pub oracle: Oracle,
    /// Until when each of the tolerated losses is used up.
    pub losses: Vec<Duration>,
    pub end_of_faults: Duration,
    pub after_ack_share: u64,
    pub final_fault: FinalFault,
    /// The run is about changes of the membership.
    pub churn: bool,
    /// Proxies hear of new views late.
    late_views: bool,
    events: BinaryHeap<Reverse<(Duration, u64)>>,
    scheduled: BTreeMap<u64, Event>,
    held: BTreeMap<usize, Vec<Event>>,
    next_number: u64,
    calls: BTreeMap<u64, Call>,
    programs: Vec<Program>,
    committing: bool,
    traced: bool,
    pub violation: Option<String>,
}

impl World {
    pub(crate) fn new(seed: u64, mutation: Mutation) -> World {
        let mut random = Rand64::new(u128::from(seed));
        let tolerated = if random.rand_range(0..5) == 0 { 2 } else { 1 };
        let machines = 2 * tolerated + 1 + random.rand_range(0..2) as usize;
        let proxies = random.rand_range(2..4) as usize;
        let programs = random.rand_range(2..6);
        let traffic = Duration::from_millis(random.rand_range(4_000..14_000));
        let mut world = World {
            now: Duration::ZERO,
            mutation,
            tolerated,
            machines: Vec::new(),
            core: Core::new(Instant::now()),
            proxies: (0..proxies)
                .map(|_| Proxy {
                    view: Arc::default(),
                    jobs: BTreeMap::new(),
                })
                .collect(),
            oracle: Oracle::default(),
            losses: vec![Duration::ZERO; tolerated],
            end_of_faults: START_OF_TRAFFIC + traffic,
            after_ack_share: if random.rand_range(0..2) == 0 {
                0
            } else {
                random.rand_range(5..40)
            },
            final_fault: FinalFault::Never,
            churn: random.rand_range(0..4) == 0,
            late_views: random.rand_range(0..3) == 0,
            events: BinaryHeap::new(),
            scheduled: BTreeMap::new(),
            held: BTreeMap::new(),
            next_number: 1,
            calls: BTreeMap::new(),
            programs: (0..programs)
                .map(|number| program(number, &mut random))
                .collect(),
            committing: false,
            traced: std::env::var_os("STORAGE_TRACE").is_some(),
            violation: None,
            random,
        };
        for _ in 0..machines {
            world.add_machine();
        }
        world.after(Duration::from_millis(100), Event::Plan);
        world.at(START_OF_TRAFFIC, Event::Turn);
        let first_fault = START_OF_TRAFFIC + world.millis(100, 2_000);
        if !has_only_planned_work(seed) {
            world.at(first_fault, Event::Fault(Fault::Draw));
        }
        if has_planned_work(seed) {
            world.at(first_fault, Event::Fault(Fault::DrawPlanned));
        }
        let last_reads = world.end_of_faults + SETTLED_AFTER;
        world.at(last_reads, Event::LastReads);
        world
    }

    pub(crate) fn run(mut self) -> Result<(), String> {
        let end = self.end_of_faults + SETTLED_AFTER + READ_TIMEOUT * 2;
        while let Some(Reverse((time, number))) = self.events.pop() {
            if time > end || self.violation.is_some() {
                break;
            }
            self.now = time;
            let event = self
                .scheduled
                .remove(&number)
                .expect("every number has an event");
            self.play(event);
        }
        match self.violation {
            Some(violation) => Err(format!("{violation} at {:?}", self.now)),
            None => Ok(()),
        }
    }

    pub(crate) fn chance(&mut self, one_in: u64) -> bool {
        self.random.rand_range(0..one_in) == 0
    }

    pub(crate) fn millis(&mut self, from: u64, to: u64) -> Duration {
        Duration::from_micros(self.random.rand_range(from * 1_000..to * 1_000))
    }

    pub(crate) fn at(&mut self, time: Duration, event: Event) {
        let number = self.number();
        self.events.push(Reverse((time, number)));
        self.scheduled.insert(number, event);
    }

    pub(crate) fn after(&mut self, delay: Duration, event: Event) {
        self.at(self.now + delay, event);
    }

    fn number(&mut self) -> u64 {
        self.next_number += 1;
        self.next_number
    }

    fn violated(&mut self, outcome: Result<(), String>) {
        if let Err(violation) = outcome {
            self.violation.get_or_insert(violation);
        }
    }

    // Machines

    pub(crate) fn add_machine(&mut self) -> usize {
        let index = self.machines.len();
        let zone = self.random.rand_range(0..4);
        self.machines.push(Machine {
            node: format!("store-{index}"),
            zone: format!("zone-{zone}"),
            address: ([10, 0, 0, index as u8], 7_000).into(),
            disk: SimulatedDisk::default(),
            identity: 0,
            incarnation: 0,
            process: None,
            frozen: false,
            cut_out: false,
            cut_in: false,
            stalled: false,
            removed: false,
            stop: None,
        });
        self.start_machine(index);
        index
    }

    pub(crate) fn start_machine(&mut self, index: usize) {
        if self.machines[index].removed || self.machines[index].process.is_some() {
            return;
        }
        self.machines[index].start(self.now, self.tolerated, &mut self.random, self.mutation);
        let incarnation = self.machines[index].incarnation;
        self.after(
            MS,
            Event::Announce {
                machine: index,
                incarnation,
            },
        );
        self.start_pull(index);
        self.disk_work(index);
    }

    pub(crate) fn kill_machine(&mut self, index: usize, power: bool) {
        self.machines[index].kill(&mut self.random, power);
        self.held.remove(&index);
    }

    pub(crate) fn thaw(&mut self, index: usize) {
        self.machines[index].frozen = false;
        for event in self.held.remove(&index).unwrap_or_default() {
            self.after(Duration::ZERO, event);
        }
    }

    /// Begins a sync if one is due.
    fn disk_work(&mut self, index: usize) {
        if self.machines[index].begin_sync() {
            let incarnation = self.machines[index].incarnation;
            let delay = self.millis(1, 9);
            self.after(
                delay,
                Event::SyncDone {
                    machine: index,
                    incarnation,
                },
            );
        }
    }

    pub(crate) fn unstall(&mut self, index: usize) {
        self.machines[index].stalled = false;
        self.disk_work(index);
    }

    fn start_pull(&mut self, index: usize) {
        let Some(process) = self.machines[index].process.as_mut() else {
            return;
        };
        let view = process.member.view().clone();
        let own = process.member.disk();
        process.pulling = None;
        if !view.next.iter().flatten().any(|member| member.disk == own) {
            return;
        }
        let sources = view.current.iter().filter(|member| member.disk != own);
        let source = |member: &woadreach_storage::StorageMember| Source {
            member: member.clone(),
            pages: Pages::default(),
            unsynced: 0,
            done: false,
        };
        let progress = Pull::new(&view, own, self.tolerated);
        let sources: Vec<Source> = sources.map(source).collect();
        let disks: Vec<u64> = sources.iter().map(|source| source.member.disk).collect();
        process.pulling = Some(Pulling {
            progress,
            sources,
            finishing: false,
        });
        for disk in disks {
            self.pull_next(index, disk);
        }
        self.check_pull(index);
    }

    /// Asks a source for its next page, or notes that it is done.
    fn pull_next(&mut self, index: usize, disk: u64) {
        let machine = &mut self.machines[index];
        let (node, incarnation) = (machine.node.clone(), machine.incarnation);
        let Some(pulling) = machine
            .process
            .as_mut()
            .and_then(|process| process.pulling.as_mut())
        else {
            return;
        };
        let epoch = pulling.progress.epoch();
        let Some(source) = pulling
            .sources
            .iter_mut()
            .find(|source| source.member.disk == disk)
        else {
            return;
        };
        if source.unsynced > 0 || source.done {
            return;
        }
        let Some(operation) = source.pages.next_request(&node) else {
            source.done = true;
            pulling.progress.record_finished(disk);
            return self.check_pull(index);
        };
        let member = source.member.clone();
        let request = Request {
            fencing_token: FencingToken { epoch, disk },
            operation,
        };
        self.send(
            Endpoint::Machine(index),
            &member.address,
            request,
            CallFor::Pull {
                machine: index,
                incarnation,
            },
        );
    }

    fn check_pull(&mut self, index: usize) {
        let now = self.now;
        let machine = &mut self.machines[index];
        let Some(process) = machine.process.as_mut() else {
            return;
        };
        let Some(pulling) = process.pulling.as_mut() else {
            return;
        };
        if pulling.finishing || !pulling.progress.is_complete() {
            return;
        }
        pulling.finishing = true;
        let epoch = pulling.progress.epoch();
        let step = process.member.finish_pull(now, epoch);
        machine.take(step, Caller::Nobody);
        self.disk_work(index);
    }

    // Network

    fn reaches(&self, from: Endpoint, to: usize) -> bool {
        let machine = &self.machines[to];
        match from {
            Endpoint::Machine(from) => !machine.cut_in && !self.machines[from].cut_out,
            Endpoint::Proxy(_) => true,
        }
    }

    fn send(
        &mut self,
        from: Endpoint,
        address: &std::net::SocketAddr,
        request: Request,
        purpose: CallFor,
    ) {
        let call = self.number();
        let (epoch, disk) = (request.fencing_token.epoch, request.fencing_token.disk);
        self.calls.insert(
            call,
            Call {
                purpose,
                epoch,
                disk,
            },
        );
        let to = self
            .machines
            .iter()
            .position(|machine| machine.address == *address);
        let to = to.expect("every address is a machine's");
        self.after(CALL_TIMEOUT, Event::Silence { call });
        if self.reaches(from, to) {
            let delay = self.latency();
            self.after(delay, Event::Request { to, call, request });
        }
    }

    fn latency(&mut self) -> Duration {
        if self.chance(50) {
            self.millis(1, 120)
        } else {
            self.millis(0, 3) + Duration::from_micros(100)
        }
    }

    fn respond(&mut self, from: usize, call: u64, response: Response) {
        let to_machine = match self.calls.get(&call) {
            Some(Call {
                purpose: CallFor::Pull { machine, .. },
                ..
            }) => Some(*machine),
            _ => None,
        };
        let cut =
            to_machine.is_some_and(|to| self.machines[from].cut_out || self.machines[to].cut_in);
        if !cut {
            let delay = self.latency();
            self.after(delay, Event::Response { call, response });
        }
    }

    // Events

    /// Tells a step of the run, if `STORAGE_TRACE` is set.
    pub(crate) fn trace(&self, text: impl FnOnce() -> String) {
        if self.traced {
            eprintln!("{:?} {}", self.now, text());
        }
    }

    fn play(&mut self, event: Event) {
        let machine = match &event {
            Event::Request { to, .. } => Some(*to),
            Event::SyncDone { machine, .. } | Event::Announce { machine, .. } => Some(*machine),
            Event::View {
                to: Endpoint::Machine(machine),
                ..
            } => Some(*machine),
            _ => None,
        };
        if let Some(index) = machine.filter(|index| self.machines[*index].frozen) {
            self.held.entry(index).or_default().push(event);
            return;
        }
        match event {
            Event::Request { to, call, request } => self.on_request(to, call, request),
            Event::Response { call, response } => self.on_response(call, response),
            Event::Silence { call } => self.on_call_timeout(call),
            Event::SyncDone {
                machine,
                incarnation,
            } => self.on_sync_done(machine, incarnation),
            Event::Announce {
                machine,
                incarnation,
            } => self.on_announce(machine, incarnation),
            Event::Announced(announcement) if !self.core.frozen => {
                self.core.record(self.now, announcement)
            }
            Event::Announced(_) => {}
            Event::Plan => self.on_plan(),
            Event::Commit(view) => self.on_commit(view),
            Event::View { to, view } => self.on_view(to, view),
            Event::Turn => self.on_turn(),
            Event::EndOfTurn { proxy, program, id } => self.on_end_of_turn(proxy, program, id),
            Event::Resend { proxy, job } => self.send_job(proxy, job),
            Event::Deadline { proxy, job } => self.on_deadline(proxy, job),
            Event::Fault(fault) => {
                self.trace(|| format!("{fault:?}"));
                self.on_fault(fault);
            }
            Event::LastReads => self.on_last_reads(),
        }
    }

    fn on_request(&mut self, to: usize, call: u64, request: Request) {
        let now = self.now;
        if self.machines[to].process.is_none() {
            return;
        }
        let answer = self.machines[to].handle(now, request, call, self.mutation);
        if let Some(response) = answer {
            self.respond(to, call, response);
        }
        self.disk_work(to);
    }

    fn on_sync_done(&mut self, index: usize, incarnation: u64) {
        if self.machines[index].incarnation != incarnation || self.machines[index].process.is_none()
        {
            return;
        }
        let epoch_before = self.machines[index].process.as_ref().and_then(|process| {
            process
                .pulling
                .as_ref()
                .map(|pulling| pulling.progress.epoch())
        });
        let process = self.machines[index].process.as_ref();
        let pulled_before = process.map_or(0, |process| process.member.pulled_epoch());
        for (caller, response) in self.machines[index].end_sync() {
            match caller {
                Caller::Call(call) => self.respond(index, call, response),
                Caller::PulledFrom(disk) => self.on_pulled_record(index, disk, &response),
                Caller::Nobody => self.on_own_record(index, &response),
            }
        }
        let process = self.machines[index]
            .process
            .as_ref()
            .expect("it was there above");
        let epoch = process.member.view().epoch;
        let pulled_now = process.member.pulled_epoch() > pulled_before;
        if epoch_before != Some(epoch) {
            self.start_pull(index);
        } else if pulled_now {
            self.trace(|| format!("store-{index} has pulled for {epoch}"));
            self.announce(index);
        }
        self.disk_work(index);
    }

    fn on_pulled_record(&mut self, index: usize, disk: u64, response: &Response) {
        let Some(process) = self.machines[index].process.as_mut() else {
            return;
        };
        let Some(pulling) = process.pulling.as_mut() else {
            return;
        };
        if response.answer != Answer::Stored {
            // The driver tries again; here the pull begins anew.
            return self.start_pull(index);
        }
        let Some(source) = pulling
            .sources
            .iter_mut()
            .find(|source| source.member.disk == disk)
        else {
            return;
        };
        source.unsynced = source.unsynced.saturating_sub(1);
        self.pull_next(index, disk);
    }

    /// The machine's own record was synced or not; the end of a pull is tried again.
    fn on_own_record(&mut self, index: usize, response: &Response) {
        let Some(process) = self.machines[index].process.as_mut() else {
            return;
        };
        if let Some(pulling) = process
            .pulling
            .as_mut()
            .filter(|_| response.answer == Answer::Failed)
        {
            pulling.finishing = false;
            self.check_pull(index);
        }
    }

    pub(crate) fn announce(&mut self, index: usize) {
        if let Some(announcement) = self.machines[index].announcement()
            && !self.machines[index].cut_out
        {
            let delay = self.latency();
            self.after(delay, Event::Announced(announcement));
        }
    }

    fn on_announce(&mut self, index: usize, incarnation: u64) {
        if self.machines[index].incarnation != incarnation || self.machines[index].process.is_none()
        {
            return;
        }
        self.announce(index);
        self.after(
            Duration::from_millis(500),
            Event::Announce {
                machine: index,
                incarnation,
            },
        );
        let known = self.machines[index]
            .process
            .as_ref()
            .map(|process| process.member.view().epoch);
        if known < Some(self.core.committed.epoch) && !self.machines[index].cut_in {
            let view = self.core.committed.clone();
            self.after(
                MS,
                Event::View {
                    to: Endpoint::Machine(index),
                    view,
                },
            );
        }
    }

    fn on_plan(&mut self) {
        self.after(Duration::from_millis(100), Event::Plan);
        if self.committing || self.core.frozen {
            return;
        }
        if let Some(view) = self.core.plan(self.now, self.tolerated, self.mutation) {
            self.propose(view);
        }
    }

    pub(crate) fn propose(&mut self, view: StorageView) {
        self.committing = true;
        let delay = self.millis(5, 40);
        self.after(delay, Event::Commit(view));
    }

    pub(crate) fn is_committing(&self) -> bool {
        self.committing
    }

    fn on_commit(&mut self, view: StorageView) {
        self.committing = false;
        assert_eq!(view.epoch, self.core.committed.epoch + 1);
        self.core.committed = view.clone();
        self.trace(|| format!("committed {view:?}"));
        for index in 0..self.machines.len() {
            if self.machines[index].process.is_some() && !self.machines[index].cut_in {
                let delay = if self.chance(8) {
                    self.millis(100, 900)
                } else {
                    self.millis(1, 40)
                };
                self.after(
                    delay,
                    Event::View {
                        to: Endpoint::Machine(index),
                        view: view.clone(),
                    },
                );
            }
        }
        for index in 0..self.proxies.len() {
            let late = self.late_views || self.chance(8);
            let delay = if late {
                self.millis(100, 9_000)
            } else {
                self.millis(1, 40)
            };
            self.after(
                delay,
                Event::View {
                    to: Endpoint::Proxy(index),
                    view: view.clone(),
                },
            );
        }
        self.emptied_machines_go();
    }

    fn on_view(&mut self, to: Endpoint, view: StorageView) {
        match to {
            Endpoint::Machine(index) => {
                self.machines[index].learn_view(view);
                self.disk_work(index);
            }
            Endpoint::Proxy(index) => {
                if view.epoch > self.proxies[index].view.epoch {
                    self.proxies[index].view = Arc::new(view);
                    let jobs: Vec<JobId> = self.proxies[index].jobs.keys().copied().collect();
                    for job in jobs {
                        self.send_job(index, job);
                    }
                }
            }
        }
    }

    // Calls

    fn on_response(&mut self, call: u64, response: Response) {
        let Some(Call {
            purpose,
            epoch,
            disk,
        }) = self.calls.remove(&call)
        else {
            return;
        };
        match purpose {
            CallFor::Job { proxy, job, round } => {
                self.on_job_answer(proxy, job, (epoch, round), disk, Some(response));
            }
            CallFor::Pull {
                machine,
                incarnation,
            } => {
                if self.machines[machine].incarnation == incarnation {
                    self.on_pull_answer(machine, epoch, disk, response.answer);
                }
            }
        }
    }

    fn on_call_timeout(&mut self, call: u64) {
        let Some(Call {
            purpose,
            epoch,
            disk,
        }) = self.calls.remove(&call)
        else {
            return;
        };
        match purpose {
            CallFor::Job { proxy, job, round } => {
                self.on_job_answer(proxy, job, (epoch, round), disk, None);
            }
            CallFor::Pull {
                machine,
                incarnation,
            } => {
                if self.machines[machine].incarnation == incarnation
                    && !self.machines[machine].frozen
                {
                    self.pull_next(machine, disk);
                }
            }
        }
    }

    fn on_pull_answer(&mut self, index: usize, epoch: u64, disk: u64, answer: Answer) {
        let now = self.now;
        let machine = &mut self.machines[index];
        let Some(process) = machine.process.as_mut() else {
            return;
        };
        let Some(pulling) = process
            .pulling
            .as_mut()
            .filter(|pulling| pulling.progress.epoch() == epoch)
        else {
            return;
        };
        let Some(source) = pulling
            .sources
            .iter_mut()
            .find(|source| source.member.disk == disk)
        else {
            return;
        };
        match answer {
            Answer::Stale { view } => {
                machine.learn_view(view);
                return self.disk_work(index);
            }
            Answer::Behind => {
                let view = process.member.view().clone();
                let (address, incarnation) = (source.member.address, machine.incarnation);
                let request = Request {
                    fencing_token: FencingToken { epoch, disk },
                    operation: Operation::NewView { view },
                };
                let purpose = CallFor::Pull {
                    machine: index,
                    incarnation,
                };
                return self.send(Endpoint::Machine(index), &address, request, purpose);
            }
            Answer::WrongDisk | Answer::Failed => return,
            answer => {
                let records = source
                    .pages
                    .accept_answer(process.member.store(), answer)
                    .unwrap_or_default();
                let mut steps = Vec::new();
                for program in records {
                    steps.extend(process.member.merge(now, program));
                }
                source.unsynced += steps.len();
                for step in steps {
                    machine.take(step, Caller::PulledFrom(disk));
                }
            }
        }
        self.pull_next(index, disk);
        self.disk_work(index);
    }

    // Jobs of the proxies

    fn start_job(&mut self, proxy: usize, purpose: Purpose, work: Work, within: Duration) -> JobId {
        let id = self.number();
        let deadline = self.now + within;
        let job = Job {
            purpose,
            work,
            deadline,
            answered: Default::default(),
            reported: false,
        };
        self.proxies[proxy].jobs.insert(id, job);
        self.at(deadline, Event::Deadline { proxy, job: id });
        self.send_job(proxy, id);
        id
    }

    fn start_write(&mut self, proxy: usize, purpose: Purpose, program: &str, operation: Operation) {
        let view = Arc::clone(&self.proxies[proxy].view);
        let tolerated = if self.mutation == Mutation::OneReplicaTooFew {
            self.tolerated - 1
        } else {
            self.tolerated
        };
        let within = match purpose {
            Purpose::Reserve { .. } => RESERVE_TIMEOUT,
            Purpose::Put { .. } => PUT_TIMEOUT,
            _ => RETRY_TIMEOUT,
        };
        let write = Write::new(&view, program.to_owned(), operation, tolerated);
        self.start_job(proxy, purpose, Work::Write(write), within);
    }

    fn start_read(&mut self, proxy: usize, key: TurnKey, last: bool) {
        let work = Work::Read(Read::new(key.clone()));
        self.start_job(proxy, Purpose::Read { key, last }, work, READ_TIMEOUT);
    }

    fn send_job(&mut self, proxy: usize, job: JobId) {
        let requests = self.proxies[proxy].requests(job, self.tolerated);
        let is_write = self.proxies[proxy]
            .jobs
            .get(&job)
            .is_some_and(|job| matches!(job.work, Work::Write(_)));
        let round = self.proxies[proxy].round(job);
        for (member, request) in requests {
            self.send(
                Endpoint::Proxy(proxy),
                &member.address,
                request,
                CallFor::Job { proxy, job, round },
            );
        }
        if is_write {
            self.after(RESEND_INTERVAL, Event::Resend { proxy, job });
        }
    }

    fn on_job_answer(
        &mut self,
        proxy: usize,
        id: JobId,
        sent: (u64, u64),
        disk: u64,
        response: Option<Response>,
    ) {
        if let Some(known) = response.as_ref().map(|response| response.epoch) {
            self.send_newer_view(proxy, disk, known);
        }
        let answer = response.map(|response| response.answer);
        let again = self.proxies[proxy].answered(id, sent, disk, answer);
        if again {
            self.send_job(proxy, id);
        }
        self.check_job(proxy, id);
    }

    /// The client tells a machine the newer view.
    fn send_newer_view(&mut self, proxy: usize, disk: u64, known_epoch: u64) {
        let view = Arc::clone(&self.proxies[proxy].view);
        if known_epoch < view.epoch
            && let Some(index) = self
                .machines
                .iter()
                .position(|machine| machine.identity == disk)
        {
            let delay = self.latency();
            self.after(
                delay,
                Event::View {
                    to: Endpoint::Machine(index),
                    view: (*view).clone(),
                },
            );
        }
    }

    /// Reports the outcome of a job once there is one.
    fn check_job(&mut self, proxy: usize, id: JobId) {
        let Some(job) = self.proxies[proxy].jobs.get_mut(&id) else {
            return;
        };
        if job.reported {
            return;
        }
        match &job.work {
            Work::Write(write) if write.is_durable() => {
                job.reported = true;
                let purpose = job.purpose.clone();
                self.on_durable(proxy, id, purpose);
            }
            Work::Read(read) => {
                if let Some(outcome) = read.outcome {
                    let chain = read.chain.clone();
                    let purpose = job.purpose.clone();
                    self.proxies[proxy].jobs.remove(&id);
                    self.on_read(purpose, outcome, &chain);
                }
            }
            Work::Write(_) => {}
        }
    }

    fn on_deadline(&mut self, proxy: usize, id: JobId) {
        let Some(job) = self.proxies[proxy].jobs.get_mut(&id) else {
            return;
        };
        if job.reported || job.deadline + RETRY_TIMEOUT <= self.now {
            self.proxies[proxy].jobs.remove(&id);
            return;
        }
        if let Purpose::Read { .. } = job.purpose {
            let purpose = job.purpose.clone();
            self.proxies[proxy].jobs.remove(&id);
            return self.on_read(purpose, Err(ReadFailure::Unavailable), &[]);
        }
        job.reported = true;
        let purpose = job.purpose.clone();
        self.after(RETRY_TIMEOUT, Event::Deadline { proxy, job: id });
        if let Purpose::Reserve { program, id } = purpose {
            self.settle(proxy, program, id, 0);
        }
    }

    // Workload

    fn on_turn(&mut self) {
        if self.now > self.end_of_faults {
            return;
        }
        let delay = self.millis(10, 250);
        self.after(delay, Event::Turn);
        let program = self.random.rand_range(0..self.programs.len() as u64) as usize;
        let proxy = self.random.rand_range(0..self.proxies.len() as u64) as usize;
        if let Some(last) = self.programs[program].last.clone() {
            self.start_read(proxy, last, false);
        }
        let id = self.random.rand_u64();
        let (name, max_tokens) = (self.programs[program].name.clone(), MAX_TOKENS);
        self.oracle.attempt(&name, id, Attempt::Open { max_tokens });
        let operation = Operation::Reserve {
            program: name.clone(),
            reservation: id,
            max_tokens,
        };
        self.start_write(proxy, Purpose::Reserve { program, id }, &name, operation);
    }

    fn on_durable(&mut self, proxy: usize, job: JobId, purpose: Purpose) {
        match purpose {
            Purpose::Reserve { program, id } => self.on_reserved(proxy, job, program, id),
            Purpose::Settle {
                program,
                id,
                delivered_tokens,
            } => {
                let name = self.programs[program].name.clone();
                self.oracle.attempt(
                    &name,
                    id,
                    Attempt::Settled {
                        max_tokens: MAX_TOKENS,
                        delivered_tokens,
                        at: self.now,
                    },
                );
            }
            Purpose::Put {
                program,
                id,
                turn,
                delivered_tokens,
            } => {
                let name = self.programs[program].name.clone();
                self.oracle.attempt(
                    &name,
                    id,
                    Attempt::Settled {
                        max_tokens: MAX_TOKENS,
                        delivered_tokens,
                        at: self.now,
                    },
                );
                self.programs[program].last = Some(turn.key());
                self.oracle.acknowledged.insert(turn.key(), turn);
                self.after_acknowledgement();
                self.final_fault_after_acknowledgement();
            }
            Purpose::Read { .. } => {}
        }
    }

    fn on_reserved(&mut self, proxy: usize, job: JobId, program: usize, id: u64) {
        let (name, budget) = (
            self.programs[program].name.clone(),
            self.programs[program].budget,
        );
        let Some(Job {
            work: Work::Write(write),
            deadline,
            ..
        }) = self.proxies[proxy].jobs.get(&job)
        else {
            return;
        };
        let sent = *deadline - RESERVE_TIMEOUT;
        let fits = write.is_within_budget(id, MAX_TOKENS, budget);
        if fits {
            let outcome = self.oracle.granted(&name, id, MAX_TOKENS, budget);
            self.violated(outcome);
            self.final_fault_after_acknowledgement();
            let delay = self.millis(5, 400);
            self.after(delay, Event::EndOfTurn { proxy, program, id });
        } else {
            let outcome = self.oracle.refused(&name, id, (MAX_TOKENS, budget), sent);
            self.violated(outcome);
            self.settle(proxy, program, id, 0);
        }
    }

    fn on_end_of_turn(&mut self, proxy: usize, program: usize, id: u64) {
        let name = self.programs[program].name.clone();
        let delivered_tokens = self.random.rand_range(0..MAX_TOKENS + 1);
        match self.random.rand_range(0..20) {
            // The proxy is gone: the reservation stays at its most, and whatever it had under way ends.
            0 => {
                self.oracle.attempt(
                    &name,
                    id,
                    Attempt::Granted {
                        max_tokens: MAX_TOKENS,
                    },
                );
                self.crash_proxy(proxy);
            }
            1 | 2 => self.settle(proxy, program, id, delivered_tokens),
            _ => {
                self.programs[program].turns += 1;
                let turn = TurnRecord {
                    program: name.clone(),
                    session: "session".to_owned(),
                    request_id: format!("{name}-{}", self.programs[program].turns),
                    previous: self.programs[program]
                        .last
                        .as_ref()
                        .map(|key| key.request_id.clone()),
                    retention_ms: 60_000,
                    content: id.to_le_bytes().to_vec(),
                };
                self.oracle.attempt(
                    &name,
                    id,
                    Attempt::Ended {
                        max_tokens: MAX_TOKENS,
                        delivered_tokens,
                    },
                );
                let settlement = Some(Settlement {
                    reservation: id,
                    delivered_tokens,
                });
                let operation = Operation::PutTurns {
                    program: name.clone(),
                    turns: vec![turn.clone()],
                    settlement,
                };
                self.start_write(
                    proxy,
                    Purpose::Put {
                        program,
                        id,
                        turn,
                        delivered_tokens,
                    },
                    &name,
                    operation,
                );
            }
        }
    }

    fn crash_proxy(&mut self, proxy: usize) {
        self.proxies[proxy].jobs.clear();
        self.proxies[proxy].view = Arc::default();
        let view = self.core.committed.clone();
        self.after(
            MS * 200,
            Event::View {
                to: Endpoint::Proxy(proxy),
                view,
            },
        );
    }

    fn settle(&mut self, proxy: usize, program: usize, id: u64, delivered_tokens: u64) {
        let name = self.programs[program].name.clone();
        self.oracle.attempt(
            &name,
            id,
            Attempt::Ended {
                max_tokens: MAX_TOKENS,
                delivered_tokens,
            },
        );
        let operation = Operation::Settle {
            program: name.clone(),
            settlement: Settlement {
                reservation: id,
                delivered_tokens,
            },
        };
        self.start_write(
            proxy,
            Purpose::Settle {
                program,
                id,
                delivered_tokens,
            },
            &name,
            operation,
        );
    }

    fn on_read(
        &mut self,
        purpose: Purpose,
        outcome: Result<(), ReadFailure>,
        chain: &[TurnRecord],
    ) {
        let Purpose::Read { key, last } = purpose else {
            return;
        };
        match outcome {
            Ok(()) => {
                let checked = self.oracle.read(&key, chain);
                self.violated(checked);
            }
            Err(ReadFailure::NotFound) => {
                self.violated(Err(format!(
                    "acknowledged turn {key:?} is said not to exist"
                )));
            }
            Err(ReadFailure::Unavailable) if last => {
                self.violated(Err(format!(
                    "acknowledged turn {key:?} is out of reach though all is well"
                )));
            }
            Err(ReadFailure::Unavailable) => {}
        }
    }

    /// All is well again: everything must be readable, and have its copies.
    fn on_last_reads(&mut self) {
        for proxy in &mut self.proxies {
            proxy.view = Arc::new(self.core.committed.clone());
        }
        if self.core.committed.next.is_some() {
            let waits = format!(
                "joint epoch does not end: {:?}; {}",
                self.core.committed,
                self.describe()
            );
            return self.violated(Err(waits));
        }
        let keys: Vec<TurnKey> = self.oracle.acknowledged.keys().cloned().collect();
        for key in keys {
            let copies = self.copies(&key);
            if copies <= self.tolerated {
                self.violated(Err(format!("turn {key:?} has only {copies} copies")));
            }
            self.start_read(0, key, true);
        }
    }

    /// Machines in one line, for the message of a violation.
    fn describe(&self) -> String {
        let line = |machine: &Machine| {
            let process = machine.process.as_ref();
            let view =
                process.map(|process| (process.member.view().epoch, process.member.pulled_epoch()));
            let sources = process
                .and_then(|process| process.pulling.as_ref())
                .map(|pulling| {
                    let source =
                        |source: &Source| (source.member.disk, source.unsynced, source.done);
                    (
                        pulling.progress.epoch(),
                        pulling.sources.iter().map(source).collect::<Vec<_>>(),
                    )
                });
            let cut = (
                machine.cut_in,
                machine.cut_out,
                machine.frozen,
                machine.stalled,
                machine.removed,
            );
            format!(
                "{} {:x} {view:?} {sources:?} {cut:?}",
                machine.node, machine.identity
            )
        };
        self.machines
            .iter()
            .map(line)
            .collect::<Vec<_>>()
            .join("; ")
    }

    fn copies(&self, key: &TurnKey) -> usize {
        let members = &self.core.committed.current;
        let processes = self
            .machines
            .iter()
            .filter_map(|machine| machine.process.as_ref());
        let counted = processes.filter(|process| {
            members
                .iter()
                .any(|member| member.disk == process.member.disk())
        });
        let has = |process: &&super::machine::Process| {
            !process
                .member
                .store()
                .chain(&key.program, &key.request_id, usize::MAX)
                .is_empty()
        };
        counted.filter(has).count()
    }
}

/// A third of the runs have planned work, half of these nothing else.
fn has_planned_work(seed: u64) -> bool {
    seed % 3 == 2
}

fn has_only_planned_work(seed: u64) -> bool {
    seed % 6 == 2
}

/// The most that a turn generates.
const MAX_TOKENS: u64 = 30;

fn program(number: u64, random: &mut Rand64) -> Program {
    let budget = random.rand_range(60..1_500);
    Program {
        name: format!("program-{number}"),
        budget,
        turns: 0,
        last: None,
    }
}
