//! Routing of orders: to the head known to this machine, at once to a new head, and to no machine if this machine is
//! partitioned.

use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::time::Duration;

use woadreach_chain::{MemberId, Status};
use woadreach_control::order::route::{OUT_OF_QUORUM_TIMEOUT, Step, is_superseded, next_step};

fn address(host: u8) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(10, 0, 0, host), 7000)
}

fn member(host: u8) -> MemberId {
    MemberId {
        address: address(host),
        identity: u64::from(host),
    }
}

/// Status of machine 1.
fn status(head: Option<u8>, is_head: bool, in_quorum: bool) -> Status {
    Status {
        epoch: 3,
        head: head.map(member),
        is_head,
        in_chain: true,
        in_quorum,
        voters: vec![address(1), address(2), address(3)],
        suspected_voters: Vec::new(),
        core_machines: vec![address(1), address(2), address(3)],
    }
}

fn step(head: Option<u8>, is_head: bool, in_quorum: bool, out_of_quorum_for: Duration) -> Step {
    next_step(
        &status(head, is_head, in_quorum),
        SocketAddr::V4(address(1)),
        out_of_quorum_for,
    )
}

#[test]
fn in_quorum_the_head_executes_and_the_others_forward() {
    assert_eq!(step(Some(1), true, true, Duration::ZERO), Step::Execute);
    assert_eq!(
        step(Some(2), false, true, Duration::ZERO),
        Step::Forward(SocketAddr::V4(address(2)))
    );
    assert_eq!(
        step(Some(1), false, true, Duration::ZERO),
        Step::Wait,
        "this machine is the head, but sealed or not active yet"
    );
    assert_eq!(step(None, false, true, Duration::ZERO), Step::Wait);
}

#[test]
fn out_of_quorum_an_order_fails_after_the_time_out_even_at_a_former_head() {
    let short = OUT_OF_QUORUM_TIMEOUT - Duration::from_millis(1);
    assert_eq!(step(Some(1), true, false, short), Step::Execute);
    assert_eq!(
        step(Some(2), false, false, short),
        Step::Forward(SocketAddr::V4(address(2)))
    );
    for (head, is_head) in [(Some(1), true), (Some(2), false), (None, false)] {
        assert_eq!(
            step(head, is_head, false, OUT_OF_QUORUM_TIMEOUT),
            Step::GiveUp
        );
    }
}

#[test]
fn a_new_head_supersedes_the_recipient_and_a_new_epoch_of_the_same_head_does_not() {
    let recipient = Some(member(2));
    let same = Status {
        epoch: 4,
        ..status(Some(2), false, true)
    };
    assert!(!is_superseded(recipient, &same));
    assert!(is_superseded(recipient, &status(Some(3), false, true)));
    assert!(is_superseded(None, &same));
}
