//! Plans changes of the membership from the machines' announcements. The core's head requests a plan periodically and
//! commits it only if the epoch has not changed since.
//!
//! | state | event | next state |
//! | --- | --- | --- |
//! | no view | enough machines have announced themselves | first view |
//! | no joint epoch | the wanted membership differs from `current` | joint epoch |
//! | joint epoch | the wanted membership differs from `next` | joint epoch with another `next` |
//! | joint epoch | every machine of `next` has pulled its records | no joint epoch, `next` is `current` |
//! | joint epoch | `next` is `current` again and no machine is being drained | no joint epoch, without pulls |
//!
//! Rows are evaluated from top to bottom; the first that matches applies.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use crate::announce::{Announcements, MachineObservation};
use crate::view::{StorageMember, StorageView};

/// Minimum wait before the first view with a full group, so that further machines can join it.
const FIRST_VIEW_WAIT: Duration = Duration::from_secs(1);
/// Minimum wait before a first view with fewer machines than a full group.
const SMALL_FIRST_VIEW_WAIT: Duration = Duration::from_secs(5);
/// Time without announcements after which a machine is replaced by one that joins.
const REPLACEMENT_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Time without announcements after which a machine that stalls a change of the membership is removed, even if less
/// than a full group remains.
const STALLED_CHANGE_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Time without announcements after which a machine is removed even if no other replaces it.
const REMOVAL_TIMEOUT: Duration = Duration::from_secs(6);
/// A machine joins only if its latest announcement is not older than this.
const MAX_ANNOUNCEMENT_AGE: Duration = Duration::from_millis(1_200);

/// The view that should follow `view`; `None` if it should stay. Up to `tolerated_losses` machines may
/// fail at once.
#[must_use]
pub fn plan(
    now: Instant,
    view: &StorageView,
    announcements: &Announcements,
    tolerated_losses: usize,
) -> Option<StorageView> {
    let planner = Planner {
        now,
        view,
        announcements,
        tolerated_losses,
    };
    planner.next_view()
}

/// Inputs of a plan.
struct Planner<'a> {
    now: Instant,
    view: &'a StorageView,
    announcements: &'a Announcements,
    tolerated_losses: usize,
}

/// A machine and the time for which it has not announced itself; ordered by that time.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct UnresponsiveMachine {
    unresponsive_for: Duration,
    node: String,
}

