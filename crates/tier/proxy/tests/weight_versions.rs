//! `Expect-Version`, and what a 421 to it means.

mod support;

use support::replica::{Received, Replica, Step, head, success};
use support::tier::Tier;
use support::{on_one_thread, send_request};

fn post(path: &str, headers: &str) -> String {
    format!(
        "POST {path} HTTP/1.1\r\nHost: tier.example\r\nRequest-Id: r1\r\n{headers}Content-Length: 2\r\n\r\nhi"
    )
}

#[test]
fn another_version_of_the_weights_is_no_sign_of_another_replica() {
    on_one_thread(async {
        let script = |_: usize, request: &Received| match request.header("expect-version") {
            Some("7") => vec![Step::Write(head(
                request,
                "421 Misdirected Request",
                &["Content-Length: 0"],
            ))],
            _ => vec![success(request, "ran")],
        };
        let replica = Replica::start(script).await;
        let tier = Tier::start(&[("i-1", &replica)]).await;
        let refused = send_request(tier.front, &post("/unsafe/", "Expect-Version: 7\r\n")).await;
        assert_eq!(
            (refused.status(), refused.header("response-signature")),
            (503, None)
        );
        let served = send_request(tier.front, &post("/unsafe/", "")).await;
        assert_eq!(
            (served.status(), served.text().as_str()),
            (200, "ran"),
            "the replica is still used"
        );
    });
}
