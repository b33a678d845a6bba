//! Tables for the parsers: split, truncated and hostile input.

use http::{Body, Framing, ParseError};
use json::Reader;
use rstest::rstest;
use woadreachd::{frame, http, json};

const LENGTH: &str = "POST /a/b?c HTTP/1.1\r\nHost: x\r\ncontent-LENGTH: 5\r\n\r\nhello";
const CHUNKS: &str = "POST /a/b?c HTTP/1.1\r\nTransfer-Encoding: Chunked\r\n\r\n\
                      2;x=y\r\nhe\r\n03\r\nllo\r\n0\r\nT: u\r\n\r\n";

/// What is read of a request.
#[derive(Debug, PartialEq)]
struct ReadRequest {
    method_and_path: String,
    content: Vec<u8>,
    /// Number of bytes that it takes.
    length: usize,
}

/// Reads a request that is received in two pieces, the first of `split` bytes.
fn in_two(text: &[u8], split: usize) -> Result<ReadRequest, ParseError> {
    let mut bytes = &text[..split];
    let mut head = http::parse_request(bytes)?;
    if head.is_none() {
        bytes = text;
        head = http::parse_request(bytes)?;
    }
    let head = head.expect("all of the head is there");
    let mut body = Body::new(head.framing()?);
    let mut content = Vec::new();
    let first = body.take(&bytes[head.length..], &mut content, http::MAX_BODY)?;
    let mut length = head.length + first.bytes;
    let mut complete = first.complete;
    if !complete {
        let second = body.take(&text[length..], &mut content, http::MAX_BODY)?;
        length += second.bytes;
        complete = second.complete;
    }
    assert!(complete);
    Ok(ReadRequest {
        method_and_path: format!("{} {}", head.method(), head.path()),
        content,
        length,
    })
}

#[rstest]
#[case::length(LENGTH)]
#[case::chunks(CHUNKS)]
fn split_requests_read_as_complete_ones(#[case] text: &str) {
    let two = format!("{text}GET /next");
    for split in 0..=two.len() {
        let read = in_two(two.as_bytes(), split).unwrap();
        assert_eq!(
            read,
            ReadRequest {
                method_and_path: "POST /a/b".into(),
                content: b"hello".to_vec(),
                length: text.len(),
            },
            "split at {split}"
        );
    }
}

#[rstest]
#[case::length(LENGTH)]
#[case::chunks(CHUNKS)]
fn a_truncated_request_is_never_complete(#[case] text: &str) {
    for end in 0..text.len() {
        let bytes = &text.as_bytes()[..end];
        let Some(head) = http::parse_request(bytes).unwrap() else {
            continue;
        };
        let mut body = Body::new(head.framing().unwrap());
        let taken = body
            .take(&bytes[head.length..], &mut Vec::new(), 64)
            .unwrap();
        assert!(!taken.complete, "complete at {end}");
    }
}

#[rstest]
#[case::no_version("GET /\r\n\r\n", ParseError::Malformed { reason: "bad first line" })]
#[case::no_path("GET x HTTP/1.1\r\n\r\n", ParseError::Malformed { reason: "bad first line" })]
#[case::other_version("GET / HTTP/2.0\r\n\r\n", ParseError::UnsupportedVersion)]
#[case::no_colon(
    "GET / HTTP/1.1\r\nHost\r\n\r\n",
    ParseError::Malformed { reason: "a header without a colon" }
)]
#[case::space_in_name("GET / HTTP/1.1\r\nA b: c\r\n\r\n", ParseError::Malformed { reason: "bad header" })]
#[case::folded(
    "GET / HTTP/1.1\r\nA: b\r\n c: d\r\n\r\n",
    ParseError::Malformed { reason: "bad header" }
)]
#[case::bare_line_feed("GET / HTTP/1.1\r\nA: b\nC: d\r\n\r\n", ParseError::Malformed { reason: "bad header" })]
#[case::control(
    "GET / HTTP/1.1\r\nA: \0\r\n\r\n",
    ParseError::Malformed { reason: "control character in the head" }
)]
#[case::signed(
    "P / HTTP/1.1\r\nContent-Length: +1\r\n\r\n",
    ParseError::Malformed { reason: "bad length" }
)]
#[case::huge(
    "P / HTTP/1.1\r\nContent-Length: 99999999999999999999999\r\n\r\n",
    ParseError::BodyTooLong
)]
#[case::over(
    "P / HTTP/1.1\r\nContent-Length: 65537\r\n\r\n",
    ParseError::BodyTooLong
)]
#[case::coding(
    "P / HTTP/1.1\r\nTransfer-Encoding: gzip, chunked\r\n\r\n",
    ParseError::Malformed { reason: "unknown coding" }
)]
fn odd_heads(#[case] text: &str, #[case] error: ParseError) {
    assert_eq!(in_two(text.as_bytes(), text.len()), Err(error));
}

#[rstest]
#[case::with_chunks("Transfer-Encoding: chunked")]
#[case::another("Content-Length: 2")]
#[case::the_same_again("Content-Length: 1")]
fn two_lengths_are_refused(#[case] second: &str) {
    let text = format!("P / HTTP/1.1\r\nContent-Length: 1\r\n{second}\r\n\r\n");
    assert_eq!(
        in_two(text.as_bytes(), text.len()),
        Err(ParseError::Malformed {
            reason: "more than one length"
        })
    );
}

