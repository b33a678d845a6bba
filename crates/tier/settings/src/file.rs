//! Fields of the YAML file before validation. Their names are those in the operators' documentation.

use serde::Deserialize;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::PathBuf;

/// Top level of the file. The fields are documented at [`NodeSettings`](crate::NodeSettings).
#[derive(Deserialize)]
pub(crate) struct SettingsFile {
    pub node: String,
    #[serde(default)]
    pub role: String,
    #[serde(default)]
    pub machine_class: String,
    #[serde(default)]
    pub serves: Vec<String>,
    pub ip: Ipv4Addr,
    pub zone: String,
    #[serde(default)]
    pub region: String,
    #[serde(default)]
    pub listen: ListenFile,
    pub port_range: Vec<u16>,
    pub seeds: Vec<SocketAddr>,
    #[serde(default)]
    pub bootstrap: bool,
    #[serde(default)]
    pub counts_for_quorum: bool,
    pub limits: LimitsFile,
    #[serde(default)]
    pub data_dir: Option<PathBuf>,
    #[serde(default = "default_heartbeat_ms")]
    pub heartbeat_ms: u64,
    pub fault_tolerance: FaultToleranceFile,
    #[serde(default)]
    pub bounds: BoundsFile,
}

fn default_heartbeat_ms() -> u64 {
    1200
}

#[derive(Default, Deserialize)]
pub(crate) struct ListenFile {
    pub front: Option<SocketAddr>,
    pub ready: Option<SocketAddr>,
    pub control: Option<SocketAddr>,
}

#[derive(Deserialize)]
pub(crate) struct LimitsFile {
    pub cpu_share: f64,
    #[serde(default = "default_cores")]
    pub cores: f64,
    pub memory_mb: u64,
    pub max_fds: u64,
    #[serde(default)]
    pub link_mbps: f64,
    #[serde(default)]
    pub disk_mb: u64,
}

fn default_cores() -> f64 {
    1.0
}

#[derive(Deserialize)]
pub(crate) struct FaultToleranceFile {
    pub machines: usize,
    #[serde(default)]
    pub zones: usize,
    #[serde(default)]
    pub regions: usize,
}

/// Time bounds, documented at [`Bounds`](crate::Bounds). Each may be absent; the defaults are those of the
/// smallest deployment.
#[derive(Deserialize)]
#[serde(default)]
pub(crate) struct BoundsFile {
    pub seed_lag_s: f64,
    pub reuse_after_s: f64,
    pub touch_ms: f64,
    pub ack_ms: f64,
    pub catch_up_s: f64,
    pub drain_timeout_ms: f64,
    pub grace_period_s: f64,
    pub lost_ms: f64,
    pub config_ms: f64,
    pub back_ms: f64,
    pub outer_ms: f64,
    pub recover_s: f64,
    pub pass_ms: f64,
    pub again_s: f64,
    pub finish_s: f64,
    pub settle_ms: f64,
}

impl Default for BoundsFile {
    fn default() -> Self {
        BoundsFile {
            seed_lag_s: 3.0,
            reuse_after_s: 2.0,
            touch_ms: 3000.0,
            ack_ms: 4000.0,
            catch_up_s: 4.0,
            drain_timeout_ms: 2000.0,
            grace_period_s: 8.0,
            lost_ms: 200.0,
            config_ms: 2000.0,
            back_ms: 250.0,
            outer_ms: 5000.0,
            recover_s: 12.0,
            pass_ms: 120.0,
            again_s: 0.0,
            finish_s: 10.0,
            settle_ms: 1000.0,
        }
    }
}
