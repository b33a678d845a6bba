//! Core and storage machines as real processes that are suspended, killed, and restarted with an empty disk: what was
//! acknowledged is not lost, and no order is decided on old state.

mod support;

use reqwest::StatusCode;
use std::net::SocketAddr;
use std::time::Duration;
use support::{
    TIMEOUT, bring_up, configuration, last_view, log_of, logs, newest_path, number_after, start,
    wait_for, wait_until_in_force,
};
use tokio::task::JoinHandle;
use tokio::time::Instant;
use woadreach_local_tier::{Client, MachineClass, Operator, Tier, example};

/// How long the head is suspended at least: longer than any lease or failure detection of the core.
const SUSPENSION: Duration = Duration::from_secs(4);

/// Index of the core machine with this last byte of its address.
fn core_index(tier: &mut Tier, last_byte: u8) -> u8 {
    let is_it = |tier: &mut Tier, index| {
        let node = tier.node(MachineClass::Core, index);
        node.is_some_and(|node| node.spec.ip(0).octets()[3] == last_byte)
    };
    (1..=3)
        .find(|index| is_it(tier, *index))
        .expect("a core machine")
}

/// Index of the head of the newest view that any core machine has installed.
async fn head_index(tier: &mut Tier) -> u8 {
    let views = (1..=3).filter_map(|index| last_view(&log_of(tier, MachineClass::Core, index)));
    let newest = views.max_by_key(|view| view.epoch).expect("a view");
    core_index(tier, newest.chain[0])
}

/// A call of an operator.
enum Call {
    /// Sends a configuration that is built on version `base`.
    Put { base: u64, body: String },
    /// Reads the configuration in force.
    Get,
}

struct Answer {
    status: StatusCode,
    body: String,
}

/// Sends a call to one machine, which may be suspended. The answer is none if the call fails or times out.
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

/// The head is suspended for some seconds while the other machines get orders. When it is resumed, orders wait in its
/// sockets, and it is no longer the head without knowing it.
#[tokio::test]
async fn a_resumed_head_decides_nothing_on_old_state() {
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
    wait_until_in_force(&tier, newest).await;

    let on_old_version = Call::Put {
        base: 1,
        body: configuration(newest + 5),
    };
    let already_accepted = Call::Put {
        base: newest - 1,
        body: configuration(newest),
    };
    let lost_race = send(suspended, on_old_version);
    let sent_again = send(suspended, already_accepted);
    let read = send(suspended, Call::Get);
    tier.node(MachineClass::Core, head)
        .unwrap()
        .resume()
        .unwrap();
    let (lost_race, sent_again, read) = (
        lost_race.await.unwrap(),
        sent_again.await.unwrap(),
        read.await.unwrap(),
    );
    let unclear = StatusCode::SERVICE_UNAVAILABLE;
    if let Some(Answer { status, .. }) = lost_race {
        assert!(
            [StatusCode::PRECONDITION_FAILED, unclear].contains(&status),
            "{status}\n{}",
            logs(&tier)
        );
    }
    if let Some(Answer { status, .. }) = sent_again {
        assert!(
            [StatusCode::OK, unclear].contains(&status),
            "accepted before: {status}\n{}",
            logs(&tier)
        );
    }
    if let Some(Answer { status, body }) = read {
        assert!(
            status == unclear || body == configuration(newest),
            "{status} {body}\n{}",
            logs(&tier)
        );
    }

    let caught_up = Operator::new(vec![suspended]);
    let end = Instant::now() + TIMEOUT;
    loop {
        for front in tier.fronts() {
            let answer = Client::new(front)
                .get(example::HOST, &newest_path(newest), "r")
                .await;
            assert_ne!(
                answer.map(|answer| answer.status).ok(),
                Some(404),
                "{front} went back\n{}",
                logs(&tier)
            );
        }
        match caught_up.get(suspended).await {
            Ok(body) => break assert_eq!(body, configuration(newest)),
            Err(error) => assert!(Instant::now() < end, "{error}\n{}", logs(&tier)),
        }
    }
    let status = caught_up
        .put(newest, &configuration(newest + 1), TIMEOUT)
        .await;
    assert_eq!(status.ok(), Some(StatusCode::OK), "{}", logs(&tier));
    wait_until_in_force(&tier, newest + 1).await;
}

