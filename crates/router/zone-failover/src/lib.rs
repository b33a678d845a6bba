//! Which zones take traffic, decided in common by the co-ordinators of a tier.
//!
//! Start with [`LocalPeer`]: it is one co-ordinator among its peers, datagrams in and datagrams out. It joins
//! [`Members`](woadreach_membership::Members) with [`Zones`], which decides:
//!
//! - Each co-ordinator sees a few parts of every zone ([`ZoneObservation`]). Members exchange them as [`Report`]s of a
//!   few bytes, piggybacked on membership datagrams ([`GossipPayload`]).
//! - From the reports and the members that are alive ([`View`](woadreach_membership::View)) each member computes a
//!   [`Verdict`] for each zone. It is a deterministic function of them, and the verdict with the highest epoch is
//!   valid, so that all members agree in the end.
//! - Verdicts give the share of its traffic that each zone may have, and how much traffic stays near.
//!
//! The crate has no clock and no socket, and names no replica: what a verdict does to one search is decided in
//! `woadreach-routing`. Design, alternatives and the operators' page: `docs/failover.md`.

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
