//! Randomized and exhaustive tests of the engine on a simulated disk. After any disk error, restart or power loss,
//! recovery must return all acknowledged records in order.

use oorandom::Rand64;
use quickcheck::{TestResult, quickcheck};
use woadreach_journal::{
    Disk, DiskFault, Engine, JournalError, Recovered, SimulatedDisk, Slot, Synced,
};

const MAX_BYTES: u64 = 1 << 20;

/// Model of the journal: acknowledged content, and unacknowledged content that recovery may also return.
#[derive(Default)]
struct Oracle {
    snapshot: Option<Vec<u8>>,
    records: Vec<Vec<u8>>,
    /// Batches that failed after the last acknowledged one. Recovery may return one of them.
    uncertain_batches: Vec<Vec<Vec<u8>>>,
    /// Snapshot of a failed replacement and the records appended during it. Recovery may return them.
    uncertain_replacement: Option<(Vec<u8>, Vec<Vec<u8>>)>,
    /// Records acknowledged after the last replacement began.
    appended_during_replacement: Vec<Vec<u8>>,
}

impl Oracle {
    /// Updates the model with the outcome of one chunk of a replacement, `None` if chunks remain.
    fn record_replacement(
        &mut self,
        outcome: Option<Result<Synced, JournalError>>,
        snapshot: Vec<u8>,
    ) {
        let appended = self.appended_during_replacement.clone();
        match outcome {
            None => {}
            Some(Ok(_)) => {
                *self = Oracle {
                    snapshot: Some(snapshot),
                    records: appended,
                    ..Oracle::default()
                };
            }
            Some(Err(_)) => self.uncertain_replacement = Some((snapshot, appended)),
        }
    }

    /// Panics if `recovered` is neither the acknowledged content nor one of the uncertain alternatives.
    fn check(&self, recovered: &Recovered) {
        let recovered_snapshot = recovered.snapshot.clone().unwrap_or_default();
        let acknowledged = self.snapshot.clone().unwrap_or_default();
        let matches_recovered = |snapshot: &Vec<u8>, records: &[Vec<u8>]| {
            recovered_snapshot == *snapshot && recovered.records == records
        };
        let mut allowed = matches_recovered(&acknowledged, &self.records);
        for batch in &self.uncertain_batches {
            allowed |= matches_recovered(
                &acknowledged,
                &[self.records.clone(), batch.clone()].concat(),
            );
        }
        if let Some((snapshot, appended)) = &self.uncertain_replacement {
            allowed |= matches_recovered(snapshot, appended);
        }
        assert!(
            allowed,
            "recovered {recovered:?}, expected snapshot {acknowledged:?} and records {:?} or an uncertain alternative",
            self.records
        );
    }
}

fn random_record(random: &mut Rand64) -> Vec<u8> {
    let length = random.rand_range(0..40);
    (0..length)
        .map(|_| u8::try_from(random.rand_range(0..256)).unwrap())
        .collect()
}

/// Appends, replaces the log, injects disk errors and loses power in an order that `seed` determines.
fn run_random_operations(seed: u64) {
    let mut random = Rand64::new(u128::from(seed));
    let disk = SimulatedDisk::default();
    let mut oracle = Oracle::default();
    for _ in 0..6 {
        disk.set_fault(DiskFault::Healthy);
        let opened = Engine::open(Box::new(disk.clone()), MAX_BYTES);
        let (engine, recovered) = match opened {
            Ok(opened) => opened,
            // The header of the first slot was torn before anything was acknowledged.
            Err(JournalError::Corrupt { .. })
                if oracle.snapshot.is_none() && oracle.records.is_empty() =>
            {
                disk.wipe();
                continue;
            }
            Err(error) => panic!("seed {seed}: {error}"),
        };
        let mut engine = engine.with_chunk_bytes(7);
        oracle.check(&recovered);
        oracle = Oracle {
            snapshot: recovered.snapshot,
            records: recovered.records,
            ..Oracle::default()
        };
        let mut snapshot = None;
        for _ in 0..random.rand_range(0..16) {
            if random.rand_range(0..10) == 0 {
                let faults = [DiskFault::Full, DiskFault::Failing, DiskFault::FailingSync];
                disk.set_fault(faults[usize::try_from(random.rand_range(0..3)).unwrap()]);
            } else {
                disk.set_fault(DiskFault::Healthy);
            }
            let is_replacing = snapshot.is_some() && engine.is_replacing();
            if is_replacing && random.rand_range(0..2) == 0 {
                oracle.record_replacement(engine.continue_replacement(), snapshot.clone().unwrap());
            } else if !is_replacing && random.rand_range(0..4) == 0 {
                let next = random_record(&mut random);
                if engine.begin_replacement(next.clone()).is_ok() {
                    oracle.appended_during_replacement.clear();
                    snapshot = Some(next);
                }
            } else {
                let batch: Vec<_> = (0..random.rand_range(1..4))
                    .map(|_| random_record(&mut random))
                    .collect();
                match engine.append_batch(&batch) {
                    Ok(_) => {
                        oracle.records.extend(batch.clone());
                        oracle.appended_during_replacement.extend(batch);
                        oracle.uncertain_batches.clear();
                        oracle.uncertain_replacement = None;
                    }
                    Err(_) => oracle.uncertain_batches.push(batch),
                }
            }
        }
        if random.rand_range(0..2) == 0 {
            disk.lose_power(&mut random);
        }
    }
}

