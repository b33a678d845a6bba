//! Membership of a tier of co-ordinators: which of them are alive. Co-ordinators exchange this in small datagrams.
//!
//! Start with [`Members`], a state machine without a socket or a clock: its input is times and messages, its output
//! [`Actions`]. The protocol is SWIM (Das and others, 2002), as implemented by the `foca` crate, with three additions:
//!
//! - the roster: only the configured members can join, and live members announce themselves to missing ones;
//! - local health awareness (Lifeguard, Dadgar and others, 2018): a member whose own probes fail is slower to suspect
//!   others;
//! - partition detection: a member for which at most half of the roster is alive reports itself as partitioned
//!   ([`View::is_partitioned`]), instead of declaring all others down.
//!
//! [`datagram`] is the envelope of all messages between co-ordinators. It also contains payloads of
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
