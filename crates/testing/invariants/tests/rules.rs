//! A record of events for each rule, kept and broken.

use rstest::rstest;
use std::sync::Arc;
use woadreach_invariants::{
    Breach, Budget, Checker, Cold, Event, EventKind, NodeId, PartName, QueryTerms, Repeats, Rule,
    Terms,
};

fn terms() -> Terms {
    let row = |repeats, floor, fetch| QueryTerms {
        name: "x".into(),
        repeats,
        need: 1.0,
        floor,
        fetch,
    };
    Terms {
        query_types: vec![
            row(Repeats::Idempotent, 0.5, 0),
            row(Repeats::NonIdempotent, 1.0, 0),
            row(
                Repeats::Tokened {
                    window: 1.0,
                    any_holder: false,
                },
                1.0,
                0,
            ),
            row(Repeats::Idempotent, 0.5, 1),
        ],
        answer_grace: 0.05,
        drain_grace: 0.5,
        cold: Some(Cold {
            from: 0.5,
            time: 10.0,
            multiple: 2.0,
            window: 1.0,
            work: 0.1,
            untold_too: true,
        }),
        budget: Some(Budget {
            free: 1.0,
            share: 0.0,
            window: 10.0,
        }),
        slack: 0.05,
        way: 0.001,
    }
}

const NODE: NodeId = NodeId(0);

fn part(shard: u64, fetch: bool) -> PartName {
    PartName {
        search: "s".into(),
        shard,
        fetch,
    }
}

/// A search of two halves, at shards 0 and 1, asked at 0 s for 1 s.
fn requested(query_type: usize) -> EventKind {
    let parts = Arc::from([(0, 0.5), (1, 0.5)]);
    EventKind::Requested {
        node: NODE,
        search: "s".into(),
        query_type,
        parts,
        ends: 1.0,
    }
}

fn sent_at(shard: u64, replica: &str, at: f64) -> EventKind {
    let (replica, part, work) = (replica.into(), part(shard, false), 0.1);
    EventKind::PartReceived {
        node: NODE,
        replica,
        part,
        begun: at,
        came: at,
        work,
        from: vec![],
        first_whole: None,
    }
}

fn fetch(shard: u64, from: &[u64], whole: bool) -> EventKind {
    let (replica, part, from) = ("a".into(), part(shard, true), from.to_vec());
    EventKind::PartReceived {
        node: NODE,
        replica,
        part,
        begun: 0.3,
        came: 0.3,
        work: 0.1,
        from,
        first_whole: Some(whole),
    }
}

fn made(shard: u64, fetch: bool) -> EventKind {
    let value = format!("v{shard}{fetch}").into();
    EventKind::PartCompleted {
        node: NODE,
        replica: "a".into(),
        part: part(shard, fetch),
        value,
    }
}

fn answered(whole: bool, rows: &[(u64, &str)]) -> EventKind {
    let rows = rows
        .iter()
        .map(|(shard, value)| (*shard, value.to_string()))
        .collect();
    EventKind::Answered {
        search: "s".into(),
        whole,
        rows,
    }
}

fn shed() -> EventKind {
    EventKind::Shed { search: "s".into() }
}

fn turned_away(shard: u64) -> EventKind {
    EventKind::PartRejected {
        node: NODE,
        replica: "a".into(),
        part: part(shard, false),
    }
}

fn listed(ready: bool) -> EventKind {
    EventKind::ReplicaListed {
        node: NODE,
        replica: "a".into(),
        ready,
    }
}

/// The rules that a record breaks, each once.
fn broken(events: Vec<(f64, EventKind)>, until: f64) -> Vec<Rule> {
    let mut checker = Checker::new(terms());
    let mut all: Vec<Breach> = events
        .into_iter()
        .flat_map(|(at, kind)| checker.take(&Event { at, kind }))
        .collect();
    all.extend(checker.tick(until));
    let mut rules: Vec<Rule> = all.iter().map(|b| b.rule).collect();
    rules.dedup();
    rules
}

const COMPLETE: [(u64, &str); 2] = [(0, "v0false"), (1, "v1false")];

