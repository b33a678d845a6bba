//! Replicas, discovery and clients on loopback, for the tests that start a binary.

#![allow(dead_code)]

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::mpsc::{Receiver, channel};
use std::time::{Duration, Instant};

/// A generous bound on anything that is waited for; no verdict depends on speed.
pub(crate) const PATIENCE: Duration = Duration::from_secs(20);

fn patient(stream: TcpStream) -> TcpStream {
    stream.set_nonblocking(false).unwrap();
    stream.set_read_timeout(Some(PATIENCE)).unwrap();
    stream.set_nodelay(true).unwrap();
    stream
}

/// A listener that the test itself plays: a replica, or discovery.
pub(crate) struct StandIn(pub TcpListener);

impl StandIn {
    pub(crate) fn new() -> Self {
        StandIn(TcpListener::bind("127.0.0.1:0").unwrap())
    }

    pub(crate) fn address(&self) -> SocketAddr {
        self.0.local_addr().unwrap()
    }

    /// Its line in discovery's list.
    pub(crate) fn line(&self, id: &str, cell: u64, lifecycle: &str) -> String {
        entry(id, self.address(), cell, lifecycle)
    }

    pub(crate) fn accept(&self) -> Wire {
        self.0.set_nonblocking(true).unwrap();
        let start = Instant::now();
        while start.elapsed() < PATIENCE {
            if let Ok((stream, _)) = self.0.accept() {
                return Wire(patient(stream));
            }
            std::thread::sleep(Duration::from_millis(2));
        }
        panic!("nobody connects");
    }

    /// Whether a connection waits to be accepted.
    pub(crate) fn called(&self) -> bool {
        self.0.set_nonblocking(true).unwrap();
        self.0.accept().is_ok()
    }
}

pub(crate) fn entry(id: &str, address: SocketAddr, cell: u64, lifecycle: &str) -> String {
    format!(
        r#"{{"instanceId":"{id}","hostPort":"{address}","zone":"z","machineType":"m","cell":{cell},
        "lifecycle":"{lifecycle}","weight":1.0,"startedAtMs":0}}"#
    )
    .replace('\n', "")
}

pub(crate) fn list(generation: u64, full: bool, lines: &[String]) -> String {
    format!(
        r#"{{"generation":{generation},"reset":{full},"instances":[{}]}}"#,
        lines.join(",")
    )
}

/// A part as a replica gets it.
#[derive(Debug, PartialEq)]
pub(crate) struct Sent {
    pub id: String,
    pub shard: u64,
    pub list: String,
    pub text: String,
}

/// One connection, from either end.
pub(crate) struct Wire(pub TcpStream);

impl Wire {
    pub(crate) fn to(address: SocketAddr) -> Self {
        Wire(patient(TcpStream::connect(address).unwrap()))
    }

    pub(crate) fn write(&mut self, bytes: impl AsRef<[u8]>) {
        self.0.write_all(bytes.as_ref()).unwrap();
    }

    /// The next frame: its type, which is one letter, and its body. `None` at the end of the connection.
    pub(crate) fn frame(&mut self) -> Option<(char, Vec<u8>)> {
        let mut length = [0; 4];
        self.0.read_exact(&mut length).ok()?;
        let mut body = vec![0; u32::from_le_bytes(length) as usize];
        self.0.read_exact(&mut body).ok()?;
        Some((body[0] as char, body.split_off(1)))
    }

    pub(crate) fn call(&mut self) -> Vec<Sent> {
        let (letter, body) = self.frame().unwrap();
        assert_eq!(letter, 'D');
        parts(&body)
    }

    pub(crate) fn send_frame(&mut self, body: impl AsRef<[u8]>) {
        let body = body.as_ref();
        self.write([&(body.len() as u32).to_le_bytes(), body].concat());
    }

    pub(crate) fn answer(&mut self, id: &str, end: &str, score: u64, value: &str) {
        self.send_frame(format!("O{id} {end} {score} -\n{value}"));
    }

    /// The next byte; None at the end. A read that the system has interrupted has not ended.
    fn byte(&mut self) -> std::io::Result<Option<u8>> {
        let mut byte = [0];
        match self.0.read_exact(&mut byte) {
            Err(e) if e.kind() == std::io::ErrorKind::UnexpectedEof => Ok(None),
            read => read.map(|()| Some(byte[0])),
        }
    }

    /// A head, without its empty line.
    pub(crate) fn head(&mut self) -> String {
        let mut head = Vec::new();
        while !head.ends_with(b"\r\n\r\n") {
            let Some(byte) = self.byte().unwrap() else {
                panic!("ended after {}", String::from_utf8_lossy(&head));
            };
            head.push(byte);
        }
        String::from_utf8(head).unwrap()
    }

