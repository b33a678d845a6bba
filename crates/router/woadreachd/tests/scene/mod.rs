//! A co-ordinator between two replicas and discovery, all of them fakes: for the tests that start the program.

#![allow(dead_code)]

use crate::common::{PATIENCE, Program, StandIn, Wire, entry, list};
use std::net::SocketAddr;
use std::time::Instant;
use tokio::net::TcpSocket;

/// Shards 0 and 2 are in cell 0, shards 1 and 3 in cell 1. `browse` may be answered in half, `pay` may not
/// run twice, `deep` fetches from two shards in a second step.
pub(crate) const SETTINGS: &str = r#"{"tickMs":5.0,"siblings":1,"localities":["z"],
"domain":{"sets":2,"span":1,"slices":4,"perCall":2,"classNeed":[1,1,1],"classFloor":[0.5,1,0.5],
"classFetch":[0,0,2]},
"limits":{"attemptsCap":3,"cancelling":true,"mayDuplicate":true,"streamsPerConn":1000,"idleCloseMs":30000,
"connectTimeoutMs":250,"retryAfter":true,"maxRetryAfterMs":1000},"guarantees":{"drainGraceMs":500},
"tenants":[{"name":"acme","share":1.0}],"requestClasses":[
{"name":"browse","aimMs":3000,"giveUpMs":5000,"repeat":"repeatable"},
{"name":"pay","aimMs":3000,"giveUpMs":5000,"repeat":"once"},
{"name":"deep","aimMs":3000,"giveUpMs":5000,"repeat":"repeatable"}]}"#;

pub(crate) fn config(known: &[String], discovery: SocketAddr) -> String {
    let known = list(41, true, known);
    format!(
        r#"{{"name":"n0","listen":"127.0.0.1:0","discovery":"{discovery}","seed":"8c1f30d27a5be964","extra":1,
        "limits":{{"cores":1.0,"memory_mb":192,"sockets":1024}},"known":{known},"settings":{SETTINGS}}}"#
    )
}

pub(crate) fn start(config: &str) -> (Program, SocketAddr) {
    let mut program = Program::start(env!("CARGO_BIN_EXE_woadreachd"), Some(config));
    let address = program.says("listening address=").parse().unwrap();
    (program, address)
}

/// A co-ordinator with two replicas, one a cell, that it knows from its start; discovery is unresponsive.
pub(crate) struct Scene {
    pub(crate) a: StandIn,
    pub(crate) b: StandIn,
    pub(crate) discovery: StandIn,
    pub(crate) program: Program,
    pub(crate) address: SocketAddr,
}

pub(crate) fn scene_with(change: impl Fn(String) -> String) -> Scene {
    let (a, b, discovery) = (StandIn::new(), StandIn::new(), StandIn::new());
    let known = [a.line("a", 0, "ready"), b.line("b", 1, "ready")];
    let (program, address) = start(&change(config(&known, discovery.address())));
    Scene {
        a,
        b,
        discovery,
        program,
        address,
    }
}

/// 300 more replicas: with these each replica has a single connection.
pub(crate) fn others() -> Vec<String> {
    let nowhere = SocketAddr::from(([127, 0, 0, 1], 1));
    (0..300)
        .map(|n| entry(&format!("x{n}"), nowhere, 1, "ready"))
        .collect()
}

pub(crate) fn with_others(config: String) -> String {
    config.replacen(
        "\"instances\":[",
        &format!("\"instances\":[{},", others().join(",")),
        1,
    )
}

/// The configuration with this latency target for each query type and this connect time-out. They are replaced with
/// their keys, since the same digits may stand in a port.
pub(crate) fn with_times(config: &str, target_ms: u32, connect_timeout_ms: u32) -> String {
    let targets = config.replace("\"aimMs\":3000", &format!("\"aimMs\":{target_ms}"));
    let times = targets.replace(
        "\"connectTimeoutMs\":250",
        &format!("\"connectTimeoutMs\":{connect_timeout_ms}"),
    );
    assert!(!times.contains("\"aimMs\":3000") && !times.contains("\"connectTimeoutMs\":250"));
    times
}

pub(crate) fn scene() -> Scene {
    scene_with(|c| c)
}

