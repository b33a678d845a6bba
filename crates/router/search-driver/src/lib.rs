//! What every host of the routing decisions needs: the settings read from JSON, the searches in flight, and
//! the order in which a plan is carried out. It has neither clock nor sockets nor a wire format, and decides
//! nothing.
//!
//! A host implements [`PlanExecutor`] and drives a [`SearchTable`]. [`watch`] compares decisions with the
//! settings of another deployment.

mod search_table;
mod settings;
mod settings_error;
pub mod watch;

pub use search_table::{InFlight, PlanExecutor, SearchTable};
pub use settings::parse_settings;
pub use settings_error::SettingsError;
