//! Validated settings of a process.

use crate::SETTINGS_VARIABLE;
use crate::error::{
    InvalidValueSnafu, MalformedSnafu, PathNotSetSnafu, SettingsError, UnreadableSnafu,
};
use crate::file::{BoundsFile, SettingsFile};
use snafu::{OptionExt, ResultExt, ensure};
use std::net::{Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::time::Duration;

/// Settings of one process. The fields have the names of the file unless their comment names another key.
#[derive(Clone, Debug)]
pub struct NodeSettings {
    /// Name of the machine, unique in the tier.
    pub node: String,
    /// Name of the role in the deploy file; empty if the settings file has none.
    pub role: String,
    /// Class of the machine: `edge`, `core` or `storage`; empty if the file has none.
    pub machine_class: String,
    /// Kinds of callers from outside the tier that this role serves, such as `edge` or `control`.
    pub serves: Vec<String>,
    /// IP address of the machine.
    pub ip: Ipv4Addr,
    /// Zone of the machine.
    pub zone: String,
    /// Region of the zone; empty if the file has none.
    pub region: String,
    /// Addresses on which the process listens for callers from outside the tier.
    pub listen: Listen,
    /// Ports for traffic between the processes of the tier; the same on all machines.
    pub port_range: PortRange,
    /// Control addresses of some core machines, as of the time when the platform wrote the file.
    pub seeds: Vec<SocketAddr>,
    /// Whether the tier as a whole is started for the very first time.
    pub bootstrap: bool,
    /// Whether a failure of this machine counts towards the limits in `fault_tolerance`.
    pub counts_for_quorum: bool,
    /// Resources that the process may use.
    pub limits: ProcessLimits,
    /// Directory for durable state; `None` on a machine without a disk.
    pub data_dir: Option<PathBuf>,
    /// Interval between two heartbeats of a replica (`heartbeat_ms`); 1200 ms by default.
    pub heartbeat: Duration,
    /// Numbers of simultaneous failures that the tier must tolerate.
    pub fault_tolerance: FaultTolerance,
    /// Time bounds of the guarantees.
    pub bounds: Bounds,
}

/// Addresses on which a process listens for callers from outside the tier.
#[derive(Clone, Debug, Default)]
pub struct Listen {
    /// Address for clients, on an `edge` machine.
    pub front: Option<SocketAddr>,
    /// Address for the platform's readiness checks, on an `edge` machine.
    pub ready: Option<SocketAddr>,
    /// Address for replicas and the operator, on a machine that serves `control`.
    pub control: Option<SocketAddr>,
}

/// Inclusive range of the ports of a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PortRange {
    /// First port; above 0. The process accepts calls from other processes of the tier on this port, and serves the
    /// metrics page on the next one.
    pub first: u16,
    /// Last port; not below `first`.
    pub last: u16,
}

/// Resources that a process may use.
#[derive(Clone, Debug)]
pub struct ProcessLimits {
    /// Share of one core; above 0 and normally at most 1.
    pub cpu_share: f64,
    /// Speed of a core as a multiple of the reference core's speed; 1 by default.
    pub cores: f64,
    /// Memory limit in MB; above 0. A process that exceeds it is killed.
    pub memory_mb: u64,
    /// Upper bound of open file descriptors.
    pub max_fds: u64,
    /// Bandwidth of the machine's link, in Mbit/s; 0 if the file has none.
    pub link_mbps: f64,
    /// Disk space in MB of 10^6 bytes; 0 without a disk. See [`ProcessLimits::disk_bytes`].
    pub disk_mb: u64,
}

impl ProcessLimits {
    /// Returns the disk space in bytes. The file may also mean megabytes of 2^20 bytes; 10^6 bytes is the smaller unit
    /// and so never exceeds the space.
    pub fn disk_bytes(&self) -> u64 {
        self.disk_mb.saturating_mul(1_000_000)
    }
}

/// Numbers of simultaneous failures under which every guarantee still applies.
#[derive(Clone, Copy, Debug)]
pub struct FaultTolerance {
    /// Number of failed machines, among those with `counts_for_quorum`.
    pub machines: usize,
    /// Number of failed zones; 0 by default.
    pub zones: usize,
    /// Number of failed regions; 0 by default.
    pub regions: usize,
}

impl FaultTolerance {
    /// Returns the number of members of a replication group that may fail at the same time. The members are in
    /// different zones and regions, so the failure of a zone or region is the failure of one member.
    pub fn tolerated_losses(&self) -> usize {
        self.machines.max(self.zones).max(self.regions)
    }
}

