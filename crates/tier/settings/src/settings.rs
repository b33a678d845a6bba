//! Validated settings, as the programs use them.

use crate::SETTINGS_VARIABLE;
use crate::error::{
    InvalidValueSnafu, MalformedSnafu, PathNotSetSnafu, SettingsError, UnreadableSnafu,
};
use crate::file::{BoundsFile, SettingsFile};
use snafu::{OptionExt, ResultExt, ensure};
use std::net::{Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::time::Duration;

/// The settings of one process.
#[derive(Clone, Debug)]
pub struct NodeSettings {
    /// Name of the machine, unique in the tier.
    pub node: String,
    /// Name of the role in the deploy file.
    pub role: String,
    /// Class of the machine: `edge`, `core` or `storage`.
    pub machine_class: String,
    /// Callers of this role from outside the tier.
    pub serves: Vec<String>,
    /// The machine's address.
    pub ip: Ipv4Addr,
    /// The machine's zone.
    pub zone: String,
    /// The zone's region.
    pub region: String,
    /// Addresses for callers from outside the tier.
    pub listen: Listen,
    /// Ports for traffic between the processes of the tier, the same on all machines.
    pub port_range: PortRange,
    /// Control addresses of a few core machines at the time when the file was written.
    pub seeds: Vec<SocketAddr>,
    /// Whether this is the very first start of the whole system.
    pub bootstrap: bool,
    /// Whether the loss of this machine counts against the fault tolerance.
    pub counts_for_quorum: bool,
    /// Resources that the process may use.
    pub limits: ProcessLimits,
    /// Folder for durable state; `None` on a machine without a disk.
    pub data_dir: Option<PathBuf>,
    /// Interval between two heartbeats of a replica.
    pub heartbeat: Duration,
    /// Losses that may happen at once.
    pub fault_tolerance: FaultTolerance,
    /// Time bounds of the rules.
    pub bounds: Bounds,
}

/// Addresses on which a process listens for callers from outside the tier.
#[derive(Clone, Debug, Default)]
pub struct Listen {
    /// Clients, on an `edge` machine.
    pub front: Option<SocketAddr>,
    /// The platform's readiness calls, on an `edge` machine.
    pub ready: Option<SocketAddr>,
    /// Replicas and the operator, on a machine that serves `control`.
    pub control: Option<SocketAddr>,
}

/// Ports of a process, both ends included.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PortRange {
    /// First port; above 0. Calls from other processes of the tier arrive here, and readers of the metrics page at the
    /// next.
    pub first: u16,
    /// Last port; not below `first`.
    pub last: u16,
}

/// Resources that a process may use.
#[derive(Clone, Debug)]
pub struct ProcessLimits {
    /// Share of one core, 0 to 1.
    pub cpu_share: f64,
    /// Speed of a core, as a multiple of the reference core.
    pub cores: f64,
    /// Memory in MB; a process above it is killed.
    pub memory_mb: u64,
    /// Upper bound of open file descriptors.
    pub max_fds: u64,
    /// Bandwidth of the machine's link, in Mbit/s; 0 if the file has none.
    pub link_mbps: f64,
    /// Space on the disk in MB, of 10^6 bytes; 0 without a disk. See [`ProcessLimits::disk_bytes`].
    pub disk_mb: u64,
}

impl ProcessLimits {
    /// Space on the disk in bytes. A megabyte of the file may also be 2^20 bytes; the smaller reading is safe for both.
    pub fn disk_bytes(&self) -> u64 {
        self.disk_mb.saturating_mul(1_000_000)
    }
}

/// Number of losses at once that every guarantee survives.
#[derive(Clone, Copy, Debug)]
pub struct FaultTolerance {
    /// Lost machines that count for a quorum.
    pub machines: usize,
    /// Lost zones.
    pub zones: usize,
    /// Lost regions.
    pub regions: usize,
}

