//! Table-driven tests of the decisions on searches, one module for each concern.

#[path = "../settings/mod.rs"]
mod settings;

mod admission;
mod ejection;
mod hedging;
mod placement;
mod repeats;
mod replies;
mod slow_start;
mod support;
mod zones;