/// Time bounds of the guarantees. The comment of each field gives its key in the file, under `bounds`.
#[derive(Clone, Debug)]
pub struct Bounds {
    /// Lag of the operators' list of control machines (`seed_lag_s`).
    pub seed_lag: Duration,
    /// Time after which another replica may reuse the address of a replica that has ended (`reuse_after_s`).
    pub reuse_after: Duration,
    /// Time without faults after which a machine counts as connected to the others (`touch_ms`).
    pub fault_free_period: Duration,
    /// Time within which an order of the operator is acknowledged (`ack_ms`).
    pub order_acknowledgement: Duration,
    /// Time after which a machine that is new or has returned has caught up (`catch_up_s`).
    pub catch_up: Duration,
    /// Time within which a drain takes effect (`drain_timeout_ms`).
    pub drain_timeout: Duration,
    /// Time between SIGTERM and SIGKILL (`grace_period_s`).
    pub grace_period: Duration,
    /// Time within which closing a read request without a response is not counted as an error (`lost_ms`).
    pub unanswered_read: Duration,
    /// Time within which an accepted configuration is active (`config_ms`).
    pub config_activation: Duration,
    /// Time during which two versions may be observed out of order on one machine (`back_ms`).
    pub version_regression: Duration,
    /// Time that an unstable core may add to [`Bounds::config_activation`] (`outer_ms`).
    pub unstable_core_delay: Duration,
    /// Time within which service resumes after a disaster (`recover_s`).
    pub disaster_recovery: Duration,
    /// Time within which an event of a stream is forwarded (`pass_ms`).
    pub event_forwarding: Duration,
    /// Time within which a request may be repeated (`again_s`).
    pub request_repetition: Duration,
    /// Time for which the processes continue to run after the end of traffic (`finish_s`).
    pub post_traffic_runtime: Duration,
    /// Time within which the tokens of a finished turn are settled in its budget (`settle_ms`).
    pub budget_settlement: Duration,
}

impl NodeSettings {
    /// Reads and validates the file whose path is in the environment variable [`SETTINGS_VARIABLE`].
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

    /// Returns the address on which this process accepts calls from the other processes of the tier.
    pub fn internal_address(&self) -> SocketAddr {
        SocketAddr::from((self.ip, self.port_range.first))
    }

    /// Returns the address of the metrics page, on the second port of the range. `None` if the range has only one port.
    pub fn metrics_address(&self) -> Option<SocketAddr> {
        let PortRange { first, last } = self.port_range;
        (last > first).then(|| SocketAddr::from((self.ip, first + 1)))
    }

    /// Returns the addresses of the seeds for calls within the tier. The port range is the same on all machines, so the
    /// first port of this process is also that of the seeds.
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
            expected: "the name of the machine"
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
                expected: "a non-negative duration",
            })
    };
    let milliseconds = |field, value: f64| seconds(field, value / 1000.0);
    Ok(Bounds {
        seed_lag: seconds("bounds.seed_lag_s", file.seed_lag_s)?,
        reuse_after: seconds("bounds.reuse_after_s", file.reuse_after_s)?,
        fault_free_period: milliseconds("bounds.touch_ms", file.touch_ms)?,
        order_acknowledgement: milliseconds("bounds.ack_ms", file.ack_ms)?,
        catch_up: seconds("bounds.catch_up_s", file.catch_up_s)?,
        drain_timeout: milliseconds("bounds.drain_timeout_ms", file.drain_timeout_ms)?,
        grace_period: seconds("bounds.grace_period_s", file.grace_period_s)?,
        unanswered_read: milliseconds("bounds.lost_ms", file.lost_ms)?,
        config_activation: milliseconds("bounds.config_ms", file.config_ms)?,
        version_regression: milliseconds("bounds.back_ms", file.back_ms)?,
        unstable_core_delay: milliseconds("bounds.outer_ms", file.outer_ms)?,
        disaster_recovery: seconds("bounds.recover_s", file.recover_s)?,
        event_forwarding: milliseconds("bounds.pass_ms", file.pass_ms)?,
        request_repetition: seconds("bounds.again_s", file.again_s)?,
        post_traffic_runtime: seconds("bounds.finish_s", file.finish_s)?,
        budget_settlement: milliseconds("bounds.settle_ms", file.settle_ms)?,
    })
}
