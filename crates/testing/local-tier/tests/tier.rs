//! End-to-end tests over loopback: real processes, fake replicas, an operator and clients.

mod support;

use std::time::Duration;
use support::{bring_up, logs, start};
use woadreach_local_tier::{Client, MachineClass, Operator, example};

/// Time-out for the tier to become ready, and for an answer to a configuration.
const TIMEOUT: Duration = Duration::from_secs(20);

#[tokio::test]
async fn conversation_continues_across_edges() {
    let tier = start(1);
    let replicas = bring_up(&tier).await;
    let answers = example::run_conversation(&tier.edge_addresses(), "p1", 4)
        .await
        .unwrap();
    for answer in &answers {
        assert_eq!(answer.status, 200, "{}", logs(&tier));
        assert!(answer.signature.is_some());
        let body = answer.body.as_ref().expect("incomplete response body");
        assert_eq!(body.matches("data: word-").count(), example::EVENTS);
    }
    let received: Vec<_> = replicas
        .iter()
        .flat_map(|replica| replica.received())
        .collect();
    for (number, id) in (0..4).map(|number| (number, format!("p1-turn-{number}"))) {
        let turn = received
            .iter()
            .find(|request| request.request_id == id)
            .expect("no replica has executed the turn");
        let earlier: Vec<usize> = (0..number).collect();
        assert_eq!(
            turn.body,
            example::expected_body(&earlier, number).as_bytes()
        );
        assert_eq!(turn.line, "POST /chat/2f");
    }
    let stock = Client::new(tier.edge_addresses()[0])
        .get(example::HOST, "/stock/2f?a=1", "s1")
        .await
        .unwrap();
    assert_eq!((stock.status, stock.body.as_deref()), (200, Some("done")));
    let unknown = Client::new(tier.edge_addresses()[0])
        .get(example::HOST, "/none/2f", "s2")
        .await
        .unwrap();
    assert_eq!(unknown.status, 404);
}

#[tokio::test]
async fn exhausted_budget_and_unknown_turn_are_rejected_without_execution() {
    let tier = start(2);
    let replicas = bring_up(&tier).await;
    let client = Client::new(tier.edge_addresses()[0]);
    let mut first = example::turn("p2", 0, None);
    first.budget = Some(first.max_tokens + 1);
    assert_eq!(client.turn(&first).await.unwrap().status, 200);
    let mut second = example::turn("p2", 1, Some(0));
    second.budget = first.budget;
    assert_eq!(
        client.turn(&second).await.unwrap().status,
        402,
        "{}",
        logs(&tier)
    );
    let unknown = example::turn("p2", 3, Some(2));
    assert_eq!(
        client.turn(&unknown).await.unwrap().status,
        404,
        "{}",
        logs(&tier)
    );
    let received: usize = replicas
        .iter()
        .map(|replica| replica.received().len())
        .sum();
    assert_eq!(received, 1, "replicas must execute the first turn only");
}

#[tokio::test]
async fn acknowledged_data_survives_a_disk_loss_in_each_class() {
    let mut tier = start(3);
    let _replicas = bring_up(&tier).await;
    let edges = tier.edge_addresses();
    example::run_conversation(&edges, "p3", 2).await.unwrap();
    tier.restart(MachineClass::Core, 1, true).await.unwrap();
    tier.restart(MachineClass::Storage, 1, true).await.unwrap();
    let operator = Operator::new(tier.control());
    let status = operator.put(1, &example::configuration(5), TIMEOUT).await;
    assert_eq!(
        status.map(|status| status.as_u16()).ok(),
        Some(200),
        "{}",
        logs(&tier)
    );
    let again = operator
        .put(1, &example::configuration(5), TIMEOUT)
        .await
        .unwrap();
    assert_eq!(
        again.as_u16(),
        200,
        "a repeated configuration must be acknowledged again"
    );
    let other = operator
        .put(1, &example::configuration(6), TIMEOUT)
        .await
        .unwrap();
    assert_eq!(
        other.as_u16(),
        412,
        "a different configuration on an old version must be rejected"
    );
    let read = operator.get(tier.control()[1]).await.unwrap();
    assert_eq!(read, example::configuration(5));
    let client = Client::new(edges[1]);
    let request = example::turn("p3", 2, Some(1));
    let answer = client.turn(&request).await.unwrap();
    assert_eq!(answer.status, 200, "{}", logs(&tier));
}

#[tokio::test]
async fn acknowledged_data_survives_a_simultaneous_kill_of_all_machines() {
    let mut tier = start(4);
    let _replicas = bring_up(&tier).await;
    let edges = tier.edge_addresses();
    example::run_conversation(&edges, "p4", 2).await.unwrap();
    for node in &mut tier.nodes {
        node.kill().await.unwrap();
    }
    for (class, count) in [
        (MachineClass::Edge, 2),
        (MachineClass::Core, 3),
        (MachineClass::Storage, 3),
    ] {
        for index in 1..=count {
            tier.restart(class, index, false).await.unwrap();
        }
    }
    tier.wait_until_ready(TIMEOUT)
        .await
        .unwrap_or_else(|error| panic!("{error}\n{}", logs(&tier)));
    let read = Operator::new(tier.control())
        .get(tier.control()[0])
        .await
        .unwrap();
    assert_eq!(read, example::configuration(1));
    let answer = Client::new(edges[0])
        .turn(&example::turn("p4", 2, Some(1)))
        .await
        .unwrap();
    assert_eq!(answer.status, 200, "{}", logs(&tier));
}
