//! The protocol as replicas and clients see it: frames, requests and responses. Pure functions over bytes.

mod frame;
mod http;

pub(crate) use frame::{Part, PartEnd, encode_answer, parse_frame, parse_parts};
pub(crate) use http::{Response, encode_request, parse_response};