#[test]
fn acknowledged_records_survive_power_loss_with_random_seeds() {
    for seed in 0..10_000 {
        run_random_operations(seed);
    }
}

#[test]
fn data_loss_on_a_disk_that_ignores_syncs_is_detected() {
    let mut lost = 0;
    for seed in 0..50 {
        let mut random = Rand64::new(seed);
        let disk = SimulatedDisk::default();
        disk.set_fault(DiskFault::IgnoresSync);
        let (mut engine, _) = Engine::open(Box::new(disk.clone()), MAX_BYTES).unwrap();
        let _ = engine.append_batch(&[vec![1]]).unwrap();
        disk.lose_power(&mut random);
        let recovered = Engine::open(Box::new(disk.clone()), MAX_BYTES);
        lost +=
            u32::from(!matches!(recovered, Ok((_, recovered)) if recovered.records == [vec![1]]));
    }
    assert!(
        lost > 10,
        "data loss was detected in only {lost} of 50 runs"
    );
}

quickcheck! {
    fn a_flipped_bit_is_never_recovered_as_data(records: Vec<Vec<u8>>, snapshot: Vec<u8>, seed: u64) -> TestResult {
        let disk = SimulatedDisk::default();
        let mut random = Rand64::new(u128::from(seed));
        let (mut engine, _) = Engine::open(Box::new(disk.clone()), MAX_BYTES).unwrap();
        let _ = engine.append_batch(&[vec![7; 9]]).unwrap();
        let _ = engine.replace(&snapshot).unwrap();
        for record in &records {
            let _ = engine.append_batch(std::slice::from_ref(record)).unwrap();
        }
        let slot = Slot::ALL[usize::from(seed.is_multiple_of(2))];
        if !disk.flip_bit(slot, &mut random) {
            return TestResult::discard();
        }
        match Engine::open(Box::new(disk.clone()), MAX_BYTES) {
            Err(JournalError::Corrupt { .. } | JournalError::Version { .. }) => TestResult::passed(),
            Err(error) => TestResult::error(error.to_string()),
            // Corruption of the last frame cannot be distinguished from a torn tail, which recovery truncates.
            Ok((_, recovered)) => TestResult::from_bool(
                recovered.snapshot.as_deref().unwrap_or_default() == snapshot
                    && records.starts_with(&recovered.records)
                    && recovered.records.len() + 1 == records.len(),
            ),
        }
    }
}

#[test]
fn the_limit_on_the_bytes_of_both_slots_is_enforced() {
    let disk = SimulatedDisk::default();
    let (mut engine, _) = Engine::open(Box::new(disk.clone()), 1_000).unwrap();
    let _ = engine.replace(&[1; 400]).unwrap();
    let _ = engine.append_batch(&[vec![2; 300]]).unwrap();
    assert!(matches!(
        engine.append_batch(&[vec![3; 400]]),
        Err(JournalError::Full { .. })
    ));
    assert!(matches!(
        engine.replace(&[4; 400]),
        Err(JournalError::Full { .. })
    ));
    let _ = engine.replace(&[5; 100]).unwrap();
    let (_, recovered) = Engine::open(Box::new(disk), 1_000).unwrap();
    assert_eq!(recovered.snapshot, Some(vec![5; 100]));
}

