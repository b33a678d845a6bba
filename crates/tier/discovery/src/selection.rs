//! Which core machines a process asks, from what is known of their use.
//!
//! Machines are taken by their rank for the process. Beside those of use, some of no use are asked that rank
//! before them, so that a machine that comes back is found.

use std::net::SocketAddr;

/// Core machines polled at once.
pub const TARGET_POLLED_MACHINES: usize = 3;
/// Most addresses asked at once while some or all are of no use.
pub const MAX_POLLED_MACHINES: usize = 8;

/// Of what use a machine is, as far as is known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MachineHealth {
    /// It answers, and is in quorum.
    Healthy,
    /// It has not been asked, or has not answered yet.
    Unknown,
    /// It does not answer, or is cut off from the core's majority.
    Unhealthy,
}

/// The machines to ask, of `ranked` ones, the best first. A process that is lost asks as many as it may.
pub fn select(
    ranked: &[SocketAddr],
    is_disconnected: bool,
    use_of: impl Fn(&SocketAddr) -> MachineHealth,
) -> Vec<SocketAddr> {
    let limit = if is_disconnected {
        MAX_POLLED_MACHINES
    } else {
        TARGET_POLLED_MACHINES
    };
    let useful: Vec<usize> = (0..ranked.len())
        .filter(|&place| use_of(&ranked[place]) != MachineHealth::Unhealthy)
        .take(limit)
        .collect();
    let end = if useful.len() == limit {
        useful[limit - 1]
    } else {
        ranked.len()
    };
    let mut selected: Vec<SocketAddr> = useful.iter().map(|&place| ranked[place]).collect();
    // What has not proven itself yet must not take the place of all that has.
    if !selected
        .iter()
        .any(|address| use_of(address) == MachineHealth::Healthy)
    {
        selected.extend(
            ranked
                .iter()
                .copied()
                .find(|address| use_of(address) == MachineHealth::Healthy),
        );
    }
    let useless = ranked[..end]
        .iter()
        .copied()
        .filter(|address| use_of(address) == MachineHealth::Unhealthy);
    selected.extend(useless.take(MAX_POLLED_MACHINES.saturating_sub(selected.len())));
    selected
}

/// Rendezvous rank of a machine for the process `name`: lower is better.
pub fn rank(name: &str, address: SocketAddr) -> u64 {
    let mut hash = 0xcbf2_9ce4_8422_2325_u64;
    let mut add = |byte: u8| hash = (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
    name.bytes().for_each(&mut add);
    if let SocketAddr::V4(address) = address {
        address
            .ip()
            .octets()
            .into_iter()
            .chain(address.port().to_be_bytes())
            .for_each(&mut add);
    }
    // The last bytes differ most between addresses: spread them over all bits.
    hash ^= hash >> 32;
    hash = hash.wrapping_mul(0xd6e8_feb8_6659_fd93);
    hash ^ (hash >> 32)
}
