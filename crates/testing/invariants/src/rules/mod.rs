//! One file for each guarantee. Every file adds the methods of [`Checker`](crate::Checker) that judge it.

use crate::units::Share;

/// Least difference of shares of weight that counts: settings write weights with few digits.
pub(crate) const WEIGHT_TOLERANCE: Share = 1e-4;

mod answers;
mod disconnected_clients;
mod drains;
mod lost_searches;
mod parts;
mod repeats;
mod retry_budget;
mod slow_start;
