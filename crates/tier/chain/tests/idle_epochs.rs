//! Epochs that ended before a member of their chain was active, so that nothing was committed in them.

mod support;

use support::member_id;
use woadreach_chain::{Durable, IdleEpoch, Record, View};

fn view(epoch: u64, chain: &[u8]) -> View {
    let voters = vec![member_id(1), member_id(2), member_id(3)];
    View {
        epoch,
        voters,
        chain: chain.iter().copied().map(member_id).collect(),
        floor: epoch - 1,
    }
}

/// The disk of member 1, in the chain of epoch 5.
fn disk() -> Durable {
    let mut durable = Durable::new(1, true, View::default());
    durable.apply(&Record::View(view(5, &[2, 1])));
    durable
}

#[test]
fn an_epoch_in_which_the_member_was_never_active_is_idle() {
    let mut durable = disk();
    durable.apply(&Record::View(view(6, &[2, 3])));
    assert_eq!(durable.idle_epochs, [IdleEpoch { epoch: 5, floor: 4 }]);
    // In epoch 6 the member was outside the chain, so it does not know whether anything was committed.
    durable.apply(&Record::View(view(7, &[2, 3])));
    assert_eq!(durable.idle_epochs.len(), 1);
}

#[test]
fn an_epoch_in_which_the_member_was_active_is_not_idle() {
    let mut durable = disk();
    durable.apply(&Record::Activate(5));
    durable.apply(&Record::View(view(6, &[2, 3])));
    assert_eq!(durable.idle_epochs, []);
}

#[test]
fn only_the_newest_idle_epochs_are_recorded() {
    let mut durable = disk();
    (6..30).for_each(|epoch| durable.apply(&Record::View(view(epoch, &[2, 1]))));
    assert_eq!(durable.idle_epochs.len(), 8);
    assert_eq!(
        durable.idle_epochs.last(),
        Some(&IdleEpoch {
            epoch: 28,
            floor: 27
        })
    );
}

#[test]
fn snapshots_without_idle_epochs_are_read() {
    let durable = disk();
    let bytes = durable.encode();
    // The number of idle epochs is at the end of the snapshot.
    let earlier = &bytes[..bytes.len() - 4];
    assert_eq!(Durable::decode(earlier).expect("a snapshot"), durable);
}
