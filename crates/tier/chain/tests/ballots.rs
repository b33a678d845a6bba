//! A ballot is used for one view only, also after a restart of the proposer.

mod support;

use std::time::Duration;

use support::member_id;
use woadreach_chain::{
    Ballot, Body, Durable, FailureDomain, Input, Member, MemberOptions, Output, Record, TimedStep,
    Tolerance, View,
};

const NOW: Duration = Duration::from_secs(10);

/// The disk of the head of a chain of three members.
fn disk() -> Durable {
    let members = vec![member_id(1), member_id(2), member_id(3)];
    let view = View {
        epoch: 1,
        voters: members.clone(),
        chain: members,
        floor: 0,
    };
    let mut durable = Durable::new(1, true, View::default());
    durable.apply(&Record::View(view));
    durable.apply(&Record::Activate(1));
    durable
}

fn head(durable: Durable) -> Member {
    let options = MemberOptions {
        address: member_id(1).address,
        seeds: Vec::new(),
        tolerance: Tolerance {
            machines: 1,
            ..Tolerance::default()
        },
        failure_domain: FailureDomain::default(),
        random_seed: 1,
    };
    Member::new(NOW, options, durable)
}

fn prepared(outputs: &[Output]) -> Option<Ballot> {
    outputs.iter().find_map(|output| match output {
        Output::Send { envelope, .. } => match envelope.body {
            Body::Prepare { ballot } => Some(ballot),
            _ => None,
        },
        _ => None,
    })
}

fn records(outputs: &[Output]) -> Vec<(u64, Record)> {
    let persisted = outputs.iter().filter_map(|output| match output {
        Output::Persist { number, record } => Some((*number, record.clone())),
        _ => None,
    });
    persisted.collect()
}

#[test]
fn a_ballot_is_not_sent_before_its_promise_is_synced() {
    let mut member = head(disk());
    let outputs = member.take_step(NOW, TimedStep::Propose);
    assert_eq!(prepared(&outputs), None);
    let last = records(&outputs).last().expect("the own promise").0;
    let outputs = member.handle(NOW, Input::Synced(last));
    assert!(prepared(&outputs).is_some());
}

#[test]
fn a_ballot_is_not_used_again_after_a_restart() {
    let mut durable = disk();
    let mut member = head(durable.clone());
    let outputs = member.take_step(NOW, TimedStep::Propose);
    // The record is on the disk, and the process exits right after the ballot was sent.
    for (_, record) in records(&outputs) {
        durable.apply(&record);
    }
    let last = records(&outputs).last().expect("the own promise").0;
    let first = prepared(&member.handle(NOW, Input::Synced(last))).expect("a ballot");

    let mut member = head(durable);
    let outputs = member.take_step(NOW, TimedStep::Propose);
    let last = records(&outputs).last().expect("the own promise").0;
    let second = prepared(&member.handle(NOW, Input::Synced(last))).expect("a ballot");
    assert!(second > first);
}
