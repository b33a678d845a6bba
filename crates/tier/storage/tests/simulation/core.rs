//! Simulated core, reduced to what the storage tier uses: records announcements, plans views and commits them in order.

use std::time::{Duration, Instant};

use woadreach_storage::StorageView;
use woadreach_storage::announce::{Announcement, Announcements};
use woadreach_storage::view::{plan, retire};

use super::mutation::Mutation;

pub(crate) struct Core {
    base: Instant,
    pub committed: StorageView,
    announcements: Announcements,
    pub frozen: bool,
}

impl Core {
    pub(crate) fn new(base: Instant) -> Core {
        let announcements = Announcements::new(base);
        Core {
            base,
            committed: StorageView::default(),
            announcements,
            frozen: false,
        }
    }

    pub(crate) fn record(&mut self, now: Duration, announcement: Announcement) {
        self.announcements.record(self.base + now, announcement);
    }

    /// Plans the view after the committed one; `None` if no change is due.
    pub(crate) fn plan(
        &mut self,
        now: Duration,
        tolerated_losses: usize,
        mutation: Mutation,
    ) -> Option<StorageView> {
        if mutation == Mutation::JointEpochEndsEarly
            && let Some(next) = self.committed.next.clone()
        {
            let mut view = self.committed.clone();
            view.epoch += 1;
            view.current = next;
            view.next = None;
            view.retired.append(&mut view.retiring);
            return Some(view);
        }
        plan(
            self.base + now,
            &self.committed,
            &self.announcements,
            tolerated_losses,
        )
    }

    /// Plans the view that retires a machine; `None` if the order is refused or was already applied.
    pub(crate) fn retire(&mut self, node: &str, tolerated_losses: usize) -> Option<StorageView> {
        retire(&self.committed, node, tolerated_losses)
            .ok()
            .filter(|view| *view != self.committed)
    }
}
