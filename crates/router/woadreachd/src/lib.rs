//! One woadreach co-ordinator (query router) on whatever [`Net`](woadreach_runtime::Net) it is given.
//!
//! [`serve`] starts the tasks that do the work, and ends them at SIGTERM. A search passes through them thus:
//!
//! 1. `front` reads a client's request (with [`http`] and [`json`]) and sends it to the core.
//! 2. `core` has the routing decisions place its parts, and owns all timers.
//! 3. `replicas` sends the parts as [`frame`]s and reports how each attempt ends.
//! 4. The core sends the final answer back to the front.
//!
//! `discovery` keeps the endpoint list, `peers` speaks with the other co-ordinators, [`config`] reads the
//! settings, `sockets` is the budget of descriptors that all share, and [`events`] are the messages between
//! tasks.

pub mod config;
mod core;
mod discovery;
mod error;
pub mod events;
pub mod frame;
mod front;
pub mod http;
pub mod json;
mod peers;
mod replicas;
mod server;
mod shutdown;
mod sockets;

pub use crate::core::{CoreConfig, UsageCallback};
pub use discovery::parse_list;
pub use error::ServeError;
pub use front::RequestNames;
pub use peers::{PeerConfig, VerdictCallback};
pub use replicas::ConnectionConfig;
pub use server::{Environment, ReadSource, serve};
