//! Codecs of messages, journal records, snapshots and turns: round trips, and input that is truncated, too long
//! or corrupt.

use bytes::Bytes;
use quickcheck::{Arbitrary, Gen, quickcheck};
use std::time::Duration;
use woadreach_storage::budget::Reservation;
use woadreach_storage::message::{
    Answer, FencingToken, MessageError, Operation, ProgramDigest, ProgramRecords, Request,
    Response, Settlement, decode, encode,
};
use woadreach_storage::record::{Record, SnapshotWriter, snapshot_records};
use woadreach_storage::turn::TurnRecord;
use woadreach_storage::{StorageMember, StorageView, Turn, TurnKey};

/// Wrapper that implements `Arbitrary` for the types that are sent or stored.
#[derive(Debug, Clone, PartialEq)]
struct Any<T>(T);

fn text(random: &mut Gen) -> String {
    String::arbitrary(random)
}

fn list<T>(random: &mut Gen, make: impl Fn(&mut Gen) -> T) -> Vec<T> {
    (0..usize::arbitrary(random) % 4)
        .map(|_| make(random))
        .collect()
}

fn turn(random: &mut Gen) -> TurnRecord {
    TurnRecord {
        program: text(random),
        session: text(random),
        request_id: text(random),
        previous: bool::arbitrary(random).then(|| text(random)),
        retention_ms: u64::arbitrary(random),
        content: Vec::arbitrary(random),
    }
}

fn reservation(random: &mut Gen) -> Reservation {
    Reservation {
        id: u64::arbitrary(random),
        tokens: u64::arbitrary(random),
        settled: bool::arbitrary(random),
    }
}

fn settlement(random: &mut Gen) -> Settlement {
    Settlement {
        reservation: u64::arbitrary(random),
        delivered_tokens: u64::arbitrary(random),
    }
}

fn member(random: &mut Gen) -> StorageMember {
    let (ip, port) = (u32::arbitrary(random), u16::arbitrary(random));
    let address = (std::net::Ipv4Addr::from(ip), port).into();
    StorageMember {
        node: text(random),
        disk: u64::arbitrary(random),
        address,
        zone: text(random),
    }
}

fn view(random: &mut Gen) -> StorageView {
    StorageView {
        epoch: u64::arbitrary(random),
        current: list(random, member),
        next: bool::arbitrary(random).then(|| list(random, member)),
        retiring: list(random, text).into_iter().collect(),
        retired: list(random, text).into_iter().collect(),
    }
}

fn program(random: &mut Gen) -> ProgramRecords {
    ProgramRecords {
        program: text(random),
        reservations: list(random, reservation),
        turns: list(random, turn),
        remaining_ms: u64::arbitrary(random),
    }
}

impl Arbitrary for Any<Request> {
    fn arbitrary(random: &mut Gen) -> Self {
        let operation = match u8::arbitrary(random) % 8 {
            0 => Operation::Reserve {
                program: text(random),
                reservation: u64::arbitrary(random),
                max_tokens: u64::arbitrary(random),
            },
            1 => Operation::Settle {
                program: text(random),
                settlement: settlement(random),
            },
            2 => Operation::PutTurns {
                program: text(random),
                turns: list(random, turn),
                settlement: bool::arbitrary(random).then(|| settlement(random)),
            },
            3 => Operation::ReadChain {
                program: text(random),
                request_id: text(random),
            },
            4 => Operation::Find {
                request_id: text(random),
            },
            5 => Operation::Digests {
                node: text(random),
                after: Option::arbitrary(random),
            },
            6 => Operation::Fetch {
                programs: list(random, text),
            },
            _ => Operation::NewView { view: view(random) },
        };
        let fencing_token = FencingToken {
            epoch: u64::arbitrary(random),
            disk: u64::arbitrary(random),
        };
        Any(Request {
            fencing_token,
            operation,
        })
    }
}

impl Arbitrary for Any<Response> {
    fn arbitrary(random: &mut Gen) -> Self {
        let digest = |random: &mut Gen| ProgramDigest {
            program: text(random),
            digest: u64::arbitrary(random),
        };
        let answer = match u8::arbitrary(random) % 10 {
            0 => Answer::Reserved {
                reservations: list(random, reservation),
            },
            1 => Answer::Stored,
            2 => Answer::Chain {
                turns: list(random, turn),
            },
            3 => Answer::Found {
                programs: list(random, text),
            },
            4 => Answer::DigestPage {
                digests: list(random, digest),
                more: bool::arbitrary(random),
            },
            5 => Answer::Records {
                programs: list(random, program),
            },
            6 => Answer::Stale { view: view(random) },
            7 => Answer::Behind,
            8 => Answer::WrongDisk,
            _ => Answer::Failed,
        };
        Any(Response {
            epoch: u64::arbitrary(random),
            answer,
        })
    }
}

