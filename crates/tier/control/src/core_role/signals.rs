//! Signal handling of a core machine: reloads the seeds on SIGHUP and while out of quorum, until SIGTERM.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::signal::unix::Signal;
use woadreach_chain::Input;
use woadreach_discovery::Sampler;
use woadreach_settings::NodeSettings;

use super::member_options;
use crate::error::RoleError;
use crate::member_driver::MemberDriver;

/// Interval between reloads of the seeds while this machine is out of quorum.
const RELOAD_INTERVAL: Duration = Duration::from_secs(3);

/// Returns on SIGTERM. Reloads the seeds on SIGHUP, and every [`RELOAD_INTERVAL`] while this machine is out of
/// quorum. At the same interval, updates the sampler on whether this machine is out of quorum.
pub(super) async fn run_until_sigterm(
    driver: &MemberDriver,
    sampler: &Sampler,
    terminate: &mut Signal,
    hangup: &mut Signal,
) {
    loop {
        tokio::select! {
            _ = terminate.recv() => return,
            _ = hangup.recv() => reload_seeds(driver, sampler),
            () = tokio::time::sleep(RELOAD_INTERVAL) => {
                let in_quorum = driver.status().in_quorum;
                sampler.set_disconnected(!in_quorum);
                if !in_quorum {
                    reload_seeds(driver, sampler);
                }
            }
        }
    }
}

/// Sets the seeds of the member to those in the settings file and the core machines that the sampler has learned
/// of from other processes.
fn reload_seeds(driver: &MemberDriver, sampler: &Sampler) {
    let options = NodeSettings::load_from_environment()
        .map_err(|source| RoleError::Settings { source })
        .and_then(|settings| {
            sampler.set_seeds(settings.seed_internal_addresses());
            member_options(&settings)
        });
    match options {
        Ok(options) => {
            let mut seeds = options.seeds;
            for machine in sampler.core_machines().borrow().iter() {
                match machine {
                    SocketAddr::V4(address) if !seeds.contains(address) => seeds.push(*address),
                    _ => {}
                }
            }
            driver.handle(Input::Seeds(seeds));
        }
        Err(error) => tracing::warn!(%error, "settings reload failed"),
    }
}
