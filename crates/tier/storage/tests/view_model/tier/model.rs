//! Initial state, actions and properties of the model.

use std::sync::Arc;

use stateright::{Model, Property};
use woadreach_storage::StorageView;
use woadreach_storage::view::retire;

use super::super::machine::{Machine, storage_member};
use super::{Action, Counts, Mutation, PendingWrite, Tier, World};

impl Model for World {
    type State = Tier;
    type Action = Action;

    fn init_states(&self) -> Vec<Tier> {
        let members = (0..self.current)
            .map(|index| storage_member(index, u64::from(index) + 1))
            .collect();
        let view = StorageView {
            epoch: 1,
            current: members,
            ..StorageView::default()
        };
        let machine = |index: u8| {
            let mut machine = Machine::create(index, u64::from(index) + 1, self.tolerated_losses);
            if index < self.current {
                machine.learn(&view, self.tolerated_losses);
            }
            Arc::new(machine)
        };
        let machines: Vec<Arc<Machine>> = (0..self.machines).map(machine).collect();
        // Machines that are not in the first view have not announced themselves yet.
        let last_announcements = machines.iter().enumerate().map(|(index, machine)| {
            (index < usize::from(self.current)).then(|| machine.announcement())
        });
        let mut tier = Tier {
            last_announcements: last_announcements.collect(),
            machines,
            views: vec![view],
            proxy: 0,
            write: None,
            acknowledged: Vec::new(),
            counts: Counts::default(),
            violation: None,
        };
        tier.compute_digests();
        vec![tier]
    }

    fn actions(&self, tier: &Tier, actions: &mut Vec<Action>) {
        if tier.violation.is_some() {
            return;
        }
        if tier.counts.views < self.max_counts.views && tier.planned(self).is_some() {
            actions.push(Action::Plan);
        }
        if tier.proxy + 1 < tier.views.len() {
            actions.push(Action::ProxyLearns);
        }
        if tier.write.is_none() && tier.counts.writes < self.max_counts.writes {
            actions.push(Action::Write);
        }
        let newest = tier.view().epoch;
        for index in 0..self.machines {
            let machine = &tier.machines[usize::from(index)];
            let last_announcement = &tier.last_announcements[usize::from(index)];
            if last_announcement.as_ref() != Some(&machine.announcement()) {
                actions.push(Action::Announce(index));
            }
            if last_announcement.is_some() && tier.counts.timeouts < self.max_counts.timeouts {
                actions.push(Action::StopResponding(index));
            }
            if machine.node.view().epoch < newest {
                actions.push(Action::Learn(index));
            }
            if tier.write.is_some() {
                actions.push(Action::Put(index));
            }
            let mut sources = (0..self.machines).filter(|&from| tier.can_pull(index, from));
            if !self.is_coarse {
                actions.extend(sources.map(|from| Action::Pull { to: index, from }));
            } else if sources.next().is_some() {
                actions.push(Action::PullFromAll(index));
            }
            if tier.counts.restarts < self.max_counts.restarts {
                actions.push(Action::Restart(index));
            }
            if tier.counts.wipes < self.max_counts.wipes && tier.may_lose(self, index) {
                actions.push(Action::Wipe(index));
            }
            if tier.counts.retirements < self.max_counts.retirements {
                actions.push(Action::Retire(index));
            }
        }
    }

    fn next_state(&self, tier: &Tier, action: Action) -> Option<Tier> {
        let mut next = tier.clone();
        match action {
            Action::Announce(index) => {
                let announcement = next.machines[usize::from(index)].announcement();
                next.last_announcements[usize::from(index)] = Some(announcement);
            }
            Action::StopResponding(index) => {
                next.counts.timeouts += 1;
                next.last_announcements[usize::from(index)] = None;
            }
            Action::Plan => {
                next.counts.views += 1;
                next.views.push(tier.planned(self)?);
            }
            Action::Retire(index) => {
                let node = next.machines[usize::from(index)].identity().node;
                let view = retire(next.view(), &node, self.tolerated_losses).ok()?;
                next.counts.retirements += 1;
                next.views.push(view);
            }
            Action::Learn(index) => {
                let view = next.view().clone();
                let tolerated_losses = self.tolerated_losses;
                next.machine(index).learn(&view, tolerated_losses);
                next.machine(index).finish_pull_if_complete();
                if self.mutation == Mutation::Pull {
                    let disk = next.machines[usize::from(index)].node.disk();
                    let sources = view.current.iter().filter(|source| source.disk != disk);
                    sources.for_each(|source| next.machine(index).finished_source(source.disk));
                }
            }
            Action::ProxyLearns => {
                next.proxy = next.views.len() - 1;
                next.write
                    .iter_mut()
                    .for_each(|pending| pending.answered.clear());
            }
            Action::Write => {
                next.write = Some(PendingWrite {
                    request_id: format!("turn-{}", next.counts.writes),
                    answered: Vec::new(),
                });
                next.counts.writes += 1;
            }
            Action::Put(index) => next.put(self, index),
            Action::Pull { to, from } => next.pull(self, to, from),
            Action::PullFromAll(to) => {
                for from in 0..self.machines {
                    if next.can_pull(to, from) {
                        next.pull(self, to, from);
                    }
                }
            }
            Action::Restart(index) => {
                next.counts.restarts += 1;
                let tolerated_losses = self.tolerated_losses;
                next.machine(index).restart(tolerated_losses);
            }
            Action::Wipe(index) => {
                next.counts.wipes += 1;
                let fresh = 10 * u64::from(next.counts.wipes) + u64::from(index);
                let previous_disk = next.machines[usize::from(index)].node.disk();
                let disk = if self.mutation == Mutation::Identity {
                    previous_disk
                } else {
                    fresh
                };
                next.machines[usize::from(index)] =
                    Arc::new(Machine::create(index, disk, self.tolerated_losses));
            }
        }
        if self.is_coarse {
            next.announce_all();
        }
        next.compute_digests();
        next.check(self);
        (next != *tier).then_some(next)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::<Self>::always("holds", |_, tier| tier.violation.is_none()),
            Property::<Self>::sometimes("a joint epoch ends", |_, tier| {
                tier.views.len() >= 3 && tier.view().next.is_none()
            }),
        ]
    }
}