/// A replacement fails on a full disk, before its first chunk or after one to three chunks. Its partly written
/// slot must be emptied, and appends must continue in the current slot.
#[test]
fn a_failed_replacement_frees_its_space() {
    for chunks in 0..4 {
        let disk = SimulatedDisk::default();
        let (engine, _) = Engine::open(Box::new(disk.clone()), MAX_BYTES).unwrap();
        let mut engine = engine.with_chunk_bytes(100);
        let _ = engine.append_batch(&[vec![1; 10]]).unwrap();
        let before = disk.used_bytes();
        engine.begin_replacement(vec![2; 350]).unwrap();
        for _ in 0..chunks {
            assert!(engine.continue_replacement().is_none());
        }
        disk.set_fault(DiskFault::Full);
        assert!(matches!(
            engine.continue_replacement(),
            Some(Err(JournalError::Full { .. }))
        ));
        disk.set_fault(DiskFault::Healthy);
        assert_eq!(disk.used_bytes(), before, "after {chunks} chunks");
        let _ = engine.append_batch(&[vec![3; 10]]).unwrap();
        let (_, recovered) = Engine::open(Box::new(disk), MAX_BYTES).unwrap();
        assert_eq!(recovered.records, [vec![1; 10], vec![3; 10]]);
    }
}

#[test]
fn records_are_appended_after_those_of_an_earlier_process() {
    let disk = SimulatedDisk::default();
    let (mut engine, recovered) = Engine::open(Box::new(disk.clone()), MAX_BYTES).unwrap();
    assert!(recovered.was_empty);
    let _ = engine.append_batch(&[vec![1; 10], vec![2; 10]]).unwrap();
    let (mut engine, recovered) = Engine::open(Box::new(disk.clone()), MAX_BYTES).unwrap();
    assert!(!recovered.was_empty);
    assert_eq!(recovered.records.len(), 2);
    let _ = engine.append_batch(&[vec![3; 10]]).unwrap();
    let (_, recovered) = Engine::open(Box::new(disk), MAX_BYTES).unwrap();
    assert_eq!(recovered.records, [vec![1; 10], vec![2; 10], vec![3; 10]]);
}

/// Returns the slot that has `snapshot` and an empty log, and its content.
fn slot_with_snapshot(snapshot: &[u8]) -> (Slot, Vec<u8>) {
    let disk = SimulatedDisk::default();
    let (mut engine, _) = Engine::open(Box::new(disk.clone()), MAX_BYTES).unwrap();
    let _receipt = engine.replace(snapshot).unwrap();
    drop(engine);
    let mut reader = disk;
    let mut contents =
        [Slot::A, Slot::B].map(|slot| (slot, Disk::read(&mut reader, slot).unwrap()));
    contents.sort_by_key(|(_, content)| content.len());
    let [_, (slot, content)] = contents;
    (slot, content)
}

fn open_with(slot: Slot, content: &[u8]) -> Result<Recovered, JournalError> {
    let mut disk = SimulatedDisk::default();
    Disk::write(&mut disk, slot, 0, content).unwrap();
    Engine::open(Box::new(disk), MAX_BYTES).map(|(_, recovered)| recovered)
}

/// A slot truncated at any length, or with a changed bit in any byte, must give an error. No part of its snapshot
/// is recovered.
#[test]
fn a_snapshot_truncated_or_changed_at_any_byte_is_an_error_that_names_the_slot() {
    let (slot, content) = slot_with_snapshot(b"the state of everything");
    assert_eq!(
        open_with(slot, &content).unwrap().snapshot.unwrap(),
        b"the state of everything"
    );
    for length in 1..content.len() {
        let error = open_with(slot, &content[..length]).unwrap_err();
        assert!(
            matches!(error, JournalError::Corrupt { slot: found, .. } if found == slot),
            "{length}: {error}"
        );
    }
    for index in 0..content.len() {
        let mut changed = content.clone();
        changed[index] ^= 1;
        let error = open_with(slot, &changed).unwrap_err();
        assert!(
            matches!(error, JournalError::Corrupt { slot: found, .. } if found == slot),
            "{index}: {error}"
        );
    }
}

/// A header with a valid checksum and another version was written by another release. It must not be decoded, and
/// must not be reported as corruption, because a core machine empties its disk after corruption.
#[test]
fn a_slot_of_an_older_or_newer_format_is_a_version_error() {
    let (slot, content) = slot_with_snapshot(b"state");
    for version in [0, 2, 255] {
        let mut other = content.clone();
        other[8] = version;
        let checksum = crc32fast::hash(&other[..29]);
        other[29..33].copy_from_slice(&checksum.to_le_bytes());
        let error = open_with(slot, &other).unwrap_err();
        assert!(
            matches!(error, JournalError::Version { slot: found, version: reported, supported: 1 }
                if found == slot && reported == version),
            "{error}"
        );
    }
}
