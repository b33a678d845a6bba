//! Conditions under which a machine that is shutting down and is not in the chain may exit.

mod support;

use std::time::Duration;

use support::member_id;
use woadreach_chain::{
    Body, Durable, Envelope, ExitReadiness, FailureDomain, Heartbeat, HeartbeatTime, Input, Member,
    MemberId, MemberOptions, Record, Tolerance, View, WritePosition,
};

const EPOCH: u64 = 5;
/// Number of the machine that is shutting down.
const LEARNER: u8 = 4;

fn view(epoch: u64, chain: &[u8]) -> View {
    let chain: Vec<MemberId> = chain.iter().copied().map(member_id).collect();
    View {
        epoch,
        voters: chain.clone(),
        chain,
        floor: epoch - 1,
    }
}

/// A machine outside the chain of machines 1 to 3.
fn learner() -> Member {
    let mut durable = Durable::new(member_id(LEARNER).identity, false, View::default());
    durable.apply(&Record::View(view(EPOCH, &[1, 2, 3])));
    let options = MemberOptions {
        address: member_id(LEARNER).address,
        seeds: vec![member_id(1).address],
        tolerance: Tolerance {
            machines: 1,
            ..Tolerance::default()
        },
        failure_domain: FailureDomain::default(),
        random_seed: 1,
    };
    Member::new(Duration::ZERO, options, durable)
}

fn deliver(member: &mut Member, now: Duration, from: u8, epoch: u64, body: Body) {
    member.handle(
        now,
        Input::Message(Envelope {
            from: member_id(from),
            epoch,
            body,
        }),
    );
}

/// The machines of the chain send heartbeats that list every machine as heard, and report that they are active.
fn receive_from_chain(member: &mut Member, now: Duration) {
    for number in 1..=3 {
        let heartbeat = Heartbeat {
            sent: HeartbeatTime {
                incarnation: u64::from(number),
                micros: now.as_micros() as u64,
            },
            echo: HeartbeatTime::default(),
            can_replicate: true,
            leaving: false,
            bootstrap: false,
            failure_domain: FailureDomain::default(),
            committed: WritePosition::default(),
            heard_members: (1..=LEARNER).map(member_id).collect(),
        };
        deliver(member, now, number, EPOCH, Body::Heartbeat(heartbeat));
        deliver(member, now, number, EPOCH, Body::Active);
    }
}

#[test]
fn a_learner_may_not_exit_while_a_view_that_adds_it_may_be_pending() {
    let mut member = learner();
    let shutdown_began = Duration::from_secs(10);
    receive_from_chain(&mut member, shutdown_began);
    member.handle(shutdown_began, Input::Leave);
    for elapsed_ms in [0, 100, 500, 900] {
        let now = shutdown_began + Duration::from_millis(elapsed_ms);
        receive_from_chain(&mut member, now);
        assert_eq!(
            member.exit_readiness(now),
            ExitReadiness::ViewPending,
            "{elapsed_ms} ms after shutdown began"
        );
    }
    let now = shutdown_began + Duration::from_millis(1000);
    receive_from_chain(&mut member, now);
    assert_eq!(member.exit_readiness(now), ExitReadiness::Free);
}

#[test]
fn a_learner_may_not_exit_after_a_late_view_has_added_it() {
    let mut member = learner();
    let shutdown_began = Duration::from_secs(10);
    receive_from_chain(&mut member, shutdown_began);
    member.handle(shutdown_began, Input::Leave);
    let decided = shutdown_began + Duration::from_millis(600);
    deliver(
        &mut member,
        decided,
        1,
        EPOCH,
        Body::Decided(view(EPOCH + 1, &[1, 2, LEARNER])),
    );
    let now = shutdown_began + Duration::from_millis(1000);
    receive_from_chain(&mut member, now);
    assert_eq!(member.exit_readiness(now), ExitReadiness::InChain);
}
