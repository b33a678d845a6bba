//! Framed requests and responses between the processes of the tier.
//!
//! The entry points are [`Client::call`] on the client side, and [`Router`] and [`serve`] on the server side.
//!
//! One TCP connection carries many concurrent calls, whose responses may be received in any order. Each frame has a
//! bounded length, a version, the id of a service, and a request id that matches a response to its request.
//!
//! A [`Client`] has one connection per address and opens a new one for the next call after a failure. It uses each
//! request id only once across all its connections, and never sends a request twice. A server is a [`Router`] with a
//! handler per service, run by [`serve`].
//!
//! [`Frame`] encodes and decodes frames without I/O. The module `connection` reads and writes frames on a socket.
//! [`RejectedRequests`] counts the requests that handlers reject.

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
pub use frame::{Frame, FrameError, FrameKind, MAX_BODY_BYTES, ServiceId};
#[cfg(feature = "mutations")]
pub use mutations::Mutation;
pub use rejected::RejectedRequests;
pub use server::{Router, serve};
