//! The choice of the next view, case by case.

mod support;

use support::member_id;
use woadreach_chain::{
    Candidate, FailureDomain, MemberId, PlanError, Policy, Tolerance, View, WritePosition,
    next_view,
};

/// The member of this number on another disk.
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

/// View of epoch 5 in which 1, 2 and 3 vote and replicate.
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

fn everyone(_: MemberId, _: MemberId) -> bool {
    true
}

#[test]
fn an_unresponsive_member_leaves_the_chain_and_keeps_its_vote() {
    let voters = [candidate(member_id(2), 5), candidate(member_id(3), 5)];
    let view = next_view(&current(), &voters, &[], one_machine(), &everyone).expect("a view");
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
        &everyone,
    )
    .expect("a view");
    assert_eq!(view.chain, [member_id(2), member_id(3), member_id(4)]);
    assert_eq!(view.voters, [member_id(2), member_id(3), member_id(4)]);
}

#[test]
fn a_member_that_lost_its_disk_is_dropped_for_its_new_identity() {
    let voters = [candidate(member_id(1), 5), candidate(member_id(3), 5)];
    let returned = replaced_disk(2, 99);
    let view = next_view(
        &current(),
        &voters,
        &[candidate(returned, 0)],
        one_machine(),
        &everyone,
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
    let planned = next_view(&view, &voters, &[], one_machine(), &everyone);
    assert_eq!(planned, Err(PlanError::NoCompleteMember));
}

#[test]
fn an_inactive_member_of_the_chain_proves_that_the_epoch_committed_nothing() {
    // 2 never became active in epoch 5, so that 3, active in epoch 4, holds everything.
    let voters = [candidate(member_id(2), 3), candidate(member_id(3), 4)];
    let view = next_view(&current(), &voters, &[], one_machine(), &everyone).expect("a view");
    assert_eq!(view.chain.first(), Some(&member_id(3)));
    assert_eq!(view.floor, 4);
}

#[test]
fn a_chain_that_does_not_meet_every_majority_has_committed_nothing() {
    // 1 was alone in the chain and has lost its disk; the others hold what was committed up to epoch 4.
    let mut view = current();
    view.chain = vec![member_id(1)];
    let voters = [candidate(member_id(2), 4), candidate(member_id(3), 4)];
    let next = next_view(&view, &voters, &[], one_machine(), &everyone).expect("a view");
    assert_eq!(next.chain, [member_id(3), member_id(2)]);
    assert_eq!(next.floor, 4);
}

#[test]
fn the_chain_begins_with_the_longest_state() {
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
    let view = next_view(&current(), &voters, &[], one_machine(), &everyone).expect("a view");
    assert_eq!(view.chain, [member_id(3), member_id(1), member_id(2)]);
}

#[test]
fn members_that_do_not_reach_each_other_are_not_in_one_chain() {
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
    let view = next_view(&current(), &three, &[], one_machine(), &everyone).expect("a view");
    assert_eq!(view.chain, [member_id(2), member_id(3)]);
    let two = [leaving, candidate(member_id(2), 5)];
    let view = next_view(&current(), &two, &[], one_machine(), &everyone).expect("a view");
    assert_eq!(view.chain, [member_id(2), member_id(1)]);
}

#[test]
fn members_spread_across_zones_where_a_zone_may_be_lost() {
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
        &everyone,
    )
    .expect("a view");
    assert_eq!(view.chain, [member_id(1), member_id(3), member_id(4)]);
}
