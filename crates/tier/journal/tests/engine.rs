//! The engine against an oracle: everything acknowledged is recovered, in order, after any loss of power.

use oorandom::Rand64;
use quickcheck::{TestResult, quickcheck};
use woadreach_journal::{
    Disk, DiskFault, Engine, JournalError, Recovered, SimulatedDisk, Slot, Synced,
};

const MAX_BYTES: u64 = 1 << 20;

/// Content that was acknowledged, and content that may be recovered all the same.
#[derive(Default)]
struct Oracle {
    snapshot: Option<Vec<u8>>,
    records: Vec<Vec<u8>>,
    /// Batches that failed since the last acknowledged one.
    uncertain_batches: Vec<Vec<Vec<u8>>>,
    /// Snapshot and later records of a replacement that failed at its end.
    uncertain_replacement: Option<(Vec<u8>, Vec<Vec<u8>>)>,
    /// Records committed since a replacement began.
    tail: Vec<Vec<u8>>,
}

impl Oracle {
    /// Records the outcome of a chunk of a replacement.
    fn record_replacement(
        &mut self,
        outcome: Option<Result<Synced, JournalError>>,
        snapshot: Vec<u8>,
    ) {
        let tail = self.tail.clone();
        match outcome {
            None => {}
            Some(Ok(_)) => {
                *self = Oracle {
                    snapshot: Some(snapshot),
                    records: tail,
                    ..Oracle::default()
                };
            }
            Some(Err(_)) => self.uncertain_replacement = Some((snapshot, tail)),
        }
    }

    fn check(&self, found: &Recovered) {
        let found_snapshot = found.snapshot.clone().unwrap_or_default();
        let acknowledged = self.snapshot.clone().unwrap_or_default();
        let accepts = |snapshot: &Vec<u8>, records: &[Vec<u8>]| {
            found_snapshot == *snapshot && found.records == records
        };
        let mut allowed = accepts(&acknowledged, &self.records);
        for batch in &self.uncertain_batches {
            allowed |= accepts(
                &acknowledged,
                &[self.records.clone(), batch.clone()].concat(),
            );
        }
        if let Some((snapshot, tail)) = &self.uncertain_replacement {
            allowed |= accepts(snapshot, tail);
        }
        assert!(
            allowed,
            "found {found:?}, acknowledged {acknowledged:?} and {:?}",
            self.records
        );
    }
}

fn record(random: &mut Rand64) -> Vec<u8> {
    let length = random.rand_range(0..40);
    (0..length)
        .map(|_| u8::try_from(random.rand_range(0..256)).unwrap())
        .collect()
}

/// One run: appends, replacements, failing disk and losses of power, all from `seed`.
fn run(seed: u64) {
    let mut random = Rand64::new(u128::from(seed));
    let disk = SimulatedDisk::default();
    let mut oracle = Oracle::default();
    for _ in 0..6 {
        disk.set_fault(DiskFault::Healthy);
        let opened = Engine::open(Box::new(disk.clone()), MAX_BYTES);
        let (engine, found) = match opened {
            Ok(opened) => opened,
            // The very first slot was torn before anything was acknowledged.
            Err(JournalError::Corrupt { .. })
                if oracle.snapshot.is_none() && oracle.records.is_empty() =>
            {
                disk.wipe();
                continue;
            }
            Err(error) => panic!("seed {seed}: {error}"),
        };
        let mut engine = engine.with_chunk_bytes(7);
        oracle.check(&found);
        oracle = Oracle {
            snapshot: found.snapshot,
            records: found.records,
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
            let replacing = snapshot.is_some() && engine.is_replacing();
            if replacing && random.rand_range(0..2) == 0 {
                oracle.record_replacement(engine.continue_replacement(), snapshot.clone().unwrap());
            } else if !replacing && random.rand_range(0..4) == 0 {
                let next = record(&mut random);
                if engine.begin_replacement(next.clone()).is_ok() {
                    oracle.tail.clear();
                    snapshot = Some(next);
                }
            } else {
                let batch: Vec<_> = (0..random.rand_range(1..4))
                    .map(|_| record(&mut random))
                    .collect();
                match engine.append_batch(&batch) {
                    Ok(_) => {
                        oracle.records.extend(batch.clone());
                        oracle.tail.extend(batch);
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
fn acknowledged_records_survive_power_loss_over_seeds() {
    for seed in 0..10_000 {
        run(seed);
    }
}

#[test]
fn a_disk_that_ignores_syncs_is_noticed() {
    let mut lost = 0;
    for seed in 0..50 {
        let mut random = Rand64::new(seed);
        let disk = SimulatedDisk::default();
        disk.set_fault(DiskFault::IgnoresSync);
        let (mut engine, _) = Engine::open(Box::new(disk.clone()), MAX_BYTES).unwrap();
        let _ = engine.append_batch(&[vec![1]]).unwrap();
        disk.lose_power(&mut random);
        let recovered = Engine::open(Box::new(disk.clone()), MAX_BYTES);
        lost += u32::from(!matches!(recovered, Ok((_, found)) if found.records == [vec![1]]));
    }
    assert!(lost > 10, "only {lost} of 50 runs noticed the mutation");
}

quickcheck! {
    fn a_flipped_bit_is_never_served(records: Vec<Vec<u8>>, snapshot: Vec<u8>, seed: u64) -> TestResult {
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
            // Corruption of the last frame looks like a tail that was never acknowledged.
            Ok((_, found)) => TestResult::from_bool(
                found.snapshot.as_deref().unwrap_or_default() == snapshot
                    && records.starts_with(&found.records)
                    && found.records.len() + 1 == records.len(),
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
    let (_, found) = Engine::open(Box::new(disk), 1_000).unwrap();
    assert_eq!(found.snapshot, Some(vec![5; 100]));
}

/// After a disk error at any step of a snapshot, the log continues, and the snapshot uses no space.
#[test]
fn a_snapshot_that_fails_frees_its_space() {
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
        let (_, found) = Engine::open(Box::new(disk), MAX_BYTES).unwrap();
        assert_eq!(found.records, [vec![1; 10], vec![3; 10]]);
    }
}

#[test]
fn records_continue_after_those_of_an_earlier_incarnation() {
    let disk = SimulatedDisk::default();
    let (mut engine, found) = Engine::open(Box::new(disk.clone()), MAX_BYTES).unwrap();
    assert!(found.was_empty);
    let _ = engine.append_batch(&[vec![1; 10], vec![2; 10]]).unwrap();
    let (mut engine, found) = Engine::open(Box::new(disk.clone()), MAX_BYTES).unwrap();
    assert!(!found.was_empty);
    assert_eq!(found.records.len(), 2);
    let _ = engine.append_batch(&[vec![3; 10]]).unwrap();
    let (_, found) = Engine::open(Box::new(disk), MAX_BYTES).unwrap();
    assert_eq!(found.records, [vec![1; 10], vec![2; 10], vec![3; 10]]);
}

/// A slot that holds this snapshot and no log, and its content.
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

/// Nothing of a snapshot that is truncated or has a wrong checksum is recovered, wherever the corruption is.
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

/// A header with a valid checksum and another version is of another program: it is neither decoded nor
/// reported as corruption, after which a core machine would empty its disk.
#[test]
fn a_slot_of_an_older_or_newer_format_is_an_error_of_its_own() {
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
