//! Discovery agents. Each co-ordinator has its own agent, which serves an endpoint list and watches on the list.

use crate::recorder::Recorder;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::sync::Notify;
use woadreach_invariants::{CoordinatorId, EventKind};
use woadreach_runtime::{Listener, Net, Stream};

/// PROTOCOL: seconds between two heartbeats on a watch. A heartbeat is an empty line.
const HEARTBEAT_INTERVAL: f64 = 2.0;

/// A replica in an endpoint list.
#[derive(Clone, Debug, PartialEq)]
pub struct ListEntry {
    /// Name of the replica.
    pub id: String,
    /// Address at which the agent's co-ordinator connects to the replica.
    pub address: SocketAddr,
    /// Name of the zone.
    pub zone: String,
    /// Number of the shard group.
    pub cell: u64,
    /// `ready`, `draining` or `gone`.
    pub lifecycle: &'static str,
    /// Time of the replica's last start in Unix seconds; 0 if it started long ago.
    pub started_at: f64,
}

impl ListEntry {
    /// Returns the entry as JSON.
    fn json(&self) -> String {
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

/// Handling of calls that arrive while the agent is unresponsive. The protocol does not define it, so a co-ordinator
/// must tolerate each variant.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum CallsWhileUnresponsive {
    /// All calls are answered once the agent is responsive again.
    #[default]
    Delayed,
    /// Watches are answered once the agent is responsive again; calls for the full list are never answered.
    ListsLost,
    /// No call is ever answered.
    Lost,
}

/// An entry with the generation in which it last changed.
struct VersionedEntry {
    generation: u64,
    entry: ListEntry,
}

/// A list of entries, with its JSON for the co-ordinator.
struct EncodedList {
    json: String,
    entries: Vec<ListEntry>,
}

struct Inner {
    node: CoordinatorId,
    recorder: Recorder,
    /// Generation of the list; increases with each change.
    generation: Cell<u64>,
    /// Entries by name of the replica.
    entries: RefCell<BTreeMap<String, VersionedEntry>>,
    /// Latest generation that was written to the co-ordinator.
    written: Cell<u64>,
    unresponsive: Cell<bool>,
    calls_while_unresponsive: Cell<CallsWhileUnresponsive>,
    /// Generation up to which changes of the list were recorded.
    recorded: Cell<u64>,
    /// Notified when the list changes and when the agent becomes unresponsive or responsive.
    changed: Notify,
}

/// Handle of the discovery agent of one co-ordinator. All clones refer to the same agent.
#[derive(Clone)]
pub struct Agent(Rc<Inner>);

/// Starts an agent that listens at `address`. With `agent`, that agent listens there in addition.
///
/// # Errors
/// Returns an error if the agent cannot listen at the address.
pub fn start_discovery_agent<N: Net>(
    net: &N,
    node: CoordinatorId,
    address: SocketAddr,
    agent: Option<&Agent>,
    recorder: &Recorder,
) -> std::io::Result<Agent> {
    let agent = agent.cloned().unwrap_or_else(|| {
        Agent(Rc::new(Inner {
            node,
            recorder: recorder.clone(),
            generation: Cell::new(1),
            written: Cell::new(0),
            entries: RefCell::default(),
            unresponsive: Cell::new(false),
            calls_while_unresponsive: Cell::default(),
            recorded: Cell::new(0),
            changed: Notify::new(),
        }))
    });
    let listener = net.listen(address)?;
    drop(net.spawn(accept(net.clone(), agent.clone(), listener)));
    Ok(agent)
}

impl Agent {
    /// Adds or replaces entries of the list, which gets a new generation.
    pub fn change(&self, entries: &[ListEntry]) {
        let generation = self.0.generation.get() + 1;
        self.0.generation.set(generation);
        for entry in entries {
            let entry = entry.clone();
            let versioned = VersionedEntry { generation, entry };
            let id = versioned.entry.id.clone();
            self.0.entries.borrow_mut().insert(id, versioned);
        }
        self.record_changes();
        self.0.changed.notify_waiters();
    }

    /// Records the changes that are not recorded yet, unless the agent is unresponsive.
    fn record_changes(&self) {
        if !self.0.unresponsive.get() {
            let (after, generation) = (self.0.recorded.get(), self.0.generation.get());
            self.0.recorded.set(generation);
            self.record(&self.list(after, false).entries);
        }
    }

    /// Handles a restart of the co-ordinator: records all entries again, because the new process has no list yet.
    pub fn process_started(&self) {
        self.0.recorded.set(0);
        self.record_changes();
    }

    /// Sets how calls are handled that arrive while the agent is unresponsive.
    pub fn set_calls_while_unresponsive(&self, calls: CallsWhileUnresponsive) {
        self.0.calls_while_unresponsive.set(calls);
    }

    /// Current generation of the list.
    pub fn generation(&self) -> u64 {
        self.0.generation.get()
    }

    /// Latest generation that was written to the co-ordinator; 0 if none was.
    pub fn last_written_generation(&self) -> u64 {
        self.0.written.get()
    }

