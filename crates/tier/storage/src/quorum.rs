//! Progress of one operation over a program's group, under one view.

use crate::placement::{group, read_quorum, write_quorum};
use crate::view::{StorageMember, StorageView};

/// Which answers an operation waits for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Need {
    /// Enough that the write survives and is met by every later read.
    Write,
    /// Enough to meet every earlier write.
    Read,
}

/// One group and who of it has answered.
#[derive(Debug, Clone)]
struct Side {
    disks: Vec<u64>,
    answered: Vec<u64>,
    needed: usize,
}

impl Side {
    fn new(members: &[StorageMember], program: &str, tolerated: usize, need: Need) -> Side {
        let disks: Vec<u64> = group(members, program, tolerated)
            .iter()
            .map(|member| member.disk)
            .collect();
        let needed = match need {
            Need::Write => write_quorum(disks.len(), tolerated),
            Need::Read => read_quorum(disks.len(), tolerated),
        };
        Side {
            disks,
            answered: Vec::new(),
            needed,
        }
    }

    fn answered(&mut self, disk: u64) {
        if self.disks.contains(&disk) && !self.answered.contains(&disk) {
            self.answered.push(disk);
        }
    }

    fn reached(&self) -> bool {
        self.answered.len() >= self.needed
    }
}

/// Answers of the program's present group and, in a joint epoch, of its next one.
#[derive(Debug, Clone)]
pub struct Quorum {
    sides: Vec<Side>,
    members: Vec<StorageMember>,
}

impl Quorum {
    /// Starts an operation on `program` under `view`.
    #[must_use]
    pub fn new(view: &StorageView, program: &str, tolerated: usize, need: Need) -> Quorum {
        let mut sides = Vec::with_capacity(2);
        let mut members: Vec<StorageMember> = Vec::new();
        for list in std::iter::once(&view.current).chain(&view.next) {
            sides.push(Side::new(list, program, tolerated, need));
            for member in group(list, program, tolerated) {
                if !members.iter().any(|known| known.disk == member.disk) {
                    members.push(member.clone());
                }
            }
        }
        Quorum { sides, members }
    }

    /// Machines that the operation is sent to.
    #[must_use]
    pub fn members(&self) -> &[StorageMember] {
        &self.members
    }

    /// Counts an answer.
    pub fn answered(&mut self, disk: u64) {
        for side in &mut self.sides {
            side.answered(disk);
        }
    }

    /// Whether enough have answered.
    #[must_use]
    pub fn reached(&self) -> bool {
        self.sides.iter().all(Side::reached)
    }
}
