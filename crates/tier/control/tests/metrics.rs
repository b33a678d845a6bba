//! Metrics pages of a core and a storage machine, read from processes of the built binary.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use tempfile::TempDir;

/// Time limit for a machine to report the expected samples.
const START_TIMEOUT: Duration = Duration::from_secs(20);

/// Process that is killed when it is dropped.
struct Process {
    child: Child,
    metrics: SocketAddr,
    _folder: TempDir,
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Returns the first of two consecutive ports that are currently free.
fn find_free_ports() -> u16 {
    loop {
        let first = TcpListener::bind("127.0.0.1:0").unwrap();
        let port = first.local_addr().unwrap().port();
        if port < u16::MAX && TcpListener::bind(("127.0.0.1", port + 1)).is_ok() {
            return port;
        }
    }
}

fn settings(data: &Path, role: &str, control: u16, internal: u16) -> String {
    format!(
        r#"
node: "{role}-1"
role: "{role}"
machine_class: "{role}"
serves: ["{role}"]
ip: "127.0.0.1"
zone: "a"
region: "north"
listen: {{ control: "127.0.0.1:{control}" }}
port_range: [{internal}, {}]
seeds: ["127.0.0.1:{control}"]
bootstrap: true
counts_for_quorum: true
limits: {{ cpu_share: 0.5, cores: 1, memory_mb: 260, max_fds: 4100, link_mbps: 1000.0, disk_mb: 100 }}
data_dir: "{}"
heartbeat_ms: 1200
fault_tolerance: {{ machines: 0, zones: 0, regions: 0 }}
bounds: {{ touch_ms: 3000 }}
"#,
        internal + 1,
        data.display()
    )
}

/// Starts a role and waits for the log event `ready`.
fn start(role: &str, ready: &str) -> Process {
    let folder = TempDir::new().unwrap();
    let data = folder.path().join("data");
    std::fs::create_dir(&data).unwrap();
    let (control, internal) = (find_free_ports(), find_free_ports());
    let path = folder.path().join("settings.yaml");
    std::fs::write(&path, settings(&data, role, control, internal)).unwrap();
    let mut child = Command::new(env!("CARGO_BIN_EXE_woadreach-control"))
        .arg(role)
        .env("WOADREACH_NODE_FILE", &path)
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    let log = child.stderr.take().unwrap();
    let process = Process {
        child,
        metrics: SocketAddr::from(([127, 0, 0, 1], internal + 1)),
        _folder: folder,
    };
    let mut lines = BufReader::new(log).lines();
    assert!(
        lines.any(|line| line.unwrap().contains(ready)),
        "the log of role {role} ended without the event `{ready}`"
    );
    // Keep reading the log, so that the process does not block on a full pipe.
    std::thread::spawn(move || lines.count());
    process
}

fn page(process: &Process) -> String {
    let mut socket = TcpStream::connect(process.metrics).unwrap();
    socket
        .write_all(b"GET /metrics HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
        .unwrap();
    let mut text = String::new();
    socket.read_to_string(&mut text).unwrap();
    assert!(text.starts_with("HTTP/1.1 200 OK\r\n"), "{text}");
    text
}

/// Reads the page until it contains all of these samples. Fails after [`START_TIMEOUT`]. Retries are needed because
/// the last steps of a start are not logged.
fn wait_for_samples(process: &Process, samples: &[&str]) {
    let started = Instant::now();
    loop {
        let text = page(process);
        let is_present = |sample: &&&str| text.lines().any(|line| line.starts_with(**sample));
        let Some(missing) = samples.iter().find(|sample| !is_present(sample)) else {
            return;
        };
        assert!(
            started.elapsed() < START_TIMEOUT,
            "{missing} missing in:\n{text}"
        );
    }
}

#[test]
fn a_core_machine_exposes_metrics_of_its_view_its_journal_and_its_replicas() {
    let process = start("core", "core machine started");
    wait_for_samples(
        &process,
        &[
            "woadreach_core_epoch 1.0",
            "woadreach_core_in_quorum 1.0",
            "woadreach_core_is_head 1.0",
            "woadreach_core_voters{state=\"all\"} 1.0",
            "woadreach_core_voters{state=\"suspected\"} 0.0",
            "woadreach_configuration_generation 0.0",
            "woadreach_journal_healthy 1.0",
            "woadreach_journal_syncs_total ",
            "woadreach_replicas 0.0",
            "woadreach_heartbeats_total{outcome=\"accepted\"} 0.0",
        ],
    );
}

#[test]
fn a_storage_machine_exposes_metrics_of_its_view_and_its_records() {
    let process = start("storage", "storage machine started");
    wait_for_samples(
        &process,
        &[
            "woadreach_storage_epoch 0.0",
            "woadreach_storage_pulled_epoch 0.0",
            "woadreach_storage_is_current 0.0",
            "woadreach_storage_machines{membership=\"current\"} 0.0",
            "woadreach_storage_programs 0.0",
            "woadreach_journal_healthy 1.0",
        ],
    );
}
