//! The one set of scripted parties for all rigs and tests: replicas, clients and discovery, over any network.
//! Each plays its script and tells a [`Recorder`] what it saw; whoever runs them changes their scripts while
//! they play. They read and write the protocol by themselves, so that a co-ordinator's own mistakes are not
//! theirs.
//!
//! Owns the stand-ins' state and connections; must never judge what it sees: that is `woadreach-invariants`.

mod client;
mod discovery;
mod recorder;
mod replica;
mod wire;

pub use client::{Ask, Caller, Calls, Retry};
pub use discovery::{Agent, CallsWhileSilent, Line, discovery};
pub use recorder::Recorder;
pub use replica::{Behaviour, Replica, replica};
pub use wire::{Frame, Message, Part, answer_frame, frame, parts_of, request, response};
