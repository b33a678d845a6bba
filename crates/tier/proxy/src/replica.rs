//! The replicas' side: one attempt of a request, from a pooled connection to a classified response.
//!
//! It is the innermost layer. An [`attempt`] checks a [`connection`] out of the [`pool`], sends the request and
//! classifies the head of the response ([`response_head`]). It never retries a request that may have run; it
//! reports what happened, and the scheduler decides. [`event_stream`] splits streamed bodies into events.

pub mod attempt;
pub mod connection;
pub mod event_stream;
pub mod pool;
pub mod response_head;
