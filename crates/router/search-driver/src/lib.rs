//! What every host of the decision module needs, once: the settings read from JSON, the searches in hand and
//! the carrying out of a plan. Owns neither clock nor sockets nor a wire, and must never decide anything.

mod search_table;
mod settings;
pub mod watch;

pub use search_table::{PlanExecutor, SearchTable};
pub use settings::settings;
