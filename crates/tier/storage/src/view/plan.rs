//! Decides changes of the membership from what the machines announce.
//!
//! ```text
//! no view       -> first view, once enough machines have announced themselves
//! no joint epoch-> joint epoch, if the wanted membership differs from the present one
//! joint epoch   -> another next, if the wanted membership has changed meanwhile
//! joint epoch   -> next is current, once every machine of it has pulled its part
//! ```

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use crate::announce::{Announcements, MachineObservation};
use crate::view::{StorageMember, StorageView};

/// How long the first view waits for more machines than it needs.
const FIRST_VIEW_WAIT: Duration = Duration::from_secs(1);
/// How long it waits when there are fewer than a full group.
const SMALL_FIRST_VIEW_WAIT: Duration = Duration::from_secs(5);
/// Silence after which a machine gives its place to one that joins.
const REPLACEMENT_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Silence after which a machine goes that holds up a change of the membership, though less than a full group
/// stays.
const STALLED_CHANGE_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Silence after which a machine is dropped though nobody takes its place.
const REMOVAL_TIMEOUT: Duration = Duration::from_secs(6);
/// Announcements older than this do not make a machine join.
const MAX_ANNOUNCEMENT_AGE: Duration = Duration::from_millis(1_200);

/// The next view, if it should differ from `view`. `tolerated` machines may be lost at once.
#[must_use]
pub fn plan(
    now: Instant,
    view: &StorageView,
    announcements: &Announcements,
    tolerated: usize,
) -> Option<StorageView> {
    if view.current.is_empty() {
        return first_view(now, view, announcements, tolerated);
    }
    let wanted = wanted_members(now, view, announcements, tolerated);
    if !same_members(&wanted, view.latest()) {
        return Some(with_next(view, wanted));
    }
    let next = view.next.as_ref()?;
    // A change that was called off needs no pulls: every write has reached the present machines too.
    if same_members(next, &view.current) && view.retiring.is_empty() {
        return Some(end_of_joint_epoch(view, next));
    }
    let pulled = |member: &StorageMember| {
        let observation = announcements.observation(&member.node);
        observation
            .is_some_and(|seen| seen.member.disk == member.disk && seen.pulled_epoch == view.epoch)
    };
    next.iter()
        .all(pulled)
        .then(|| end_of_joint_epoch(view, next))
}

fn first_view(
    now: Instant,
    view: &StorageView,
    announcements: &Announcements,
    tolerated: usize,
) -> Option<StorageView> {
    let members: Vec<StorageMember> = announcements
        .observations()
        .filter(|seen| now.saturating_duration_since(seen.last_heard) < MAX_ANNOUNCEMENT_AGE)
        .map(member_of)
        .collect();
    let first = announcements
        .observations()
        .map(|seen| seen.first_heard)
        .min()?;
    let waited = now.saturating_duration_since(first);
    let full = members.len() > 2 * tolerated;
    let ready = (full && waited >= FIRST_VIEW_WAIT)
        || (members.len() > tolerated && waited >= SMALL_FIRST_VIEW_WAIT);
    ready.then(|| StorageView {
        epoch: view.epoch + 1,
        current: members,
        ..StorageView::default()
    })
}

/// The membership as it should be: the latest one, with machines replaced, added, dropped and emptied.
fn wanted_members(
    now: Instant,
    view: &StorageView,
    announcements: &Announcements,
    tolerated: usize,
) -> Vec<StorageMember> {
    let others_alive = alive_without_emptied(now, view, announcements);
    // An order waits while too few others are there to take over.
    let may_leave = others_alive > tolerated;
    let stopping = stopping_to_drop(now, view, announcements, tolerated);
    let leaves = |node: &str| {
        let is_emptied = (may_leave && view.retiring.contains(node)) || view.retired.contains(node);
        is_emptied || stopping.contains(node)
    };
    let joining: Vec<StorageMember> = announcements
        .observations()
        .filter(|seen| !leaves(&seen.member.node) && !seen.shutting_down)
        .filter(|seen| now.saturating_duration_since(seen.last_heard) < MAX_ANNOUNCEMENT_AGE)
        .filter(|seen| {
            !view
                .latest()
                .iter()
                .any(|member| member.node == seen.member.node)
        })
        .map(member_of)
        .collect();
    let mut wanted: Vec<StorageMember> = view
        .latest()
        .iter()
        .filter(|member| !leaves(&member.node))
        .map(|member| {
            announcements
                .observation(&member.node)
                .map_or_else(|| member.clone(), member_of)
        })
        .collect();
    wanted.extend(joining);
    let silence = |member: &StorageMember| announcements.unresponsive_for(now, &member.node);
    drop_unresponsive(&mut wanted, view, silence, tolerated);
    wanted
}