#[rstest]
#[case::answered_once(vec![(0.5, shed())], 9.0, &[])]
#[case::within_grace(vec![(1.09, shed())], 9.0, &[])]
#[case::too_late(vec![(1.2, shed())], 9.0, &[Rule::NoSearchLost])]
#[case::never(vec![], 9.0, &[Rule::NoSearchLost])]
#[case::not_yet(vec![], 1.0, &[])]
#[case::client_left(vec![(0.5, EventKind::ClientDisconnected { search: "s".into() })], 9.0, &[])]
#[case::killed(vec![(0.5, EventKind::NodeKilled { node: NODE })], 9.0, &[])]
#[case::ended_by_itself(vec![(0.5, EventKind::NodeEnded { node: NODE })], 9.0, &[Rule::NoSearchLost])]
#[case::stood_still(vec![(0.5, EventKind::Stalled { node: NODE, seconds: 1.0 })], 9.0, &[])]
#[case::twice(vec![(0.5, shed()), (0.6, shed())], 9.0, &[Rule::NoSearchLost])]
#[case::dropped_untouched(vec![(0.5, EventKind::ConnectionClosed { search: "s".into() })], 9.0, &[])]
#[case::dropped_when_sent_on(
    vec![(0.1, sent_at(0, "a", 0.1)), (0.5, EventKind::ConnectionClosed { search: "s".into() })],
    9.0,
    &[Rule::NoSearchLost]
)]
#[case::sent_on_after(vec![(0.5, shed()), (0.6, sent_at(0, "a", 0.501))], 9.0, &[Rule::NoSearchLost])]
#[case::read_after_but_came_before(vec![(0.5, shed()), (0.6, sent_at(0, "a", 0.499))], 9.0, &[])]
#[case::held_back_on_its_way(
    vec![
        (0.1, EventKind::LinkBlocked { replica: "a".into(), held: true }),
        (0.5, shed()),
        (0.8, EventKind::LinkBlocked { replica: "a".into(), held: false }),
        (0.85, sent_at(0, "a", 0.85)),
    ],
    9.0,
    &[]
)]
#[case::long_after_its_way_was_free(
    vec![
        (0.1, EventKind::LinkBlocked { replica: "a".into(), held: true }),
        (0.5, shed()),
        (0.8, EventKind::LinkBlocked { replica: "a".into(), held: false }),
        (1.5, sent_at(0, "a", 1.5)),
    ],
    9.0,
    &[Rule::NoSearchLost]
)]
#[case::no_such_shard(vec![(0.1, sent_at(7, "a", 0.1)), (0.5, shed())], 9.0, &[Rule::NoSearchLost])]
fn no_search_lost(
    #[case] events: Vec<(f64, EventKind)>,
    #[case] until: f64,
    #[case] expected: &[Rule],
) {
    assert_eq!(
        broken([vec![(0.0, requested(0))], events].concat(), until),
        expected
    );
}

#[rstest]
#[case::idempotent(0, vec![(0.1, sent_at(0, "a", 0.1)), (0.2, sent_at(0, "b", 0.2))], &[])]
#[case::once(1, vec![(0.1, sent_at(0, "a", 0.1)), (0.2, sent_at(0, "b", 0.2))], &[Rule::NoEffectTwice])]
#[case::once_turned_away(
    1,
    vec![(0.1, sent_at(0, "a", 0.1)), (0.15, turned_away(0)), (0.2, sent_at(0, "b", 0.2))],
    &[]
)]
#[case::shed_when_sent(1, vec![(0.1, sent_at(0, "a", 0.1)), (0.2, shed())], &[Rule::NoEffectTwice])]
#[case::shed_when_turned_away(
    1,
    vec![(0.1, sent_at(0, "a", 0.1)), (0.15, turned_away(0)), (0.2, shed())],
    &[]
)]
#[case::token_known(2, vec![(0.1, sent_at(0, "a", 0.1)), (0.9, sent_at(0, "a", 0.9))], &[])]
#[case::token_elsewhere(
    2,
    vec![(0.1, sent_at(0, "a", 0.1)), (0.9, sent_at(0, "b", 0.9))],
    &[Rule::NoEffectTwice]
)]
#[case::token_forgotten(
    2,
    vec![(-0.5, sent_at(0, "a", -0.5)), (0.9, sent_at(0, "a", 0.9))],
    &[Rule::NoEffectTwice]
)]
fn no_effect_twice(
    #[case] query_type: usize,
    #[case] events: Vec<(f64, EventKind)>,
    #[case] expected: &[Rule],
) {
    assert_eq!(
        broken([vec![(-1.0, requested(query_type))], events].concat(), 0.0),
        expected
    );
}

#[rstest]
#[case::within_grace(vec![(0.0, listed(false)), (0.5, sent_at(0, "a", 0.5))], &[])]
#[case::after_grace(vec![(0.0, listed(false)), (0.6, sent_at(0, "a", 0.6))], &[Rule::DrainsKept])]
#[case::the_first_word_counts(
    vec![(0.0, listed(false)), (0.4, listed(false)), (0.6, sent_at(0, "a", 0.6))],
    &[Rule::DrainsKept]
)]
#[case::ready_again(vec![(0.0, listed(false)), (0.4, listed(true)), (0.6, sent_at(0, "a", 0.6))], &[])]
#[case::another(vec![(0.0, listed(false)), (0.6, sent_at(0, "b", 0.6))], &[])]
#[case::started_anew(
    vec![(0.0, listed(false)), (0.1, EventKind::NodeStarted { node: NODE }), (0.6, sent_at(0, "a", 0.6))],
    &[]
)]
fn drains(#[case] events: Vec<(f64, EventKind)>, #[case] expected: &[Rule]) {
    assert_eq!(
        broken([vec![(0.0, requested(0))], events].concat(), 0.7),
        expected
    );
}

