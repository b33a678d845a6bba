//! Failover between zones: the co-ordinators of a tier agree on the zones that receive traffic.
//!
//! Start with [`LocalPeer`], which handles the datagrams of one co-ordinator. It combines
//! [`Members`](woadreach_membership::Members) with [`Zones`], which works in three steps:
//!
//! - Each co-ordinator observes the outcome of the few parts that it sends to every zone ([`ZoneObservation`]). Members
//!   exchange their observations in [`Report`]s of a few bytes, piggybacked on membership datagrams
//!   ([`GossipPayload`]).
//! - From the reports and the live members ([`View`](woadreach_membership::View)), each member computes a [`Verdict`]
//!   for each zone. The computation is deterministic, and the verdict with the highest epoch is valid, so that the
//!   verdicts of all members converge.
//! - The verdicts determine the fraction of its normal traffic that each zone receives, and the fraction of traffic
//!   that remains in the local zone.
//!
//! The crate has no clock and no socket, and doesn't handle individual replicas: `woadreach-routing` applies the
//! verdicts to searches. Design, alternatives and the operators' page: `docs/failover.md`.

mod config;
mod evidence;
mod gossip;
mod local_peer;
mod part_counts;
mod peer_actions;
mod report_table;
mod reporters;
mod verdict;
mod zones;

pub use config::ZoneFailoverConfig;
pub use gossip::{GossipPayload, InvalidPayload, Report, ZoneVerdict};
pub use local_peer::LocalPeer;
pub use part_counts::{PartCounts, ZoneObservation};
pub use peer_actions::{OutgoingDatagram, PeerActions, PeerCounters, RolePayload};
pub use verdict::{Verdict, VerdictChange};
pub use zones::{SpillGroup, Zones};