/// Machines that are heard and are not to be emptied.
fn alive_without_emptied(now: Instant, view: &StorageView, announcements: &Announcements) -> usize {
    let stays = |node: &str| !view.retiring.contains(node) && !view.retired.contains(node);
    let heard = |member: &&StorageMember| {
        announcements.unresponsive_for(now, &member.node) < REPLACEMENT_TIMEOUT
    };
    view.latest()
        .iter()
        .filter(|member| stays(&member.node))
        .filter(heard)
        .count()
}

/// Machines whose processes are being stopped and that are not needed: a full group of others is there.
/// Without one a stopped machine keeps its place, for it may come back with its disk.
fn stopping_to_drop(
    now: Instant,
    view: &StorageView,
    announcements: &Announcements,
    tolerated: usize,
) -> BTreeSet<String> {
    let fresh = |seen: &&MachineObservation| {
        now.saturating_duration_since(seen.last_heard) < MAX_ANNOUNCEMENT_AGE
    };
    let (stopping, others): (Vec<&MachineObservation>, Vec<&MachineObservation>) = announcements
        .observations()
        .filter(fresh)
        .partition(|seen| seen.shutting_down);
    // A machine that is being emptied is still one of the group.
    let nodes = others.iter().map(|seen| &seen.member.node);
    let present: Vec<&String> = nodes.filter(|node| !view.retired.contains(*node)).collect();
    let left = present
        .iter()
        .filter(|node| !view.retiring.contains(**node))
        .count();
    if present.len() <= 2 * tolerated || left <= tolerated {
        return BTreeSet::new();
    }
    stopping
        .iter()
        .map(|seen| seen.member.node.clone())
        .collect()
}

/// Drops silent machines, the longest silent first, where others have taken their place or enough stay. A
/// machine that is silent while the membership changes anyway goes sooner, for it holds the change up.
fn drop_unresponsive(
    wanted: &mut Vec<StorageMember>,
    view: &StorageView,
    silence: impl Fn(&StorageMember) -> Duration,
    tolerated: usize,
) {
    let stays = |member: &&StorageMember| wanted.iter().any(|other| other.node == member.node);
    let places = view.current.iter().filter(stays).count();
    let changing = view.next.is_some() || !same_members(wanted, &view.current);
    let patience = if changing {
        REPLACEMENT_TIMEOUT
    } else {
        REMOVAL_TIMEOUT
    };
    let mut silent: Vec<(Duration, String)> = wanted
        .iter()
        .map(|member| (silence(member), member.node.clone()))
        .collect();
    silent.retain(|(silence, _)| *silence >= REPLACEMENT_TIMEOUT);
    silent.sort();
    let alive = wanted.len() - silent.len();
    for (silence, node) in silent.into_iter().rev() {
        let replaced = wanted.len() > places;
        let spare = silence >= patience && alive > 2 * tolerated;
        let holds_up = changing && silence >= STALLED_CHANGE_TIMEOUT && alive > tolerated;
        if replaced || spare || holds_up {
            wanted.retain(|member| member.node != node);
        }
    }
}

fn with_next(view: &StorageView, wanted: Vec<StorageMember>) -> StorageView {
    let mut changed = view.clone();
    changed.epoch += 1;
    changed.next = Some(wanted);
    changed
}

fn end_of_joint_epoch(view: &StorageView, next: &[StorageMember]) -> StorageView {
    let mut changed = view.clone();
    changed.epoch += 1;
    changed.next = None;
    changed.current = next.to_vec();
    let gone = |node: &String| !next.iter().any(|member| &member.node == node);
    let emptied: Vec<String> = view
        .retiring
        .iter()
        .filter(|node| gone(node))
        .cloned()
        .collect();
    for node in emptied {
        changed.retiring.remove(&node);
        changed.retired.insert(node);
    }
    changed
}

fn member_of(seen: &MachineObservation) -> StorageMember {
    seen.member.clone()
}

fn same_members(left: &[StorageMember], right: &[StorageMember]) -> bool {
    left.len() == right.len() && left.iter().all(|member| right.contains(member))
}
