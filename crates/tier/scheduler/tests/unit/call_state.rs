//! Transitions of every state on every event, compared with the table in the documentation of the module.

use super::*;
use crate::fleet::Fleet;
use crate::spec::ReplicaSpec;
use std::sync::Arc;

fn replica_key() -> ReplicaKey {
    let spec = ReplicaSpec {
        id: Arc::from("a"),
        service: Arc::from("s"),
        zone: Arc::from("z"),
        capacity: 1,
        ready: true,
        cold_remaining: 0.0,
        generation: Arc::from("v1"),
    };
    let mut fleet = Fleet::default();
    fleet.update(0.0, &[spec]);
    fleet.usable("s").next().unwrap().0
}

#[test]
fn only_the_transitions_of_the_table_are_allowed() {
    let (replica, deadline) = (replica_key(), 1.0);
    let queued = CallState::Queued { replica, deadline };
    let enqueued = CallEvent::Enqueued { replica, deadline };
    let states = [
        CallState::Deciding,
        queued,
        CallState::Postponed,
        CallState::Running,
    ];
    let events = [
        CallEvent::Sent,
        enqueued,
        CallEvent::Postponed,
        CallEvent::Released,
        CallEvent::AttemptsEnded,
    ];
    let table = [
        (CallState::Deciding, CallEvent::Sent, CallState::Running),
        (CallState::Deciding, enqueued, queued),
        (
            CallState::Deciding,
            CallEvent::Postponed,
            CallState::Postponed,
        ),
        (queued, CallEvent::Released, CallState::Deciding),
        (
            CallState::Postponed,
            CallEvent::Released,
            CallState::Deciding,
        ),
        (CallState::Running, CallEvent::Sent, CallState::Running),
        (
            CallState::Running,
            CallEvent::AttemptsEnded,
            CallState::Deciding,
        ),
    ];
    for state in states {
        for event in events {
            let transition = table
                .iter()
                .find(|(from, on, _)| *from == state && *on == event);
            assert_eq!(
                state.after(event).ok(),
                transition.map(|(_, _, to)| *to),
                "{state:?} {event:?}"
            );
        }
    }
}
