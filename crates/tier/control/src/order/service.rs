//! Executes an order at the current head of the chain, and retries until the order is answered or its deadline has
//! passed. In a configuration change, this is the step between the operator's API and the member of the head.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use snafu::Snafu;
use tokio::sync::watch;
use tokio::time::{Instant, timeout_at};
use woadreach_chain::{MemberId, Status};
use woadreach_rpc::{CallError, Client, ServiceId};

use super::execution::execute_at_head;
use super::message::{
    Answer, ForwardedOrder, Order, OrderDecodeError, decode_answer, encode_answer,
};
use super::route::{OUT_OF_QUORUM_TIMEOUT, Step, is_superseded, next_step};
use crate::member_driver::MemberDriver;

/// Time limit of an order. It is below 1 s, after which callers try another machine. When it has passed, the order
/// fails with [`ExecutionError::Late`], or with [`ExecutionError::NoHead`] if no head can have received it.
pub const ORDER_TIMEOUT: Duration = Duration::from_millis(780);
/// Maximum wait for a change in the core before the next attempt.
const RETRY_INTERVAL: Duration = Duration::from_millis(60);
/// Part of the caller's time-out that the head reserves for the transmission of its answer.
const RESPONSE_MARGIN: Duration = Duration::from_millis(20);

/// Reason why an order has no answer. The order may still take effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
pub enum ExecutionError {
    /// The deadline passed, and no head can have received the order.
    #[snafu(display("no head of the chain answers"))]
    NoHead,
    /// This machine is partitioned from the majority of the core.
    #[snafu(display("this machine is partitioned from the core's majority"))]
    OutOfQuorum,
    /// The deadline passed after a head may have received the order.
    #[snafu(display("the chain did not finish in time"))]
    Late,
}

/// Progress of an order at this machine.
#[derive(Default)]
struct Progress {
    /// Whether a head may have received the order.
    has_reached_head: bool,
    /// Time at which this order first found this machine out of quorum; `None` while it is in quorum.
    out_of_quorum_since: Option<Instant>,
}

impl Progress {
    /// Records whether this machine is in quorum.
    fn record_status(&mut self, now: Instant, status: &Status) {
        if status.in_quorum {
            self.out_of_quorum_since = None;
        } else {
            self.out_of_quorum_since.get_or_insert(now);
        }
    }

    /// Returns the deadline of an attempt that begins at `now`. After it, the status is read again.
    fn attempt_deadline(&self, now: Instant) -> Instant {
        self.out_of_quorum_since
            .map_or(now + ORDER_TIMEOUT, |since| since + OUT_OF_QUORUM_TIMEOUT)
    }

    fn out_of_quorum_for(&self) -> Duration {
        self.out_of_quorum_since
            .map(|since| since.elapsed())
            .unwrap_or_default()
    }

    /// Returns the error of an order whose deadline has passed.
    fn deadline_error(&self) -> ExecutionError {
        if self.has_reached_head {
            ExecutionError::Late
        } else {
            ExecutionError::NoHead
        }
    }
}

/// Executes orders locally if this machine is the head, and otherwise forwards them to the head.
pub struct OrderService {
    driver: Arc<MemberDriver>,
    /// Connections for forwarded orders, which may be as large as a configuration.
    rpc: Client,
    /// Internal address of this machine.
    own_address: SocketAddr,
    /// Number of storage machines that may fail at the same time.
    tolerated_losses: usize,
}

impl OrderService {
    /// Creates the service of the machine with the internal address `own_address`. `tolerated_losses` is the number
    /// of storage machines that may fail at the same time. `rpc` should not share connections with heartbeats.
    pub fn new(
        driver: Arc<MemberDriver>,
        rpc: Client,
        own_address: SocketAddr,
        tolerated_losses: usize,
    ) -> OrderService {
        OrderService {
            driver,
            rpc,
            own_address,
            tolerated_losses,
        }
    }

