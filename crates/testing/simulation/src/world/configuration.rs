//! What a script means as the terms of the checker and as the configuration of each co-ordinator.

use crate::script::{QueryType, Repeats, Script};
use std::net::SocketAddr;
use woadreach_invariants::{Budget, Cold, QueryTerms, Terms};

/// The terms of a script for the checker of the rules.
pub fn terms(script: &Script) -> Terms {
    let s = &script.settings;
    let query_types = script.query_types.iter().map(|t| QueryTerms {
        name: t.name.clone(),
        repeats: match t.repeats {
            Repeats::Idempotent => woadreach_invariants::Repeats::Idempotent,
            Repeats::Tokened => woadreach_invariants::Repeats::Tokened {
                window: t.window,
                any_holder: t.any_holder,
            },
            Repeats::NonIdempotent => woadreach_invariants::Repeats::NonIdempotent,
        },
        need: t.need,
        floor: t.floor,
        fetch: t.fetch,
    });
    Terms {
        query_types: query_types.collect(),
        answer_grace: 0.05,
        drain_grace: s.drain_grace,
        cold: s.cold.as_ref().map(|c| Cold {
            from: c.from,
            time: c.time,
            multiple: c.multiple,
            window: c.window,
            work: script.mean_work(),
            // In a tier of many each sends one part before it can know; the page does not count that.
            untold_too: script.fleet.co_ordinators < 10,
        }),
        budget: s.budget.as_ref().map(|b| Budget {
            free: b.free,
            share: b.share,
            window: b.window,
        }),
        slack: 0.05,
        way: script.fleet.max_latency,
    }
}

/// The settings of a script as a co-ordinator's configuration holds them.
fn settings(script: &Script, n: usize) -> String {
    let (s, f) = (&script.settings, &script.fleet);
    let row = |of: &dyn Fn(&QueryType) -> String| {
        script
            .query_types
            .iter()
            .map(of)
            .collect::<Vec<_>>()
            .join(",")
    };
    let types = row(&|t| {
        let repeat = match t.repeats {
            Repeats::Idempotent => "repeatable",
            Repeats::Tokened => "by_key",
            Repeats::NonIdempotent => "once",
        };
        let group = if t.any_holder { "all" } else { "one" };
        format!(
            concat!(
                r#"{{"name":"{}","aimMs":{},"giveUpMs":{},"repeat":"{}","#,
                r#""memorySpanMs":{},"group":"{}"}}"#
            ),
            t.name,
            t.latency_target * 1000.0,
            t.client_timeout * 1000.0,
            repeat,
            t.window * 1000.0,
            group
        )
    });
    let cold = s.cold.as_ref().map_or(String::new(), |c| {
        format!(
            r#","tipMultiple":{},"tipAfterMs":{},"coldFrom":{},"coldMs":{}"#,
            c.multiple,
            c.window * 1000.0,
            c.from,
            c.time * 1000.0
        )
    });
    let budget = s.budget.as_ref().map_or(String::new(), |b| {
        format!(
            r#","repeatRatio":{},"countedOverMs":{},"budgetFree":{}"#,
            b.share,
            b.window * 1000.0,
            b.free
        )
    });
    let zones: Vec<String> = (0..f.zones).map(|z| format!(r#""z{z}""#)).collect();
    format!(
        r#"{{"tickMs":5.0,"siblings":{},"localities":[{}],"me":{n},"zone":{},
"domain":{{"sets":{},"span":{},"slices":{},"perCall":{},
"classNeed":[{}],"classFloor":[{}],"classFetch":[{}]}},"limits":{{"attemptsCap":{},"cancelling":{},
"mayDuplicate":{},"streamsPerConn":{},"idleCloseMs":{},"connectTimeoutMs":{},"retryAfter":{},
"maxRetryAfterMs":2000,"peers":{}}},"clients":{{"marksRetry":{}}},
"guarantees":{{"drainGraceMs":{}{cold}{budget}}},
"tenants":[{{"name":"acme","share":1.0}}],"requestClasses":[{types}]}}"#,
        f.co_ordinators,
        zones.join(","),
        n % f.zones,
        f.cells,
        f.span,
        f.shards,
        s.per_call,
        row(&|t| t.need.to_string()),
        row(&|t| t.floor.to_string()),
        row(&|t| t.fetch.to_string()),
        s.attempts,
        s.cancelling,
        s.hedging,
        s.streams,
        s.idle_close * 1000.0,
        s.connect_timeout * 1000.0,
        s.retry_after,
        script.peers.is_some(),
        s.marks_repeats,
        s.drain_grace * 1000.0,
    )
}

/// Where a co-ordinator is reached, and where it reaches what it needs.
pub struct Places {
    pub listen: SocketAddr,
    pub discovery: SocketAddr,
    /// Where datagrams come to it, and where it sends those for each co-ordinator of the tier, itself among
    /// them.
    pub peer_listen: Option<SocketAddr>,
    pub peers: Vec<SocketAddr>,
}

/// The configuration of one co-ordinator, as its file would hold it.
pub fn configuration(script: &Script, n: usize, at: &Places, seed: u64, known: &str) -> String {
    let peers: Vec<String> = at.peers.iter().map(|p| format!(r#""{p}""#)).collect();
    let listen = at
        .peer_listen
        .map_or(String::new(), |l| format!(r#""peer_listen":"{l}","#));
    format!(
        r#"{{"name":"n{n}","listen":"{}","discovery":"{}","seed":"{seed:x}",{listen}"peers":[{}],
"limits":{{"cores":1.0,"memory_mb":192,"sockets":{}}},"known":{known},"settings":{}}}"#,
        at.listen,
        at.discovery,
        peers.join(","),
        script.settings.descriptors,
        settings(script, n)
    )
}
