//! Kept turns and budgets through a data plane on loopback, with a storage machine on real files.

mod support;

use support::replica::{Received, Replica, Step, chunk, stream_end, stream_head};
use support::storage::Storage;
use support::tier::Tier;
use support::{Client, Seen, on_one_thread, send_request};

const TWO_EVENTS: &str = "id: 1\ndata: one\n\nid: 2\ndata: two\n\n";

fn turn(id: &str, input: &str, headers: &str) -> String {
    format!(
        "POST /kept/ HTTP/1.1\r\nHost: tier.example\r\nRequest-Id: {id}\r\nProgram: 3fa81c\r\nSession: 77d20b\r\n\
         Token-Usage: 10,2\r\n{headers}Content-Length: {}\r\n\r\n{input}",
        input.len()
    )
}

fn complete(request: &Received) -> Vec<Step> {
    vec![
        stream_head(request),
        chunk(TWO_EVENTS.as_bytes()),
        stream_end(),
    ]
}

/// Breaks the first stream off after one of its events; the others are complete.
fn truncated_first(number: usize, request: &Received) -> Vec<Step> {
    match number {
        0 => vec![
            stream_head(request),
            chunk(b"id: 1\ndata: one\n\n"),
            Step::Close,
        ],
        _ => complete(request),
    }
}

/// Sends these requests one after the other to a tier of one replica and one storage node.
async fn conversation(
    script: impl Fn(usize, &Received) -> Vec<Step> + Send + Sync + 'static,
    requests: &[String],
) -> (Vec<Seen>, Vec<Received>) {
    let replica = Replica::start(script).await;
    let tier = Tier::start(&[("i-1", &replica)]).await;
    let _storage = Storage::start(&tier, &[("i-1", &replica)]).await;
    let mut seen = Vec::new();
    for request in requests {
        seen.push(send_request(tier.front, request).await);
    }
    (seen, replica.received())
}

#[test]
fn a_replica_gets_the_chain_before_the_new_input() {
    on_one_thread(async {
        let requests = [
            turn("a1", "first?", ""),
            turn("a2", "second?", "Previous: a1\r\n"),
            turn("a3", "third?", "Previous: a2\r\n"),
            turn("b2", "other?", "Previous: a1\r\n"),
        ];
        let (seen, received) = conversation(|_, request| complete(request), &requests).await;
        assert!(
            seen.iter()
                .all(|seen| seen.status() == 200 && seen.complete && seen.text() == TWO_EVENTS)
        );
        let bodies: Vec<String> = received
            .iter()
            .map(|request| String::from_utf8_lossy(&request.body).into_owned())
            .collect();
        let expected = [
            "first?",
            "first?one\ntwo\nsecond?",
            "first?one\ntwo\nsecond?one\ntwo\nthird?",
            "first?one\ntwo\nother?",
        ];
        assert_eq!(bodies, expected);
    });
}

#[test]
fn a_turn_that_was_not_answered_completely_is_not_stored() {
    on_one_thread(async {
        let requests = [
            turn("a1", "first?", ""),
            turn("a2", "second?", "Previous: a1\r\n"),
            turn("a3", "third?", "Previous: ffff\r\n"),
        ];
        let (seen, received) = conversation(truncated_first, &requests).await;
        assert!(!seen[0].complete);
        assert_eq!((seen[1].status(), seen[2].status()), (404, 404));
        assert_eq!(received.len(), 1, "what goes on from nothing is not run");
    });
}

#[test]
fn a_budget_counts_forwarded_tokens_and_refuses_what_exceeds_it() {
    on_one_thread(async {
        let budget = "Budget: 5\r\n";
        let requests = [
            turn("a1", "1", budget),
            turn("a2", "2", budget),
            turn("a3", "3", budget),
            turn("a4", "4", "Budget: 6\r\n"),
        ];
        let (seen, received) = conversation(|_, request| complete(request), &requests).await;
        let statuses: Vec<u16> = seen.iter().map(Seen::status).collect();
        assert_eq!(statuses, [200, 200, 402, 200]);
        assert_eq!(received.len(), 3, "a turn that was answered 402 is not run");
    });
}

#[test]
fn a_turn_that_broke_off_counts_for_what_was_forwarded() {
    on_one_thread(async {
        // The first gives one token of its two; one and two and two fit into five.
        let requests = [1, 2, 3, 4].map(|number| turn(&format!("a{number}"), "x", "Budget: 5\r\n"));
        let (seen, _) = conversation(truncated_first, &requests).await;
        let statuses: Vec<u16> = seen[1..].iter().map(Seen::status).collect();
        assert_eq!(statuses, [200, 200, 402]);
    });
}

#[test]
fn without_storage_nothing_is_run_and_nothing_is_denied() {
    on_one_thread(async {
        let replica = Replica::start(|_, request| complete(request)).await;
        let tier = Tier::start(&[("i-1", &replica)]).await;
        let mut client = Client::connect(tier.front).await;
        for request in [
            turn("a1", "x", "Budget: 5\r\n"),
            turn("a2", "x", "Previous: a1\r\n"),
        ] {
            client.send(request.as_bytes()).await;
            let seen = client.answer().await;
            assert_eq!(
                seen.status(),
                503,
                "neither 402 nor 404 without an answer of the storage machines"
            );
            assert!(seen.header("retry-after").is_some());
        }
        assert!(replica.received().is_empty());
    });
}
