//! Searches: how they are answered, shed, retried and given up.

use crate::common::{Wire, request};
use crate::scene::{Scene, answer_body, refuse_connections, row, scene, scene_with, with_times};
use rstest::rstest;
use std::time::Duration;

/// However a request comes, its parts go out with its text, and the values come back as replicas gave them.
#[rstest]
#[case::at_once(0)]
#[case::in_the_head(20)]
#[case::in_the_body(150)]
fn answered_with_the_values_unchanged(#[case] split: usize) {
    let s = scene();
    let mut client = Wire::to(s.address);
    let text =
        request("browse/x", "t-1", &[0, 1, 2], "q7\\u0041") + &request("browse", "t-2", &[0], "r");
    client.write(&text[..split]);
    client.write(&text[split..]);
    let (mut a, mut b) = (s.a.accept(), s.b.accept());
    let sent = a.call();
    let ids: Vec<&str> = sent.iter().map(|p| p.id.as_str()).collect();
    assert_eq!(
        (ids, sent[1].shard, sent[1].text.as_str()),
        (vec!["t-1.0", "t-1.2"], 2, "q7A")
    );
    let wait: u64 = sent[0].list.strip_prefix("d=").unwrap().parse().unwrap();
    assert!((1..=5000).contains(&wait), "{wait}");
    assert_eq!(b.call()[0].id, "t-1.1");
    a.answer("t-1.2", "200", 5, "v\"2\n");
    b.answer("t-1.1", "200", 18446744073709551615, "v1");
    a.answer("t-1.0", "200", 7, "");
    let (status, _, body) = client.reply();
    assert_eq!(status, 200);
    assert_eq!(
        body,
        answer_body(true, &[row(0, ""), row(1, "v1"), row(2, "v\\\"2\\u000a")])
    );
    assert_eq!(
        a.call()[0].id,
        "t-2.0",
        "the next request was read with the first"
    );
    a.answer("t-2.0", "200", 0, "z");
    assert_eq!(client.reply().2, answer_body(true, &[row(0, "z")]));
}

#[rstest]
#[case::error("500")]
#[case::turned_away("503")]
fn answered_in_part(#[case] end: &str) {
    let s = scene();
    let mut client = Wire::to(s.address);
    client.write(request("browse", "t", &[0, 1], "q"));
    let (mut a, mut b) = (s.a.accept(), s.b.accept());
    a.call();
    a.answer("t.0", "200", 1, "v");
    for _ in 0..3 {
        b.call();
        b.answer("t.1", end, 0, "no");
    }
    assert_eq!(client.reply().2, answer_body(false, &[row(0, "v")]));
}

#[test]
fn the_second_step_goes_to_the_highest_scores() {
    let s = scene();
    let mut client = Wire::to(s.address);
    client.write(request("deep", "t", &[0, 1, 2, 3], "q"));
    let (mut a, mut b) = (s.a.accept(), s.b.accept());
    a.call();
    b.call();
    a.answer("t.0", "200", 10, "first");
    a.answer("t.2", "200", 30, "first");
    b.answer("t.1", "200", 20, "first");
    b.answer("t.3", "200", 5, "first");
    for (wire, id) in [(&mut a, "t.2.fetch"), (&mut b, "t.1.fetch")] {
        let sent = wire.call();
        assert_eq!((sent.len(), sent[0].id.as_str()), (1, id));
        assert!(
            sent[0].list.starts_with("d=") && sent[0].list.ends_with(",from=0+1+2+3,whole=1"),
            "{sent:?}"
        );
        wire.answer(id, "200", 0, "second");
    }
    assert_eq!(
        client.reply().2,
        answer_body(true, &[row(2, "second"), row(1, "second")])
    );
}

/// The time of a request that waits behind another counts from when it came: one whose time is over by its
/// turn is shed, and nothing is sent for it.
#[test]
fn a_request_behind_another_keeps_its_time() {
    let s = scene();
    let mut client = Wire::to(s.address);
    let second =
        request("browse", "t-2", &[0], "q").replace("X-Expires-In: 5.0", "X-Expires-In: 0.5");
    client.write(request("browse", "t-1", &[0], "q") + &second);
    let mut a = s.a.accept();
    a.call();
    std::thread::sleep(Duration::from_secs(1));
    a.answer("t-1.0", "200", 0, "v");
    assert_eq!(client.reply().0, 200);
    assert_eq!(client.reply().0, 503);
    client.write(request("browse", "t-3", &[0], "q"));
    assert_eq!(a.call()[0].id, "t-3.0");
}

/// The same for one that lay in the kernel while the process stood still.
#[test]
fn a_request_that_was_read_late_keeps_its_time() {
    let s = scene();
    let mut client = Wire::to(s.address);
    s.program.signal("-STOP");
    client
        .write(request("browse", "t", &[0], "q").replace("X-Expires-In: 5.0", "X-Expires-In: 0.5"));
    std::thread::sleep(Duration::from_secs(1));
    s.program.signal("-CONT");
    assert_eq!(client.reply().0, 503);
    assert!(!s.a.called());
}

