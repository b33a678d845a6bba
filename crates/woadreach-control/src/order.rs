//! Orders of the operator: carried out by the head of the chain, passed there by every other core machine.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use snafu::{OptionExt, ResultExt, Snafu, ensure};
use speedy::{Endianness, Readable, Writable};
use tokio::time::{Instant, timeout_at};
use woadreach_chain::{Blob, Command, PutConfiguration, PutStorageView, Rejection, Reply, Request};
use woadreach_rpc::{CallError, Client, ServiceId};
use woadreach_storage::StorageView;
use woadreach_storage::view::{RetireError, retire};

use crate::member_driver::MemberDriver;

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

/// A clear answer to an order.
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
}

/// An order that got no clear answer; it may be carried out yet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
pub enum Unanswered {
    /// This machine knows of no head that answers.
    #[snafu(display("no head of the chain answers"))]
    NoHead,
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

/// A committed storage view that this program can't read. It stays in force: nothing is judged or planned
/// on it.
#[derive(Debug, Snafu)]
#[snafu(display("the storage view of epoch {epoch} cannot be read: {source}"))]
pub struct UnreadableView {
    /// Epoch under which it was committed.
    pub epoch: u64,
    source: woadreach_storage::message::MessageError,
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
        OrderService { driver, rpc, own_address, tolerated }
    }

    /// Carries an order out, here or at the head, and waits for the answer until `deadline`.
    pub async fn execute(&self, order: Order, deadline: Instant) -> Result<Answer, Unanswered> {
        let mut changes = self.driver.changes();
        let mut reached_head = false;
        loop {
            changes.borrow_and_update();
            if let Some(answer) = self.attempt(&order, deadline, &mut reached_head).await {
                return Ok(answer);
            }
            let retry = (Instant::now() + RETRY_PAUSE).min(deadline);
            // A pause that ends without news is a try of its own.
            let _ = timeout_at(retry, changes.changed()).await;
            if Instant::now() >= deadline {
                return if reached_head { LateSnafu.fail() } else { NoHeadSnafu.fail() };
            }
        }
    }

    async fn attempt(&self, order: &Order, deadline: Instant, reached_head: &mut bool) -> Option<Answer> {
        let status = self.driver.status();
        if status.is_head {
            *reached_head = true;
            return timeout_at(deadline, execute_at_head(&self.driver, self.tolerated, order))
                .await
                .ok()
                .flatten();
        }
        let head = SocketAddr::V4(status.head?.address);
        if head == self.own_address {
            return None;
        }
        let result = self.forward(head, order, deadline).await;
        *reached_head |= !matches!(result, Err(CallError::Unreachable | CallError::Refused));
        result.ok().and_then(|response| decode_answer(head, &response))
    }

    async fn forward(&self, head: SocketAddr, order: &Order, deadline: Instant) -> Result<Bytes, CallError> {
        let left = deadline.saturating_duration_since(Instant::now());
        self.rpc.call(head, ServiceId::FORWARD, encode_order(order, left), left).await
    }

    /// Answers an order that another core machine passed on; an empty response is no answer.
    pub async fn take_forwarded(&self, body: Bytes) -> Result<Vec<u8>, MessageError> {
        let (order, left) = decode_order(&body)?;
        let wait = left.min(ORDER_TIMEOUT).saturating_sub(RETURN_TIME);
        let answer = tokio::time::timeout(wait, execute_at_head(&self.driver, self.tolerated, &order)).await;
        Ok(answer.ok().flatten().map_or_else(Vec::new, |answer| encode(&answer)))
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
                _ => None,
            }
        }
        Order::ReadConfiguration => match driver.request(Request::ReadConfiguration).await {
            Reply::Configuration(Some((generation, body))) => {
                Some(Answer::Configuration { generation, body })
            }
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
    let (expected_epoch, view) = latest_storage_view(driver).inspect_err(log_unreadable).ok()?;
    let answer = match retire(&view, node, tolerated) {
        Ok(changed) if changed.epoch != view.epoch => {
            return submit_storage_view(driver, expected_epoch, &changed).await.then_some(Answer::Done);
        }
        Ok(_) => Answer::Done,
        Err(RetireError::Unknown) => Answer::UnknownNode,
        Err(RetireError::TooFew) => Answer::TooFewNodes,
    };
    (driver.request(Request::Confirm).await == Reply::Confirmed).then_some(answer)
}

async fn retire_state_at_head(driver: &MemberDriver, node: &str) -> Option<Answer> {
    if driver.request(Request::Confirm).await != Reply::Confirmed {
        return None;
    }
    let published = driver.published();
    let stored = published.storage_view.as_ref().map(|stored| (stored.epoch, &stored.bytes.0[..]));
    let (_, view) = read_storage_view(stored).inspect_err(log_unreadable).ok()?;
    if view.retired.contains(node) {
        Some(Answer::RetireState { is_finished: true })
    } else if view.retiring.contains(node) {
        Some(Answer::RetireState { is_finished: false })
    } else {
        Some(Answer::UnknownNode)
    }
}

/// Epoch and content of the storage view with every change that this head has taken; the empty one of epoch 0
/// before the first.
pub fn latest_storage_view(driver: &MemberDriver) -> Result<(u64, StorageView), UnreadableView> {
    let stored = driver.latest_storage_view();
    read_storage_view(stored.as_ref().map(|(epoch, bytes)| (*epoch, &bytes[..])))
}

fn read_storage_view(stored: Option<(u64, &[u8])>) -> Result<(u64, StorageView), UnreadableView> {
    let Some((epoch, bytes)) = stored else { return Ok((0, StorageView::default())) };
    let view = StorageView::read(bytes).context(UnreadableViewSnafu { epoch })?;
    Ok((epoch, view))
}

fn log_unreadable(error: &UnreadableView) {
    tracing::error!(%error, "no answer: the storage view is of another version or damaged");
}

/// Puts a storage view in the place of the one of `expected_epoch`. Tells whether it is committed.
pub async fn submit_storage_view(driver: &MemberDriver, expected_epoch: u64, view: &StorageView) -> bool {
    let bytes = Blob::from(view.encode());
    let put = PutStorageView { expected_epoch, epoch: view.epoch, bytes };
    let reply = driver.request(Request::Submit(Command::PutStorageView(put))).await;
    matches!(reply, Reply::Taken | Reply::AlreadyTaken)
}

fn encode<T: Writable<Endianness>>(value: &T) -> Vec<u8> {
    let mut bytes = vec![ORDER_VERSION];
    // Writing to a vector fails only when a length exceeds 32 bits, far above every bound on our values.
    value.write_to_stream_with_ctx(Endianness::LittleEndian, &mut bytes).expect("lengths within 32 bits");
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
    decode(bytes).inspect_err(|error| tracing::warn!(%head, %error, "answer of the head cannot be read")).ok()
}
