//! Which zones serve, decided in common by the co-ordinators of a tier.
//!
//! Each co-ordinator sees a sliver of every zone. [`Zones`] takes in what this one sees ([`ZoneObservation`]), what the
//! others report in a few bytes that ride on membership datagrams, and who is there
//! ([`woadreach_membership::View`]); it gives back a verdict for each zone, told by an epoch and its age, and
//! how much of the traffic may stay near. Times and values go in, values come out: no clock, no socket.
//! `docs/failover.md` has the options that were weighed and the operators' page.
//!
//! Owns verdicts and reports; must never name a replica: what a verdict does to one search the module
//! decides. [`Peer`] puts it together with [`woadreach_membership::Members`]: datagrams in, datagrams out.

mod decide;
mod gossip;
mod peer;

pub use decide::{Turn, Verdict, ZoneFailoverConfig, ZoneObservation, Zones};
pub use gossip::{GossipPayload, InvalidPayload, Report, ZoneVerdict};
pub use peer::{Out, Peer, PeerCounters};
