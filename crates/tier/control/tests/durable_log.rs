//! Recovery of a member from numbered records.

use quickcheck::quickcheck;
use woadreach_chain::{Blob, Command, Durable, PutConfiguration, Record, View, WritePosition};
use woadreach_control::durable_log::{encode_record, encode_snapshot, recover};

fn write(number: u64) -> Record {
    let put = PutConfiguration {
        base: number - 1,
        generation: number,
        digest: [number as u8; 16],
        body: Blob::from(vec![number as u8]),
    };
    Record::Write {
        position: WritePosition { epoch: 1, number },
        command: Command::PutConfiguration(put),
    }
}

fn empty() -> Durable {
    Durable::new(1, true, View::default())
}

#[test]
fn records_after_the_snapshot_are_applied() {
    let records: Vec<Vec<u8>> = (1..=3)
        .map(|number| encode_record(number, &write(number)))
        .collect();
    let recovered = recover(&encode_snapshot(0, &empty()), &records).expect("own records");
    assert_eq!(recovered.number, 3);
    assert_eq!(recovered.durable.state.generation(), 3);
}

#[test]
fn records_included_in_the_snapshot_are_skipped() {
    let mut durable = empty();
    durable.apply(&write(1));
    durable.apply(&write(2));
    let records: Vec<Vec<u8>> = (1..=3)
        .map(|number| encode_record(number, &write(number)))
        .collect();
    let recovered = recover(&encode_snapshot(2, &durable), &records).expect("own records");
    assert_eq!(
        (recovered.number, recovered.durable.state.generation()),
        (3, 3)
    );
    assert_eq!(recovered.durable.state.applied.len(), 3);
}

#[test]
fn records_after_a_gap_are_skipped() {
    let records = [1, 2, 4, 5].map(|number| encode_record(number, &write(number)));
    let recovered = recover(&encode_snapshot(0, &empty()), &records).expect("own records");
    assert_eq!(
        (recovered.number, recovered.durable.state.generation()),
        (2, 2)
    );
}

/// Guards against the loss of synced records after a gap. One incarnation appends records 1, 2, 4 and 5, and the
/// append of record 3 fails. The next incarnation appends new records 3 and 4, and reports both as synced.
#[test]
fn records_of_the_next_incarnation_after_a_gap_are_applied() {
    let mut records = [1, 2, 4, 5]
        .map(|number| encode_record(number, &write(number)))
        .to_vec();
    let first = recover(&encode_snapshot(0, &empty()), &records).expect("own records");
    assert_eq!(first.number, 2);
    records.extend([3, 4].map(|number| encode_record(number, &write(number))));
    let second = recover(&encode_snapshot(0, &empty()), &records).expect("own records");
    assert_eq!((second.number, second.durable.state.generation()), (4, 4));
    assert_eq!(second.durable.state.applied.len(), 4);
}

quickcheck! {
    fn arbitrary_bytes_do_not_panic(snapshot: Vec<u8>, records: Vec<Vec<u8>>) -> bool {
        recover(&snapshot, &records).is_err() || recover(&encode_snapshot(0, &empty()), &[]).is_ok()
    }
}
