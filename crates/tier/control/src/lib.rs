//! Control plane and storage of the serving tier: the roles of the binary `woadreach-control`.
//!
//! Start reading at [`core_role::run`] or [`storage_role::run`], which wire a process of the role together.
//!
//! A machine of the `core` role is a member of a chain that replicates the operator's configuration and the
//! view of the storage machines:
//!
//! - [`member_driver`] runs [`woadreach_chain::Member`], which decides without I/O, on the clock, disk and
//!   network; [`durable_log`] encodes its records in the journal, and [`journal_health`] has the states of
//!   that journal.
//! - [`operator`] is the operator's HTTP API. Any core machine accepts an order, and [`order`] takes it to
//!   the head of the chain.
//! - [`instances`] is the HTTP API of the replicas' heartbeats.
//! - [`storage_planner`] changes the view of the storage machines while this machine is the head.
//! - [`committed`] publishes the committed state to the data plane by way of `woadreach-discovery`.
//!
//! # A configuration change, step by step
//!
//! 1. `PUT /config` reaches any core machine, which reads and validates the body ([`operator`]).
//! 2. The order goes to the head of the chain, and to each new head until there is an answer ([`order`]).
//! 3. The head's member judges the change and appends the write, which is synced and passes down the chain
//!    ([`member_driver`], [`durable_log`]; `woadreach-chain` has the steps).
//! 4. Once the tail has synced it, the change is committed, and the operator gets the response.
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

/// Interval at which a role that is shutting down checks the progress of its departure.
const DEPARTURE_POLL_INTERVAL: Duration = Duration::from_millis(50);
