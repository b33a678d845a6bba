//! The virtual clock and the processes that run on it: an executor of one thread. Owns every task of a world,
//! the order in which they run, and time, which moves only when nothing is ready. Must never draw a random
//! number, nor depend on anything but what was spawned and scheduled: the same calls give the same run.

use std::cell::{Cell, RefCell};
use std::cmp::Reverse;
use std::collections::{BTreeSet, BinaryHeap, VecDeque};
use std::future::Future;
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::pin::Pin;
use std::rc::Rc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::task::{Context, Poll, Wake, Waker};

/// Nanoseconds since the world began.
pub type Nanos = u64;

pub const MILLISECOND: Nanos = 1_000_000;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ProcessId(pub usize);

type Task = Pin<Box<dyn Future<Output = ()>>>;

/// Tasks that are ready, in the order in which they became so; those of one step in the order they were
/// spawned.
type Ready = Arc<Mutex<VecDeque<(usize, u64)>>>;

struct TaskWaker {
    task: (usize, u64),
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
    /// Absent while it is being polled.
    task: Option<Task>,
    process: ProcessId,
    /// Which of the tasks that have had this slot.
    turn: u64,
    waker: Arc<TaskWaker>,
}

#[derive(Default)]
struct Process {
    tasks: BTreeSet<usize>,
    alive: bool,
    stalled: bool,
    /// Became ready while it was stalled.
    parked: Vec<(usize, u64)>,
}

/// What happens at a time.
pub enum Happening {
    Wake(Rc<Cell<Option<Waker>>>),
    Do(Box<dyn FnOnce()>),
}

struct Entry {
    at: Nanos,
    order: u64,
    what: Happening,
}

impl PartialEq for Entry {
    fn eq(&self, other: &Self) -> bool {
        (self.at, self.order) == (other.at, other.order)
    }
}

impl Eq for Entry {}

impl PartialOrd for Entry {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Entry {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.at, self.order).cmp(&(other.at, other.order))
    }
}

#[derive(Default)]
struct Inner {
    now: Cell<Nanos>,
    order: Cell<u64>,
    turns: Cell<u64>,
    steps: Cell<u64>,
    ready: Ready,
    slots: RefCell<Vec<Slot>>,
    free: RefCell<Vec<usize>>,
    events: RefCell<BinaryHeap<Reverse<Entry>>>,
    processes: RefCell<Vec<Process>>,
    panics: RefCell<Vec<(ProcessId, String)>>,
}

/// A handle on the clock; all clones are one.
#[derive(Clone, Default)]
pub struct Clock(Rc<Inner>);

impl Clock {
    pub fn new() -> Self {
        Self::default()
    }

    pub fn now(&self) -> Nanos {
        self.0.now.get()
    }

    /// Tasks polled and things happened so far.
    pub fn steps(&self) -> u64 {
        self.0.steps.get()
    }

    /// Tasks that have panicked since the last look, with what they said.
    pub fn panics(&self) -> Vec<(ProcessId, String)> {
        std::mem::take(&mut self.0.panics.borrow_mut())
    }

    pub fn add_process(&self) -> ProcessId {
        let mut all = self.0.processes.borrow_mut();
        all.push(Process {
            alive: true,
            ..Process::default()
        });
        ProcessId(all.len() - 1)
    }

    /// How many there have been.
    pub fn processes(&self) -> usize {
        self.0.processes.borrow().len()
    }

    /// Nothing more is to happen: what was to be done holds on to what it would be done to.
    pub fn forget(&self) {
        let events = std::mem::take(&mut *self.0.events.borrow_mut());
        drop(events);
        if let Ok(mut ready) = self.0.ready.lock() {
            ready.clear();
        }
    }

    pub fn alive(&self, process: ProcessId) -> bool {
        self.0
            .processes
            .borrow()
            .get(process.0)
            .is_some_and(|p| p.alive)
    }

    /// How many tasks a process has.
    #[cfg(test)]
    pub fn tasks(&self, process: ProcessId) -> usize {
        self.0
            .processes
            .borrow()
            .get(process.0)
            .map_or(0, |p| p.tasks.len())
    }