    /// Status, head and body of an answer.
    pub(crate) fn reply(&mut self) -> (u16, String, String) {
        let head = self.head();
        let length = head
            .lines()
            .find_map(|l| l.strip_prefix("Content-Length: "))
            .unwrap();
        let mut body = vec![0; length.parse().unwrap()];
        self.0.read_exact(&mut body).unwrap();
        (
            head[9..12].parse().unwrap(),
            head,
            String::from_utf8(body).unwrap(),
        )
    }

    pub(crate) fn ended(&mut self) -> bool {
        !matches!(self.byte(), Ok(Some(_)))
    }
}

pub(crate) fn parts(mut body: &[u8]) -> Vec<Sent> {
    let mut parts = Vec::new();
    while !body.is_empty() {
        let end = body.iter().position(|b| *b == b'\n').unwrap();
        let line = std::str::from_utf8(&body[..end]).unwrap();
        let words: Vec<&str> = line.split(' ').collect();
        let (text, rest) = body[end + 1..].split_at(words[3].parse().unwrap());
        let text = String::from_utf8(text.to_vec()).unwrap();
        let shard = words[1].parse().unwrap();
        parts.push(Sent {
            id: words[0].into(),
            shard,
            list: words[2].into(),
            text,
        });
        body = rest;
    }
    parts
}

/// A search of equal parts at these shards, for five seconds.
pub(crate) fn request(path: &str, trace: &str, shards: &[u64], text: &str) -> String {
    let w = 1.0 / shards.len().max(1) as f64;
    let parts: Vec<String> = shards
        .iter()
        .map(|s| format!(r#"{{"id":{s},"w":{w}}}"#))
        .collect();
    let body = format!(r#"{{"parts":[{}],"expr":"{text}"}}"#, parts.join(","));
    let head =
        format!("POST /{path} HTTP/1.1\r\nHost: x\r\nX-Trace-Id: {trace}\r\nX-Expires-In: 5.0\r\n");
    format!("{head}Content-Length: {}\r\n\r\n{body}", body.len())
}

/// The built program, with its log.
pub(crate) struct Program {
    pub child: Child,
    /// Its configuration, for a new one.
    pub path: PathBuf,
    log: Receiver<String>,
    seen: String,
}

static NUMBER: AtomicU32 = AtomicU32::new(0);

impl Program {
    pub(crate) fn start(binary: &str, config: Option<&str>) -> Self {
        let number = NUMBER.fetch_add(1, Ordering::Relaxed);
        let path =
            std::env::temp_dir().join(format!("woadreach-{}-{number}.json", std::process::id()));
        let mut command = Command::new(binary);
        ["PROXY_CONFIG", "PROXY_LISTEN", "PROXY_DISCOVERY"]
            .iter()
            .for_each(|v| {
                command.env_remove(v);
            });
        if let Some(config) = config {
            std::fs::write(&path, config).unwrap();
            command.env("PROXY_CONFIG", &path);
        }
        command.env("WOADREACH_LOG", "debug");
        let mut child = command.stderr(Stdio::piped()).spawn().unwrap();
        let stderr = BufReader::new(child.stderr.take().unwrap());
        let (lines, log) = channel();
        std::thread::spawn(move || {
            stderr
                .lines()
                .map_while(Result::ok)
                .try_for_each(|l| lines.send(l))
        });
        Program {
            child,
            path,
            log,
            seen: String::new(),
        }
    }

    /// Waits for a line that holds this, and gives what follows it.
    pub(crate) fn says(&mut self, what: &str) -> String {
        let start = Instant::now();
        while let Ok(line) = self
            .log
            .recv_timeout(PATIENCE.saturating_sub(start.elapsed()))
        {
            self.seen += &format!("{line}\n");
            if let Some((_, rest)) = line.split_once(what) {
                return rest.to_string();
            }
        }
        panic!("no '{what}' in:\n{}", self.seen);
    }

    /// Sends it `-TERM` or `-HUP`.
    pub(crate) fn signal(&self, which: &str) {
        let id = self.child.id().to_string();
        assert!(
            Command::new("kill")
                .args([which, &id])
                .status()
                .unwrap()
                .success()
        );
    }

    pub(crate) fn exit(&mut self) -> Option<i32> {
        let start = Instant::now();
        while start.elapsed() < PATIENCE {
            if let Some(status) = self.child.try_wait().unwrap() {
                return status.code();
            }
            std::thread::sleep(Duration::from_millis(5));
        }
        panic!("it does not end");
    }
}

impl Drop for Program {
    /// A test that fails shows what the program has logged.
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        if std::thread::panicking() {
            let rest: Vec<String> = self.log.iter().collect();
            eprintln!("{}{}", self.seen, rest.join("\n"));
        }
    }
}
