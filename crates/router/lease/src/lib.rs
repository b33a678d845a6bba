//! Singleton roles in a tier of co-ordinators, each assigned to one member at a time by a lease.
//!
//! Start with [`SingletonRoles`], a state machine without a clock, a socket or a thread. The driver of a co-ordinator
//! calls it with times, payloads and demands, and executes the returned [`RoleActions`]. Its parts:
//!
//! - [`Leases`] determines the holder of each [`Role`]. A candidate requests a lease from a fixed set of acceptors, and
//!   has acquired it once a majority has granted it. Every member answers such requests as an acceptor. Every action of
//!   a holder contains a [`FencingToken`], and a member that has seen a later token rejects the action. Leases are not
//!   persisted: an acceptor that may have lost a grant answers no request for as long as that grant could be valid.
//! - [`QuotaShare`] and [`QuotaAllocator`] distribute the request quota of replicas that are warming up.
//! - [`EndpointUpdates`] distributes the news that a replica is draining or has departed.
//! - [`Message`] is a message between members, with [`encode_messages`] and [`decode_messages`] as its codec.
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
