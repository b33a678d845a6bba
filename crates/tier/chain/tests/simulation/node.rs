//! One simulated machine.

use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::Duration;

use woadreach_chain::{Envelope, Member, Request, RequestId};

use super::disk::SimulatedDisk;
use super::operator::CallId;
use super::stops::Stop;

/// One core machine.
pub(crate) struct Node {
    pub address: SocketAddrV4,
    pub member: Option<Member>,
    pub disk: Option<SimulatedDisk>,
    /// Counts starts, so that events of an earlier incarnation are dropped.
    pub incarnation: u64,
    pub frozen_until: Option<Duration>,
    /// Factor by which syncs are slowed down.
    pub disk_factor: u32,
    pub is_disk_stalled: bool,
    /// Kind and start of the shutdown of the process; `None` if it is not shutting down.
    pub stop: Option<(Stop, Duration)>,
    /// Whether the machine was permanently removed.
    pub is_removed: bool,
    /// Whether the machine took part in the first start of the core.
    pub is_initial: bool,
    pub is_syncing: bool,
    pub sync_started: Duration,
    /// Number of the last record that the disk has synced in this incarnation.
    pub last_synced: u64,
    /// Time of the last scheduled wake.
    pub scheduled_wake: Duration,
    pub identity: u64,
    /// Messages received while the process is frozen, with their senders.
    pub backlog: Vec<(usize, Box<Envelope>)>,
    pub calls: BTreeMap<RequestId, (CallId, Request)>,
    pub next_request: u64,
}

impl Node {
    /// A machine that has never run.
    pub(crate) fn new(index: usize) -> Node {
        Node {
            address: SocketAddrV4::new(Ipv4Addr::new(10, 0, 0, index as u8 + 1), 7000),
            member: None,
            disk: None,
            incarnation: 0,
            frozen_until: None,
            disk_factor: 1,
            is_disk_stalled: false,
            stop: None,
            is_removed: false,
            is_initial: true,
            is_syncing: false,
            sync_started: Duration::ZERO,
            last_synced: 0,
            scheduled_wake: Duration::ZERO,
            identity: 0,
            backlog: Vec::new(),
            calls: BTreeMap::new(),
            next_request: 0,
        }
    }
}
