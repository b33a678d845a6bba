//! Compatibility of the slot format: header, snapshot and frames must be encoded to, and decoded from, the bytes
//! recorded in `tests/recorded/slots.txt`.

#[path = "../../../../tests/recorded/mod.rs"]
mod recorded;

use recorded::{RecordedBytes, outcome, outcomes_when_cut};
use woadreach_journal::{Disk, Engine, FileDisk, JournalError, Recovered, SimulatedDisk, Slot};

const MAX_BYTES: u64 = 1 << 20;
/// Length of a slot's header in bytes.
const HEADER_BYTES: usize = 33;
/// Length of a frame's header in bytes.
const FRAME_HEADER_BYTES: usize = 28;

/// Operations on an empty journal and their expected result.
struct Scenario {
    /// Name of the recorded bytes in `slots.txt`.
    name: &'static str,
    /// The only slot that is not empty after `run`.
    slot: Slot,
    run: fn(&mut Engine),
    /// State that a later process recovers.
    recovered: Recovered,
}

fn commit(engine: &mut Engine, records: &[&[u8]]) {
    let records: Vec<Vec<u8>> = records.iter().map(|record| record.to_vec()).collect();
    let _receipt = engine
        .append_batch(&records)
        .expect("the disk has no fault");
}

fn replace(engine: &mut Engine, snapshot: &[u8]) {
    let _receipt = engine.replace(snapshot).expect("the disk has no fault");
}

fn recovered(snapshot: Option<&[u8]>, records: &[&[u8]]) -> Recovered {
    Recovered {
        snapshot: snapshot.map(<[u8]>::to_vec),
        records: records.iter().map(|record| record.to_vec()).collect(),
        was_empty: false,
    }
}

fn scenarios() -> [Scenario; 5] {
    [
        Scenario {
            name: "one record",
            slot: Slot::A,
            run: |engine| commit(engine, &[b"one"]),
            recovered: recovered(None, &[b"one"]),
        },
        Scenario {
            name: "several frames of several records",
            slot: Slot::A,
            run: |engine| {
                commit(engine, &[b"one", b"", b"three"]);
                commit(engine, &[b"four"]);
                commit(engine, &[&[0xff; 40], b"six"]);
            },
            recovered: recovered(None, &[b"one", b"", b"three", b"four", &[0xff; 40], b"six"]),
        },
        Scenario {
            name: "snapshot alone",
            slot: Slot::B,
            run: |engine| replace(engine, b"all so far"),
            recovered: recovered(Some(b"all so far"), &[]),
        },
        Scenario {
            name: "third generation with a log",
            slot: Slot::A,
            run: |engine| {
                commit(engine, &[b"one"]);
                replace(engine, b"all up to one");
                commit(engine, &[b"two"]);
                replace(engine, b"all up to two");
                commit(engine, &[b"three"]);
                commit(engine, &[b"four", b"five"]);
            },
            recovered: recovered(Some(b"all up to two"), &[b"three", b"four", b"five"]),
        },
        Scenario {
            name: "records of the time of a replacement",
            slot: Slot::B,
            run: |engine| {
                commit(engine, &[b"one"]);
                engine
                    .begin_replacement(b"all up to one".to_vec())
                    .expect("the disk has no fault");
                commit(engine, &[b"two"]);
                commit(engine, &[b"three", b"four"]);
                let _receipt = engine
                    .continue_replacement()
                    .expect("one chunk")
                    .expect("the disk has no fault");
                commit(engine, &[b"five"]);
            },
            recovered: recovered(
                Some(b"all up to one"),
                &[b"two", b"three", b"four", b"five"],
            ),
        },
    ]
}

/// Runs the scenario and returns the content of its slot. Panics if the other slot is not empty.
fn written_slot(scenario: &Scenario) -> Vec<u8> {
    let mut disk = SimulatedDisk::default();
    let (mut engine, _) = Engine::open(Box::new(disk.clone()), MAX_BYTES).expect("an empty disk");
    (scenario.run)(&mut engine);
    assert_eq!(
        disk.read(scenario.slot.other()).expect("a slot"),
        [],
        "{}",
        scenario.name
    );
    disk.read(scenario.slot).expect("a slot")
}

/// Opens a journal in which `slot` has `content` and the other slot is empty.
fn recover(slot: Slot, content: &[u8]) -> Result<Recovered, JournalError> {
    let mut disk = SimulatedDisk::default();
    disk.write(slot, 0, content).expect("the disk has no fault");
    disk.sync(slot).expect("the disk has no fault");
    Engine::open(Box::new(disk), MAX_BYTES).map(|(_, recovered)| recovered)
}

fn recorded_slot(name: &str) -> Vec<u8> {
    RecordedBytes::open("slots").bytes(name)
}

#[test]
fn slots_are_read_and_written_as_recorded() {
    let recorded = RecordedBytes::open("slots");
    for scenario in scenarios() {
        recorded.check_bytes(scenario.name, &written_slot(&scenario));
        let content = recorded_slot(scenario.name);
        let recovered = recover(scenario.slot, &content).expect("a recorded slot is intact");
        assert_eq!(recovered, scenario.recovered, "{}", scenario.name);
    }
    recorded.finish();
}

