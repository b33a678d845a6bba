//! Discovery: an agent for each co-ordinator, which knows what it has been told and passes it on. Owns each
//! agent's list and watches; must never tell one co-ordinator what only another agent knows.

use crate::recorder::Recorder;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::sync::Notify;
use woadreach_invariants::{EventKind, NodeId};
use woadreach_runtime::{Listener, Net, Stream};

/// PROTOCOL: as long as nothing changes, an empty line comes so often.
const HEARTBEAT: f64 = 2.0;

/// A replica as the list has it.
#[derive(Clone, Debug, PartialEq)]
pub struct Line {
    pub id: String,
    pub address: SocketAddr,
    pub zone: String,
    pub cell: u64,
    /// `ready`, `draining` or `gone`.
    pub lifecycle: &'static str,
    /// Unix seconds of its last start; 0 for long ago.
    pub started_at: f64,
}

impl Line {
    /// The entry as it stands in a list.
    pub fn json(&self) -> String {
        format!(
            concat!(
                r#"{{"instanceId":"{}","hostPort":"{}","zone":"{}","machineType":"m","cell":{},"#,
                r#""lifecycle":"{}","weight":1.0,"startedAtMs":{}}}"#
            ),
            self.id,
            self.address,
            self.zone,
            self.cell,
            self.lifecycle,
            (self.started_at * 1000.0).round() as u64
        )
    }
}

/// What becomes of calls that are made while discovery is down. The page on the protocol says only that the
/// agent is silent then; a co-ordinator has to get along with each of these.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum CallsWhileSilent {
    /// All are answered at its return.
    #[default]
    Kept,
    /// Watches are, and calls for the whole list never.
    ListsLost,
    /// None is ever answered.
    Lost,
}

struct Inner {
    node: NodeId,
    recorder: Recorder,
    generation: Cell<u64>,
    /// What each replica is now, and the version since when.
    lines: RefCell<BTreeMap<String, (u64, Line)>>,
    /// The latest that has been written to its co-ordinator.
    told: Cell<u64>,
    silent: Cell<bool>,
    calls_while_silent: Cell<CallsWhileSilent>,
    /// The version up to which all counts as told.
    counted: Cell<u64>,
    changed: Notify,
    /// Counts what was told to be closed: watches of an older count end.
    era: Cell<u64>,
}

/// One co-ordinator's agent.
#[derive(Clone)]
pub struct Agent(Rc<Inner>);

/// Starts an agent at an address.
pub fn discovery<N: Net>(
    net: &N,
    node: NodeId,
    address: SocketAddr,
    agent: Option<&Agent>,
    recorder: &Recorder,
) -> std::io::Result<Agent> {
    let agent = agent.cloned().unwrap_or_else(|| {
        Agent(Rc::new(Inner {
            node,
            recorder: recorder.clone(),
            generation: Cell::new(1),
            told: Cell::new(0),
            lines: RefCell::default(),
            silent: Cell::new(false),
            calls_while_silent: Cell::default(),
            counted: Cell::new(0),
            changed: Notify::new(),
            era: Cell::new(0),
        }))
    });
    let listener = net.listen(address)?;
    drop(net.spawn(accept(net.clone(), agent.clone(), listener)));
    Ok(agent)
}

impl Agent {
    /// A change that the agent has been sent: one version of the list.
    pub fn change(&self, lines: &[Line]) {
        let generation = self.0.generation.get() + 1;
        self.0.generation.set(generation);
        for line in lines {
            self.0
                .lines
                .borrow_mut()
                .insert(line.id.clone(), (generation, line.clone()));
        }
        self.count();
        self.0.changed.notify_waiters();
    }

    /// What it has counts as told, whether or not a watch is open, unless it is silent.
    fn count(&self) {
        if !self.0.silent.get() {
            let (after, generation) = (self.0.counted.get(), self.0.generation.get());
            self.0.counted.set(generation);
            self.tell(&self.list(after, false).1);
        }
    }

    /// A new process of its co-ordinator has started: all that the agent has counts as told to it.
    pub fn process_started(&self) {
        self.0.counted.set(0);
        self.count();
    }

    /// From now on, for calls that come while it is silent.
    pub fn calls_while_silent(&self, calls: CallsWhileSilent) {
        self.0.calls_while_silent.set(calls);
    }

    /// The version that it has, and the latest that it has told.
    pub fn generation(&self) -> u64 {
        self.0.generation.get()
    }

    pub fn told(&self) -> u64 {
        self.0.told.get()
    }

