//! The payload that members piggyback on membership datagrams: verdicts, and reports of some members.
//!
//! The encoding is postcard. It identifies fields by their order, so they must not be reordered.

mod payload;
mod report;
mod zone_verdict;

pub use payload::{GossipPayload, InvalidPayload};
pub use report::Report;
pub use zone_verdict::ZoneVerdict;
