//! Identifiers of searches, parts, attempts, replicas and their groups.

use std::rc::Rc;

/// Identifier of a search, unique within a co-ordinator.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct SearchId(pub u64);

/// Identifier of a part of a search, unique within a co-ordinator.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct PartId(pub u64);

/// Identifier of an attempt of a part.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct AttemptId {
    /// Part that the attempt belongs to.
    pub part: PartId,
    /// Index of the attempt among those of the part, from 0.
    pub index: usize,
}

/// Identifier of a query type: an index into `Settings::query_types`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct QueryTypeId(pub usize);

/// Identifier of a tenant: an index into `Settings::tenants`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct TenantId(pub usize);

/// Identifier of a shard of the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ShardId(pub u64);

/// Identifier of a cell: a group of replicas that hold the same shards.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct CellId(pub u64);

/// Identifier of a zone: a failure domain whose replicas can fail together.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ZoneId(pub u64);

/// Identifier of a replica: its name in the endpoint list.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ReplicaId(pub Rc<str>);
