//! Which announcements of storage machines a core machine passes on to a head that is no seed.

use std::net::SocketAddrV4;

use woadreach_control::storage_planner::is_forwarded;

/// Whether a core machine takes the announcement of the storage machine at `announcing`, sent by `peer`, for one that
/// another core machine has forwarded.
fn is_taken_for_forwarded(peer: &str, announcing: &str) -> bool {
    let core_machines: Vec<SocketAddrV4> = ["10.0.0.1:7000", "10.0.0.2:7000"]
        .iter()
        .map(|address| address.parse().unwrap())
        .collect();
    is_forwarded(
        peer.parse().unwrap(),
        announcing.parse().unwrap(),
        &core_machines,
    )
}

#[test]
fn an_announcement_of_the_storage_machine_itself_is_not() {
    assert!(!is_taken_for_forwarded("10.0.0.9:51000", "10.0.0.9:7000"));
    assert!(!is_taken_for_forwarded("10.9.0.9:51000", "10.0.0.9:7000"));
}

#[test]
fn one_by_another_core_machine_is() {
    assert!(is_taken_for_forwarded("10.0.0.2:51000", "10.0.0.9:7000"));
}

#[test]
fn one_of_a_storage_machine_on_a_core_machines_host_is_not() {
    assert!(!is_taken_for_forwarded("10.0.0.2:51000", "10.0.0.2:7000"));
}
