//! What a core machine does until SIGTERM: reloads its seeds on SIGHUP and while it is out of quorum.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::signal::unix::Signal;
use woadreach_chain::Input;
use woadreach_discovery::Sampler;
use woadreach_settings::NodeSettings;

use super::member_options;
use crate::error::RoleError;
use crate::member_driver::MemberDriver;

/// Interval at which the seeds are reloaded while this machine is out of quorum.
const RELOAD_INTERVAL: Duration = Duration::from_secs(3);

/// Returns on SIGTERM. Reloads the seeds on SIGHUP, and at intervals while this machine is out of quorum. The
/// sampler is told at the same intervals whether it is.
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

/// Gives the member the seeds of the settings, and the core machines that other processes have named.
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
