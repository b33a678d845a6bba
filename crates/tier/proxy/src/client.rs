//! The clients' side: everything from an accepted connection to a checked request, and back to the response.
//!
//! It is the outermost layer, so that malformed, oversized and slow requests are answered here and never reach
//! a replica. [`listener`] accepts connections and [`connection`] times them; [`service`] turns a request's
//! head and body into a [`request::ClientRequest`], or into the response of a [`rejection::Rejection`];
//! [`response_sender`] carries the response from the request's task back to the connection.

pub mod body_reader;
pub mod connection;
pub mod guarded_body;
pub mod headers;
pub mod listener;
pub mod local_response;
pub mod rejection;
pub mod request;
pub mod response_body;
pub mod response_sender;
pub mod service;
