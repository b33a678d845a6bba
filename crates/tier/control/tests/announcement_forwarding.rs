//! Detection of announcements that another core machine has already forwarded, which are not forwarded again.

use std::net::SocketAddrV4;

use woadreach_control::storage_planner::is_forwarded;

/// Returns whether the announcement of the storage machine at `announcing`, received from `peer`, counts as forwarded
/// by a core machine. The core machines are 10.0.0.1 and 10.0.0.2.
fn counts_as_forwarded(peer: &str, announcing: &str) -> bool {
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
fn an_announcement_from_its_storage_machine_is_not_forwarded() {
    assert!(!counts_as_forwarded("10.0.0.9:51000", "10.0.0.9:7000"));
    assert!(!counts_as_forwarded("10.9.0.9:51000", "10.0.0.9:7000"));
}

#[test]
fn an_announcement_from_another_core_machine_is_forwarded() {
    assert!(counts_as_forwarded("10.0.0.2:51000", "10.0.0.9:7000"));
}

#[test]
fn an_announcement_from_a_storage_machine_on_the_host_of_a_core_machine_is_not_forwarded() {
    assert!(!counts_as_forwarded("10.0.0.2:51000", "10.0.0.2:7000"));
}
