//! Connections of clients: invalid requests, idle connections, the limit of descriptors.

use crate::common::{Wire, request};
use crate::scene::{scene, scene_with, with_others};
use rstest::rstest;
use std::time::Duration;

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
    let mut s = scene_with(|c| c.replace("\"sockets\":1024", "\"sockets\":40"));
    let clients_in_report = " client_sockets=";
    s.program.says(clients_in_report);
    let live = "GET /health/live HTTP/1.1\r\nConnection: close\r\n\r\n";
    let mut first = Wire::to(s.address);
    first.write(live);
    assert!(first.reply().0 == 200 && first.ended());
    drop(first);
    // The kernel may give the program the end of this connection later than the next connections.
    assert!(s.program.says(clients_in_report).starts_with("0 "));
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