impl FaultTolerance {
    /// Number of members of a replication group that may be lost at once. The members are in different zones and
    /// regions, so the loss of a zone or region is the loss of one member.
    pub fn tolerated_losses(&self) -> usize {
        self.machines.max(self.zones).max(self.regions)
    }
}

/// Time bounds of the guarantees, under the names of the operators' pages.
#[derive(Clone, Debug)]
pub struct Bounds {
    /// Lag of the operators' list of control machines.
    pub seed_lag: Duration,
    /// Time after which the address of an ended replica may be reused by another.
    pub reuse_after: Duration,
    /// Time without faults after which a machine counts as in touch with the others.
    pub touch: Duration,
    /// Time within which an order of the operator is acknowledged.
    pub ack: Duration,
    /// Time after which a returned or new machine has caught up.
    pub catch_up: Duration,
    /// Time within which a drain takes effect.
    pub drain_timeout: Duration,
    /// Time between SIGTERM and SIGKILL.
    pub grace_period: Duration,
    /// Time within which a read request that is closed without an answer is excused.
    pub lost: Duration,
    /// Time within which a configuration is active.
    pub config: Duration,
    /// Time during which two versions may be observed out of order on one machine.
    pub back: Duration,
    /// Time that an unstable core may add to [`Bounds::config`].
    pub outer: Duration,
    /// Time within which service resumes after a disaster.
    pub recover: Duration,
    /// Time within which an event of a stream is forwarded.
    pub pass: Duration,
    /// Time within which a request may be repeated.
    pub again: Duration,
    /// Time for which programs run on after the end of traffic.
    pub finish: Duration,
    /// Time within which the tokens of an ended turn are settled in its budget.
    pub settle: Duration,
}

impl NodeSettings {
    /// Reads and validates the file that the environment variable [`SETTINGS_VARIABLE`] names.
    ///
    /// # Errors
    /// See [`SettingsError`].
    pub fn load_from_environment() -> Result<Self, SettingsError> {
        let path = std::env::var_os(SETTINGS_VARIABLE);
        let path = path.context(PathNotSetSnafu {
            variable: SETTINGS_VARIABLE,
        })?;
        Self::load(Path::new(&path))
    }

    /// Reads and validates the file at `path`.
    ///
    /// # Errors
    /// See [`SettingsError`].
    pub fn load(path: &Path) -> Result<Self, SettingsError> {
        let text = std::fs::read_to_string(path).context(UnreadableSnafu { path })?;
        Self::parse(&text)
    }

    /// Parses and validates the text of a settings file.
    ///
    /// # Errors
    /// [`SettingsError::Malformed`] or [`SettingsError::InvalidValue`].
    pub fn parse(text: &str) -> Result<Self, SettingsError> {
        let file: SettingsFile = serde_norway::from_str(text).context(MalformedSnafu)?;
        validate(&file)?;
        Ok(NodeSettings {
            node: file.node,
            role: file.role,
            machine_class: file.machine_class,
            serves: file.serves,
            ip: file.ip,
            zone: file.zone,
            region: file.region,
            listen: Listen {
                front: file.listen.front,
                ready: file.listen.ready,
                control: file.listen.control,
            },
            port_range: PortRange {
                first: file.port_range[0],
                last: file.port_range[1],
            },
            seeds: file.seeds,
            bootstrap: file.bootstrap,
            counts_for_quorum: file.counts_for_quorum,
            limits: ProcessLimits {
                cpu_share: file.limits.cpu_share,
                cores: file.limits.cores,
                memory_mb: file.limits.memory_mb,
                max_fds: file.limits.max_fds,
                link_mbps: file.limits.link_mbps,
                disk_mb: file.limits.disk_mb,
            },
            data_dir: file.data_dir,
            heartbeat: Duration::from_millis(file.heartbeat_ms),
            fault_tolerance: FaultTolerance {
                machines: file.fault_tolerance.machines,
                zones: file.fault_tolerance.zones,
                regions: file.fault_tolerance.regions,
            },
            bounds: parse_bounds(&file.bounds)?,
        })
    }

