//! Tests of private items of `src/clock.rs`, which includes this file as a module.

use super::{Clock, MILLISECOND, Sleep};
use std::cell::RefCell;
use std::rc::Rc;

/// The lines that tasks have written, each with its time in milliseconds.
#[derive(Clone, Default)]
struct Log(Rc<RefCell<Vec<String>>>);

impl Log {
    fn write(&self, clock: &Clock, text: &str) {
        let line = format!("{} {text}", clock.now() / MILLISECOND);
        self.0.borrow_mut().push(line);
    }

    fn lines(&self) -> Vec<String> {
        self.0.borrow().clone()
    }
}

/// Time advances to the next event, and events of the same time happen in the order in which they were scheduled.
#[test]
fn time_moves_only_when_nothing_is_ready() {
    let (clock, log) = (Clock::new(), Log::default());
    let process = clock.add_process();
    for (name, due_ms) in [("a", 20), ("b", 10), ("c", 20)] {
        let (task_clock, task_log) = (clock.clone(), log.clone());
        clock.spawn(process, async move {
            Sleep::new(&task_clock, due_ms * MILLISECOND).await;
            task_log.write(&task_clock, name);
        });
    }
    clock.run_until(15 * MILLISECOND);
    assert_eq!(
        (log.lines(), clock.now()),
        (vec!["10 b".to_string()], 15 * MILLISECOND)
    );
    clock.run_until(100 * MILLISECOND);
    assert_eq!(log.lines(), ["10 b", "20 a", "20 c"]);
    assert_eq!(clock.tasks(process), 0);
}

#[test]
fn a_suspended_process_runs_its_tasks_after_it_is_resumed() {
    let (clock, log) = (Clock::new(), Log::default());
    let process = clock.add_process();
    let (task_clock, task_log) = (clock.clone(), log.clone());
    clock.spawn(process, async move {
        Sleep::new(&task_clock, MILLISECOND).await;
        task_log.write(&task_clock, "late");
    });
    clock.run_until(0);
    clock.stall(process);
    let resumed = clock.clone();
    clock.call_at(50 * MILLISECOND, move || resumed.resume(process));
    clock.run_until(100 * MILLISECOND);
    assert_eq!(log.lines(), ["50 late"]);
}

/// A task of a killed process is dropped and doesn't run again. A task that panics ends, and the other tasks of its
/// process don't.
#[test]
fn killed_tasks_are_dropped_and_panics_end_one_task() {
    let (clock, log) = (Clock::new(), Log::default());
    let (first, second) = (clock.add_process(), clock.add_process());
    // Each task owns a reference to it, and so does this function.
    let owned = Rc::new(());
    for process in [first, second] {
        let (task_clock, task_log, owned) = (clock.clone(), log.clone(), owned.clone());
        clock.spawn(process, async move {
            Sleep::new(&task_clock, 10 * MILLISECOND).await;
            task_log.write(&task_clock, "ran");
            drop(owned);
        });
    }
    clock.spawn(second, async { panic!("{}", "as it was told") });
    clock.run_until(MILLISECOND);
    assert_eq!(clock.panics(), [(second, "as it was told".to_string())]);
    clock.kill(first);
    assert!(!clock.alive(first));
    assert_eq!(Rc::strong_count(&owned), 2);
    clock.run_until(20 * MILLISECOND);
    assert_eq!((log.lines().len(), Rc::strong_count(&owned)), (1, 1));
}

/// `tokio`'s watch channel wakes its receivers in random order; the tasks run in the order in which they were
/// spawned.
#[test]
fn what_one_step_wakes_runs_in_the_order_of_spawning() {
    let (clock, log) = (Clock::new(), Log::default());
    let process = clock.add_process();
    let (sender, receiver) = tokio::sync::watch::channel(());
    for n in 0..32 {
        let (task_clock, task_log) = (clock.clone(), log.clone());
        let mut receiver = receiver.clone();
        clock.spawn(process, async move {
            drop(receiver.changed().await);
            task_log.write(&task_clock, &n.to_string());
        });
    }
    clock.run_until(MILLISECOND);
    clock.call_at(2 * MILLISECOND, move || assert!(sender.send(()).is_ok()));
    clock.run_until(3 * MILLISECOND);
    let expected: Vec<String> = (0..32).map(|n| format!("2 {n}")).collect();
    assert_eq!(log.lines(), expected);
}
