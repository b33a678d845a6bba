//! One woadreach co-ordinator (query router) on whatever [`Net`](woadreach_runtime::Net) it is given.
//!
//! [`serve`] starts the tasks that do the work, and ends them at SIGTERM. A search passes through them thus:
//!
//! 1. `front::connection`, a task for each client, has `front::request_reader` read a request with [`http`] and
//!    `front::request_target` check it with [`json`]; `front::responder` sends it to the core as an `Arrival`.
//! 2. `core` is one task. `core::handlers` adds the search to the search table, the routing decisions place its
//!    parts, and `core::executor` carries out their plan: it sends attempts and sets timers.
//! 3. `replicas`, the pool of connections, is a part of the core task. It puts each attempt on the write queue of
//!    a connection; `replicas::connection`, a task for each, writes it as a [`frame`] and reads the answers.
//! 4. Answers return to `core::handlers` as events. `replicas::attempts` pairs them with their attempts, and
//!    the routing decisions receive each attempt's outcome: they plan retries, or finish the search.
//! 5. `core::executor` gives the final answer to `front::responder`, which waits for it and encodes it.
//!
//! `discovery` keeps the endpoint list, `peers` speaks with the other co-ordinators, [`config`] reads the
//! settings, `sockets` is the budget of descriptors that all share, `phase` says what the process serves, and
//! [`events`] are the messages between tasks.

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
mod phase;
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
