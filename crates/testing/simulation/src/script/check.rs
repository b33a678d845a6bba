//! The limits of a script: what one process can play.

use super::fault::{Fault, FaultKind};
use super::query_type::QueryType;
use super::{Fleet, Load, Peers, Script, Settings};
use snafu::{Snafu, ensure};

const MAX_CO_ORDINATORS: usize = 400;
const MAX_REPLICAS: usize = 200;
/// Longest time under load, and longest fault, in seconds.
const MAX_SECONDS: f64 = 600.0;
/// Most searches per second at each co-ordinator, as a mean.
const MAX_RATE: f64 = 500.0;
const MAX_FAULTS: usize = 64;
const MAX_QUERY_TYPES: usize = 16;
const MAX_ZONES: usize = 8;
const MAX_SHARDS: usize = 1024;

/// Which value of a script is out of its limits.
#[derive(Clone, Debug, PartialEq, Snafu)]
pub enum InvalidScript {
    /// A number is too small or too large.
    #[snafu(display("{field} is {value}, expected {min} to {max}"))]
    OutOfRange {
        /// The key.
        field: String,
        /// Its value.
        value: f64,
        /// The smallest allowed value.
        min: f64,
        /// The largest allowed value.
        max: f64,
    },
    /// The name of a query type is empty, or has characters other than lower-case letters and dashes.
    #[snafu(display("{query_type}: the name is expected in small letters and dashes"))]
    QueryTypeName {
        /// The query type's number and name.
        query_type: String,
    },
    /// A zone is partitioned from itself.
    #[snafu(display("{fault}: a zone is not cut off from itself: clients are in it too"))]
    PartitionWithinZone {
        /// The fault's number and kind.
        fault: String,
    },
}

type Check = Result<(), InvalidScript>;

fn within(field: impl Into<String>, value: f64, min: f64, max: f64) -> Check {
    let in_range = value >= min && value <= max;
    ensure!(
        in_range,
        OutOfRangeSnafu {
            field,
            value,
            min,
            max
        }
    );
    Ok(())
}

fn count_within(field: impl Into<String>, value: usize, min: usize, max: usize) -> Check {
    within(field, value as f64, min as f64, max as f64)
}

fn check_fleet(f: &Fleet, replicas: usize) -> Check {
    let cells = f.cells as usize;
    count_within("fleet.co_ordinators", f.co_ordinators, 1, MAX_CO_ORDINATORS)?;
    count_within(
        "the number of replicas (fleet.cells times fleet.replicas)",
        replicas,
        1,
        MAX_REPLICAS,
    )?;
    count_within("fleet.zones", f.zones, 1, MAX_ZONES)?;
    count_within("fleet.cells", cells, 1, MAX_REPLICAS)?;
    count_within("fleet.span", f.span as usize, 1, cells)?;
    count_within("fleet.shards", f.shards as usize, 1, MAX_SHARDS)?;
    count_within("fleet.cores", f.cores, 1, 64)?;
    within("fleet.way", f.max_latency, 0.0002, 1.0)?;
    within("fleet.buffers", f.buffers as f64, 64.0, 1e9)?;
    within("fleet.clocks_apart", f.max_clock_offset, 0.0, 5.0)
}

fn check_load(load: &Load, peers: Option<&Peers>) -> Check {
    within("load.rate", load.rate, 0.0, MAX_RATE)?;
    within("load.uneven", load.skew, 0.0, 4.0)?;
    if let Some(p) = peers {
        within("peers.lost", p.loss, 0.0, 1.0)?;
        within("peers.doubled", p.duplication, 0.0, 1.0)?;
        within("peers.late", p.max_delay_s, 0.0, 10.0)?;
    }
    within("load.leaves", load.disconnect_share, 0.0, 1.0)
}

fn check_settings(s: &Settings) -> Check {
    let connect_timeout_s = s.connect_timeout_s;
    within("settings.streams", s.streams as f64, 1.0, 1e6)?;
    within("settings.connect_timeout", connect_timeout_s, 0.001, 30.0)?;
    within(
        "settings.idle_close",
        s.idle_timeout_s,
        connect_timeout_s,
        3600.0,
    )?;
    within("settings.descriptors", s.descriptors as f64, 64.0, 1e6)
}

fn check_query_type(number: usize, t: &QueryType, shards: usize) -> Check {
    let query_type = format!("query_type {number} ({})", t.name);
    let field = |key: &str| format!("{query_type}: {key}");
    within(field("client_timeout"), t.client_timeout_s, 0.05, 60.0)?;
    within(
        field("latency_target"),
        t.latency_target_s,
        0.01,
        t.client_timeout_s,
    )?;
    count_within(field("least_parts"), t.min_parts, 1, shards)?;
    count_within(field("most_parts"), t.max_parts, t.min_parts, shards)?;
    within(
        field("floor"),
        t.minimum_weight,
        0.0,
        t.complete_weight.min(1.0),
    )?;
    within(field("work"), t.work_s, 1e-6, 10.0)?;
    let is_plain = t.name.bytes().all(|b| b.is_ascii_lowercase() || b == b'-');
    ensure!(
        !t.name.is_empty() && is_plain,
        QueryTypeNameSnafu { query_type }
    );
    Ok(())
}

impl Script {
    /// Whether the script stays within what one process can play.
    pub(crate) fn check(&self) -> Check {
        within("seconds", self.seconds, 1.0, MAX_SECONDS)?;
        check_fleet(&self.fleet, self.replicas())?;
        check_load(&self.load, self.peers.as_ref())?;
        check_settings(&self.settings)?;
        let query_types = self.query_types.len();
        let faults = self.faults.len();
        count_within("the number of query types", query_types, 1, MAX_QUERY_TYPES)?;
        count_within("the number of faults", faults, 0, MAX_FAULTS)?;
        for (i, query_type) in self.query_types.iter().enumerate() {
            check_query_type(i + 1, query_type, self.fleet.shards as usize)?;
        }
        for (i, fault) in self.faults.iter().enumerate() {
            self.check_fault(i + 1, fault)?;
        }
        Ok(())
    }

    fn check_fault(&self, number: usize, fault: &Fault) -> Check {
        let name = format!("fault {number} ({})", fault.kind.name());
        let field = |key: &str| format!("{name}: {key}");
        let last = |count: usize| count as f64 - 1.0;
        within(field("at"), fault.at, 0.0, self.seconds)?;
        within(field("for"), fault.duration, 0.0, MAX_SECONDS)?;
        for r in fault.kind.replicas() {
            let field = field("a replica's number");
            within(field, *r as f64, 0.0, last(self.replicas()))?;
        }
        for n in fault.kind.co_ordinators() {
            let field = field("a co-ordinator's number");
            within(field, *n as f64, 0.0, last(self.fleet.co_ordinators))?;
        }
        if let FaultKind::Partition { from, to, .. } = fault.kind {
            ensure!(from != to, PartitionWithinZoneSnafu { fault: name });
            let zone = from.max(to) as f64;
            within(field("a zone's number"), zone, 0.0, last(self.fleet.zones))?;
        }
        Ok(())
    }
}
