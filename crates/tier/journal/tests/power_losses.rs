//! Power loss at every disk operation, with every outcome of the first six unsynced changes. All
//! acknowledged records must be recovered, including those appended while a snapshot was being written.
//!
//! The state is a list of consecutive numbers from 0. A snapshot has all numbers so far, a record the next one.

use woadreach_journal::{DiskFault, Engine, JournalError, SimulatedDisk, Survival};

const MAX_BYTES: u64 = 1 << 20;
/// Bytes of a snapshot per chunk. Small, so that the test can append between the chunks.
const CHUNK_BYTES: usize = 3;

/// Numbers that the process has appended, by whether the journal acknowledged them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Acknowledgements {
    /// Count of acknowledged numbers.
    acknowledged: u8,
    /// Size of the largest batch that was appended and not acknowledged since the last acknowledged one.
    in_flight: u8,
}

/// One operation of a process on its journal.
type Step = fn(&mut Process) -> Result<(), JournalError>;

/// A process that appends numbers to its journal and replaces the log by snapshots.
struct Process {
    engine: Engine,
    acknowledgements: Acknowledgements,
}

impl Process {
    fn open(disk: &SimulatedDisk) -> Result<(Process, Vec<u8>), JournalError> {
        let (engine, recovered) = Engine::open(Box::new(disk.clone()), MAX_BYTES)?;
        let mut numbers = recovered.snapshot.unwrap_or_default();
        numbers.extend(recovered.records.into_iter().flatten());
        let acknowledgements = Acknowledgements {
            acknowledged: numbers.len() as u8,
            in_flight: 0,
        };
        Ok((
            Process {
                engine: engine.with_chunk_bytes(CHUNK_BYTES),
                acknowledgements,
            },
            numbers,
        ))
    }

    fn append(&mut self, count: u8) -> Result<(), JournalError> {
        let first = self.acknowledgements.acknowledged;
        let batch: Vec<Vec<u8>> = (first..first + count).map(|number| vec![number]).collect();
        self.acknowledgements.in_flight = self.acknowledgements.in_flight.max(count);
        let _receipt = self.engine.append_batch(&batch)?;
        self.acknowledgements = Acknowledgements {
            acknowledged: first + count,
            in_flight: 0,
        };
        Ok(())
    }

    fn begin_snapshot(&mut self) -> Result<(), JournalError> {
        self.engine
            .begin_replacement((0..self.acknowledgements.acknowledged).collect())
    }

    fn write_chunk(&mut self) -> Result<(), JournalError> {
        self.engine
            .continue_replacement()
            .map_or(Ok(()), |outcome| outcome.map(|_receipt| ()))
    }

    /// Writes two snapshots, with appends before each, between its chunks and after it.
    fn run_steps(&mut self) {
        let mut steps: Vec<Step> = Vec::new();
        for _ in 0..2 {
            steps.push(|process| process.append(3));
            steps.push(|process| process.append(2));
            steps.push(Process::begin_snapshot);
            steps.push(|process| process.append(2));
            for _ in 0..4 {
                steps.push(Process::write_chunk);
                steps.push(|process| process.append(1));
            }
            push_remaining_chunks(&mut steps);
            steps.push(|process| process.append(2));
        }
        for step in steps {
            // A failed step is not retried: the next one is another append or chunk.
            let _ = step(self);
        }
    }
}

/// Adds a step that writes all remaining chunks.
fn push_remaining_chunks(steps: &mut Vec<Step>) {
    steps.push(|process| {
        while process.engine.is_replacing() {
            process.write_chunk()?;
        }
        Ok(())
    });
}

/// Whether `numbers` are all acknowledged numbers in order, possibly followed by numbers in flight.
fn is_complete(numbers: &[u8], expected: Acknowledgements) -> bool {
    let count = numbers.len() as u8;
    let is_count_allowed = count == expected.acknowledged
        || (count > expected.acknowledged && count <= expected.acknowledged + expected.in_flight);
    is_count_allowed && numbers.iter().copied().eq(0..count)
}

