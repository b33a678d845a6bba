//! Clients that send one request after the other, at times two at once, over one connection for as long as it
//! holds.

use super::Shared;
use super::oracle::SentRequest;
use crate::support::{Client, Seen};
use std::net::SocketAddr;

const PATHS: [&str; 5] = ["/unsafe/", "/unsafe/", "/safe/", "/once/", "/resumable/"];
/// Milliseconds that a client waits.
const TIMEOUT_MS: u64 = 150;
/// Longer than what a connection takes before it is read.
const LONG_BODY: usize = 60_000;

/// One request in this many is followed by another before its response is read.
const PIPELINED_ONE_IN: u64 = 8;
/// One request in this many is abandoned by its client, which does not read the response.
const ABANDONED_ONE_IN: u64 = 16;

pub(super) async fn run(number: usize, front: SocketAddr, shared: &Shared) {
    let mut client = Client::connect(front).await;
    let mut request = 0;
    while request < super::REQUESTS_OF_A_CLIENT {
        let at_once = if shared.below(PIPELINED_ONE_IN) == 0 {
            2
        } else {
            1
        };
        let ids: Vec<String> = (request..request + at_once)
            .map(|next| format!("c{number}-{next}"))
            .collect();
        request += at_once;
        let sent: Vec<u8> = ids.iter().flat_map(|id| draw(id, shared)).collect();
        client.send(&sent).await;
        let leaves = shared.below(ABANDONED_ONE_IN) == 0;
        if leaves || !read_answers(&mut client, &ids, shared).await {
            client = Client::connect(front).await;
        }
    }
}

/// Reads the answers in their order; whether the connection may be used on.
async fn read_answers(client: &mut Client, ids: &[String], shared: &Shared) -> bool {
    for id in ids {
        let seen = client.answer().await;
        shared.oracle.lock().answered(id, &seen);
        if !is_reusable(&seen) {
            return false;
        }
    }
    true
}

fn is_reusable(seen: &Seen) -> bool {
    seen.complete && seen.header("connection") != Some("close")
}

/// The bytes of a request that is drawn.
fn draw(id: &str, shared: &Shared) -> Vec<u8> {
    let path = PATHS[shared.below(PATHS.len() as u64) as usize];
    let length = if shared.below(4) == 0 {
        LONG_BODY
    } else {
        shared.below(50) as usize
    };
    let first = shared.below(256) as u8;
    let request = SentRequest {
        path,
        body: (0..length).map(|at| first.wrapping_add(at as u8)).collect(),
    };
    shared.oracle.lock().sends(id, request.clone());
    encode(id, &request)
}

fn encode(id: &str, request: &SentRequest) -> Vec<u8> {
    let mut bytes = format!(
        "POST {} HTTP/1.1\r\nHost: tier.example\r\nRequest-Id: {id}\r\nTimeout-Ms: {TIMEOUT_MS}\r\n\
         Token-Usage: 5,12\r\nContent-Length: {}\r\n\r\n",
        request.path,
        request.body.len()
    )
    .into_bytes();
    bytes.extend_from_slice(&request.body);
    bytes
}
