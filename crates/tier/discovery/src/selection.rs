//! Which core machines a process polls, by rank and health; a decision of [`Watcher`](crate::watcher::Watcher).
//!
//! Machines are chosen in the order of their rendezvous rank for the process. Beside the healthy ones,
//! unhealthy machines that rank before them are polled too, so that a machine that recovers is noticed.

use std::net::SocketAddr;

use woadreach_routing::rendezvous::{FNV_OFFSET, hash64};

/// Number of healthy core machines that a process polls at once.
pub const TARGET_POLLED_MACHINES: usize = 3;
/// Most core machines polled at once while some or all are unhealthy.
pub const MAX_POLLED_MACHINES: usize = 8;

/// Health of a core machine as far as its polls show.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MachineHealth {
    /// It answers and is in quorum.
    Healthy,
    /// It has not been polled, or has not answered yet.
    Unknown,
    /// It does not answer, or is out of quorum.
    Unhealthy,
}

/// The machines to poll, chosen from `ranked`, which is ordered from the best rank on. A process that is
/// disconnected from the core polls as many as [`MAX_POLLED_MACHINES`].
pub fn select(
    ranked: &[SocketAddr],
    is_disconnected: bool,
    health_of: impl Fn(&SocketAddr) -> MachineHealth,
) -> Vec<SocketAddr> {
    let limit = if is_disconnected {
        MAX_POLLED_MACHINES
    } else {
        TARGET_POLLED_MACHINES
    };
    let candidates: Vec<usize> = (0..ranked.len())
        .filter(|&index| health_of(&ranked[index]) != MachineHealth::Unhealthy)
        .take(limit)
        .collect();
    let end = if candidates.len() == limit {
        candidates[limit - 1]
    } else {
        ranked.len()
    };
    let mut selected: Vec<SocketAddr> = candidates.iter().map(|&index| ranked[index]).collect();
    let is_healthy = |address: &SocketAddr| health_of(address) == MachineHealth::Healthy;
    // Machines of unknown health must not displace every healthy one.
    if !selected.iter().any(is_healthy) {
        selected.extend(ranked.iter().copied().find(is_healthy));
    }
    let unhealthy = ranked[..end]
        .iter()
        .copied()
        .filter(|address| health_of(address) == MachineHealth::Unhealthy);
    selected.extend(unhealthy.take(MAX_POLLED_MACHINES.saturating_sub(selected.len())));
    selected
}

/// Rendezvous rank of the core machine at `address` for the process `name`: the lowest is polled first.
///
/// The same in every release, so that processes spread alike over the machines. The name and an IPv4 address
/// are hashed by FNV-1a; other addresses count as empty.
pub fn rank(name: &str, address: SocketAddr) -> u64 {
    let mut hash = hash64(name.as_bytes(), FNV_OFFSET);
    if let SocketAddr::V4(address) = address {
        hash = hash64(&address.ip().octets(), hash);
        hash = hash64(&address.port().to_be_bytes(), hash);
    }
    mix_bits(hash)
}

/// Spreads the last bytes of an address, which differ most between machines, over all bits.
fn mix_bits(mut hash: u64) -> u64 {
    hash ^= hash >> 32;
    hash = hash.wrapping_mul(0xd6e8_feb8_6659_fd93);
    hash ^ (hash >> 32)
}
