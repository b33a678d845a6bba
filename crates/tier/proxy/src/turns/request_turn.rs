//! The storage machines' part in a request: its token budget, the turns that it continues, and the turn it adds.

use crate::client::request::ClientRequest;
use crate::replica::event_stream::Event;
use crate::turns::replay::{StoredTurn, replay_body};
use crate::turns::token_counter::TokenCounter;
use bytes::Bytes;
use std::sync::Arc;
use woadreach_storage::{
    ChainError, ReservationGuard, ReserveError, ReserveRequest, StorageClient, Turn,
};

/// Why a request cannot go on because of its turns or its budget.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TurnError {
    /// The rest of the program's budget does not cover this turn's maximum.
    BudgetSpent,
    /// `Previous` names no turn.
    UnknownTurn,
    /// Too few storage machines answered.
    Unavailable,
}

/// A request's turn: its budget reservation, the turn before it, and its events so far. A request whose route
/// stores no turns has one too, which stores nothing.
pub struct RequestTurn {
    /// Tokens sent to the request.
    pub token_counter: TokenCounter,
    program: String,
    request_id: String,
    /// Whether its route stores turns.
    is_stored: bool,
    /// The stored chain that it continues, oldest first; known once it is prepared. Held until the turn is stored, since
    /// the storage machines may drop the chain while the turn is run.
    chain: Vec<Arc<Turn>>,
    /// Data of the events forwarded so far; empty if the turn is not stored.
    events: Vec<Bytes>,
    /// Tokens reserved of the program's budget. Settled at the tokens delivered when it is dropped.
    reservation: Option<ReservationGuard>,
}

impl RequestTurn {
    /// The turn of this request. Most requests have neither a budget nor stored turns.
    pub fn new(request: &ClientRequest) -> Self {
        let max_tokens = request.metadata.tokens.unwrap_or_default().output;
        RequestTurn {
            token_counter: TokenCounter::new(request.tokens_per_event, max_tokens),
            program: request.metadata.program.clone().unwrap_or_default(),
            request_id: request.metadata.request_id.clone(),
            is_stored: request.route.stores_turns,
            chain: Vec::new(),
            events: Vec::new(),
            reservation: None,
        }
    }

    /// Reserves the budget, loads the turns before this one, and returns the body for the replica.
    ///
    /// # Errors
    ///
    /// [`TurnError`]; a reservation that was granted is released when this turn is dropped.
    pub async fn prepare(
        &mut self,
        storage: &StorageClient,
        request: &ClientRequest,
    ) -> Result<Bytes, TurnError> {
        let chain = async {
            match (self.is_stored, &request.metadata.previous) {
                (true, Some(previous)) => storage
                    .chain(&self.program, previous)
                    .await
                    .map_err(chain_error),
                _ => Ok(Vec::new()),
            }
        };
        let (reserved, chain) = match request.metadata.budget {
            None => (Ok(None), chain.await),
            Some(budget) => {
                let reserve_request = ReserveRequest {
                    program: self.program.clone(),
                    request_id: self.request_id.clone(),
                    budget,
                    max_tokens: u64::from(request.metadata.tokens.unwrap_or_default().output),
                };
                let reserve = async { storage.reserve(&reserve_request).await.map(Some) };
                tokio::join!(reserve, chain)
            }
        };
        self.reservation = reserved.map_err(reserve_error)?;
        self.chain = chain?;
        Ok(replay_body(&self.chain, &request.body))
    }

    /// Records events that have been forwarded to the request.
    pub fn add_events(&mut self, events: Vec<Event>) {
        self.token_counter.add_events(events.len());
        if let Some(reservation) = &mut self.reservation {
            reservation.set_delivered_tokens(self.token_counter.tokens());
        }
        if self.is_stored {
            self.events
                .extend(events.into_iter().map(|event| event.data));
        }
    }

    /// Makes the turn durable if its route stores turns. The response must not look complete before.
    ///
    /// # Errors
    ///
    /// [`TurnError::Unavailable`] if too few storage machines have acknowledged the turn.
    pub async fn store(
        &mut self,
        storage: &StorageClient,
        request: &ClientRequest,
    ) -> Result<(), TurnError> {
        if !self.is_stored {
            return Ok(());
        }
        let turn = Turn {
            program: self.program.clone(),
            session: request.metadata.session.clone().unwrap_or_default(),
            request_id: self.request_id.clone(),
            previous: self.chain.last().map(|turn| turn.key()),
            input: request.body.clone(),
            events: std::mem::take(&mut self.events),
            retention: request.route.retention,
        };
        let stored = storage.put_turn(turn, &self.chain, self.reservation.as_mut());
        stored.await.map_err(|_| TurnError::Unavailable)
    }
}

fn chain_error(error: ChainError) -> TurnError {
    match error {
        ChainError::NotFound => TurnError::UnknownTurn,
        ChainError::Unavailable => TurnError::Unavailable,
    }
}

fn reserve_error(error: ReserveError) -> TurnError {
    match error {
        ReserveError::Spent => TurnError::BudgetSpent,
        ReserveError::Unavailable => TurnError::Unavailable,
    }
}

impl StoredTurn for Arc<Turn> {
    fn input(&self) -> &Bytes {
        &self.input
    }

    fn events(&self) -> &[Bytes] {
        &self.events
    }
}
