//! Views: the agreed membership of the core. A reconfiguration decides a view, and replication runs within one.

use std::fmt;
use std::net::{Ipv4Addr, SocketAddrV4};

use snafu::{Snafu, ensure};
use speedy::{Context, Readable, Reader, Writable, Writer};

/// A core machine together with its disk.
///
/// The identity is drawn when an empty disk is first used. A machine whose disk was lost or replaced has lost
/// its Paxos promises, so it is a new member and must not vote under its earlier identity.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct MemberId {
    /// Internal address of the machine.
    pub address: SocketAddrV4,
    /// Identity of the disk; 0 if unknown, as for the voters of epoch 0.
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

/// A view: the members that vote on the next one and those that replicate the control state.
#[derive(Clone, Debug, Default, PartialEq, Eq, Readable, Writable)]
pub struct View {
    /// Number of the view, one above that of the previous view; 0 before the first view is decided.
    pub epoch: u64,
    /// Members whose majority decides the next view.
    pub voters: Vec<MemberId>,
    /// Members that replicate the state, from head to tail. Each must be a voter.
    pub chain: Vec<MemberId>,
    /// An epoch with this guarantee: a member that was active in it or in a later one has every write that was
    /// committed before the view's epoch. Must not be above `epoch`.
    pub floor: u64,
}

/// Invariant that a view violates; see [`View::check`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
pub enum ViewError {
    /// The view has no voters, so the next view could never be decided.
    #[snafu(display("the view of epoch {epoch} has no voters"))]
    NoVoters {
        /// Epoch of the view.
        epoch: u64,
    },
    /// The voters or the chain contain a member twice.
    #[snafu(display("the view of epoch {epoch} contains a member twice"))]
    DuplicateMember {
        /// Epoch of the view.
        epoch: u64,
    },
    /// A member of the chain is not a voter.
    #[snafu(display("the chain of epoch {epoch} contains {member:?}, which is not a voter"))]
    ChainMemberWithoutVote {
        /// Epoch of the view.
        epoch: u64,
        /// The member of the chain that is not a voter.
        member: MemberId,
    },
    /// The floor is above the epoch.
    #[snafu(display("the view of epoch {epoch} has the floor {floor}, which is above its epoch"))]
    Floor {
        /// Epoch of the view.
        epoch: u64,
        /// Floor of the view.
        floor: u64,
    },
}

impl View {
    /// The view of epoch 0, used in the first start of a system. Its voters are the seeds, which are known by
    /// address only, and its chain is empty.
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

    /// Number of voters in the smallest majority.
    pub fn majority(&self) -> usize {
        self.voters.len() / 2 + 1
    }

    /// Whether `member` votes on the view after this one. Voters of epoch 0 are compared by address only.
    pub fn is_voter(&self, member: MemberId) -> bool {
        if self.epoch == 0 {
            return self
                .voters
                .iter()
                .any(|voter| voter.address == member.address);
        }
        self.voters.contains(&member)
    }

    /// Checks the invariants of a view: it has voters, no member occurs twice, each member of the chain is a
    /// voter, and the floor is not above the epoch.
    ///
    /// # Errors
    ///
    /// [`ViewError`] for the first invariant that is violated.
    pub fn check(&self) -> Result<(), ViewError> {
        ensure!(!self.voters.is_empty(), NoVotersSnafu { epoch: self.epoch });
        let has_duplicate = |members: &[MemberId]| {
            (1..members.len()).any(|index| members[..index].contains(&members[index]))
        };
        let is_duplicate = has_duplicate(&self.voters) || has_duplicate(&self.chain);
        ensure!(!is_duplicate, DuplicateMemberSnafu { epoch: self.epoch });
        let non_voter = self
            .chain
            .iter()
            .find(|member| !self.voters.contains(member));
        if let Some(&member) = non_voter {
            return ChainMemberWithoutVoteSnafu {
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

    /// The first member of the chain, which accepts commands; `None` if the chain is empty.
    pub fn head(&self) -> Option<MemberId> {
        self.chain.first().copied()
    }

    /// Whether every majority of the voters contains a member of the chain. Otherwise a majority could seal
    /// the epoch and decide the next view without any member of the chain, so the chain must commit nothing.
    pub fn intersects_every_majority(&self) -> bool {
        let in_chain = self
            .voters
            .iter()
            .filter(|voter| self.chain.contains(voter))
            .count();
        in_chain + self.majority() > self.voters.len()
    }

    /// Whether `member` is the last member of the chain. Writes that the tail has persisted are committed.
    pub fn is_tail(&self, member: MemberId) -> bool {
        self.chain.last() == Some(&member)
    }

    /// The member before `member` in the chain; `None` at the head and outside the chain.
    pub fn predecessor(&self, member: MemberId) -> Option<MemberId> {
        let position = self.chain.iter().position(|&other| other == member)?;
        position.checked_sub(1).map(|previous| self.chain[previous])
    }

    /// The member after `member` in the chain; `None` at the tail and outside the chain.
    pub fn successor(&self, member: MemberId) -> Option<MemberId> {
        let position = self.chain.iter().position(|&other| other == member)?;
        self.chain.get(position + 1).copied()
    }
}
