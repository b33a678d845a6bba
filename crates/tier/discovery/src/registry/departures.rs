//! Departures of a [`Registry`] for the disk: restored at the start, written as they occur, and all of them in a snapshot.

use std::time::Duration;

use super::Registry;
use crate::departure_log::DepartureLog;
use crate::status::IdentifiedStatus;

/// Departures of a [`Registry`] that are written to disk together.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RegistryDepartures {
    /// Number for [`Registry::record_departures_synced`] once they are on disk.
    pub number: u64,
    /// Tombstones and records of draining replicas.
    pub departures: Vec<IdentifiedStatus>,
}

impl Registry {
    /// Merges the departures that this machine's disk had at the start of the process. Must be called before any other
    /// change.
    pub fn restore_departures(&mut self, now: Duration, departures: Vec<IdentifiedStatus>) {
        for IdentifiedStatus { id, status } in departures {
            self.merge(now, &id, status);
        }
        self.departure_log = DepartureLog::default();
    }

    /// Which departures are not on this machine's disk yet.
    pub fn departure_log(&self) -> &DepartureLog {
        &self.departure_log
    }

    /// Takes the departures that have to be written to disk next; `None` if there are none.
    pub fn next_departures(&mut self) -> Option<RegistryDepartures> {
        let batch = self.departure_log.next_batch()?;
        let departures = batch
            .ids
            .into_iter()
            .filter_map(|id| self.departure(&id))
            .collect();
        Some(RegistryDepartures {
            number: batch.number,
            departures,
        })
    }

    /// All departures, for a snapshot on disk.
    pub fn all_departures(&self) -> RegistryDepartures {
        let departures = self
            .entries
            .keys()
            .filter_map(|id| self.departure(id))
            .collect();
        RegistryDepartures {
            number: self.departure_log.last_number(),
            departures,
        }
    }

    /// Records that all departures up to `number` are on disk.
    pub fn record_departures_synced(&mut self, number: u64) {
        self.departure_log.record_synced(number);
    }

    /// Status of `id` if it is a departure; `None` if the replica is ready or was dropped.
    fn departure(&self, id: &str) -> Option<IdentifiedStatus> {
        let status = self.status(id).filter(|status| status.is_departure())?;
        Some(IdentifiedStatus {
            id: id.to_owned(),
            status: status.clone(),
        })
    }
}
