//! Orders of the operator: carried out by the head of the chain, passed there by every other core machine.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use snafu::{OptionExt, ResultExt, Snafu, ensure};
use speedy::{Endianness, Readable, Writable};
use tokio::sync::watch;
use tokio::time::{Instant, timeout_at};
use woadreach_chain::{
    Blob, Command, MemberId, PutConfiguration, PutStorageView, Rejection, Reply, Request, Status,
    Undecided,
};
use woadreach_rpc::{CallError, Client, ServiceId};
use woadreach_storage::StorageView;

use crate::member_driver::MemberDriver;
use crate::order_route::{QUORUM_WAIT, Step, is_superseded, next_step};
use crate::retire_order::{RetireStep, judge_retire, retire_state};

/// Version of the format of orders between core machines.
const ORDER_VERSION: u8 = 1;
/// Callers move on after a second of silence; an order that takes longer is left without a clear answer.
pub const ORDER_TIMEOUT: Duration = Duration::from_millis(780);
/// Longest wait for news of the view before the head is asked again.
const RETRY_PAUSE: Duration = Duration::from_millis(60);
/// Time that the head keeps back from the caller's for the way back.
const RETURN_TIME: Duration = Duration::from_millis(20);

/// An order.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub enum Order {
    PutConfiguration(PutConfiguration),
    ReadConfiguration,
    Retire { node: String },
    RetireState { node: String },
}

/// Answer to an order. All but the last two are clear ones.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub enum Answer {
    /// Committed, now or earlier.
    Done,
    /// Not taken, and never will be.
    Rejected(Rejection),
    Configuration {
        generation: u64,
        body: Blob,
    },
    NoConfiguration,
    /// No such storage machine.
    UnknownNode,
    /// Too few storage machines would remain.
    TooFewNodes,
    /// Whether the storage machine may be taken away.
    RetireState {
        is_finished: bool,
    },
    /// Not taken now; nothing is promised.
    Undecided(Undecided),
    /// The storage view is of a format that the head doesn't know; nothing is promised.
    UnreadableStorageView,
}

/// An order that got no clear answer; it may be carried out yet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
pub enum Unanswered {
    /// This machine knows of no head that answers.
    #[snafu(display("no head of the chain answers"))]
    NoHead,
    /// This machine is cut off from the core's majority.
    #[snafu(display("this machine is cut off from the core's majority"))]
    OutOfQuorum,
    /// The chain did not finish in time.
    #[snafu(display("the chain did not finish in time"))]
    Late,
}

/// An order or an answer of another core machine that can't be read.
#[derive(Debug, Snafu)]
pub enum MessageError {
    #[snafu(display("the order is empty"))]
    Empty,
    #[snafu(display("order version {found}, expected {ORDER_VERSION}"))]
    Version { found: u8 },
    #[snafu(display("malformed order"))]
    Malformed { source: speedy::Error },
}

/// How far an order has come.
#[derive(Default)]
struct Progress {
    has_reached_head: bool,
    /// Since when this machine has been out of quorum, as this order has met it.
    out_of_quorum_since: Option<Instant>,
}

impl Progress {
    /// Notes the machine's standing. Gives back when it is to be looked at again if it is out of quorum.
    fn look(&mut self, status: &Status) -> Instant {
        let now = Instant::now();
        if status.in_quorum {
            self.out_of_quorum_since = None;
            return now + ORDER_TIMEOUT;
        }
        *self.out_of_quorum_since.get_or_insert(now) + QUORUM_WAIT
    }

    fn out_of_quorum_for(&self) -> Duration {
        self.out_of_quorum_since
            .map(|since| since.elapsed())
            .unwrap_or_default()
    }
}

/// Passes orders to the head of the chain.
pub struct OrderService {
    driver: Arc<MemberDriver>,
    rpc: Client,
    own_address: SocketAddr,
    /// How many storage machines may be lost at once.
    tolerated: usize,
}

impl OrderService {
    pub fn new(
        driver: Arc<MemberDriver>,
        rpc: Client,
        own_address: SocketAddr,
        tolerated: usize,
    ) -> OrderService {
        OrderService {
            driver,
            rpc,
            own_address,
            tolerated,
        }
    }

