//! Signals of a core machine, and its departure from the chain on SIGTERM.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::signal::unix::Signal;
use tokio::time::Instant;
use woadreach_chain::{ExitReadiness, Input};
use woadreach_discovery::Sampler;
use woadreach_settings::NodeSettings;

use super::member_options;
use crate::error::RoleError;
use crate::member_driver::MemberDriver;

/// Part of the grace period that is reserved for answering requests in flight after the departure.
const STOP_MARGIN: Duration = Duration::from_millis(2500);
/// Limit on the time for the departure when no member stays that could take over.
const LAST_MEMBER_TIMEOUT: Duration = Duration::from_millis(1500);
/// Interval at which the progress of the departure is checked.
const DEPARTURE_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Interval at which the settings are reloaded while this machine is out of quorum.
const SETTINGS_RELOAD_INTERVAL: Duration = Duration::from_secs(3);

/// Returns on SIGTERM. Reloads the settings on SIGHUP, and at intervals while this machine is out of quorum.
pub(super) async fn serve_signals(
    driver: &MemberDriver,
    sampler: &Sampler,
    terminate: &mut Signal,
    hangup: &mut Signal,
) {
    loop {
        tokio::select! {
            _ = terminate.recv() => return,
            _ = hangup.recv() => reload_seeds(driver, sampler),
            () = tokio::time::sleep(SETTINGS_RELOAD_INTERVAL) => {
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

/// Asks to be removed from the chain, and waits until no data depends on this machine's disk, which may never
/// come back, or until the grace period is over but for [`STOP_MARGIN`].
pub(super) async fn leave(driver: &MemberDriver, grace_period: Duration) {
    tracing::info!("departure from the chain requested");
    driver.handle(Input::Leave);
    let started = Instant::now();
    let max_wait = grace_period.saturating_sub(STOP_MARGIN);
    loop {
        let departure = driver.exit_readiness();
        let timeout = match departure {
            ExitReadiness::Free => Duration::ZERO,
            ExitReadiness::NobodyStays => LAST_MEMBER_TIMEOUT.min(max_wait),
            _ => max_wait,
        };
        if started.elapsed() >= timeout {
            tracing::info!(?departure, "left the chain");
            return;
        }
        tokio::time::sleep(DEPARTURE_POLL_INTERVAL).await;
    }
}
