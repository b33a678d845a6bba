//! A script as the terms of the checker and as the configuration of each co-ordinator.

use crate::script::{QueryType, Repeats, Script, Settings};
use std::net::SocketAddr;
use woadreach_invariants::{QueryTerms, RetryBudget, SlowStart, Terms};

/// Milliseconds in a second.
const MILLISECONDS: f64 = 1000.0;
/// How long after its deadline an answer still counts, in seconds.
const ANSWER_GRACE: f64 = 0.05;
/// The checker's tolerance of time limits, in seconds.
const SLACK: f64 = 0.05;
/// Number of co-ordinators from which on an overload counts only if most senders knew of the start.
const LARGE_TIER: usize = 10;

/// The numbers of the rules for the checker.
pub fn terms(script: &Script) -> Terms {
    let s = &script.settings;
    let query_types = script.query_types.iter().map(|t| QueryTerms {
        name: t.name.clone(),
        repeats: match t.repeats {
            Repeats::Idempotent => woadreach_invariants::Repeats::Idempotent,
            Repeats::Tokened => woadreach_invariants::Repeats::Tokened {
                window: t.token_window_s,
                any_holder: t.any_holder,
            },
            Repeats::NonIdempotent => woadreach_invariants::Repeats::NonIdempotent,
        },
        complete_weight: t.complete_weight,
        minimum_weight: t.minimum_weight,
        second_step_parts: t.second_step_parts,
    });
    Terms {
        query_types: query_types.collect(),
        answer_grace: ANSWER_GRACE,
        drain_grace: s.drain_grace_s,
        slow_start: s.slow_start.as_ref().map(|slow_start| SlowStart {
            initial_capacity: slow_start.initial_share,
            duration: slow_start.duration_s,
            overload_multiple: slow_start.overload_multiple,
            overload_window: slow_start.overload_window_s,
            mean_work: script.mean_work(),
            // In a large tier each co-ordinator sends one part before it can know of the start, which the protocol
            // does not count.
            counts_unlisted_senders: script.fleet.co_ordinators < LARGE_TIER,
        }),
        retry_budget: s.budget.as_ref().map(|budget| RetryBudget {
            min_retries: budget.free,
            ratio: budget.share,
            window: budget.window_s,
        }),
        slack: SLACK,
        max_link_latency: script.fleet.max_latency,
    }
}

/// The values of all query types, as the elements of a JSON array.
fn of_query_types(script: &Script, value: impl Fn(&QueryType) -> String) -> String {
    let values: Vec<String> = script.query_types.iter().map(value).collect();
    values.join(",")
}

fn query_type_json(t: &QueryType) -> String {
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
        t.latency_target_s * MILLISECONDS,
        t.client_timeout_s * MILLISECONDS,
        repeat,
        t.token_window_s * MILLISECONDS,
        group
    )
}

/// The guarantees, as the members of a JSON object.
fn guarantees_json(settings: &Settings) -> String {
    let slow_start = settings.slow_start.as_ref().map_or(String::new(), |s| {
        format!(
            r#","tipMultiple":{},"tipAfterMs":{},"coldFrom":{},"coldMs":{}"#,
            s.overload_multiple,
            s.overload_window_s * MILLISECONDS,
            s.initial_share,
            s.duration_s * MILLISECONDS
        )
    });
    let budget = settings.budget.as_ref().map_or(String::new(), |b| {
        format!(
            r#","repeatRatio":{},"countedOverMs":{},"budgetFree":{}"#,
            b.share,
            b.window_s * MILLISECONDS,
            b.free
        )
    });
    let drain_grace_ms = settings.drain_grace_s * MILLISECONDS;
    format!(r#""drainGraceMs":{drain_grace_ms}{slow_start}{budget}"#)
}

/// The limits, as the members of a JSON object.
fn limits_json(script: &Script) -> String {
    let s = &script.settings;
    format!(
        r#""attemptsCap":{},"cancelling":{},
"mayDuplicate":{},"streamsPerConn":{},"idleCloseMs":{},"connectTimeoutMs":{},"retryAfter":{},
"maxRetryAfterMs":2000,"peers":{}"#,
        s.attempts,
        s.cancelling,
        s.hedging,
        s.streams,
        s.idle_timeout_s * MILLISECONDS,
        s.connect_timeout_s * MILLISECONDS,
        s.retry_after,
        script.peers.is_some(),
    )
}

/// The settings of a co-ordinator, in the JSON of its configuration.
fn settings_json(script: &Script, index: usize) -> String {
    let (s, f) = (&script.settings, &script.fleet);
    let zones: Vec<String> = (0..f.zones).map(|z| format!(r#""z{z}""#)).collect();
    format!(
        r#"{{"tickMs":5.0,"siblings":{},"localities":[{}],"me":{index},"zone":{},
"domain":{{"sets":{},"span":{},"slices":{},"perCall":{},
"classNeed":[{}],"classFloor":[{}],"classFetch":[{}]}},"limits":{{{}}},"clients":{{"marksRetry":{}}},
"guarantees":{{{}}},
"tenants":[{{"name":"acme","share":1.0}}],"requestClasses":[{}]}}"#,
        f.co_ordinators,
        zones.join(","),
        index % f.zones,
        f.cells,
        f.span,
        f.shards,
        s.per_call,
        of_query_types(script, |t| t.complete_weight.to_string()),
        of_query_types(script, |t| t.minimum_weight.to_string()),
        of_query_types(script, |t| t.second_step_parts.to_string()),
        limits_json(script),
        s.marks_repeats,
        guarantees_json(s),
        of_query_types(script, query_type_json),
    )
}

/// The addresses that a co-ordinator's configuration names.
pub struct CoordinatorAddresses {
    /// Where it accepts clients.
    pub listen: SocketAddr,
    /// Where its discovery agent listens.
    pub discovery: SocketAddr,
    /// Where it receives datagrams of its peers; none where it doesn't.
    pub peer_listen: Option<SocketAddr>,
    /// Where each co-ordinator of the tier receives datagrams, itself included.
    pub peers: Vec<SocketAddr>,
}

/// The configuration of one co-ordinator, as its file would have it. `known` is the JSON of the endpoint list
/// that it knows from the start.
pub fn configuration(
    script: &Script,
    index: usize,
    at: &CoordinatorAddresses,
    seed: u64,
    known: &str,
) -> String {
    let peers: Vec<String> = at.peers.iter().map(|p| format!(r#""{p}""#)).collect();
    let listen = at
        .peer_listen
        .map_or(String::new(), |l| format!(r#""peer_listen":"{l}","#));
    format!(
        r#"{{"name":"n{index}","listen":"{}","discovery":"{}","seed":"{seed:x}",{listen}"peers":[{}],
"limits":{{"cores":1.0,"memory_mb":192,"sockets":{}}},"known":{known},"settings":{}}}"#,
        at.listen,
        at.discovery,
        peers.join(","),
        script.settings.descriptors,
        settings_json(script, index)
    )
}
