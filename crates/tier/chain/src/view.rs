//! The agreed view of the core.

use std::fmt;
use std::net::{Ipv4Addr, SocketAddrV4};

use snafu::{Snafu, ensure};
use speedy::{Context, Readable, Reader, Writable, Writer};

/// A core machine with one life of its disk.
///
/// The identity is drawn when an empty disk is first used: a machine that lost its disk has forgotten its
/// promises and is another member.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct MemberId {
    /// Internal address.
    pub address: SocketAddrV4,
    /// Identity of the disk, 0 where it isn't known (the voters of epoch 0).
    pub identity: u64,
}

impl fmt::Debug for MemberId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}/{:04x}", self.address, self.identity & 0xffff)
    }
}

impl<C: Context> Writable<C> for MemberId {
    fn write_to<T: ?Sized + Writer<C>>(&self, writer: &mut T) -> Result<(), C::Error> {
        writer.write_u32(u32::from(*self.address.ip()))?;
        writer.write_u16(self.address.port())?;
        writer.write_u64(self.identity)
    }
}

impl<'a, C: Context> Readable<'a, C> for MemberId {
    fn read_from<R: Reader<'a, C>>(reader: &mut R) -> Result<Self, C::Error> {
        let ip = Ipv4Addr::from(reader.read_u32()?);
        let port = reader.read_u16()?;
        let identity = reader.read_u64()?;
        Ok(MemberId {
            address: SocketAddrV4::new(ip, port),
            identity,
        })
    }

    fn minimum_bytes_needed() -> usize {
        14
    }
}

/// A view: who votes on the next one, and who replicates the control state.
#[derive(Clone, Debug, Default, PartialEq, Eq, Readable, Writable)]
pub struct View {
    pub epoch: u64,
    /// Members whose majority decides the next view.
    pub voters: Vec<MemberId>,
    /// Members that replicate the state, head first. Part of the voters.
    pub chain: Vec<MemberId>,
    /// Whoever has been active in this epoch or a later one holds every write that was committed before the
    /// view's epoch.
    pub floor: u64,
}

/// A view that no proposer makes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
pub enum ViewError {
    #[snafu(display("the view of epoch {epoch} has no voters"))]
    NoVoters { epoch: u64 },
    #[snafu(display("the view of epoch {epoch} names a member twice"))]
    NamedTwice { epoch: u64 },
    #[snafu(display("the chain of epoch {epoch} has {member:?}, who does not vote"))]
    Stranger { epoch: u64, member: MemberId },
    #[snafu(display("the view of epoch {epoch} has a floor above it, {floor}"))]
    Floor { epoch: u64, floor: u64 },
}

impl View {
    /// The view that a system starts from: the seeds vote, known by address only.
    pub fn bootstrap(seeds: &[SocketAddrV4]) -> View {
        let voters = seeds
            .iter()
            .map(|&address| MemberId {
                address,
                identity: 0,
            })
            .collect();
        View {
            epoch: 0,
            voters,
            chain: Vec::new(),
            floor: 0,
        }
    }

    /// How many voters decide.
    pub fn majority(&self) -> usize {
        self.voters.len() / 2 + 1
    }

    /// Whether `member` votes on the view after this one.
    pub fn is_voter(&self, member: MemberId) -> bool {
        if self.epoch == 0 {
            return self
                .voters
                .iter()
                .any(|voter| voter.address == member.address);
        }
        self.voters.contains(&member)
    }

    /// Checks what holds of every view that a proposer makes.
    pub fn check(&self) -> Result<(), ViewError> {
        ensure!(!self.voters.is_empty(), NoVotersSnafu { epoch: self.epoch });
        let is_named_twice = |members: &[MemberId]| {
            (1..members.len()).any(|place| members[..place].contains(&members[place]))
        };
        let is_twice = is_named_twice(&self.voters) || is_named_twice(&self.chain);
        ensure!(!is_twice, NamedTwiceSnafu { epoch: self.epoch });
        let stranger = self
            .chain
            .iter()
            .find(|member| !self.voters.contains(member));
        if let Some(&member) = stranger {
            return StrangerSnafu {
                epoch: self.epoch,
                member,
            }
            .fail();
        }
        ensure!(
            self.floor <= self.epoch,
            FloorSnafu {
                epoch: self.epoch,
                floor: self.floor
            }
        );
        Ok(())
    }

    pub fn head(&self) -> Option<MemberId> {
        self.chain.first().copied()
    }

    /// Whether every majority of the voters has a member of the chain among it. A chain that doesn't meet
    /// them all commits nothing: its epoch could end without it.
    pub fn meets_every_majority(&self) -> bool {
        let in_chain = self
            .voters
            .iter()
            .filter(|voter| self.chain.contains(voter))
            .count();
        in_chain + self.majority() > self.voters.len()
    }

    pub fn is_tail(&self, member: MemberId) -> bool {
        self.chain.last() == Some(&member)
    }

    pub fn predecessor(&self, member: MemberId) -> Option<MemberId> {
        let position = self.chain.iter().position(|&other| other == member)?;
        position.checked_sub(1).map(|previous| self.chain[previous])
    }

    pub fn successor(&self, member: MemberId) -> Option<MemberId> {
        let position = self.chain.iter().position(|&other| other == member)?;
        self.chain.get(position + 1).copied()
    }
}
