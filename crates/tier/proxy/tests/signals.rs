//! What the built program does on SIGHUP and SIGTERM.

mod support;

use std::io::{BufRead, BufReader, Lines};
use std::net::{SocketAddr, TcpListener};
use std::process::{Child, ChildStderr, Command, Stdio};
use std::time::{Duration, Instant};
use support::settings::edge_settings;
use support::{on_one_thread, send_request};
use tempfile::TempDir;
use woadreach_settings::NodeSettings;

const GRACE_PERIOD: Duration = Duration::from_secs(8);

/// A process with its settings file and its log.
struct Process {
    child: Child,
    log: Lines<BufReader<ChildStderr>>,
    folder: TempDir,
    front: SocketAddr,
    ready: SocketAddr,
}

fn free_address() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0")
        .unwrap()
        .local_addr()
        .unwrap()
}

fn settings(front: SocketAddr, ready: SocketAddr) -> String {
    let (internal, seed) = (free_address().port(), free_address());
    edge_settings(
        &format!(r#"{{front: "{front}", ready: "{ready}"}}"#),
        &format!("[{internal}, {internal}]"),
        &format!(r#"["{seed}"]"#),
    )
}

impl Process {
    fn start() -> Self {
        let (front, ready) = (free_address(), free_address());
        let folder = TempDir::new().unwrap();
        let path = folder.path().join("settings.yaml");
        std::fs::write(&path, settings(front, ready)).unwrap();
        let mut child = Command::new(env!("CARGO_BIN_EXE_woadreach-proxy"))
            .env("WOADREACH_NODE_FILE", &path)
            .stderr(Stdio::piped())
            .spawn()
            .unwrap();
        let log = BufReader::new(child.stderr.take().unwrap()).lines();
        Process {
            child,
            log,
            folder,
            front,
            ready,
        }
    }

    /// Reads the log up to the line that contains `text`, and returns it.
    fn wait_for_log(&mut self, text: &str) -> String {
        let mut lines = self.log.by_ref().map(|line| line.unwrap());
        let found = lines.find(|line| line.contains(text));
        found.unwrap_or_else(|| panic!("the log ended without {text:?}"))
    }

    fn signal(&self, name: &str) {
        let pid = self.child.id().to_string();
        assert!(
            Command::new("kill")
                .args([name, &pid])
                .status()
                .unwrap()
                .success()
        );
    }

    /// Statuses of a request at the front and of `/readyz`.
    fn statuses(&self) -> (u16, u16) {
        let request =
            "GET /any/ HTTP/1.1\r\nHost: x\r\nRequest-Id: r1\r\nConnection: close\r\n\r\n";
        let readyz = "GET /readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
        on_one_thread(async {
            (
                send_request(self.front, request).await.status(),
                send_request(self.ready, readyz).await.status(),
            )
        })
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

#[test]
fn a_sighup_takes_up_the_seeds_and_stops_nothing() {
    let mut process = Process::start();
    process.wait_for_log("serving");
    assert_eq!(process.statuses(), (503, 503), "no core machine is there");
    let path = process.folder.path().join("settings.yaml");
    let with_new_seed = settings(process.front, process.ready);
    std::fs::write(&path, &with_new_seed).unwrap();
    process.signal("-HUP");
    // The file names the seed's port for clients; the log has its address for other processes of the tier.
    let reloaded = process.wait_for_log("settings reloaded");
    let internal = NodeSettings::parse(&with_new_seed)
        .unwrap()
        .seed_internal_addresses();
    assert!(
        reloaded.contains(&format!("seeds={internal:?}")),
        "{reloaded}"
    );
    assert_eq!(process.statuses(), (503, 503));
    std::fs::write(process.folder.path().join("settings.yaml"), "node: [").unwrap();
    process.signal("-HUP");
    // Without a core machine the watch of the control plane logs the same event, under its own target.
    process.wait_for_log("woadreach_proxy::run: settings reload failed");
    assert_eq!(process.statuses(), (503, 503));
}

#[test]
fn a_sigterm_stops_the_process_within_the_grace_period_and_not_at_once() {
    let mut process = Process::start();
    process.wait_for_log("serving");
    let signalled = Instant::now();
    process.signal("-TERM");
    process.wait_for_log("shutdown started");
    assert_eq!(
        process.statuses(),
        (503, 503),
        "what comes late is still answered"
    );
    process.wait_for_log("stopped");
    let status = process.child.wait().unwrap();
    assert!(status.success(), "{status}");
    assert!(signalled.elapsed() < GRACE_PERIOD);
}
