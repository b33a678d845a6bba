//! Data plane of the serving tier: accepts clients' HTTP requests and forwards each to a replica.
//!
//! Start with [`run()`], which wires the process, and [`proxy::Proxy`], which all requests share. A request then
//! passes through these layers, outermost first:
//!
//! | layer | what it does to a request |
//! | --- | --- |
//! | [`client`] | accepts connections, reads and checks the request, writes the response |
//! | [`request`] | one task for each request: carries out decisions and holds its state table |
//! | [`turns`] | reserves the program's token budget, loads the turns before this one, stores the new turn |
//! | [`dispatcher`] | asks `woadreach-scheduler` which replica to try, when to retry, when to give up |
//! | [`replica`] | sends one attempt over a pooled connection and classifies the response |
//!
//! Beside them, [`routing_state`] is the configuration and the replicas that the control plane has sent,
//! [`lifecycle`] and [`shutdown`] are readiness and the graceful shutdown, [`metrics`] is the page for operators.

pub mod client;
pub mod clock;
pub mod command_line;
pub mod counters;
pub mod dispatcher;
pub mod lifecycle;
pub mod metrics;
pub mod mutations;
pub mod proxy;
pub mod readiness;
pub mod replica;
pub mod request;
pub mod routing_state;
pub mod run;
pub mod shutdown;
pub mod turns;

pub use run::{RunError, run};
