//! Rates of links and disks. Bulk messages of one machine are sent one after the other at the link's rate, while
//! other messages bypass them. The duration of a sync grows with the bytes that it writes.

use std::collections::BTreeMap;
use std::time::Duration;

use woadreach_chain::{Body, Command, ControlState, Envelope, Record};

/// Size of a message or record without a configuration, in bytes.
const SMALL_BYTES: u64 = 200;
/// Size of the digest and the generation of one applied configuration, in bytes.
const APPLIED_BYTES: u64 = 24;
/// Latency of a message on an idle link.
const LATENCY: Duration = Duration::from_millis(1);

/// Rates of links and disks, and the queue of each machine.
#[derive(Clone, Debug)]
pub(crate) struct Capacity {
    /// Rate at which a machine can send, in bytes per second.
    pub link_rate: u64,
    /// Rate at which a disk can write, in bytes per second.
    pub disk_rate: u64,
    /// Injected bug: heartbeats and Paxos messages are queued behind bulk messages.
    pub has_one_queue: bool,
    /// Time at which each machine will have sent every queued message.
    sent_at: BTreeMap<usize, Duration>,
    /// Largest number of bytes that were queued at one machine.
    pub max_backlog_bytes: u64,
    /// Number of bytes that were sent between machines.
    pub sent_bytes: u64,
}

impl Capacity {
    pub(crate) fn new(link_rate: u64, disk_rate: u64) -> Capacity {
        Capacity {
            link_rate,
            disk_rate,
            has_one_queue: false,
            sent_at: BTreeMap::new(),
            max_backlog_bytes: 0,
            sent_bytes: 0,
        }
    }

    /// Time from now until a message of `from` is received.
    pub(crate) fn send(&mut self, now: Duration, from: usize, envelope: &Envelope) -> Duration {
        let bytes = message_bytes(&envelope.body);
        self.sent_bytes += bytes;
        if !envelope.body.is_bulk() && !self.has_one_queue {
            return LATENCY + duration(bytes, self.link_rate);
        }
        let free = self
            .sent_at
            .get(&from)
            .copied()
            .unwrap_or_default()
            .max(now);
        let sent = free + duration(bytes, self.link_rate);
        self.sent_at.insert(from, sent);
        let waiting = (sent - now).as_nanos() as u64 / 1000 * self.link_rate / 1_000_000;
        self.max_backlog_bytes = self.max_backlog_bytes.max(waiting);
        sent - now + LATENCY
    }

    /// Time that a disk takes to write `bytes`, without the sync.
    pub(crate) fn write(&self, bytes: u64) -> Duration {
        duration(bytes, self.disk_rate)
    }
}

fn duration(bytes: u64, rate: u64) -> Duration {
    Duration::from_nanos(bytes * 1_000_000_000 / rate)
}

pub(crate) fn record_bytes(record: &Record) -> u64 {
    match record {
        Record::State { state, .. } => state_bytes(state),
        Record::Write { command, .. } => SMALL_BYTES + command_bytes(command),
        _ => SMALL_BYTES,
    }
}

fn message_bytes(body: &Body) -> u64 {
    match body {
        Body::Transfer { state, .. } | Body::Committed(state) => state_bytes(state),
        Body::Replicate { writes, .. } => {
            SMALL_BYTES
                + writes
                    .iter()
                    .map(|write| SMALL_BYTES + command_bytes(&write.command))
                    .sum::<u64>()
        }
        _ => SMALL_BYTES,
    }
}

pub(crate) fn state_bytes(state: &ControlState) -> u64 {
    let configuration = state
        .configuration
        .as_ref()
        .map_or(0, |configuration| configuration.body.0.len());
    SMALL_BYTES + configuration as u64 + APPLIED_BYTES * state.applied.len() as u64
}

fn command_bytes(command: &Command) -> u64 {
    match command {
        Command::PutConfiguration(put) => put.body.0.len() as u64,
        Command::PutStorageView(put) => put.bytes.0.len() as u64,
    }
}
