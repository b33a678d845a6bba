//! What every host of the routing decisions needs: the settings read from JSON, the searches in flight, and
//! the order in which a plan is carried out. It has neither clock nor sockets nor a wire format, and decides
//! nothing.
//!
//! A host implements [`PlanExecutor`] and drives a [`SearchTable`]. [`comparison`] compares decisions with the
//! settings of another deployment.

pub mod comparison;
mod search_table;
mod settings;
mod settings_error;

pub use search_table::{InFlightCounts, PlanExecutor, SearchTable, TIMER_PRECISION};
pub use settings::parse_settings;
pub use settings_error::SettingsError;
