//! Co-ordinators on a virtual clock and a simulated network, under scripts of faults from seeds.
//!
//! A [`Script`] is drawn from a seed or read from a file; [`play`] runs it, with every rule checked after
//! each event, and gives an [`Outcome`]; [`shrink`] cuts one that breaks a rule down. `docs/faults.md` says
//! why it is built so. Owns each world it plays from its beginning to its end; must never let one run touch
//! another.

mod clock;
mod load;
#[cfg(feature = "mutations")]
pub mod mutations;
mod network;
mod record;
mod recovery;
mod script;
mod shrink;
mod sockets;
mod world;

pub use load::{draw_ask, draw_gap};
pub use network::{BEGIN, seed_of};
pub use record::{Fared, Record};
pub use recovery::Recovery;
pub use script::{
    Budget, Cold, Fault, FaultKind, Fleet, InvalidScript, Load, Peers, Position, QueryType,
    Repeats, Script, ScriptError, Settings, SilentCalls,
};
pub use shrink::{Small, shrink};
pub use sockets::on_sockets;
pub use world::{Judged, Options, Outcome, Places, configuration, play, terms};

/// A short mark of a text: equal for equal ones.
pub fn digest(text: &str) -> String {
    blake3::hash(text.as_bytes()).to_hex()[..16].to_string()
}
