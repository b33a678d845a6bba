//! The virtual clock and the processes that run on it: an executor of one thread. Time advances only when no
//! task is ready. The order of tasks depends only on what was spawned and scheduled, so that the same calls
//! give the same run.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeSet, VecDeque};
use std::future::Future;
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::pin::Pin;
use std::rc::Rc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::task::{Context, Poll, Wake, Waker};

use woadreach_sim_support::EventQueue;

/// Nanoseconds from the world's beginning.
pub(crate) type Nanos = u64;

/// One millisecond.
pub(crate) const MILLISECOND: Nanos = 1_000_000;

/// A process by its number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct ProcessId(pub usize);

type Task = Pin<Box<dyn Future<Output = ()>>>;

/// Tasks that are ready, in the order in which they became so; those of one step in the order in which they
/// were spawned.
type Ready = Arc<Mutex<VecDeque<TaskId>>>;

/// A task: where it is kept, and its number, since slots are used again.
#[derive(Clone, Copy, PartialEq, Eq)]
struct TaskId {
    slot: usize,
    serial: u64,
}

struct TaskWaker {
    task: TaskId,
    queued: AtomicBool,
    ready: Ready,
}

impl Wake for TaskWaker {
    fn wake(self: Arc<Self>) {
        self.wake_by_ref();
    }

    fn wake_by_ref(self: &Arc<Self>) {
        if !self.queued.swap(true, Ordering::Relaxed)
            && let Ok(mut ready) = self.ready.lock()
        {
            ready.push_back(self.task);
        }
    }
}

struct Slot {
    /// None while it is being polled.
    task: Option<Task>,
    process: ProcessId,
    /// The number of the task that has the slot now.
    serial: u64,
    waker: Arc<TaskWaker>,
}

#[derive(Default)]
struct Process {
    tasks: BTreeSet<usize>,
    alive: bool,
    stalled: bool,
    /// Tasks that became ready while it was suspended.
    parked: Vec<TaskId>,
}

/// What happens at a scheduled time.
pub(crate) enum Scheduled {
    Wake(Rc<Cell<Option<Waker>>>),
    Call(Box<dyn FnOnce()>),
}

#[derive(Default)]
struct Inner {
    now: Cell<Nanos>,
    next_serial: Cell<u64>,
    steps: Cell<u64>,
    ready: Ready,
    slots: RefCell<Vec<Slot>>,
    free: RefCell<Vec<usize>>,
    events: RefCell<EventQueue<Nanos, Scheduled>>,
    processes: RefCell<Vec<Process>>,
    panics: RefCell<Vec<(ProcessId, String)>>,
}

/// A handle on the clock; all clones are one clock.
#[derive(Clone, Default)]
pub(crate) struct Clock(Rc<Inner>);

impl Clock {
    /// A clock at time 0, without processes.
    pub(crate) fn new() -> Self {
        Self::default()
    }

    /// The time.
    pub(crate) fn now(&self) -> Nanos {
        self.0.now.get()
    }

    /// Tasks polled and actions called so far.
    pub(crate) fn steps(&self) -> u64 {
        self.0.steps.get()
    }

    /// Takes the panics of tasks since the last call, with their messages.
    pub(crate) fn panics(&self) -> Vec<(ProcessId, String)> {
        std::mem::take(&mut self.0.panics.borrow_mut())
    }

    /// Adds a process without tasks.
    pub(crate) fn add_process(&self) -> ProcessId {
        let mut all = self.0.processes.borrow_mut();
        all.push(Process {
            alive: true,
            ..Process::default()
        });
        ProcessId(all.len() - 1)
    }

    /// How many processes there have been.
    pub(crate) fn processes(&self) -> usize {
        self.0.processes.borrow().len()
    }

    /// Drops all that is scheduled and ready, and with it the references to the world.
    pub(crate) fn forget(&self) {
        let events = std::mem::take(&mut *self.0.events.borrow_mut());
        drop(events);
        if let Ok(mut ready) = self.0.ready.lock() {
            ready.clear();
        }
    }

