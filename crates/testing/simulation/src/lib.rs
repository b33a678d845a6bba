//! Runs co-ordinators on a virtual clock and a simulated network, under scripts of faults that are drawn from
//! seeds.
//!
//! A [`Script`] is drawn from a seed or read from a file. [`play`] runs it, checks every rule after each event,
//! and returns an [`Outcome`]; [`shrink`] reduces a script that breaks a rule. Two runs of one script are the
//! same. `docs/faults.md` explains the design. Start reading at `world`.

mod clock;
mod digest;
mod load;
#[cfg(feature = "mutations")]
pub mod mutations;
mod network;
mod outcome;
mod record;
mod recovery;
mod script;
mod settings;
mod shrink;
mod sockets;
mod time;
mod world;

pub use digest::digest;
pub use load::{draw_gap, draw_request};
pub use network::{BEGIN, seed_of};
pub use outcome::{Outcome, VerdictAdoption};
pub use record::{Record, SearchOutcome};
pub use recovery::Recovery;
pub use script::{
    Budget, CallsWhileUnresponsive, Fault, FaultKind, Fleet, InvalidScript, Load, Peers, Position,
    QueryType, Repeats, Script, ScriptError, Settings, SlowStart,
};
pub use settings::{CoordinatorAddresses, configuration, terms};
pub use shrink::{Shrunk, shrink};
pub use sockets::{SocketsError, on_sockets};
pub use world::{Options, play};
