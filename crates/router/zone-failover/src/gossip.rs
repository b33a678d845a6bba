//! What rides on a datagram: verdicts, and reports of some members. Owns their form and its limits; must
//! never judge what a report says.

use serde::{Deserialize, Serialize};
use woadreach_membership::MemberId;

/// Most of a row's parts; larger counts are told in proportion.
const FULL: u32 = 15;
/// Ages of reports are told in twentieths of a second, those of verdicts in hundredths.
const REPORT_TICK: f64 = 0.05;
const VERDICT_TICK: f64 = 0.01;

/// A zone's verdict as it is told.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct ZoneVerdict {
    pub zone: u8,
    pub epoch: u32,
    age: u32,
    pub consecutive_failovers: u8,
}

/// What one member sees of all zones.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Report {
    pub member: MemberId,
    /// The member's own.
    pub zone: u8,
    /// Wraps: one less than half the circle ahead is newer.
    pub nth: u8,
    age: u8,
    /// Of its parts a second, in eighths of the logarithm by two.
    demand: u8,
    /// A byte a zone: parts seen and, of those, bad, four bits each.
    rows: Vec<u8>,
}

#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct GossipPayload {
    pub verdicts: Vec<ZoneVerdict>,
    pub reports: Vec<Report>,
}

/// GossipPayload that cannot be read, or that speak of another deployment's zones or members.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct InvalidPayload;

impl ZoneVerdict {
    pub fn new(zone: u8, epoch: u32, age: f64, consecutive_failovers: u8) -> ZoneVerdict {
        ZoneVerdict {
            zone,
            epoch,
            age: (age.max(0.0) / VERDICT_TICK) as u32,
            consecutive_failovers,
        }
    }

    pub fn age(&self) -> f64 {
        f64::from(self.age) * VERDICT_TICK
    }
}

impl Report {
    /// `rows`: parts seen and bad, by zone.
    pub fn new(member: MemberId, zone: u8, nth: u8, demand: f64, rows: &[(u32, u32)]) -> Report {
        let row = |&(seen, bad): &(u32, u32)| {
            let shown = seen.min(FULL);
            // Rounded to the nearest, so that neither side gains by many parts.
            let bad = if seen > FULL {
                (bad.min(seen) * FULL + seen / 2) / seen
            } else {
                bad.min(seen)
            };
            (shown << 4 | bad) as u8
        };
        let demand = ((1.0 + demand.max(0.0)).log2() * 8.0).min(255.0) as u8;
        Report {
            member,
            zone,
            nth,
            age: 0,
            demand,
            rows: rows.iter().map(row).collect(),
        }
    }

    pub fn age(&self) -> f64 {
        f64::from(self.age) * REPORT_TICK
    }

    #[must_use]
    pub fn aged(&self, age: f64) -> Report {
        Report {
            age: (age / REPORT_TICK).clamp(0.0, 255.0) as u8,
            ..self.clone()
        }
    }

    pub fn demand(&self) -> f64 {
        (f64::from(self.demand) / 8.0).exp2() - 1.0
    }

    /// Parts seen of a zone and, of those, bad.
    pub fn row(&self, zone: usize) -> (u32, u32) {
        let row = self.rows.get(zone).copied().unwrap_or(0);
        let seen = u32::from(row >> 4);
        (seen, u32::from(row & 15).min(seen))
    }

    /// No more than this many bytes.
    pub fn size(&self) -> usize {
        3 + 1 + 1 + 1 + 1 + 1 + self.rows.len()
    }
}

impl GossipPayload {
    pub fn seal(&self) -> Vec<u8> {
        // Writing to memory cannot fail.
        postcard::to_stdvec(self).unwrap_or_default()
    }

    /// Danger: another deployment's co-ordinator, an older one or anybody may send here. All of it is refused
    /// if one zone or member is not ours. Nothing at all is sound: no gossip.
    pub fn open(
        bytes: &[u8],
        zones: usize,
        roster: usize,
    ) -> Result<GossipPayload, InvalidPayload> {
        if bytes.is_empty() {
            return Ok(GossipPayload::default());
        }
        let Ok((gossip, [])) = postcard::take_from_bytes::<GossipPayload>(bytes) else {
            return Err(InvalidPayload);
        };
        let zone = |z: u8| usize::from(z) < zones;
        let known =
            |r: &Report| zone(r.zone) && usize::from(r.member.0) < roster && r.rows.len() == zones;
        let sound =
            gossip.verdicts.iter().all(|v| zone(v.zone)) && gossip.reports.iter().all(known);
        if sound {
            Ok(gossip)
        } else {
            Err(InvalidPayload)
        }
    }
}
