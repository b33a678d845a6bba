//! Membership changes that the core plans: joining, removal, disk replacement, retirement and shutdown.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use woadreach_storage::announce::{Announcement, Announcements};
use woadreach_storage::view::{RetireError, plan, retire};
use woadreach_storage::{StorageMember, StorageView};

const STEP: Duration = Duration::from_millis(100);

fn member(number: u8, disk: u64) -> StorageMember {
    StorageMember {
        node: format!("store-{number}"),
        disk,
        address: ([10, 0, 0, number], 7_000).into(),
        zone: format!("zone-{number}"),
    }
}

/// Core that commits each planned view at once, and machines that announce themselves once per `STEP`.
struct Tier {
    now: Instant,
    view: StorageView,
    announcements: Announcements,
    /// Running machines; the flag is false for a machine that does not finish its pulls.
    machines: Vec<(StorageMember, bool)>,
    /// Machines whose processes are shutting down.
    shutting_down: BTreeSet<String>,
    tolerated_losses: usize,
}

impl Tier {
    fn new(count: u8, tolerated_losses: usize) -> Tier {
        let now = Instant::now();
        let machines = (0..count)
            .map(|number| (member(number, u64::from(number) + 1), true))
            .collect();
        let (view, announcements) = (StorageView::default(), Announcements::new(now));
        let mut tier = Tier {
            now,
            view,
            announcements,
            machines,
            shutting_down: BTreeSet::new(),
            tolerated_losses,
        };
        tier.advance(Duration::from_millis(1_500));
        tier
    }

    fn advance(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            for (member, finishes_pulls) in &self.machines {
                let pulled_epoch = if *finishes_pulls { self.view.epoch } else { 0 };
                let announcement = Announcement {
                    member: member.clone(),
                    pulled_epoch,
                    shutting_down: self.shutting_down.contains(&member.node),
                };
                self.announcements.record(self.now, announcement);
            }
            if let Some(view) = plan(
                self.now,
                &self.view,
                &self.announcements,
                self.tolerated_losses,
            ) {
                assert_eq!(view.epoch, self.view.epoch + 1);
                self.view = view;
            }
            self.now += STEP;
        }
    }

    fn stop(&mut self, number: u8) {
        self.machines
            .retain(|(member, _)| member.node != format!("store-{number}"));
    }

    fn start(&mut self, number: u8, disk: u64) {
        self.machines.push((member(number, disk), true));
    }

    fn current(&self) -> Vec<u64> {
        let mut disks: Vec<u64> = self.view.current.iter().map(|member| member.disk).collect();
        disks.sort_unstable();
        disks
    }

    fn is_settled(&self) -> bool {
        self.view.next.is_none()
    }
}

#[test]
fn the_first_view_contains_all_announced_machines() {
    let tier = Tier::new(4, 1);
    assert_eq!((tier.view.epoch, tier.current()), (1, vec![1, 2, 3, 4]));
}

#[test]
fn the_first_view_needs_more_machines_than_tolerated_losses() {
    let mut tier = Tier::new(1, 1);
    tier.advance(Duration::from_secs(20));
    assert_eq!(tier.view.epoch, 0);
    tier.start(1, 2);
    tier.advance(Duration::from_secs(6));
    assert_eq!(tier.current(), [1, 2]);
}

#[test]
fn a_short_absence_changes_nothing() {
    let mut tier = Tier::new(4, 1);
    tier.stop(0);
    tier.advance(Duration::from_secs(5));
    tier.start(0, 1);
    tier.advance(Duration::from_secs(5));
    assert_eq!(tier.view.epoch, 1);
}

#[test]
fn an_unresponsive_machine_is_removed_if_a_full_group_remains() {
    for (count, left) in [(4, vec![2, 3, 4]), (3, vec![1, 2, 3])] {
        let mut tier = Tier::new(count, 1);
        tier.stop(0);
        tier.advance(Duration::from_secs(10));
        assert!(tier.is_settled());
        assert_eq!(tier.current(), left);
    }
}

