//! What heads of replicas' answers mean.

use http::response::Parts;
use http::{Response, Version};
use std::time::Duration;
use woadreach_proxy::replica::response_head::{
    ConnectionReuse, ResponseClass, classify_response, connection_reuse, promises_not_executed,
    server_load,
};
use woadreach_scheduler::{Outcome, ServerLoad};

fn head(status: u16, headers: &[(&str, &str)]) -> Parts {
    let mut builder = Response::builder().status(status);
    for (name, value) in headers {
        builder = builder.header(*name, *value);
    }
    builder.body(()).expect("a head").into_parts().0
}

fn judged(status: u16, headers: &[(&str, &str)]) -> ResponseClass {
    let mut all = vec![("request-id", "r1")];
    all.extend_from_slice(headers);
    classify_response(&head(status, &all), "r1")
}

#[test]
fn a_success_needs_its_signature_and_an_unencoded_body() {
    assert_eq!(
        judged(200, &[("response-signature", "s")]),
        ResponseClass::Success
    );
    assert_eq!(judged(200, &[]), ResponseClass::Mismatched);
    let encoded = [("response-signature", "s"), ("content-encoding", "gzip")];
    assert_eq!(judged(200, &encoded), ResponseClass::Mismatched);
}

#[test]
fn a_response_to_another_request_is_mismatched() {
    for status in [200, 404, 421, 500, 503] {
        let headers = [
            ("request-id", "r2"),
            ("response-signature", "s"),
            ("not-executed", "1"),
        ];
        assert_eq!(
            classify_response(&head(status, &headers), "r1"),
            ResponseClass::Mismatched
        );
        assert_eq!(
            classify_response(&head(status, &headers[1..]), "r1"),
            ResponseClass::Mismatched
        );
    }
}

#[test]
fn only_promises_mean_that_it_has_not_run() {
    for status in [400, 429, 503] {
        let promised = ResponseClass::NotExecuted(Outcome::NotExecuted {
            retry_after: Some(0.25),
        });
        assert_eq!(
            judged(status, &[("not-executed", "1"), ("retry-after", "0.25")]),
            promised
        );
    }
    assert_eq!(
        judged(421, &[("instance-id", "i-2")]),
        ResponseClass::NotExecuted(Outcome::Misdirected)
    );
    for status in [408, 429, 500, 502, 503, 504] {
        let failure = ResponseClass::ReplicaError;
        assert_eq!(
            judged(status, &[("response-signature", "s")]),
            failure,
            "{status}"
        );
    }
    for status in [301, 400, 404, 409] {
        assert_eq!(judged(status, &[]), ResponseClass::OtherStatus, "{status}");
    }
}

#[test]
fn statuses_that_promise_are_known() {
    let promises: Vec<u16> = (100..600)
        .filter(|status| {
            promises_not_executed(http::StatusCode::from_u16(*status).expect("a status"))
        })
        .collect();
    assert_eq!(promises, [402, 408, 421, 429, 503]);
}

#[test]
fn load_is_read_or_ignored() {
    let load = |text: &str| server_load(&head(200, &[("server-load", text)]).headers);
    assert_eq!(
        load("3,0,8"),
        Some(ServerLoad {
            running: 3,
            waiting: 0,
            slots: 8
        })
    );
    for malformed in ["", "3", "3,0", "a,b,c", "-1,0,8"] {
        assert_eq!(load(malformed), None, "{malformed}");
    }
}

#[test]
fn a_replicas_connection_headers_are_obeyed() {
    let reuse = |headers: &[(&str, &str)]| connection_reuse(&head(200, headers));
    assert_eq!(reuse(&[]), ConnectionReuse::Reuse { keep_alive: None });
    assert_eq!(reuse(&[("connection", "Close")]), ConnectionReuse::Close);
    assert_eq!(reuse(&[("connection", "x, close")]), ConnectionReuse::Close);
    let five = ConnectionReuse::Reuse {
        keep_alive: Some(Duration::from_secs(5)),
    };
    assert_eq!(reuse(&[("keep-alive", "timeout=5")]), five);
    assert_eq!(reuse(&[("keep-alive", "max=9, timeout=5")]), five);
    let mut old = head(200, &[]);
    old.version = Version::HTTP_10;
    assert_eq!(connection_reuse(&old), ConnectionReuse::Close);
}
