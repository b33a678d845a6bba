//! Frames are decoded from chunks of any size, and bytes that are not a valid frame are an error.

use bytes::{Bytes, BytesMut};
use quickcheck::quickcheck;
use woadreach_rpc::{Frame, FrameError, FrameKind, ServiceId};

fn frame(kind: u8, service: u8, request_id: u64, body: Vec<u8>) -> Frame {
    let kinds = [
        FrameKind::Request,
        FrameKind::Response,
        FrameKind::Notification,
        FrameKind::Refusal,
    ];
    Frame {
        kind: kinds[kind as usize % 4],
        service: ServiceId(service),
        request_id,
        body: Bytes::from(body),
    }
}

quickcheck! {
    fn frames_are_decoded_from_any_chunks(parts: Vec<(u8, u8, u64, Vec<u8>)>, step: usize) -> bool {
        let frames: Vec<Frame> = parts.into_iter().map(|(k, s, n, b)| frame(k, s, n, b)).collect();
        let mut wire = BytesMut::new();
        frames.iter().for_each(|frame| frame.encode(&mut wire));
        let (mut buffer, mut found) = (BytesMut::new(), Vec::new());
        for chunk in wire.chunks(step % 7 + 1) {
            buffer.extend_from_slice(chunk);
            while let Some(frame) = Frame::decode(&mut buffer).unwrap() {
                found.push(frame);
            }
        }
        found == frames && buffer.is_empty()
    }

    fn decoding_arbitrary_bytes_does_not_panic(bytes: Vec<u8>) -> bool {
        let mut buffer = BytesMut::from(&bytes[..]);
        while let Ok(Some(_)) = Frame::decode(&mut buffer) {}
        true
    }
}

#[test]
fn invalid_length_version_and_kind_are_errors() {
    let mut wire = BytesMut::new();
    frame(0, 1, 2, vec![1, 2, 3]).encode(&mut wire);
    let decode_changed = |index: usize, byte: u8| {
        let mut changed = wire.clone();
        changed[index] = byte;
        Frame::decode(&mut changed).unwrap_err()
    };
    assert!(matches!(
        decode_changed(0, 3),
        FrameError::InvalidLength { length: 3, .. }
    ));
    assert!(matches!(
        decode_changed(3, 255),
        FrameError::InvalidLength { .. }
    ));
    assert_eq!(
        decode_changed(4, 9),
        FrameError::UnsupportedVersion { version: 9 }
    );
    assert_eq!(decode_changed(5, 77), FrameError::UnknownKind { code: 77 });
}
