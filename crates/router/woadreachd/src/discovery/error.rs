//! Why a call or a watch ended without a usable list.

use crate::{http, json};
use snafu::Snafu;
use std::io;

/// Why a call or a watch ended.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(super)))]
pub(super) enum DiscoveryError {
    /// Nothing complete was received for too long.
    #[snafu(display("silent"))]
    TimedOut,
    #[snafu(display("connection ended"))]
    ConnectionEnded,
    #[snafu(display("watch ended"))]
    WatchEnded,
    #[snafu(display("no descriptor"))]
    NoDescriptor,
    #[snafu(display("status {status}"))]
    Status { status: String },
    #[snafu(display("{source}"))]
    Io { source: io::Error },
    #[snafu(display("{source}"))]
    Http { source: http::ParseError },
    #[snafu(display("{source}"))]
    InvalidList { source: json::ParseError },
    #[snafu(display("list {generation} ignored, {current} is held"))]
    OlderList { generation: u64, current: u64 },
    #[snafu(display("version {generation} after a later one"))]
    OlderChange { generation: u64 },
    #[snafu(display("the core has ended"))]
    CoreEnded,
}
