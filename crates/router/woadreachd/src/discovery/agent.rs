//! The agent of discovery at one address: several calls at a time until one is answered, then a watch.

use super::WATCH_TIMEOUT;
use super::call::{Answer, Call, Proof, Query};
use super::error::{DiscoveryError, TimedOutSnafu, WatchEndedSnafu};
use super::list_state::ListState;
use super::schedule::{Action, Need, Request, Schedule, Slot};
use crate::sockets::{Side, Sockets};
use snafu::ensure;
use std::future::{Future, poll_fn};
use std::pin::Pin;
use std::task::Poll;
use tracing::debug;
use woadreach_runtime::Net;

/// The agent of discovery at one address.
pub(super) struct Agent<'a, N: Net> {
    pub(super) net: &'a N,
    pub(super) address: &'a str,
    pub(super) sockets: &'a Sockets,
}

/// A call in flight.
type CallInFlight<'a, N> = Pin<Box<dyn Future<Output = Result<Answer<N>, DiscoveryError>> + 'a>>;

/// The calls in flight, by slot.
type CallsInFlight<'a, N> = [Option<CallInFlight<'a, N>>; Slot::ALL.len()];

impl<N: Net> Agent<'_, N> {
    /// Receives one complete list, or follows a watch for as long as it lives.
    ///
    /// # Errors
    ///
    /// [`DiscoveryError`] where no call was answered, and at the end of a watch.
    pub(super) async fn update(
        &self,
        state: &mut ListState,
        interval_s: f64,
    ) -> Result<(), DiscoveryError> {
        match self.answer(state, interval_s).await? {
            Answer::List(text) => state.apply(&text, true),
            Answer::Watch { mut call, first } => {
                let ended = self.follow_watch(&mut call, first, state).await;
                if matches!(ended, Err(DiscoveryError::TimedOut)) {
                    // What it missed may be received by a list or by a new watch, which may be as dead.
                    state.need = Need::Resume;
                }
                ended
            }
        }
    }

    /// Opens calls as the schedule says until one has a complete answer; then all others are closed.
    async fn answer(
        &self,
        state: &ListState,
        interval_s: f64,
    ) -> Result<Answer<N>, DiscoveryError> {
        let generation = state.generation();
        let need = if generation.is_none() {
            Need::FullList
        } else {
            state.need
        };
        let mut schedule = Schedule::new(self.net.now(), need, interval_s);
        let mut calls: CallsInFlight<'_, N> = Default::default();
        loop {
            let until = match schedule.next(self.net.now()) {
                Action::GiveUp => return TimedOutSnafu.fail(),
                Action::Open(slot, request) => {
                    debug!(?slot, ?request, "discovery call opened");
                    // The call before it is closed first, and its descriptor freed.
                    calls[slot as usize] = None;
                    let call = self.call(side_of(slot), query(slot, request, generation));
                    calls[slot as usize] = Some(Box::pin(call));
                    continue;
                }
                Action::WaitUntil(time) => time,
            };
            let finished = self.net.timeout_at(until, first_finished(&mut calls)).await;
            let Ok((slot, result)) = finished else {
                continue;
            };
            let error = match result {
                Ok(answer) => {
                    debug!(?slot, "discovery call answered");
                    return Ok(answer);
                }
                Err(error) => error,
            };
            calls[slot as usize] = None;
            if !schedule.failed(self.net.now(), slot) {
                return Err(error);
            }
            debug!(?slot, %error, "discovery call failed, another is open");
        }
    }

    /// Applies each object of a watch until it ends, or sends nothing complete for too long.
    ///
    /// Only a complete object, with changes or without, renews the time-out: half a line, or one that is
    /// received byte by byte and never ends, does not show that the watch is alive. A line that takes longer
    /// than the time-out has the complete list requested.
    async fn follow_watch(
        &self,
        call: &mut Call<N>,
        first: Option<Vec<u8>>,
        state: &mut ListState,
    ) -> Result<(), DiscoveryError> {
        let mut next = first;
        let mut deadline = self.net.now() + WATCH_TIMEOUT;
        let mut complete = call.take()?;
        loop {
            while let Some(object) = next.take().or_else(|| call.next_object()) {
                state.watch_is_alive();
                if !object.is_empty() {
                    state.apply(&object, false)?;
                }
                deadline = self.net.now() + WATCH_TIMEOUT;
            }
            ensure!(!complete, WatchEndedSnafu);
            complete = self
                .net
                .timeout_at(deadline, call.read())
                .await
                .map_err(|_| DiscoveryError::TimedOut)??;
        }
    }
}

fn side_of(slot: Slot) -> Side {
    if slot.is_optional() {
        Side::DiscoveryExtra
    } else {
        Side::Discovery
    }
}

/// A watch needs a version to follow: without one the complete list is requested.
fn query(slot: Slot, request: Request, generation: Option<u64>) -> Query {
    let proof = if slot == Slot::Resume {
        Proof::FirstObject
    } else {
        Proof::Head
    };
    match (request, generation) {
        (Request::Watch, Some(generation)) => Query::Watch { generation, proof },
        _ => Query::FullList,
    }
}

/// The first call in flight that finishes, in the order of slots.
async fn first_finished<N: Net>(
    calls: &mut CallsInFlight<'_, N>,
) -> (Slot, Result<Answer<N>, DiscoveryError>) {
    poll_fn(|cx| {
        for (slot, call) in Slot::ALL.into_iter().zip(calls.iter_mut()) {
            if let Some(call) = call
                && let Poll::Ready(result) = call.as_mut().poll(cx)
            {
                return Poll::Ready((slot, result));
            }
        }
        Poll::Pending
    })
    .await
}
