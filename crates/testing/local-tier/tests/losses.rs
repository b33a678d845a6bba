//! Core and storage machines as real processes that are stopped, killed and brought back with an empty disk:
//! what was acknowledged holds, and nothing is judged on old state.

mod support;

use reqwest::StatusCode;
use std::net::SocketAddr;
use std::time::Duration;
use support::*;
use tokio::task::JoinHandle;
use tokio::time::Instant;
use woadreach_local_tier::{Client, MachineClass, Operator, Tier, example};

/// How long the head stands still, at least: longer than any lease or failure detection of the core.
const STOPPED: Duration = Duration::from_secs(4);

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
async fn head(tier: &mut Tier) -> u8 {
    let views = (1..=3).filter_map(|index| last_view(&log_of(tier, MachineClass::Core, index)));
    let (_, chain) = views.max_by_key(|(epoch, _)| *epoch).expect("a view");
    core_index(tier, chain[0])
}

/// Sends an order or a question to one machine and waits long: the machine stands still.
fn send(
    control: SocketAddr,
    order: Option<(u64, String)>,
) -> JoinHandle<Option<(StatusCode, String)>> {
    let url = format!("http://{control}/config");
    let call = match order {
        Some((base, body)) => reqwest::Client::new()
            .put(url)
            .header("if-match", base.to_string())
            .body(body),
        None => reqwest::Client::new().get(url),
    };
    tokio::spawn(async move {
        let response = call.timeout(PATIENCE).send().await.ok()?;
        let status = response.status();
        Some((status, response.text().await.ok()?))
    })
}

/// The head is stopped for some seconds while orders go to the others: when it goes on it has orders in its
/// sockets, and is not the head any more without knowing it.
#[tokio::test]
async fn a_head_that_stood_still_judges_nothing_on_old_state() {
    let mut tier = start(21);
    let _replicas = example::bring_up(&tier)
        .await
        .unwrap_or_else(|error| panic!("{error}\n{}", logs(&tier)));
    let stopped = head(&mut tier).await;
    let control = tier.control();
    let frozen = control[usize::from(stopped) - 1];
    let others: Vec<SocketAddr> = control
        .iter()
        .copied()
        .filter(|address| *address != frozen)
        .collect();
    let operator = Operator::new(others);

    tier.node(MachineClass::Core, stopped)
        .unwrap()
        .suspend()
        .unwrap();
    let since = Instant::now();
    let mut newest = 1;
    while since.elapsed() < STOPPED {
        let status = operator
            .put(newest, &configuration(newest + 1), PATIENCE)
            .await;
        assert_eq!(status.ok(), Some(StatusCode::OK), "{}", logs(&tier));
        newest += 1;
    }
    wait_until_in_force(&tier, newest).await;

    let lost_race = send(frozen, Some((1, configuration(newest + 5))));
    let sent_again = send(frozen, Some((newest - 1, configuration(newest))));
    let read = send(frozen, None);
    tier.node(MachineClass::Core, stopped)
        .unwrap()
        .resume()
        .unwrap();
    let (lost_race, sent_again, read) = (
        lost_race.await.unwrap(),
        sent_again.await.unwrap(),
        read.await.unwrap(),
    );
    let unclear = StatusCode::SERVICE_UNAVAILABLE;
    if let Some((status, _)) = lost_race {
        assert!(
            [StatusCode::PRECONDITION_FAILED, unclear].contains(&status),
            "{status}\n{}",
            logs(&tier)
        );
    }
    if let Some((status, _)) = sent_again {
        assert!(
            [StatusCode::OK, unclear].contains(&status),
            "taken before: {status}\n{}",
            logs(&tier)
        );
    }
    if let Some((status, body)) = read {
        assert!(
            status == unclear || body == configuration(newest),
            "{status} {body}\n{}",
            logs(&tier)
        );
    }

    let caught_up = Operator::new(vec![frozen]);
    let end = Instant::now() + PATIENCE;
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
        match caught_up.get(frozen).await {
            Ok(body) => break assert_eq!(body, configuration(newest)),
            Err(error) => assert!(Instant::now() < end, "{error}\n{}", logs(&tier)),
        }
    }
    let status = caught_up
        .put(newest, &configuration(newest + 1), PATIENCE)
        .await;
    assert_eq!(status.ok(), Some(StatusCode::OK), "{}", logs(&tier));
    wait_until_in_force(&tier, newest + 1).await;
}

/// Waits until a core machine that was restarted after epoch `before` is in a whole chain again.
async fn wait_until_in_chain(tier: &mut Tier, index: u8, before: u64) {
    let own = tier
        .node(MachineClass::Core, index)
        .unwrap()
        .spec
        .ip(0)
        .octets()[3];
    let tier = &*tier;
    wait_for(
        tier,
        "a whole chain with the machine that came back",
        || {
            let (epoch, chain) = last_view(&log_of(tier, MachineClass::Core, index))?;
            (epoch > before && chain.len() == 3 && chain.contains(&own)).then_some(())
        },
    )
    .await;
}

/// One core machine after the other loses its disk; each next one is lost as soon as the chain holds the one
/// before again. At the end no disk is left that took the first order.
#[tokio::test]
async fn a_core_machine_is_lost_as_soon_as_another_is_back_with_an_empty_disk() {
    let mut tier = start(22);
    let _replicas = example::bring_up(&tier)
        .await
        .unwrap_or_else(|error| panic!("{error}\n{}", logs(&tier)));
    let operator = Operator::new(tier.control());
    let mut newest = 1;
    for lost in [1, 2, 3, 1] {
        let views =
            (1..=3).filter_map(|index| last_view(&log_of(&tier, MachineClass::Core, index)));
        let before = views.map(|(epoch, _)| epoch).max().expect("a view");
        tier.node(MachineClass::Core, lost)
            .unwrap()
            .kill()
            .await
            .unwrap();
        let remaining = tier.control()[usize::from(lost) % 3];
        let end = Instant::now() + PATIENCE;
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
            .put(newest, &configuration(newest + 1), PATIENCE)
            .await;
        assert_eq!(status.ok(), Some(StatusCode::OK), "{}", logs(&tier));
        newest += 1;
        tier.restart(MachineClass::Core, lost, true).await.unwrap();
        wait_until_in_chain(&mut tier, lost, before).await;
    }
    wait_until_in_force(&tier, newest).await;
}

/// Waits until a storage machine whose disk was emptied has pulled its share, and the core has committed a
/// view in which it counts. `pulls` is how often it had pulled before.
async fn wait_until_refilled(tier: &Tier, index: u8, pulls: usize) {
    let pulled = |log: &str| {
        log.lines()
            .filter(|line| line.contains("storage pull completed"))
            .count()
    };
    let epoch = wait_for(tier, "a pull by the storage machine that came back", || {
        let log = log_of(tier, MachineClass::Storage, index);
        if pulled(&log) > pulls {
            number_after(&log, "completed epoch=")
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

/// The same for the machines that keep turns: at the end no disk is left that took the first turn.
#[tokio::test]
async fn a_storage_machine_is_lost_as_soon_as_another_is_back_with_an_empty_disk() {
    let mut tier = start(23);
    let _replicas = example::bring_up(&tier)
        .await
        .unwrap_or_else(|error| panic!("{error}\n{}", logs(&tier)));
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
        let end = Instant::now() + PATIENCE;
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
