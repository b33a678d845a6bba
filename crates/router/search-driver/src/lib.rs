//! What every host of the decision module needs, once: the settings read from JSON, the searches in hand and
//! the carrying out of a plan. Owns neither clock nor sockets nor a wire, and must never decide anything.

mod hand;
mod settings;
pub mod watch;

pub use hand::{Hand, Sink};
pub use settings::settings;
