//! The client's side of a request: its answer's head, then its body.

use crate::answer_body::{AnswerBody, Piece};
use bytes::Bytes;
use http::Response;
use http::response::Parts;
use tokio::sync::{mpsc, oneshot};

use crate::request_headers::end_to_end_headers;

/// Pieces that wait for a client that reads slowly, at most; then the replica is not read on.
const WAITING_PIECES: usize = 4;

/// The client has gone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClientHasGone;

/// Where the answer goes.
pub enum ClientSide {
    /// No head has been passed on.
    Unanswered(oneshot::Sender<Response<AnswerBody>>),
    /// The head has been passed on, and the body is under way.
    Streaming(mpsc::Sender<Piece>),
    /// The answer is complete, or cut.
    Ended,
}

impl ClientSide {
    /// Whether no head has been passed on.
    pub fn is_unanswered(&self) -> bool {
        matches!(self, ClientSide::Unanswered(_))
    }

    /// Returns when the client has gone.
    pub async fn closed(&mut self) {
        match self {
            ClientSide::Unanswered(head) => head.closed().await,
            ClientSide::Streaming(body) => body.closed().await,
            ClientSide::Ended => std::future::pending().await,
        }
    }

    /// Gives a whole answer, if no head has been passed on.
    pub fn answer(&mut self, response: Response<AnswerBody>) {
        if let ClientSide::Unanswered(head) = std::mem::replace(self, ClientSide::Ended) {
            let _ = head.send(response);
        }
    }

    /// Passes bytes of a stream on, behind this head if none has been passed on.
    pub async fn stream(&mut self, head: &Parts, bytes: Bytes) -> Result<(), ClientHasGone> {
        if let ClientSide::Unanswered(_) = self {
            let (sender, receiver) = mpsc::channel(WAITING_PIECES);
            let unanswered = std::mem::replace(self, ClientSide::Streaming(sender));
            if let ClientSide::Unanswered(waiting) = unanswered {
                let response = passed_on(head, AnswerBody::Stream(receiver));
                waiting.send(response).map_err(|_| ClientHasGone)?;
            }
        }
        match self {
            ClientSide::Streaming(body) if !bytes.is_empty() => body
                .send(Piece::Data(bytes))
                .await
                .map_err(|_| ClientHasGone),
            ClientSide::Streaming(_) => Ok(()),
            ClientSide::Unanswered(_) | ClientSide::Ended => Err(ClientHasGone),
        }
    }

    /// Ends a streamed body as whole.
    pub async fn finish(&mut self) {
        if let ClientSide::Streaming(body) = std::mem::replace(self, ClientSide::Ended) {
            let _ = body.send(Piece::End).await;
        }
    }

    /// Cuts the client's connection, so that the answer does not look complete.
    pub fn cut(&mut self) {
        *self = ClientSide::Ended;
    }
}

/// A replica's answer as it goes to the client: status and headers unchanged, but for those of one
/// connection.
pub fn passed_on(head: &Parts, body: AnswerBody) -> Response<AnswerBody> {
    let mut response = Response::new(body);
    *response.status_mut() = head.status;
    *response.headers_mut() = end_to_end_headers(&head.headers);
    response
}