impl Arbitrary for Any<Record> {
    fn arbitrary(random: &mut Gen) -> Self {
        Any(match u8::arbitrary(random) % 3 {
            0 => Record::Identity {
                disk: u64::arbitrary(random),
            },
            1 => Record::View(view(random)),
            _ => Record::Program(program(random)),
        })
    }
}

quickcheck! {
    fn requests_round_trip(request: Any<Request>) -> bool {
        decode(&encode(&request.0)) == Ok(request.0)
    }

    fn responses_round_trip(response: Any<Response>) -> bool {
        decode(&encode(&response.0)) == Ok(response.0)
    }

    fn records_round_trip(record: Any<Record>) -> bool {
        decode(&encode(&record.0)) == Ok(record.0)
    }

    fn a_truncated_message_is_not_decoded(request: Any<Request>, cut: usize) -> bool {
        let bytes = encode(&request.0);
        decode::<Request>(&bytes[..cut % bytes.len()]).is_err()
    }

    fn a_message_with_trailing_bytes_is_not_decoded(request: Any<Request>, rest: Vec<u8>) -> bool {
        let mut bytes = encode(&request.0);
        bytes.extend_from_slice(&rest);
        rest.is_empty() || decode::<Request>(&bytes).is_err()
    }

    fn decoding_arbitrary_bytes_does_not_panic(bytes: Vec<u8>) -> bool {
        let versioned = [vec![1], bytes.clone()].concat();
        let _ = (decode::<Request>(&bytes), decode::<Request>(&versioned));
        let _ = (decode::<Response>(&versioned), decode::<Record>(&versioned));
        let _ = (snapshot_records(&bytes), StorageView::decode(&versioned));
        true
    }

    fn decoding_after_a_bit_flip_does_not_panic(response: Any<Response>, at: usize) -> bool {
        let mut bytes = encode(&response.0);
        let bit = at % (bytes.len() * 8);
        bytes[bit / 8] ^= 1 << (bit % 8);
        let _ = decode::<Response>(&bytes);
        true
    }

    fn snapshots_round_trip(records: Vec<Any<Record>>) -> bool {
        let mut snapshot = SnapshotWriter::new(0);
        for record in &records {
            snapshot.push(&record.0);
        }
        let bytes = snapshot.finish();
        let found = snapshot_records(&bytes).unwrap();
        let found: Vec<Result<Record, MessageError>> = found.into_iter().map(decode).collect();
        found == records.into_iter().map(|record| Ok(record.0)).collect::<Vec<_>>()
    }

    fn turns_round_trip(input: Vec<u8>, events: Vec<Vec<u8>>, previous: Option<String>) -> bool {
        let turn = Turn {
            program: "program".to_owned(),
            session: "session".to_owned(),
            request_id: "request".to_owned(),
            previous: previous.map(|request_id| TurnKey { program: "program".to_owned(), request_id }),
            input: Bytes::from(input),
            events: events.into_iter().map(Bytes::from).collect(),
            retention: Duration::from_millis(60_500),
        };
        turn.to_record("program").into_turn() == Some(turn)
    }

    fn decoding_corrupt_turn_content_does_not_panic(content: Vec<u8>) -> bool {
        let record = TurnRecord {
            program: String::new(),
            session: String::new(),
            request_id: String::new(),
            previous: None,
            retention_ms: 0,
            content,
        };
        let _ = record.into_turn();
        true
    }
}

/// A length prefix beyond the end of the message must not lead to an allocation of that size.
#[test]
fn a_length_beyond_the_message_is_not_allocated() {
    let mut bytes = encode(&Response {
        epoch: 0,
        answer: Answer::Found {
            programs: Vec::new(),
        },
    });
    let length = bytes.len();
    bytes[length - 4..].copy_from_slice(&u32::MAX.to_le_bytes());
    assert_eq!(decode::<Response>(&bytes), Err(MessageError::Malformed));
}
