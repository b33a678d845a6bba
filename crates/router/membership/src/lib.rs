//! Which co-ordinators of a tier are there, as each hears it from the others in small datagrams.
//!
//! [`Members`] decides: times and datagrams go in, datagrams and changes come out; it holds no socket and
//! reads no clock. The protocol is SWIM by the `foca` crate; around it stand the tier's roster (the
//! configured `peers`), Lifeguard's local health awareness, and a stand against self-delusion: one that hears
//! at most half of its roster says of itself that it is cut off, and calls nobody dead. [`datagram`] is the
//! envelope, which also carries zone_gossip of other packages. `docs/failover.md` has the options that were
//! weighed.
//!
//! Owns what is known of members; must never decide where a search goes, nor know what zone_gossip mean.

pub mod datagram;
mod decide;
mod member;

pub use decide::{Actions, Members, MembershipConfig, MembershipEvent, View};
pub use member::{Member, MemberId};
