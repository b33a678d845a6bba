//! The process: its start, configuration, discovery, SIGHUP and SIGTERM.

use crate::common::{Program, StandIn, Wire, list, request};
use crate::scene::{
    Scene, answer_body, config, row, scene, scene_with, send_line, start, watch, watch_from,
};
use rstest::rstest;
use std::net::SocketAddr;

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

/// At SIGHUP discovery is followed at the file's new address, and the search in flight is answered; what
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
    // The complete list of the new address, and its later changes, are in force.
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
    // Again, and SIGTERM at once: with nothing in flight it ends as it would without.
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

/// A search that would be in flight when the process is killed gets its answer before.
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
