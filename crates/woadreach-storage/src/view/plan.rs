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

use crate::announce::{Announcements, Sighting};
use crate::view::{StorageMember, StorageView};

/// How long the first view waits for more machines than it needs.
const FIRST_VIEW_WAIT: Duration = Duration::from_secs(1);
/// How long it waits when there are fewer than a full group.
const SMALL_FIRST_VIEW_WAIT: Duration = Duration::from_secs(5);
/// Silence after which a machine gives its place to one that joins.
const REPLACEABLE_AFTER: Duration = Duration::from_millis(1_500);
/// Silence after which a machine is dropped though nobody takes its place.
const DROPPED_AFTER: Duration = Duration::from_secs(6);
/// Announcements older than this do not make a machine join.
const FRESH: Duration = Duration::from_millis(1_200);

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
    let pulled = |member: &StorageMember| {
        let sighting = announcements.sighting(&member.node);
        sighting.is_some_and(|seen| seen.member.disk == member.disk && seen.pulled_epoch == view.epoch)
    };
    next.iter().all(pulled).then(|| end_of_joint_epoch(view, next))
}

fn first_view(
    now: Instant,
    view: &StorageView,
    announcements: &Announcements,
    tolerated: usize,
) -> Option<StorageView> {
    let members: Vec<StorageMember> = announcements
        .sightings()
        .filter(|seen| now.saturating_duration_since(seen.last) < FRESH)
        .map(member_of)
        .collect();
    let first = announcements.sightings().map(|seen| seen.first).min()?;
    let waited = now.saturating_duration_since(first);
    let full = members.len() > 2 * tolerated;
    let ready =
        (full && waited >= FIRST_VIEW_WAIT) || (members.len() > tolerated && waited >= SMALL_FIRST_VIEW_WAIT);
    ready.then(|| StorageView { epoch: view.epoch + 1, current: members, ..StorageView::default() })
}

/// The membership as it should be: the latest one, with machines replaced, added, dropped and emptied.
fn wanted_members(
    now: Instant,
    view: &StorageView,
    announcements: &Announcements,
    tolerated: usize,
) -> Vec<StorageMember> {
    let leaves = |node: &str| view.retiring.contains(node) || view.retired.contains(node);
    let joining: Vec<StorageMember> = announcements
        .sightings()
        .filter(|seen| !leaves(&seen.member.node) && now.saturating_duration_since(seen.last) < FRESH)
        .filter(|seen| !view.latest().iter().any(|member| member.node == seen.member.node))
        .map(member_of)
        .collect();
    let mut wanted: Vec<StorageMember> = view
        .latest()
        .iter()
        .filter(|member| !leaves(&member.node))
        .map(|member| announcements.sighting(&member.node).map_or_else(|| member.clone(), member_of))
        .collect();
    let mut replacements = joining.len();
    wanted.extend(joining);
    drop_silent(&mut wanted, now, announcements, tolerated, &mut replacements);
    wanted
}

/// Drops silent machines, the longest silent first, while enough others stay.
fn drop_silent(
    wanted: &mut Vec<StorageMember>,
    now: Instant,
    announcements: &Announcements,
    tolerated: usize,
    replacements: &mut usize,
) {
    let silence = |member: &StorageMember| announcements.silent_for(now, &member.node);
    let mut silent: Vec<(Duration, String)> =
        wanted.iter().map(|member| (silence(member), member.node.clone())).collect();
    silent.retain(|(silence, _)| *silence >= REPLACEABLE_AFTER);
    silent.sort();
    let heard: BTreeSet<&str> = announcements.sightings().map(|seen| seen.member.node.as_str()).collect();
    let alive = wanted.len() - silent.len();
    for (silence, node) in silent.into_iter().rev() {
        let replaced = *replacements > 0;
        let spare = silence >= DROPPED_AFTER && alive > 2 * tolerated && !heard.is_empty();
        if replaced || spare {
            wanted.retain(|member| member.node != node);
            *replacements = replacements.saturating_sub(1);
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
    let emptied: Vec<String> = view.retiring.iter().filter(|node| gone(node)).cloned().collect();
    for node in emptied {
        changed.retiring.remove(&node);
        changed.retired.insert(node);
    }
    changed
}

fn member_of(seen: &Sighting) -> StorageMember {
    seen.member.clone()
}

fn same_members(left: &[StorageMember], right: &[StorageMember]) -> bool {
    left.len() == right.len() && left.iter().all(|member| right.contains(member))
}
