//! From the wire's values to the module's plain types.

use serde_json::Value;
use woadreach_routing::api::*;

pub fn seconds(v: &Value) -> Option<f64> {
    v.as_f64().map(|ms| ms / 1000.0)
}

pub fn replica(v: &Value) -> Option<ReplicaId> {
    v.as_str().map(|s| ReplicaId(s.into()))
}

/// A line of a list; None if it is malformed.
pub fn listed(v: &Value) -> Option<Listed> {
    Some(Listed {
        open: v.get(0)?.as_str()? == "U",
        zone: ZoneId(v.get(2)?.as_u64()?),
        cell: CellId(v.get(3)?.as_u64()?),
        replica: replica(v.get(4)?)?,
        ready_at: v.get(5).and_then(seconds).filter(|t| *t > 0.0),
    })
}

pub fn ending(v: &Value) -> Option<Ending> {
    Some(match v.as_str()? {
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

/// `["closedAttempt", part, attempt_index, replica, disposition, rtt, ...]`
pub fn outcome(v: &Value) -> Option<Outcome> {
    Some(Outcome {
        part: PartId(v.get(1)?.as_u64()?),
        attempt_index: v.get(2)?.as_u64()? as usize,
        replica: replica(v.get(3)?)?,
        ending: ending(v.get(4)?)?,
        latency: v.get(5).and_then(seconds).unwrap_or(0.0),
    })
}