    /// Executes an order locally or at the head, and waits for the answer until `deadline`. When the head changes,
    /// the order is sent to the new head at once, without waiting for the former head, so an order may be executed
    /// twice.
    ///
    /// # Errors
    /// See [`ExecutionError`].
    pub async fn execute(&self, order: Order, deadline: Instant) -> Result<Answer, ExecutionError> {
        let mut changes = self.driver.changes();
        let mut progress = Progress::default();
        loop {
            changes.borrow_and_update();
            let status = self.driver.status();
            let now = Instant::now();
            progress.record_status(now, &status);
            let until = deadline.min(progress.attempt_deadline(now));
            let superseded = head_changed(&self.driver, self.driver.changes(), status.head);
            tokio::select! {
                answer = self.attempt(&order, &status, until, &mut progress) => match answer? {
                    Some(answer) => return Ok(answer),
                    None => {
                        let retry = (Instant::now() + RETRY_INTERVAL).min(deadline);
                        // The order is retried after a change or, without one, after the time-out.
                        let _ = timeout_at(retry, changes.changed()).await;
                    }
                },
                () = superseded => {}
            }
            if Instant::now() >= deadline {
                return Err(progress.deadline_error());
            }
        }
    }

    async fn attempt(
        &self,
        order: &Order,
        status: &Status,
        until: Instant,
        progress: &mut Progress,
    ) -> Result<Option<Answer>, ExecutionError> {
        match next_step(status, self.own_address, progress.out_of_quorum_for()) {
            Step::GiveUp => OutOfQuorumSnafu.fail(),
            Step::Wait => Ok(None),
            Step::Execute => {
                progress.has_reached_head = true;
                let answer = execute_at_head(&self.driver, self.tolerated_losses, order);
                Ok(timeout_at(until, answer).await.ok().flatten())
            }
            Step::Forward(head) => {
                let result = self.forward(head, order, until).await;
                progress.has_reached_head |=
                    !matches!(result, Err(CallError::Unreachable | CallError::Refused));
                Ok(result
                    .ok()
                    .and_then(|response| decode_answer(head, &response)))
            }
        }
    }

    async fn forward(
        &self,
        head: SocketAddr,
        order: &Order,
        deadline: Instant,
    ) -> Result<Bytes, CallError> {
        let timeout = deadline.saturating_duration_since(Instant::now());
        let rpc = self.rpc.clone();
        let body = ForwardedOrder::new(order.clone(), timeout).encode();
        // The call runs in a separate task, so that it completes even if this future is dropped.
        let call =
            tokio::spawn(async move { rpc.call(head, ServiceId::FORWARD, body, timeout).await });
        call.await.unwrap_or(Err(CallError::Broken))
    }

    /// Executes an order forwarded by another core machine. Returns the encoded answer, or no bytes if there is no
    /// answer.
    ///
    /// # Errors
    /// [`OrderDecodeError`] if the order cannot be decoded.
    pub async fn execute_forwarded(&self, body: Bytes) -> Result<Vec<u8>, OrderDecodeError> {
        let forwarded = ForwardedOrder::decode(&body)?;
        let timeout = forwarded
            .timeout()
            .min(ORDER_TIMEOUT)
            .saturating_sub(RESPONSE_MARGIN);
        let execution = execute_at_head(&self.driver, self.tolerated_losses, &forwarded.order);
        let answer = tokio::time::timeout(timeout, execution).await;
        Ok(answer
            .ok()
            .flatten()
            .map_or_else(Vec::new, |answer| encode_answer(&answer)))
    }
}

/// Waits until this machine learns that `head` is no longer the head.
async fn head_changed(
    driver: &MemberDriver,
    mut changes: watch::Receiver<u64>,
    head: Option<MemberId>,
) {
    while !is_superseded(head, &driver.status()) {
        if changes.changed().await.is_err() {
            return std::future::pending().await;
        }
    }
}
