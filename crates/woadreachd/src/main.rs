//! One woadreach co-ordinator on real sockets: reads its configuration, starts the parts that do the work,
//! and ends them at SIGTERM. Must never decide, nor hold anything that one of them owns.

mod core;
mod discovery;
mod frame;
mod front;
mod http;
mod json;
mod replicas;
mod sockets;

use core::{Clock, Core};
use front::{Front, Names, Phase};
use serde_json::Value;
use sockets::Sockets;
use std::process::ExitCode;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpSocket};
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::{mpsc, watch};
use tracing::info;

/// PROTOCOL: after SIGTERM new connections keep coming for up to 0.4 s; 0.7 s is the time for which it counts
/// what comes.
const AFTER_TERM: Duration = Duration::from_millis(700);
/// Connections that wait to be accepted, as many as the kernel allows.
const BACKLOG: u32 = 4096;

/// What the configuration says.
struct Config {
    listen: std::net::SocketAddr,
    discovery: String,
    sockets: usize,
    known: Option<discovery::List>,
    settings: woadreach::api::Settings,
    names: Names,
    core: core::Figures,
    replicas: replicas::Figures,
}

/// All of the settings' text that a list of names holds.
fn names(settings: &Value, path: &str, key: &str) -> Vec<String> {
    let rows = settings.pointer(path).and_then(Value::as_array).into_iter().flatten();
    let name =
        |row: &Value| if key.is_empty() { row.as_str() } else { row.get(key)?.as_str() }.map(String::from);
    rows.map(|r| name(r).unwrap_or_default()).collect()
}

fn config() -> Result<Config, String> {
    let path = std::env::var("PROXY_CONFIG").map_err(|_| "PROXY_CONFIG is not set")?;
    let text = std::fs::read_to_string(&path).map_err(|e| format!("{path}: {e}"))?;
    let all: Value = serde_json::from_str(&text).map_err(|e| format!("{path}: {e}"))?;
    let need = |p: &str| all.pointer(p).ok_or_else(|| format!("configuration lacks {p}"));
    let text_of = |key: &str, var: &str| {
        let told = std::env::var(var).ok();
        let own = all.get(key).and_then(Value::as_str).map(String::from);
        told.or(own).ok_or_else(|| format!("configuration lacks {key}, and {var} is not set"))
    };
    let set = need("/settings")?;
    let number = |p: &str| set.pointer(p).and_then(Value::as_f64);
    let need_number = |p: &str| number(p).ok_or_else(|| format!("settings lack {p}"));
    let flag = |p: &str| set.pointer(p).and_then(Value::as_bool).unwrap_or(false);
    let seed = need("/seed")?;
    let seed = seed.as_u64().or_else(|| u64::from_str_radix(seed.as_str()?, 16).ok());
    let seed = seed.ok_or("configuration: seed is neither a number nor hex digits")?;
    let listen = text_of("listen", "PROXY_LISTEN")?;
    let known = match all.get("known") {
        None | Some(Value::Null) => None,
        Some(known) => {
            let list = discovery::list(known.to_string().as_bytes());
            Some(list.map_err(|e| format!("configuration: known: {}", e.0))?)
        }
    };
    let limit =
        |key: &str| need(&format!("/limits/{key}"))?.as_f64().ok_or(format!("limit {key} is no number"));
    let fetch = set.pointer("/domain/classFetch").and_then(Value::as_array);
    Ok(Config {
        listen: listen.parse().map_err(|_| format!("listen is not an address: {listen}"))?,
        discovery: text_of("discovery", "PROXY_DISCOVERY")?,
        sockets: limit("sockets")? as usize,
        known,
        settings: woadreach_host::settings(seed, set)?,
        names: Names {
            query_types: names(set, "/requestClasses", "name"),
            tenants: names(set, "/tenants", "name"),
            shards: need_number("/domain/slices")? as u64,
            marks_repeats: flag("/clients/marksRetry"),
        },
        core: core::Figures {
            max_open: number("/limits/maxOpen").map_or(usize::MAX, |n| n as usize),
            // A quarter of the memory: a request is held as it came, and once more as it is worked on.
            max_bytes: (limit("memory_mb")? * 1024.0 * 1024.0 / 4.0) as usize,
            zones: names(set, "/localities", ""),
            fetch: fetch.into_iter().flatten().map(|n| n.as_u64().unwrap_or(0) as usize).collect(),
        },
        replicas: replicas::Figures {
            streams_per_conn: need_number("/limits/streamsPerConn")? as usize,
            per_call: number("/domain/perCall").map_or(1, |n| (n as usize).max(1)),
            idle_close: need_number("/limits/idleCloseMs")? / 1000.0,
            connect_timeout: need_number("/limits/connectTimeoutMs")? / 1000.0,
            cancelling: flag("/limits/cancelling"),
        },
    })
}

