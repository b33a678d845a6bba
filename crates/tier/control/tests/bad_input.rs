//! Malformed messages, views and orders: each is rejected with a specific error and does not change the state.

mod support;

use std::net::{Ipv4Addr, SocketAddrV4};

use axum::body::{Body as HttpBody, Bytes};
use axum::http::{Request as HttpRequest, StatusCode};
use support::start_core;
use tower::ServiceExt;
use woadreach_chain::{Accepted, Ballot, Body, DecodeError, Envelope, MemberId, View, ViewError};
use woadreach_control::operator;
use woadreach_control::order::message::OrderDecodeError;

fn foreign_member(number: u8) -> MemberId {
    MemberId {
        address: SocketAddrV4::new(Ipv4Addr::new(127, 0, 0, number), 2),
        identity: u64::from(number),
    }
}

fn envelope(epoch: u64, body: Body) -> Envelope {
    Envelope {
        from: foreign_member(9),
        epoch,
        body,
    }
}

fn view(epoch: u64, voters: &[u8], chain: &[u8]) -> View {
    let members = |numbers: &[u8]| numbers.iter().copied().map(foreign_member).collect();
    View {
        epoch,
        voters: members(voters),
        chain: members(chain),
        floor: 0,
    }
}

#[tokio::test]
async fn messages_that_are_truncated_or_of_another_version_are_rejected() {
    let folder = tempfile::tempdir().expect("a folder");
    let (driver, _orders) = start_core(folder.path()).await;
    let before = driver.status();
    let complete = envelope(
        before.epoch + 1,
        Body::Decided(view(before.epoch + 1, &[9], &[9])),
    )
    .encode();
    assert!(matches!(
        driver.receive(&[]),
        Err(DecodeError::EmptyMessage)
    ));
    for version in [0, complete[0] + 1, 255] {
        let mut other = complete.clone();
        other[0] = version;
        let error = driver.receive(&other).expect_err("another version");
        assert!(
            matches!(error, DecodeError::MessageVersion { found } if found == version),
            "{error}"
        );
    }
    for length in 1..complete.len() {
        let error = driver.receive(&complete[..length]).expect_err("truncated");
        assert!(
            matches!(error, DecodeError::MalformedMessage { .. }),
            "{length}: {error}"
        );
    }
    assert_eq!(driver.status().core_machines, before.core_machines);
    assert!(driver.status().is_head && driver.status().epoch == before.epoch);
}

#[tokio::test]
async fn invalid_views_and_views_that_do_not_follow_the_epoch_are_rejected() {
    let folder = tempfile::tempdir().expect("a folder");
    let (driver, _orders) = start_core(folder.path()).await;
    let epoch = driver.status().epoch;
    let invalid_views = [
        (
            view(epoch + 1, &[], &[]),
            ViewError::NoVoters { epoch: epoch + 1 },
        ),
        (
            view(epoch + 1, &[1, 2, 1], &[1]),
            ViewError::DuplicateMember { epoch: epoch + 1 },
        ),
        (
            view(epoch + 1, &[1, 2], &[1, 1]),
            ViewError::DuplicateMember { epoch: epoch + 1 },
        ),
        (
            view(epoch + 1, &[1, 2], &[3]),
            ViewError::ChainMemberWithoutVote {
                epoch: epoch + 1,
                member: foreign_member(3),
            },
        ),
        (
            View {
                floor: epoch + 2,
                ..view(epoch + 1, &[1], &[1])
            },
            ViewError::Floor {
                epoch: epoch + 1,
                floor: epoch + 2,
            },
        ),
    ];
    let ballot = Ballot {
        round: 1,
        proposer: foreign_member(9),
    };
    for (view, expected) in invalid_views {
        let vote = Body::Accept(Accepted {
            ballot,
            view: view.clone(),
        });
        for body in [Body::Decided(view), vote] {
            let error = driver
                .receive(&envelope(epoch, body).encode())
                .expect_err("an invalid view");
            assert!(
                matches!(error, DecodeError::InvalidView { source } if source == expected),
                "{error}"
            );
        }
    }
    for found in [0, epoch, epoch + 2, u64::MAX] {
        let vote = Body::Accept(Accepted {
            ballot,
            view: view(found, &[1], &[1]),
        });
        let error = driver
            .receive(&envelope(epoch, vote).encode())
            .expect_err("does not follow");
        assert!(
            matches!(error, DecodeError::ViewDoesNotFollow { .. }),
            "{found}: {error}"
        );
    }
    // A view of the current epoch is valid but outdated: it is ignored without an error.
    driver
        .receive(&envelope(epoch, Body::Decided(view(epoch, &[9], &[9]))).encode())
        .expect("a valid message");
    assert!(driver.status().is_head && driver.status().epoch == epoch);
}

#[tokio::test]
async fn orders_that_are_truncated_or_of_another_version_are_rejected() {
    let folder = tempfile::tempdir().expect("a folder");
    let (_driver, orders) = start_core(folder.path()).await;
    let error = orders
        .execute_forwarded(Bytes::new())
        .await
        .expect_err("empty");
    assert!(matches!(error, OrderDecodeError::Empty), "{error}");
    for version in [0, 2, 255] {
        let error = orders
            .execute_forwarded(Bytes::from(vec![version, 0, 0]))
            .await
            .expect_err("version");
        assert!(
            matches!(error, OrderDecodeError::Version { found } if found == version),
            "{error}"
        );
    }
    let error = orders
        .execute_forwarded(Bytes::from_static(&[1, 0, 0]))
        .await
        .expect_err("truncated");
    assert!(
        matches!(error, OrderDecodeError::Malformed { .. }),
        "{error}"
    );
}

async fn status_of(api: &axum::Router, request: HttpRequest<HttpBody>) -> StatusCode {
    api.clone()
        .oneshot(request)
        .await
        .expect("an answer")
        .status()
}

#[tokio::test]
async fn a_configuration_without_a_valid_base_or_generation_is_rejected() {
    let folder = tempfile::tempdir().expect("a folder");
    let (driver, orders) = start_core(folder.path()).await;
    let api = operator::router(orders);
    for base in [
        None,
        Some(""),
        Some("x"),
        Some("-1"),
        Some("18446744073709551616"),
    ] {
        let request = HttpRequest::put("/config");
        let request = base
            .into_iter()
            .fold(request, |request, base| request.header("If-Match", base));
        let body = HttpBody::from(r#"{"generation":1,"routes":[],"services":[]}"#);
        assert_eq!(
            status_of(&api, request.body(body).expect("a request")).await,
            StatusCode::BAD_REQUEST
        );
    }
    for body in [
        r#"{"routes":[],"services":[]}"#,
        r#"{"generation":"1","routes":[],"services":[]}"#,
        "{}",
    ] {
        let request = HttpRequest::put("/config")
            .header("If-Match", "0")
            .body(HttpBody::from(body));
        assert_eq!(
            status_of(&api, request.expect("a request")).await,
            StatusCode::BAD_REQUEST,
            "{body}"
        );
    }
    assert!(driver.published().configuration.is_none());
}
