//! The payload and its codec.

use super::report::Report;
use super::zone_verdict::ZoneVerdict;
use serde::{Deserialize, Serialize};
use snafu::{Snafu, ensure};
use woadreach_membership::MemberId;

/// What a member piggybacks on a datagram.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct GossipPayload {
    /// The verdicts of zones that were ever ejected.
    pub verdicts: Vec<ZoneVerdict>,
    /// Reports of some members.
    pub reports: Vec<Report>,
}

/// Why a payload was rejected.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub(super)))]
pub enum InvalidPayload {
    /// It can't be decoded, or bytes are left over.
    #[snafu(display("malformed gossip payload"))]
    Malformed,
    /// It names a zone that the settings don't have.
    #[snafu(display("gossip payload names the unknown zone {zone}"))]
    UnknownZone {
        /// The zone's position.
        zone: u8,
    },
    /// It has a report of a member outside the roster.
    #[snafu(display("gossip payload names the unknown member {}", member.0))]
    UnknownMember {
        /// The member.
        member: MemberId,
    },
    /// It has a report on another number of zones than the settings have.
    #[snafu(display("gossip payload reports on {zone_count} zones"))]
    ZoneCount {
        /// The number of zones in the report.
        zone_count: usize,
    },
}

impl GossipPayload {
    /// Encodes the payload.
    pub fn encode(&self) -> Vec<u8> {
        // Writing to memory cannot fail.
        postcard::to_stdvec(self).unwrap_or_default()
    }

    /// Decodes a payload from any process. No bytes are an empty payload.
    ///
    /// # Errors
    ///
    /// If any part of it is malformed or belongs to a deployment with other zones or members, all of it is rejected.
    pub fn decode(
        bytes: &[u8],
        zone_count: usize,
        roster_size: usize,
    ) -> Result<GossipPayload, InvalidPayload> {
        if bytes.is_empty() {
            return Ok(GossipPayload::default());
        }
        let Ok((payload, [])) = postcard::take_from_bytes::<GossipPayload>(bytes) else {
            return MalformedSnafu.fail();
        };
        let check_zone = |zone: u8| -> Result<(), InvalidPayload> {
            ensure!(usize::from(zone) < zone_count, UnknownZoneSnafu { zone });
            Ok(())
        };
        for verdict in &payload.verdicts {
            check_zone(verdict.zone)?;
        }
        for report in &payload.reports {
            check_zone(report.zone)?;
            let member = report.member;
            ensure!(
                usize::from(member.0) < roster_size,
                UnknownMemberSnafu { member }
            );
            let reported = report.zone_count();
            ensure!(
                reported == zone_count,
                ZoneCountSnafu {
                    zone_count: reported
                }
            );
        }
        Ok(payload)
    }
}