    /// Says nothing until it is told to speak again; what it has by then counts as told at once.
    pub fn silence(&self, silent: bool) {
        self.0.silent.set(silent);
        self.count();
        self.0.changed.notify_waiters();
    }

    /// Ends its watches.
    pub fn close_all(&self) {
        self.0.era.set(self.0.era.get() + 1);
        self.0.changed.notify_waiters();
    }

    /// The list as a co-ordinator's configuration holds it.
    pub fn known(&self) -> String {
        self.list(0, true).0
    }

    /// What has changed after a version, and which replicas it names; what is gone stands among changes only.
    fn list(&self, after: u64, full: bool) -> (String, Vec<Line>) {
        let lines = self.0.lines.borrow();
        let wanted = lines
            .values()
            .filter(|(at, line)| *at > after && !(full && line.lifecycle == "gone"));
        let lines: Vec<Line> = wanted.map(|(_, line)| line.clone()).collect();
        let entries: Vec<String> = lines.iter().map(Line::json).collect();
        let generation = self.0.generation.get();
        let text = format!(
            r#"{{"generation":{generation},"reset":{full},"instances":[{}]}}"#,
            entries.join(",")
        );
        (text, lines)
    }

    /// A version has been written to the co-ordinator.
    fn written(&self, generation: u64) {
        self.0.told.set(self.0.told.get().max(generation));
    }

    fn tell(&self, lines: &[Line]) {
        for line in lines {
            let (node, replica) = (self.0.node, line.id.as_str().into());
            self.0.recorder.tell(EventKind::ReplicaListed {
                node,
                replica,
                ready: line.lifecycle == "ready",
            });
        }
    }
}

async fn accept<N: Net>(net: N, agent: Agent, listener: N::Listener) {
    while let Ok(stream) = listener.accept().await {
        drop(net.spawn(serve(net.clone(), agent.clone(), stream)));
    }
}

async fn serve<N: Net>(net: N, agent: Agent, mut stream: N::Stream) {
    let mut bytes = Vec::new();
    let head = loop {
        if let Some(end) = bytes.windows(4).position(|w| w == b"\r\n\r\n") {
            break String::from_utf8_lossy(&bytes[..end]).to_string();
        }
        match stream.read(&mut bytes).await {
            Ok(0) | Err(_) => return,
            Ok(_) => {}
        }
    };
    let index = head
        .split("index=")
        .nth(1)
        .and_then(|r| r.split([' ', '&']).next());
    let index = index.and_then(|i| i.parse::<u64>().ok());
    let era = agent.0.era.get();
    let lost = match agent.0.calls_while_silent.get() {
        CallsWhileSilent::Kept => false,
        CallsWhileSilent::ListsLost => index.is_none(),
        CallsWhileSilent::Lost => true,
    };
    if lost && agent.0.silent.get() {
        while matches!(stream.read(&mut bytes).await, Ok(1..)) {}
        return;
    }
    while agent.0.silent.get() {
        // Whoever has gone meanwhile is told nothing.
        tokio::select! {
            biased;
            ended = stream.read(&mut bytes) => if !matches!(ended, Ok(1..)) {
                return;
            },
            () = agent.0.changed.notified() => {}
        }
    }
    let Some(mut index) = index else {
        let (generation, (list, _)) = (agent.generation(), agent.list(0, true));
        let answer = format!(
            "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{list}",
            list.len()
        );
        if stream.write_all(answer.as_bytes()).await.is_ok() {
            agent.written(generation);
        }
        let _ = stream.shutdown().await;
        // To its end, so that nothing is reset.
        while matches!(stream.read(&mut bytes).await, Ok(1..)) {}
        return;
    };
    if stream
        .write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        .await
        .is_err()
    {
        return;
    }
    let chunk = |text: &str| format!("{:x}\r\n{text}\n\r\n", text.len() + 1);
    while agent.0.era.get() == era {
        let changed = agent.0.changed.notified();
        if !agent.0.silent.get() {
            let text = if agent.0.generation.get() > index {
                let (list, _) = agent.list(index, false);
                index = agent.0.generation.get();
                list
            } else {
                String::new()
            };
            if stream.write_all(chunk(&text).as_bytes()).await.is_err() {
                return;
            }
            agent.written(index);
        }
        // A heartbeat, or sooner if there is something to tell, or the end of the other side.
        let mut rest = Vec::new();
        tokio::select! {
            biased;
            () = changed => {}
            _ = stream.read(&mut rest) => return,
            () = net.sleep(HEARTBEAT) => {}
        }
    }
}
