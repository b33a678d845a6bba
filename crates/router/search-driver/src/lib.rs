//! Parts that all hosts of the routing decisions share: parsing of the settings, the table of searches in flight, and
//! the execution of plans in the right order. It has no clock, no sockets and no wire format, and makes no decisions.
//!
//! A host implements [`PlanExecutor`] and calls the methods of a [`SearchTable`]. [`comparison`] compares decisions
//! with the limits of another deployment.

pub mod comparison;
mod search_table;
mod settings;
mod settings_error;

pub use search_table::{InFlightCounts, PlanExecutor, SearchTable, TIMER_PRECISION};
pub use settings::parse_settings;
pub use settings_error::SettingsError;
