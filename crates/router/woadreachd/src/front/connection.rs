//! The task of one client connection.
//!
//! It reads a request ([`super::request_reader`]), has it answered ([`super::responder`]), writes the response,
//! and only then looks at the next request: responses leave in the order of their requests.

use super::Front;
use super::client_connection::ClientConnection;
use super::request_reader::Received;
use super::responder::Response;
use crate::http;
use crate::phase::Phase;
use crate::sockets::Permit;
use std::rc::Rc;
use tracing::debug;
use woadreach_runtime::{Net, Stream};

/// Seconds for which a connection that is closed is still read from, see [`Front::linger`].
const LINGER_TIMEOUT: f64 = 0.5;
/// The same when the process is about to be killed.
const LINGER_TIMEOUT_AT_END: f64 = 0.1;
/// Most bytes that are read in that time: what a sound client may have sent meanwhile.
const MAX_LINGER_BYTES: usize = http::MAX_BODY;
/// Seconds after which a client that does not read its answer is given up.
const WRITE_TIMEOUT: f64 = 5.0;
/// Seconds between the refusal of a request and the next look at its connection, so that a client which sends
/// invalid requests as fast as it can does not take more time than one that is served.
const REFUSAL_DELAY: f64 = 0.02;

/// How the requests of a connection have ended.
#[derive(PartialEq)]
enum Ended {
    /// The connection closes at once: nothing is owed, or the client is not there to read it.
    CloseAtOnce,
    /// The client may still be reading the last response: see [`Front::linger`].
    Linger,
}

impl<N: Net> Front<N> {
    /// Serves a connection until it is closed.
    pub(super) async fn connection(self: Rc<Self>, stream: N::Stream, permit: Permit) {
        let mut client = ClientConnection::<N> {
            stream,
            bytes: Vec::new(),
            received_at: self.net.now(),
        };
        if self.requests(&mut client).await == Ended::Linger {
            self.linger(&mut client).await;
        }
        drop(client);
        drop(permit);
        self.open_connections.set(self.open_connections.get() - 1);
    }

    /// Reads to the client's end: the kernel answers what is unread with a reset, which overtakes the last
    /// response.
    async fn linger(&self, client: &mut ClientConnection<N>) {
        let _ = client.stream.shutdown().await;
        let drain = async {
            client.bytes.clear();
            let mut remaining = MAX_LINGER_BYTES;
            while let Ok(n @ 1..) = client.read(&self.net).await {
                remaining = remaining.saturating_sub(n);
                client.bytes.clear();
                if remaining == 0 {
                    break;
                }
            }
        };
        let timeout = if *self.phase.borrow() == Phase::Ending {
            LINGER_TIMEOUT_AT_END
        } else {
            LINGER_TIMEOUT
        };
        let _ = self.net.timeout(timeout, drain).await;
    }

    /// Serves requests one after the other.
    async fn requests(&self, client: &mut ClientConnection<N>) -> Ended {
        let mut accepted_at = Some(self.net.now());
        loop {
            let response = match self.next_request(client, accepted_at.take()).await {
                Received::End => return Ended::CloseAtOnce,
                Received::Refused(refusal) => {
                    debug!(
                        status = refusal.status,
                        reason = refusal.reason,
                        "request refused"
                    );
                    Response::refused(&refusal, true)
                }
                Received::Request { head, content } => {
                    // The response to a HEAD has no body: the method is not supported, and ends the
                    // connection.
                    let close = head.closes() || head.method() == "HEAD";
                    match self.respond(client, &head, content, close).await {
                        Some(response) => response,
                        None => return Ended::CloseAtOnce,
                    }
                }
            };
            let written = client.stream.write_all(&response.bytes);
            match self.net.timeout(WRITE_TIMEOUT, written).await {
                Ok(Ok(())) if !response.close => {}
                Ok(Ok(())) => return Ended::Linger,
                _ => return Ended::CloseAtOnce,
            }
            if response.refused {
                self.net.sleep(REFUSAL_DELAY).await;
            }
        }
    }
}
