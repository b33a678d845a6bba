//! The report of one member on all zones, and its encoding.

use crate::part_counts::PartCounts;
use serde::{Deserialize, Serialize};
use woadreach_membership::MemberId;

/// Maximum of an encoded count, which has four bits. Larger counts are scaled down.
const MAX_ENCODED_PARTS: u32 = 15;
/// Unit of an encoded age, in seconds.
const AGE_UNIT_S: f64 = 0.05;
/// Steps of the encoded rate per doubling. The encoding is a binary logarithm.
const RATE_STEPS: f64 = 8.0;

/// The observations of one member on all zones.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// Member that created the report.
    pub member: MemberId,
    /// Zone of that member at the time of the report.
    pub zone: u8,
    /// Sequence number of the member's reports. It wraps: a number that is ahead by less than half of the range is
    /// newer.
    pub sequence: u8,
    /// Age of the report when it was sent, in units of [`AGE_UNIT_S`].
    age: u8,
    /// Rate on a logarithmic scale: [`RATE_STEPS`] times the binary logarithm of one plus the parts per second.
    rate: u8,
    /// One byte for each zone: the number of parts seen in the upper four bits, and of failed parts in the lower four.
    counts: Vec<u8>,
}

fn encode_counts(parts: &PartCounts) -> u8 {
    let seen = parts.seen.min(MAX_ENCODED_PARTS);
    let failed = parts.failed.min(parts.seen);
    let scaled_failed = if parts.seen > MAX_ENCODED_PARTS {
        // Rounded to nearest, so that scaling has no bias.
        (failed * MAX_ENCODED_PARTS + parts.seen / 2) / parts.seen
    } else {
        failed
    };
    (seen << 4 | scaled_failed) as u8
}

impl Report {
    /// Creates a report with age zero. `parts_per_second` is the rate at which the member sends parts; `parts` has one
    /// entry for each zone.
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

    /// Returns the age of the report when it was sent, in seconds.
    pub fn age_s(&self) -> f64 {
        f64::from(self.age) * AGE_UNIT_S
    }

    /// Returns the report with this age, in seconds.
    #[must_use]
    pub fn with_age(&self, age_s: f64) -> Report {
        Report {
            age: (age_s / AGE_UNIT_S).clamp(0.0, 255.0) as u8,
            ..self.clone()
        }
    }

    /// Returns the rate at which the member sends parts, with an error of up to a tenth.
    pub fn parts_per_second(&self) -> f64 {
        (f64::from(self.rate) / RATE_STEPS).exp2() - 1.0
    }

    /// Returns the counts of a zone; zero for an unknown zone.
    pub fn parts(&self, zone: usize) -> PartCounts {
        let encoded = self.counts.get(zone).copied().unwrap_or(0);
        let seen = u32::from(encoded >> 4);
        PartCounts {
            seen,
            failed: u32::from(encoded & 15).min(seen),
        }
    }

    /// Returns the number of zones in the report.
    pub fn zone_count(&self) -> usize {
        self.counts.len()
    }

    /// Returns an upper bound on the encoded length, in bytes.
    pub fn max_encoded_bytes(&self) -> usize {
        3 + 1 + 1 + 1 + 1 + 1 + self.counts.len()
    }
}
