//! Control plane and storage of the serving tier: the roles of the binary `woadreach-control`.
//!
//! The entry points are [`core_role::run`] and [`storage_role::run`], which construct the services of a role.
//!
//! A machine of the `core` role is a member of a chain that replicates the operator's configuration and the
//! view of the storage machines:
//!
//! - [`member_driver`] connects [`woadreach_chain::Member`], which performs no I/O, to the clock, disk and
//!   network. [`durable_log`] encodes the records of the member in the journal, and [`journal_health`] tracks the
//!   state of the journal.
//! - [`operator`] is the operator's HTTP API. Any core machine accepts an order, and [`order`] forwards it to
//!   the head of the chain.
//! - [`instances`] is the HTTP API for the heartbeats of replicas.
//! - [`storage_planner`] changes the view of the storage machines while this machine is the head.
//! - [`committed`] publishes the committed state to the data plane through `woadreach-discovery`.
//!
//! # A configuration change, step by step
//!
//! 1. Any core machine receives `PUT /config`, and reads and validates the body ([`operator`]).
//! 2. The order is sent to the head of the chain, and again to each new head until it is answered ([`order`]).
//! 3. The member of the head evaluates the change and appends a write, which is synced and forwarded along the
//!    chain ([`member_driver`], [`durable_log`]; `woadreach-chain` documents the steps).
//! 4. The change is committed when the tail has synced it, and the operator receives the response.
//! 5. Each core machine publishes the committed state to the data plane ([`committed`]).
//!
//! A machine of the `storage` role ([`storage_role`]) runs [`woadreach_storage::server::Server`] and
//! announces itself to the core. The protocol is described in `docs/control-plane.md` and `docs/storage.md`.

use std::time::Duration;

pub mod command_line;
pub mod committed;
pub mod core_role;
pub mod durable_log;
pub mod error;
pub mod http_server;
pub mod instances;
pub mod journal_health;
pub mod logging;
pub mod member_driver;
pub mod operator;
pub mod order;
mod random;
mod storage_announcer;
mod storage_metrics;
pub mod storage_planner;
pub mod storage_role;

/// Interval between checks whether a machine that is shutting down may stop.
const DEPARTURE_POLL_INTERVAL: Duration = Duration::from_millis(50);
