//! Frames survive any cutting of the bytes; what is no frame is refused.

use bytes::{Bytes, BytesMut};
use quickcheck::quickcheck;
use woadreach_rpc::{Frame, FrameError, FrameKind, ServiceId};

fn frame(kind: u8, service: u8, number: u64, body: Vec<u8>) -> Frame {
    let kinds = [
        FrameKind::Request,
        FrameKind::Response,
        FrameKind::OneWay,
        FrameKind::Refusal,
    ];
    Frame {
        kind: kinds[kind as usize % 4],
        service: ServiceId(service),
        number,
        body: Bytes::from(body),
    }
}

quickcheck! {
    fn frames_come_back_from_any_cuts(parts: Vec<(u8, u8, u64, Vec<u8>)>, step: usize) -> bool {
        let frames: Vec<Frame> = parts.into_iter().map(|(k, s, n, b)| frame(k, s, n, b)).collect();
        let mut wire = BytesMut::new();
        frames.iter().for_each(|frame| frame.encode(&mut wire));
        let (mut buffer, mut found) = (BytesMut::new(), Vec::new());
        for piece in wire.chunks(step % 7 + 1) {
            buffer.extend_from_slice(piece);
            while let Some(frame) = Frame::decode(&mut buffer).unwrap() {
                found.push(frame);
            }
        }
        found == frames && buffer.is_empty()
    }

    fn any_bytes_are_decoded_or_refused_without_a_panic(bytes: Vec<u8>) -> bool {
        let mut buffer = BytesMut::from(&bytes[..]);
        while let Ok(Some(_)) = Frame::decode(&mut buffer) {}
        true
    }
}

#[test]
fn what_is_no_frame_is_refused() {
    let mut wire = BytesMut::new();
    frame(0, 1, 2, vec![1, 2, 3]).encode(&mut wire);
    let spoil = |at: usize, byte: u8| {
        let mut spoilt = wire.clone();
        spoilt[at] = byte;
        Frame::decode(&mut spoilt).unwrap_err()
    };
    assert!(matches!(
        spoil(0, 3),
        FrameError::BadLength { length: 3, .. }
    ));
    assert!(matches!(spoil(3, 255), FrameError::BadLength { .. }));
    assert_eq!(spoil(4, 9), FrameError::OtherVersion { version: 9 });
    assert_eq!(spoil(5, 77), FrameError::UnknownKind { code: 77 });
}
