//! woadreach: decides where the parts of a search go, when they leave and when the search is answered.
//!
//! `balance` holds every decision; `api` holds the plain types that callers pass in and get back.

pub mod api;
pub mod balance;
