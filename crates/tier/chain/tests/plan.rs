//! Choice of the next view.

mod support;

use support::member_id;
use woadreach_chain::{
    Candidate, FailureDomain, MemberId, PlanError, Policy, Tolerance, View, WritePosition,
    next_view,
};

/// The member with this number after its disk was replaced.
fn replaced_disk(number: u8, identity: u64) -> MemberId {
    MemberId {
        identity,
        ..member_id(number)
    }
}

fn candidate(member: MemberId, active_epoch: u64) -> Candidate {
    Candidate {
        member,
        active_epoch,
        position: WritePosition::default(),
        can_replicate: true,
        failure_domain: FailureDomain::default(),
    }
}

/// View of epoch 5 in which members 1, 2 and 3 are the voters and the chain.
fn current() -> View {
    let members = vec![member_id(1), member_id(2), member_id(3)];
    View {
        epoch: 5,
        voters: members.clone(),
        chain: members,
        floor: 4,
    }
}

fn one_machine() -> Policy {
    Policy::tolerating(Tolerance {
        machines: 1,
        ..Tolerance::default()
    })
}

fn all_connected(_: MemberId, _: MemberId) -> bool {
    true
}

#[test]
fn an_unresponsive_member_leaves_the_chain_and_keeps_its_vote() {
    let voters = [candidate(member_id(2), 5), candidate(member_id(3), 5)];
    let view = next_view(&current(), &voters, &[], one_machine(), &all_connected).expect("a view");
    assert_eq!(view.epoch, 6);
    assert_eq!(view.chain, [member_id(2), member_id(3)]);
    assert_eq!(view.voters, [member_id(1), member_id(2), member_id(3)]);
    assert_eq!(view.floor, 5);
}

#[test]
fn an_unresponsive_voter_is_replaced_by_a_learner() {
    let voters = [candidate(member_id(2), 5), candidate(member_id(3), 5)];
    let view = next_view(
        &current(),
        &voters,
        &[candidate(member_id(4), 0)],
        one_machine(),
        &all_connected,
    )
    .expect("a view");
    assert_eq!(view.chain, [member_id(2), member_id(3), member_id(4)]);
    assert_eq!(view.voters, [member_id(2), member_id(3), member_id(4)]);
}

#[test]
fn a_member_that_lost_its_disk_is_replaced_by_its_new_identity() {
    let voters = [candidate(member_id(1), 5), candidate(member_id(3), 5)];
    let returned = replaced_disk(2, 99);
    let view = next_view(
        &current(),
        &voters,
        &[candidate(returned, 0)],
        one_machine(),
        &all_connected,
    )
    .expect("a view");
    assert_eq!(view.voters, [member_id(1), returned, member_id(3)]);
    assert!(!view.chain.contains(&member_id(2)));
}

#[test]
fn no_view_without_a_member_that_has_the_complete_state() {
    let voters = [candidate(member_id(2), 3), candidate(member_id(3), 3)];
    let mut view = current();
    view.chain = vec![member_id(1)];
    let planned = next_view(&view, &voters, &[], one_machine(), &all_connected);
    assert_eq!(planned, Err(PlanError::NoCompleteMember));
}

#[test]
fn an_inactive_member_of_the_chain_proves_that_the_epoch_committed_nothing() {
    // Member 2 was never active in epoch 5, so nothing was committed in it. Member 3, active in epoch 4, has every
    // committed write.
    let voters = [candidate(member_id(2), 3), candidate(member_id(3), 4)];
    let view = next_view(&current(), &voters, &[], one_machine(), &all_connected).expect("a view");
    assert_eq!(view.chain.first(), Some(&member_id(3)));
    assert_eq!(view.floor, 4);
}

#[test]
fn a_chain_that_does_not_intersect_every_majority_has_committed_nothing() {
    // Member 1 was alone in the chain and has lost its disk. The others have every write committed up to epoch 4.
    let mut view = current();
    view.chain = vec![member_id(1)];
    let voters = [candidate(member_id(2), 4), candidate(member_id(3), 4)];
    let next = next_view(&view, &voters, &[], one_machine(), &all_connected).expect("a view");
    assert_eq!(next.chain, [member_id(3), member_id(2)]);
    assert_eq!(next.floor, 4);
}

#[test]
fn the_voter_with_the_newest_state_becomes_head() {
    let longer = Candidate {
        position: WritePosition {
            epoch: 5,
            number: 9,
        },
        ..candidate(member_id(3), 5)
    };
    let voters = [
        candidate(member_id(1), 5),
        candidate(member_id(2), 5),
        longer,
    ];
    let view = next_view(&current(), &voters, &[], one_machine(), &all_connected).expect("a view");
    assert_eq!(view.chain, [member_id(3), member_id(1), member_id(2)]);
}

#[test]
fn members_that_are_not_connected_are_not_in_one_chain() {
    let voters = [
        candidate(member_id(1), 5),
        candidate(member_id(2), 5),
        candidate(member_id(3), 5),
    ];
    let are_connected = |first: MemberId, second: MemberId| {
        let pair = [
            first.identity.min(second.identity),
            first.identity.max(second.identity),
        ];
        pair != [1, 2]
    };
    let view = next_view(&current(), &voters, &[], one_machine(), &are_connected).expect("a view");
    assert_eq!(view.chain, [member_id(1), member_id(3)]);
    assert_eq!(view.voters, [member_id(1), member_id(2), member_id(3)]);
}

#[test]
fn a_leaving_member_stays_while_the_chain_would_be_too_short_to_commit() {
    let leaving = Candidate {
        can_replicate: false,
        ..candidate(member_id(1), 5)
    };
    let three = [
        leaving,
        candidate(member_id(2), 5),
        candidate(member_id(3), 5),
    ];
    let view = next_view(&current(), &three, &[], one_machine(), &all_connected).expect("a view");
    assert_eq!(view.chain, [member_id(2), member_id(3)]);
    let two = [leaving, candidate(member_id(2), 5)];
    let view = next_view(&current(), &two, &[], one_machine(), &all_connected).expect("a view");
    assert_eq!(view.chain, [member_id(2), member_id(1)]);
}

#[test]
fn members_are_spread_over_zones_if_a_zone_may_fail() {
    let policy = Policy::tolerating(Tolerance {
        machines: 1,
        zones: 1,
        regions: 0,
    });
    let at = |member: MemberId, zone: u32, active_epoch: u64| Candidate {
        failure_domain: FailureDomain { zone, region: 0 },
        ..candidate(member, active_epoch)
    };
    let voters = [
        at(member_id(1), 1, 5),
        at(member_id(2), 1, 5),
        at(member_id(3), 2, 5),
    ];
    let view = next_view(
        &current(),
        &voters,
        &[at(member_id(4), 3, 0)],
        policy,
        &all_connected,
    )
    .expect("a view");
    assert_eq!(view.chain, [member_id(1), member_id(3), member_id(4)]);
}
