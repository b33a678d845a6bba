//! Verdicts on zones, and the rules by which they change.

use crate::config::ZoneFailoverConfig;
use crate::evidence::Evidence;

/// Whether a zone takes traffic. The verdict with the highest epoch is valid at all members.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Verdict {
    /// Increases by one with each change. Even: the zone serves; odd: it is ejected.
    pub epoch: u32,
    /// When the verdict came into force, by this member's clock. Members that found it at once take the earliest.
    pub since_s: f64,
    /// How often in succession the zone was ejected soon after its return.
    pub consecutive_failovers: u8,
}

/// A verdict that has changed, by this member's own evidence or by another member's message.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct VerdictChange {
    /// The zone, as a position in the settings' list of zones.
    pub zone: u8,
    /// Its new verdict.
    pub verdict: Verdict,
    /// Parts of the zone in the reports that this member has.
    pub seen: u32,
    /// Those of `seen` that have failed.
    pub failed: u32,
}

impl Verdict {
    /// Whether the zone is ejected.
    pub fn is_ejected(&self) -> bool {
        self.epoch % 2 == 1
    }

    /// The verdict that follows for an ejected zone, if it is to be restored: probes of it succeed after the
    /// dwell, or nothing was seen of it since `last_observed_s` for long.
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
        let is_sound = parts.seen >= config.min_parts_to_restore
            && parts.failed_share_is_at_most(config.max_failed_share_to_restore);
        let unobserved_for_s = now_s - self.since_s.max(last_observed_s);
        let is_unobserved = unobserved_for_s >= config.unobserved_dwells * dwell_s;
        let may_return = is_sound && now_s - self.since_s >= dwell_s;
        (may_return || is_unobserved).then_some(Verdict {
            epoch: self.epoch + 1,
            since_s: now_s,
            consecutive_failovers: self.consecutive_failovers,
        })
    }

    /// The verdict that follows for a zone that serves, if it is to be ejected. `others_can_serve` is whether enough
    /// zones remain.
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
            && evidence.has_majority_against()
            && evidence.others_are_sound
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
