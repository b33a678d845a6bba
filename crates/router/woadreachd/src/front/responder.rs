//! Responses: waiting for the core's answer to a search, and its bytes.
//!
//! A request is handed to the core here, and the connection's task then does nothing but wait for the answer
//! and watch whether the client disconnects or the process ends, both of which it reports by
//! [`Event::AnswerNotOwed`]. Where the client stays, each request has exactly one response.

use super::Front;
use super::client_connection::ClientConnection;
use super::refusal::Refusal;
use super::request_target::RequestTarget;
use crate::events::{Answer, Event, Row};
use crate::http::{self, Head};
use crate::json::write_string;
use crate::phase::Phase;
use tokio::sync::oneshot;
use tracing::debug;
use woadreach_routing::api::SearchId;
use woadreach_routing::mutations::is_mutated;
use woadreach_runtime::Net;

/// Seconds between two reads of bytes that are discarded: at up to 80 KiB each, all that two kernels buffer,
/// some megabytes, is read well within the 0.1 s in which a client's end has to be seen.
const DISCARD_INTERVAL: f64 = 0.001;

/// What a request is answered with.
pub(super) struct Response {
    pub(super) bytes: Vec<u8>,
    /// Whether the connection ends with it.
    pub(super) close: bool,
    /// Whether the request was invalid.
    pub(super) refused: bool,
}

impl Response {
    /// The response to a request that is refused. `close`: whether the connection ends even where the refusal
    /// does not end it.
    pub(super) fn refused(refusal: &Refusal, close: bool) -> Self {
        let close = close || refusal.close;
        Response {
            bytes: refusal.response(close),
            close,
            refused: true,
        }
    }
}

/// What came of the wait for the core's answer.
struct WaitOutcome {
    /// `None` if the core has dropped the search.
    answer: Option<Answer>,
    /// Whether bytes that the client has sent meanwhile were discarded.
    discarded: bool,
}

impl<N: Net> Front<N> {
    /// Responds to a request; `None` if the client has disconnected.
    pub(super) async fn respond(
        &self,
        client: &mut ClientConnection<N>,
        head: &Head,
        content: Vec<u8>,
        close: bool,
    ) -> Option<Response> {
        let (search, reply) = match self.request_target(head, &content, client.received_at) {
            Err(refusal) => {
                debug!(
                    status = refusal.status,
                    reason = refusal.reason,
                    "request refused"
                );
                let close = self.closes_after_response(close);
                return Some(Response::refused(&refusal, close));
            }
            Ok(RequestTarget::Healthy) => {
                let close = self.closes_after_response(close);
                return Some(Response {
                    bytes: http::response(200, &[], b"", close),
                    close,
                    refused: false,
                });
            }
            Ok(RequestTarget::Search { arrival, reply }) => {
                let search = arrival.search;
                let _ = self.events.send(Event::SearchArrived(arrival));
                (search, reply)
            }
        };
        // The core holds what it needs of the request, and counts that.
        drop(content);
        let waited = self.wait_for_answer(client, search, reply).await?;
        if is_mutated("front-no-answer-at-end") && *self.phase.borrow() > Phase::Serving {
            return None;
        }
        let close = self.closes_after_response(close) || waited.discarded;
        let refused = matches!(waited.answer, Some(Answer::DuplicateTrace));
        Some(Response {
            bytes: answer_bytes(waited.answer, close),
            close,
            refused,
        })
    }

    /// Whether the connection ends with the response at hand. `requested`: the client asks for it.
    ///
    /// Where many connections are open, responses end theirs, so that clients which pool more than they use
    /// do not take up all descriptors. After SIGTERM no new clients come, and none that is sent away comes
    /// back, so that connections stay open.
    fn closes_after_response(&self, requested: bool) -> bool {
        match *self.phase.borrow() {
            Phase::Serving => requested || self.exhausted.get() || self.sockets.has_many_clients(),
            Phase::Draining => requested,
            Phase::Closing | Phase::Ending => true,
        }
    }

    /// Waits for the core's answer, and reads what the client sends ahead; `None` if it disconnects.
    ///
    /// What is beyond the budget is read and discarded, at a limited rate, and the connection ends with the
    /// answer: behind unread bytes the disconnection of a client would go unseen, and its search be worked on.
    /// Clients that send one request at a time never exceed the budget.
    async fn wait_for_answer(
        &self,
        client: &mut ClientConnection<N>,
        search: SearchId,
        mut reply: oneshot::Receiver<Answer>,
    ) -> Option<WaitOutcome> {
        let mut phase = self.phase.clone();
        let mut read_ahead = self.read_ahead.share();
        let mut ending = false;
        let mut paused = false;
        let mut discarded = false;
        let answer = loop {
            tokio::select! {
                biased;
                answer = &mut reply => break answer.ok(),
                // The core drops the search, and so the channel, before anything is answered.
                _ = phase.wait_for(|p| *p == Phase::Ending), if !ending => {
                    ending = true;
                    let _ = self.events.send(Event::AnswerNotOwed(search));
                }
                n = client.read(&self.net), if !paused => {
                    if matches!(n, Ok(0) | Err(_)) {
                        let _ = self.events.send(Event::AnswerNotOwed(search));
                        return None;
                    }
                    let limit = read_ahead.reserve(client.bytes.len());
                    if client.bytes.len() > limit {
                        client.bytes.truncate(limit);
                        client.bytes.reserve(limit);
                        paused = true;
                        discarded = true;
                    }
                }
                () = self.net.sleep(DISCARD_INTERVAL), if paused => paused = false,
            }
        };
        Some(WaitOutcome { answer, discarded })
    }
}

fn answer_bytes(answer: Option<Answer>, close: bool) -> Vec<u8> {
    match answer {
        Some(Answer::Answered { complete, rows }) => {
            let json = ("Content-Type", "application/json".to_string());
            http::response(200, &[json], &answer_body(complete, &rows), close)
        }
        Some(Answer::Shed { retry_after_s }) if retry_after_s > 0.0 => {
            let header = ("Retry-After", format!("{retry_after_s:.3}"));
            http::response(503, &[header], b"", close)
        }
        Some(Answer::Shed { .. }) => http::response(503, &[], b"", close),
        Some(Answer::DuplicateTrace) => Refusal::new(409, "trace id in hand").response(close),
        Some(Answer::Errored) | None => http::response(500, &[], b"", close),
    }
}

/// The body of an answer, with the values as replicas gave them.
fn answer_body(complete: bool, rows: &[Row]) -> Vec<u8> {
    let mut out = format!("{{\"exact\":{complete},\"rows\":[").into_bytes();
    for (i, row) in rows.iter().enumerate() {
        out.extend(if i > 0 { &b","[..] } else { b"" });
        out.extend(format!("{{\"id\":{},\"data\":", row.shard.0).into_bytes());
        write_string(&mut out, &row.value);
        out.push(b'}');
    }
    out.extend(b"]}");
    out
}
