//! Connections to replicas: invalid frames, breaks, drains.

use crate::common::{Wire, list, parts, request};
use crate::scene::{
    Scene, answer_body, others, refuse_connections, row, scene, scene_with, send_line, watch,
    with_others, with_times,
};
use rstest::rstest;

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
    // A decision to send is not a write: a drain that comes before the first frame takes all back.
    let mut a = s.a.accept();
    let mut sent = a.call().len();
    send_line(
        &mut watch,
        &list(43, false, &[s.a.line("a", 0, "draining")]),
    );
    // Until the drain has taken effect nothing more is read: a replica that reads gets every frame.
    drop(s.program.says(" ending=NeverSent"));
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
    // First the listener: otherwise what is taken back may be sent on a second connection, which breaks as well.
    let _port = refuse_connections(s.a);
    drop(a);
    let (errored, shed) = statuses(&mut clients);
    assert!(errored > 0 && shed > 0, "{errored} errored, {shed} shed");
}
