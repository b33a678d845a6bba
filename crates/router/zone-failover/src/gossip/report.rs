//! What one member sees of all zones, as it is sent.

use crate::part_counts::PartCounts;
use serde::{Deserialize, Serialize};
use woadreach_membership::MemberId;

/// Limit on the parts of an encoded count, which has four bits. Larger counts are scaled down.
const MAX_ENCODED_PARTS: u32 = 15;
/// Unit of an encoded age, in seconds.
const AGE_UNIT_S: f64 = 0.05;
/// Steps of the encoded rate for each doubling: it is a logarithm to the base of two.
const RATE_STEPS: f64 = 8.0;

/// What one member sees of all zones.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// The member that made the report.
    pub member: MemberId,
    /// The zone of that member.
    pub zone: u8,
    /// Increases with each report of the member. It wraps: one less than half of the range ahead is newer.
    pub sequence: u8,
    /// In units of [`AGE_UNIT_S`].
    age: u8,
    /// Parts per second, in [`RATE_STEPS`] on a logarithmic scale.
    rate: u8,
    /// A byte for each zone: parts seen in the upper four bits, those that failed in the lower.
    counts: Vec<u8>,
}

fn encode_counts(parts: &PartCounts) -> u8 {
    let seen = parts.seen.min(MAX_ENCODED_PARTS);
    let failed = parts.failed.min(parts.seen);
    let scaled_failed = if parts.seen > MAX_ENCODED_PARTS {
        // Rounded to the nearest, so that large counts are not biased.
        (failed * MAX_ENCODED_PARTS + parts.seen / 2) / parts.seen
    } else {
        failed
    };
    (seen << 4 | scaled_failed) as u8
}

impl Report {
    /// A report made now. `parts_per_second` is the rate at which the member sends parts; `parts` has
    /// one entry for each zone.
    pub fn new(
        member: MemberId,
        zone: u8,
        sequence: u8,
        parts_per_second: f64,
        parts: &[PartCounts],
    ) -> Report {
        Report {
            member,
            zone,
            sequence,
            age: 0,
            rate: ((1.0 + parts_per_second.max(0.0)).log2() * RATE_STEPS).min(255.0) as u8,
            counts: parts.iter().map(encode_counts).collect(),
        }
    }

    /// How old it was when it was sent, in seconds.
    pub fn age_s(&self) -> f64 {
        f64::from(self.age) * AGE_UNIT_S
    }

    /// The same report with another age, in seconds.
    #[must_use]
    pub fn with_age(&self, age_s: f64) -> Report {
        Report {
            age: (age_s / AGE_UNIT_S).clamp(0.0, 255.0) as u8,
            ..self.clone()
        }
    }

    /// The rate at which the member sends parts, within a tenth.
    pub fn parts_per_second(&self) -> f64 {
        (f64::from(self.rate) / RATE_STEPS).exp2() - 1.0
    }

    /// Parts seen of a zone; none for an unknown zone.
    pub fn parts(&self, zone: usize) -> PartCounts {
        let encoded = self.counts.get(zone).copied().unwrap_or(0);
        let seen = u32::from(encoded >> 4);
        PartCounts {
            seen,
            failed: u32::from(encoded & 15).min(seen),
        }
    }

    /// The number of zones that it reports on.
    pub fn zone_count(&self) -> usize {
        self.counts.len()
    }

    /// Limit on its encoded length in bytes.
    pub fn max_encoded_bytes(&self) -> usize {
        3 + 1 + 1 + 1 + 1 + 1 + self.counts.len()
    }
}
