//! Recorded disks of core machines, written by an earlier version of the program. The current version must recover
//! the committed state and continue from it.

#[path = "../../../../tests/recorded/incarnation.rs"]
mod incarnation;
#[path = "../../../../tests/recorded/mod.rs"]
mod recorded;
mod support;

use std::net::{Ipv4Addr, SocketAddrV4};
use std::path::Path;
use std::time::Duration;

use incarnation::run_incarnation;
use recorded::{copy_disk, recorded_disk};
use support::{ADDRESS, IDENTITY, recover_found, start_core};
use tempfile::TempDir;
use tokio::time::Instant;
use woadreach_chain::{
    Accepted, AppliedConfiguration, Ballot, Blob, Command, ControlState, Durable, IdleEpoch,
    MemberId, Promise, PutConfiguration, PutStorageView, Record, Rejection, StoredConfiguration,
    View, WritePosition,
};
use woadreach_control::durable_log::{RecoveredMember, encode_record, encode_snapshot};
use woadreach_control::order::execution::submit_storage_view;
use woadreach_control::order::message::{Answer, Order};
use woadreach_control::order::service::OrderService;
use woadreach_journal::{Journal, JournalOptions, Recovered};
use woadreach_storage::{StorageMember, StorageView};

const ORDER_TIMEOUT: Duration = Duration::from_secs(20);

