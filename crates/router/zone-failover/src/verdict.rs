//! Verdicts on zones, and the rules for ejecting and restoring a zone.

use crate::config::ZoneFailoverConfig;
use crate::evidence::Evidence;

/// Whether a zone receives traffic. Members adopt the verdict with the highest epoch.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Verdict {
    /// Number of changes of the verdict. The zone serves if it is even, and is ejected if it is odd.
    pub epoch: u32,
    /// Start of the verdict, by this member's clock. If several members reached the verdict concurrently, the earliest
    /// of their times is used.
    pub since_s: f64,
    /// Number of consecutive ejections that each came soon after the previous restoration.
    pub consecutive_failovers: u8,
}

/// A change of a verdict, either from this member's own evidence or from another member's message.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct VerdictChange {
    /// Zone, as a position in the settings' list of zones.
    pub zone: u8,
    /// New verdict on the zone.
    pub verdict: Verdict,
    /// Number of parts of the zone in the valid reports that were pooled.
    pub seen: u32,
    /// Number of failed parts among `seen`.
    pub failed: u32,
}

impl Verdict {
    /// Whether the zone is ejected.
    pub fn is_ejected(&self) -> bool {
        self.epoch % 2 == 1
    }

    /// Returns the next verdict on an ejected zone if the zone must be restored, otherwise `None`. It is restored if
    /// its probes succeed after the dwell time, or if no part of it was observed for
    /// [`ZoneFailoverConfig::unobserved_dwells`]. `last_observed_s` is the time of the latest observation.
    pub(crate) fn next_if_restored(
        self,
        now_s: f64,
        evidence: &Evidence,
        last_observed_s: f64,
        config: &ZoneFailoverConfig,
    ) -> Option<Verdict> {
        let parts = evidence.parts;
        let exponent = self
            .consecutive_failovers
            .min(config.max_consecutive_failovers);
        let dwell_s = config.dwell_s * f64::from(1u32 << exponent);
        let is_healthy = parts.seen >= config.min_parts_to_restore
            && parts.failed_share_is_at_most(config.max_failed_share_to_restore);
        let unobserved_for_s = now_s - self.since_s.max(last_observed_s);
        let is_unobserved_for_long = unobserved_for_s >= config.unobserved_dwells * dwell_s;
        let has_recovered = is_healthy && now_s - self.since_s >= dwell_s;
        (has_recovered || is_unobserved_for_long).then_some(Verdict {
            epoch: self.epoch + 1,
            since_s: now_s,
            consecutive_failovers: self.consecutive_failovers,
        })
    }

    /// Returns the next verdict on a serving zone if the zone must be ejected, otherwise `None`. `others_can_serve` is
    /// whether enough zones remain.
    pub(crate) fn next_if_ejected(
        self,
        now_s: f64,
        evidence: &Evidence,
        others_can_serve: bool,
        config: &ZoneFailoverConfig,
    ) -> Option<Verdict> {
        let parts = evidence.parts;
        let has_failed = parts.seen >= config.min_parts_to_eject
            && parts.failed_share_is_at_least(config.failed_share_to_eject);
        let age_s = now_s - self.since_s;
        let was_ejected_before = self.epoch > 0;
        let dwell_has_passed = !was_ejected_before || age_s >= config.dwell_s;
        let must_eject = has_failed
            && evidence.has_failure_majority()
            && evidence.others_are_healthy
            && others_can_serve
            && dwell_has_passed;
        let consecutive_failovers = if was_ejected_before && age_s < config.stable_after_s {
            (self.consecutive_failovers + 1).min(config.max_consecutive_failovers)
        } else {
            0
        };
        must_eject.then_some(Verdict {
            epoch: self.epoch + 1,
            since_s: now_s,
            consecutive_failovers,
        })
    }
}
