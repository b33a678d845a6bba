//! Gossip payloads: those that are piggybacked on datagrams to other members, and those that are received.

use super::Zones;
use crate::gossip::{GossipPayload, InvalidPayload, ZoneVerdict};
use crate::verdict::Verdict;
use woadreach_membership::View;

/// Maximum distance by which a received epoch may be ahead of this member's epoch, unless that is 0.
const MAX_EPOCH_GAP: u32 = 64;
/// Limit on the bytes of reports in a datagram while no verdict is about to change: three reports of three zones.
const NON_URGENT_REPORT_BYTES: usize = 36;
/// Number of times that a member sends each report, as a multiple of the natural logarithm of the number of members
/// (SWIM, section 4.1).
const TRANSMISSION_FACTOR: f64 = 4.0;
/// Upper bounds on the encoded length of the payload's lists without their entries, and of a verdict, in bytes.
const LIST_BYTES: usize = 4;
const VERDICT_BYTES: usize = 12;

impl Zones {
    /// Handles a payload from another member.
    ///
    /// # Errors
    ///
    /// The payload is malformed or from another deployment. It is counted and rejected as a whole.
    pub fn receive(&mut self, now_s: f64, bytes: &[u8]) -> Result<(), InvalidPayload> {
        let payload = GossipPayload::decode(bytes, self.verdicts.len(), self.roster_size)
            .inspect_err(|_| self.rejected += 1)?;
        for verdict in &payload.verdicts {
            self.adopt(now_s, verdict);
        }
        for report in payload.reports {
            if report.member != self.id {
                self.reports.insert_if_newer(now_s, report);
            }
        }
        Ok(())
    }

    /// Adopts a received verdict if its epoch is higher. A verdict that is ahead by more than [`MAX_EPOCH_GAP`] is
    /// rejected, since a corrupted epoch would otherwise be valid forever. The drawback: a member that has missed more
    /// changes than that during a partition must be restarted.
    fn adopt(&mut self, now_s: f64, received: &ZoneVerdict) {
        let max_consecutive_failovers = self.config.max_consecutive_failovers;
        let verdict = &mut self.verdicts[usize::from(received.zone)];
        let since_s = now_s - received.age_s();
        if received.epoch > verdict.epoch {
            if verdict.epoch > 0 && received.epoch - verdict.epoch > MAX_EPOCH_GAP {
                self.rejected += 1;
                return;
            }
            *verdict = Verdict {
                epoch: received.epoch,
                since_s,
                consecutive_failovers: received
                    .consecutive_failovers
                    .min(max_consecutive_failovers),
            };
        } else if received.epoch == verdict.epoch && received.epoch > 0 {
            // Two members may have reached the verdict concurrently. Both use the earlier time, so that their slow
            // starts of a restored zone agree.
            verdict.since_s = verdict.since_s.min(since_s);
        }
    }

    /// Returns the payload for a datagram with `capacity` bytes left: all verdicts, then the reports that were sent
    /// least often. The payload is empty if there is nothing to send or if it doesn't fit.
    pub fn gossip(&mut self, now_s: f64, capacity: usize, view: &View) -> Vec<u8> {
        let verdicts: Vec<ZoneVerdict> = self
            .verdicts
            .iter()
            .enumerate()
            .filter(|(_, verdict)| verdict.epoch > 0)
            .map(|(zone, verdict)| {
                let age_s = now_s - verdict.since_s;
                let failovers = verdict.consecutive_failovers;
                ZoneVerdict::new(zone as u8, verdict.epoch, age_s, failovers)
            })
            .collect();
        self.reporters.update(view, self.config.max_reporters);
        let base_bytes = LIST_BYTES + verdicts.len() * VERDICT_BYTES;
        let capacity = if self.is_urgent(now_s) {
            capacity
        } else {
            capacity.min(base_bytes + NON_URGENT_REPORT_BYTES)
        };
        let members = self.roster_size as f64 + 1.0;
        let max_sends = (TRANSMISSION_FACTOR * members.ln()).ceil() as u32;
        let report_bytes = capacity.saturating_sub(base_bytes);
        let reports = self
            .reports
            .take_for_gossip(now_s, report_bytes, max_sends, &self.reporters);
        let payload = GossipPayload { verdicts, reports };
        let bytes = payload.encode();
        if payload == GossipPayload::default() || bytes.len() > capacity {
            Vec::new()
        } else {
            bytes
        }
    }
}