impl Planner<'_> {
    fn next_view(&self) -> Option<StorageView> {
        let view = self.view;
        if view.current.is_empty() {
            return self.first_view();
        }
        let wanted = self.wanted_members();
        if !same_members(&wanted, view.latest()) {
            return Some(joint_epoch(view, wanted));
        }
        let next = view.next.as_ref()?;
        // A cancelled change needs no pulls: every write has reached the current machines too.
        let is_cancelled = same_members(next, &view.current) && view.retiring.is_empty();
        let is_pulled = next.iter().all(|member| self.has_pulled(member));
        (is_cancelled || is_pulled).then(|| end_of_joint_epoch(view, next))
    }

    fn first_view(&self) -> Option<StorageView> {
        let observations = self.announcements.observations();
        let members: Vec<StorageMember> = observations
            .filter(|seen| self.is_fresh(seen))
            .map(|seen| seen.member.clone())
            .collect();
        let observations = self.announcements.observations();
        let first = observations.map(|seen| seen.first_heard).min()?;
        let waited = self.now.saturating_duration_since(first);
        let is_full_group = members.len() > 2 * self.tolerated_losses;
        let is_ready = (is_full_group && waited >= FIRST_VIEW_WAIT)
            || (members.len() > self.tolerated_losses && waited >= SMALL_FIRST_VIEW_WAIT);
        is_ready.then(|| StorageView {
            epoch: self.view.epoch + 1,
            current: members,
            ..StorageView::default()
        })
    }

    /// The target membership: the latest one, after replacing, adding, removing and draining machines.
    fn wanted_members(&self) -> Vec<StorageMember> {
        let departing = self.departing();
        let staying = self.view.latest().iter();
        let mut wanted: Vec<StorageMember> = staying
            .filter(|member| !departing.contains(&member.node))
            .map(|member| self.as_announced(member))
            .collect();
        wanted.extend(self.joining(&departing));
        self.remove_unresponsive(&mut wanted);
        wanted
    }

    /// Names of the machines that are being drained or are drained, or that shut down and are not needed.
    fn departing(&self) -> BTreeSet<String> {
        let mut departing = self.unneeded_in_shutdown();
        departing.extend(self.view.retired.iter().cloned());
        // Draining is postponed while too few other machines are responsive.
        if self.responsive_and_staying() > self.tolerated_losses {
            departing.extend(self.view.retiring.iter().cloned());
        }
        departing
    }

    /// Machines that have announced themselves and are not in the latest membership.
    fn joining(&self, departing: &BTreeSet<String>) -> Vec<StorageMember> {
        let latest = self.view.latest();
        let is_member = |node: &str| latest.iter().any(|member| member.node == node);
        let joining = self.announcements.observations().filter(|seen| {
            let node = &seen.member.node;
            !departing.contains(node)
                && !seen.shutting_down
                && self.is_fresh(seen)
                && !is_member(node)
        });
        joining.map(|seen| seen.member.clone()).collect()
    }

    /// Number of responsive machines that are neither being drained nor drained.
    fn responsive_and_staying(&self) -> usize {
        let is_responsive = |member: &&StorageMember| {
            self.announcements.unresponsive_for(self.now, &member.node) < REPLACEMENT_TIMEOUT
        };
        let members = self.view.latest().iter();
        members
            .filter(|member| !self.is_retiring_or_retired(&member.node))
            .filter(is_responsive)
            .count()
    }

    /// Machines that are shutting down and are not needed, since the others are a full group. Without a full group a
    /// stopped machine stays a member, since it may restart with its disk.
    fn unneeded_in_shutdown(&self) -> BTreeSet<String> {
        let view = self.view;
        let observations = self.announcements.observations();
        let (shutting_down, others): (Vec<_>, Vec<_>) = observations
            .filter(|seen| self.is_fresh(seen))
            .partition(|seen| seen.shutting_down);
        // A machine that is being drained still counts as part of the group.
        let nodes = others.iter().map(|seen| &seen.member.node);
        let present: Vec<&String> = nodes.filter(|node| !view.retired.contains(*node)).collect();
        let remaining = present
            .iter()
            .filter(|node| !view.retiring.contains(**node))
            .count();
        if present.len() <= 2 * self.tolerated_losses || remaining <= self.tolerated_losses {
            return BTreeSet::new();
        }
        let nodes = shutting_down.iter().map(|seen| seen.member.node.clone());
        nodes.collect()
    }

    /// Removes unresponsive machines, the longest unresponsive first, where others have replaced them or enough remain.
    /// A machine that is unresponsive during a change of the membership is removed sooner, since it stalls the change.
    fn remove_unresponsive(&self, wanted: &mut Vec<StorageMember>) {
        let current = &self.view.current;
        let is_wanted =
            |member: &&StorageMember| wanted.iter().any(|other| other.node == member.node);
        let members_to_keep = current.iter().filter(is_wanted).count();
        let is_changing = self.view.next.is_some() || !same_members(wanted, current);
        let removal_timeout = if is_changing {
            REPLACEMENT_TIMEOUT
        } else {
            REMOVAL_TIMEOUT
        };
        let unresponsive = self.unresponsive_machines(wanted);
        let responsive = wanted.len() - unresponsive.len();
        for machine in unresponsive.into_iter().rev() {
            let time = machine.unresponsive_for;
            let is_replaced = wanted.len() > members_to_keep;
            let is_redundant = time >= removal_timeout && responsive > 2 * self.tolerated_losses;
            let stalls_change =
                is_changing && time >= STALLED_CHANGE_TIMEOUT && responsive > self.tolerated_losses;
            if is_replaced || is_redundant || stalls_change {
                wanted.retain(|member| member.node != machine.node);
            }
        }
    }

    /// Members that have not announced themselves for [`REPLACEMENT_TIMEOUT`], in ascending order of the time.
    fn unresponsive_machines(&self, members: &[StorageMember]) -> Vec<UnresponsiveMachine> {
        let mut machines: Vec<UnresponsiveMachine> = members
            .iter()
            .map(|member| UnresponsiveMachine {
                unresponsive_for: self.announcements.unresponsive_for(self.now, &member.node),
                node: member.node.clone(),
            })
            .filter(|machine| machine.unresponsive_for >= REPLACEMENT_TIMEOUT)
            .collect();
        machines.sort();
        machines
    }

    fn is_fresh(&self, seen: &MachineObservation) -> bool {
        self.now.saturating_duration_since(seen.last_heard) < MAX_ANNOUNCEMENT_AGE
    }

    fn is_retiring_or_retired(&self, node: &str) -> bool {
        self.view.retiring.contains(node) || self.view.retired.contains(node)
    }

    /// Whether the member has announced that it has pulled for the view's epoch.
    fn has_pulled(&self, member: &StorageMember) -> bool {
        let observation = self.announcements.observation(&member.node);
        observation.is_some_and(|seen| {
            seen.member.disk == member.disk && seen.pulled_epoch == self.view.epoch
        })
    }

    /// The member with its disk and address as last announced.
    fn as_announced(&self, member: &StorageMember) -> StorageMember {
        let observation = self.announcements.observation(&member.node);
        observation.map_or_else(|| member.clone(), |seen| seen.member.clone())
    }
}

fn joint_epoch(view: &StorageView, next: Vec<StorageMember>) -> StorageView {
    let mut changed = view.clone();
    changed.epoch += 1;
    changed.next = Some(next);
    changed
}

fn end_of_joint_epoch(view: &StorageView, next: &[StorageMember]) -> StorageView {
    let mut changed = view.clone();
    changed.epoch += 1;
    changed.next = None;
    changed.current = next.to_vec();
    let has_departed = |node: &&String| !next.iter().any(|member| member.node == **node);
    for node in view.retiring.iter().filter(has_departed) {
        changed.retiring.remove(node);
        changed.retired.insert(node.clone());
    }
    changed
}

fn same_members(left: &[StorageMember], right: &[StorageMember]) -> bool {
    left.len() == right.len() && left.iter().all(|member| right.contains(member))
}
