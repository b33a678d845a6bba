//! Budgets of turns that end before their response is complete: only the forwarded tokens stay counted.

mod support;

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use support::replica::{Received, Replica, chunk, stream_end, stream_head};
use support::storage::Storage;
use support::tier::Tier;
use support::{Client, on_one_thread, send_request, wait_for};
use woadreach_storage::message::Operation;

const TWO_EVENTS: &[u8] = b"id: 1\ndata: one\n\nid: 2\ndata: two\n\n";

/// A turn that generates four tokens at most and gives two.
fn turn(id: &str, headers: &str) -> String {
    format!(
        "POST /kept/ HTTP/1.1\r\nHost: tier.example\r\nRequest-Id: {id}\r\nProgram: 3fa81c\r\nSession: 77d20b\r\n\
         Token-Usage: 10,4\r\n{headers}Content-Length: 2\r\n\r\nhi"
    )
}

async fn answering() -> Replica {
    let script =
        |_: usize, request: &Received| vec![stream_head(request), chunk(TWO_EVENTS), stream_end()];
    Replica::start(script).await
}

/// Sends turns with this budget until one is not answered 402.
async fn wait_until_it_fits(tier: &Tier, budget: u64) {
    wait_for("a turn that fits", async {
        for number in 0.. {
            let request = turn(&format!("later-{number}"), &format!("Budget: {budget}\r\n"));
            if send_request(tier.front, &request).await.status() == 200 {
                return;
            }
        }
    })
    .await;
}

#[test]
fn a_turn_whose_deadline_passes_while_it_is_stored_counts_for_what_was_forwarded() {
    on_one_thread(async {
        let replica = answering().await;
        let tier = Tier::start(&[("i-1", &replica)]).await;
        let is_dropped = |operation: &Operation| match operation {
            Operation::PutTurns { turns, .. } => turns.iter().any(|turn| turn.request_id == "a1"),
            _ => false,
        };
        let _storage = Storage::dropping(&tier, &[("i-1", &replica)], is_dropped).await;
        // Before the machine counts as silent, whose later writes would wait behind the first one.
        let seen = send_request(tier.front, &turn("a1", "Budget: 6\r\nTimeout-Ms: 400\r\n")).await;
        assert_eq!(
            (seen.status(), seen.complete),
            (200, false),
            "what is not durable does not look whole"
        );
        wait_until_it_fits(&tier, 6).await;
    });
}

#[test]
fn a_client_that_disconnects_while_its_turns_are_loaded_has_nothing_reserved() {
    on_one_thread(async {
        let replica = answering().await;
        let tier = Tier::start(&[("i-1", &replica)]).await;
        let is_dropped = |operation: &Operation| matches!(operation, Operation::ReadChain { .. });
        let mut storage = Storage::dropping(&tier, &[("i-1", &replica)], is_dropped).await;
        let mut client = Client::connect(tier.front).await;
        client
            .send(turn("a1", "Budget: 6\r\nPrevious: a0\r\n").as_bytes())
            .await;
        storage.wait_for_dropped(1).await;
        // The reservation is asked for beside the chain; it is the only request that is answered.
        storage.wait_for_answered(1).await;
        assert_eq!(
            send_request(tier.front, &turn("b1", "Budget: 6\r\n"))
                .await
                .status(),
            402
        );
        drop(client);
        wait_until_it_fits(&tier, 4).await;
        assert_eq!(
            replica.received().len(),
            1,
            "the turn of the client that has left is not run"
        );
    });
}

#[test]
fn a_reservation_granted_after_its_client_disconnected_is_released() {
    on_one_thread(async {
        let replica = answering().await;
        let tier = Tier::start(&[("i-1", &replica)]).await;
        let open = Arc::new(AtomicBool::new(false));
        let gate = open.clone();
        let is_dropped = move |operation: &Operation| {
            matches!(operation, Operation::Reserve { .. }) && !gate.load(Ordering::Relaxed)
        };
        let mut storage = Storage::dropping(&tier, &[("i-1", &replica)], is_dropped).await;
        let mut client = Client::connect(tier.front).await;
        client.send(turn("a1", "Budget: 6\r\n").as_bytes()).await;
        storage.wait_for_dropped(1).await;
        drop(client);
        open.store(true, Ordering::Relaxed);
        wait_until_it_fits(&tier, 4).await;
        assert_eq!(replica.received().len(), 1);
    });
}
