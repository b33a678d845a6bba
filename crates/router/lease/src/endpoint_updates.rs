//! Endpoint updates: those that a lease holder sends, and those that other members receive.
//!
//! A received update can only close a replica that is open in the member's own endpoint list, and only for a limited
//! time. The endpoint list remains the source of truth.

use crate::endpoint_update::{Departure, EndpointUpdate};
use crate::replica_key::ReplicaKey;
use std::collections::BTreeMap;

/// Number of times that an update is sent. At 30 % packet loss, one member in 37 receives none of three.
const SENDS_PER_UPDATE: u8 = 3;
/// Interval between two transmissions of an update, in seconds.
const SEND_INTERVAL_S: f64 = 0.3;
/// Validity of a received update, in seconds. Discovery reports a change within 6 s.
const UPDATE_TIMEOUT_S: f64 = 8.0;
/// Limit on the number of updates in one datagram.
const MAX_UPDATES_PER_MESSAGE: usize = 24;
/// Limit on the number of outgoing updates, and on that of received updates. Further ones are dropped.
const MAX_UPDATES: usize = 1024;

/// An update that has not yet been sent [`SENDS_PER_UPDATE`] times.
#[derive(Clone, Debug)]
struct OutgoingUpdate {
    departure: Departure,
    remaining_sends: u8,
    next_send_s: f64,
}

/// An update received from a lease holder.
#[derive(Clone, Debug)]
struct ReceivedUpdate {
    departure: Departure,
    expires_at_s: f64,
}

/// The outgoing and the received endpoint updates of one member.
#[derive(Clone, Debug, Default)]
pub struct EndpointUpdates {
    outgoing: BTreeMap<ReplicaKey, OutgoingUpdate>,
    received: BTreeMap<ReplicaKey, ReceivedUpdate>,
    /// Number of updates that were received before this member's own endpoint list contained the change.
    pub ahead_of_list: u64,
}

impl EndpointUpdates {
    /// Records the state of a replica in this member's own endpoint list. `departure` is `None` while the replica
    /// serves. A received update on the replica is discarded, since the list supersedes it.
    pub fn record_endpoint_state(
        &mut self,
        now_s: f64,
        replica: ReplicaKey,
        departure: Option<Departure>,
    ) {
        self.received.remove(&replica);
        let has_capacity = self.outgoing.len() < MAX_UPDATES;
        let Some(departure) = departure.filter(|_| has_capacity) else {
            self.outgoing.remove(&replica);
            return;
        };
        let known = self.outgoing.get(&replica);
        if known.is_none_or(|update| update.departure != departure) {
            let update = OutgoingUpdate {
                departure,
                remaining_sends: SENDS_PER_UPDATE,
                next_send_s: now_s,
            };
            self.outgoing.insert(replica, update);
        }
    }

    /// Returns the updates that a lease holder has to send now, and counts one transmission of each.
    pub fn take_due(&mut self, now_s: f64) -> Vec<EndpointUpdate> {
        let mut due = Vec::new();
        for (replica, update) in &mut self.outgoing {
            if update.next_send_s <= now_s && due.len() < MAX_UPDATES_PER_MESSAGE {
                update.remaining_sends -= 1;
                update.next_send_s = now_s + SEND_INTERVAL_S;
                due.push(EndpointUpdate {
                    replica: *replica,
                    departure: update.departure,
                });
            }
        }
        self.outgoing.retain(|_, update| update.remaining_sends > 0);
        due
    }

    /// Discards the outgoing updates. Called on members that are not the lease holder, as only the holder sends
    /// updates.
    pub fn clear_outgoing(&mut self) {
        self.outgoing.clear();
    }

    /// Records an update from the lease holder. Returns `true` if the update is new, and the replica must be closed. Of
    /// two departures of one replica, the later in the order of [`Departure`] is kept.
    pub fn receive(&mut self, now_s: f64, update: EndpointUpdate) -> bool {
        let known = self.received.get(&update.replica).map(|r| r.departure);
        if self.received.len() >= MAX_UPDATES && known.is_none() {
            return false;
        }
        let departure = known.map_or(update.departure, |known| known.max(update.departure));
        let received = ReceivedUpdate {
            departure,
            expires_at_s: now_s + UPDATE_TIMEOUT_S,
        };
        self.received.insert(update.replica, received);
        self.ahead_of_list += u64::from(known.is_none());
        known != Some(departure)
    }

    /// Removes the received updates that this member's own endpoint list has not confirmed in time. Returns their
    /// replicas, whose state is again that of the list.
    pub fn take_expired(&mut self, now_s: f64) -> Vec<ReplicaKey> {
        let expired = self
            .received
            .iter()
            .filter(|(_, update)| update.expires_at_s <= now_s)
            .map(|(replica, _)| *replica)
            .collect();
        self.received
            .retain(|_, update| update.expires_at_s > now_s);
        expired
    }
}
