//! Encoded messages, records and snapshots decode to the same values, and other bytes never cause a panic.

use quickcheck::{Arbitrary, Gen, quickcheck};
use std::net::{Ipv4Addr, SocketAddrV4};
use woadreach_chain::{
    Accepted, AppliedConfiguration, Ballot, Blob, Body, Command, ControlState, DecodeError,
    Durable, Envelope, FailureDomain, Heartbeat, HeartbeatTime, MemberId, Promise,
    PutConfiguration, PutStorageView, Record, View, WritePosition,
};

#[derive(Clone, Debug)]
struct Generated<T>(T);

fn member(generator: &mut Gen) -> MemberId {
    let address = SocketAddrV4::new(
        Ipv4Addr::from(u32::arbitrary(generator)),
        u16::arbitrary(generator),
    );
    MemberId {
        address,
        identity: u64::arbitrary(generator),
    }
}

fn members(generator: &mut Gen) -> Vec<MemberId> {
    let count = usize::arbitrary(generator) % 5;
    (0..count).map(|_| member(generator)).collect()
}

fn position(generator: &mut Gen) -> WritePosition {
    WritePosition {
        epoch: u64::arbitrary(generator),
        number: u64::arbitrary(generator),
    }
}

fn heartbeat_time(generator: &mut Gen) -> HeartbeatTime {
    HeartbeatTime {
        incarnation: u64::arbitrary(generator),
        micros: u64::arbitrary(generator),
    }
}

fn view(generator: &mut Gen) -> View {
    View {
        epoch: u64::arbitrary(generator),
        voters: members(generator),
        chain: members(generator),
        floor: u64::arbitrary(generator),
    }
}

fn ballot(generator: &mut Gen) -> Ballot {
    Ballot {
        round: u64::arbitrary(generator),
        proposer: member(generator),
    }
}

fn digest(generator: &mut Gen) -> [u8; 16] {
    std::array::from_fn(|_| u8::arbitrary(generator))
}

fn command(generator: &mut Gen) -> Command {
    if bool::arbitrary(generator) {
        Command::PutConfiguration(PutConfiguration {
            base: u64::arbitrary(generator),
            generation: u64::arbitrary(generator),
            digest: digest(generator),
            body: Blob::from(Vec::arbitrary(generator)),
        })
    } else {
        Command::PutStorageView(PutStorageView {
            expected_epoch: u64::arbitrary(generator),
            epoch: u64::arbitrary(generator),
            bytes: Blob::from(Vec::arbitrary(generator)),
        })
    }
}

fn state(generator: &mut Gen) -> ControlState {
    let mut state = ControlState::default();
    state.apply(position(generator), &command(generator));
    state.applied.push(AppliedConfiguration {
        generation: u64::arbitrary(generator),
        digest: digest(generator),
    });
    state
}

impl Arbitrary for Generated<Record> {
    fn arbitrary(generator: &mut Gen) -> Self {
        Generated(match u8::arbitrary(generator) % 6 {
            0 => Record::Promise(Promise {
                epoch: u64::arbitrary(generator),
                ballot: ballot(generator),
            }),
            1 => Record::Accept(Accepted {
                ballot: ballot(generator),
                view: view(generator),
            }),
            2 => Record::View(view(generator)),
            3 => Record::Activate(u64::arbitrary(generator)),
            4 => Record::State {
                epoch: u64::arbitrary(generator),
                state: state(generator),
            },
            _ => Record::Write {
                position: position(generator),
                command: command(generator),
            },
        })
    }
}

impl Arbitrary for Generated<Envelope> {
    fn arbitrary(generator: &mut Gen) -> Self {
        let body = match u8::arbitrary(generator) % 10 {
            0 => Body::Heartbeat(Heartbeat {
                sent: heartbeat_time(generator),
                echo: heartbeat_time(generator),
                can_replicate: bool::arbitrary(generator),
                leaving: bool::arbitrary(generator),
                bootstrap: bool::arbitrary(generator),
                failure_domain: FailureDomain {
                    zone: u32::arbitrary(generator),
                    region: u32::arbitrary(generator),
                },
                committed: position(generator),
                heard_members: members(generator),
            }),
            1 => Body::Prepare {
                ballot: ballot(generator),
            },
            2 => Body::Accept(Accepted {
                ballot: ballot(generator),
                view: view(generator),
            }),
            3 => Body::Accepted {
                ballot: ballot(generator),
            },
            4 => Body::Decided(view(generator)),
            5 => Body::RequestView,
            6 => Body::Committed(state(generator)),
            7 => Body::RequestActive,
            8 => Body::Active,
            _ => Body::Superseded {
                promised: ballot(generator),
            },
        };
        Generated(Envelope {
            from: member(generator),
            epoch: u64::arbitrary(generator),
            body,
        })
    }
}

quickcheck! {
    fn records_round_trip(record: Generated<Record>) -> bool {
        Record::decode(&record.0.encode()).is_ok_and(|decoded| decoded == record.0)
    }

    fn messages_round_trip(envelope: Generated<Envelope>) -> bool {
        Envelope::decode(&envelope.0.encode()).is_ok_and(|decoded| decoded == envelope.0)
    }

    fn snapshots_round_trip(records: Vec<Generated<Record>>) -> bool {
        let mut durable = Durable::new(7, true, View::default());
        for Generated(record) in &records {
            durable.apply(record);
        }
        Durable::decode(&durable.encode()).is_ok_and(|decoded| decoded == durable)
    }

    fn truncated_messages_are_rejected(envelope: Generated<Envelope>, length: usize) -> bool {
        let bytes = envelope.0.encode();
        let length = length % bytes.len();
        Envelope::decode(&bytes[..length]).is_err()
    }

    fn messages_of_another_version_are_rejected(envelope: Generated<Envelope>, version: u8) -> bool {
        let mut bytes = envelope.0.encode();
        let own = std::mem::replace(&mut bytes[0], version);
        let decoded = Envelope::decode(&bytes);
        version == own
            || matches!(decoded, Err(DecodeError::MessageVersion { found }) if found == version)
    }

    fn arbitrary_bytes_cause_no_panic(bytes: Vec<u8>) -> bool {
        for version in 0..4 {
            let versioned = [&[version], &bytes[..]].concat();
            let results =
                (Envelope::decode(&versioned), Record::decode(&versioned), Durable::decode(&versioned));
            drop(results);
        }
        Envelope::decode(&[]).is_err() && Record::decode(&[9]).is_err()
    }
}
