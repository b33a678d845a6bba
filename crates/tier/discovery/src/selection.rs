//! Selects the core machines that a process polls, by rank and health. Used by [`Watcher`](crate::watcher::Watcher).
//!
//! Machines are selected in the order of their rendezvous rank for the process. Unhealthy machines that rank before the
//! last selected machine are polled too, so that their recovery is detected.

use std::net::SocketAddr;

use woadreach_routing::rendezvous::{FNV_OFFSET, hash64};

/// Number of healthy core machines that a process polls concurrently.
pub const TARGET_POLLED_MACHINES: usize = 3;
/// Maximum number of core machines polled concurrently, including unhealthy ones.
pub const MAX_POLLED_MACHINES: usize = 8;

/// Health of a core machine, derived from its polls.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MachineHealth {
    /// The machine answers and is in quorum.
    Healthy,
    /// The machine has not been polled, or its first poll has not finished.
    Unknown,
    /// The machine does not answer, or is out of quorum.
    Unhealthy,
}

/// Selects the machines to poll from `ranked`, which is sorted with the preferred machine first. A process that is
/// disconnected from the core polls up to [`MAX_POLLED_MACHINES`] machines that are not unhealthy.
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
    // If only machines of unknown health were selected, add a healthy one.
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

/// Rendezvous rank of the core machine at `address` for the process `name`. The machine with the lowest rank is
/// preferred.
///
/// Ranks must not change between releases, so that all releases distribute the processes over the machines alike. The
/// rank is an FNV-1a hash of the name and the IPv4 address; an IPv6 address is not hashed.
pub fn rank(name: &str, address: SocketAddr) -> u64 {
    let mut hash = hash64(name.as_bytes(), FNV_OFFSET);
    if let SocketAddr::V4(address) = address {
        hash = hash64(&address.ip().octets(), hash);
        hash = hash64(&address.port().to_be_bytes(), hash);
    }
    mix_bits(hash)
}

/// Mixes the bits of `hash`, so that the last bytes of an address, which differ most between machines, affect all bits.
fn mix_bits(mut hash: u64) -> u64 {
    hash ^= hash >> 32;
    hash = hash.wrapping_mul(0xd6e8_feb8_6659_fd93);
    hash ^ (hash >> 32)
}
