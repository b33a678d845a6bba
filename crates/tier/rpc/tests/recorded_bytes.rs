//! Encoding of frames: decoded and encoded as recorded, and sent so by a client and a server.

#[path = "../../../../tests/recorded/mod.rs"]
mod recorded;

use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use recorded::{RecordedBytes, outcome, outcomes_when_cut};
use snafu::Snafu;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use woadreach_rpc::{
    CallError, Client, ClientOptions, Frame, FrameError, FrameKind, Router, ServiceId, serve,
};

const LONG: Duration = Duration::from_secs(10);

fn frame(kind: FrameKind, service: ServiceId, request_id: u64, body: &'static [u8]) -> Frame {
    Frame {
        kind,
        service,
        request_id,
        body: Bytes::from_static(body),
    }
}

fn encode(frame: &Frame) -> Vec<u8> {
    let mut bytes = BytesMut::new();
    frame.encode(&mut bytes);
    bytes.to_vec()
}

/// Decodes the frame at the start of `bytes`.
fn decode(bytes: &[u8]) -> Result<Option<Frame>, FrameError> {
    Frame::decode(&mut BytesMut::from(bytes))
}

fn frames() -> Vec<(&'static str, Frame)> {
    vec![
        (
            "request to the chain",
            frame(FrameKind::Request, ServiceId::CHAIN, 1, b"body"),
        ),
        (
            "response of discovery",
            frame(FrameKind::Response, ServiceId::DISCOVERY, 1, b"answer"),
        ),
        (
            "one-way announcement",
            frame(FrameKind::Notification, ServiceId::ANNOUNCE, 0, b"here"),
        ),
        (
            "refusal of storage",
            frame(FrameKind::Refusal, ServiceId::STORAGE, u64::MAX, b""),
        ),
        (
            "request to the head",
            frame(FrameKind::Request, ServiceId::FORWARD, 1 << 40, &[0; 3]),
        ),
        (
            "shuffle",
            frame(FrameKind::Request, ServiceId::SAMPLING, 258, &[255]),
        ),
    ]
}

#[test]
fn every_kind_of_frame_is_read_and_written_as_recorded() {
    let recorded = RecordedBytes::open("frames");
    for (name, frame) in frames() {
        let frame = Some(frame);
        recorded.check(
            name,
            &frame,
            |frame| encode(frame.as_ref().expect("a frame")),
            decode,
        );
    }
    recorded.finish();
}

/// A frame that may yet be completed is no error.
#[test]
fn a_frame_truncated_at_any_byte_is_incomplete() {
    for (name, frame) in frames() {
        let bytes = encode(&frame);
        assert_eq!(
            outcomes_when_cut(&bytes, decode),
            [(0, "read".to_owned())],
            "{name}"
        );
        for length in 0..bytes.len() {
            assert_eq!(decode(&bytes[..length]), Ok(None), "{name}, {length} bytes");
        }
    }
}

#[test]
fn bytes_that_are_not_a_frame_are_an_error_with_the_reason() {
    let complete = encode(&frames()[0].1);
    let with = |index: usize, bytes: &[u8]| {
        let mut changed = complete.clone();
        changed[index..index + bytes.len()].copy_from_slice(bytes);
        outcome(decode(&changed))
    };
    let max_length = 11 + (64 << 20);
    let invalid_length = |length: u32| {
        format!("a frame of {length} bytes; at most {max_length} and at least 11 are allowed")
    };
    for length in [0, 10, max_length + 1, u32::MAX] {
        assert_eq!(with(0, &length.to_le_bytes()), invalid_length(length));
    }
    for version in [0, 2, 255] {
        assert_eq!(
            with(4, &[version]),
            format!("frame version {version}; expected 1")
        );
    }
    for code in [0, 5, 255] {
        assert_eq!(with(5, &[code]), format!("unknown kind of frame {code}"));
    }
    let foreign = outcome(decode(b"GET / HTTP/1.1\r\n\r\n"));
    assert_eq!(foreign, invalid_length(u32::from_le_bytes(*b"GET ")));
}

