//! Clients that send one request after the other, over one connection for as long as it holds.

use super::Shared;
use super::oracle::SentRequest;
use crate::support::{Client, Seen};
use std::net::SocketAddr;

const PATHS: [&str; 5] = ["/unsafe/", "/unsafe/", "/safe/", "/once/", "/resumable/"];
/// Milliseconds that a client waits.
const TIMEOUT_MS: u64 = 150;
/// Longer than what a connection takes before it is read.
const LONG_BODY: usize = 60_000;

pub async fn run(number: usize, front: SocketAddr, shared: &Shared) {
    let mut client = Client::connect(front).await;
    for request in 0..super::REQUESTS_OF_A_CLIENT {
        let id = format!("c{number}-{request}");
        let sent = draw(shared);
        shared.oracle.lock().sends(&id, sent.clone());
        client.send(&encode(&id, &sent)).await;
        let seen = client.answer().await;
        shared.oracle.lock().answered(&id, &seen);
        if !is_kept(&seen) {
            client = Client::connect(front).await;
        }
    }
}

fn is_kept(seen: &Seen) -> bool {
    seen.whole && seen.header("connection") != Some("close")
}

fn draw(shared: &Shared) -> SentRequest {
    let path = PATHS[shared.below(PATHS.len() as u64) as usize];
    let length = if shared.below(4) == 0 { LONG_BODY } else { shared.below(50) as usize };
    let first = shared.below(256) as u8;
    SentRequest { path, body: (0..length).map(|at| first.wrapping_add(at as u8)).collect() }
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
