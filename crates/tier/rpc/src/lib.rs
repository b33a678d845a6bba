//! Framed requests and responses between the processes of the tier.
//!
//! One TCP connection carries many calls in both lengths and orders: each frame has a bounded length, a
//! version, the service it is for and a number that pairs a response with its request. A client uses each
//! number once, whatever the connection. A [`Client`] keeps one connection to each address it calls and opens
//! it anew when it has broken; it never sends a call twice. A server is a [`Router`] of handlers given to
//! [`serve`].

#![warn(missing_docs)]

mod client;
mod connection;
mod error;
mod frame;
#[cfg(feature = "mutations")]
mod mutations;
mod rejected;
mod server;

pub use client::{Client, ClientOptions};
pub use error::CallError;
pub use frame::{Frame, FrameError, FrameKind, LONGEST_BODY, ServiceId};
#[cfg(feature = "mutations")]
pub use mutations::Mutation;
pub use rejected::RejectedRequests;
pub use server::{Router, serve};
