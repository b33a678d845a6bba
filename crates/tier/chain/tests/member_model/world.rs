//! The searched model: its possible actions, how often each may occur, and the property that every state must have.

use std::sync::Arc;

use stateright::{Model, Property};
use woadreach_chain::{Body, Envelope, TimedStep};

use super::core::{Core, Counts, InFlightMessage};
use super::machine::Machine;

/// Parameters of one search.
#[derive(Clone)]
pub(crate) struct World {
    pub machines: usize,
    /// Number of voters of the first view; these are the first machines.
    pub voters: usize,
    /// Length of the chain of the first view; its members are the first voters.
    pub chain: usize,
    /// Members of the first chain that are not yet active in it, but were active in the previous epoch.
    pub inactive: Vec<usize>,
    /// Number of machines that may fail, as in the settings.
    pub faults: usize,
    /// Machines whose syncs are separate actions; the other machines sync at once.
    pub slow_disks: Vec<usize>,
    /// Machines that may begin a proposal.
    pub proposers: Vec<usize>,
    /// Machines that may crash, lose their disks or shut down.
    pub faulty: Vec<usize>,
    /// Maximum number of each kind of event.
    pub limits: Counts,
    /// Injected bug: a member that lost its disk retains its identity.
    pub identity_survives_wipe: bool,
    /// Whether the core must be able to serve requests again, from each state after the last wipe, once every
    /// machine runs and every message is delivered.
    pub must_recover: bool,
    #[cfg(feature = "mutations")]
    pub mutation: Option<woadreach_chain::Mutation>,
}

#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Action {
    Deliver(InFlightMessage),
    /// A message is delivered and remains in flight, so that it will be delivered again.
    Duplicate(InFlightMessage),
    Sync(usize),
    Propose(usize),
    /// The proposer begins phase 2 with the reports received so far.
    EndReportWait(usize),
    Resend(usize),
    Crash {
        index: usize,
        retained: usize,
    },
    /// All machines exchange heartbeats, after one has restarted.
    ExchangeHeartbeats,
    Wipe(usize),
    Leave(usize),
    Submit(usize),
    Read(usize),
}

impl World {
    fn timed(&self, core: &Core, actions: &mut Vec<Action>) {
        for (index, machine) in core.machines.iter().enumerate() {
            let can_propose =
                self.proposers.contains(&index) && core.counts.proposals < self.limits.proposals;
            if can_propose && machine.member.durable().view.is_voter(machine.id()) {
                actions.push(Action::Propose(index));
            }
            if machine.member.has_majority_of_reports() {
                actions.push(Action::EndReportWait(index));
            }
            if !machine.unsynced.is_empty() {
                actions.push(Action::Sync(index));
            }
            if !machine.has_exchanged_heartbeats {
                actions.push(Action::ExchangeHeartbeats);
                actions.push(Action::Resend(index));
            }
        }
    }

    fn faults(&self, core: &Core, actions: &mut Vec<Action>) {
        for &index in &self.faulty {
            let machine: &Arc<Machine> = &core.machines[index];
            if core.counts.crashes < self.limits.crashes {
                let retained = 0..=machine.unsynced.len();
                actions.extend(retained.map(|retained| Action::Crash { index, retained }));
            }
            if core.counts.wipes < self.limits.wipes {
                actions.push(Action::Wipe(index));
            }
            if core.counts.leaves < self.limits.leaves && !machine.is_leaving {
                actions.push(Action::Leave(index));
            }
        }
    }

    fn requests(&self, core: &Core, actions: &mut Vec<Action>) {
        for (index, machine) in core.machines.iter().enumerate() {
            if !machine.is_serving_head(core.now) {
                continue;
            }
            if core.counts.changes < self.limits.changes {
                actions.push(Action::Submit(index));
            }
            if core.counts.reads < self.limits.reads && core.oracle.has_acknowledgements() {
                actions.push(Action::Read(index));
            }
        }
    }
}

impl Model for World {
    type State = Core;
    type Action = Action;

    fn init_states(&self) -> Vec<Core> {
        vec![Core::first(self)]
    }

    fn actions(&self, core: &Core, actions: &mut Vec<Action>) {
        if core.oracle.violation.is_some() {
            return;
        }
        actions.extend(core.messages.iter().cloned().map(Action::Deliver));
        if core.counts.duplicates < self.limits.duplicates {
            actions.extend(core.messages.iter().cloned().map(Action::Duplicate));
        }
        self.timed(core, actions);
        self.faults(core, actions);
        self.requests(core, actions);
    }

    fn next_state(&self, core: &Core, action: Action) -> Option<Core> {
        let mut next = core.clone();
        match action {
            Action::Deliver(message) => {
                next.messages.remove(&message);
                next.deliver(self, &message);
            }
            Action::Duplicate(message) => {
                next.counts.duplicates += 1;
                next.deliver(self, &message);
            }
            Action::Sync(index) => next.sync(self, index),
            Action::Propose(index) => {
                next.counts.proposals += 1;
                next.step(self, index, TimedStep::Propose);
            }
            Action::EndReportWait(index) => next.step(self, index, TimedStep::EndReportWait),
            Action::Resend(index) => next.step(self, index, TimedStep::Resend),
            Action::Crash { index, retained } => {
                next.counts.crashes += 1;
                next.crash(self, index, retained);
            }
            Action::ExchangeHeartbeats => next.exchange_heartbeats(self),
            Action::Wipe(index) => {
                next.counts.wipes += 1;
                next.wipe(self, index);
            }
            Action::Leave(index) => {
                next.counts.leaves += 1;
                next.leave(self, index);
            }
            Action::Submit(index) => {
                let position = usize::from(next.counts.changes);
                next.counts.changes += 1;
                let request = next.oracle.issue_change(position);
                next.submit(self, index, request);
            }
            Action::Read(index) => {
                next.counts.reads += 1;
                let request = next.oracle.issue_read();
                next.submit(self, index, request);
            }
        }
        next.compute_digests();
        let are_wipes_over = next.counts.wipes == self.limits.wipes;
        if self.must_recover
            && are_wipes_over
            && next.oracle.violation.is_none()
            && !next.recovers(self)
        {
            next.oracle.violation =
                Some("the core does not serve requests although every machine runs".to_owned());
        }
        Some(next)
    }

    fn format_action(&self, action: &Action) -> String {
        match action {
            Action::Deliver((to, bytes)) | Action::Duplicate((to, bytes)) => {
                let envelope = Envelope::decode(bytes).expect("a message that a member has sent");
                let kind = if matches!(action, Action::Duplicate(_)) {
                    "duplicate"
                } else {
                    "deliver"
                };
                let body = match &envelope.body {
                    Body::Transfer { state, .. } => format!("Transfer {:?}", state.position),
                    body => format!("{body:?}"),
                };
                format!(
                    "{kind} {:?} -> {to} in {}: {body}",
                    envelope.from, envelope.epoch
                )
            }
            action => format!("{action:?}"),
        }
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![Property::<Self>::always("no violation", |_, core| {
            core.oracle.violation.is_none()
        })]
    }
}