/// Waits until a core machine that was restarted after epoch `before` is in a complete chain again.
async fn wait_until_in_chain(tier: &mut Tier, index: u8, before: u64) {
    let own = tier
        .node(MachineClass::Core, index)
        .unwrap()
        .spec
        .ip(0)
        .octets()[3];
    let tier = &*tier;
    wait_for(tier, "a complete chain with the restarted machine", || {
        let view = last_view(&log_of(tier, MachineClass::Core, index))?;
        let is_complete = view.chain.len() == 3 && view.chain.contains(&own);
        (view.epoch > before && is_complete).then_some(())
    })
    .await;
}

/// One core machine after the other loses its disk, each as soon as the one before is in the chain again. At the end
/// no disk is left that was there when the first order was accepted.
#[tokio::test]
async fn a_core_machine_is_lost_as_soon_as_another_is_back_with_an_empty_disk() {
    let mut tier = start(22);
    let _replicas = bring_up(&tier).await;
    let operator = Operator::new(tier.control());
    let mut newest = 1;
    for lost in [1, 2, 3, 1] {
        let views =
            (1..=3).filter_map(|index| last_view(&log_of(&tier, MachineClass::Core, index)));
        let before = views.map(|view| view.epoch).max().expect("a view");
        tier.node(MachineClass::Core, lost)
            .unwrap()
            .kill()
            .await
            .unwrap();
        let remaining = tier.control()[usize::from(lost) % 3];
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
            "what was acknowledged before core-{lost} was lost"
        );
        let status = operator
            .put(newest, &configuration(newest + 1), TIMEOUT)
            .await;
        assert_eq!(status.ok(), Some(StatusCode::OK), "{}", logs(&tier));
        newest += 1;
        tier.restart(MachineClass::Core, lost, true).await.unwrap();
        wait_until_in_chain(&mut tier, lost, before).await;
    }
    wait_until_in_force(&tier, newest).await;
}

/// Waits until a storage machine whose disk was wiped has pulled its data, and the core has committed a view in which
/// it counts. `pulls` is the number of its pulls before.
async fn wait_until_refilled(tier: &Tier, index: u8, pulls: usize) {
    let pulled = |log: &str| {
        log.lines()
            .filter(|line| line.contains("storage pull completed"))
            .count()
    };
    let epoch = wait_for(tier, "a pull by the restarted storage machine", || {
        let log = log_of(tier, MachineClass::Storage, index);
        if pulled(&log) > pulls {
            number_after(&log, "completed storage_epoch=")
        } else {
            None
        }
    })
    .await;
    wait_for(tier, "the storage view after the pull", || {
        let logs = (1..=3).map(|core| log_of(tier, MachineClass::Core, core));
        let committed = logs.filter_map(|log| number_after(&log, "storage_epoch="));
        committed.max().filter(|newest| *newest > epoch)
    })
    .await;
}

/// The same for storage machines: at the end no disk is left that was there when the first turn was stored.
#[tokio::test]
async fn a_storage_machine_is_lost_as_soon_as_another_is_back_with_an_empty_disk() {
    let mut tier = start(23);
    let _replicas = bring_up(&tier).await;
    let fronts = tier.fronts();
    example::converse(&fronts, "p23", 2).await.unwrap();
    for (number, lost) in [1, 2, 3].into_iter().enumerate() {
        let log = log_of(&tier, MachineClass::Storage, lost);
        let pulls = log
            .lines()
            .filter(|line| line.contains("storage pull completed"))
            .count();
        tier.node(MachineClass::Storage, lost)
            .unwrap()
            .kill()
            .await
            .unwrap();
        let (turn, front) = (2 + number, fronts[number % fronts.len()]);
        let end = Instant::now() + TIMEOUT;
        loop {
            let answer = Client::new(front)
                .turn(&example::turn("p23", turn, Some(turn - 1)))
                .await;
            let status = answer.map(|answer| answer.status).unwrap_or(0);
            if status == 200 {
                break;
            }
            assert!(
                [0, 429, 503, 504].contains(&status),
                "turn {turn}: {status}\n{}",
                logs(&tier)
            );
            assert!(
                Instant::now() < end,
                "turn {turn}: {status}\n{}",
                logs(&tier)
            );
        }
        tier.restart(MachineClass::Storage, lost, true)
            .await
            .unwrap();
        wait_until_refilled(&tier, lost, pulls).await;
    }
    let answer = Client::new(fronts[0])
        .turn(&example::turn("p23", 5, Some(4)))
        .await
        .unwrap();
    assert_eq!(answer.status, 200, "{}", logs(&tier));
}