/// All combinations of outcomes of `count` unsynced changes.
fn outcomes(count: usize) -> impl Iterator<Item = Vec<Survival>> {
    let choices = Survival::ALL.len();
    (0..choices.pow(count as u32)).map(move |number| {
        (0..count)
            .map(|change| Survival::ALL[number / choices.pow(change as u32) % choices])
            .collect()
    })
}

/// Describes the first fault of recovery after a power loss; `None` if recovery is correct.
fn recovery_violation(disk: &SimulatedDisk, expected: Acknowledgements) -> Option<String> {
    let (mut process, numbers) = match Process::open(disk) {
        Ok(opened) => opened,
        // The header of the first slot was torn before anything was acknowledged.
        Err(JournalError::Corrupt { .. }) if expected.acknowledged == 0 => return None,
        Err(error) => return Some(format!("recovery failed: {error}; expected {expected:?}")),
    };
    if !is_complete(&numbers, expected) {
        return Some(format!("recovered {numbers:?}, expected {expected:?}"));
    }
    process.append(2).expect("a healthy disk");
    let (_, later) = Process::open(disk).expect("a healthy disk");
    let is_continued = later.len() == numbers.len() + 2 && later.starts_with(&numbers);
    (!is_continued)
        .then(|| format!("recovered {later:?}, expected {numbers:?} and two appended numbers"))
}

/// Result of losing power at every operation.
#[derive(Default)]
struct PowerLosses {
    /// Count of combinations of an operation and outcomes of its unsynced changes.
    cases: usize,
    violations: Vec<String>,
}

/// Loses power at every write, truncation and sync of a process, each time on a new disk that `prepare` has set up.
fn lose_power_at_each_operation(prepare: impl Fn(&SimulatedDisk)) -> PowerLosses {
    let uninterrupted = SimulatedDisk::default();
    prepare(&uninterrupted);
    Process::open(&uninterrupted)
        .expect("an empty disk")
        .0
        .run_steps();
    let mut losses = PowerLosses::default();
    for change in 0..uninterrupted.changes() {
        let disk = SimulatedDisk::default();
        prepare(&disk);
        disk.lose_power_at(change);
        let mut process = Process::open(&disk)
            .expect("an empty disk is not written to")
            .0;
        process.run_steps();
        let changes = disk.unsynced_changes().min(6);
        for outcome in outcomes(changes) {
            losses.cases += 1;
            let restored = disk.fork();
            restored.restore_power(outcome.iter().copied());
            if let Some(violation) = recovery_violation(&restored, process.acknowledgements) {
                losses
                    .violations
                    .push(format!("change {change}, {outcome:?}: {violation}"));
            }
        }
    }
    losses
}

#[test]
fn a_power_loss_at_any_operation_loses_nothing_acknowledged() {
    let PowerLosses { cases, violations } = lose_power_at_each_operation(|_| {});
    println!("{cases} cases");
    assert!(
        violations.is_empty(),
        "recovery failed in {} of {cases} cases; first: {}",
        violations.len(),
        violations[0]
    );
}

#[test]
fn a_power_loss_after_one_failed_operation_loses_nothing_acknowledged() {
    let uninterrupted = SimulatedDisk::default();
    Process::open(&uninterrupted)
        .expect("an empty disk")
        .0
        .run_steps();
    let mut cases = 0;
    for failing in 0..uninterrupted.changes() {
        let losses = lose_power_at_each_operation(|disk| disk.fail_change(failing));
        cases += losses.cases;
        assert!(
            losses.violations.is_empty(),
            "after a disk error at operation {failing}, power loss at {}",
            losses.violations[0]
        );
    }
    println!("{cases} cases");
}

#[test]
fn data_loss_on_a_disk_that_ignores_syncs_is_detected() {
    let losses = lose_power_at_each_operation(|disk| disk.set_fault(DiskFault::IgnoresSync));
    assert!(!losses.violations.is_empty());
}
