//! The metrics page of a process, in the OpenMetrics text format.
//!
//! A role builds a [`Page`] from its current values on each request for it. No work is done for metrics between two
//! requests, so that the page has no cost while it is not requested. [`bind_and_serve`] serves the page at `/metrics`.

mod page;
mod server;

pub use page::{Page, Samples};
pub use server::{CONTENT_TYPE, MetricsError, PageSource, bind, bind_and_serve, router};
