//! Valid requests of every form are forwarded; none gets a 4xx that the edge makes itself.

mod support;

use support::replica::{Replica, head, success};
use support::tier::Tier;
use support::{Client, on_one_thread, send_request};

fn request(headers: &str) -> String {
    format!(
        "POST /safe/x?y HTTP/1.1\r\nHost: tier.example\r\nRequest-Id: r1\r\n{headers}Content-Length: 2\r\n\r\nhi"
    )
}

#[test]
fn headers_that_are_advice_deny_nothing() {
    on_one_thread(async {
        let replica = Replica::start(|_, request| vec![success(request, "ok")]).await;
        let tier = Tier::start(&[("i-1", &replica)]).await;
        let cases = [
            "Finish-Ms: 0\r\n",
            "Finish-Ms: -20\r\n",
            "Finish-Ms: 12.5\r\n",
            "Timeout-Ms: 4000.25\r\n",
            "Prefix-Hash: zz\r\n",
            "Last-Event-Id: none\r\n",
            "Priority: 12\r\n",
            "Token-Usage: 10,0\r\n",
            "Program: 3fa81c\r\nSession: 77d20b\r\nPrevious: a1\r\n",
            "Host-Of-Mine: \r\n",
        ];
        for headers in cases {
            let seen = send_request(tier.front, &request(headers)).await;
            assert_eq!(
                (seen.status(), seen.text().as_str()),
                (200, "ok"),
                "{headers}"
            );
        }
    });
}

#[test]
fn a_program_past_its_target_is_served() {
    on_one_thread(async {
        let replica = Replica::start(|_, request| vec![success(request, "ok")]).await;
        let tier = Tier::start(&[("i-1", &replica)]).await;
        let late = "Program: 3fa81c\r\nSession: 77d20b\r\nFinish-Ms: -1500\r\n";
        let mut client = Client::connect(tier.front).await;
        for _ in 0..3 {
            client.send(request(late).as_bytes()).await;
            assert_eq!(client.answer().await.status(), 200);
        }
        assert_eq!(
            replica.received()[0].header("finish-ms"),
            Some("-1500"),
            "passed on as it came"
        );
    });
}

#[test]
fn no_402_of_a_replica_is_forwarded_for_what_may_have_run() {
    on_one_thread(async {
        for status in ["402 Payment Required", "421 Misdirected Request"] {
            let lines = ["Response-Signature: s", "Content-Length: 0"];
            let script = move |_: usize, request: &support::replica::Received| {
                vec![support::replica::Step::Write(head(request, status, &lines))]
            };
            let replica = Replica::start(script).await;
            let tier = Tier::start(&[("i-1", &replica)]).await;
            let seen = send_request(tier.front, &request("").replace("/safe/", "/unsafe/")).await;
            let promised = status.starts_with("421");
            assert_eq!(seen.status(), if promised { 503 } else { 502 }, "{status}");
            assert_eq!(seen.header("response-signature"), None);
        }
    });
}