#[rstest]
#[case::not_hex("zz\r\n", ParseError::Malformed { reason: "bad chunk" })]
#[case::empty(";\r\n", ParseError::Malformed { reason: "bad chunk" })]
#[case::no_end("1\r\nabc\r\n", ParseError::Malformed { reason: "bad chunk" })]
#[case::claims_much("ffffffff\r\n", ParseError::BodyTooLong)]
#[case::overflows("fffffffffffffffff\r\n", ParseError::BodyTooLong)]
fn odd_chunks(#[case] text: &str, #[case] error: ParseError) {
    let taken = Body::new(Framing::Chunked).take(text.as_bytes(), &mut Vec::new(), http::MAX_BODY);
    assert_eq!(taken, Err(error));
}

#[test]
fn heads_and_chunk_lines_are_bounded() {
    let long = "GET / HTTP/1.1\r\nA: ".to_string() + &"a".repeat(http::MAX_HEAD);
    assert_eq!(
        http::parse_request(long.as_bytes()).err(),
        Some(ParseError::HeadTooLong)
    );
    let line = "1;".to_string() + &"x".repeat(1000);
    assert!(
        Body::new(Framing::Chunked)
            .take(line.as_bytes(), &mut Vec::new(), 64)
            .is_err()
    );
}

fn framed(body: &[u8]) -> Vec<u8> {
    [&(body.len() as u32).to_le_bytes(), body].concat()
}

#[test]
fn a_frame_is_read_once_it_is_complete() {
    let answer = framed(b"Oab.3 200 1840277719 inflight=7\nx\ny");
    for end in 0..answer.len() {
        assert_eq!(frame::read(&answer[..end]), Ok(None), "at {end}");
    }
    let two = [answer.clone(), framed(b"Zno")].concat();
    let (first, taken) = frame::read(&two).unwrap().unwrap();
    let expect = frame::Frame::Answer {
        id: "ab.3",
        status: frame::PartStatus::Ok,
        score: 1840277719,
        value: b"x\ny",
    };
    assert_eq!((first, taken), (expect, answer.len()));
    assert_eq!(
        frame::read(&two[taken..]),
        Ok(Some((frame::Frame::Refused(b"no"), 7)))
    );
}

#[rstest]
#[case::nothing(b"\0\0\0\0".to_vec())]
#[case::claims_much(b"\xff\xff\xff\xff".to_vec())]
#[case::unknown_letter(b"\x09\0\0\0Q".to_vec())]
#[case::no_line(framed(b"Oab.3 200 1 -"))]
#[case::few_words(framed(b"Oab.3 200\nvalue"))]
#[case::odd_score(framed(b"Oab.3 200 x -\nvalue"))]
#[case::unknown_end(framed(b"Oab.3 299 1 -\nvalue"))]
#[case::not_text(framed(b"O\xff\xfe 200 1 -\nvalue"))]
fn frames_that_cannot_be_used(#[case] bytes: Vec<u8>) {
    assert!(frame::read(&bytes).is_err());
}

#[rstest]
#[case::noise(b"Oab.3 200 7 \xff\x00=,\nvalue")]
#[case::more_words(b"Oab.3 200 7 a b c\nvalue")]
#[case::none(b"Oab.3 200 7 \nvalue")]
fn an_answer_is_good_whatever_its_report(#[case] body: &[u8]) {
    let expect = frame::Frame::Answer {
        id: "ab.3",
        status: frame::PartStatus::Ok,
        score: 7,
        value: b"value",
    };
    assert_eq!(
        frame::read(&framed(body)),
        Ok(Some((expect, body.len() + 4)))
    );
}

#[test]
fn a_call_states_its_length_and_keeps_the_text() {
    let parts = [
        frame::part("ab.3", 3, "d=240", "q\"\\u00e9"),
        frame::part("ab.9", 9, "d=240", ""),
    ];
    let mut out = Vec::new();
    frame::call(&mut out, &parts.each_ref().map(|p| p.as_slice()));
    frame::cancel(&mut out, "ab.3");
    let call = framed(b"Dab.3 3 d=240 8\nq\"\\u00e9ab.9 9 d=240 0\n");
    assert_eq!(out, [call, framed(b"Kab.3")].concat());
}

const TEXTS: &str = r#"{} | [] | [1,2] | {"a":[{"b":null}],"c":true} | { "a" : -1.5e+3 }
| "\u00e9\n\ud83d\ude00" | 0 | -0 | 1e9 | 01 | 1. | .5 | +1 | 1e | -
| tru | nul | [1,] | [,1] | {"a"} | {"a":1,} | {a:1} | " | "\
| "\x" | "\ud83d" | "\udc00" | [1] 2 | | "\u+123" | false | {"\u0061":1}"#;

/// What serde_json takes this reader takes, and nothing else; at each truncation too.
#[test]
fn reads_what_serde_json_reads() {
    for whole in TEXTS.split('|').chain(["\"a\tb\"", "\"a\u{1}\""]) {
        for end in 0..=whole.len() {
            let text = &whole[..end];
            let ours = Reader::read_all(text.as_bytes(), |r| r.skip().map(|_| ()));
            let theirs = serde_json::from_str::<serde_json::Value>(text);
            assert_eq!(ours.is_ok(), theirs.is_ok(), "{text}");
            if let Ok(serde_json::Value::String(theirs)) = theirs {
                let ours =
                    Reader::read_all(text.as_bytes(), |r| r.string().map(|s| s.into_owned()));
                assert_eq!(ours, Ok(theirs));
            }
        }
    }
}

#[test]
fn nested_beyond_bounds_is_refused() {
    let text = "[".repeat(1_000_000);
    assert!(Reader::read_all(text.as_bytes(), |r| r.skip().map(|_| ())).is_err());
}

#[rstest]
#[case::plain("5be2a07c19f04d63")]
#[case::odd("a\"b\\c\u{1}é")]
fn written_strings_read_back(#[case] text: &str) {
    let mut out = Vec::new();
    json::write_string(&mut out, text);
    assert_eq!(serde_json::from_slice::<String>(&out).unwrap(), text);
}