fn listen(address: std::net::SocketAddr) -> std::io::Result<TcpListener> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    // A restart takes the address of a process that has just died.
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

async fn run(config: Config) -> Result<(), String> {
    let listener = listen(config.listen).map_err(|e| format!("{}: {e}", config.listen))?;
    let address = listener.local_addr().map_err(|e| e.to_string())?;
    let mut term = signal(SignalKind::terminate()).map_err(|e| format!("SIGTERM: {e}"))?;
    let (clock, sockets) = (Clock::new(), Sockets::new(config.sockets));
    let (events, queue) = mpsc::unbounded_channel();
    let (lists, list_queue) = mpsc::unbounded_channel();
    let (phase, phases) = watch::channel(Phase::Serving);
    let replicas = replicas::Replicas::new(config.replicas, clock, sockets.clone(), events.clone());
    let mut core = Core::new(clock, config.settings, config.core, replicas, sockets.clone());
    let front = Rc::new(Front::new(config.names, clock, sockets.clone(), events, phases));
    let generation = config.known.as_ref().map(|k| k.generation);
    if let Some(known) = config.known {
        core.list(discovery::List { full: true, ..known });
    }
    let ready = front.clone();
    let mut core = tokio::task::spawn_local(core.run(queue, list_queue, move || ready.ready.set(true)));
    tokio::task::spawn_local(discovery::follow(config.discovery, generation, sockets, lists));
    let serving = tokio::task::spawn_local(front.serve(listener));
    info!("listening on {address}");
    tokio::select! {
        _ = term.recv() => {}
        // Danger: a process whose core has died looks alive and answers nothing. It ends, to be started anew.
        ended = &mut core => return Err(format!("the core has ended: {ended:?}")),
    }
    info!("SIGTERM: finishing what is in hand");
    let _ = phase.send(Phase::Draining);
    tokio::time::sleep(AFTER_TERM).await;
    let _ = phase.send(Phase::Closing);
    tokio::select! {
        ended = serving => ended.map_err(|e| format!("serving: {e}"))?,
        ended = &mut core => return Err(format!("the core has ended: {ended:?}")),
    }
    info!("nothing in hand: end");
    Ok(())
}

fn main() -> ExitCode {
    let level = match std::env::var("WOADREACH_LOG").as_deref() {
        Ok("debug") => tracing::Level::DEBUG,
        Ok("warn") => tracing::Level::WARN,
        _ => tracing::Level::INFO,
    };
    tracing_subscriber::fmt()
        .with_max_level(level)
        .with_writer(std::io::stderr)
        .with_ansi(false)
        .without_time()
        .init();
    let config = match config() {
        Ok(config) => config,
        Err(why) => {
            eprintln!("woadreachd: {why}");
            return ExitCode::from(2);
        }
    };
    let runtime = match tokio::runtime::Builder::new_current_thread().enable_all().build() {
        Ok(runtime) => runtime,
        Err(e) => {
            eprintln!("woadreachd: {e}");
            return ExitCode::FAILURE;
        }
    };
    match tokio::task::LocalSet::new().block_on(&runtime, run(config)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(why) => {
            eprintln!("woadreachd: {why}");
            ExitCode::FAILURE
        }
    }
}
