//! One machine of the searched core: the real member, and its disk with synced and unsynced records.

use std::collections::hash_map::DefaultHasher;
use std::hash::{Hash, Hasher};
use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::Duration;

use woadreach_chain::{
    Durable, FailureDomain, Member, MemberId, MemberOptions, Record, Tolerance, View,
};

/// A machine in one incarnation of its process.
#[derive(Clone)]
pub(crate) struct Machine {
    pub member: Member,
    /// State on the disk after a power loss.
    pub synced: Durable,
    /// Records that the disk has not synced yet, with their numbers.
    pub unsynced: Vec<(u64, Record)>,
    pub is_leaving: bool,
    /// Whether the machine has exchanged heartbeats with the others in this incarnation.
    pub has_exchanged_heartbeats: bool,
    /// Hash of the fields above; `None` after a change, until it is computed again.
    digest: Option<u64>,
}

pub(crate) fn address(index: usize) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(10, 0, 0, index as u8 + 1), 7000)
}

pub(crate) fn index_of(address: SocketAddrV4) -> usize {
    usize::from(address.ip().octets()[3]) - 1
}

pub(crate) fn first_identity(index: usize) -> MemberId {
    MemberId {
        address: address(index),
        identity: index as u64 + 1,
    }
}

impl Machine {
    /// Starts a process with the synced state `durable`.
    pub(crate) fn start(now: Duration, index: usize, faults: usize, durable: Durable) -> Machine {
        let options = MemberOptions {
            address: address(index),
            seeds: Vec::new(),
            tolerance: Tolerance {
                machines: faults,
                ..Tolerance::default()
            },
            failure_domain: FailureDomain::default(),
            random_seed: index as u64,
        };
        let member = Member::new(now, options, durable.clone());
        Machine {
            member,
            synced: durable,
            unsynced: Vec::new(),
            is_leaving: false,
            has_exchanged_heartbeats: false,
            digest: None,
        }
    }

    /// The disk of a machine in the first view. Voters were active in the previous epoch.
    pub(crate) fn first_disk(index: usize, view: &View, is_active: bool) -> Durable {
        let identity = first_identity(index);
        let mut durable = Durable::new(identity.identity, true, View::default());
        if view.is_voter(identity) {
            durable.apply(&Record::Activate(view.epoch - 1));
        }
        durable.apply(&Record::View(view.clone()));
        if is_active {
            durable.apply(&Record::Activate(view.epoch));
        }
        durable
    }

    /// State on the disk after a crash, if the first `retained` of the unsynced records were written.
    pub(crate) fn disk_after_crash(&self, retained: usize) -> Durable {
        let mut durable = self.synced.clone();
        self.unsynced
            .iter()
            .take(retained)
            .for_each(|(_, record)| durable.apply(record));
        durable
    }

    /// Syncs every record and returns the last one's number.
    pub(crate) fn sync(&mut self) -> Option<u64> {
        let last = self.unsynced.last().map(|(number, _)| *number);
        for (_, record) in self.unsynced.drain(..) {
            self.synced.apply(&record);
        }
        last
    }

    pub(crate) fn id(&self) -> MemberId {
        self.member.id()
    }

    pub(crate) fn epoch(&self) -> u64 {
        self.member.durable().view.epoch
    }

    /// Whether the member is the head of its view, active and not sealed.
    pub(crate) fn is_serving_head(&self, now: Duration) -> bool {
        self.member.status(now).is_head
    }

    /// Must be called after each change of the machine.
    pub(crate) fn forget_digest(&mut self) {
        self.digest = None;
    }

    pub(crate) fn has_digest(&self) -> bool {
        self.digest.is_some()
    }

    pub(crate) fn compute_digest(&mut self) {
        let mut text = String::with_capacity(4096);
        self.member.write_canonical(&mut text);
        let mut hasher = DefaultHasher::new();
        text.hash(&mut hasher);
        (
            self.unsynced.len(),
            self.is_leaving,
            self.has_exchanged_heartbeats,
        )
            .hash(&mut hasher);
        self.digest = Some(hasher.finish());
    }

    pub(crate) fn digest(&self) -> u64 {
        self.digest.expect("computed at the end of each action")
    }
}