/// One core, half of it at the start: twice that in any second are ten parts, and 2 x root of 10 + 2 more are
/// chance.
#[rstest]
#[case::within(18, 0.001, &[])]
#[case::over(19, 0.001, &[Rule::ColdNotPushedOver])]
#[case::spread(19, 0.2, &[])]
fn slow_start(#[case] parts: u64, #[case] apart: f64, #[case] expected: &[Rule]) {
    let mut checker = Checker::new(Terms {
        budget: None,
        ..terms()
    });
    let mut all = checker.take(&Event {
        at: 0.0,
        kind: EventKind::ReplicaStarted {
            replica: "a".into(),
            cores: 1.0,
        },
    });
    for n in 0..parts {
        let at = 0.1 + n as f64 * apart;
        let parts = Arc::from([(0, 1.0)]);
        let search: Arc<str> = format!("s{n}").into();
        let kind = EventKind::Requested {
            node: NODE,
            search: search.clone(),
            query_type: 0,
            parts,
            ends: at + 9.0,
        };
        all.extend(checker.take(&Event { at, kind }));
        let EventKind::PartReceived {
            node,
            replica,
            begun,
            came,
            work,
            from,
            first_whole,
            ..
        } = sent_at(0, "a", at)
        else {
            return;
        };
        let part = PartName {
            search,
            shard: 0,
            fetch: false,
        };
        let kind = EventKind::PartReceived {
            node,
            replica,
            part,
            begun,
            came,
            work,
            from,
            first_whole,
        };
        all.extend(checker.take(&Event { at, kind }));
    }
    assert_eq!(all.iter().map(|b| b.rule).collect::<Vec<_>>(), expected);
    assert_eq!(checker.fallen("a"), !expected.is_empty());
}

#[rstest]
#[case::whole(0, vec![made(0, false), made(1, false), answered(true, &COMPLETE)], &[])]
#[case::half(0, vec![made(0, false), answered(false, &COMPLETE[..1])], &[])]
#[case::half_marked_whole(0, vec![made(0, false), answered(true, &COMPLETE[..1])], &[Rule::HonestAnswers])]
#[case::under_the_floor(1, vec![made(0, false), answered(false, &COMPLETE[..1])], &[Rule::HonestAnswers])]
#[case::nobody_made_it(0, vec![made(0, false), answered(true, &COMPLETE)], &[Rule::HonestAnswers])]
#[case::twice(0, vec![made(0, false), answered(false, &[COMPLETE[0], COMPLETE[0]])], &[Rule::HonestAnswers])]
#[case::before_the_second_step(3, vec![made(0, false), answered(false, &COMPLETE[..1])], &[Rule::HonestAnswers])]
#[case::second_step(
    3,
    vec![
        made(0, false),
        made(1, false),
        fetch(0, &[0, 1], true),
        made(0, true),
        answered(true, &[(0, "v0true")]),
    ],
    &[]
)]
#[case::second_step_of_a_half(
    3,
    vec![made(0, false), fetch(0, &[0], false), made(0, true), answered(true, &[(0, "v0true")])],
    &[Rule::HonestAnswers]
)]
#[case::names_one_that_is_not_in(3, vec![made(0, false), fetch(0, &[0, 1], true)], &[Rule::HonestAnswers])]
#[case::fetches_what_is_not_in(3, vec![made(0, false), fetch(1, &[0], false)], &[Rule::HonestAnswers])]
fn honest(#[case] query_type: usize, #[case] events: Vec<EventKind>, #[case] expected: &[Rule]) {
    let events = events.into_iter().map(|kind| (0.5, kind));
    assert_eq!(
        broken(
            [(0.0, requested(query_type))]
                .into_iter()
                .chain(events)
                .collect(),
            0.9
        ),
        expected
    );
}

#[rstest]
#[case::one_is_free(&[0.1, 0.2], &[])]
#[case::two_are_not(&[0.1, 0.2, 0.3], &[Rule::Budget])]
fn budget(#[case] at: &[f64], #[case] expected: &[Rule]) {
    let sent = at.iter().map(|at| (*at, sent_at(0, "a", *at)));
    assert_eq!(
        broken([(0.0, requested(0))].into_iter().chain(sent).collect(), 0.9),
        expected
    );
}