/// What may not run twice is shed if it has not run, and errored, once, if it may have.
#[rstest]
#[case::turned_away(Some("503"), 503)]
#[case::error(Some("500"), 500)]
#[case::breaks_after_the_frame(None, 500)]
fn a_part_that_may_not_run_twice(#[case] end: Option<&str>, #[case] status: u16) {
    let s = scene();
    let mut client = Wire::to(s.address);
    client.write(request("pay", "t", &[0], "q"));
    let mut a = s.a.accept();
    match end {
        Some(end) => {
            for _ in 0..if end == "503" { 3 } else { 1 } {
                a.call();
                a.answer("t.0", end, 0, "");
            }
        }
        None => {
            a.call();
            drop(a);
        }
    }
    assert_eq!(client.reply().0, status);
    assert!(end.is_some() || !s.a.called(), "sent again");
}

#[test]
fn shed_when_the_replica_refuses() {
    let Scene {
        a,
        address,
        program: _program,
        ..
    } = scene();
    let _port = refuse_connections(a);
    let mut client = Wire::to(address);
    client.write(request("pay", "t", &[0], "q"));
    assert_eq!(client.reply().0, 503);
}

/// A part without an answer is given up when its time is over; what comes for it later changes nothing.
#[test]
fn late_and_second_answers_are_ignored() {
    let s = scene_with(|c| with_times(&c, 1000, 3000));
    let mut client = Wire::to(s.address);
    client.write(request("pay", "t", &[0], "q"));
    let mut a = s.a.accept();
    a.call();
    assert_eq!(a.frame(), Some(('K', b"t.0".to_vec())));
    assert_eq!(client.reply().0, 500);
    a.answer("t.0", "200", 0, "late");
    client.write(request("pay", "u", &[0], "q"));
    assert_eq!(a.call()[0].id, "u.0");
    a.answer("t.0", "200", 0, "late");
    a.answer("u.0", "200", 0, "v");
    a.answer("u.0", "200", 0, "twice");
    assert_eq!(client.reply().2, answer_body(true, &[row(0, "v")]));
    client.write(request("pay", "w", &[0], "q"));
    assert_eq!(a.call()[0].id, "w.0");
}

#[rstest]
#[case::too_many("\"attemptsCap\"", "\"maxOpen\":3,\"attemptsCap\"")]
#[case::too_large("\"memory_mb\":192", "\"memory_mb\":0.0001")]
fn shed_beyond_the_limits_of_searches_and_memory(#[case] from: &str, #[case] to: &str) {
    let s = scene_with(|c| c.replace(from, to));
    let mut client = Wire::to(s.address);
    client.write(request("browse", "t", &[0, 1, 2], "q"));
    assert_eq!(client.reply().0, 503);
}

#[test]
fn a_client_that_disconnects_cancels_its_search() {
    let s = scene();
    let mut client = Wire::to(s.address);
    client.write(request("browse", "t", &[0], "q"));
    let mut a = s.a.accept();
    a.call();
    drop(client);
    assert_eq!(a.frame(), Some(('K', b"t.0".to_vec())));
}

#[test]
fn a_duplicate_trace_id_is_refused() {
    let s = scene();
    let (mut first, mut second) = (Wire::to(s.address), Wire::to(s.address));
    first.write(request("browse", "t", &[0], "q"));
    let mut a = s.a.accept();
    a.call();
    second.write(request("browse", "t", &[0], "q"));
    assert_eq!(second.reply().0, 409);
    a.answer("t.0", "200", 0, "v");
    assert_eq!(first.reply().0, 200);
    // One just answered is not in flight any more, but its trace id is still reserved.
    second.write(request("browse", "t", &[0], "q"));
    assert_eq!(second.reply().0, 409);
}

/// Before a move: a watch of proposed limits counts, by kind, what it would not have allowed, and decides
/// nothing otherwise. Here `browse` is to become a query type that may not run twice: its part is sent again
/// after an error, as before, and that is counted.
#[test]
fn the_watch_counts_steps_that_proposed_limits_would_not_allow() {
    let s = scene_with(|c| {
        c.replacen(
            r#""settings":{"#,
            r#""settings":{"watch":{"once":["browse"]},"#,
            1,
        )
    });
    let mut program = s.program;
    let mut client = Wire::to(s.address);
    client.write(request("browse", "t", &[0], "q"));
    let mut a = s.a.accept();
    a.call();
    a.answer("t.0", "500", 0, "");
    assert_eq!(a.call()[0].id, "t.0", "decided as before: sent again");
    a.answer("t.0", "200", 0, "v");
    assert_eq!(client.reply().0, 200);
    // The counts are logged with each report, the first of them perhaps before the search arrived.
    let reports: Vec<String> = (0..2)
        .map(|_| program.says("watched settings compared "))
        .collect();
    assert!(
        reports
            .iter()
            .any(|t| t == "retry_after=0 hedges=0 retries_of_once=1"),
        "{reports:?}"
    );
}