    /// Carries an order out, here or at the head, and waits for the answer until `deadline`. A new head is
    /// asked at once, whatever the former one does; an order may be carried out twice.
    pub async fn execute(&self, order: Order, deadline: Instant) -> Result<Answer, Unanswered> {
        let mut changes = self.driver.changes();
        let mut progress = Progress::default();
        loop {
            changes.borrow_and_update();
            let status = self.driver.status();
            let until = deadline.min(progress.look(&status));
            let superseded = head_changed(&self.driver, self.driver.changes(), status.head);
            tokio::select! {
                answer = self.attempt(&order, &status, until, &mut progress) => match answer? {
                    Some(answer) => return Ok(answer),
                    None => {
                        let retry = (Instant::now() + RETRY_PAUSE).min(deadline);
                        // A pause that ends without news is a try of its own.
                        let _ = timeout_at(retry, changes.changed()).await;
                    }
                },
                () = superseded => {}
            }
            if Instant::now() >= deadline {
                return if progress.has_reached_head {
                    LateSnafu.fail()
                } else {
                    NoHeadSnafu.fail()
                };
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
                let answer = execute_at_head(&self.driver, self.tolerated, order);
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
        let left = deadline.saturating_duration_since(Instant::now());
        let (rpc, body) = (self.rpc.clone(), encode_order(order, left));
        // In a task of its own, the call ends in good order also when nobody waits for it any more.
        let call =
            tokio::spawn(async move { rpc.call(head, ServiceId::FORWARD, body, left).await });
        call.await.unwrap_or(Err(CallError::Broken))
    }

    /// Answers an order that another core machine passed on; an empty response is no answer.
    pub async fn take_forwarded(&self, body: Bytes) -> Result<Vec<u8>, MessageError> {
        let (order, left) = decode_order(&body)?;
        let wait = left.min(ORDER_TIMEOUT).saturating_sub(RETURN_TIME);
        let answer =
            tokio::time::timeout(wait, execute_at_head(&self.driver, self.tolerated, &order)).await;
        Ok(answer
            .ok()
            .flatten()
            .map_or_else(Vec::new, |answer| encode(&answer)))
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

/// Carries an order out at the head; nothing if this machine isn't the head any more.
async fn execute_at_head(driver: &MemberDriver, tolerated: usize, order: &Order) -> Option<Answer> {
    match order {
        Order::PutConfiguration(put) => {
            let command = Command::PutConfiguration(put.clone());
            match driver.request(Request::Submit(command)).await {
                Reply::Taken | Reply::AlreadyTaken => Some(Answer::Done),
                Reply::Rejected(rejection) => Some(Answer::Rejected(rejection)),
                Reply::Undecided(undecided) => Some(Answer::Undecided(undecided)),
                _ => None,
            }
        }
        Order::ReadConfiguration => match driver.request(Request::ReadConfiguration).await {
            Reply::Configuration(Some(stored)) => Some(Answer::Configuration {
                generation: stored.generation,
                body: stored.body,
            }),
            Reply::Configuration(None) => Some(Answer::NoConfiguration),
            _ => None,
        },
        Order::Retire { node } => retire_at_head(driver, node, tolerated).await,
        Order::RetireState { node } => retire_state_at_head(driver, node).await,
    }
}

/// Has a storage machine emptied. Nothing if another change of the storage view came first, or the head
/// changed.
async fn retire_at_head(driver: &MemberDriver, node: &str, tolerated: usize) -> Option<Answer> {
    let latest = driver.latest_storage_view();
    let answer = match judge_retire(latest.as_ref(), node, tolerated) {
        RetireStep::Put {
            expected_epoch,
            view,
        } => {
            return submit_storage_view(driver, expected_epoch, &view)
                .await
                .then_some(Answer::Done);
        }
        RetireStep::Answer(answer) => answer,
    };
    if driver.request(Request::Confirm).await != Reply::Confirmed {
        return None;
    }
    // What was judged may have been lost with an earlier term of this head: what is committed must say the
    // same.
    let confirmed = judge_retire(driver.published_storage_view().as_ref(), node, tolerated);
    (confirmed == RetireStep::Answer(answer.clone())).then_some(answer)
}

async fn retire_state_at_head(driver: &MemberDriver, node: &str) -> Option<Answer> {
    if driver.request(Request::Confirm).await != Reply::Confirmed {
        return None;
    }
    Some(retire_state(driver.published_storage_view().as_ref(), node))
}

/// Puts a storage view in the place of the one of `expected_epoch`. Tells whether it is committed.
pub async fn submit_storage_view(
    driver: &MemberDriver,
    expected_epoch: u64,
    view: &StorageView,
) -> bool {
    let bytes = Blob::from(view.encode());
    let put = PutStorageView {
        expected_epoch,
        epoch: view.epoch,
        bytes,
    };
    let reply = driver
        .request(Request::Submit(Command::PutStorageView(put)))
        .await;
    matches!(reply, Reply::Taken | Reply::AlreadyTaken)
}

fn encode<T: Writable<Endianness>>(value: &T) -> Vec<u8> {
    let mut bytes = vec![ORDER_VERSION];
    // Writing to a vector fails only when a length exceeds 32 bits, far above every bound on our values.
    value
        .write_to_stream_with_ctx(Endianness::LittleEndian, &mut bytes)
        .expect("lengths within 32 bits");
    bytes
}

fn decode<'a, T: Readable<'a, Endianness>>(bytes: &'a [u8]) -> Result<T, MessageError> {
    let (&version, rest) = bytes.split_first().context(EmptySnafu)?;
    ensure!(version == ORDER_VERSION, VersionSnafu { found: version });
    T::read_from_buffer_with_ctx(Endianness::LittleEndian, rest).context(MalformedSnafu)
}

fn encode_order(order: &Order, left: Duration) -> Vec<u8> {
    let left_ms = u32::try_from(left.as_millis()).unwrap_or(u32::MAX);
    encode(&(left_ms, order))
}

fn decode_order(bytes: &[u8]) -> Result<(Order, Duration), MessageError> {
    let (left_ms, order): (u32, Order) = decode(bytes)?;
    Ok((order, Duration::from_millis(u64::from(left_ms))))
}

/// Reads the head's answer; an empty one says that the head has none.
fn decode_answer(head: SocketAddr, bytes: &[u8]) -> Option<Answer> {
    if bytes.is_empty() {
        return None;
    }
    decode(bytes)
        .inspect_err(|error| tracing::warn!(%head, %error, "answer of the head cannot be read"))
        .ok()
}
