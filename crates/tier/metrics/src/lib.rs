//! The metrics page of a process, in the OpenMetrics text format.
//!
//! A role fills a [`Page`] with the figures of the moment when it is read; nothing is counted for the page's sake
//! between two reads, so that it costs nothing while nobody reads it. [`bind_and_serve`] serves the page at `/metrics`.

mod page;
mod server;

pub use page::{Page, Samples};
pub use server::{CONTENT_TYPE, MetricsError, PageSource, bind, bind_and_serve, router};