    /// Whether a process has not been killed.
    pub(crate) fn alive(&self, process: ProcessId) -> bool {
        self.0
            .processes
            .borrow()
            .get(process.0)
            .is_some_and(|p| p.alive)
    }

    /// How many tasks a process has.
    #[cfg(test)]
    pub(crate) fn tasks(&self, process: ProcessId) -> usize {
        self.0
            .processes
            .borrow()
            .get(process.0)
            .map_or(0, |p| p.tasks.len())
    }

    /// Adds a task to a process.
    pub(crate) fn spawn(&self, process: ProcessId, task: impl Future<Output = ()> + 'static) {
        let inner = &*self.0;
        let serial = inner.next_serial.replace(inner.next_serial.get() + 1);
        let mut slots = inner.slots.borrow_mut();
        let at = inner.free.borrow_mut().pop().unwrap_or(slots.len());
        let waker = Arc::new(TaskWaker {
            task: TaskId { slot: at, serial },
            queued: AtomicBool::new(true),
            ready: inner.ready.clone(),
        });
        let slot = Slot {
            task: Some(Box::pin(task)),
            process,
            serial,
            waker,
        };
        if at == slots.len() {
            slots.push(slot);
        } else {
            slots[at] = slot;
        }
        drop(slots);
        if let Some(p) = inner.processes.borrow_mut().get_mut(process.0) {
            p.tasks.insert(at);
        }
        self.make_ready(TaskId { slot: at, serial });
    }

    fn make_ready(&self, task: TaskId) {
        if let Ok(mut ready) = self.0.ready.lock() {
            ready.push_back(task);
        }
    }

    /// Runs a step, and sorts the tasks that it makes ready by when they were spawned. Without this two runs of
    /// a seed would differ, because tokio's watch channel wakes its receivers in random order. Only the order
    /// of tasks that one step wakes is affected.
    fn in_order<T>(&self, step: impl FnOnce() -> T) -> T {
        let before = self.0.ready.lock().map_or(0, |ready| ready.len());
        let done = step();
        if let Ok(mut ready) = self.0.ready.lock()
            && ready.len() > before + 1
        {
            ready.make_contiguous()[before..].sort_unstable_by_key(|task| task.serial);
        }
        done
    }

    /// Schedules an action, after all that were scheduled for that time before.
    pub(crate) fn at(&self, at: Nanos, action: Scheduled) {
        let at = at.max(self.now());
        self.0.events.borrow_mut().schedule(at, action);
    }

    /// Schedules a call.
    pub(crate) fn call_at(&self, at: Nanos, action: impl FnOnce() + 'static) {
        self.at(at, Scheduled::Call(Box::new(action)));
    }

    /// Suspends a process: its tasks don't run until `resume`.
    pub(crate) fn stall(&self, process: ProcessId) {
        if let Some(p) = self.0.processes.borrow_mut().get_mut(process.0) {
            p.stalled = true;
        }
    }

    /// Ends a suspension; the tasks that were woken meanwhile become ready.
    pub(crate) fn resume(&self, process: ProcessId) {
        let parked = match self.0.processes.borrow_mut().get_mut(process.0) {
            Some(p) => {
                p.stalled = false;
                std::mem::take(&mut p.parked)
            }
            None => return,
        };
        parked.into_iter().for_each(|task| self.make_ready(task));
    }

    /// Kills a process: its tasks are dropped, newest first.
    pub(crate) fn kill(&self, process: ProcessId) {
        let tasks = match self.0.processes.borrow_mut().get_mut(process.0) {
            Some(p) => {
                p.alive = false;
                p.parked.clear();
                std::mem::take(&mut p.tasks)
            }
            None => return,
        };
        for at in tasks.into_iter().rev() {
            let task = self.0.slots.borrow_mut()[at].task.take();
            self.0.free.borrow_mut().push(at);
            // Dropping it may wake tasks and borrow anything, but spawns none.
            drop(task);
        }
    }

