//! Data plane of the serving tier.
//!
//! A client's request is read whole ([`request_service`]), gets a task of its own ([`request_task`]) and is
//! sent to replicas as the decisions of `woadreach-scheduler` say ([`dispatcher`]). An attempt ([`attempt`])
//! uses a pooled connection ([`replica_pool`]); its answer is judged ([`replica_answer`]) and passed on,
//! streams event by event ([`event_stream`]). Kept turns and budgets go through the storage machines
//! ([`turn_store`]). What may be said to a client when is guarded by [`request_state`].

#![warn(missing_docs)]

pub mod answer_body;
pub mod attempt;
pub mod client_connection;
pub mod client_request;
pub mod client_side;
pub mod command_line;
pub mod counters;
pub mod deadline;
pub mod dispatcher;
pub mod event_stream;
pub mod front;
pub mod kept_turns;
pub mod knowledge;
pub mod lifecycle;
pub mod mutations;
pub mod own_answer;
pub mod proxy;
pub mod readiness;
pub mod replica_answer;
pub mod replica_connection;
pub mod replica_pool;
pub mod request_headers;
pub mod request_service;
pub mod request_state;
pub mod request_task;
pub mod run;
pub mod shutdown;
pub mod token_ledger;
pub mod turn_store;

pub use run::{RunError, run};
