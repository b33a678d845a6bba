//! The sizes of a hollow run, and which of them fit on this machine.

use snafu::{ResultExt, Snafu, ensure};
use std::time::Duration;

/// Longest measured time.
pub const LONGEST_SECONDS: u64 = 300;
/// Most core machines, whose addresses share one network.
pub const MOST_CORE: u8 = 30;
/// Bytes of a hollow edge that knows no replica (own tasks, connections and buffers), rounded up from runs.
const EDGE_BYTES: u64 = 400_000;
/// Bytes of one replica's record in an edge (list of each machine polled, joined table, published map).
const EDGE_RECORD_BYTES: u64 = 1_600;
/// Bytes of a replica's stand-in, its client and both ends of its connection.
const REPLICA_BYTES: u64 = 80_000;
/// Bytes of a core process that knows no replica.
const CORE_BYTES: u64 = 30_000_000;
/// Bytes of one replica's record in a core process.
const CORE_RECORD_BYTES: u64 = 3_000;
/// Descriptors of a hollow edge: listener, polls, a shuffle out and in.
const EDGE_DESCRIPTORS: u64 = 8;
/// Descriptors beside those of edges and replicas.
const BASE_DESCRIPTORS: u64 = 300;
/// Replicas' connections that one core process takes under the tier's settings.
const CONNECTIONS_OF_CORE: u64 = 1_900;
/// Edges' connections that one core process takes.
const EDGES_OF_CORE: u64 = 2_000;

/// What is run, and for how long.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HollowSize {
    /// Control-side edges in this process.
    pub edges: u64,
    /// Replicas that send heartbeats.
    pub replicas: u64,
    /// Core processes.
    pub core: u8,
    /// Whole edge processes beside the hollow ones.
    pub whole_edges: u8,
    /// Routes of the configuration.
    pub routes: u64,
    /// Interval between two heartbeats of a replica.
    pub heartbeat: Duration,
    /// Changes of the configuration.
    pub changes_per_minute: u64,
    /// Replicas that change their generation.
    pub replica_changes_per_minute: u64,
    /// Measured time.
    pub seconds: u64,
}

/// What a run may use of this machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MachineBounds {
    /// Half of the memory, in bytes.
    pub memory: u64,
    /// Descriptors of this process.
    pub descriptors: u64,
}

/// A size that is not run.
#[derive(Debug, Snafu)]
pub enum SizeError {
    /// A number is outside what can be measured.
    #[snafu(display("{name} is {found}, expected {expected}"))]
    OutOfRange {
        /// The option.
        name: &'static str,
        /// Its value.
        found: u64,
        /// What it may be.
        expected: String,
    },
    /// Memory would not suffice.
    #[snafu(display(
        "{edges} edges and {replicas} replicas need about {needed_mb} MB, half of this machine's memory is {allowed_mb} MB; \
         {fitting_edges} edges fit with as many replicas, or {fitting_replicas} replicas with as many edges"
    ))]
    Memory {
        /// Edges asked for.
        edges: u64,
        /// Replicas asked for.
        replicas: u64,
        /// Estimated need, in MB.
        needed_mb: u64,
        /// The bound, in MB.
        allowed_mb: u64,
        /// Most edges with as many replicas.
        fitting_edges: u64,
        /// Most replicas with as many edges.
        fitting_replicas: u64,
    },
    /// Descriptors would not suffice.
    #[snafu(display(
        "{edges} edges and {replicas} replicas need about {needed} descriptors, this process may have {allowed}; \
         {fitting_edges} edges fit with as many replicas, or {fitting_replicas} replicas with as many edges"
    ))]
    Descriptors {
        /// Edges asked for.
        edges: u64,
        /// Replicas asked for.
        replicas: u64,
        /// Estimated need.
        needed: u64,
        /// The bound.
        allowed: u64,
        /// Most edges with as many replicas.
        fitting_edges: u64,
        /// Most replicas with as many edges.
        fitting_replicas: u64,
    },
    /// The core processes do not take so many connections.
    #[snafu(display(
        "{core} core processes take {allowed} connections of {of}, {found} were asked for; \
         {fitting_core} core processes would take them"
    ))]
    Connections {
        /// Core processes asked for.
        core: u8,
        /// Whose connections.
        of: &'static str,
        /// Most connections.
        allowed: u64,
        /// Connections asked for.
        found: u64,
        /// Core processes that would take them.
        fitting_core: u64,
    },
    /// The bounds of this machine cannot be read.
    #[snafu(display("the bounds of this machine: {source}"))]
    Unreadable {
        /// What the system said.
        source: std::io::Error,
    },
}