    pub fn spawn(&self, process: ProcessId, task: impl Future<Output = ()> + 'static) {
        let inner = &*self.0;
        let turn = inner.turns.replace(inner.turns.get() + 1);
        let mut slots = inner.slots.borrow_mut();
        let at = inner.free.borrow_mut().pop().unwrap_or(slots.len());
        let waker = Arc::new(TaskWaker {
            task: (at, turn),
            queued: AtomicBool::new(true),
            ready: inner.ready.clone(),
        });
        let slot = Slot {
            task: Some(Box::pin(task)),
            process,
            turn,
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
        self.make_ready((at, turn));
    }

    fn make_ready(&self, task: (usize, u64)) {
        if let Ok(mut ready) = self.0.ready.lock() {
            ready.push_back(task);
        }
    }

    /// Danger: `tokio`'s watch channel wakes its receivers in an order that it draws, and two runs of a seed
    /// part where several wait for one. What one step has made ready therefore runs in the order it was
    /// spawned in. Covers every channel that wakes several at once. Harm: none; an order by chance is no
    /// test.
    fn in_order<T>(&self, step: impl FnOnce() -> T) -> T {
        let before = self.0.ready.lock().map_or(0, |ready| ready.len());
        let done = step();
        if let Ok(mut ready) = self.0.ready.lock()
            && ready.len() > before + 1
        {
            ready.make_contiguous()[before..].sort_unstable_by_key(|(_, turn)| *turn);
        }
        done
    }

    /// At `at`, after all that was asked for at that time before.
    pub fn at(&self, at: Nanos, what: Happening) {
        let order = self.0.order.replace(self.0.order.get() + 1);
        self.0.events.borrow_mut().push(Reverse(Entry {
            at: at.max(self.now()),
            order,
            what,
        }));
    }

    pub fn call_at(&self, at: Nanos, what: impl FnOnce() + 'static) {
        self.at(at, Happening::Do(Box::new(what)));
    }

    /// Its tasks are not run until `resume`.
    pub fn stall(&self, process: ProcessId) {
        if let Some(p) = self.0.processes.borrow_mut().get_mut(process.0) {
            p.stalled = true;
        }
    }

    pub fn resume(&self, process: ProcessId) {
        let parked = match self.0.processes.borrow_mut().get_mut(process.0) {
            Some(p) => {
                p.stalled = false;
                std::mem::take(&mut p.parked)
            }
            None => return,
        };
        parked.into_iter().for_each(|task| self.make_ready(task));
    }

    /// Ends it outright: all of its tasks are dropped, newest first.
    pub fn kill(&self, process: ProcessId) {
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
            // Its drop may wake others, spawn nothing, and borrow anything.
            drop(task);
        }
    }

    /// Runs all that is ready, then what happens next, until nothing is left to happen before `end`.
    pub fn run_until(&self, end: Nanos) {
        loop {
            self.run_ready();
            let next = {
                let mut events = self.0.events.borrow_mut();
                match events.peek() {
                    Some(Reverse(e)) if e.at <= end => events.pop(),
                    _ => None,
                }
            };
            let Some(Reverse(entry)) = next else { break };
            self.0.now.set(entry.at);
            match entry.what {
                Happening::Wake(waker) => {
                    if let Some(waker) = waker.take() {
                        waker.wake();
                    }
                }
                Happening::Do(what) => {
                    self.0.steps.set(self.0.steps.get() + 1);
                    self.in_order(what);
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
            let Some((at, turn)) = next else { return };
            let (mut task, waker, process) = {
                let mut slots = self.0.slots.borrow_mut();
                let Some(slot) = slots.get_mut(at).filter(|s| s.turn == turn) else {
                    continue;
                };
                let mut processes = self.0.processes.borrow_mut();
                let process = &mut processes[slot.process.0];
                if process.stalled {
                    process.parked.push((at, turn));
                    continue;
                }
                slot.waker.queued.store(false, Ordering::Relaxed);
                let Some(task) = slot.task.take() else {
                    continue;
                };
                (task, slot.waker.clone(), slot.process)
            };
            self.0.steps.set(self.0.steps.get() + 1);
            let waker = Waker::from(waker);
            let mut cx = Context::from_waker(&waker);
            let done = match catch_unwind(AssertUnwindSafe(|| {
                self.in_order(|| task.as_mut().poll(&mut cx))
            })) {
                Ok(poll) => poll.is_ready(),
                Err(why) => {
                    let why = why.downcast_ref::<String>().cloned();
                    let why = why.unwrap_or_else(|| "a task has panicked".into());
                    self.0.panics.borrow_mut().push((process, why));
                    true
                }
            };
            let gone = self.0.slots.borrow()[at].turn != turn || !self.alive(process);
            if done || gone {
                if !gone {
                    self.0.processes.borrow_mut()[process.0].tasks.remove(&at);
                    self.0.free.borrow_mut().push(at);
                }
                drop(task);
            } else {
                self.0.slots.borrow_mut()[at].task = Some(task);
            }
        }
    }
}

/// Over at a time. Dropped before, it wakes nobody.
pub struct Sleep {
    clock: Clock,
    due: Nanos,
    waker: Option<Rc<Cell<Option<Waker>>>>,
}

impl Sleep {
    pub fn new(clock: &Clock, due: Nanos) -> Self {
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
                self.clock.at(self.due, Happening::Wake(waker.clone()));
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
