//! Framed requests and responses between the processes of the tier.
//!
//! Start reading at [`Client::call`] on the one side, and [`Router`] and [`serve`] on the other.
//!
//! One TCP connection carries many calls at once, whose responses may come in any order: each frame has a
//! bounded length, a version, the service that it is for, and a request id that pairs a response with its
//! request. A client uses each request id once, on whatever connection. A [`Client`] has one connection to
//! each address that it calls, and a new one for the next call after a failure; it never sends a request
//! twice. A server is a [`Router`] of handlers that is given to [`serve`].
//!
//! [`Frame`] is the encoding, without I/O; `connection` reads and writes frames on a socket;
//! [`RejectedRequests`] counts what handlers rejected.

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
