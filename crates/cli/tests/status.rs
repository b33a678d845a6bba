//! Runs the program `woadreach status`: table, JSON, errors and exit codes.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Command, Output};

const EDGE: &str = "woadreach_client_connections 3.0\nwoadreach_ready 1.0\n\
                    woadreach_configuration_generation 7.0\nwoadreach_storage_epoch 2.0\n\
                    woadreach_replicas{state=\"ready\"} 12.0\n# EOF\n";

/// Starts a server that answers every request with this status line and body.
fn serve(status: &'static str, body: &'static str) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        for socket in listener.incoming() {
            let mut socket = socket.unwrap();
            let mut head = [0; 4096];
            let _ = socket.read(&mut head);
            let response = format!(
                "HTTP/1.1 {status}\r\nContent-Length: {}\r\nConnection: close\r\n\r\n{body}",
                body.len()
            );
            let _ = socket.write_all(response.as_bytes());
        }
    });
    address
}

/// Binds a listener whose connections are never answered. The caller must keep it alive.
fn unresponsive_listener() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    (listener, address)
}

fn write_file(name: &str, text: &str) -> PathBuf {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::write(&path, text).unwrap();
    path
}

fn status(path: &PathBuf, format: &str) -> Output {
    Command::new(env!("CARGO_BIN_EXE_woadreach"))
        .args(["status", "--format", format])
        .arg(path)
        .output()
        .unwrap()
}

fn machine(name: &str, address: SocketAddr) -> String {
    format!("[[machine]]\nname = \"{name}\"\nmetrics = \"{address}\"\n")
}

#[test]
fn a_healthy_tier_is_printed_as_a_table_with_exit_code_0() {
    let list = machine("edge-1", serve("200 OK", EDGE)) + &machine("edge-2", serve("200 OK", EDGE));
    let output = status(&write_file("status-sound.toml", &list), "text");
    let table = String::from_utf8(output.stdout).unwrap();
    assert_eq!(output.status.code(), Some(0), "{table}");
    let lines: Vec<&str> = table.lines().collect();
    assert_eq!(
        lines,
        [
            "MACHINE  ROLE  GENERATION  STORAGE EPOCH  REPLICAS  ATTENTION",
            "edge-1   edge  7           2              12",
            "edge-2   edge  7           2              12",
        ]
    );
}

#[test]
fn unreadable_machines_are_reported_with_the_reason() {
    let (_listener, unresponsive) = unresponsive_listener();
    let refused = TcpListener::bind("127.0.0.1:0")
        .unwrap()
        .local_addr()
        .unwrap();
    let list = "timeout_ms = 300\n".to_owned()
        + &machine("edge-1", serve("200 OK", EDGE))
        + &machine("refused", refused)
        + &machine("unresponsive", unresponsive)
        + &machine("other", serve("404 Not Found", "nothing here"))
        + &machine("page", serve("200 OK", "<html>hello</html>"));
    let output = status(&write_file("status-unreadable.toml", &list), "json");
    assert_eq!(output.status.code(), Some(1));
    let json: serde_json::Value = serde_json::from_slice(&output.stdout).unwrap();
    let error = |index: usize| json[index]["error"].as_str().unwrap_or("none").to_owned();
    assert_eq!(error(0), "none");
    assert_eq!(json[0]["role"], "edge");
    assert_eq!(json[0]["figures"]["woadreach_ready"], 1.0);
    assert!(error(1).contains("refused"), "{}", error(1));
    assert_eq!(error(2), "no answer in time");
    assert_eq!(
        error(3),
        "status 404: is there a metrics page at this address?"
    );
    assert_eq!(error(4), "the response is not a woadreach metrics page");
}

#[test]
fn an_invalid_file_is_reported_on_standard_error_with_exit_code_2() {
    let output = status(&write_file("status-empty.toml", ""), "text");
    assert_eq!(output.status.code(), Some(2));
    let error = String::from_utf8(output.stderr).unwrap();
    assert!(
        error.contains("status-empty.toml: no [[machine]]"),
        "{error}"
    );
    assert!(output.stdout.is_empty());
}
