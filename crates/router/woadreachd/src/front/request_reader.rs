//! Reading a request from a client's connection. Between two requests the connection waits here, where it may be
//! closed, since no response is owed.

use super::Front;
use super::client_connection::ClientConnection;
use super::refusal::Refusal;
use crate::http::{self, Body, Framing, Head, ParseError};
use crate::phase::Phase;
use std::io::ErrorKind;
use woadreach_runtime::{Elapsed, Net, Stream};

/// Seconds from the acceptance of a connection, or from the first byte of a later request, within which the
/// request must be complete.
///
/// By the protocol a client that sends nothing valid is owed an error or a close 3 s after it connected; half a second
/// is left for the way.
const REQUEST_TIMEOUT: f64 = 2.5;
/// Seconds after which an idle connection is closed. By the protocol one without an open request may be closed after
/// 2 s.
const IDLE_TIMEOUT: f64 = 2.0;
/// Capacity for an ordinary request, in bytes; given back between requests.
const READ_CAPACITY: usize = 1024;

/// What a client has sent next.
pub(super) enum Received {
    /// A complete request; what it asks for has not been looked at.
    Request {
        head: Box<Head>,
        /// Its body.
        content: Vec<u8>,
    },
    /// Something that is no request, or is one that takes too long: it is answered with an error.
    Refused(Refusal),
    /// The connection is to end.
    End,
}

/// Why a request has not been read; as in [`Received`].
enum Unread {
    Refused(Refusal),
    End,
}

impl From<ParseError> for Unread {
    fn from(error: ParseError) -> Self {
        Unread::Refused(error.into())
    }
}

impl From<Elapsed> for Unread {
    fn from(_: Elapsed) -> Self {
        Unread::Refused(Refusal::closing(408, "half sent"))
    }
}

impl<N: Net> Front<N> {
    /// The next complete request. Between requests the connection may be closed. The time of the first counts
    /// from `accepted_at`.
    pub(super) async fn next_request(
        &self,
        client: &mut ClientConnection<N>,
        accepted_at: Option<f64>,
    ) -> Received {
        match self.read_request(client, accepted_at).await {
            Ok((head, content)) => Received::Request {
                head: Box::new(head),
                content,
            },
            Err(Unread::Refused(refusal)) => Received::Refused(refusal),
            Err(Unread::End) => Received::End,
        }
    }

    async fn read_request(
        &self,
        client: &mut ClientConnection<N>,
        accepted_at: Option<f64>,
    ) -> Result<(Head, Vec<u8>), Unread> {
        let (head, deadline) = self.read_head(client, accepted_at).await?;
        let framing = head.framing()?;
        if framing == Framing::None && head.method() == "POST" {
            return Err(ParseError::LengthRequired.into());
        }
        client.bytes.drain(..head.length);
        let expects_continue = head.expects_continue();
        let content = self
            .read_body(client, Body::new(framing), expects_continue, deadline)
            .await?;
        Ok((head, content))
    }

    /// The head, and until when the rest of the request must be there.
    async fn read_head(
        &self,
        client: &mut ClientConnection<N>,
        accepted_at: Option<f64>,
    ) -> Result<(Head, f64), Unread> {
        let mut deadline = self.net.now() + REQUEST_TIMEOUT;
        loop {
            if let Some(head) = http::parse_request(&client.bytes)? {
                return Ok((head, deadline));
            }
            let n = if client.bytes.is_empty() {
                let n = self.read_idle(client, accepted_at.is_some()).await;
                deadline = accepted_at.unwrap_or_else(|| self.net.now()) + REQUEST_TIMEOUT;
                n
            } else {
                self.read_more(client, deadline).await?
            };
            if n == 0 {
                return Err(Unread::End);
            }
        }
    }

    async fn read_body(
        &self,
        client: &mut ClientConnection<N>,
        mut body: Body,
        mut owes_continue: bool,
        deadline: f64,
    ) -> Result<Vec<u8>, Unread> {
        let mut content = Vec::new();
        loop {
            let taken = body.take(&client.bytes, &mut content, http::MAX_BODY)?;
            client.bytes.drain(..taken.bytes);
            if taken.complete {
                return Ok(content);
            }
            if std::mem::take(&mut owes_continue) && client.bytes.is_empty() {
                let written = client.stream.write_all(b"HTTP/1.1 100 Continue\r\n\r\n");
                if written.await.is_err() {
                    return Err(Unread::End);
                }
            }
            if self.read_more(client, deadline).await? == 0 {
                return Err(Unread::End);
            }
        }
    }

    /// Reads more of a request that has begun; 0 if the connection is to end.
    ///
    /// A request that is incomplete at the end of the process counts as never received: clients that never
    /// finish must not keep the process beyond the time at which it is killed.
    async fn read_more(
        &self,
        client: &mut ClientConnection<N>,
        deadline: f64,
    ) -> Result<usize, Elapsed> {
        let mut phase = self.phase.clone();
        tokio::select! {
            biased;
            n = self.net.timeout_at(deadline, client.read(&self.net)) => n.map(|n| n.unwrap_or(0)),
            _ = phase.wait_for(|p| *p == Phase::Ending) => Ok(0),
        }
    }

    /// Reads the first bytes of a request; 0 if the connection is to end instead. `unused`: the connection
    /// has had no request yet.
    async fn read_idle(&self, client: &mut ClientConnection<N>, unused: bool) -> usize {
        let number = self.new_number();
        let close = self.idle.insert(number, unused, self.net.now());
        // Else clients that ask once and keep their connections would hold memory for good.
        client.bytes = Vec::new();
        let (mut phase, deadline) = (self.phase.clone(), self.net.now() + IDLE_TIMEOUT);
        let mut ending = false;
        let n = loop {
            tokio::select! {
                biased;
                _ = client.stream.readable() => {
                    client.bytes.reserve(READ_CAPACITY);
                    match client.stream.try_read(&mut client.bytes) {
                        Err(e) if e.kind() == ErrorKind::WouldBlock => {}
                        read => break read.unwrap_or(0),
                    }
                }
                // A request may have been received just as its connection is to end: sockets are polled once
                // more before it closes. A later one finds a closed connection, and the client sends it once
                // more.
                () = std::future::ready(()), if ending => break 0,
                () = close.notified() => ending = true,
                _ = phase.wait_for(|p| *p >= Phase::Closing) => ending = true,
                () = self.net.sleep_until(deadline) => ending = true,
            }
            if ending {
                self.net.yield_now().await;
            }
        };
        client.record_receipt(&self.net);
        self.idle.remove(number, unused);
        n
    }
}