fn body(generation: u64) -> Vec<u8> {
    format!(r#"{{"generation":{generation},"routes":[],"services":[]}}"#).into_bytes()
}

fn put(base: u64, generation: u64) -> PutConfiguration {
    PutConfiguration {
        base,
        generation,
        digest: [generation as u8; 16],
        body: Blob::from(body(generation)),
    }
}

fn applied(generation: u64) -> AppliedConfiguration {
    AppliedConfiguration {
        generation,
        digest: [generation as u8; 16],
    }
}

fn machine(number: u8) -> StorageMember {
    StorageMember {
        node: format!("storage-{number}"),
        disk: 0xd15c_0000 + u64::from(number),
        address: ([10, 1, 0, number], 7380).into(),
        zone: "a".into(),
    }
}

fn first_storage_view() -> StorageView {
    StorageView {
        epoch: 1,
        current: vec![machine(1), machine(2), machine(3)],
        ..StorageView::default()
    }
}

/// Returns the joint view in which storage-4 replaces storage-3, including the order to retire storage-3.
fn joint_storage_view() -> StorageView {
    StorageView {
        epoch: 2,
        next: Some(vec![machine(1), machine(2), machine(4)]),
        retiring: ["storage-3".to_owned()].into(),
        ..first_storage_view()
    }
}

async fn execute(orders: &OrderService, order: Order) -> Answer {
    orders
        .execute(order, Instant::now() + ORDER_TIMEOUT)
        .await
        .expect("the only core machine answers")
}

async fn expect_configuration(orders: &OrderService, generation: u64) {
    let expected = Answer::Configuration {
        generation,
        body: Blob::from(body(generation)),
    };
    assert_eq!(execute(orders, Order::ReadConfiguration).await, expected);
}

/// Runs one incarnation, which commits a configuration and replaces the storage view of `expected_epoch` by `view`.
fn commit_changes(folder: &Path, put: PutConfiguration, expected_epoch: u64, view: &StorageView) {
    run_incarnation(async {
        let (driver, orders) = start_core(folder).await;
        let answer = execute(&orders, Order::PutConfiguration(put)).await;
        assert_eq!(answer, Answer::Done);
        assert!(submit_storage_view(&driver, expected_epoch, view).await);
    });
}

/// Writes the disk of a core of one machine after two incarnations.
fn write_disk_of_one(folder: &Path) {
    commit_changes(folder, put(0, 3), 0, &first_storage_view());
    commit_changes(folder, put(3, 7), 1, &joint_storage_view());
}

fn recorded_copy(name: &str, make: impl FnOnce(&Path)) -> TempDir {
    let folder = tempfile::tempdir().expect("a folder");
    copy_disk(&recorded_disk(name, make), folder.path());
    folder
}

fn read_disk(folder: &Path) -> Recovered {
    Journal::open(folder, JournalOptions::default())
        .expect("an intact journal")
        .1
}

fn recover_disk(folder: &Path) -> RecoveredMember {
    recover_found(read_disk(folder))
}

#[test]
fn the_committed_state_is_recovered_from_the_disk_of_a_core_of_one_machine() {
    let folder = recorded_copy("core-of-one", write_disk_of_one);
    let durable = recover_disk(folder.path()).durable;
    assert_eq!((durable.identity, durable.bootstrap), (IDENTITY, true));
    let own = MemberId {
        address: ADDRESS,
        identity: IDENTITY,
    };
    assert_eq!(
        (&durable.view.voters, &durable.view.chain),
        (&vec![own], &vec![own])
    );
    assert_eq!(durable.active_epoch, durable.view.epoch);
    let state = durable.state;
    let body = Blob::from(body(7));
    assert_eq!(
        state.configuration,
        Some(StoredConfiguration {
            generation: 7,
            digest: [7; 16],
            body
        })
    );
    assert_eq!(state.applied, [applied(3), applied(7)]);
    let stored = state.storage_view.expect("a storage view");
    assert_eq!(stored.epoch, 2);
    assert_eq!(
        StorageView::decode(&stored.bytes.0),
        Ok(joint_storage_view())
    );
}

#[test]
fn a_core_of_one_machine_continues_from_an_earlier_disk() {
    let folder = recorded_copy("core-of-one", write_disk_of_one);
    let epoch_before = recover_disk(folder.path()).durable.view.epoch;
    run_incarnation(async {
        let (driver, orders) = start_core(folder.path()).await;
        assert!(driver.status().epoch >= epoch_before);
        expect_configuration(&orders, 7).await;
        assert_eq!(
            execute(&orders, Order::PutConfiguration(put(0, 3))).await,
            Answer::Done,
            "this change was applied before"
        );
        let other = PutConfiguration {
            digest: [0; 16],
            ..put(3, 5)
        };
        let rejected = Answer::Rejected(Rejection::BaseMismatch { current: 7 });
        assert_eq!(
            execute(&orders, Order::PutConfiguration(other)).await,
            rejected
        );
        let node = "storage-3".to_owned();
        let state = execute(&orders, Order::RetireState { node }).await;
        assert_eq!(state, Answer::RetireState { is_finished: false });
        assert_eq!(
            execute(&orders, Order::PutConfiguration(put(7, 9))).await,
            Answer::Done
        );
    });
    run_incarnation(async {
        let (_driver, orders) = start_core(folder.path()).await;
        expect_configuration(&orders, 9).await;
    });
    assert_eq!(
        recover_disk(folder.path()).durable.state.applied,
        [applied(3), applied(7), applied(9)]
    );
}

fn member(number: u8) -> MemberId {
    let address = SocketAddrV4::new(Ipv4Addr::new(10, 1, 0, number), 7380);
    MemberId {
        address,
        identity: 0x1122_3344_5566_7700 + u64::from(number),
    }
}

fn view(epoch: u64, voters: &[u8], chain: &[u8], floor: u64) -> View {
    let members = |numbers: &[u8]| numbers.iter().copied().map(member).collect();
    View {
        epoch,
        voters: members(voters),
        chain: members(chain),
        floor,
    }
}

fn write_of(epoch: u64, number: u64, command: Command) -> Record {
    Record::Write {
        position: WritePosition { epoch, number },
        command,
    }
}

fn storage_command(expected_epoch: u64, view: &StorageView) -> Command {
    let bytes = Blob::from(view.encode());
    Command::PutStorageView(PutStorageView {
        expected_epoch,
        epoch: view.epoch,
        bytes,
    })
}

/// Records of the second of three members, from the first epoch to the vote for the seventh. The member was idle in
/// epoch 5.
fn records_of_three() -> Vec<Record> {
    let ballot = |round, proposer| Ballot {
        round,
        proposer: member(proposer),
    };
    let mut state = ControlState::default();
    state.apply(
        WritePosition {
            epoch: 1,
            number: 1,
        },
        &Command::PutConfiguration(put(0, 3)),
    );
    vec![
        Record::Promise(Promise {
            epoch: 0,
            ballot: ballot(1, 1),
        }),
        Record::Accept(Accepted {
            ballot: ballot(1, 1),
            view: view(1, &[1, 2, 3], &[1, 2, 3], 0),
        }),
        Record::View(view(1, &[1, 2, 3], &[1, 2, 3], 0)),
        Record::Activate(1),
        write_of(1, 1, Command::PutConfiguration(put(0, 3))),
        write_of(1, 2, storage_command(0, &first_storage_view())),
        Record::Promise(Promise {
            epoch: 1,
            ballot: ballot(4, 3),
        }),
        Record::View(view(4, &[1, 2, 3], &[3, 2], 1)),
        Record::State { epoch: 4, state },
        write_of(4, 1, storage_command(0, &first_storage_view())),
        Record::View(view(5, &[1, 2, 3], &[3, 2, 1], 4)),
        Record::View(view(6, &[1, 2, 3], &[2, 3], 4)),
        Record::Activate(6),
        write_of(6, 1, Command::PutConfiguration(put(3, 7))),
        write_of(6, 2, storage_command(1, &joint_storage_view())),
        Record::Promise(Promise {
            epoch: 6,
            ballot: ballot(9, 3),
        }),
        Record::Accept(Accepted {
            ballot: ballot(9, 3),
            view: view(7, &[1, 2, 3], &[3, 2], 6),
        }),
    ]
}

/// Number of records included in the snapshot. The log after the snapshot contains the others.
const SNAPSHOT_RECORDS: usize = 7;

fn new_disk_of_three() -> Durable {
    let seeds = [1, 2, 3].map(|number| member(number).address);
    Durable::new(member(2).identity, true, View::bootstrap(&seeds))
}

/// Writes the journal of a member whose first records are included in a snapshot.
fn write_disk_of_three(folder: &Path) {
    let records = records_of_three();
    let mut durable = new_disk_of_three();
    records[..SNAPSHOT_RECORDS]
        .iter()
        .for_each(|record| durable.apply(record));
    run_incarnation(async {
        let (journal, _) = Journal::open(folder, JournalOptions::default()).expect("a journal");
        let snapshot = encode_snapshot(SNAPSHOT_RECORDS as u64, &durable);
        let _receipt = journal.replace(snapshot).await.expect("a sync");
        for (index, record) in records.iter().enumerate().skip(SNAPSHOT_RECORDS) {
            let _receipt = journal
                .append(encode_record(index as u64 + 1, record))
                .await
                .expect("a sync");
        }
    });
}

#[test]
fn every_kind_of_record_is_recovered_from_the_disk_of_one_of_three_core_machines() {
    let folder = recorded_copy("core-of-three", write_disk_of_three);
    let found = read_disk(folder.path());
    let records = records_of_three();
    let expected: Vec<Vec<u8>> = records
        .iter()
        .enumerate()
        .skip(SNAPSHOT_RECORDS)
        .map(|(index, record)| encode_record(index as u64 + 1, record))
        .collect();
    assert_eq!(
        found.records, expected,
        "the current encoding of the records must equal the recorded bytes"
    );
    let RecoveredMember { durable, number } = recover_disk(folder.path());
    assert_eq!(number, records.len() as u64);
    let mut rebuilt = new_disk_of_three();
    records.iter().for_each(|record| rebuilt.apply(record));
    assert_eq!(durable, rebuilt);
}

#[test]
fn one_of_three_core_machines_recovers_its_view_its_promise_and_its_vote() {
    let folder = recorded_copy("core-of-three", write_disk_of_three);
    let durable = recover_disk(folder.path()).durable;
    assert_eq!(
        (durable.identity, durable.bootstrap),
        (member(2).identity, true)
    );
    assert_eq!(durable.view, view(6, &[1, 2, 3], &[2, 3], 4));
    assert_eq!(durable.active_epoch, 6);
    let ballot = Ballot {
        round: 9,
        proposer: member(3),
    };
    assert_eq!(
        durable.current_promise(),
        Some(Promise { epoch: 6, ballot })
    );
    assert_eq!(
        durable.accepted,
        Some(Accepted {
            ballot,
            view: view(7, &[1, 2, 3], &[3, 2], 6)
        })
    );
    assert_eq!(durable.idle_epochs, [IdleEpoch { epoch: 5, floor: 4 }]);
    assert_eq!(
        durable.state.position,
        WritePosition {
            epoch: 6,
            number: 2
        }
    );
    assert_eq!(
        (durable.state.generation(), durable.state.storage_epoch()),
        (7, 2)
    );
    assert_eq!(durable.state.applied, [applied(3), applied(7)]);
    let stored = durable.state.storage_view.expect("a storage view");
    assert_eq!(
        StorageView::decode(&stored.bytes.0),
        Ok(joint_storage_view())
    );
}
