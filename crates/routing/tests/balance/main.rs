//! Tables of cases for the decisions on searches, by concern.

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
