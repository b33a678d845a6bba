//! Tests of private items of `src/measurements.rs`, which includes this file as a module.

#[path = "../../../../../tests/recorded/mod.rs"]
mod recorded;

use super::{LogLine, Measurements, Outcome, ZoneFault};
use crate::scenario::Scenario;
use recorded::Records;

/// Log lines in the format of `woadreachd`.
const LOGGED: [&str; 6] = [
    r#"{"timestamp":"2026-03-01T00:00:01.500000Z","level":"INFO","message":"role action performed","role":"QuotaAllocator(0)","epoch":3}"#,
    r#"{"timestamp":"2026-03-01T00:00:02.000000Z","level":"INFO","message":"role action performed","role":"QuotaAllocator(0)","epoch":4}"#,
    r#"{"timestamp":"2026-03-01T00:00:02.250000Z","level":"INFO","message":"role action performed","role":"EndpointWatch(0)","epoch":9}"#,
    r#"{"level":"WARN","message":"zone ejected","zone":"z1","epoch":5,"consecutive_failovers":0,"seen":9,"failed":8}"#,
    r#"{"level":"INFO","message":"roles reported","held":1,"acquired":1,"lost":0,"stale":2,"clock_jumps":0,"refused":0,"ahead":0}"#,
    r#"{"level":"INFO","message":"membership reported","live":3,"roster":3,"partitioned":false,"datagrams_sent":40,"bytes_sent":2000,"datagrams_received":40}"#,
];

/// 2026-03-01T00:00:00Z in Unix seconds.
const LOAD_STARTED_AT: f64 = 1_772_323_200.0;

/// An outcome before any measurement is filled in.
fn outcome() -> Outcome {
    Outcome {
        scenario: Scenario::ZoneCut.name(),
        seed: 7,
        coordinators: 2,
        zones: 2,
        regions: 1,
        seconds: 10.0,
        broken_invariants: 1,
        breaches: vec!["why".into()],
        near_share_even: 0.5,
        searches: 100,
        served_share: 0.75,
        ..Outcome::default()
    }
}

/// The outcome measured from `LOGGED`, with a faulty zone and a fault injected into a lease holder.
fn measured() -> Outcome {
    let mut measurements = Measurements::new(
        2,
        vec![ZoneFault {
            zone: 1,
            from_s: 3.0,
            until_s: 8.0,
        }],
    );
    measurements.record_load_start(LOAD_STARTED_AT);
    measurements.record_process_start(0);
    for (node, line) in [0, 1, 0, 0, 0, 0].into_iter().zip(LOGGED) {
        let fields = serde_json::from_str(line).expect("the log line is valid JSON");
        measurements.record_log_line(LOAD_STARTED_AT + 4.5, &LogLine { node, fields });
    }
    assert_eq!(measurements.lease_holder(), Some(1));
    measurements.record_holder_fault(LOAD_STARTED_AT + 1.75, 0, &[]);
    let mut outcome = outcome();
    measurements.complete(2, &mut outcome);
    outcome
}

#[test]
fn logged_events_are_measured() {
    let measured = measured();
    assert_eq!(
        (measured.agree_s_p50, measured.expected, measured.agreed),
        (Some(1.5), 1, 1)
    );
    assert_eq!((measured.false_failovers, measured.flaps), (0, 0));
    assert_eq!(
        (
            measured.datagrams_per_s_per_member,
            measured.bytes_per_s_per_member
        ),
        (2.0, 100.0)
    );
    let roles = measured.roles;
    assert_eq!(
        (
            roles.actions,
            roles.two_holders,
            roles.stale_actions_rejected
        ),
        (3, 0, 2)
    );
    assert_eq!(
        (roles.handovers, roles.holder_faults, roles.handover_s_p50),
        (1, 1, Some(0.25))
    );
}

#[test]
fn outcome_json_matches_the_record() {
    let outcomes = Records::at(concat!(
        env!("CARGO_MANIFEST_DIR"),
        "/tests/recorded/outcome.txt"
    ));
    for (name, outcome) in [("nothing told", outcome()), ("told", measured())] {
        let today = serde_json::to_string(&outcome).expect("an outcome can be serialized");
        assert_eq!(outcomes.text(name, &today), today, "{name}");
    }
}
