//! One file for each guarantee. In addition, `parts` applies the rules to each part that a replica receives, and
//! `disconnected_clients` checks an aspect of [`Rule::Sound`](crate::Rule::Sound). Each file adds methods to
//! [`Checker`](crate::Checker).

use crate::units::Share;

/// Tolerance when shares of weight are compared: weights in settings are rounded to few digits.
pub(crate) const WEIGHT_TOLERANCE: Share = 1e-4;

mod answers;
mod disconnected_clients;
mod drains;
mod lost_searches;
mod parts;
mod repeats;
mod retry_budget;
mod slow_start;