#[test]
fn a_new_disk_replaces_the_old_one_at_once() {
    let mut tier = Tier::new(3, 1);
    tier.stop(1);
    tier.start(1, 12);
    tier.advance(STEP);
    assert_eq!(tier.view.epoch, 2);
    assert!(!tier.is_settled());
    tier.advance(STEP * 3);
    assert!(tier.is_settled());
    assert_eq!(tier.current(), [1, 3, 12]);
}

#[test]
fn the_joint_epoch_lasts_until_every_machine_has_pulled() {
    let mut tier = Tier::new(3, 1);
    tier.machines[0].1 = false;
    tier.start(3, 4);
    tier.advance(Duration::from_secs(5));
    assert!(!tier.is_settled());
    tier.machines[0].1 = true;
    tier.advance(STEP * 2);
    assert!(tier.is_settled());
    assert_eq!(tier.current(), [1, 2, 3, 4]);
}

#[test]
fn a_joining_machine_soon_replaces_an_unresponsive_one() {
    let mut tier = Tier::new(3, 1);
    tier.stop(0);
    tier.advance(Duration::from_secs(1));
    tier.start(3, 4);
    tier.advance(Duration::from_millis(1_000));
    assert!(tier.is_settled());
    assert_eq!(tier.current(), [2, 3, 4]);
}

#[test]
fn a_cancelled_change_completes_without_the_unresponsive_machine() {
    let mut tier = Tier::new(3, 1);
    tier.stop(0);
    tier.start(3, 4);
    tier.advance(STEP);
    assert!(!tier.is_settled());
    tier.stop(3);
    tier.start(0, 1);
    tier.advance(Duration::from_secs(3));
    assert!(tier.is_settled());
    assert_eq!(tier.current(), [1, 2, 3]);
}

#[test]
fn a_core_machine_that_was_stalled_removes_no_machine() {
    let mut tier = Tier::new(4, 1);
    tier.now += Duration::from_secs(30);
    tier.stop(0);
    tier.advance(Duration::from_millis(1_400));
    assert_eq!(tier.view.epoch, 1);
    // A core machine that receives no announcements at all removes no machine either.
    assert_eq!(
        plan(
            tier.now + Duration::from_secs(30),
            &tier.view,
            &tier.announcements,
            1
        ),
        None
    );
}

#[test]
fn a_machine_is_retired_through_a_joint_epoch() {
    let mut tier = Tier::new(4, 1);
    tier.view = retire(&tier.view, "store-2", 1).unwrap();
    tier.machines[0].1 = false;
    tier.advance(Duration::from_secs(1));
    assert!(
        tier.view.retiring.contains("store-2"),
        "the joint epoch lasts until every machine has pulled"
    );
    assert_eq!(
        retire(&tier.view, "store-2", 1),
        Ok(tier.view.clone()),
        "a repeated order does not change the view"
    );
    tier.machines[0].1 = true;
    tier.advance(Duration::from_secs(1));
    assert!(tier.view.retired.contains("store-2") && tier.view.retiring.is_empty());
    assert_eq!(tier.current(), [1, 2, 4]);
    tier.advance(Duration::from_secs(3));
    assert_eq!(
        tier.current(),
        [1, 2, 4],
        "a retired machine that still announces itself does not rejoin"
    );
}

#[test]
fn retiring_a_machine_that_crashes_succeeds() {
    let mut tier = Tier::new(4, 1);
    tier.view = retire(&tier.view, "store-2", 1).unwrap();
    tier.stop(2);
    tier.advance(Duration::from_secs(1));
    assert!(tier.view.retired.contains("store-2"));
}

#[test]
fn retirement_waits_while_too_few_other_machines_are_responsive() {
    let mut tier = Tier::new(3, 1);
    tier.stop(0);
    tier.advance(Duration::from_secs(2));
    tier.view = retire(&tier.view, "store-2", 1).unwrap();
    tier.advance(Duration::from_secs(10));
    assert!(tier.view.retiring.contains("store-2"));
    tier.start(0, 1);
    tier.advance(Duration::from_secs(2));
    assert!(tier.view.retired.contains("store-2"));
}

