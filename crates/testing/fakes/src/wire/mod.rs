//! The protocol of replicas and clients: encoding and parsing of frames, requests and responses, without I/O.

mod frame;
mod http;

pub(crate) use frame::{Part, PartEnd, encode_answer, parse_frame, parse_parts};
pub(crate) use http::{Response, encode_request, parse_response};