    /// Address at which the other processes of the tier reach this one.
    pub fn internal_address(&self) -> SocketAddr {
        SocketAddr::from((self.ip, self.port_range.first))
    }

    /// Address of the metrics page: the port after that for the tier's own traffic. `None` if the range has only one.
    pub fn metrics_address(&self) -> Option<SocketAddr> {
        let PortRange { first, last } = self.port_range;
        (last > first).then(|| SocketAddr::from((self.ip, first + 1)))
    }

    /// Addresses at which the processes of the tier reach the seeds. Ports are the same on all machines.
    pub fn seed_internal_addresses(&self) -> Vec<SocketAddr> {
        self.seeds
            .iter()
            .map(|seed| SocketAddr::new(seed.ip(), self.port_range.first))
            .collect()
    }
}

fn validate(file: &SettingsFile) -> Result<(), SettingsError> {
    ensure!(
        !file.node.is_empty(),
        InvalidValueSnafu {
            field: "node",
            found: "empty",
            expected: "the machine's name"
        }
    );
    let ports = &file.port_range;
    ensure!(
        ports.len() == 2 && ports[0] <= ports[1] && ports[0] > 0,
        InvalidValueSnafu {
            field: "port_range",
            found: format!("{ports:?}"),
            expected: "two ports, the first not above the second"
        }
    );
    ensure!(
        file.limits.cpu_share > 0.0 && file.limits.cpu_share.is_finite(),
        InvalidValueSnafu {
            field: "limits.cpu_share",
            found: file.limits.cpu_share.to_string(),
            expected: "a share above 0"
        }
    );
    ensure!(
        file.limits.memory_mb > 0,
        InvalidValueSnafu {
            field: "limits.memory_mb",
            found: "0",
            expected: "a size above 0"
        }
    );
    ensure!(
        file.heartbeat_ms > 0,
        InvalidValueSnafu {
            field: "heartbeat_ms",
            found: "0",
            expected: "an interval above 0"
        }
    );
    Ok(())
}

fn parse_bounds(file: &BoundsFile) -> Result<Bounds, SettingsError> {
    let seconds = |field: &'static str, value: f64| {
        Duration::try_from_secs_f64(value)
            .ok()
            .context(InvalidValueSnafu {
                field,
                found: value.to_string(),
                expected: "a length of time",
            })
    };
    let milliseconds = |field, value: f64| seconds(field, value / 1000.0);
    Ok(Bounds {
        seed_lag: seconds("bounds.seed_lag_s", file.seed_lag_s)?,
        reuse_after: seconds("bounds.reuse_after_s", file.reuse_after_s)?,
        touch: milliseconds("bounds.touch_ms", file.touch_ms)?,
        ack: milliseconds("bounds.ack_ms", file.ack_ms)?,
        catch_up: seconds("bounds.catch_up_s", file.catch_up_s)?,
        drain_timeout: milliseconds("bounds.drain_timeout_ms", file.drain_timeout_ms)?,
        grace_period: seconds("bounds.grace_period_s", file.grace_period_s)?,
        lost: milliseconds("bounds.lost_ms", file.lost_ms)?,
        config: milliseconds("bounds.config_ms", file.config_ms)?,
        back: milliseconds("bounds.back_ms", file.back_ms)?,
        outer: milliseconds("bounds.outer_ms", file.outer_ms)?,
        recover: seconds("bounds.recover_s", file.recover_s)?,
        pass: milliseconds("bounds.pass_ms", file.pass_ms)?,
        again: seconds("bounds.again_s", file.again_s)?,
        finish: seconds("bounds.finish_s", file.finish_s)?,
        settle: milliseconds("bounds.settle_ms", file.settle_ms)?,
    })
}
