//! A rejection that a replica sends twice, the second time in the place of the next answer: the id alone does
//! not tell to which of two sends of one request it belongs.

mod support;

use parking_lot::Mutex;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use support::replica::{Received, Replica, not_executed, success};
use support::tier::Tier;
use support::{Seen, on_one_thread, send_request};

const REQUEST: &str =
    "POST /unsafe/ HTTP/1.1\r\nHost: tier.example\r\nRequest-Id: r1\r\nContent-Length: 1\r\n\r\nx";

/// Sends to a tier of one replica that rejects the first request and runs the later ones. It sends its rejection
/// once more in the place of the next answer on the same connection.
async fn request_with_surplus(request: &str) -> (Seen, usize, Replica) {
    let runs = Arc::new(AtomicUsize::new(0));
    let counted = runs.clone();
    let answers_on = Arc::new(Mutex::new(BTreeMap::<usize, usize>::new()));
    let script = move |connection: usize, number: usize, request: &Received| {
        let mut answers = answers_on.lock();
        let earlier = answers.entry(connection).or_default();
        *earlier += 1;
        if number == 0 {
            return vec![not_executed(request)];
        }
        counted.fetch_add(1, Ordering::Relaxed);
        match *earlier {
            1 => vec![success(request, "ran")],
            _ => vec![not_executed(request), success(request, "ran")],
        }
    };
    let replica = Replica::start_by_connection(script).await;
    let tier = Tier::start(&[("i-1", &replica)]).await;
    let seen = send_request(tier.front, request).await;
    (seen, runs.load(Ordering::Relaxed), replica)
}

#[test]
fn a_rejection_that_comes_twice_does_not_have_an_unsafe_request_run_twice() {
    on_one_thread(async {
        let (seen, runs, replica) = request_with_surplus(REQUEST).await;
        assert_eq!((seen.status(), seen.text().as_str(), runs), (200, "ran", 1));
        assert_eq!(
            replica.connections(),
            2,
            "a connection carries a request once"
        );
    });
}
