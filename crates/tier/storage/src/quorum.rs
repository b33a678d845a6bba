//! Progress of one operation over a program's group, under one view: a majority quorum or, in a joint epoch, one of
//! each group (joint consensus, Ongaro, Consensus: Bridging Theory and Practice, §4.3). A
//! [`Write`](crate::write::Write) is durable once its quorum is reached.

use crate::placement::{group, read_quorum, write_quorum};
use crate::view::{StorageMember, StorageView};

/// Number of answers that an operation needs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum QuorumKind {
    /// Enough that the write survives the tolerated losses and intersects every later read.
    Write,
    /// Enough to intersect every earlier write. Only the client of the storage simulation uses it;
    /// [`StorageClient`](crate::StorageClient) reads from the first machine that has the turn, and reports it as
    /// not found only once all machines have answered.
    Read,
}

/// Disks of one group, and those of them that have answered.
#[derive(Debug, Clone)]
struct GroupQuorum {
    disks: Vec<u64>,
    /// Those of `disks` that have answered, each once.
    answered: Vec<u64>,
    /// Number of answers required for the quorum.
    needed: usize,
}

impl GroupQuorum {
    fn new(
        members: &[StorageMember],
        program: &str,
        tolerated_losses: usize,
        kind: QuorumKind,
    ) -> GroupQuorum {
        let disks: Vec<u64> = group(members, program, tolerated_losses)
            .iter()
            .map(|member| member.disk)
            .collect();
        let needed = match kind {
            QuorumKind::Write => write_quorum(disks.len(), tolerated_losses),
            QuorumKind::Read => read_quorum(disks.len(), tolerated_losses),
        };
        GroupQuorum {
            disks,
            answered: Vec::new(),
            needed,
        }
    }

    fn record_answer(&mut self, disk: u64) {
        if self.disks.contains(&disk) && !self.answered.contains(&disk) {
            self.answered.push(disk);
        }
    }

    fn is_reached(&self) -> bool {
        self.answered.len() >= self.needed
    }
}

/// Answers of the program's current group and, in a joint epoch, of its next one.
#[derive(Debug, Clone)]
pub struct Quorum {
    /// One group, or two in a joint epoch.
    groups: Vec<GroupQuorum>,
    /// Members of all groups, each disk once.
    members: Vec<StorageMember>,
}

impl Quorum {
    /// A quorum for an operation on `program` under `view`, without answers yet.
    #[must_use]
    pub fn new(
        view: &StorageView,
        program: &str,
        tolerated_losses: usize,
        kind: QuorumKind,
    ) -> Quorum {
        let mut groups = Vec::with_capacity(2);
        let mut members: Vec<StorageMember> = Vec::new();
        for membership in view.memberships() {
            groups.push(GroupQuorum::new(
                membership,
                program,
                tolerated_losses,
                kind,
            ));
            for member in group(membership, program, tolerated_losses) {
                if !members.iter().any(|known| known.disk == member.disk) {
                    members.push(member.clone());
                }
            }
        }
        Quorum { groups, members }
    }

    /// Machines that the operation is sent to.
    #[must_use]
    pub fn members(&self) -> &[StorageMember] {
        &self.members
    }

    /// Records an answer of the machine with `disk`; repeated answers of a disk count once.
    pub fn record_answer(&mut self, disk: u64) {
        for group_quorum in &mut self.groups {
            group_quorum.record_answer(disk);
        }
    }

    /// Whether enough machines of each group have answered.
    #[must_use]
    pub fn is_reached(&self) -> bool {
        self.groups.iter().all(GroupQuorum::is_reached)
    }
}