async fn read_exactly(stream: &mut TcpStream, length: usize) -> Vec<u8> {
    let mut bytes = vec![0; length];
    let read = tokio::time::timeout(LONG, stream.read_exact(&mut bytes)).await;
    read.expect("in time").expect("the connection is open");
    bytes
}

async fn listen() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))
        .await
        .expect("a port");
    let address = listener.local_addr().expect("an address");
    (listener, address)
}

/// The connection carries nothing but frames, and request ids begin at 1.
#[tokio::test]
async fn a_client_sends_the_recorded_frames() {
    let (listener, address) = listen().await;
    let client = Client::new(ClientOptions::default());
    let caller = client.clone();
    let call = tokio::spawn(async move {
        caller
            .call(address, ServiceId::CHAIN, b"body".to_vec(), LONG)
            .await
    });
    let (mut stream, _) = listener.accept().await.expect("a connection");
    let request = RecordedBytes::open("frames").bytes("request to the chain");
    assert_eq!(read_exactly(&mut stream, request.len()).await, request);
    let answer = encode(&frame(FrameKind::Response, ServiceId::CHAIN, 1, b"answer"));
    stream.write_all(&answer).await.expect("the answer is sent");
    assert_eq!(
        call.await.expect("the call ends"),
        Ok(Bytes::from_static(b"answer"))
    );
    client.notify(address, ServiceId::ANNOUNCE, b"here".to_vec());
    let notification = RecordedBytes::open("frames").bytes("one-way announcement");
    assert_eq!(
        read_exactly(&mut stream, notification.len()).await,
        notification
    );
}

#[derive(Debug, Snafu)]
#[snafu(display("not taken"))]
struct NotTaken;

#[tokio::test]
async fn a_server_answers_and_refuses_in_the_recorded_frames() {
    let (listener, address) = listen().await;
    let router = Router::new().route_checked(ServiceId::DISCOVERY, |_, body: Bytes| async move {
        if body.is_empty() {
            Err(NotTaken)
        } else {
            Ok(b"answer".to_vec())
        }
    });
    tokio::spawn(serve(listener, router));
    let mut stream = TcpStream::connect(address).await.expect("a connection");
    let answered = RecordedBytes::open("frames").bytes("response of discovery");
    let refused = RecordedBytes::open("frames").bytes("refusal of storage");
    let exchanges = [
        (
            frame(FrameKind::Request, ServiceId::DISCOVERY, 1, b"question"),
            answered,
        ),
        (
            frame(
                FrameKind::Request,
                ServiceId::STORAGE,
                u64::MAX,
                b"nobody is there",
            ),
            refused,
        ),
        (
            frame(FrameKind::Request, ServiceId::DISCOVERY, 2, b""),
            encode(&frame(FrameKind::Refusal, ServiceId::DISCOVERY, 2, b"")),
        ),
    ];
    for (request, response) in exchanges {
        stream
            .write_all(&encode(&request))
            .await
            .expect("the request is sent");
        assert_eq!(
            read_exactly(&mut stream, response.len()).await,
            response,
            "{request:?}"
        );
    }
}

#[tokio::test]
async fn a_refusal_tells_the_caller_that_nothing_was_handled() {
    let (listener, address) = listen().await;
    let client = Client::new(ClientOptions::default());
    let call = tokio::spawn(async move {
        client
            .call(address, ServiceId::STORAGE, b"body".to_vec(), LONG)
            .await
    });
    let (mut stream, _) = listener.accept().await.expect("a connection");
    let refusal = encode(&frame(FrameKind::Refusal, ServiceId::STORAGE, 1, b""));
    stream
        .write_all(&refusal)
        .await
        .expect("the refusal is sent");
    assert_eq!(call.await.expect("the call ends"), Err(CallError::Refused));
}
