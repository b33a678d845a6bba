//! Tests of what `src/tally.rs` keeps to itself; that file takes them in as its own module.

#[path = "../../../../../tests/recorded/lines.rs"]
mod recorded;

use super::*;
use crate::scenario::Scenario;
use recorded::Records;

/// Lines as processes log them.
const LOGGED: [&str; 6] = [
    r#"{"timestamp":"2026-03-01T00:00:01.500000Z","level":"INFO","message":"role action performed","role":"QuotaAllocator(0)","epoch":3}"#,
    r#"{"timestamp":"2026-03-01T00:00:02.000000Z","level":"INFO","message":"role action performed","role":"QuotaAllocator(0)","epoch":4}"#,
    r#"{"timestamp":"2026-03-01T00:00:02.250000Z","level":"INFO","message":"role action performed","role":"EndpointWatch(0)","epoch":9}"#,
    r#"{"level":"WARN","message":"zone ejected","zone":"z1","epoch":5,"consecutive_failovers":0,"seen":9,"failed":8}"#,
    r#"{"level":"INFO","message":"roles reported","held":1,"acquired":1,"lost":0,"stale":2,"clock_jumps":0,"refused":0,"ahead":0}"#,
    r#"{"level":"INFO","message":"membership reported","live":3,"roster":3,"partitioned":false,"datagrams_sent":40,"bytes_sent":2000,"datagrams_received":40}"#,
];

/// 2026-03-01T00:00:00Z.
const BEGUN: f64 = 1_772_323_200.0;

fn outcome() -> Outcome {
    Outcome {
        scenario: Scenario::ZoneCut.name(),
        seed: 7,
        coordinators: 2,
        zones: 2,
        regions: 1,
        seconds: 10.0,
        rules_broken: 1,
        breaches: vec!["why".into()],
        crashes: 0,
        agree_s_p50: None,
        agree_s_p99: None,
        expected: 0,
        agreed: 0,
        false_shifts: 0,
        flaps: 0,
        near_share_safe: None,
        near_share_even: 0.5,
        datagrams_per_s_per_member: 0.0,
        bytes_per_s_per_member: 0.0,
        duties: Leases::default(),
        searches: 100,
        served: 0.75,
    }
}

/// What the logged lines tell, of a zone at fault and a holder that something was done to.
fn told() -> Outcome {
    let mut tally = Tally::new(
        2,
        vec![Fault {
            zone: 1,
            from: 3.0,
            until: 8.0,
        }],
    );
    tally.begins(BEGUN);
    tally.started(0);
    for (node, line) in [0, 1, 0, 0, 0, 0].into_iter().zip(LOGGED) {
        let fields = serde_json::from_str(line).expect("it is JSON");
        tally.record(BEGUN + 4.5, &Record { node, fields });
    }
    assert_eq!(tally.holder(), Some(1));
    tally.gripped(BEGUN + 1.75, 0, &[]);
    let mut outcome = outcome();
    tally.finish(2, &mut outcome);
    outcome
}

#[test]
fn what_processes_log_is_read_as_it_was() {
    let told = told();
    assert_eq!(
        (told.agree_s_p50, told.expected, told.agreed),
        (Some(1.5), 1, 1)
    );
    assert_eq!((told.false_shifts, told.flaps), (0, 0));
    assert_eq!(
        (told.datagrams_per_s_per_member, told.bytes_per_s_per_member),
        (2.0, 100.0)
    );
    let duties = told.duties;
    assert_eq!(
        (duties.acts, duties.two_holders, duties.stale_acts_refused),
        (3, 0, 2)
    );
    assert_eq!(
        (duties.handovers, duties.gripped, duties.handover_s_p50),
        (1, 1, Some(0.25))
    );
}

#[test]
fn an_outcome_is_written_as_it_was() {
    let outcomes = Records::at(concat!(
        env!("CARGO_MANIFEST_DIR"),
        "/tests/recorded/outcome.txt"
    ));
    for (name, outcome) in [("nothing told", outcome()), ("told", told())] {
        let today = serde_json::to_string(&outcome).expect("it is JSON");
        assert_eq!(outcomes.text(name, &today), today, "{name}");
    }
}
