//! What a run has shown.

use crate::record::{Record, SearchOutcome};
use crate::recovery::Recovery;
use serde::Serialize;
use woadreach_invariants::{Breach, CoordinatorId, Event};

/// What a run has shown.
#[derive(Clone, Debug, Serialize)]
pub struct Outcome {
    /// The script's seed.
    pub seed: u64,
    /// Digest of all events and the clock's steps: the same for two runs of one script.
    pub digest: String,
    /// The first breaches, 20 at most.
    pub breaches: Vec<Breach>,
    /// Simulated seconds.
    pub seconds: f64,
    /// Steps of the clock.
    pub steps: u64,
    /// Events that were judged.
    pub events: u64,
    /// Searches whose client didn't disconnect.
    pub searches: u64,
    /// Searches that were answered within their latency target.
    #[serde(rename = "good")]
    pub answered_in_time: u64,
    /// Attempts that replicas received.
    #[serde(rename = "sub_requests")]
    pub attempts: u64,
    /// Datagrams between co-ordinators.
    pub datagrams: u64,
    /// Their bytes.
    pub datagram_bytes: u64,
    /// The new verdicts on zones that co-ordinators adopted.
    pub verdicts: Vec<VerdictAdoption>,
    /// The recovery from each fault of the script.
    pub recoveries: Vec<Recovery>,
    /// All events, if they were kept.
    #[serde(skip)]
    pub trace: Vec<Event>,
}

/// A co-ordinator adopts a new verdict on a zone.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct VerdictAdoption {
    /// When, in seconds from the run's beginning.
    #[serde(rename = "at")]
    pub at_s: f64,
    /// The co-ordinator.
    pub node: CoordinatorId,
    /// The zone, by its number.
    pub zone: usize,
    /// The verdict's epoch, which is odd while the zone is out.
    pub epoch: u32,
}

impl Outcome {
    /// What the record of a run shows; the figures of the clock and the network are zero.
    pub(crate) fn of_record(seed: u64, seconds: f64, record: &Record) -> Outcome {
        let served: Vec<SearchOutcome> = record.served();
        Outcome {
            seed,
            digest: record.digest(),
            breaches: record.breaches.clone(),
            seconds,
            steps: 0,
            events: record.events,
            searches: served.len() as u64,
            answered_in_time: served.iter().filter(|search| search.in_time).count() as u64,
            attempts: record.attempts_received_at.len() as u64,
            datagrams: 0,
            datagram_bytes: 0,
            verdicts: Vec::new(),
            recoveries: Vec::new(),
            trace: Vec::new(),
        }
    }
}
