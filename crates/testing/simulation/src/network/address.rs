//! Addresses of simulated processes, which follow from their numbers.

use crate::clock::ProcessId;
use std::net::{IpAddr, SocketAddr};

/// The first octet of every address.
const LOOPBACK: u8 = 127;

/// The address of a process.
pub(crate) fn address(process: ProcessId, port: u16) -> SocketAddr {
    let [_, a, b, c] = (process.0 as u32).to_be_bytes();
    SocketAddr::from(([LOOPBACK, a, b, c], port))
}

/// The process that has this address, whether or not there is one.
pub(super) fn process_at(address: SocketAddr) -> Option<ProcessId> {
    let IpAddr::V4(ip) = address.ip() else {
        return None;
    };
    let [_, a, b, c] = ip.octets();
    Some(ProcessId(u32::from_be_bytes([0, a, b, c]) as usize))
}
