//! One woadreach co-ordinator on real sockets: takes hold of the signals, starts the parts that do the work,
//! and ends them at SIGTERM. Must never decide, nor hold anything that one of them owns.

mod config;
mod core;
mod discovery;
mod frame;
mod front;
mod http;
mod json;
mod replicas;
mod sockets;

use config::{Config, First};
use core::{Clock, Core};
use front::{Front, Phase};
use sockets::Sockets;
use std::process::ExitCode;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpSocket};
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::{mpsc, watch};
use tracing::info;

/// PROTOCOL: SIGKILL comes no sooner after SIGTERM than the longest client timeout, counted as 3 s where it is
/// longer, and 0.7 s more. Until then clients use the connections that they have.
const AFTER_TERM: f64 = 0.7;
const COUNTED: f64 = 3.0;
/// For the last answers to be written, by a process that may be held up.
const SPARE: f64 = 0.3;
/// Connections that wait to be accepted, as many as the kernel allows.
const BACKLOG: u32 = 4096;

fn listen(address: std::net::SocketAddr) -> std::io::Result<TcpListener> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    // A restart takes the address of a process that has just died.
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

async fn run() -> Result<(), (u8, String)> {
    let signal = |kind| signal(kind).map_err(|e| (1, format!("signals: {e}")));
    // Before all else: until then either would end the process.
    let (hangup, term) = (signal(SignalKind::hangup())?, signal(SignalKind::terminate())?);
    let config = config::read(First::Environment).map_err(|why| (2, why))?;
    serve(config, hangup, term).await.map_err(|why| (1, why))
}

async fn serve(config: Config, hangup: Signal, mut term: Signal) -> Result<(), String> {
    let listener = listen(config.listen).map_err(|e| format!("{}: {e}", config.listen))?;
    let address = listener.local_addr().map_err(|e| e.to_string())?;
    let (clock, sockets) = (Clock::new(), Sockets::new(config.sockets));
    let (events, queue) = mpsc::unbounded_channel();
    let (lists, list_queue) = mpsc::unbounded_channel();
    let (phase, phases) = watch::channel(Phase::Serving);
    let killed = AFTER_TERM + config.core.longest.min(COUNTED);
    // What comes until then is answered in time, or not at all.
    let closing = (killed - config.core.longest_target - SPARE).max(AFTER_TERM);
    let replicas = replicas::Replicas::new(config.replicas, clock, sockets.clone(), events.clone());
    let mut core = Core::new(clock, config.settings, config.core, replicas, sockets.clone());
    let front = Rc::new(Front::new(config.names, clock, sockets.clone(), events, phases));
    let generation = config.known.as_ref().map(|k| k.generation);
    if let Some(known) = config.known {
        core.list(discovery::List { full: true, ..known });
    }
    let ready = front.clone();
    let mut core = tokio::task::spawn_local(core.run(queue, list_queue, move || ready.ready.set(true)));
    let (place, places) = watch::channel(config.discovery);
    tokio::task::spawn_local(discovery::follow(places, generation, sockets, lists));
    tokio::task::spawn_local(config::reload(hangup, config.file, place));
    let serving = tokio::task::spawn_local(front.serve(listener));
    info!("listening on {address}");
    tokio::select! {
        _ = term.recv() => {}
        // Danger: a process whose core has died looks alive and answers nothing. It ends, to be started anew.
        ended = &mut core => return Err(format!("the core has ended: {ended:?}")),
    }
    info!("SIGTERM: finishing what is in hand");
    let _ = phase.send(Phase::Draining);
    // Danger: one that leaves at once is missed: clients are dealt out again only among those that have come
    // back, and there may be none. It serves for as long as what it takes can be answered. Covers a restart
    // of all, one after the other. Harm: a restart by hand takes that long.
    let term = tokio::time::Instant::now();
    let until = |after: f64| tokio::time::sleep_until(term + Duration::from_secs_f64(after));
    let ending = async {
        until(closing).await;
        let _ = phase.send(Phase::Closing);
        until(killed - SPARE).await;
        let _ = phase.send(Phase::Ending);
        std::future::pending::<()>().await;
    };
    tokio::select! {
        ended = serving => ended.map_err(|e| format!("serving: {e}"))?,
        ended = &mut core => return Err(format!("the core has ended: {ended:?}")),
        () = ending => {}
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
    let runtime = match tokio::runtime::Builder::new_current_thread().enable_all().build() {
        Ok(runtime) => runtime,
        Err(e) => {
            eprintln!("woadreachd: {e}");
            return ExitCode::FAILURE;
        }
    };
    match tokio::task::LocalSet::new().block_on(&runtime, run()) {
        Ok(()) => ExitCode::SUCCESS,
        Err((code, why)) => {
            eprintln!("woadreachd: {why}");
            ExitCode::from(code)
        }
    }
}
