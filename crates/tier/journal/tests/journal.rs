//! [`Journal`] with its disk thread, on real files and on a simulated disk.

use woadreach_journal::{DiskFault, Journal, JournalError, JournalOptions, SimulatedDisk};

#[tokio::test(flavor = "current_thread")]
async fn records_and_snapshots_are_recovered_from_files() {
    let folder = tempfile::tempdir().unwrap();
    let (journal, recovered) = Journal::open(folder.path(), JournalOptions::default()).unwrap();
    assert!(recovered.was_empty);
    let _ = journal
        .append(b"lost in the snapshot".to_vec())
        .await
        .unwrap();
    let _ = journal.replace(b"snapshot".to_vec()).await.unwrap();
    assert_eq!(journal.log_bytes(), 0);
    let first = journal.append(b"one".to_vec());
    let second = journal.append(b"two".to_vec());
    let _ = second.await.unwrap();
    let _ = first.await.unwrap();
    assert!(journal.log_bytes() > 0);
    assert!(journal.stalled_for().is_zero());
    drop(journal);
    let (_, recovered) = Journal::open(folder.path(), JournalOptions::default()).unwrap();
    assert_eq!(recovered.snapshot.as_deref(), Some(&b"snapshot"[..]));
    assert_eq!(recovered.records, [b"one".to_vec(), b"two".to_vec()]);
}

#[tokio::test(flavor = "current_thread")]
async fn a_discarded_journal_is_empty() {
    let folder = tempfile::tempdir().unwrap();
    let (journal, _) = Journal::open(folder.path(), JournalOptions::default()).unwrap();
    let _ = journal.append(b"one".to_vec()).await.unwrap();
    drop(journal);
    Journal::discard(folder.path()).unwrap();
    let (_, recovered) = Journal::open(folder.path(), JournalOptions::default()).unwrap();
    assert!(recovered.was_empty);
}

#[tokio::test(flavor = "current_thread")]
async fn a_full_disk_rejects_records_until_it_has_space() {
    let disk = SimulatedDisk::default();
    let (journal, _) =
        Journal::with_disk(Box::new(disk.clone()), JournalOptions::default()).unwrap();
    let _ = journal.append(vec![1]).await.unwrap();
    disk.set_fault(DiskFault::Full);
    assert!(matches!(
        journal.append(vec![2]).await,
        Err(JournalError::Full { .. })
    ));
    disk.set_fault(DiskFault::Healthy);
    let _ = journal.append(vec![3]).await.unwrap();
    drop(journal);
    let (_, recovered) = Journal::with_disk(Box::new(disk), JournalOptions::default()).unwrap();
    assert_eq!(recovered.records, [vec![1], vec![3]]);
}
