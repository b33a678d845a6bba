//! For each rule, histories that satisfy it and histories that violate it.

mod answers;
mod disconnected_clients;
mod drains;
mod lost_searches;
mod proof;
mod repeats;
mod retry_budget;
mod slow_start;
mod support;
