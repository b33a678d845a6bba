//! Builders of co-ordinators, searches and outcomes for the tests.

use woadreach_routing::api::{
    CellId, Ending, ListedReplica, Outcome, Part, PartId, Placement, QueryTypeId, ReplicaId,
    Search, SearchId, Settings, ShardId, TenantId, ZoneId,
};
use woadreach_routing::balancer::Balancer;

pub(crate) fn replica_id(name: &str) -> ReplicaId {
    ReplicaId(name.into())
}

pub(crate) fn listed(name: &str, open: bool, ready_at: Option<f64>) -> ListedReplica {
    ListedReplica {
        replica: replica_id(name),
        open,
        zone: ZoneId(0),
        cell: CellId(0),
        ready_at,
    }
}

/// A co-ordinator with these replicas, all of them open and warm.
pub(crate) fn balancer_of(settings: Settings, names: &[&str]) -> Balancer {
    let mut balancer = Balancer::new(settings);
    let lines: Vec<ListedReplica> = names.iter().map(|name| listed(name, true, None)).collect();
    balancer.apply_endpoint_list(true, &lines);
    balancer
}

/// A search of `parts` parts of equal weight, with identifiers from 100 times that of the search.
pub(crate) fn new_search(n: u64, parts: usize, now: f64, time_remaining: f64) -> Search {
    let mut search = Search::new(
        SearchId(n),
        QueryTypeId(0),
        TenantId(0),
        now,
        now + time_remaining,
    );
    add_parts(&mut search, n * 100, parts);
    search
}

pub(crate) fn add_parts(search: &mut Search, from: u64, parts: usize) {
    for i in 0..parts {
        search.parts.push(Part {
            id: PartId(from + i as u64),
            shard: ShardId(i as u64),
            weight: 1.0 / parts as f64,
            step: search.step,
            answered: false,
            queued_for: None,
            attempts: Vec::new(),
        });
    }
}

pub(crate) fn outcome(
    placement: &Placement,
    attempt_index: usize,
    ending: Ending,
    latency: f64,
) -> Outcome {
    Outcome {
        part: placement.part,
        attempt_index,
        replica: placement.replica.clone(),
        ending,
        latency,
    }
}

/// Places one-part searches until one is sent to the replica `name`, and answers the others at once. Returns the search
/// and its placement, which is still in flight.
pub(crate) fn search_in_flight_at(
    balancer: &mut Balancer,
    name: &str,
    now: f64,
) -> (Search, Placement) {
    for n in 1000..1500 {
        let mut search = new_search(n, 1, now, 3.0);
        let placement = balancer.place(now, &mut search).send[0].clone();
        if placement.replica == replica_id(name) {
            return (search, placement);
        }
        balancer.attempt_finished(
            now,
            Some(&mut search),
            &outcome(&placement, 0, Ending::Answered, 0.1),
        );
    }
    panic!("no search was sent to replica {name}")
}
