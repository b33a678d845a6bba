//! Signals to the process of each role: SIGHUP does not stop it, SIGTERM does.

use std::io::{BufRead, BufReader};
use std::net::TcpListener;
use std::path::Path;
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
    start_with(&path, role)
}

/// Starts a role with the settings file at `path`.
fn start_with(path: &Path, role: &str) -> Child {
    Command::new(env!("CARGO_BIN_EXE_woadreach-control"))
        .arg(role)
        .env("WOADREACH_NODE_FILE", path)
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

/// Starts a role, waits for the log event `ready`, sends SIGHUP and SIGTERM, and returns the exit status. If both
/// signals are pending, SIGHUP is delivered first.
fn exit_status_after_both_signals(role: &str, ready: &str) -> ExitStatus {
    let folder = TempDir::new().unwrap();
    let mut process = start(&folder, role);
    let mut log = BufReader::new(process.stderr.take().unwrap()).lines();
    assert!(
        log.any(|line| line.unwrap().contains(ready)),
        "the log of role {role} ended without the event `{ready}`"
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

/// Starts a role with the settings file in `folder`, and returns its log up to the event `ready`.
fn log_of_start(folder: &TempDir, role: &str, ready: &str) -> Vec<String> {
    let path = folder.path().join("settings.yaml");
    let mut process = start_with(&path, role);
    let lines = BufReader::new(process.stderr.take().unwrap()).lines();
    let mut log = Vec::new();
    for line in lines.map(|line| line.unwrap()) {
        let is_ready = line.contains(ready);
        log.push(line);
        if is_ready {
            break;
        }
    }
    process.kill().unwrap();
    process.wait().unwrap();
    log
}

#[test]
fn a_storage_machine_logs_its_new_disk_and_its_recovery() {
    let folder = TempDir::new().unwrap();
    let path = folder.path().join("settings.yaml");
    std::fs::write(&path, settings(&folder, "storage")).unwrap();
    let ready = "storage machine started";
    let first = log_of_start(&folder, "storage", ready).join("\n");
    assert!(first.contains("empty disk initialized"), "{first}");
    assert!(!first.contains("state recovered"), "{first}");
    let second = log_of_start(&folder, "storage", ready).join("\n");
    assert!(second.contains("state recovered"), "{second}");
    assert!(!second.contains("empty disk initialized"), "{second}");
}

#[test]
fn a_core_machine_survives_sighup_and_stops_on_sigterm() {
    assert_eq!(
        exit_status_after_both_signals("core", "core machine started").code(),
        Some(0)
    );
}
