//! One request between its client and its replicas: the task that drives it, and its state table.
//!
//! It stands between the two sides so that all that may be said to the client is decided in one place: every
//! change of state goes through [`state::RequestProgress`], which knows whether the request may have run.

pub mod state;
pub mod task;
