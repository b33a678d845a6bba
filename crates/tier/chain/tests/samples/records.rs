//! Records of a member's log, and snapshots of its durable state.

use woadreach_chain::{Accepted, Command, Durable, Promise, Record, View, WritePosition};

use super::{accepted, ballot, member, put_configuration, put_storage_view, state, view};

/// Every variant of [`Record`], in several epochs. A new variant needs an entry here.
pub(crate) fn records() -> Vec<(&'static str, Record)> {
    let name = |record: &Record| match record {
        Record::Promise(_) => "promise",
        Record::Accept(_) => "accept",
        Record::View(_) => "view",
        Record::Activate(_) => "activate",
        Record::State { .. } => "state",
        Record::Write {
            command: Command::PutConfiguration(_),
            ..
        } => "write of a configuration",
        Record::Write {
            command: Command::PutStorageView(_),
            ..
        } => "write of a storage view",
    };
    let records = [
        Record::Promise(Promise {
            epoch: 5,
            ballot: ballot(9, 2),
        }),
        Record::Accept(accepted()),
        Record::View(view(6, &[1, 2, 3], &[2, 3], 4)),
        Record::Activate(6),
        Record::State {
            epoch: 6,
            state: state(),
        },
        Record::Write {
            position: WritePosition {
                epoch: 6,
                number: 1,
            },
            command: put_configuration(),
        },
        Record::Write {
            position: WritePosition {
                epoch: 6,
                number: 2,
            },
            command: put_storage_view(),
        },
    ];
    records
        .into_iter()
        .map(|record| (name(&record), record))
        .collect()
}

/// A member that was in the epochs 5 to 8, and one in its first start.
pub(crate) fn snapshots() -> Vec<(&'static str, Durable)> {
    let mut several_epochs =
        Durable::new(member(1).identity, true, view(5, &[1, 2, 3], &[1, 2], 3));
    several_epochs.active_epoch = 5;
    for (_, record) in records() {
        several_epochs.apply(&record);
    }
    several_epochs.apply(&Record::View(view(7, &[1, 2, 3], &[1, 2, 3], 6)));
    several_epochs.apply(&Record::View(view(8, &[1, 2, 3], &[1, 3], 6)));
    several_epochs.apply(&Record::Promise(Promise {
        epoch: 8,
        ballot: ballot(11, 3),
    }));
    several_epochs.apply(&Record::Accept(Accepted {
        ballot: ballot(11, 3),
        view: view(9, &[1, 2], &[1], 8),
    }));
    let seeds = [member(1).address, member(2).address];
    let first_start = Durable::new(member(2).identity, false, View::bootstrap(&seeds));
    vec![
        ("several epochs", several_epochs),
        ("first start", first_start),
    ]
}
