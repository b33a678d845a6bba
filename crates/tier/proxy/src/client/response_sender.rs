//! Carries a response from its request's task to the client's connection: the head first, then the body.

use crate::client::headers::end_to_end_headers;
use crate::client::response_body::{BodyChunk, ResponseBody};
use bytes::Bytes;
use http::Response;
use http::response::Parts;
use tokio::sync::{mpsc, oneshot};

/// Chunks that wait for a client that reads slowly, at most. At this bound the replica's connection is not read,
/// so that a slow client costs no more memory than this.
const MAX_QUEUED_CHUNKS: usize = 4;

/// The client has closed its connection, or the connection was closed here.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClientDisconnected;

/// Sender of one response, by how far it has come.
pub enum ResponseSender {
    /// No head has been sent.
    AwaitingHead(oneshot::Sender<Response<ResponseBody>>),
    /// The head has been sent and the body is streaming.
    Streaming(mpsc::Sender<BodyChunk>),
    /// The response is complete or truncated.
    Closed,
}

impl ResponseSender {
    /// Whether no head has been sent, so that any response is still possible.
    pub fn is_awaiting_head(&self) -> bool {
        matches!(self, ResponseSender::AwaitingHead(_))
    }

    /// Returns when the client has disconnected; never, once the response is closed.
    pub async fn client_disconnected(&mut self) {
        match self {
            ResponseSender::AwaitingHead(head) => head.closed().await,
            ResponseSender::Streaming(body) => body.closed().await,
            ResponseSender::Closed => std::future::pending().await,
        }
    }

    /// Sends a complete response, if no head has been sent.
    pub fn send_response(&mut self, response: Response<ResponseBody>) {
        if let ResponseSender::AwaitingHead(head) = std::mem::replace(self, ResponseSender::Closed)
        {
            let _ = head.send(response);
        }
    }

    /// Sends bytes of a streamed body, preceded by `head` if none has been sent.
    ///
    /// # Errors
    ///
    /// [`ClientDisconnected`] if the client's connection has closed.
    pub async fn send_chunk(
        &mut self,
        head: &Parts,
        bytes: Bytes,
    ) -> Result<(), ClientDisconnected> {
        if let ResponseSender::AwaitingHead(_) = self {
            let (sender, receiver) = mpsc::channel(MAX_QUEUED_CHUNKS);
            let previous = std::mem::replace(self, ResponseSender::Streaming(sender));
            if let ResponseSender::AwaitingHead(waiting) = previous {
                let response = forwarded_response(head, ResponseBody::Stream(receiver));
                waiting.send(response).map_err(|_| ClientDisconnected)?;
            }
        }
        match self {
            ResponseSender::Streaming(body) if !bytes.is_empty() => body
                .send(BodyChunk::Data(bytes))
                .await
                .map_err(|_| ClientDisconnected),
            ResponseSender::Streaming(_) => Ok(()),
            ResponseSender::AwaitingHead(_) | ResponseSender::Closed => Err(ClientDisconnected),
        }
    }

    /// Ends a streamed body as complete.
    pub async fn finish(&mut self) {
        if let ResponseSender::Streaming(body) = std::mem::replace(self, ResponseSender::Closed) {
            let _ = body.send(BodyChunk::End).await;
        }
    }

    /// Ends the response without its last chunk, so that it does not look complete.
    pub fn abort(&mut self) {
        *self = ResponseSender::Closed;
    }
}

/// A replica's response as it goes to the client: status and headers unchanged, but for hop-by-hop headers.
pub fn forwarded_response(head: &Parts, body: ResponseBody) -> Response<ResponseBody> {
    let mut response = Response::new(body);
    *response.status_mut() = head.status;
    *response.headers_mut() = end_to_end_headers(&head.headers);
    response
}