/// Accepts the call for the complete list, then the watch, and returns the latter.
pub(crate) fn watch(discovery: &StandIn, lines: &[String]) -> Wire {
    let mut call = discovery.accept();
    assert!(call.head().starts_with("GET /registry/instances HTTP/1.1"));
    respond(&mut call, &list(42, true, lines));
    watch_from(discovery, 42)
}

/// Accepts the watch after this version. Calls that were opened beside the one that was answered come before
/// it; each of them has to be closed.
pub(crate) fn watch_from(discovery: &StandIn, generation: u64) -> Wire {
    let first = format!("GET /registry/instances?stream=1&index={generation} HTTP/1.1");
    let start = Instant::now();
    loop {
        let mut call = discovery.accept();
        let head = call.head();
        if head.starts_with(&first) {
            call.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
            return call;
        }
        assert!(call.ended() && start.elapsed() < PATIENCE, "{head}");
    }
}

pub(crate) fn send_line(watch: &mut Wire, line: &str) {
    watch.write(format!("{:x}\r\n{line}\n\r\n", line.len() + 1));
}

pub(crate) fn row(shard: u64, value: &str) -> String {
    format!(r#"{{"id":{shard},"data":"{value}"}}"#)
}

pub(crate) fn answer_body(exact: bool, rows: &[String]) -> String {
    format!(r#"{{"exact":{exact},"rows":[{}]}}"#, rows.join(","))
}

/// Ends a connection by a reset, as a process that dies over unread bytes does.
pub(crate) fn reset(wire: Wire) {
    use std::os::fd::AsRawFd;
    let now = libc::linger {
        l_onoff: 1,
        l_linger: 0,
    };
    let length = size_of::<libc::linger>() as libc::socklen_t;
    let fd = wire.0.as_raw_fd();
    // SAFETY: the call reads `length` bytes of a plain struct of numbers that lives until it returns.
    let result = unsafe {
        libc::setsockopt(
            fd,
            libc::SOL_SOCKET,
            libc::SO_LINGER,
            (&raw const now).cast(),
            length,
        )
    };
    assert_eq!(result, 0);
}

/// Ends a listener, and keeps its port for as long as the result lives: connections to it are refused, and none of the
/// tests that run beside this one is given its port.
pub(crate) fn refuse_connections(listener: StandIn) -> TcpSocket {
    let address = listener.address();
    drop(listener);
    let socket = TcpSocket::new_v4().unwrap();
    socket.set_reuseaddr(true).unwrap();
    socket.bind(address).unwrap();
    socket
}

/// A replica's machine whose kernel takes no further connection: those asked for meanwhile come up once these
/// have been accepted, a second late or more.
pub(crate) struct Full {
    waiting: Vec<Wire>,
}

pub(crate) fn fill(replica: &StandIn) -> Full {
    use std::os::fd::AsRawFd;
    // SAFETY: the call only changes how many connections wait to be accepted.
    assert_eq!(unsafe { libc::listen(replica.0.as_raw_fd(), 0) }, 0);
    Full {
        waiting: vec![Wire::to(replica.address())],
    }
}

impl Full {
    /// Accepts the waiting connections: the kernel takes new ones again.
    pub(crate) fn accept(self, replica: &StandIn) {
        self.waiting.iter().for_each(|_| drop(replica.accept()));
    }
}

/// Waits until a process has asked the kernel for a connection to this address, which is not up yet: until one is in
/// the state `SYN_SENT`, as `/proc/net/tcp` numbers and prints it.
pub(crate) fn wait_for_pending_connect(to: SocketAddr) {
    const SYN_SENT: &str = "02";
    let port = format!(":{:04X}", to.port());
    let is_pending = |line: &str| {
        let fields: Vec<&str> = line.split_whitespace().collect();
        fields[2].ends_with(&port) && fields[3] == SYN_SENT
    };
    let start = Instant::now();
    while start.elapsed() < PATIENCE {
        let table = std::fs::read_to_string("/proc/net/tcp").unwrap();
        if table.lines().skip(1).any(is_pending) {
            return;
        }
        std::thread::yield_now();
    }
    panic!("nobody asks for a connection to {to}");
}

/// Answers a call of discovery, with the length of the answer stated.
pub(crate) fn respond(call: &mut Wire, body: &str) {
    call.write(format!(
        "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    ));
}
