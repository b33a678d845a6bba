//! Shared by the tests of single members and functions.

use std::net::{Ipv4Addr, SocketAddrV4};

use woadreach_chain::MemberId;

/// The member with this number, with its first disk.
pub(crate) fn member_id(number: u8) -> MemberId {
    let address = SocketAddrV4::new(Ipv4Addr::new(10, 0, 0, number), 7000);
    MemberId {
        address,
        identity: u64::from(number),
    }
}
