//! Identifiers of what the decisions are about.

use std::rc::Rc;

/// A search, unique within a co-ordinator.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct SearchId(pub u64);

/// A part of a search, unique within a co-ordinator.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct PartId(pub u64);

/// An attempt of a part.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct AttemptId {
    /// The part.
    pub part: PartId,
    /// Its index among the attempts of the part.
    pub index: usize,
}

/// An index into `Settings::query_types`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct QueryTypeId(pub usize);

/// An index into `Settings::tenants`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct TenantId(pub usize);

/// A shard of the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ShardId(pub u64);

/// A group of replicas that hold the same shards.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct CellId(pub u64);

/// A failure domain: a zone whose replicas fail together.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ZoneId(pub u64);

/// A replica, by its name in the endpoint list.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ReplicaId(pub Rc<str>);
