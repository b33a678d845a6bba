//! The same co-ordinators, stand-ins and load on loopback sockets in real time, without faults: what the
//! simulated network is held against. Owns all of a day's parties on one thread; must never be a test's
//! verdict, for it depends on what else the machine does.

use crate::load::{draw_ask, draw_gap};
use crate::network::seed_of;
use crate::record::{Fared, Record};
use crate::script::Script;
use crate::world::{Outcome, Places, configuration, terms};
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use std::cell::{Cell, RefCell};
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;
use std::sync::Arc;
use tokio::sync::mpsc;
use woadreach_fakes::{Agent, Ask, Behaviour, Caller, Line, Replica, Retry};
use woadreach_invariants::{EventKind, NodeId};
use woadreach_runtime::{Net, Tokio};
use woadreachd::Environment;
use woadreachd::config::{self, AddressPrecedence, ConfigError, ConfigSource};

/// Before the first search: co-ordinators listen and have their list.
const BEFORE: f64 = 0.5;
/// The rules are looked at so often, beside every event.
const LOOK: f64 = 0.1;

/// A replica, with the address that each co-ordinator has of it.
type Running = (Vec<(NodeId, SocketAddr)>, Replica<Tokio>);

/// An address on loopback that was free a moment ago.
fn free() -> std::io::Result<SocketAddr> {
    TcpListener::bind("127.0.0.1:0")?.local_addr()
}

/// Plays a script's fleet and load on sockets; its faults are left out. Takes as long as the script says.
pub fn on_sockets(script: &Script) -> Result<Outcome, String> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let runtime = runtime.map_err(|e| format!("runtime: {e}"))?;
    tokio::task::LocalSet::new()
        .block_on(&runtime, day(script))
        .map_err(|e| e.to_string())
}

async fn day(script: &Script) -> std::io::Result<Outcome> {
    let net = Tokio::new();
    let targets = script
        .query_types
        .iter()
        .map(|t| t.latency_target)
        .collect();
    let record = Rc::new(RefCell::new(Record::new(terms(script), targets, false)));
    let recorder = Record::recorder(&record, move || net.now());
    let f = &script.fleet;
    // Replicas first, then what tells of them, then those who ask.
    let mut replicas: Vec<Running> = Vec::new();
    for r in 0..script.replicas() {
        let mut addresses = Vec::new();
        for n in 0..f.co_ordinators {
            addresses.push((NodeId(n), free()?));
        }
        let name = format!("r{r}");
        let behaviour = Behaviour {
            cores: f.cores,
            room: f.queue_capacity,
            ..Behaviour::default()
        };
        let seed = seed_of(script.seed, &name);
        let handle = woadreach_fakes::replica(&net, &name, behaviour, &addresses, seed, &recorder)?;
        replicas.push((addresses, handle));
    }
    let mut clients = Vec::new();
    for n in 0..f.co_ordinators {
        let (place, listen) = (free()?, free()?);
        let agent: Agent = woadreach_fakes::discovery(&net, NodeId(n), place, None, &recorder)?;
        let line = |(r, (addresses, _)): (usize, &Running)| Line {
            id: format!("r{r}"),
            address: addresses[n].1,
            zone: format!("z{}", r % f.replicas % f.zones),
            cell: (r / f.replicas) as u64,
            lifecycle: "ready",
            started_at: 0.0,
        };
        agent.change(&replicas.iter().enumerate().map(line).collect::<Vec<_>>());
        let seed = seed_of(script.seed, &format!("node {n} 0"));
        // Its peers are not played here: the network between zones is what `woadreach cluster` is for.
        let places = Places {
            listen,
            discovery: place,
            peer_listen: None,
            peers: Vec::new(),
        };
        let text = configuration(script, n, &places, seed, &agent.known());
        let given = ConfigSource {
            path: format!("n{n}"),
            text,
            listen: None,
            discovery: None,
        };
        let config =
            config::read(AddressPrecedence::Environment, &given).map_err(std::io::Error::other)?;
        // Kept by the task, so that neither signal ever comes.
        let ((hold, hangup), (hold_too, term)) =
            (mpsc::unbounded_channel(), mpsc::unbounded_channel());
        let given = Box::new(|| {
            Err(ConfigError::VariableNotSet {
                variable: "PROXY_CONFIG",
            })
        });
        let (report, verdict) = (Box::new(|_: &_| {}), Box::new(|_: &_| {}));
        let environment = Environment {
            sighup: hangup,
            sigterm: term,
            read_source: given,
            on_usage: report,
            on_verdict: verdict,
        };
        let node = NodeId(n);
        recorder.tell(EventKind::NodeStarted { node });
        let tell = recorder.clone();
        drop(net.spawn(async move {
            let _held = (hold, hold_too);
            if let Err(why) = woadreachd::serve(net, config, environment).await {
                let why = why.to_string();
                tell.tell(EventKind::Panicked { node, why });
            }
        }));
        clients.push(Caller::new(&net, node, listen, &recorder));
    }
    net.sleep(BEFORE).await;
    let (names, end) = (Rc::new(Cell::new(0u64)), net.now() + script.seconds);
    for (n, caller) in clients.iter().enumerate() {
        drop(net.spawn(load(
            net,
            script.clone(),
            caller.clone(),
            n,
            end,
            names.clone(),
        )));
    }
    let longest = script.max_client_timeout();
    while net.now() < end + longest + 1.0 {
        net.sleep(LOOK).await;
        record.borrow_mut().tick(net.now());
    }
    let r = record.borrow();
    let fared: Vec<Fared> = r.fared.iter().filter(|f| !f.left).copied().collect();
    Ok(Outcome {
        seed: script.seed,
        digest: r.digest(),
        breaches: r.breaches.clone(),
        seconds: script.seconds,
        steps: 0,
        events: r.events,
        searches: fared.len() as u64,
        good: fared.iter().filter(|f| f.good).count() as u64,
        sub_requests: r.sent.len() as u64,
        datagrams: 0,
        datagram_bytes: 0,
        verdicts: Vec::new(),
        recoveries: Vec::new(),
        trace: Vec::new(),
    })
}

async fn load(
    net: Tokio,
    script: Script,
    caller: Caller<Tokio>,
    n: usize,
    end: f64,
    names: Rc<Cell<u64>>,
) {
    let name = move || -> Arc<str> { format!("q{}", names.replace(names.get() + 1)).into() };
    let mut chance = Pcg64Mcg::seed_from_u64(seed_of(script.seed, &format!("load {n}")));
    let retry = Retry {
        times: script.load.retries,
        pause: script.load.retry_delay,
        heeds: script.load.honors_retry_after,
    };
    while net.now() < end {
        net.sleep(draw_gap(script.load.rate, &mut chance)).await;
        let ask: Ask = draw_ask(&script, 1.0, name(), &mut chance);
        let idempotent =
            script.query_types[ask.query_type].repeats == crate::script::Repeats::Idempotent;
        let (caller, name) = (caller.clone(), name.clone());
        drop(net.spawn(async move {
            drop(caller.ask_and_again(ask, retry, idempotent, name).await);
        }));
    }
}
