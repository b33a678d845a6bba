//! Bodies of answers to clients.

use bytes::Bytes;
use http_body::{Body, Frame, SizeHint};
use snafu::Snafu;
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use tokio::sync::mpsc::Receiver;

/// A piece of a streamed body.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Piece {
    /// Bytes to pass on.
    Data(Bytes),
    /// The body is whole.
    End,
}

/// The body ends before it is whole; the connection is cut so that it does not look complete.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("the answer was cut short"))]
pub struct CutShort;

/// The body of an answer.
#[derive(Debug)]
pub enum AnswerBody {
    /// All of it.
    Whole(Option<Bytes>),
    /// Pieces as they come. A channel that closes without [`Piece::End`] cuts the connection.
    Stream(Receiver<Piece>),
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = CutShort;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, CutShort>>> {
        match self.get_mut() {
            AnswerBody::Whole(bytes) => {
                Poll::Ready(bytes.take().map(|bytes| Ok(Frame::data(bytes))))
            }
            AnswerBody::Stream(pieces) => match ready!(pieces.poll_recv(context)) {
                Some(Piece::Data(bytes)) => Poll::Ready(Some(Ok(Frame::data(bytes)))),
                Some(Piece::End) => Poll::Ready(None),
                None => Poll::Ready(Some(Err(CutShort))),
            },
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            AnswerBody::Whole(bytes) => bytes.as_ref().is_none_or(Bytes::is_empty),
            AnswerBody::Stream(_) => false,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            AnswerBody::Whole(bytes) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, Bytes::len) as u64)
            }
            AnswerBody::Stream(_) => SizeHint::default(),
        }
    }
}