impl MachineBounds {
    /// The bounds of this machine and process.
    pub fn read() -> Result<Self, SizeError> {
        let memory = std::fs::read_to_string("/proc/meminfo").context(UnreadableSnafu)?;
        let limits = std::fs::read_to_string("/proc/self/limits").context(UnreadableSnafu)?;
        let kilobytes = number_after(&memory, "MemTotal:").unwrap_or(0);
        let descriptors = number_after(&limits, "Max open files").unwrap_or(0);
        Ok(MachineBounds {
            memory: kilobytes * 1024 / 2,
            descriptors,
        })
    }
}

/// The first number that follows `label`.
fn number_after(text: &str, label: &str) -> Option<u64> {
    let rest = text.lines().find_map(|line| line.strip_prefix(label))?;
    rest.split_whitespace().next()?.parse().ok()
}

impl HollowSize {
    /// Whether the run fits; says what would fit if it does not.
    pub fn check(&self, bounds: MachineBounds) -> Result<(), SizeError> {
        self.check_ranges()?;
        self.check_connections("replicas", self.replicas, CONNECTIONS_OF_CORE)?;
        let polled = u64::from(self.core).min(3);
        self.check_connections("edges", self.edges * polled, EDGES_OF_CORE)?;
        let needed = self.memory();
        ensure!(
            needed <= bounds.memory,
            MemorySnafu {
                edges: self.edges,
                replicas: self.replicas,
                needed_mb: needed / 1_000_000,
                allowed_mb: bounds.memory / 1_000_000,
                fitting_edges: self.fitting_edges(|size| size.memory() <= bounds.memory),
                fitting_replicas: self.fitting_replicas(|size| size.memory() <= bounds.memory),
            }
        );
        let needed = self.descriptors();
        ensure!(
            needed <= bounds.descriptors,
            DescriptorsSnafu {
                edges: self.edges,
                replicas: self.replicas,
                needed,
                allowed: bounds.descriptors,
                fitting_edges: self.fitting_edges(|size| size.descriptors() <= bounds.descriptors),
                fitting_replicas: self
                    .fitting_replicas(|size| size.descriptors() <= bounds.descriptors),
            }
        );
        Ok(())
    }

    fn check_ranges(&self) -> Result<(), SizeError> {
        let heartbeat_ms = self.heartbeat.as_millis() as u64;
        let ranges = [
            ("edges", self.edges, 1, 10_000),
            ("replicas", self.replicas, 1, 100_000),
            ("core", u64::from(self.core), 1, u64::from(MOST_CORE)),
            ("whole-edges", u64::from(self.whole_edges), 0, 30),
            ("routes", self.routes, 1, 2_000),
            ("heartbeat-ms", heartbeat_ms, 100, 10_000),
            ("changes-per-minute", self.changes_per_minute, 1, 600),
            (
                "replica-changes-per-minute",
                self.replica_changes_per_minute,
                0,
                6_000,
            ),
            ("seconds", self.seconds, 1, LONGEST_SECONDS),
        ];
        for (name, found, least, most) in ranges {
            let expected = format!("{least} to {most}");
            ensure!(
                (least..=most).contains(&found),
                OutOfRangeSnafu {
                    name,
                    found,
                    expected
                }
            );
        }
        Ok(())
    }

    fn check_connections(&self, of: &'static str, found: u64, each: u64) -> Result<(), SizeError> {
        let allowed = each * u64::from(self.core);
        let fitting_core = found.div_ceil(each);
        ensure!(
            found <= allowed,
            ConnectionsSnafu {
                core: self.core,
                of,
                allowed,
                found,
                fitting_core
            }
        );
        Ok(())
    }

    /// Estimated memory of all processes of the run, in bytes.
    fn memory(&self) -> u64 {
        let edges = self.edges * (EDGE_BYTES + self.replicas * EDGE_RECORD_BYTES);
        let core = u64::from(self.core) * (CORE_BYTES + self.replicas * CORE_RECORD_BYTES);
        edges + core + self.replicas * REPLICA_BYTES
    }

    /// Estimated descriptors of this process.
    fn descriptors(&self) -> u64 {
        BASE_DESCRIPTORS + self.edges * EDGE_DESCRIPTORS + self.replicas
    }

    fn fitting_edges(&self, fits: impl Fn(&HollowSize) -> bool) -> u64 {
        most_that_fits(self.edges, |edges| {
            fits(&HollowSize {
                edges,
                ..self.clone()
            })
        })
    }

    fn fitting_replicas(&self, fits: impl Fn(&HollowSize) -> bool) -> u64 {
        most_that_fits(self.replicas, |replicas| {
            fits(&HollowSize {
                replicas,
                ..self.clone()
            })
        })
    }
}

/// The largest number below `too_many` that fits, by bisection; 0 if none does.
fn most_that_fits(too_many: u64, fits: impl Fn(u64) -> bool) -> u64 {
    let (mut fitting, mut beyond) = (0, too_many);
    while beyond - fitting > 1 {
        let middle = fitting + (beyond - fitting) / 2;
        if fits(middle) {
            fitting = middle;
        } else {
            beyond = middle;
        }
    }
    fitting
}
