//! Endpoint updates that a lease holder has to send, and those that other members have received.
//!
//! A received update only ever closes a replica that the member's own endpoint list has open, and only for a limited
//! time: the endpoint list stays the source of truth.

use crate::endpoint_update::{Departure, EndpointUpdate};
use crate::replica_key::ReplicaKey;
use std::collections::BTreeMap;

/// How often an update is sent. At 30 % loss, one member in 37 receives none of three.
const SENDS_PER_UPDATE: u8 = 3;
/// Time between two sends of an update, in seconds.
const SEND_INTERVAL_S: f64 = 0.3;
/// How long a received update is valid, in seconds. Discovery has reported the change 6 s after it at the latest.
const UPDATE_TIMEOUT_S: f64 = 8.0;
/// Limit on the updates of one datagram.
const MAX_UPDATES_PER_MESSAGE: usize = 24;
/// Limit on the updates to send, and on those received. Further ones are dropped.
const MAX_UPDATES: usize = 1024;

/// An update that is still to be sent.
#[derive(Clone, Debug)]
struct OutgoingUpdate {
    departure: Departure,
    remaining_sends: u8,
    next_send_s: f64,
}

/// An update that a lease holder has sent.
#[derive(Clone, Debug)]
struct ReceivedUpdate {
    departure: Departure,
    expires_at_s: f64,
}

/// Endpoint updates to send and received.
#[derive(Clone, Debug, Default)]
pub struct EndpointUpdates {
    outgoing: BTreeMap<ReplicaKey, OutgoingUpdate>,
    received: BTreeMap<ReplicaKey, ReceivedUpdate>,
    /// How many updates were received before this member's own endpoint list reported the change.
    pub ahead_of_list: u64,
}

impl EndpointUpdates {
    /// This member's own endpoint list has reported a replica: `None` means that it serves. The list supersedes what
    /// was received.
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

    /// The updates that a lease holder has to send now. They count as sent once.
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

    /// Drops what is to be sent. For members that don't hold the role: sending it is the holder's task.
    pub fn clear_outgoing(&mut self) {
        self.outgoing.clear();
    }

    /// Records an update from the lease holder. Returns whether it is new, in which case the replica has to be closed.
    /// Of two departures the later in [`Departure`]'s order is kept.
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

    /// Removes the received updates that this member's own endpoint list has not confirmed in time, and returns their
    /// replicas, which the list decides on again.
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
