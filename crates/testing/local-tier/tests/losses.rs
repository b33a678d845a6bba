//! Suspends, kills, and restarts with an empty disk the processes of core and storage machines. Guards against losing
//! acknowledged configurations and turns, and against deciding on a configuration from stale state.

mod support;

use reqwest::StatusCode;
use std::net::SocketAddr;
use std::time::Duration;
use support::{
    TIMEOUT, bring_up, configuration, last_view, log_of, logs, newest_path, number_after, start,
    wait_for, wait_until_generation_served,
};
use tokio::task::JoinHandle;
use tokio::time::Instant;
use woadreach_local_tier::{Client, MachineClass, Operator, Tier, example};

/// Minimum time for which the head is suspended: longer than any lease or failure detection of the core.
const SUSPENSION: Duration = Duration::from_secs(4);

/// Index of the core machine whose address ends with this byte.
fn core_index(tier: &mut Tier, last_byte: u8) -> u8 {
    let has_address = |tier: &mut Tier, index| {
        let node = tier.node(MachineClass::Core, index);
        node.is_some_and(|node| node.spec.ip(0).octets()[3] == last_byte)
    };
    (1..=3)
        .find(|index| has_address(tier, *index))
        .expect("a core machine")
}

/// Index of the head of the newest view that any core machine has installed.
async fn head_index(tier: &mut Tier) -> u8 {
    let views = (1..=3).filter_map(|index| last_view(&log_of(tier, MachineClass::Core, index)));
    let newest = views.max_by_key(|view| view.epoch).expect("a view");
    core_index(tier, newest.chain[0])
}

/// Request of an operator.
enum Call {
    /// Sends a configuration based on version `base`.
    Put { base: u64, body: String },
    /// Reads the active configuration.
    Get,
}

struct Answer {
    status: StatusCode,
    body: String,
}

/// Sends a request to one machine, which may be suspended. Resolves to `None` if the request fails or times out.
fn send(control: SocketAddr, call: Call) -> JoinHandle<Option<Answer>> {
    let url = format!("http://{control}/config");
    let request = match call {
        Call::Put { base, body } => reqwest::Client::new()
            .put(url)
            .header("if-match", base.to_string())
            .body(body),
        Call::Get => reqwest::Client::new().get(url),
    };
    tokio::spawn(async move {
        let response = request.timeout(TIMEOUT).send().await.ok()?;
        Some(Answer {
            status: response.status(),
            body: response.text().await.ok()?,
        })
    })
}

/// Guards against a resumed head that decides from stale state. The head is suspended while the other machines accept
/// configurations. On resumption it finds requests queued in its sockets and does not yet know that it was replaced.
#[tokio::test]
async fn resumed_head_does_not_decide_from_stale_state() {
    let mut tier = start(21);
    let _replicas = bring_up(&tier).await;
    let head = head_index(&mut tier).await;
    let control = tier.control();
    let suspended = control[usize::from(head) - 1];
    let others: Vec<SocketAddr> = control
        .iter()
        .copied()
        .filter(|address| *address != suspended)
        .collect();
    let operator = Operator::new(others);

    tier.node(MachineClass::Core, head)
        .unwrap()
        .suspend()
        .unwrap();
    let since = Instant::now();
    let mut newest = 1;
    while since.elapsed() < SUSPENSION {
        let status = operator
            .put(newest, &configuration(newest + 1), TIMEOUT)
            .await;
        assert_eq!(status.ok(), Some(StatusCode::OK), "{}", logs(&tier));
        newest += 1;
    }
    wait_until_generation_served(&tier, newest).await;

    let stale_put = Call::Put {
        base: 1,
        body: configuration(newest + 5),
    };
    let repeated_put = Call::Put {
        base: newest - 1,
        body: configuration(newest),
    };
    let stale_answer = send(suspended, stale_put);
    let repeated_answer = send(suspended, repeated_put);
    let read = send(suspended, Call::Get);
    tier.node(MachineClass::Core, head)
        .unwrap()
        .resume()
        .unwrap();
    let (stale_answer, repeated_answer, read) = (
        stale_answer.await.unwrap(),
        repeated_answer.await.unwrap(),
        read.await.unwrap(),
    );
    let unavailable = StatusCode::SERVICE_UNAVAILABLE;
    if let Some(Answer { status, .. }) = stale_answer {
        assert!(
            [StatusCode::PRECONDITION_FAILED, unavailable].contains(&status),
            "{status}\n{}",
            logs(&tier)
        );
    }
    if let Some(Answer { status, .. }) = repeated_answer {
        assert!(
            [StatusCode::OK, unavailable].contains(&status),
            "repeated PUT of an accepted configuration: got {status}\n{}",
            logs(&tier)
        );
    }
    if let Some(Answer { status, body }) = read {
        assert!(
            status == unavailable || body == configuration(newest),
            "{status} {body}\n{}",
            logs(&tier)
        );
    }

    let resumed = Operator::new(vec![suspended]);
    let end = Instant::now() + TIMEOUT;
    loop {
        for edge in tier.edge_addresses() {
            let answer = Client::new(edge)
                .get(example::HOST, &newest_path(newest), "r")
                .await;
            assert_ne!(
                answer.map(|answer| answer.status).ok(),
                Some(404),
                "edge {edge} reverted to an earlier configuration\n{}",
                logs(&tier)
            );
        }
        match resumed.get(suspended).await {
            Ok(body) => break assert_eq!(body, configuration(newest)),
            Err(error) => assert!(Instant::now() < end, "{error}\n{}", logs(&tier)),
        }
    }
    let status = resumed
        .put(newest, &configuration(newest + 1), TIMEOUT)
        .await;
    assert_eq!(status.ok(), Some(StatusCode::OK), "{}", logs(&tier));
    wait_until_generation_served(&tier, newest + 1).await;
}

