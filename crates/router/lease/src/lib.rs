//! Singleton roles of a tier of co-ordinators, each held by one member at a time under a lease.
//!
//! Start with [`SingletonRoles`]: it is the state machine that a co-ordinator's driver feeds with times, payloads
//! and demands, and whose [`RoleActions`] it executes. The crate has no clock, no socket and no thread. Inside it:
//!
//! - [`Leases`] decides who holds a [`Role`]. It asks a fixed set of acceptors for a lease, and answers such requests
//!   as an acceptor itself. A majority of grants is a lease. Every action of a holder carries a [`FencingToken`], and a
//!   member that has seen a later token rejects it. Nothing is written to disk: an acceptor that may have forgotten a
//!   grant stays silent for as long as that grant could be valid.
//! - [`QuotaShare`] and [`QuotaAllocator`] share out the request quota of replicas that are warming up.
//! - [`EndpointUpdates`] passes on that a replica drains or has departed.
//! - [`Message`] is what members send each other, with [`encode_messages`] and [`decode_messages`] as its codec.
//!
//! Design, alternatives and the operators' page: `docs/leases.md`.

mod clock_stamp;
mod endpoint_update;
mod endpoint_updates;
mod fencing_token;
mod leases;
mod message;
mod quota;
mod rendezvous;
mod replica_key;
mod role;
mod roles;

pub use clock_stamp::ClockStamp;
pub use endpoint_update::{Departure, EndpointUpdate};
pub use endpoint_updates::EndpointUpdates;
pub use fencing_token::{FencingToken, Incarnation};
pub use leases::{Actions, LeaseConfig, LeaseCounters, LeaseEvent, Leases, OutgoingMessage};
pub use message::{MAX_MESSAGES, Message, decode_messages, encode_messages};
pub use quota::{
    Allocation, LocalDemand, QuotaAllocator, QuotaConfig, QuotaGrant, QuotaShare, ReplicaDemand,
};
pub use replica_key::ReplicaKey;
pub use role::Role;
pub use roles::{
    LeaseAction, LocalMember, OutgoingPayload, RoleActions, SingletonRoles, SlowStartSplit,
};
