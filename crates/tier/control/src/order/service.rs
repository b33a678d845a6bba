//! Sends an order to the head of the chain, wherever it is, until there is an answer or time is up: the
//! step of a configuration change between the operator's API and the member of the head.

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

/// Limit on the time for an order, below the second after which callers move on to another machine. After it
/// the order gets [`Unanswered::Late`], or [`Unanswered::NoHead`] if it never reached a head.
pub const ORDER_TIMEOUT: Duration = Duration::from_millis(780);
/// Longest wait for another view before the head is tried again.
const RETRY_INTERVAL: Duration = Duration::from_millis(60);
/// Part of the caller's time-out that the head leaves for its answer to travel back.
const RESPONSE_MARGIN: Duration = Duration::from_millis(20);

/// Why an order has no answer. The order may take effect yet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
pub enum Unanswered {
    /// This machine knows of no head that answers.
    #[snafu(display("no head of the chain answers"))]
    NoHead,
    /// This machine is partitioned from the core's majority.
    #[snafu(display("this machine is cut off from the core's majority"))]
    OutOfQuorum,
    /// The chain did not finish in time.
    #[snafu(display("the chain did not finish in time"))]
    Late,
}

/// Progress of one order at this machine.
#[derive(Default)]
struct Progress {
    /// Whether a head may have received the order.
    has_reached_head: bool,
    /// Since when this machine has been out of quorum, as far as this order has seen.
    out_of_quorum_since: Option<Instant>,
}

impl Progress {
    /// Records whether the machine is in quorum.
    fn record_status(&mut self, now: Instant, status: &Status) {
        if status.in_quorum {
            self.out_of_quorum_since = None;
        } else {
            self.out_of_quorum_since.get_or_insert(now);
        }
    }

    /// When an attempt that begins `now` is to end, so that the status is read again.
    fn attempt_deadline(&self, now: Instant) -> Instant {
        self.out_of_quorum_since
            .map_or(now + ORDER_TIMEOUT, |since| since + OUT_OF_QUORUM_TIMEOUT)
    }

    fn out_of_quorum_for(&self) -> Duration {
        self.out_of_quorum_since
            .map(|since| since.elapsed())
            .unwrap_or_default()
    }

    /// The error of an order whose deadline has passed.
    fn late_error(&self) -> Unanswered {
        if self.has_reached_head {
            Unanswered::Late
        } else {
            Unanswered::NoHead
        }
    }
}

/// Executes orders here if this machine is the head, and forwards them to the head otherwise.
pub struct OrderService {
    driver: Arc<MemberDriver>,
    /// Connections for forwarded orders, which may be as long as a configuration.
    rpc: Client,
    /// Internal address of this machine.
    own_address: SocketAddr,
    /// How many storage machines may be lost at once.
    tolerated_losses: usize,
}

impl OrderService {
    /// Creates the service of the machine with the internal address `own_address`. `tolerated_losses` is
    /// how many storage machines may be lost at once.
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

    /// Executes an order, here or at the head, and waits for the answer until `deadline`. A new head is tried
    /// at once, without waiting for the former one, so an order may be executed twice.
    ///
    /// # Errors
    /// See [`Unanswered`].
    pub async fn execute(&self, order: Order, deadline: Instant) -> Result<Answer, Unanswered> {
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
                        // After this time the order is tried again without a change too.
                        let _ = timeout_at(retry, changes.changed()).await;
                    }
                },
                () = superseded => {}
            }
            if Instant::now() >= deadline {
                return Err(progress.late_error());
            }
        }
    }

    async fn attempt(
        &self,
        order: &Order,
        status: &Status,
        until: Instant,
        progress: &mut Progress,
    ) -> Result<Option<Answer>, Unanswered> {
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
        // In a task of its own, the call is completed even if this future is dropped.
        let call =
            tokio::spawn(async move { rpc.call(head, ServiceId::FORWARD, body, timeout).await });
        call.await.unwrap_or(Err(CallError::Broken))
    }

    /// Executes an order that another core machine has forwarded. Returns the encoded answer; empty if there
    /// is none.
    ///
    /// # Errors
    /// [`OrderDecodeError`] if the order can't be read.
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

/// Returns once `head` is not the head any more, as this machine knows it.
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
