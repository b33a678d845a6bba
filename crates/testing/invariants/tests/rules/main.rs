//! Events for each rule, kept and broken, by the module that judges it.

mod answers;
mod disconnected_clients;
mod drains;
mod lost_searches;
mod proof;
mod repeats;
mod retry_budget;
mod slow_start;
mod support;
