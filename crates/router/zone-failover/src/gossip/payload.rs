//! The gossip payload and its codec.

use super::report::Report;
use super::zone_verdict::ZoneVerdict;
use serde::{Deserialize, Serialize};
use snafu::{Snafu, ensure};
use woadreach_membership::MemberId;

/// The payload that a member piggybacks on a datagram.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct GossipPayload {
    /// Verdicts on the zones that were ever ejected.
    pub verdicts: Vec<ZoneVerdict>,
    /// Reports of some members.
    pub reports: Vec<Report>,
}

/// The reason why a payload was rejected.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub(super)))]
pub enum InvalidPayload {
    /// The payload can't be decoded or has trailing bytes.
    #[snafu(display("malformed gossip payload"))]
    Malformed,
    /// The payload refers to a zone that is not in the settings.
    #[snafu(display("gossip payload names the unknown zone {zone}"))]
    UnknownZone {
        /// Position of the zone.
        zone: u8,
    },
    /// The payload contains a report from a member outside the roster.
    #[snafu(display("gossip payload names the unknown member {}", member.0))]
    UnknownMember {
        /// Member that the report is from.
        member: MemberId,
    },
    /// The payload contains a report on a different number of zones than the settings have.
    #[snafu(display("gossip payload reports on {zone_count} zones"))]
    ZoneCount {
        /// Number of zones in the report.
        zone_count: usize,
    },
}

impl GossipPayload {
    /// Encodes the payload.
    pub fn encode(&self) -> Vec<u8> {
        // Writing to memory cannot fail.
        postcard::to_stdvec(self).unwrap_or_default()
    }

    /// Decodes an untrusted payload. Zero bytes decode to an empty payload.
    ///
    /// # Errors
    ///
    /// The payload is rejected as a whole if any part of it is malformed or is from a deployment with other zones or
    /// members.
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
