//! SIGHUP and SIGTERM: each role, as a process, survives the first and stops on the second.

use std::io::{BufRead, BufReader};
use std::net::TcpListener;
use std::process::{Child, Command, ExitStatus, Stdio};

use tempfile::TempDir;

fn settings(folder: &TempDir, role: &str) -> String {
    let port = || {
        TcpListener::bind("127.0.0.1:0")
            .unwrap()
            .local_addr()
            .unwrap()
            .port()
    };
    let (control, internal) = (port(), port());
    let data = folder.path().join("data");
    std::fs::create_dir(&data).unwrap();
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
port_range: [{internal}, {internal}]
seeds: ["127.0.0.1:{control}"]
bootstrap: true
counts_for_quorum: true
limits: {{ cpu_share: 0.5, cores: 1, memory_mb: 260, max_fds: 4100, link_mbps: 1000.0, disk_mb: 100 }}
data_dir: "{}"
heartbeat_ms: 1200
fault_tolerance: {{ machines: 0, zones: 0, regions: 0 }}
bounds: {{ touch_ms: 3000 }}
"#,
        data.display()
    )
}

fn start(folder: &TempDir, role: &str) -> Child {
    let path = folder.path().join("settings.yaml");
    std::fs::write(&path, settings(folder, role)).unwrap();
    Command::new(env!("CARGO_BIN_EXE_woadreach-control"))
        .arg(role)
        .env("WOADREACH_NODE_FILE", &path)
        .stderr(Stdio::piped())
        .spawn()
        .unwrap()
}

fn send_signal(process: &Child, signal: &str) {
    let pid = process.id().to_string();
    assert!(
        Command::new("kill")
            .args([signal, &pid])
            .status()
            .unwrap()
            .success()
    );
}

/// Starts a role, waits for the log event `ready`, and sends both signals; of two that are pending, SIGHUP is
/// delivered first.
fn exit_status_after_both_signals(role: &str, ready: &str) -> ExitStatus {
    let folder = TempDir::new().unwrap();
    let mut process = start(&folder, role);
    let mut log = BufReader::new(process.stderr.take().unwrap()).lines();
    assert!(
        log.any(|line| line.unwrap().contains(ready)),
        "{role} does not start"
    );
    send_signal(&process, "-HUP");
    send_signal(&process, "-TERM");
    let _rest = log.count();
    process.wait().unwrap()
}

#[test]
fn a_storage_machine_survives_sighup_and_stops_on_sigterm() {
    assert_eq!(
        exit_status_after_both_signals("storage", "storage machine started").code(),
        Some(0)
    );
}

#[test]
fn a_core_machine_survives_sighup_and_stops_on_sigterm() {
    assert_eq!(
        exit_status_after_both_signals("core", "core machine started").code(),
        Some(0)
    );
}