#[test]
fn retirements_that_leave_too_few_machines_are_refused() {
    let tier = Tier::new(3, 1);
    assert_eq!(retire(&tier.view, "store-9", 1), Err(RetireError::Unknown));
    let one = retire(&tier.view, "store-0", 1).unwrap();
    assert_eq!(retire(&one, "store-1", 1), Err(RetireError::TooFew));
    let four = retire(&Tier::new(4, 1).view, "store-0", 1).unwrap();
    let two = retire(&four, "store-1", 1).unwrap();
    assert_eq!(retire(&two, "store-2", 1), Err(RetireError::TooFew));
}

#[test]
fn two_concurrent_retirements_both_succeed() {
    let mut tier = Tier::new(4, 1);
    tier.view = retire(&retire(&tier.view, "store-0", 1).unwrap(), "store-1", 1).unwrap();
    tier.advance(Duration::from_secs(2));
    assert_eq!(tier.current(), [3, 4]);
    assert_eq!(tier.view.retired.len(), 2);
}

#[test]
fn a_machine_in_shutdown_is_removed_if_a_full_group_remains() {
    let mut tier = Tier::new(4, 1);
    tier.shutting_down.insert("store-2".to_owned());
    tier.machines[0].1 = false;
    tier.advance(Duration::from_secs(1));
    assert!(
        !tier.is_settled(),
        "the joint epoch lasts until every machine has pulled"
    );
    tier.machines[0].1 = true;
    tier.advance(Duration::from_secs(1));
    assert!(tier.is_settled());
    assert_eq!(tier.current(), [1, 2, 4]);
    tier.shutting_down.clear();
    tier.advance(Duration::from_secs(1));
    assert_eq!(
        tier.current(),
        [1, 2, 3, 4],
        "the machine rejoins after its shutdown flag is cleared"
    );
}

#[test]
fn a_machine_in_shutdown_stays_a_member_if_fewer_remain() {
    let mut tier = Tier::new(3, 1);
    tier.shutting_down.insert("store-2".to_owned());
    tier.advance(Duration::from_secs(1));
    assert_eq!((tier.view.epoch, tier.current()), (1, vec![1, 2, 3]));
}

#[test]
fn a_shutdown_of_all_machines_at_once_changes_nothing() {
    let mut tier = Tier::new(5, 1);
    tier.shutting_down = (0..5).map(|number| format!("store-{number}")).collect();
    tier.advance(Duration::from_secs(2));
    assert_eq!((tier.view.epoch, tier.current().len()), (1, 5));
}

#[test]
fn a_departing_machine_does_not_rejoin_during_its_shutdown() {
    let mut tier = Tier::new(4, 1);
    tier.shutting_down.insert("store-2".to_owned());
    tier.machines[0].1 = false;
    tier.advance(Duration::from_secs(1));
    tier.view = retire(&tier.view, "store-1", 1).unwrap();
    tier.advance(Duration::from_secs(1));
    assert!(
        tier.view
            .latest()
            .iter()
            .all(|member| member.node != "store-2")
    );
    tier.machines[0].1 = true;
    tier.advance(Duration::from_secs(1));
    assert!(tier.is_settled());
    assert_eq!(tier.current(), [1, 4]);
}

#[test]
fn a_machine_in_shutdown_is_removed_together_with_a_retiring_one() {
    let mut tier = Tier::new(4, 1);
    tier.view = retire(&tier.view, "store-3", 1).unwrap();
    tier.shutting_down.insert("store-2".to_owned());
    tier.advance(Duration::from_secs(1));
    assert!(tier.is_settled() && tier.view.retired.contains("store-3"));
    assert_eq!(tier.current(), [1, 2]);
}
