//! The configuration: read and checked as a whole, at the start and at each SIGHUP, which takes over where
//! discovery is and names what else differs. Owns nothing but what the file said; must never change anything
//! that runs, nor take a part of a file that is not sound as a whole.

use crate::front::Names;
use crate::{core, discovery, events, peers, replicas};
use serde_json::Value;
use std::net::SocketAddr;
use tokio::sync::{mpsc, watch};
use tracing::{info, warn};

/// Taken where the settings state no grace for drains, in seconds.
const DRAIN_GRACE: f64 = 0.5;

/// What the configuration says.
pub struct Config {
    pub listen: SocketAddr,
    pub discovery: String,
    /// How often discovery is called anew while no call is answered, in seconds.
    pub discovery_interval: f64,
    pub sockets: usize,
    pub known: Option<events::List>,
    pub settings: woadreach_routing::api::Settings,
    pub names: Names,
    pub core: core::CoreConfig,
    pub replicas: replicas::ConnectionConfig,
    /// Before a move: the new shape to count against (`settings.watch`); decisions stay as before.
    pub watch: Option<woadreach_search_driver::watch::Shape>,
    /// Other co-ordinators to speak with; none where that is not allowed or not configured.
    pub peers: Option<peers::PeerConfig>,
    /// The file as it was read, but for what is of use once only.
    pub file: Value,
}

/// All of the settings' text that a list of names holds.
fn names(settings: &Value, path: &str, key: &str) -> Vec<String> {
    let rows = settings
        .pointer(path)
        .and_then(Value::as_array)
        .into_iter()
        .flatten();
    let name = |row: &Value| {
        if key.is_empty() {
            row.as_str()
        } else {
            row.get(key)?.as_str()
        }
        .map(String::from)
    };
    rows.map(|r| name(r).unwrap_or_default()).collect()
}

/// Where both name an address, which one holds.
#[derive(Clone, Copy, PartialEq)]
pub enum First {
    Environment,
    /// The environment of a process never changes, so that a file which is read again must go before it.
    File,
}

/// What the outside gives: the text of the file, and what stands beside it.
pub struct Given {
    /// The file, to be named in errors.
    pub path: String,
    pub text: String,
    pub listen: Option<String>,
    pub discovery: Option<String>,
}

