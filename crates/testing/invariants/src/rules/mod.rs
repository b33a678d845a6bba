//! One file for each guarantee, and `parts`, which hands each part to them, and `disconnected_clients`, which judges
//! [`Rule::Sound`](crate::Rule::Sound). Every file adds the methods of [`Checker`](crate::Checker) that do so.

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
