//! Compatibility of the frame encoding: frames are encoded and decoded as recorded in `recorded/frames.txt`, and a
//! client and a server send the recorded bytes.

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

/// Time-out of operations that are expected to finish before it.
const TEST_TIMEOUT: Duration = Duration::from_secs(10);

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

/// Frames by their names in the recorded file.
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
fn frames_are_decoded_and_encoded_as_recorded() {
    let recorded = RecordedBytes::open("frames");
    for (name, frame) in frames() {
        let frame = Some(frame);
        recorded.check(
            name,
            &frame,
            |frame| encode(frame.as_ref().expect("frame to encode")),
            decode,
        );
    }
    recorded.finish();
}

/// The remaining bytes of a truncated frame may still be received, so that decoding it is not an error.
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
fn errors_of_invalid_frames_state_the_reason() {
    let complete = encode(&frames()[0].1);
    let decode_changed = |index: usize, bytes: &[u8]| {
        let mut changed = complete.clone();
        changed[index..index + bytes.len()].copy_from_slice(bytes);
        outcome(decode(&changed))
    };
    let max_length = 11 + (64 << 20);
    let invalid_length = |length: u32| {
        format!("a frame of {length} bytes; at most {max_length} and at least 11 are allowed")
    };
    for length in [0, 10, max_length + 1, u32::MAX] {
        assert_eq!(
            decode_changed(0, &length.to_le_bytes()),
            invalid_length(length)
        );
    }
    for version in [0, 2, 255] {
        assert_eq!(
            decode_changed(4, &[version]),
            format!("frame version {version}; expected 1")
        );
    }
    for code in [0, 5, 255] {
        assert_eq!(
            decode_changed(5, &[code]),
            format!("unknown kind of frame {code}")
        );
    }
    let http_request = outcome(decode(b"GET / HTTP/1.1\r\n\r\n"));
    assert_eq!(http_request, invalid_length(u32::from_le_bytes(*b"GET ")));
}

async fn read_exactly(stream: &mut TcpStream, length: usize) -> Vec<u8> {
    let mut bytes = vec![0; length];
    let read = tokio::time::timeout(TEST_TIMEOUT, stream.read_exact(&mut bytes)).await;
    read.expect("bytes not received within TEST_TIMEOUT")
        .expect("connection ended before all bytes were received");
    bytes
}

async fn listen() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))
        .await
        .expect("bind a free port");
    let address = listener.local_addr().expect("address of the listener");
    (listener, address)
}

/// A client sends no bytes other than frames, and its first request id is 1.
#[tokio::test]
async fn a_client_sends_the_recorded_frames() {
    let (listener, address) = listen().await;
    let client = Client::new(ClientOptions::default());
    let caller = client.clone();
    let call = tokio::spawn(async move {
        caller
            .call(address, ServiceId::CHAIN, b"body".to_vec(), TEST_TIMEOUT)
            .await
    });
    let (mut stream, _) = listener.accept().await.expect("open a connection");
    let request = RecordedBytes::open("frames").bytes("request to the chain");
    assert_eq!(read_exactly(&mut stream, request.len()).await, request);
    let answer = encode(&frame(FrameKind::Response, ServiceId::CHAIN, 1, b"answer"));
    stream.write_all(&answer).await.expect("send the answer");
    assert_eq!(
        call.await.expect("task of the call panicked"),
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
#[snafu(display("empty body"))]
struct EmptyBody;

#[tokio::test]
async fn a_server_sends_the_recorded_frames() {
    let (listener, address) = listen().await;
    let router = Router::new().route_checked(ServiceId::DISCOVERY, |_, body: Bytes| async move {
        if body.is_empty() {
            Err(EmptyBody)
        } else {
            Ok(b"answer".to_vec())
        }
    });
    tokio::spawn(serve(listener, router));
    let mut stream = TcpStream::connect(address)
        .await
        .expect("open a connection");
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
                b"no handler",
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
            .expect("send the request");
        assert_eq!(
            read_exactly(&mut stream, response.len()).await,
            response,
            "{request:?}"
        );
    }
}

#[tokio::test]
async fn a_call_whose_request_is_refused_fails_as_refused() {
    let (listener, address) = listen().await;
    let client = Client::new(ClientOptions::default());
    let call = tokio::spawn(async move {
        client
            .call(address, ServiceId::STORAGE, b"body".to_vec(), TEST_TIMEOUT)
            .await
    });
    let (mut stream, _) = listener.accept().await.expect("open a connection");
    let refusal = encode(&frame(FrameKind::Refusal, ServiceId::STORAGE, 1, b""));
    stream.write_all(&refusal).await.expect("send the refusal");
    assert_eq!(
        call.await.expect("task of the call panicked"),
        Err(CallError::Refused)
    );
}
