//! Tests of what `src/clock.rs` keeps to itself; that file takes them in as its own module.

use super::*;

type Lines = Rc<RefCell<Vec<String>>>;

fn log() -> (Lines, impl Fn(&Clock, &str) + Clone + 'static) {
    let lines: Lines = Rc::default();
    let to = lines.clone();
    (lines, move |clock: &Clock, what: &str| {
        to.borrow_mut()
            .push(format!("{} {what}", clock.now() / MILLISECOND));
    })
}

/// Time moves to what happens next, and what happens at one time keeps the order it was asked for in.
#[test]
fn time_moves_only_when_nothing_is_ready() {
    let (clock, (lines, say)) = (Clock::new(), log());
    let process = clock.add_process();
    for (name, wait) in [("a", 20), ("b", 10), ("c", 20)] {
        let (clock2, say) = (clock.clone(), say.clone());
        clock.spawn(process, async move {
            Sleep::new(&clock2, wait * MILLISECOND).await;
            say(&clock2, name);
        });
    }
    clock.run_until(15 * MILLISECOND);
    assert_eq!(
        (lines.borrow().clone(), clock.now()),
        (vec!["10 b".to_string()], 15 * MILLISECOND)
    );
    clock.run_until(100 * MILLISECOND);
    assert_eq!(*lines.borrow(), ["10 b", "20 a", "20 c"]);
    assert_eq!(clock.tasks(process), 0);
}

#[test]
fn a_suspended_process_runs_what_waited_afterwards() {
    let (clock, (lines, say)) = (Clock::new(), log());
    let process = clock.add_process();
    let inner = clock.clone();
    clock.spawn(process, async move {
        Sleep::new(&inner, MILLISECOND).await;
        say(&inner, "late");
    });
    clock.run_until(0);
    clock.stall(process);
    let (other, again) = (clock.clone(), clock.clone());
    clock.call_at(50 * MILLISECOND, move || other.resume(process));
    again.run_until(100 * MILLISECOND);
    assert_eq!(*lines.borrow(), ["50 late"]);
}

/// A task that is killed drops what it holds, and is never run again; one that panics ends alone.
#[test]
fn killed_tasks_are_dropped_and_panics_end_one_task() {
    let (clock, (lines, say)) = (Clock::new(), log());
    let (first, second) = (clock.add_process(), clock.add_process());
    let held = Rc::new(());
    for process in [first, second] {
        let (inner, say, held) = (clock.clone(), say.clone(), held.clone());
        clock.spawn(process, async move {
            Sleep::new(&inner, 10 * MILLISECOND).await;
            say(&inner, "ran");
            drop(held);
        });
    }
    clock.spawn(second, async { panic!("{}", "as it was told") });
    clock.run_until(MILLISECOND);
    assert_eq!(clock.panics(), [(second, "as it was told".to_string())]);
    clock.kill(first);
    assert!(!clock.alive(first));
    assert_eq!(Rc::strong_count(&held), 2);
    clock.run_until(20 * MILLISECOND);
    assert_eq!((lines.borrow().len(), Rc::strong_count(&held)), (1, 1));
}

/// `tokio`'s watch channel wakes whoever waits in an order by chance; the tasks run in that of their
/// spawning.
#[test]
fn what_one_step_wakes_runs_in_the_order_of_spawning() {
    let (clock, (lines, say)) = (Clock::new(), log());
    let process = clock.add_process();
    let (tell, told) = tokio::sync::watch::channel(());
    for n in 0..32 {
        let (clock2, say, mut told) = (clock.clone(), say.clone(), told.clone());
        clock.spawn(process, async move {
            drop(told.changed().await);
            say(&clock2, &n.to_string());
        });
    }
    clock.run_until(MILLISECOND);
    clock.call_at(2 * MILLISECOND, move || assert!(tell.send(()).is_ok()));
    clock.run_until(3 * MILLISECOND);
    let expected: Vec<String> = (0..32).map(|n| format!("2 {n}")).collect();
    assert_eq!(*lines.borrow(), expected);
}
