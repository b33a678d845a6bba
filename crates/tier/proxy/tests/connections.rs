//! Clients' connections: limits in time and number. Time is handed in; nothing waits for it.

mod support;

use support::replica::{Replica, success};
use support::tier::Tier;
use support::{Client, on_one_thread};
use woadreach_proxy::client::listener::max_connections;
use woadreach_settings::ProcessLimits;

const REQUEST: &[u8] = b"GET /safe/ HTTP/1.1\r\nHost: tier.example\r\nRequest-Id: r1\r\n\r\n";
/// Limits of the tier's configuration, in seconds.
const HEADER_TIMEOUT: f64 = 3.0;
const IDLE_TIMEOUT: f64 = 15.0;

async fn tier() -> (Tier, Replica) {
    let replica = Replica::start(|_, request| vec![success(request, "ok")]).await;
    (Tier::start(&[("i-1", &replica)]).await, replica)
}

/// A connection on which one request has been answered.
async fn idle(tier: &Tier) -> Client {
    let mut client = Client::connect(tier.front).await;
    client.send(REQUEST).await;
    assert_eq!(client.answer().await.status(), 200);
    client
}

#[test]
fn a_head_that_stops_gets_408() {
    on_one_thread(async {
        let (tier, replica) = tier().await;
        let mut client = Client::connect(tier.front).await;
        client.send(&REQUEST[..30]).await;
        while !tier.connections.is_reading() {
            tokio::task::yield_now().await;
        }
        tier.connections
            .sweep_at(tier.proxy.clock.now() + HEADER_TIMEOUT + 0.1);
        let seen = client.answer().await;
        assert_eq!(
            (seen.status(), seen.header("connection")),
            (408, Some("close"))
        );
        assert!(client.is_closed().await);
        assert!(replica.received().is_empty());
    });
}

#[test]
fn a_connection_idle_for_four_fifths_of_its_timeout_is_served_and_later_closed() {
    on_one_thread(async {
        let (tier, _replica) = tier().await;
        let mut client = idle(&tier).await;
        tier.connections
            .sweep_at(tier.proxy.clock.now() + IDLE_TIMEOUT * 0.8);
        client.send(REQUEST).await;
        assert_eq!(client.answer().await.status(), 200);
        tier.connections
            .sweep_at(tier.proxy.clock.now() + IDLE_TIMEOUT + 0.1);
        assert!(client.is_closed().await);
    });
}

#[test]
fn a_request_in_flight_is_not_ended_by_the_sweep() {
    on_one_thread(async {
        let replica = Replica::start(|_, _| vec![support::replica::Step::Hang]).await;
        let tier = Tier::start(&[("i-1", &replica)]).await;
        let mut client = Client::connect(tier.front).await;
        client
            .send(b"GET /safe/ HTTP/1.1\r\nHost: tier.example\r\nRequest-Id: r1\r\nTimeout-Ms: 300\r\n\r\n")
            .await;
        replica.wait_for_requests(1).await;
        tier.connections.sweep_at(tier.proxy.clock.now() + 100.0);
        assert_eq!(client.answer().await.status(), 504);
    });
}

#[test]
fn at_the_limit_the_connection_idle_for_longest_is_evicted() {
    on_one_thread(async {
        let replica = Replica::start(|_, request| vec![success(request, "ok")]).await;
        let small = ProcessLimits {
            memory_mb: 4,
            ..support::tier::limits()
        };
        let bound = max_connections(&small);
        let tier = Tier::start_within(&[("i-1", &replica)], small).await;
        let mut first = idle(&tier).await;
        let mut others = Vec::new();
        for _ in 1..bound {
            others.push(idle(&tier).await);
        }
        let mut one_more = idle(&tier).await;
        assert!(first.is_closed().await);
        one_more.send(REQUEST).await;
        assert_eq!(one_more.answer().await.status(), 200);
    });
}

#[test]
fn a_burst_of_connections_evicts_one_idle_connection_for_each() {
    on_one_thread(async {
        let replica = Replica::start(|_, request| vec![success(request, "ok")]).await;
        let small = ProcessLimits {
            memory_mb: 4,
            ..support::tier::limits()
        };
        let bound = max_connections(&small);
        let tier = Tier::start_within(&[("i-1", &replica)], small).await;
        let mut old = Vec::new();
        for _ in 0..bound {
            old.push(idle(&tier).await);
        }
        // The listener accepts all of them before the task of any evicted connection runs.
        let burst: Vec<std::net::TcpStream> = (0..8)
            .map(|_| std::net::TcpStream::connect(tier.front).unwrap())
            .collect();
        for evicted in &mut old[..burst.len()] {
            assert!(evicted.is_closed().await);
        }
        while tier.connections.open_connections() > bound {
            tokio::task::yield_now().await;
        }
        old[burst.len()].send(REQUEST).await;
        assert_eq!(old[burst.len()].answer().await.status(), 200);
    });
}

#[test]
fn connections_are_limited_by_memory_and_descriptors() {
    let bound = |memory_mb, max_fds| {
        max_connections(&ProcessLimits {
            memory_mb,
            max_fds,
            ..support::tier::limits()
        })
    };
    assert_eq!(bound(260, 4100), 2700);
    assert!((1000..1200).contains(&bound(78, 4100)));
    assert_eq!(bound(260, 400), 100);
}
