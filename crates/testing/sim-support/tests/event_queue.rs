//! The order of events in the queue.

use std::time::Duration;

use woadreach_sim_support::EventQueue;

fn drain<Time: Ord, Event>(queue: &mut EventQueue<Time, Event>) -> Vec<Event> {
    std::iter::from_fn(|| queue.pop())
        .map(|scheduled| scheduled.event)
        .collect()
}

#[test]
fn events_are_ordered_by_time() {
    let mut queue = EventQueue::new();
    for at in [3, 1, 2] {
        queue.schedule(Duration::from_secs(at), at);
    }
    assert_eq!(drain(&mut queue), [1, 2, 3]);
}

#[test]
fn events_with_equal_times_are_ordered_as_scheduled() {
    let mut queue = EventQueue::new();
    let events: Vec<u64> = (0..1_000).collect();
    for &event in &events {
        queue.schedule(7, event);
    }
    assert_eq!(drain(&mut queue), events);
}

#[test]
fn an_event_scheduled_for_the_current_time_follows_the_others_of_that_time() {
    let mut queue = EventQueue::new();
    queue.schedule(1, "first");
    queue.schedule(1, "second");
    let first = queue.pop().expect("an event is scheduled");
    queue.schedule(first.at, "third");
    assert_eq!(drain(&mut queue), ["second", "third"]);
}

#[test]
fn an_event_is_due_at_its_time_and_after() {
    let mut queue = EventQueue::new();
    queue.schedule(5, "event");
    assert_eq!(queue.next_time(), Some(&5));
    assert!(queue.pop_due(&4).is_none());
    let due = queue.pop_due(&5).expect("the event is due");
    assert_eq!((due.at, due.event), (5, "event"));
    assert_eq!(queue.next_time(), None);
    assert!(queue.pop_due(&9).is_none());
}

#[test]
fn a_postponed_event_is_ordered_by_its_first_scheduling() {
    let mut queue = EventQueue::new();
    queue.schedule(1, "postponed");
    queue.schedule(2, "other");
    let postponed = queue.pop().expect("an event is scheduled");
    queue.postpone(postponed, 2);
    assert_eq!(drain(&mut queue), ["postponed", "other"]);
}
