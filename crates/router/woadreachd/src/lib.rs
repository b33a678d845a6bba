//! One woadreach co-ordinator, on whatever [`Net`] it is given: starts the parts that do the work, and ends
//! them when it is told to. Must never decide, nor hold anything that one of them owns.

pub mod config;
mod core;
mod discovery;
pub mod events;
pub mod frame;
mod front;
pub mod http;
pub mod json;
pub mod peers;
mod replicas;
mod sockets;

pub use discovery::list;

use crate::core::Core;
use config::{Config, Given};
use front::{Front, Phase};
use sockets::Sockets;
use std::rc::Rc;
use tokio::sync::{mpsc, watch};
use tracing::info;
use woadreach_runtime::{Listener, Net};

/// PROTOCOL: SIGKILL comes no sooner after SIGTERM than the longest client timeout, counted as 3 s where it
/// is longer, and 0.7 s more. Until then clients use the connections that they have.
const AFTER_TERM: f64 = 0.7;
const COUNTED: f64 = 3.0;
/// For the last answers to be written, by a process that may be held up.
const SPARE: f64 = 0.3;

/// What reaches the process beside its connections, and leaves it. A signal is a message; its sender lives as
/// long as the process.
pub struct Outside {
    pub hangup: mpsc::UnboundedReceiver<()>,
    pub term: mpsc::UnboundedReceiver<()>,
    /// Asked at each hangup.
    pub given: Box<dyn Fn() -> Result<Given, String>>,
    /// ConnectionEvent every few seconds what is held.
    pub report: Box<dyn Fn(&events::Usage)>,
    /// ConnectionEvent each new verdict on a zone.
    pub verdict: Box<dyn Fn(&woadreach_zone_failover::VerdictChange)>,
}

/// Serves until all is answered after `term`, or says why it cannot go on.
pub async fn serve<N: Net>(net: N, config: Config, outside: Outside) -> Result<(), String> {
    let Outside {
        hangup,
        mut term,
        given,
        report,
        verdict,
    } = outside;
    let listener = net
        .listen(config.listen)
        .map_err(|e| format!("{}: {e}", config.listen))?;
    let address = listener.local_addr().map_err(|e| e.to_string())?;
    let sockets = Sockets::new(config.sockets);
    let (events, queue) = mpsc::unbounded_channel();
    let (lists, list_queue) = mpsc::unbounded_channel();
    let (phase, phases) = watch::channel(Phase::Serving);
    let killed = AFTER_TERM + config.core.longest.min(COUNTED);
    // What comes until then is answered in time, or not at all.
    let closing = (killed - config.core.longest_target - SPARE).max(AFTER_TERM);
    let replicas = replicas::Replicas::new(
        config.replicas,
        net.clone(),
        sockets.clone(),
        events.clone(),
    );
    let mut core = Core::new(
        net.clone(),
        config.settings,
        config.core,
        replicas,
        sockets.clone(),
        report,
    );
    if let Some(shape) = config.watch {
        core.watch(shape, &config.names.query_types);
    }
    let mut peers = None;
    if let Some(figures) = config.peers {
        let socket = net
            .datagrams(figures.listen)
            .map_err(|e| format!("{}: {e}", figures.listen))?;
        let (sights, looks) = watch::channel(peers::ZoneObservations::default());
        let (words, heard) = mpsc::unbounded_channel();
        core.sights(figures.zones.len(), sights, words);
        let (phase, events) = (phases.clone(), events.clone());
        let ends = peers::Ends {
            sights: looks,
            words: heard,
            phase,
            events,
            verdict,
        };
        peers = Some(net.spawn(peers::run(net.clone(), figures, socket, ends)));
    }
    let front = Rc::new(Front::new(
        config.names,
        net.clone(),
        sockets.clone(),
        events,
        phases,
    ));
    let generation = config.known.as_ref().map(|k| k.generation);
    if let Some(known) = config.known {
        core.list(events::List {
            full: true,
            ..known
        });
    }
    let ready = front.clone();
    let mut core = net.spawn(core.run(queue, list_queue, move || ready.ready.set(true)));
    let (place, places) = watch::channel(config.discovery);
    let interval = config.discovery_interval;
    drop(net.spawn(discovery::follow(
        net.clone(),
        places,
        generation,
        interval,
        sockets,
        lists,
    )));
    drop(net.spawn(config::reload(hangup, given, config.file, place)));
    let serving = net.spawn(front.serve(listener));
    info!("listening on {address}");
    tokio::select! {
        biased;
        // Danger: a process whose core has died looks alive and answers nothing. It ends, to be started anew.
        ended = &mut core => return Err(format!("the core has ended: {ended:?}")),
        _ = term.recv() => {}
    }
    info!("SIGTERM: finishing what is in hand");
    let _ = phase.send(Phase::Draining);
    // Danger: one that leaves at once is missed: clients are dealt out again only among those that have come
    // back, and there may be none. It serves for as long as what it takes can be answered. Covers a restart
    // of all, one after the other. Harm: a restart by hand takes that long.
    let term = net.now();
    let ending = async {
        net.sleep_until(term + closing).await;
        let _ = phase.send(Phase::Closing);
        net.sleep_until(term + killed - SPARE).await;
        let _ = phase.send(Phase::Ending);
        std::future::pending::<()>().await;
    };
    tokio::select! {
        biased;
        ended = serving => ended.map_err(|e| format!("serving: {e}"))?,
        ended = &mut core => return Err(format!("the core has ended: {ended:?}")),
        () = ending => {}
    }
    // Danger: one that has nothing in hand ends before it has told its peers so, and they take seconds to
    // find out. It closes with a word, which waits for nobody. Covers each end in order. Harm: none.
    let _ = phase.send(Phase::Ending);
    if let Some(peers) = peers {
        drop(peers.await);
    }
    info!("nothing in hand: end");
    Ok(())
}
