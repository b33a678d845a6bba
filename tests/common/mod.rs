//! Helpers for the tests of the module: small settings, a list, searches.

use woadreach::api::*;
use woadreach::balance::Balancer;

pub fn query_type() -> QueryType {
    QueryType {
        latency_target: 1.0,
        client_timeout: 3.0,
        value: 1.0,
        late_value: 0.0,
        repeat: Repeat::Idempotent,
        need: 1.0,
        floor: 1.0,
        second_step: 0,
    }
}

pub fn settings() -> Settings {
    Settings {
        seed: 7,
        siblings: 2,
        tick: 0.005,
        query_types: vec![query_type()],
        tenants: vec![1.0],
        over_share_value: 0.1,
        cells: 1,
        span: 1,
        per_call: 1,
        sub_requests_cap: 4,
        may_cancel: true,
        may_copy: true,
        longest_retry_advice: Some(0.5),
        cold: None,
        budget: None,
    }
}

pub fn id(name: &str) -> ReplicaId {
    ReplicaId(name.into())
}

pub fn line(name: &str, open: bool, ready_at: Option<f64>) -> Listed {
    Listed { replica: id(name), open, zone: ZoneId(0), cell: CellId(0), ready_at }
}

/// A co-ordinator that has been told of these replicas, all warm.
pub fn balancer(set: Settings, names: &[&str]) -> Balancer {
    let mut b = Balancer::new(set);
    b.list(true, &names.iter().map(|n| line(n, true, None)).collect::<Vec<_>>());
    b
}

/// A search of `parts` equal parts, numbered from 100 times its own number.
pub fn search(n: u64, parts: usize, now: f64, left: f64) -> Search {
    let mut q = Search::new(SearchId(n), QueryTypeId(0), TenantId(0), now, now + left);
    add_parts(&mut q, n * 100, parts);
    q
}

pub fn add_parts(q: &mut Search, from: u64, parts: usize) {
    for i in 0..parts {
        q.parts.push(Part {
            id: PartId(from + i as u64),
            shard: ShardId(i as u64),
            weight: 1.0 / parts as f64,
            step: q.step,
            answered: false,
            held: None,
            subs: Vec::new(),
        });
    }
}

pub fn ended(p: &Placement, nth: usize, ending: Ending, latency: f64) -> Outcome {
    Outcome { part: p.part, nth, replica: p.replica.clone(), ending, latency }
}

/// Plays one-part searches until the replica chosen is `name`, answering the others at once; returns the
/// search and its placement, still out.
pub fn stuck_at(b: &mut Balancer, name: &str, now: f64) -> (Search, Placement) {
    for n in 1000..1500 {
        let mut q = search(n, 1, now, 3.0);
        let p = b.place(now, &mut q).send[0].clone();
        if p.replica == id(name) {
            return (q, p);
        }
        b.after(now, Some(&mut q), &ended(&p, 0, Ending::Answered, 0.1));
    }
    panic!("{name} is not chosen")
}