/// Appends and replacements must work on a recorded slot as on one that this program wrote.
#[test]
fn records_are_appended_to_a_recorded_log() {
    let mut disk = SimulatedDisk::default();
    disk.write(Slot::A, 0, &recorded_slot("one record"))
        .expect("the disk has no fault");
    disk.sync(Slot::A).expect("the disk has no fault");
    let (mut engine, _) = Engine::open(Box::new(disk.clone()), MAX_BYTES).expect("a recorded slot");
    commit(&mut engine, &[b"two"]);
    let content = disk.read(Slot::A).expect("a slot");
    assert_eq!(
        recover(Slot::A, &content).expect("an intact slot").records,
        [b"one".to_vec(), b"two".to_vec()]
    );
    replace(&mut engine, b"all so far");
    let content = disk.read(Slot::B).expect("a slot");
    assert_eq!(
        recover(Slot::B, &content).expect("an intact slot"),
        recovered(Some(b"all so far"), &[])
    );
}

#[test]
fn a_log_truncated_at_any_byte_ends_before_the_incomplete_frame() {
    let content = recorded_slot("several frames of several records");
    let ends = [
        HEADER_BYTES,
        HEADER_BYTES + 48,
        HEADER_BYTES + 48 + 36,
        content.len(),
    ];
    let counts = [0, 3, 4, 6];
    for length in HEADER_BYTES..=content.len() {
        let complete = ends
            .iter()
            .rposition(|end| *end <= length)
            .expect("the header is complete");
        let recovered =
            recover(Slot::A, &content[..length]).expect("a torn tail is not corruption");
        assert_eq!(recovered.records.len(), counts[complete], "{length}");
    }
}

#[test]
fn a_truncated_header_or_snapshot_is_corrupt() {
    let content = recorded_slot("snapshot alone");
    let runs = outcomes_when_cut(&content, |bytes| recover(Slot::B, bytes));
    let expected = [
        (0, "read"),
        (1, "slot-b is damaged at byte 0"),
        (HEADER_BYTES, "slot-b is damaged at byte 33"),
    ];
    assert_eq!(
        runs,
        expected.map(|(length, text)| (length, text.to_owned()))
    );
}

/// Corruption of the last frame cannot be distinguished from a tail torn by a power loss, unless it raises the
/// frame's sequence number: that suggests that an acknowledged frame before it is missing.
#[test]
fn a_changed_byte_is_corruption_unless_it_is_in_the_last_frame() {
    let content = recorded_slot("third generation with a log");
    let log = HEADER_BYTES + b"all up to two".len();
    let last = log + FRAME_HEADER_BYTES + 4 + b"three".len();
    for index in 0..content.len() {
        let mut changed = content.clone();
        changed[index] ^= 0x40;
        let text = outcome(recover(Slot::A, &changed));
        let expected = match index {
            _ if index < HEADER_BYTES => "slot-a is damaged at byte 0".to_owned(),
            _ if index < log => "slot-a is damaged at byte 33".to_owned(),
            _ if index < last => format!("slot-a is damaged at byte {log}"),
            _ if (last + 12..last + 20).contains(&index) => {
                format!("slot-a is damaged at byte {last}")
            }
            _ => "read".to_owned(),
        };
        assert_eq!(text, expected, "byte {index}");
    }
}

#[test]
fn the_error_for_another_format_names_both_versions() {
    let mut content = recorded_slot("one record");
    for version in [0, 2, 255] {
        content[8] = version;
        let checksum = crc32fast::hash(&content[..29]);
        content[29..HEADER_BYTES].copy_from_slice(&checksum.to_le_bytes());
        let text = outcome(recover(Slot::A, &content));
        assert_eq!(
            text,
            format!("slot-a has format version {version}, this program reads 1")
        );
    }
}

#[test]
fn files_of_other_formats_are_corrupt_and_zeros_are_an_empty_slot() {
    let foreign: [&[u8]; 3] = [b"generation: 1", &[0xff; 100], b"WOADSLOT"];
    for content in foreign {
        assert_eq!(
            outcome(recover(Slot::A, content)),
            "slot-a is damaged at byte 0",
            "{content:?}"
        );
    }
    assert!(
        recover(Slot::A, &[0; 100])
            .expect("an empty slot")
            .was_empty
    );
}

#[test]
fn a_journal_is_stored_in_files_slot_a_and_slot_b() {
    let folder = tempfile::tempdir().expect("a folder");
    for (file, name) in [
        ("slot-a", "third generation with a log"),
        ("slot-b", "snapshot alone"),
    ] {
        let path = folder.path().join(file);
        std::fs::write(&path, recorded_slot(name)).expect("a file");
        let disk = FileDisk::open(folder.path()).expect("a journal's folder");
        let (_, recovered) = Engine::open(Box::new(disk), MAX_BYTES).expect("a recorded slot");
        let expected = scenarios()
            .into_iter()
            .find(|scenario| scenario.name == name);
        assert_eq!(
            Some(recovered),
            expected.map(|scenario| scenario.recovered),
            "{file}"
        );
        std::fs::remove_file(&path).expect("the file can be removed");
    }
}
