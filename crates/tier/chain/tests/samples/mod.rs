//! Values whose bytes are recorded: members, views, ballots, commands and the control state. `records` and
//! `messages` contain records, snapshots and messages composed of them.

pub(crate) mod messages;
pub(crate) mod records;

use std::net::{Ipv4Addr, SocketAddrV4};

use woadreach_chain::{
    Accepted, AppliedConfiguration, Ballot, Blob, Command, ControlState, MemberId,
    PutConfiguration, PutStorageView, StoredConfiguration, StoredStorageView, View, WritePosition,
};

pub(crate) fn member(number: u8) -> MemberId {
    let address = SocketAddrV4::new(Ipv4Addr::new(10, 1, 0, number), 7380);
    MemberId {
        address,
        identity: 0x1122_3344_5566_7700 + u64::from(number),
    }
}

pub(crate) fn members(numbers: &[u8]) -> Vec<MemberId> {
    numbers.iter().copied().map(member).collect()
}

pub(crate) fn view(epoch: u64, voters: &[u8], chain: &[u8], floor: u64) -> View {
    View {
        epoch,
        voters: members(voters),
        chain: members(chain),
        floor,
    }
}

pub(crate) fn ballot(round: u64, proposer: u8) -> Ballot {
    Ballot {
        round,
        proposer: member(proposer),
    }
}

pub(crate) fn accepted() -> Accepted {
    Accepted {
        ballot: ballot(9, 2),
        view: view(6, &[1, 2, 3], &[2, 3], 4),
    }
}

pub(crate) fn put_configuration() -> Command {
    Command::PutConfiguration(PutConfiguration {
        base: 3,
        generation: 7,
        digest: *b"sixteen bytes...",
        body: Blob::from(br#"{"generation":7}"#.to_vec()),
    })
}

pub(crate) fn put_storage_view() -> Command {
    Command::PutStorageView(PutStorageView {
        expected_epoch: 2,
        epoch: 3,
        bytes: Blob::from(vec![1, 0, 255]),
    })
}

pub(crate) fn state() -> ControlState {
    ControlState {
        position: WritePosition {
            epoch: 5,
            number: 12,
        },
        configuration: Some(StoredConfiguration {
            generation: 7,
            digest: *b"sixteen bytes...",
            body: Blob::from(br#"{"generation":7}"#.to_vec()),
        }),
        storage_view: Some(StoredStorageView {
            epoch: 3,
            bytes: Blob::from(vec![1, 0, 255]),
        }),
        applied: vec![
            AppliedConfiguration {
                generation: 3,
                digest: [3; 16],
            },
            AppliedConfiguration {
                generation: 7,
                digest: *b"sixteen bytes...",
            },
        ],
    }
}
