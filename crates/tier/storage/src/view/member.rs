//! One machine of the membership, and its encoding in a [`StorageView`](crate::StorageView).

use std::net::{Ipv4Addr, SocketAddr};

use speedy::{Context, Readable, Reader, Writable, Writer};

/// One storage machine with its disk.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StorageMember {
    /// Name of the machine.
    pub node: String,
    /// Identity of its disk; a replacement disk has a new identity.
    pub disk: u64,
    /// Address for the tier's own traffic (IPv4).
    pub address: SocketAddr,
    /// Zone of the machine.
    pub zone: String,
}

/// Encoding of a [`StorageMember`].
#[derive(Readable, Writable)]
struct MemberMessage {
    node: String,
    disk: u64,
    ip: u32,
    port: u16,
    zone: String,
}

impl<'a, C: Context> Readable<'a, C> for StorageMember {
    fn read_from<R: Reader<'a, C>>(reader: &mut R) -> Result<Self, C::Error> {
        let message = MemberMessage::read_from(reader)?;
        let address = SocketAddr::from((Ipv4Addr::from(message.ip), message.port));
        Ok(StorageMember {
            node: message.node,
            disk: message.disk,
            address,
            zone: message.zone,
        })
    }

    fn minimum_bytes_needed() -> usize {
        <MemberMessage as Readable<'a, C>>::minimum_bytes_needed()
    }
}

impl<C: Context> Writable<C> for StorageMember {
    fn write_to<W: ?Sized + Writer<C>>(&self, writer: &mut W) -> Result<(), C::Error> {
        let ip = match self.address {
            SocketAddr::V4(address) => *address.ip(),
            SocketAddr::V6(_) => Ipv4Addr::UNSPECIFIED,
        };
        let message = MemberMessage {
            node: self.node.clone(),
            disk: self.disk,
            ip: ip.into(),
            port: self.address.port(),
            zone: self.zone.clone(),
        };
        message.write_to(writer)
    }
}
