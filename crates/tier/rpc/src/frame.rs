//! Encoding of frames. A frame contains one message. Sizes of its parts, in bytes:
//!
//! ```text
//! length 4 | version 1 | kind 1 | service 1 | request id 8 | body
//! ```
//!
//! Numbers are little-endian. The length is the number of bytes that follow it: header and body.

use bytes::{Buf, BufMut, Bytes, BytesMut};
use snafu::{Snafu, ensure};

/// Version of the frame format. Frames of any other version are an error.
const VERSION: u8 = 1;
/// Size of the length prefix.
const LENGTH_BYTES: usize = 4;
/// Size of the header between the length prefix and the body: version, kind, service and request id.
const HEADER_BYTES: usize = 1 + 1 + 1 + 8;
/// Maximum length of the body of a frame, in bytes.
pub const MAX_BODY_BYTES: usize = 64 * 1024 * 1024;

/// Identifier of a service. A [`crate::Router`] selects the handler of a request by it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ServiceId(pub u8);

impl ServiceId {
    /// View agreement and chain replication among core machines.
    pub const CHAIN: ServiceId = ServiceId(1);
    /// Replica registry, and long polls for its changes.
    pub const DISCOVERY: ServiceId = ServiceId(2);
    /// Storage of conversations and of the budgets of programs.
    pub const STORAGE: ServiceId = ServiceId(3);
    /// Announcements of storage machines.
    pub const ANNOUNCE: ServiceId = ServiceId(4);
    /// Orders of the operator, forwarded to the head of the chain.
    pub const FORWARD: ServiceId = ServiceId(5);
    /// Peer sampling: exchange of partial views between machines.
    pub const SAMPLING: ServiceId = ServiceId(6);
}

/// Kind of a frame.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FrameKind {
    /// Asks for a response or a refusal with the same request id.
    Request,
    /// Contains the result of the request with the same request id.
    Response,
    /// Has no response.
    Notification,
    /// Reports that the request with the same request id was not handled.
    Refusal,
}

impl FrameKind {
    fn code(self) -> u8 {
        match self {
            FrameKind::Request => 1,
            FrameKind::Response => 2,
            FrameKind::Notification => 3,
            FrameKind::Refusal => 4,
        }
    }

    fn from_code(code: u8) -> Option<Self> {
        let all = [
            FrameKind::Request,
            FrameKind::Response,
            FrameKind::Notification,
            FrameKind::Refusal,
        ];
        all.into_iter().find(|kind| kind.code() == code)
    }
}

/// One message on a connection.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Frame {
    /// Kind of the frame.
    pub kind: FrameKind,
    /// Service whose handler receives the message; in responses and refusals, the service of the request.
    pub service: ServiceId,
    /// Matches a response or refusal to its request. 0 in notifications.
    pub request_id: u64,
    /// Message, in the encoding that the service defines.
    pub body: Bytes,
}

/// Reason why bytes are not a valid frame. The connection on which they were received must not be used any more.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum FrameError {
    /// The length prefix is less than the size of a header or more than `max_length`.
    #[snafu(display(
        "a frame of {length} bytes; at most {max_length} and at least {HEADER_BYTES} are allowed"
    ))]
    InvalidLength {
        /// Value of the length prefix, in bytes.
        length: usize,
        /// Maximum valid value of the length prefix, in bytes.
        max_length: usize,
    },
    /// The frame has a version of the format that this build can't decode.
    #[snafu(display("frame version {version}; expected {VERSION}"))]
    UnsupportedVersion {
        /// Version number in the frame.
        version: u8,
    },
    /// The code of the frame's kind is unknown.
    #[snafu(display("unknown kind of frame {code}"))]
    UnknownKind {
        /// Code in the frame.
        code: u8,
    },
}

impl Frame {
    /// Appends the encoded frame to `buffer`. The caller must ensure that the body is not longer than
    /// [`MAX_BODY_BYTES`], which is not checked here.
    pub fn encode(&self, buffer: &mut BytesMut) {
        buffer.reserve(LENGTH_BYTES + HEADER_BYTES + self.body.len());
        buffer.put_u32_le((HEADER_BYTES + self.body.len()) as u32);
        buffer.put_u8(VERSION);
        buffer.put_u8(self.kind.code());
        buffer.put_u8(self.service.0);
        buffer.put_u64_le(self.request_id);
        buffer.put_slice(&self.body);
    }

    /// Removes the first frame from `buffer` and decodes it. Returns `None`, with `buffer` unchanged, while
    /// the frame is incomplete.
    ///
    /// # Errors
    /// See [`FrameError`].
    pub fn decode(buffer: &mut BytesMut) -> Result<Option<Frame>, FrameError> {
        let Some(prefix) = buffer.first_chunk::<LENGTH_BYTES>() else {
            return Ok(None);
        };
        let length = u32::from_le_bytes(*prefix) as usize;
        let max_length = HEADER_BYTES + MAX_BODY_BYTES;
        ensure!(
            (HEADER_BYTES..=max_length).contains(&length),
            InvalidLengthSnafu { length, max_length }
        );
        if buffer.len() < LENGTH_BYTES + length {
            return Ok(None);
        }
        buffer.advance(LENGTH_BYTES);
        let mut frame = buffer.split_to(length).freeze();
        let version = frame.get_u8();
        ensure!(version == VERSION, UnsupportedVersionSnafu { version });
        let code = frame.get_u8();
        let Some(kind) = FrameKind::from_code(code) else {
            return UnknownKindSnafu { code }.fail();
        };
        let service = ServiceId(frame.get_u8());
        let request_id = frame.get_u64_le();
        Ok(Some(Frame {
            kind,
            service,
            request_id,
            body: frame,
        }))
    }
}
