//! The built program, spoken to over sockets: clients, replicas and discovery are stand-ins on loopback.

#[path = "../../../routing/tests/common/mod.rs"]
mod common;
mod scene;
use common::*;
use rstest::rstest;
use scene::*;
use std::net::SocketAddr;
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

/// Long before the descriptors run short, answers end the connections of clients that hold many.
#[test]
fn answers_end_connections_where_clients_hold_many() {
    let s = scene_with(|c| c.replace("\"sockets\":1024", "\"sockets\":40"));
    let heads = (0..8).map(|_| {
        let mut client = Wire::to(s.address);
        client.write("GET /health/live HTTP/1.1\r\n\r\n");
        (client.reply().1.contains("Connection: close"), client)
    });
    let heads: Vec<(bool, Wire)> = heads.collect();
    assert!(!heads[0].0 && heads[7].0);
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
    drop(a);
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
#[case::too_long(b"\xff\xff\xff\xff")]
#[case::unknown_letter(b"\x05\0\0\0Qabcd")]
#[case::no_line(b"\x05\0\0\0Oabcd")]
#[case::refused(b"\x05\0\0\0Zabcd")]
#[case::unknown_end(b"\x0d\0\0\0Ot.0 299 1 \nv")]
#[case::unknown_id(b"\x0d\0\0\0Ot.9 200 1 \nv")]
#[case::not_text(b"\x0d\0\0\0Ot.0 200 1 \n\xff")]
#[case::never_whole(b"\x0e\0\0\0Ot.0 200 1 \nv")]
#[case::begun(b"\x0d\0")]
fn unusable_frames_end_the_connection(#[case] bytes: &[u8]) {
    let s = scene();
    let (mut client, mut other) = (Wire::to(s.address), Wire::to(s.address));
    client.write(request("pay", "t", &[0], "q"));
    let mut a = s.a.accept();
    a.call();
    other.write(request("pay", "u", &[2], "q"));
    a.call();
    a.write(bytes);
    assert_eq!((client.reply().0, other.reply().0), (500, 500));
    assert!(a.ended());
    client.write(request("pay", "v", &[0], "q"));
    let mut next = s.a.accept();
    assert_eq!(next.call()[0].id, "v.0");
    next.answer("v.0", "200", 0, "v");
    assert_eq!(client.reply().2, answer_body(true, &[row(0, "v")]));
}

/// An answer that is good stays good with noise right behind it, and what comes next goes elsewhere.
#[test]
fn noise_behind_a_good_answer() {
    let s = scene();
    let mut client = Wire::to(s.address);
    client.write(request("pay", "t", &[0], "q"));
    let mut a = s.a.accept();
    a.call();
    a.write(b"\x0d\0\0\0Ot.0 200 1 \nv\xff\xff\xff\xffnoise");
    assert_eq!(client.reply().2, answer_body(true, &[row(0, "v")]));
    assert!(a.ended());
    client.write(request("pay", "u", &[0], "q"));
    assert_eq!(s.a.accept().call()[0].id, "u.0");
}

/// A connection on which a part waited in vain, with nothing read, is not given the next.
#[test]
fn an_unresponsive_connection_is_retired() {
    let s = scene_with(|c| with_times(&c, 300, 50));
    let mut client = Wire::to(s.address);
    client.write(request("pay", "t", &[0], "q"));
    let mut a = s.a.accept();
    a.call();
    assert_eq!(client.reply().0, 500);
    client.write(request("pay", "u", &[0], "q"));
    let mut next = s.a.accept();
    assert_eq!(next.call()[0].id, "u.0");
    assert_eq!(a.frame(), Some(('K', b"t.0".to_vec())));
    assert!(a.ended());
}

/// Where a part cannot be cancelled, one that waits to be written never leaves after its search's answer.
#[test]
fn nothing_leaves_after_the_answer() {
    let mut s = scene_with(|c| c.replace("\"cancelling\":true", "\"cancelling\":false"));
    let _clients = crowd(&mut s);
    let mut client = Wire::to(s.address);
    client.write(request("pay", "x", &[0, 1], "q"));
    let mut b = s.b.accept();
    b.call();
    b.answer("x.1", "500", 0, "");
    assert_eq!(client.reply().0, 500);
    let mut a = s.a.accept();
    while let Some((letter, body)) = a.frame() {
        assert!(letter != 'D' || parts(&body).iter().all(|p| p.id != "x.0"));
    }
}

/// Parts for one replica are spread over connections, so that one which breaks takes few with it.
#[test]
fn a_broken_connection_takes_few_with_it() {
    let s = scene();
    let mut clients: Vec<Wire> = (0..3).map(|_| Wire::to(s.address)).collect();
    let mut ask = |n: usize| clients[n].write(request("pay", &format!("t{n}"), &[0], "q"));
    ask(0);
    let mut first = s.a.accept();
    first.call();
    ask(1);
    assert_eq!(
        first.call()[0].id,
        "t1.0",
        "it does not wait for the next connection"
    );
    let mut second = s.a.accept();
    ask(2);
    assert_eq!(second.call()[0].id, "t2.0");
    drop(first);
    assert_eq!((clients[0].reply().0, clients[1].reply().0), (500, 500));
    second.answer("t2.0", "200", 0, "v");
    assert_eq!(clients[2].reply().0, 200);
}

/// All that is held for a replica goes with it.
#[test]
fn replicas_come_and_go() {
    let mut s = scene();
    let mut watch = watch(
        &s.discovery,
        &[s.a.line("a", 0, "ready"), s.b.line("b", 1, "ready")],
    );
    for n in 0..200 {
        let (old, new) = (
            s.a.line(&format!("n{n}"), 0, "gone"),
            s.a.line(&format!("n{}", n + 1), 0, "ready"),
        );
        send_line(&mut watch, &list(43 + n, false, &[old, new]));
    }
    s.program.says("endpoint list received generation=242 ");
    // The second, for the first may have been on its way.
    s.program.says(" replicas=");
    assert!(s.program.says(" replicas=").starts_with("3 "));
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

/// Sends so much to a replica that does not read that parts must wait on its connection.
fn crowd(s: &mut Scene) -> Vec<Wire> {
    let text = "x".repeat(60_000);
    let search = |i: u64| {
        let mut client = Wire::to(s.address);
        client.write(request("pay", &format!("t{i}"), &[0], &text));
        client
    };
    let clients: Vec<Wire> = (0..400).map(search).collect();
    (0..400).for_each(|_| drop(s.program.says("attempt sent wire_id=t")));
    clients
}

fn statuses(clients: &mut [Wire]) -> (usize, usize) {
    let all: Vec<u16> = clients.iter_mut().map(|c| c.reply().0).collect();
    let of = |status| all.iter().filter(|s| **s == status).count();
    assert_eq!(of(500) + of(503), all.len(), "{all:?}");
    (of(500), of(503))
}

/// What has begun to leave is the replica's; the rest is taken back, has not run, and is shed.
#[test]
fn a_drain_takes_back_queued_attempts() {
    let mut s = scene_with(with_others);
    let mut watch = watch(
        &s.discovery,
        &[others(), vec![s.a.line("a", 0, "ready")]].concat(),
    );
    let mut clients = crowd(&mut s);
    send_line(
        &mut watch,
        &list(43, false, &[s.a.line("a", 0, "draining")]),
    );
    let mut a = s.a.accept();
    let mut sent = 0;
    while let Some((letter, body)) = a.frame() {
        sent += if letter == 'D' { parts(&body).len() } else { 0 };
    }
    let (errored, shed) = statuses(&mut clients);
    assert!(
        errored == sent && sent > 0 && shed > 0,
        "{sent} sent, {errored} errored, {shed} shed"
    );
}

/// Parts whose frame had not been written have not run; the others may have.
#[test]
fn a_connection_breaks_before_and_after_frames() {
    let mut s = scene();
    let mut clients = crowd(&mut s);
    // A decision to send is not a write: without a frame that has come all may be taken back.
    let mut a = s.a.accept();
    a.call();
    drop(a);
    drop(s.a);
    let (errored, shed) = statuses(&mut clients);
    assert!(errored > 0 && shed > 0, "{errored} errored, {shed} shed");
}

/// Started on a list that is out of date, while discovery is silent: what is still there serves.
#[test]
fn restarted_on_an_outdated_list() {
    let (x, a, discovery) = (StandIn::new(), StandIn::new(), StandIn::new());
    let known = [x.line("x", 0, "ready"), a.line("a", 0, "ready")];
    let (_program, address) = start(&config(&known, discovery.address()));
    drop(x);
    let mut client = Wire::to(address);
    let mut wire = None;
    for i in 0..8 {
        client.write(request("browse", &format!("t{i}"), &[0], "q"));
        let wire = wire.get_or_insert_with(|| a.accept());
        let id = wire.call()[0].id.clone();
        wire.answer(&id, "200", 0, "v");
        assert_eq!(client.reply().2, answer_body(true, &[row(0, "v")]));
    }
}

#[test]
fn discovery_is_followed_and_its_loss_survived() {
    let s = scene();
    let c = StandIn::new();
    let lines = [s.a.line("a", 0, "ready"), s.b.line("b", 1, "ready")];
    let mut first = watch(&s.discovery, &lines);
    let odd =
        r#"{"instanceId":"x","hostPort":"nowhere","cell":0,"lifecycle":"ready"},7"#.to_string();
    send_line(
        &mut first,
        &list(
            43,
            false,
            &[s.a.line("a", 0, "gone"), odd, c.line("c", 0, "ready")],
        ),
    );
    drop(first);
    let mut second = watch_from(&s.discovery, 43);
    let mut client = Wire::to(s.address);
    client.write(request("browse", "t", &[0], "q"));
    let mut wire = c.accept();
    wire.call();
    wire.answer("t.0", "200", 0, "v");
    assert_eq!(client.reply().2, answer_body(true, &[row(0, "v")]));
    // A line that is not JSON: the whole list is asked for anew.
    send_line(&mut second, "{oh");
    assert!(second.ended());
    watch(&s.discovery, &lines);
    client.write(request("browse", "u", &[0], "q"));
    s.a.accept().call();
}

/// At SIGHUP discovery is followed to where the file has it now, and the search in hand is answered; what
/// else differs is named. A file that is not sound changes nothing.
#[test]
fn sighup_follows_the_file() {
    let mut s = scene();
    let lines = [s.a.line("a", 0, "ready"), s.b.line("b", 1, "ready")];
    let mut old = watch(&s.discovery, &lines);
    let mut client = Wire::to(s.address);
    client.write(request("browse", "t", &[0], "q"));
    let mut a = s.a.accept();
    a.call();
    let (next, c) = (StandIn::new(), StandIn::new());
    let sound = config(&lines, next.address()).replace("\"sockets\":1024", "\"sockets\":999");
    for bad in [&sound[..sound.len() / 2], "", "{\"settings\":{}}"] {
        std::fs::write(&s.program.path, bad).unwrap();
        s.program.signal("-HUP");
        s.program.says("configuration not reloaded");
    }
    std::fs::remove_file(&s.program.path).unwrap();
    s.program.signal("-HUP");
    s.program.says("configuration not reloaded");
    std::fs::write(&s.program.path, &sound).unwrap();
    s.program.signal("-HUP");
    assert_eq!(s.program.says("deferred to the next start keys="), "limits");
    // The whole list of the new place, and what is told there from then on, is in force.
    let mut new = watch(
        &next,
        &[s.a.line("a", 0, "draining"), s.b.line("b", 1, "ready")],
    );
    assert!(old.ended());
    send_line(&mut new, &list(43, false, &[c.line("c", 0, "ready")]));
    s.program.says("endpoint list received generation=43 ");
    client_of(&s, "u", &c);
    a.answer("t.0", "200", 0, "v");
    assert_eq!(client.reply().2, answer_body(true, &[row(0, "v")]));
    // Again, and at once the end: with nothing in hand it ends as it would without.
    s.program.signal("-HUP");
    s.program.signal("-TERM");
    assert_eq!(s.program.exit(), Some(0));
}

/// Asks for shard 0 until the search goes to this replica, which answers it.
fn client_of(s: &Scene, trace: &str, replica: &StandIn) {
    let mut client = Wire::to(s.address);
    client.write(request("browse", trace, &[0], "q"));
    let mut wire = replica.accept();
    let id = wire.call()[0].id.clone();
    wire.answer(&id, "200", 0, "v");
    assert_eq!(client.reply().2, answer_body(true, &[row(0, "v")]));
}

#[test]
fn sigterm_finishes_searches_in_flight() {
    let mut s = scene_with(|c| c.replace("\"sockets\":1024", "\"sockets\":40"));
    let (mut first, mut served) = (Wire::to(s.address), Wire::to(s.address));
    first.write(request("browse", "t", &[0], "q"));
    served.write("GET /health/ready HTTP/1.1\r\n\r\n");
    assert_eq!(served.reply().0, 200);
    // So many that answers end connections while it serves.
    let _many: Vec<Wire> = (0..8).map(|_| Wire::to(s.address)).collect();
    let mut a = s.a.accept();
    a.call();
    s.program.signal("-TERM");
    s.program.says("SIGTERM");
    // New connections and those that are open are served and kept, until it closes them and ends.
    let mut next = Wire::to(s.address);
    next.write(request("browse", "u", &[0], "q"));
    served.write("GET /health/ready HTTP/1.1\r\n\r\n");
    assert_eq!(served.reply().0, 503);
    a.call();
    for (client, id) in [(&mut first, "t.0"), (&mut next, "u.0")] {
        a.answer(id, "200", 0, "v");
        let (status, head, _) = client.reply();
        assert!(
            status == 200 && !head.contains("Connection: close"),
            "{head}"
        );
    }
    first.write(request("browse", "w", &[0], "q"));
    a.call();
    a.answer("w.0", "200", 0, "v");
    assert_eq!(first.reply().0, 200);
    assert!(first.ended() && next.ended() && served.ended());
    assert_eq!(s.program.exit(), Some(0));
}

/// A search that would be in hand when the process is killed gets its answer before.
#[test]
fn sigterm_leaves_nothing_unanswered() {
    let mut s = scene_with(|c| c.replace("\"aimMs\":3000", "\"aimMs\":300,\"lateWorth\":0.9"));
    let mut client = Wire::to(s.address);
    client.write(request("browse", "t", &[0], "q"));
    s.a.accept().call();
    s.program.signal("-TERM");
    assert_eq!(client.reply().0, 500);
    assert_eq!(s.program.exit(), Some(0));
}

/// Idle connections make room between requests; those that wait for an answer stay.
#[test]
fn clients_are_accepted_at_the_descriptor_limit() {
    let s = scene_with(|c| c.replace("\"sockets\":1024", "\"sockets\":40"));
    let mut busy = Wire::to(s.address);
    busy.write(request("browse", "t", &[0], "q"));
    let mut a = s.a.accept();
    a.call();
    let mut idle = Vec::new();
    for _ in 0..100 {
        let mut client = Wire::to(s.address);
        client.write("GET /health/live HTTP/1.1\r\n\r\n");
        assert_eq!(client.reply().0, 200);
        idle.push(client);
    }
    assert!(idle[0].ended(), "the oldest has made room");
    a.answer("t.0", "200", 0, "v");
    assert_eq!(busy.reply().0, 200);
}

/// With every connection waiting for an answer, the next client is served once one of them has it.
#[test]
fn clients_wait_while_all_are_busy() {
    let s = scene_with(|c| with_others(c).replace("\"sockets\":1024", "\"sockets\":40"));
    let mut busy: Vec<Wire> = (0..18).map(|_| Wire::to(s.address)).collect();
    busy.iter_mut()
        .enumerate()
        .for_each(|(i, c)| c.write(request("browse", &format!("t{i}"), &[0], "q")));
    let mut a = s.a.accept();
    let mut ids = Vec::new();
    while ids.len() < busy.len() {
        ids.extend(a.call().into_iter().map(|p| p.id));
    }
    let mut next = Wire::to(s.address);
    next.write("GET /health/live HTTP/1.1\r\n\r\n");
    ids.iter().for_each(|id| a.answer(id, "200", 0, "v"));
    assert_eq!(next.reply().0, 200);
    assert!(busy.iter_mut().all(|c| c.reply().0 == 200));
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

fn edited(from: &str, to: &str) -> String {
    let text = request("browse", "t", &[0], "q");
    assert!(text.contains(from));
    let (head, body) = text.split_once("\r\n\r\n").unwrap();
    let (was, new) = (body.len(), body.replacen(from, to, 1));
    let head = head.replace(&format!("Length: {was}"), &format!("Length: {}", new.len()));
    format!("{}\r\n\r\n{new}", head.replacen(from, to, 1))
}

#[rstest]
#[case::malformed("oh\r\n\r\n".into(), 400, true)]
#[case::both_lengths(edited("Host: x", "Transfer-Encoding: chunked"), 400, true)]
#[case::bad_length(edited("Content-Length: ", "Content-Length: x"), 400, true)]
#[case::bad_chunk("POST /browse HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n".into(), 400, true)]
#[case::no_time(edited("X-Expires-In", "X-Other"), 400, false)]
#[case::odd_time(edited("5.0", "-1"), 400, false)]
#[case::no_number(edited("5.0", "nan"), 400, false)]
#[case::no_trace(edited("X-Trace-Id", "X-Other"), 400, false)]
#[case::odd_trace(edited("X-Trace-Id: t", "X-Trace-Id: t t"), 400, false)]
#[case::at_odds(edited("Host: x", "X-Qos: pay"), 400, false)]
#[case::no_parts(request("browse", "t", &[], "q"), 400, false)]
#[case::shard_twice(request("browse", "t", &[1, 1], "q"), 400, false)]
#[case::unknown_shard(request("browse", "t", &[4], "q"), 400, false)]
#[case::negative_share(edited("\"w\":1", "\"w\":-1"), 400, false)]
#[case::over_one(request("browse", "t", &[0, 1], "q").replace("\"w\":0.5", "\"w\":1.5"), 400, false)]
#[case::shares_over(request("browse", "t", &[0, 1], "q").replace("\"w\":0.5", "\"w\":0.6"), 400, false)]
#[case::shares_under(edited("\"w\":1", "\"w\":0.99"), 400, false)]
#[case::parts_twice(
    edited("{\"parts\"", "{\"parts\":[{\"id\":1,\"w\":0}],\"parts\""),
    400,
    false
)]
#[case::text_twice(edited("\"expr\"", "\"expr\":\"x\",\"expr\""), 400, false)]
#[case::beyond_sense(edited("5.0", "1e300"), 400, false)]
#[case::endless_share(edited("\"w\":1", "\"w\":1e999"), 400, false)]
#[case::not_json(edited("{\"parts\"", "{'parts'"), 400, false)]
#[case::unknown_path(request("other", "t", &[0], "q"), 404, false)]
#[case::wrong_method(edited("POST", "PUT"), 405, false)]
#[case::wrong_method_of_health("POST /health/live HTTP/1.1\r\nContent-Length: 0\r\n\r\n".into(), 405, false)]
#[case::no_length(edited("Content-Length", "X-Other"), 411, true)]
#[case::body_too_long(edited("Content-Length: ", "Content-Length: 1000"), 413, true)]
#[case::head_too_long(edited("Host: x", &"X: y\r\n".repeat(3000)), 431, true)]
#[case::old_version(edited("HTTP/1.1", "HTTP/3.0"), 505, true)]
fn invalid_requests_are_refused(#[case] text: String, #[case] status: u16, #[case] closes: bool) {
    let s = scene();
    let mut client = Wire::to(s.address);
    client.write(text);
    let (got, head, body) = client.reply();
    assert_eq!(got, status, "{body}");
    assert_eq!(head.contains("Allow: "), status == 405);
    if closes {
        assert!(head.contains("Connection: close") && client.ended());
    } else {
        client.write("GET /health/live HTTP/1.1\r\n\r\n");
        assert_eq!(client.reply().0, 200);
    }
}

#[rstest]
#[case::in_the_head(30)]
#[case::in_the_body(110)]
fn a_half_sent_request_is_dropped_after_a_while(#[case] sent: usize) {
    let s = scene();
    let mut client = Wire::to(s.address);
    client.write(&request("browse", "t", &[0], "q")[..sent]);
    assert_eq!(client.reply().0, 408);
    assert!(client.ended() && !s.a.called());
}

/// Nobody keeps a connection without a request, from the start or after one.
#[rstest]
#[case::silent("")]
#[case::served("GET /health/live HTTP/1.1\r\n\r\n")]
fn an_idle_connection_is_closed(#[case] first: &str) {
    let s = scene();
    let mut client = Wire::to(s.address);
    client.write(first);
    assert!(first.is_empty() || client.reply().0 == 200);
    assert!(client.ended());
}

/// Of those that are idle, the ones that never said a word make room, not those that are served.
#[test]
fn unused_connections_are_closed_first() {
    let s = scene_with(|c| c.replace("\"sockets\":1024", "\"sockets\":40"));
    let live = "GET /health/live HTTP/1.1\r\nConnection: close\r\n\r\n";
    let mut first = Wire::to(s.address);
    first.write(live);
    assert!(first.reply().0 == 200 && first.ended());
    drop(first);
    let live = "GET /health/live HTTP/1.1\r\n\r\n";
    let mut served = Wire::to(s.address);
    served.write(live);
    assert_eq!(served.reply().0, 200);
    let mut unused: Vec<Wire> = (0..17).map(|_| Wire::to(s.address)).collect();
    std::thread::sleep(Duration::from_millis(500));
    let mut next = Wire::to(s.address);
    next.write(live);
    assert_eq!(next.reply().0, 200);
    served.write(live);
    assert_eq!(served.reply().0, 200);
    assert!(unused[0].ended());
    unused[1].write(live);
    assert_eq!(unused[1].reply().0, 200, "one makes room for one");
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
    // One just answered is not in hand any more, but nothing may be sent for it either.
    second.write(request("browse", "t", &[0], "q"));
    assert_eq!(second.reply().0, 409);
}

#[test]
fn a_client_that_expects_continue_receives_it() {
    let s = scene();
    let mut client = Wire::to(s.address);
    let text = edited("Host: x", "EXPECT: 100-Continue");
    let (head, body) = text.split_at(text.find("\r\n\r\n").unwrap() + 4);
    client.write(head);
    assert!(client.head().starts_with("HTTP/1.1 100 "));
    client.write(body);
    assert_eq!(s.a.accept().call()[0].id, "t.0");
}

#[rstest]
#[case::missing(None, "PROXY_CONFIG")]
#[case::not_json(Some("{".to_string()), "line 1")]
#[case::no_settings(Some("{\"seed\":1,\"listen\":\"127.0.0.1:0\"}".to_string()), "/settings")]
#[case::no_tick(Some(odd_config("tickMs")), "tickMs")]
#[case::no_classes(Some(odd_config("requestClasses")), "requestClasses")]
#[case::no_slices(Some(odd_config("slices")), "slices")]
#[case::no_seed(Some(odd_config("seed")), "seed")]
#[case::no_limit(Some(odd_config("sockets")), "sockets")]
#[case::no_listen(Some(odd_config("listen")), "listen")]
fn an_invalid_configuration_is_named(#[case] config: Option<String>, #[case] named: &str) {
    let mut program = Program::start(env!("CARGO_BIN_EXE_woadreachd"), config.as_deref());
    let line = program.says("woadreachd: ");
    assert!(line.contains(named), "{line}");
    assert_eq!(program.exit(), Some(2));
}

fn odd_config(without: &str) -> String {
    config(&[], "127.0.0.1:1".parse().unwrap()).replace(&format!("\"{without}\""), "\"absent\"")
}

#[test]
fn an_address_in_use_is_named() {
    let s = scene();
    let taken = s.address.to_string();
    let config = odd_config("nothing").replace("127.0.0.1:0", &taken);
    let mut program = Program::start(env!("CARGO_BIN_EXE_woadreachd"), Some(&config));
    assert!(program.says("woadreachd: ").contains(&taken));
    assert_eq!(program.exit(), Some(1));
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
    // The counts are told with each report, the first of them perhaps before the search came.
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

/// A watch that is not sound refuses the start, naming the key.
#[rstest]
#[case::not_an_object(r#"3"#, "/watch")]
#[case::not_a_flag(r#"{"retryAfter":"no"}"#, "/watch/retryAfter")]
#[case::unknown(r#"{"probes":false}"#, "/watch/probes")]
fn an_unsound_watch_refuses_the_start(#[case] watch: &str, #[case] key: &str) {
    let config = config(&[], SocketAddr::from(([127, 0, 0, 1], 1)));
    let config = config.replacen(
        r#""settings":{"#,
        &format!(r#""settings":{{"watch":{watch},"#),
        1,
    );
    let mut program = Program::start(env!("CARGO_BIN_EXE_woadreachd"), Some(&config));
    program.says(key);
    assert_ne!(program.exit(), Some(0));
}
