//! One call to the agent of discovery.

use super::error::{
    ConnectionEndedSnafu, DiscoveryError, HttpSnafu, IoSnafu, NoDescriptorSnafu, StatusSnafu,
    WatchEndedSnafu,
};
use super::object_lines::ObjectLines;
use super::{Agent, MAX_LIST};
use crate::http::{self, Body, Head};
use crate::sockets::{Permit, Side};
use snafu::{OptionExt, ResultExt, ensure};
use woadreach_runtime::{Net, Stream};

/// How much of a watch has to be received before it counts as an answer.
#[derive(Clone, Copy, PartialEq)]
pub(super) enum Proof {
    Head,
    FirstObject,
}

/// What a call asks for.
#[derive(Clone, Copy)]
pub(super) enum Query {
    /// The complete list.
    FullList,
    /// The changes after a version.
    Watch { generation: u64, proof: Proof },
}

/// An answer of the agent that is of use.
pub(super) enum Answer<N: Net> {
    /// The text of a complete list.
    List(Vec<u8>),
    Watch {
        call: Call<N>,
        /// The first object, where that was waited for; an empty one says that nothing has changed.
        first: Option<Vec<u8>>,
    },
}

/// A connection to the agent, and what has been read on it and not used yet.
pub(super) struct Call<N: Net> {
    stream: N::Stream,
    bytes: Vec<u8>,
    body: Body,
    text: Vec<u8>,
    lines: ObjectLines,
    _permit: Permit,
}

impl<N: Net> Call<N> {
    /// Reads more; whether the answer is complete. A reset, or an end before the length that was stated, is an
    /// error.
    pub(super) async fn read(&mut self) -> Result<bool, DiscoveryError> {
        let length = self.stream.read(&mut self.bytes).await.context(IoSnafu)?;
        if length > 0 {
            return self.take();
        }
        ensure!(self.body.completes_on_close(), ConnectionEndedSnafu);
        Ok(true)
    }

    /// Takes what has been read; whether the answer is complete.
    pub(super) fn take(&mut self) -> Result<bool, DiscoveryError> {
        let taken = self.body.take(&self.bytes, &mut self.text, MAX_LIST);
        let taken = taken.context(HttpSnafu)?;
        self.bytes.drain(..taken.bytes);
        Ok(taken.complete)
    }

    /// The next object of a watch that is complete, an empty one for an empty line.
    pub(super) fn next_object(&mut self) -> Option<Vec<u8>> {
        while let Some(end) = self.text.iter().position(|b| *b == b'\n') {
            let line: Vec<u8> = self.text.drain(..=end).collect();
            if let Some(object) = self.lines.push(line) {
                return Some(object);
            }
        }
        None
    }

    /// Reads the complete list.
    async fn read_list(mut self) -> Result<Vec<u8>, DiscoveryError> {
        let mut complete = self.take()?;
        while !complete {
            complete = self.read().await?;
        }
        Ok(self.text)
    }

    /// Reads the first object of a watch.
    async fn read_first_object(&mut self) -> Result<Vec<u8>, DiscoveryError> {
        let mut complete = self.take()?;
        loop {
            if let Some(object) = self.next_object() {
                return Ok(object);
            }
            ensure!(!complete, WatchEndedSnafu);
            complete = self.read().await?;
        }
    }
}

impl<N: Net> Agent<'_, N> {
    /// One call, up to the complete list, or as far into a watch as its proof asks.
    pub(super) async fn call(&self, side: Side, query: Query) -> Result<Answer<N>, DiscoveryError> {
        let permit = self.sockets.permit(side).context(NoDescriptorSnafu)?;
        let address = self.net.lookup(self.address).await.context(IoSnafu)?;
        let mut stream = self.net.connect(address).await.context(IoSnafu)?;
        let request = self.request(query);
        stream
            .write_all(request.as_bytes())
            .await
            .context(IoSnafu)?;
        let (head, mut bytes) = read_head(&mut stream).await?;
        let status = head.status();
        ensure!(status == "200", StatusSnafu { status });
        bytes.drain(..head.length);
        let mut call = Call {
            stream,
            bytes,
            body: Body::of_response(head.response_framing().context(HttpSnafu)?),
            text: Vec::new(),
            lines: ObjectLines::default(),
            _permit: permit,
        };
        match query {
            Query::FullList => Ok(Answer::List(call.read_list().await?)),
            Query::Watch {
                proof: Proof::Head, ..
            } => Ok(Answer::Watch { call, first: None }),
            Query::Watch {
                proof: Proof::FirstObject,
                ..
            } => {
                let first = Some(call.read_first_object().await?);
                Ok(Answer::Watch { call, first })
            }
        }
    }

    fn request(&self, query: Query) -> String {
        let (parameters, close) = match query {
            Query::FullList => (String::new(), "Connection: close\r\n"),
            Query::Watch { generation, .. } => (format!("?stream=1&index={generation}"), ""),
        };
        let host = self.address;
        format!("GET /registry/instances{parameters} HTTP/1.1\r\nHost: {host}\r\n{close}\r\n")
    }
}

/// The head of a response, and all bytes that have been read with it.
async fn read_head(stream: &mut impl Stream) -> Result<(Head, Vec<u8>), DiscoveryError> {
    let mut bytes = Vec::new();
    loop {
        if let Some(head) = http::parse_head(&bytes).context(HttpSnafu)? {
            return Ok((head, bytes));
        }
        let length = stream.read(&mut bytes).await.context(IoSnafu)?;
        ensure!(length > 0, ConnectionEndedSnafu);
    }
}
