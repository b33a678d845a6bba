//! An edge that counts its own messages: the decisions of [`Watcher`] with a driver that measures every call.

use bytes::Bytes;
use parking_lot::Mutex;
use serde::Serialize;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::task::JoinSet;
use tokio::time::Instant;
use woadreach_discovery::messages::{ConfigurationResponse, PollResponse, Request, decode, encode};
use woadreach_discovery::watcher::{WatchAction, Watcher};
use woadreach_rpc::{Client, ClientOptions, ServiceId};
use woadreach_settings::NodeSettings;

/// Bytes of a frame around a message: length, version, kind, service and number.
const FRAME_BYTES: u64 = 4 + 11;
/// Longest wait without any event.
const IDLE_WAKE: Duration = Duration::from_secs(1);

/// Messages of one kind, with their frames.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct Traffic {
    /// Calls that were answered.
    pub calls: u64,
    /// Bytes sent.
    pub bytes_out: u64,
    /// Bytes received.
    pub bytes_in: u64,
}

impl Traffic {
    fn count(&mut self, sent: usize, received: usize) {
        self.calls += 1;
        self.bytes_out += sent as u64 + FRAME_BYTES;
        self.bytes_in += received as u64 + FRAME_BYTES;
    }

    /// Both together.
    pub fn plus(self, other: Traffic) -> Traffic {
        Traffic {
            calls: self.calls + other.calls,
            bytes_out: self.bytes_out + other.bytes_out,
            bytes_in: self.bytes_in + other.bytes_in,
        }
    }

    /// What has been added since `earlier`.
    pub fn since(self, earlier: Traffic) -> Traffic {
        Traffic {
            calls: self.calls - earlier.calls,
            bytes_out: self.bytes_out - earlier.bytes_out,
            bytes_in: self.bytes_in - earlier.bytes_in,
        }
    }
}

/// What a probe has counted.
#[derive(Clone, Copy, Debug, Default)]
pub struct Counts {
    /// Long-polls.
    pub polls: Traffic,
    /// Fetches of the configuration.
    pub configurations: Traffic,
}

enum Completed {
    Poll(SocketAddr, Option<PollResponse>),
    Configuration(Option<u64>),
}

/// A counting edge, which ends with this value.
pub struct Probe {
    counts: Arc<Mutex<Counts>>,
    _task: JoinSet<()>,
}

impl Probe {
    /// Starts to poll as the edge that `settings` describe would.
    pub fn start(settings: &NodeSettings) -> Self {
        let counts = Arc::<Mutex<Counts>>::default();
        let seeds = settings.seed_internal_addresses();
        let watcher = Watcher::new(Duration::ZERO, settings.node.clone(), seeds);
        let mut task = JoinSet::new();
        task.spawn(run(
            watcher,
            Client::new(ClientOptions::default()),
            counts.clone(),
        ));
        Probe {
            counts,
            _task: task,
        }
    }

    /// What has been counted so far.
    pub fn counts(&self) -> Counts {
        *self.counts.lock()
    }
}

async fn run(mut watcher: Watcher, rpc: Client, counts: Arc<Mutex<Counts>>) {
    let started = Instant::now();
    let mut calls = JoinSet::new();
    loop {
        for action in watcher.start_due_calls(started.elapsed()) {
            calls.spawn(call(action, rpc.clone(), counts.clone()));
        }
        let wake = watcher
            .next_wake()
            .map_or(Instant::now() + IDLE_WAKE, |at| started + at);
        tokio::select! {
            Some(Ok(completed)) = calls.join_next(), if !calls.is_empty() => {
                complete(&mut watcher, started.elapsed(), completed);
            }
            () = tokio::time::sleep_until(wake) => {}
        }
    }
}

async fn call(action: WatchAction, rpc: Client, counts: Arc<Mutex<Counts>>) -> Completed {
    match action {
        WatchAction::Poll {
            machine,
            request,
            timeout,
        } => {
            let answer = exchange(&rpc, machine, &Request::Poll(request), timeout).await;
            let Some((sent, answer)) = answer else {
                return Completed::Poll(machine, None);
            };
            counts.lock().polls.count(sent, answer.len());
            Completed::Poll(machine, decode(&answer).ok())
        }
        WatchAction::FetchConfiguration { machine, timeout } => {
            let answer = exchange(&rpc, machine, &Request::Configuration, timeout).await;
            let Some((sent, answer)) = answer else {
                return Completed::Configuration(None);
            };
            counts.lock().configurations.count(sent, answer.len());
            let response: Option<ConfigurationResponse> = decode(&answer).ok();
            Completed::Configuration(
                response
                    .and_then(|response| response.configuration)
                    .map(|c| c.version),
            )
        }
    }
}

async fn exchange(
    rpc: &Client,
    machine: SocketAddr,
    request: &Request,
    timeout: Duration,
) -> Option<(usize, Bytes)> {
    let body = encode(request);
    let sent = body.len();
    rpc.call(machine, ServiceId::DISCOVERY, body, timeout)
        .await
        .ok()
        .map(|answer| (sent, answer))
}

fn complete(watcher: &mut Watcher, now: Duration, completed: Completed) {
    match completed {
        Completed::Poll(machine, Some(response)) => {
            watcher.poll_answered(now, machine, response);
        }
        Completed::Poll(machine, None) => {
            watcher.poll_failed(now, machine);
        }
        Completed::Configuration(generation) => {
            watcher.configuration_fetched(now, generation);
        }
    }
}
