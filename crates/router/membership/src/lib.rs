//! Which co-ordinators of a tier are alive, as each learns it from the others in small datagrams.
//!
//! Start with [`Members`], the state machine: it takes times and messages and returns [`Actions`]; it has no socket and
//! reads no clock. The protocol is SWIM (Das and others, 2002) as the `foca` crate implements it. Three things are
//! added:
//!
//! - the roster: only the configured members can join, and the others announce themselves to those that are missing;
//! - local health awareness (Lifeguard, Dadgar and others, 2018): a member whose own probes fail is slower to suspect;
//! - partition detection: a member that hears at most half of the roster reports itself as partitioned
//!   ([`View::is_partitioned`]), instead of declaring all others down.
//!
//! [`datagram`] is the envelope of everything that co-ordinators send each other. It also carries payloads of
//! `woadreach-zone-failover` and `woadreach-lease`, which this crate doesn't read. Both order members by
//! [`splitmix64`].
//!
//! Design, alternatives and the operators' page: `docs/failover.md`.

mod actions;
mod config;
pub mod datagram;
mod member;
mod members;
mod protocol_state;
mod splitmix64;
mod view;

pub use actions::{Actions, MembershipEvent, OutgoingMessage};
pub use config::MembershipConfig;
pub use member::{Member, MemberId};
pub use members::Members;
pub use splitmix64::splitmix64;
pub use view::View;
