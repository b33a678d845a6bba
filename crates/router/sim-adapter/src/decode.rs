//! Decoding of the simulator's events into the types of the routing decisions. Malformed values decode to `None`.

use crate::actions::MS_PER_SECOND;
use serde_json::Value;
use woadreach_routing::api::{
    CellId, Ending, ListedReplica, Outcome, PartId, QueryTypeId, ReplicaId, SearchId, Seconds,
    ShardId, Share, TenantId, ZoneId,
};

/// Bit in the options of a request that marks it as a retry.
const OPTION_RETRY: u64 = 2;

/// A time in seconds. The protocol has it in milliseconds.
pub(crate) fn seconds(value: &Value) -> Option<Seconds> {
    value.as_f64().map(|ms| ms / MS_PER_SECOND)
}

fn replica(value: &Value) -> Option<ReplicaId> {
    value.as_str().map(|name| ReplicaId(name.into()))
}

/// A line of an endpoint list: `[state, _, zone, cell, replica, ready_at, ...]`. A replica is open in state `"U"`.
pub(crate) fn listed(value: &Value) -> Option<ListedReplica> {
    Some(ListedReplica {
        open: value.get(0)?.as_str()? == "U",
        zone: ZoneId(value.get(2)?.as_u64()?),
        cell: CellId(value.get(3)?.as_u64()?),
        replica: replica(value.get(4)?)?,
        ready_at: value.get(5).and_then(seconds).filter(|at| *at > 0.0),
    })
}

fn ending(value: &Value) -> Option<Ending> {
    Some(match value.as_str()? {
        "served" => Ending::Answered,
        "server_error" => Ending::Errored,
        "turned_away" => Ending::Full,
        "no_answer" => Ending::TimedOut,
        "no_connection" => Ending::Unreachable,
        "connection_lost" => Ending::Broken,
        "called_off" => Ending::Cancelled,
        "not_sent" => Ending::NeverSent,
        _ => return None,
    })
}

/// Outcome of an attempt: `["closedAttempt", part, attempt_index, replica, disposition, rtt, ...]`.
pub(crate) fn outcome(event: &Value) -> Option<Outcome> {
    Some(Outcome {
        part: PartId(event.get(1)?.as_u64()?),
        attempt_index: event.get(2)?.as_u64()? as usize,
        replica: replica(event.get(3)?)?,
        ending: ending(event.get(4)?)?,
        latency: event.get(5).and_then(seconds).unwrap_or(0.0),
    })
}

/// Content of a `newRequest` event.
pub(crate) enum Arrival {
    Search(SearchArrival),
    Part(PartArrival),
}

/// A new search. Its parts arrive in later events.
pub(crate) struct SearchArrival {
    pub(crate) search: SearchId,
    /// Simulator's number of the query, by which the parts refer to their search.
    pub(crate) query: u64,
    pub(crate) query_type: QueryTypeId,
    pub(crate) tenant: TenantId,
    /// Time that remains until the client's deadline.
    pub(crate) client_timeout: Seconds,
    pub(crate) is_retry: bool,
}

/// A new part of a search.
pub(crate) struct PartArrival {
    pub(crate) part: PartId,
    /// Query number of the part's search.
    pub(crate) query: u64,
    pub(crate) shard: ShardId,
    pub(crate) weight: Share,
}

/// New search or part: `["newRequest", id, class, tenant, key, left, hint, query, segment, amount, options]`. The
/// segment is negative for a search, and the shard for a part.
pub(crate) fn arrival(event: &Value) -> Option<Arrival> {
    let id = event.get(1)?.as_u64()?;
    let query = event.get(7)?.as_u64()?;
    let segment = event.get(8)?.as_f64()?;
    if segment >= 0.0 {
        return Some(Arrival::Part(PartArrival {
            part: PartId(id),
            query,
            shard: ShardId(segment as u64),
            weight: event.get(9).and_then(Value::as_f64).unwrap_or(0.0),
        }));
    }
    let options = event.get(10).and_then(Value::as_u64).unwrap_or(0);
    let tenant = event.get(3).and_then(Value::as_u64).unwrap_or(0);
    Some(Arrival::Search(SearchArrival {
        search: SearchId(id),
        query,
        query_type: QueryTypeId(event.get(2)?.as_u64()? as usize),
        tenant: TenantId(tenant as usize),
        client_timeout: event.get(5).and_then(seconds)?,
        is_retry: options & OPTION_RETRY != 0,
    }))
}