/// Waits until a restarted core machine has installed a view later than epoch `before` with a complete chain that
/// includes it.
async fn wait_until_in_chain(tier: &mut Tier, index: u8, before: u64) {
    let own = tier
        .node(MachineClass::Core, index)
        .unwrap()
        .spec
        .ip(0)
        .octets()[3];
    let tier = &*tier;
    wait_for(tier, "complete chain with the restarted machine", || {
        let view = last_view(&log_of(tier, MachineClass::Core, index))?;
        let is_complete = view.chain.len() == 3 && view.chain.contains(&own);
        (view.epoch > before && is_complete).then_some(())
    })
    .await;
}

/// Guards against losing acknowledged configurations in successive disk losses. Each core machine is killed and
/// restarted with an empty disk as soon as the previous one is in the chain again. At the end, no disk remains from
/// when the first configuration was accepted.
#[tokio::test]
async fn configurations_survive_successive_disk_losses_of_all_core_machines() {
    let mut tier = start(22);
    let _replicas = bring_up(&tier).await;
    let operator = Operator::new(tier.control());
    let mut newest = 1;
    for failed in [1, 2, 3, 1] {
        let views =
            (1..=3).filter_map(|index| last_view(&log_of(&tier, MachineClass::Core, index)));
        let before = views.map(|view| view.epoch).max().expect("a view");
        tier.node(MachineClass::Core, failed)
            .unwrap()
            .kill()
            .await
            .unwrap();
        let remaining = tier.control()[usize::from(failed) % 3];
        let end = Instant::now() + TIMEOUT;
        let read = loop {
            match operator.get(remaining).await {
                Ok(body) => break body,
                Err(error) => assert!(Instant::now() < end, "{error}\n{}", logs(&tier)),
            }
        };
        let expected = if newest == 1 {
            example::configuration(1)
        } else {
            configuration(newest)
        };
        assert_eq!(
            read, expected,
            "core-{failed} was killed: active configuration differs from the last acknowledged one"
        );
        let status = operator
            .put(newest, &configuration(newest + 1), TIMEOUT)
            .await;
        assert_eq!(status.ok(), Some(StatusCode::OK), "{}", logs(&tier));
        newest += 1;
        tier.restart(MachineClass::Core, failed, true)
            .await
            .unwrap();
        wait_until_in_chain(&mut tier, failed, before).await;
    }
    wait_until_generation_served(&tier, newest).await;
}

/// Waits until a storage machine whose disk was wiped has completed a pull of its data, and the core has committed a
/// later storage epoch. `pulls` is the number of pulls that the machine completed before it was killed.
async fn wait_until_refilled(tier: &Tier, index: u8, pulls: usize) {
    let completed_pulls = |log: &str| {
        log.lines()
            .filter(|line| line.contains("storage pull completed"))
            .count()
    };
    let epoch = wait_for(tier, "data pull by the restarted storage machine", || {
        let log = log_of(tier, MachineClass::Storage, index);
        if completed_pulls(&log) > pulls {
            number_after(&log, "completed storage_epoch=")
        } else {
            None
        }
    })
    .await;
    wait_for(tier, "storage view after the pull", || {
        let logs = (1..=3).map(|core| log_of(tier, MachineClass::Core, core));
        let committed = logs.filter_map(|log| number_after(&log, "storage_epoch="));
        committed.max().filter(|newest| *newest > epoch)
    })
    .await;
}

/// Guards against losing stored turns in successive disk losses. Each storage machine is killed and restarted with an
/// empty disk as soon as the previous one has refilled. At the end, no disk remains from when the first turn was
/// stored.
#[tokio::test]
async fn turns_survive_successive_disk_losses_of_all_storage_machines() {
    let mut tier = start(23);
    let _replicas = bring_up(&tier).await;
    let edges = tier.edge_addresses();
    example::run_conversation(&edges, "p23", 2).await.unwrap();
    for (number, failed) in [1, 2, 3].into_iter().enumerate() {
        let log = log_of(&tier, MachineClass::Storage, failed);
        let pulls = log
            .lines()
            .filter(|line| line.contains("storage pull completed"))
            .count();
        tier.node(MachineClass::Storage, failed)
            .unwrap()
            .kill()
            .await
            .unwrap();
        let (turn, edge) = (2 + number, edges[number % edges.len()]);
        let end = Instant::now() + TIMEOUT;
        loop {
            let answer = Client::new(edge)
                .turn(&example::turn("p23", turn, Some(turn - 1)))
                .await;
            let status = answer.map(|answer| answer.status).unwrap_or(0);
            if status == 200 {
                break;
            }
            assert!(
                [0, 429, 503, 504].contains(&status),
                "turn {turn}: got status {status}, expected 200\n{}",
                logs(&tier)
            );
            assert!(
                Instant::now() < end,
                "turn {turn}: got status {status}, expected 200\n{}",
                logs(&tier)
            );
        }
        tier.restart(MachineClass::Storage, failed, true)
            .await
            .unwrap();
        wait_until_refilled(&tier, failed, pulls).await;
    }
    let answer = Client::new(edges[0])
        .turn(&example::turn("p23", 5, Some(4)))
        .await
        .unwrap();
    assert_eq!(answer.status, 200, "{}", logs(&tier));
}