    /// Runs all ready tasks, then the next scheduled action, until none is left before `end`.
    pub(crate) fn run_until(&self, end: Nanos) {
        loop {
            self.run_ready();
            // The queue isn't borrowed while the action runs, which may schedule others.
            let next = self.0.events.borrow_mut().pop_due(&end);
            let Some(due) = next else { break };
            self.0.now.set(due.at);
            match due.event {
                Scheduled::Wake(waker) => {
                    if let Some(waker) = waker.take() {
                        waker.wake();
                    }
                }
                Scheduled::Call(action) => {
                    self.0.steps.set(self.0.steps.get() + 1);
                    self.in_order(action);
                }
            }
        }
        self.0.now.set(end.max(self.now()));
    }

    fn run_ready(&self) {
        loop {
            let next = self
                .0
                .ready
                .lock()
                .ok()
                .and_then(|mut ready| ready.pop_front());
            let Some(id) = next else { return };
            if let Some(polled) = self.take_task(id) {
                self.poll(id, polled);
            }
        }
    }

    /// Takes a task out of its slot for polling, if it still exists and its process isn't suspended.
    fn take_task(&self, id: TaskId) -> Option<PolledTask> {
        let mut slots = self.0.slots.borrow_mut();
        let slot = slots.get_mut(id.slot).filter(|s| s.serial == id.serial)?;
        let mut processes = self.0.processes.borrow_mut();
        let process = &mut processes[slot.process.0];
        if process.stalled {
            process.parked.push(id);
            return None;
        }
        slot.waker.queued.store(false, Ordering::Relaxed);
        Some(PolledTask {
            task: slot.task.take()?,
            waker: slot.waker.clone(),
            process: slot.process,
        })
    }

    fn poll(&self, id: TaskId, polled: PolledTask) {
        let PolledTask {
            mut task,
            waker,
            process,
        } = polled;
        self.0.steps.set(self.0.steps.get() + 1);
        let waker = Waker::from(waker);
        let mut cx = Context::from_waker(&waker);
        let poll = catch_unwind(AssertUnwindSafe(|| {
            self.in_order(|| task.as_mut().poll(&mut cx))
        }));
        let done = match poll {
            Ok(poll) => poll.is_ready(),
            Err(payload) => {
                let message = payload.downcast_ref::<String>().cloned();
                let message = message.unwrap_or_else(|| "a task has panicked".into());
                self.0.panics.borrow_mut().push((process, message));
                true
            }
        };
        let is_gone = self.0.slots.borrow()[id.slot].serial != id.serial || !self.alive(process);
        if !done && !is_gone {
            self.0.slots.borrow_mut()[id.slot].task = Some(task);
            return;
        }
        if !is_gone {
            self.0.processes.borrow_mut()[process.0]
                .tasks
                .remove(&id.slot);
            self.0.free.borrow_mut().push(id.slot);
        }
        // Dropping it may wake or spawn tasks, so nothing is borrowed here.
        drop(task);
    }
}

/// A task that is being polled.
struct PolledTask {
    task: Task,
    waker: Arc<TaskWaker>,
    process: ProcessId,
}

/// Completes at a time. If it is dropped before, it wakes no task.
pub(crate) struct Sleep {
    clock: Clock,
    due: Nanos,
    waker: Option<Rc<Cell<Option<Waker>>>>,
}

impl Sleep {
    pub(crate) fn new(clock: &Clock, due: Nanos) -> Self {
        Sleep {
            clock: clock.clone(),
            due,
            waker: None,
        }
    }
}

impl Future for Sleep {
    type Output = ();

    fn poll(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<()> {
        if self.clock.now() >= self.due {
            return Poll::Ready(());
        }
        match &self.waker {
            Some(waker) => waker.set(Some(cx.waker().clone())),
            None => {
                let waker = Rc::new(Cell::new(Some(cx.waker().clone())));
                self.clock.at(self.due, Scheduled::Wake(waker.clone()));
                self.waker = Some(waker);
            }
        }
        Poll::Pending
    }
}

impl Drop for Sleep {
    fn drop(&mut self) {
        if let Some(waker) = &self.waker {
            waker.set(None);
        }
    }
}

#[cfg(test)]
#[path = "../tests/unit/clock.rs"]
mod tests;