pub fn read(first: First, given: &Given) -> Result<Config, String> {
    let path = &given.path;
    let mut all: Value = serde_json::from_str(&given.text).map_err(|e| format!("{path}: {e}"))?;
    let need = |p: &str| {
        all.pointer(p)
            .ok_or_else(|| format!("configuration lacks {p}"))
    };
    let text_of = |key: &str, var: &str, told: &Option<String>| {
        let told = told.clone();
        let own = all.get(key).and_then(Value::as_str).map(String::from);
        let named = if first == First::File {
            own.or(told)
        } else {
            told.or(own)
        };
        named.ok_or_else(|| format!("configuration lacks {key}, and {var} is not set"))
    };
    let set = need("/settings")?;
    let number = |p: &str| set.pointer(p).and_then(Value::as_f64);
    let need_number = |p: &str| number(p).ok_or_else(|| format!("settings lack {p}"));
    let flag = |p: &str| set.pointer(p).and_then(Value::as_bool).unwrap_or(false);
    let seed = need("/seed")?;
    let seed = seed
        .as_u64()
        .or_else(|| u64::from_str_radix(seed.as_str()?, 16).ok());
    let seed = seed.ok_or("configuration: seed is neither a number nor hex digits")?;
    let listen = text_of("listen", "PROXY_LISTEN", &given.listen)?;
    let known = match all.get("known") {
        None | Some(Value::Null) => None,
        Some(known) => {
            let list = discovery::list(known.to_string().as_bytes());
            Some(list.map_err(|e| format!("configuration: known: {}", e.0))?)
        }
    };
    let limit = |key: &str| {
        need(&format!("/limits/{key}"))?
            .as_f64()
            .ok_or(format!("limit {key} is no number"))
    };
    let rows = |path: &str, key: &'static str| {
        let rows = set
            .pointer(path)
            .and_then(Value::as_array)
            .into_iter()
            .flatten();
        rows.filter_map(move |r| r.get(key)?.as_f64())
    };
    let fetch = set.pointer("/domain/classFetch").and_then(Value::as_array);
    let config = Config {
        listen: listen
            .parse()
            .map_err(|_| format!("listen is not an address: {listen}"))?,
        discovery: text_of("discovery", "PROXY_DISCOVERY", &given.discovery)?,
        discovery_interval: discovery::schedule::interval(
            number("/guarantees/drainGraceMs").map_or(DRAIN_GRACE, |grace| grace / 1000.0),
        ),
        sockets: limit("sockets")? as usize,
        known,
        settings: woadreach_search_driver::settings(seed, set)?,
        names: Names {
            query_types: names(set, "/requestClasses", "name"),
            tenants: names(set, "/tenants", "name"),
            shards: need_number("/domain/slices")? as u64,
            marks_repeats: flag("/clients/marksRetry"),
        },
        core: core::CoreConfig {
            max_open: number("/limits/maxOpen").map_or(usize::MAX, |n| n as usize),
            // A quarter of the memory: a request is held as it came, and once more as it is worked on.
            max_bytes: (limit("memory_mb")? * 1024.0 * 1024.0 / 4.0) as usize,
            longest: rows("/requestClasses", "giveUpMs").fold(0.0, f64::max) / 1000.0,
            longest_target: rows("/requestClasses", "aimMs").fold(0.0, f64::max) / 1000.0,
            zones: names(set, "/localities", ""),
            fetch: fetch
                .into_iter()
                .flatten()
                .map(|n| n.as_u64().unwrap_or(0) as usize)
                .collect(),
        },
        replicas: replicas::ConnectionConfig {
            streams_per_conn: need_number("/limits/streamsPerConn")? as usize,
            parts_per_call: number("/domain/perCall").map_or(1, |n| (n as usize).max(1)),
            idle_close: need_number("/limits/idleCloseMs")? / 1000.0,
            connect_timeout: need_number("/limits/connectTimeoutMs")? / 1000.0,
            cancelling: flag("/limits/cancelling"),
        },
        watch: woadreach_search_driver::watch::shape(set)?,
        peers: with_peers(&all, set, seed)?,
        file: Value::Null,
    };
    for once in ["known", "seed", "discovery"] {
        all.as_object_mut().map(|all| all.remove(once));
    }
    Ok(Config {
        file: all,
        ..config
    })
}

