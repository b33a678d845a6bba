//! The frame around each message: length, version, kind, service, number, body.

use bytes::{Buf, BufMut, Bytes, BytesMut};
use snafu::{Snafu, ensure};

/// Version of the frame's form.
const VERSION: u8 = 1;
/// Bytes between the length and the body.
const HEAD: usize = 1 + 1 + 1 + 8;
/// The longest body of a frame, in bytes.
pub const LONGEST_BODY: usize = 64 * 1024 * 1024;

/// Which handler a request is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ServiceId(pub u8);

impl ServiceId {
    /// Agreement on views and replication among core machines.
    pub const CHAIN: ServiceId = ServiceId(1);
    /// Replicas' registry and long-polls.
    pub const DISCOVERY: ServiceId = ServiceId(2);
    /// Turns and budgets.
    pub const STORAGE: ServiceId = ServiceId(3);
    /// Announcements of storage machines.
    pub const ANNOUNCE: ServiceId = ServiceId(4);
    /// Orders passed on to the head of the chain.
    pub const FORWARD: ServiceId = ServiceId(5);
    /// Shuffles of partial views.
    pub const SAMPLING: ServiceId = ServiceId(6);
}

/// What a frame is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FrameKind {
    /// Wants a response of the same number.
    Request,
    /// Answers the request of the same number.
    Response,
    /// Wants no response.
    OneWay,
    /// Says that the request of the same number was not handled.
    Refusal,
}

impl FrameKind {
    fn code(self) -> u8 {
        match self {
            FrameKind::Request => 1,
            FrameKind::Response => 2,
            FrameKind::OneWay => 3,
            FrameKind::Refusal => 4,
        }
    }

    fn from_code(code: u8) -> Option<Self> {
        let all = [
            FrameKind::Request,
            FrameKind::Response,
            FrameKind::OneWay,
            FrameKind::Refusal,
        ];
        all.into_iter().find(|kind| kind.code() == code)
    }
}

/// One message on a connection.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Frame {
    /// What it is.
    pub kind: FrameKind,
    /// Which handler it is for.
    pub service: ServiceId,
    /// Pairs responses with requests; 0 on one-way frames.
    pub number: u64,
    /// The message.
    pub body: Bytes,
}

/// Bytes that are no frame; the connection can't be used any more.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum FrameError {
    /// The length is out of bounds.
    #[snafu(display(
        "a frame of {length} bytes; at most {longest} and at least {HEAD} are allowed"
    ))]
    BadLength {
        /// The length that was announced.
        length: usize,
        /// The longest allowed.
        longest: usize,
    },
    /// Another version of the frame's form.
    #[snafu(display("frame version {version}; expected {VERSION}"))]
    OtherVersion {
        /// The version found.
        version: u8,
    },
    /// An unknown kind of frame.
    #[snafu(display("unknown kind of frame {code}"))]
    UnknownKind {
        /// The code found.
        code: u8,
    },
}

impl Frame {
    /// Appends the frame's bytes.
    pub fn encode(&self, out: &mut BytesMut) {
        out.reserve(4 + HEAD + self.body.len());
        out.put_u32_le((HEAD + self.body.len()) as u32);
        out.put_u8(VERSION);
        out.put_u8(self.kind.code());
        out.put_u8(self.service.0);
        out.put_u64_le(self.number);
        out.put_slice(&self.body);
    }

    /// Takes the next whole frame off the front of `bytes`, or nothing while it is not whole.
    pub fn decode(bytes: &mut BytesMut) -> Result<Option<Frame>, FrameError> {
        let Some(prefix) = bytes.first_chunk::<4>() else {
            return Ok(None);
        };
        let length = u32::from_le_bytes(*prefix) as usize;
        let longest = HEAD + LONGEST_BODY;
        ensure!(
            (HEAD..=longest).contains(&length),
            BadLengthSnafu { length, longest }
        );
        if bytes.len() < 4 + length {
            return Ok(None);
        }
        bytes.advance(4);
        let mut frame = bytes.split_to(length).freeze();
        let version = frame.get_u8();
        ensure!(version == VERSION, OtherVersionSnafu { version });
        let code = frame.get_u8();
        let Some(kind) = FrameKind::from_code(code) else {
            return UnknownKindSnafu { code }.fail();
        };
        let service = ServiceId(frame.get_u8());
        let number = frame.get_u64_le();
        Ok(Some(Frame {
            kind,
            service,
            number,
            body: frame,
        }))
    }
}
