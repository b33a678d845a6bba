//! Bodies of responses to clients.

use bytes::Bytes;
use http_body::{Body, Frame, SizeHint};
use snafu::Snafu;
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use tokio::sync::mpsc::Receiver;

/// What a request's task sends to a streamed body.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum BodyChunk {
    /// Bytes to forward.
    Data(Bytes),
    /// The body is complete.
    End,
}

/// The body ended before it was complete. hyper closes the connection without the body's last chunk, so that
/// the client does not take the body for a complete one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("the answer was cut short"))]
pub struct BodyTruncated;

/// The body of a response.
#[derive(Debug)]
pub enum ResponseBody {
    /// A body whose bytes are all here; `None` once they have been taken.
    Full(Option<Bytes>),
    /// Chunks as they arrive. If the channel closes without [`BodyChunk::End`], the body is truncated.
    Stream(Receiver<BodyChunk>),
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = BodyTruncated;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyTruncated>>> {
        match self.get_mut() {
            ResponseBody::Full(bytes) => {
                Poll::Ready(bytes.take().map(|bytes| Ok(Frame::data(bytes))))
            }
            ResponseBody::Stream(chunks) => match ready!(chunks.poll_recv(context)) {
                Some(BodyChunk::Data(bytes)) => Poll::Ready(Some(Ok(Frame::data(bytes)))),
                Some(BodyChunk::End) => Poll::Ready(None),
                None => Poll::Ready(Some(Err(BodyTruncated))),
            },
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            ResponseBody::Full(bytes) => bytes.as_ref().is_none_or(Bytes::is_empty),
            ResponseBody::Stream(_) => false,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            ResponseBody::Full(bytes) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, Bytes::len) as u64)
            }
            ResponseBody::Stream(_) => SizeHint::default(),
        }
    }
}