    /// Makes the agent unresponsive, or responsive again.
    pub fn set_unresponsive(&self, unresponsive: bool) {
        self.0.unresponsive.set(unresponsive);
        self.record_changes();
        self.0.changed.notify_waiters();
    }

    /// Full list as JSON, also for a co-ordinator's configuration.
    pub fn full_list_json(&self) -> String {
        self.list(0, true).json
    }

    /// Returns the entries that changed after a generation. A `full` list omits departed replicas.
    fn list(&self, after: u64, full: bool) -> EncodedList {
        let all = self.0.entries.borrow();
        let entries: Vec<ListEntry> = all
            .values()
            .filter(|versioned| versioned.generation > after)
            .map(|versioned| &versioned.entry)
            .filter(|entry| !(full && entry.lifecycle == "gone"))
            .cloned()
            .collect();
        let instances: Vec<String> = entries.iter().map(ListEntry::json).collect();
        let generation = self.0.generation.get();
        let json = format!(
            r#"{{"generation":{generation},"reset":{full},"instances":[{}]}}"#,
            instances.join(",")
        );
        EncodedList { json, entries }
    }

    fn record_written(&self, generation: u64) {
        self.0.written.set(self.0.written.get().max(generation));
    }

    fn record(&self, entries: &[ListEntry]) {
        for entry in entries {
            self.0.recorder.record(EventKind::ReplicaListed {
                node: self.0.node,
                replica: entry.id.as_str().into(),
                ready: entry.lifecycle == "ready",
            });
        }
    }
}

async fn accept<N: Net>(net: N, agent: Agent, listener: N::Listener) {
    while let Ok(stream) = listener.accept().await {
        drop(net.spawn(serve(net.clone(), agent.clone(), stream)));
    }
}

/// Reads the head of a request; `None` if the connection closes first.
async fn read_head<S: Stream>(stream: &mut S, bytes: &mut Vec<u8>) -> Option<String> {
    loop {
        if let Some(end) = bytes.windows(4).position(|w| w == b"\r\n\r\n") {
            return Some(String::from_utf8_lossy(&bytes[..end]).to_string());
        }
        match stream.read(bytes).await {
            Ok(0) | Err(_) => return None,
            Ok(_) => {}
        }
    }
}

/// Parses the generation after which a watch requests changes; `None` if the request is for the full list.
fn requested_index(head: &str) -> Option<u64> {
    let value = head.split("index=").nth(1)?;
    value.split([' ', '&']).next()?.parse().ok()
}

async fn serve<N: Net>(net: N, agent: Agent, mut stream: N::Stream) {
    let mut bytes = Vec::new();
    let Some(head) = read_head(&mut stream, &mut bytes).await else {
        return;
    };
    let index = requested_index(&head);
    let is_dropped = match agent.0.calls_while_unresponsive.get() {
        CallsWhileUnresponsive::Delayed => false,
        CallsWhileUnresponsive::ListsLost => index.is_none(),
        CallsWhileUnresponsive::Lost => true,
    };
    if is_dropped && agent.0.unresponsive.get() {
        while matches!(stream.read(&mut bytes).await, Ok(1..)) {}
        return;
    }
    while agent.0.unresponsive.get() {
        tokio::select! {
            biased;
            ended = stream.read(&mut bytes) => if !matches!(ended, Ok(1..)) {
                return;
            },
            () = agent.0.changed.notified() => {}
        }
    }
    match index {
        None => serve_list(&agent, stream, bytes).await,
        Some(index) => serve_watch(&net, &agent, stream, index).await,
    }
}

async fn serve_list<S: Stream>(agent: &Agent, mut stream: S, mut bytes: Vec<u8>) {
    let generation = agent.generation();
    let list = agent.full_list_json();
    let response = format!(
        "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{list}",
        list.len()
    );
    if stream.write_all(response.as_bytes()).await.is_ok() {
        agent.record_written(generation);
    }
    let _ = stream.shutdown().await;
    // Unread bytes would reset the connection when it is closed.
    while matches!(stream.read(&mut bytes).await, Ok(1..)) {}
}

async fn serve_watch<N: Net>(net: &N, agent: &Agent, mut stream: N::Stream, mut index: u64) {
    let head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    if stream.write_all(head).await.is_err() {
        return;
    }
    loop {
        let changed = agent.0.changed.notified();
        if !agent.0.unresponsive.get() {
            let text = if agent.generation() > index {
                let list = agent.list(index, false);
                index = agent.generation();
                list.json
            } else {
                String::new()
            };
            let chunk = format!("{:x}\r\n{text}\n\r\n", text.len() + 1);
            if stream.write_all(chunk.as_bytes()).await.is_err() {
                return;
            }
            agent.record_written(index);
        }
        let mut rest = Vec::new();
        tokio::select! {
            biased;
            () = changed => {}
            _ = stream.read(&mut rest) => return,
            () = net.sleep(HEARTBEAT_INTERVAL) => {}
        }
    }
}
