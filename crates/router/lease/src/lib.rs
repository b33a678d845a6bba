//! SingletonRoles that one co-ordinator holds at a time.
//!
//! [`Leases`] is both sides of the agreement: it asks a few members of the tier, the acceptors, for a lease
//! on a duty, and as an acceptor promises one. A majority of promises is a lease; no two majorities are
//! without a common member. Every act of a holder carries a [`FencingToken`], and whoever has seen a later one
//! refuses it. Nothing is written to a disk: an acceptor that has started, or whose clock has jumped, is
//! silent for as long as any promise that it may have forgotten.
//!
//! Two duties stand on it: [`QuotaShare`] and [`QuotaAllocator`] share out what a cold replica bears, [`EndpointUpdates`] spreads
//! what a list told one of them. Times and messages go in, messages and acts come out: no clock, no socket.
//! `docs/leases.md` has the options that were weighed and the operators' page.

mod endpoint_update;
mod leases;
mod message;
mod quota_allocator;
mod singleton_roles;

pub use endpoint_update::{Departure, EndpointUpdate, EndpointUpdates};
pub use leases::{Actions, LeaseConfig, LeaseCounters, LeaseEvent, Leases};
pub use message::{FencingToken, Incarnation, MAX_MESSAGES, Message, Role, open, seal};
pub use quota_allocator::{
    LocalDemand, QuotaAllocator, QuotaConfig, QuotaGrant, QuotaShare, ReplicaDemand, ReplicaKey,
};
pub use singleton_roles::{LocalMember, RoleActions, SingletonRoles};
