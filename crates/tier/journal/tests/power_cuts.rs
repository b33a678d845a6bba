//! Power is cut at every operation on the disk, with every outcome of what no sync covers: what was
//! acknowledged is there, also what was appended while a snapshot was being written.
//!
//! The state is a list of consecutive numbers: a snapshot holds the numbers so far, a record the next one.

use woadreach_journal::{DiskFault, Engine, JournalError, SimulatedDisk, Survival};

const MAX_BYTES: u64 = 1 << 20;
/// Bytes of a snapshot that are written at once; small, so that appends come between the pieces.
const PIECE_BYTES: usize = 3;

/// What one life of the process was told.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Told {
    /// Numbers that were acknowledged.
    acknowledged: u8,
    /// Numbers that were sent, in one batch, and not acknowledged.
    in_hand: u8,
}

/// One step of a life.
type Step = fn(&mut Process) -> Result<(), JournalError>;

/// A process that appends numbers and replaces its log by snapshots.
struct Process {
    engine: Engine,
    told: Told,
}

impl Process {
    fn open(disk: &SimulatedDisk) -> Result<(Process, Vec<u8>), JournalError> {
        let (engine, found) = Engine::open(Box::new(disk.clone()), MAX_BYTES)?;
        let mut numbers = found.snapshot.unwrap_or_default();
        numbers.extend(found.records.into_iter().flatten());
        let told = Told {
            acknowledged: numbers.len() as u8,
            in_hand: 0,
        };
        Ok((
            Process {
                engine: engine.with_piece_bytes(PIECE_BYTES),
                told,
            },
            numbers,
        ))
    }

    fn append(&mut self, count: u8) -> Result<(), JournalError> {
        let first = self.told.acknowledged;
        let batch: Vec<Vec<u8>> = (first..first + count).map(|number| vec![number]).collect();
        self.told.in_hand = self.told.in_hand.max(count);
        let _receipt = self.engine.commit(&batch)?;
        self.told = Told {
            acknowledged: first + count,
            in_hand: 0,
        };
        Ok(())
    }

    fn begin_snapshot(&mut self) -> Result<(), JournalError> {
        self.engine
            .begin_replacement((0..self.told.acknowledged).collect())
    }

    fn write_piece(&mut self) -> Result<(), JournalError> {
        self.engine
            .continue_replacement()
            .map_or(Ok(()), |outcome| outcome.map(|_receipt| ()))
    }

    /// Two snapshots, with appends before, between the pieces and after them.
    fn live(&mut self) {
        let mut steps: Vec<Step> = Vec::new();
        for _ in 0..2 {
            steps.push(|process| process.append(3));
            steps.push(|process| process.append(2));
            steps.push(Process::begin_snapshot);
            steps.push(|process| process.append(2));
            for _ in 0..4 {
                steps.push(Process::write_piece);
                steps.push(|process| process.append(1));
            }
            while_replacing(&mut steps);
            steps.push(|process| process.append(2));
        }
        for step in steps {
            // What fails is repeated by nobody: the next step is another append or piece.
            let _ = step(self);
        }
    }
}

/// The pieces that remain, whatever their number.
fn while_replacing(steps: &mut Vec<Step>) {
    steps.push(|process| {
        while process.engine.is_replacing() {
            process.write_piece()?;
        }
        Ok(())
    });
}

fn is_whole(numbers: &[u8], told: Told) -> bool {
    let count = numbers.len() as u8;
    let is_count_right = count == told.acknowledged
        || (count > told.acknowledged && count <= told.acknowledged + told.in_hand);
    is_count_right && numbers.iter().copied().eq(0..count)
}

/// Every outcome for `count` changes.
fn outcomes(count: usize) -> impl Iterator<Item = Vec<Survival>> {
    let choices = Survival::ALL.len();
    (0..choices.pow(count as u32)).map(move |number| {
        (0..count)
            .map(|change| Survival::ALL[number / choices.pow(change as u32) % choices])
            .collect()
    })
}

/// Why a restart after a cut is wrong, if it is.
fn fault_after_restart(disk: &SimulatedDisk, told: Told) -> Option<String> {
    let (mut process, numbers) = match Process::open(disk) {
        Ok(opened) => opened,
        // The very first head was torn before anything was acknowledged.
        Err(JournalError::Corrupt { .. }) if told.acknowledged == 0 => return None,
        Err(error) => return Some(format!("{error}, told {told:?}")),
    };
    if !is_whole(&numbers, told) {
        return Some(format!("found {numbers:?}, told {told:?}"));
    }
    process.append(2).expect("a healthy disk");
    let (_, later) = Process::open(disk).expect("a healthy disk");
    let is_continued = later.len() == numbers.len() + 2 && later.starts_with(&numbers);
    (!is_continued).then(|| format!("{later:?} after {numbers:?} and two more"))
}

/// Cuts power at every operation of a life that `prepare`d disks see; gives back what goes wrong.
fn faults_of_cuts(prepare: impl Fn(&SimulatedDisk)) -> (usize, Vec<String>) {
    let whole = SimulatedDisk::default();
    prepare(&whole);
    Process::open(&whole).expect("an empty disk").0.live();
    let mut cases = 0;
    let mut faults = Vec::new();
    for cut in 0..whole.changes() {
        let disk = SimulatedDisk::default();
        prepare(&disk);
        disk.cut_power(cut);
        let mut process = Process::open(&disk)
            .expect("an empty disk is not written to")
            .0;
        process.live();
        let changes = disk.unsynced_changes().min(6);
        for outcome in outcomes(changes) {
            cases += 1;
            let found = disk.copy();
            found.return_power(outcome.iter().copied());
            if let Some(fault) = fault_after_restart(&found, process.told) {
                faults.push(format!("cut at {cut}, {outcome:?}: {fault}"));
            }
        }
    }
    (cases, faults)
}

#[test]
fn nothing_acknowledged_is_lost_by_a_cut_at_any_operation() {
    let (cases, faults) = faults_of_cuts(|_| {});
    println!("{cases} cases");
    assert!(
        faults.is_empty(),
        "{} of {cases} cases, first: {}",
        faults.len(),
        faults[0]
    );
}

#[test]
fn nor_by_a_cut_after_one_failed_operation() {
    let whole = SimulatedDisk::default();
    Process::open(&whole).expect("an empty disk").0.live();
    let mut cases = 0;
    for failing in 0..whole.changes() {
        let (more, faults) = faults_of_cuts(|disk| disk.fail_change(failing));
        cases += more;
        assert!(
            faults.is_empty(),
            "operation {failing} failed, then {}",
            faults[0]
        );
    }
    println!("{cases} cases");
}

#[test]
fn a_disk_that_ignores_syncs_is_found() {
    let (_, faults) = faults_of_cuts(|disk| disk.set_fault(DiskFault::IgnoresSync));
    assert!(!faults.is_empty());
}
