//! Announcements, planning and commit of views, and their distribution to machines and proxies.

use std::sync::Arc;
use std::time::Duration;

use woadreach_storage::StorageView;

use super::super::event::{Endpoint, Event};
use super::super::proxy::JobId;
use super::World;

/// Interval between two announcements of a machine.
const ANNOUNCE_INTERVAL: Duration = Duration::from_millis(500);
/// Interval between two plans of the core.
const PLAN_INTERVAL: Duration = Duration::from_millis(100);

impl World {
    pub(crate) fn announce(&mut self, index: usize) {
        if let Some(announcement) = self.machines[index].announcement()
            && !self.machines[index].outbound_partitioned
        {
            let delay = self.latency();
            self.after(delay, Event::Announced(announcement));
        }
    }

    pub(super) fn on_announce(&mut self, index: usize, incarnation: u64) {
        if self.machines[index].incarnation != incarnation || self.machines[index].process.is_none()
        {
            return;
        }
        self.announce(index);
        self.after(
            ANNOUNCE_INTERVAL,
            Event::Announce {
                machine: index,
                incarnation,
            },
        );
        let known = self.machines[index]
            .process
            .as_ref()
            .map(|process| process.node.view().epoch);
        if known < Some(self.core.committed.epoch) && !self.machines[index].inbound_partitioned {
            let view = self.core.committed.clone();
            self.after(
                Duration::from_millis(1),
                Event::View {
                    to: Endpoint::Machine(index),
                    view,
                },
            );
        }
    }

    pub(super) fn on_plan(&mut self) {
        self.after(PLAN_INTERVAL, Event::Plan);
        if self.has_commit_in_flight || self.core.frozen {
            return;
        }
        if let Some(view) = self
            .core
            .plan(self.now, self.tolerated_losses, self.mutation)
        {
            self.propose(view);
        }
    }

    pub(crate) fn propose(&mut self, view: StorageView) {
        self.has_commit_in_flight = true;
        let delay = self.millis(5, 40);
        self.after(delay, Event::Commit(view));
    }

    pub(crate) fn is_committing(&self) -> bool {
        self.has_commit_in_flight
    }

    pub(super) fn on_commit(&mut self, view: StorageView) {
        self.has_commit_in_flight = false;
        assert_eq!(view.epoch, self.core.committed.epoch + 1);
        self.core.committed = view.clone();
        self.trace(|| format!("committed {view:?}"));
        for index in 0..self.machines.len() {
            if self.machines[index].process.is_some() && !self.machines[index].inbound_partitioned {
                let delay = if self.chance(8) {
                    self.millis(100, 900)
                } else {
                    self.millis(1, 40)
                };
                self.after(
                    delay,
                    Event::View {
                        to: Endpoint::Machine(index),
                        view: view.clone(),
                    },
                );
            }
        }
        for index in 0..self.proxies.len() {
            let late = self.has_late_views || self.chance(8);
            let delay = if late {
                self.millis(100, 9_000)
            } else {
                self.millis(1, 40)
            };
            self.after(
                delay,
                Event::View {
                    to: Endpoint::Proxy(index),
                    view: view.clone(),
                },
            );
        }
        self.remove_retired_machines();
    }

    pub(super) fn on_view(&mut self, to: Endpoint, view: StorageView) {
        match to {
            Endpoint::Machine(index) => {
                self.machines[index].learn_view(view);
                self.disk_work(index);
            }
            Endpoint::Proxy(index) => {
                if view.epoch > self.proxies[index].view.epoch {
                    self.proxies[index].view = Arc::new(view);
                    let jobs: Vec<JobId> = self.proxies[index].jobs.keys().copied().collect();
                    for job in jobs {
                        self.send_job(index, job);
                    }
                }
            }
        }
    }

    /// Sends the proxy's view to a machine that answered under an older epoch.
    pub(super) fn send_newer_view(&mut self, proxy: usize, disk: u64, known_epoch: u64) {
        let view = Arc::clone(&self.proxies[proxy].view);
        if known_epoch < view.epoch
            && let Some(index) = self
                .machines
                .iter()
                .position(|machine| machine.identity == disk)
        {
            let delay = self.latency();
            self.after(
                delay,
                Event::View {
                    to: Endpoint::Machine(index),
                    view: (*view).clone(),
                },
            );
        }
    }
}