/// What the file says of other co-ordinators, and the operators of failover between zones:
/// `failover.regions` names the region of each zone, `failover.out` the zones that get nothing from here,
/// `failover.near` keeps traffic near while that is safe, and `failover.on` switches all of it off;
/// `duties.on` the duties that one co-ordinator holds for others.
fn with_peers(all: &Value, set: &Value, seed: u64) -> Result<Option<peers::PeerConfig>, String> {
    let zones = names(set, "/localities", "");
    let known = |key: &str, zone: &str| {
        let of = || {
            format!(
                "configuration: {key}: no such zone: {zone}; there are {}",
                zones.join(", ")
            )
        };
        zones.iter().position(|z| z == zone).ok_or_else(of)
    };
    let mut regions = vec![0; zones.len()];
    let mut called: Vec<&str> = Vec::new();
    for (zone, region) in all
        .pointer("/failover/regions")
        .and_then(Value::as_object)
        .into_iter()
        .flatten()
    {
        let region = region
            .as_str()
            .ok_or("configuration: failover.regions: a region is no text")?;
        let n = called.iter().position(|c| *c == region).unwrap_or_else(|| {
            called.push(region);
            called.len() - 1
        });
        // Zones that are not named make up a region of their own, number 0.
        regions[known("failover.regions", zone)?] = n as u8 + 1;
    }
    let mut out = Vec::new();
    for zone in names(all, "/failover/out", "") {
        out.push(known("failover.out", &zone)?);
    }
    let near = all.pointer("/failover/near") == Some(&Value::Bool(true));
    let on = all
        .pointer("/failover/on")
        .is_none_or(|on| on != &Value::Bool(false));
    let allowed = set.pointer("/limits/peers") == Some(&Value::Bool(true));
    let Some(listen) = all
        .get("peer_listen")
        .and_then(Value::as_str)
        .filter(|_| on && allowed)
    else {
        return Ok(None);
    };
    let address = |key: &str, text: &str| -> Result<SocketAddr, String> {
        text.parse()
            .map_err(|_| format!("configuration: {key}: not an address: {text}"))
    };
    let roster: Vec<String> = names(all, "/peers", "");
    let roster = roster
        .iter()
        .map(|p| address("peers", p))
        .collect::<Result<Vec<_>, _>>()?;
    let place = |key: &str| set.get(key).and_then(Value::as_u64).map(|n| n as usize);
    // One that does not know its own place, or speaks of a zone that is not named, keeps to itself.
    let (Some(me), Some(zone)) = (place("me"), place("zone")) else {
        return Ok(None);
    };
    if me >= roster.len() || zone >= zones.len() || zones.len() > u8::MAX.into() || roster.len() < 2
    {
        return Ok(None);
    }
    let warm = set
        .pointer("/guarantees/coldMs")
        .and_then(Value::as_f64)
        .unwrap_or(0.0)
        / 1000.0;
    let listen = address("peer_listen", listen)?;
    let duties = all
        .pointer("/duties/on")
        .is_none_or(|on| on != &Value::Bool(false));
    let warden = all.pointer("/duties/warden") == Some(&Value::Bool(true));
    let records = all.pointer("/duties/records") == Some(&Value::Bool(true));
    let number = |key: &str| set.pointer(key).and_then(Value::as_f64);
    let cold = number("/guarantees/tipMultiple").and(number("/guarantees/tipAfterMs"));
    let coordinators = number("/siblings").unwrap_or(1.0).max(1.0) as usize;
    let cold = cold.map(|window| (coordinators, window / 1000.0));
    Ok(Some(peers::PeerConfig {
        listen,
        roster,
        me,
        zone,
        zones,
        regions,
        out,
        near,
        warm,
        duties,
        warden,
        records,
        cold,
        seed,
    }))
}

/// Runs for as long as the process: at each SIGHUP the file is read again.
///
/// Danger: a file that is missing or half written takes a sound co-ordinator out of service. Then nothing
/// changes. Covers also one that lacks what it had. Harm: an operator must look at the log.
pub async fn reload(
    mut hangup: mpsc::UnboundedReceiver<()>,
    given: impl Fn() -> Result<Given, String>,
    mut now: Value,
    discovery: watch::Sender<String>,
) {
    while hangup.recv().await.is_some() {
        let next = match given().and_then(|given| read(First::File, &given)) {
            Ok(next) => next,
            Err(why) => {
                warn!("SIGHUP: nothing is changed: {why}");
                continue;
            }
        };
        let keys = |v: &Value| {
            v.as_object()
                .into_iter()
                .flat_map(|o| o.keys().cloned())
                .collect::<Vec<_>>()
        };
        let mut differs: Vec<_> = keys(&now).into_iter().chain(keys(&next.file)).collect();
        differs.retain(|k| now.get(k) != next.file.get(k));
        differs.sort();
        differs.dedup();
        if !differs.is_empty() {
            warn!(
                "SIGHUP: takes effect at the next start only: {}",
                differs.join(", ")
            );
        }
        info!("SIGHUP: read again, discovery at {}", next.discovery);
        now = next.file;
        discovery
            .send_if_modified(|at| std::mem::replace(at, next.discovery.clone()) != next.discovery);
    }
}