/// What an ended process had sent, and a replica that stood still reads only now, is not of the new one's
/// budget.
#[test]
fn budget_of_a_process_begins_with_it() {
    let late = [(0, 0.1), (0, 0.2), (0, 0.3)].map(|(shard, came)| (0.6, sent_at(shard, "a", came)));
    let started = (0.5, EventKind::NodeStarted { node: NODE });
    let now = (0.7, sent_at(0, "a", 0.7));
    let events = [(0.0, requested(0)), started]
        .into_iter()
        .chain(late)
        .chain([now])
        .collect();
    assert_eq!(broken(events, 0.9), []);
}

/// The proof of a breach is what was seen of its search, and of no other.
#[test]
fn breaches_come_with_their_events() {
    let mut checker = Checker::new(terms());
    for (at, kind) in [(0.0, requested(0)), (0.1, sent_at(0, "a", 0.1))] {
        assert!(checker.take(&Event { at, kind }).is_empty());
    }
    assert_eq!(checker.owed(), 1);
    let found = checker.take(&Event {
        at: 0.2,
        kind: answered(true, &COMPLETE),
    });
    assert_eq!(
        (found.len(), found[0].proof.len(), checker.owed()),
        (1, 3, 0)
    );
    assert!(
        found[0]
            .why
            .contains("no replica made the value of shard 0"),
        "{}",
        found[0].why
    );
}

/// A client has gone at 0.2 s: attempts that begin up to 0.1 s later, and the slack of the record, are on
/// their way; later ones are a break from the third on.
#[rstest]
#[case::on_their_way(&[0.21, 0.3, 0.34, 0.34], 0)]
#[case::two_are_none(&[0.36, 0.5], 0)]
#[case::three(&[0.36, 0.5, 0.6], 1)]
#[case::four(&[0.36, 0.5, 0.6, 0.7], 2)]
fn attempts_for_a_disconnected_client(#[case] at: &[f64], #[case] breaks: usize) {
    let mut checker = Checker::new(Terms {
        budget: None,
        cold: None,
        ..terms()
    });
    let mut all = checker.take(&Event {
        at: 0.0,
        kind: requested(0),
    });
    all.extend(checker.take(&Event {
        at: 0.2,
        kind: EventKind::ClientDisconnected { search: "s".into() },
    }));
    for at in at {
        all.extend(checker.take(&Event {
            at: *at,
            kind: sent_at(0, "a", *at),
        }));
    }
    assert_eq!(
        all.iter().map(|b| b.rule).collect::<Vec<_>>(),
        vec![Rule::Sound; breaks]
    );
}

/// Where only senders whose agents listed the start count, an overload breaks the rule if over two thirds of
/// the work were theirs.
#[rstest]
#[case::all_listed(2, &[Rule::ColdNotPushedOver])]
#[case::half_listed(1, &[])]
#[case::none_listed(0, &[])]
fn overload_by_notified_senders(#[case] told: usize, #[case] expected: &[Rule]) {
    let cold = terms().cold.map(|c| Cold {
        untold_too: false,
        ..c
    });
    let mut checker = Checker::new(Terms {
        budget: None,
        cold,
        ..terms()
    });
    let mut all = checker.take(&Event {
        at: 0.0,
        kind: EventKind::ReplicaStarted {
            replica: "a".into(),
            cores: 1.0,
        },
    });
    for node in (0..told).map(NodeId) {
        let kind = EventKind::ReplicaListed {
            node,
            replica: "a".into(),
            ready: true,
        };
        all.extend(checker.take(&Event { at: 0.05, kind }));
    }
    for n in 0..20 {
        let (at, node) = (0.1 + n as f64 * 0.001, NodeId(n % 2));
        let (search, parts): (Arc<str>, _) = (format!("s{n}").into(), Arc::from([(0, 1.0)]));
        let kind = EventKind::Requested {
            node,
            search: search.clone(),
            query_type: 0,
            parts,
            ends: at + 9.0,
        };
        all.extend(checker.take(&Event { at, kind }));
        let part = PartName {
            search,
            shard: 0,
            fetch: false,
        };
        let (replica, work, from) = ("a".into(), 0.1, vec![]);
        let kind = EventKind::PartReceived {
            node,
            replica,
            part,
            begun: at,
            came: at,
            work,
            from,
            first_whole: None,
        };
        all.extend(checker.take(&Event { at, kind }));
    }
    assert_eq!(all.iter().map(|b| b.rule).collect::<Vec<_>>(), expected);
    assert!(checker.fallen("a"));
}
