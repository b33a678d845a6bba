//! Turns of programs: token budgets, the stored turns that a request continues, and the turn that it adds.
//!
//! It stands before the first attempt, since the body that a replica gets depends on the stored turns, and
//! after the last event, since a response may look complete only once its turn is durable.

pub mod replay;
pub mod request_turn;
pub mod token_counter;
