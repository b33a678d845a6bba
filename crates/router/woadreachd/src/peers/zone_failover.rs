//! The zones that take traffic: what the tier has agreed on, as the core reads it. The core places searches by it,
//! so that a zone that was ejected gets none from any co-ordinator.

use super::PeerTask;
use crate::events::Event;
use std::collections::BTreeSet;
use tracing::info;
use woadreach_routing::api::{NearZones, ZoneFailoverState, ZoneId};
use woadreach_runtime::Net;

/// Step to which the share of traffic that stays near is rounded, so that the core is not sent every small change.
const NEAR_SHARE_STEP: f64 = 0.05;
/// Weight of a new count in the smoothed rate of attempts. With a half of it the share that stays near swung
/// between 0.4 and 1 on a calm day.
const RATE_SMOOTHING: f64 = 0.1;
/// Shortest time between two counts, in seconds, so that the parts of one search make no rate.
const MIN_RATE_WINDOW: f64 = 0.5;

/// The smoothed rate of attempts that this process sends.
pub(super) struct AttemptRate {
    /// Attempts since the start, as of the last count.
    last_total: u64,
    /// When that was, in Unix seconds.
    last_counted_at: f64,
    /// Number of counts so far; a whole number.
    counts: f64,
    /// Attempts in a second; 0 before the first count.
    pub(super) per_second: f64,
}

impl AttemptRate {
    pub(super) fn new(now: f64) -> Self {
        AttemptRate {
            last_total: 0,
            last_counted_at: now,
            counts: 0.0,
            per_second: 0.0,
        }
    }

    /// Records how many attempts were sent since the start.
    pub(super) fn record(&mut self, now: f64, total: u64) {
        let window = now - self.last_counted_at;
        if window < MIN_RATE_WINDOW {
            return;
        }
        let rate = total.saturating_sub(self.last_total) as f64 / window;
        // The first counts are averaged: smoothed from zero the rate would seem to grow for seconds.
        self.counts += 1.0;
        let weight = RATE_SMOOTHING.max(1.0 / self.counts);
        self.per_second += weight * (rate - self.per_second);
        self.last_total = total;
        self.last_counted_at = now;
    }
}

impl<N: Net> PeerTask<N> {
    /// Sends the core what the tier has agreed on, where that is new or has to be repeated.
    pub(super) fn publish_zone_failover(&mut self, now: f64) {
        self.has_met_peer |= self.peer.view().live.len() > 1;
        if !self.has_met_peer {
            return;
        }
        let state = self.zone_failover_state(now);
        // An ejected zone is repeated, so that the core's own probes don't restore it.
        let has_ejected = state.shares.iter().any(|(_, share)| *share <= 0.0);
        if self.published.as_ref() == Some(&state) && !has_ejected {
            return;
        }
        let near = near_share(&state);
        let changed = |last: &ZoneFailoverState| (near_share(last) - near).abs() > 1e-9;
        if self.config.prefer_near && self.published.as_ref().is_none_or(changed) {
            info!(share = near, "near share changed");
        }
        self.published = Some(state.clone());
        // The core ends with the process.
        let _ = self.events.send(Event::ZoneFailover(state));
    }

    fn zone_failover_state(&self, now: f64) -> ZoneFailoverState {
        let shares = self.peer.zones.traffic_shares(now);
        let spill_order = if self.config.prefer_near {
            self.peer.zones.spill_order(now, self.peer.view())
        } else {
            Vec::new()
        };
        ZoneFailoverState {
            shares: shares
                .iter()
                .enumerate()
                .map(|(zone, share)| (ZoneId(zone as u64), *share))
                .collect(),
            near: spill_order
                .iter()
                .map(|group| NearZones {
                    zones: zone_ids(&group.zones),
                    cumulative_share: round_to_step(group.share),
                })
                .collect(),
        }
    }
}

fn zone_ids(zones: &BTreeSet<u8>) -> BTreeSet<ZoneId> {
    zones.iter().map(|z| ZoneId(u64::from(*z))).collect()
}

fn round_to_step(share: f64) -> f64 {
    (share / NEAR_SHARE_STEP).round() * NEAR_SHARE_STEP
}

/// The share that stays in the nearest zones.
fn near_share(state: &ZoneFailoverState) -> f64 {
    state.near.first().map_or(0.0, |near| near.cumulative_share)
}
