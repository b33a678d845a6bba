//! What a request does with the storage machines: its budget, the chain it goes on from, and its turn.

use crate::client_request::ClientRequest;
use crate::event_stream::Event;
use crate::kept_turns::replay_body;
use crate::token_ledger::TokenLedger;
use bytes::Bytes;
use std::sync::Arc;
use woadreach_storage::{
    ChainError, ReservationGuard, ReserveError, ReserveRequest, StorageClient, Turn, TurnKey,
};

/// Why a request stops at its storage.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TurnError {
    /// The program's budget does not hold one more turn like this.
    BudgetSpent,
    /// `Previous` names no turn.
    UnknownTurn,
    /// Too few storage machines answered.
    Unavailable,
}

/// A turn's reservation, chain and events.
pub struct PreparedTurn {
    /// What has been given to the client.
    pub ledger: TokenLedger,
    program: String,
    request_id: String,
    kept: bool,
    previous: Option<TurnKey>,
    events: Vec<Bytes>,
    /// What it holds of the program's budget.
    reservation: Option<ReservationGuard>,
}

impl PreparedTurn {
    /// The turn of this request; most requests have neither a budget nor a chain.
    pub fn new(client: &ClientRequest) -> Self {
        let most = client.facts.tokens.unwrap_or_default().output;
        PreparedTurn {
            ledger: TokenLedger::new(client.stride, most),
            program: client.facts.program.clone().unwrap_or_default(),
            request_id: client.facts.request_id.clone(),
            kept: client.route.kept,
            previous: None,
            events: Vec::new(),
            reservation: None,
        }
    }

    /// Reserves the budget and gives the body for the replica.
    pub async fn prepare(
        &mut self,
        store: &StorageClient,
        client: &ClientRequest,
    ) -> Result<Bytes, TurnError> {
        let chain = async {
            match (self.kept, &client.facts.previous) {
                (true, Some(previous)) => store
                    .chain(&self.program, previous)
                    .await
                    .map_err(chain_error),
                _ => Ok(Vec::new()),
            }
        };
        let (reserved, chain) = match client.facts.budget {
            None => (Ok(None), chain.await),
            Some(budget) => {
                let request = ReserveRequest {
                    program: self.program.clone(),
                    request_id: self.request_id.clone(),
                    budget,
                    max_tokens: u64::from(client.facts.tokens.unwrap_or_default().output),
                };
                let reserve = async { store.reserve(&request).await.map(Some) };
                tokio::join!(reserve, chain)
            }
        };
        self.reservation = reserved.map_err(reserve_error)?;
        let chain = chain?;
        self.previous = chain.last().map(|turn| turn.key());
        Ok(replay_body(&chain, &client.body))
    }

    /// Notes events that have been passed on to the client.
    pub fn take_events(&mut self, events: Vec<Event>) {
        self.ledger.add_events(events.len());
        if let Some(reservation) = &mut self.reservation {
            reservation.set_delivered_tokens(self.ledger.given());
        }
        if self.kept {
            self.events
                .extend(events.into_iter().map(|event| event.data));
        }
    }

    /// Makes a kept turn durable. Until this returns well, the answer must not look complete.
    pub async fn commit(
        &mut self,
        store: &StorageClient,
        client: &ClientRequest,
    ) -> Result<(), TurnError> {
        if !self.kept {
            return Ok(());
        }
        let turn = Turn {
            program: self.program.clone(),
            session: client.facts.session.clone().unwrap_or_default(),
            request_id: self.request_id.clone(),
            previous: self.previous.take(),
            input: client.body.clone(),
            events: std::mem::take(&mut self.events),
            retention: client.route.retention,
        };
        let stored = store.put_turn(turn, self.reservation.as_mut()).await;
        stored.map_err(|_| TurnError::Unavailable)
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

impl crate::kept_turns::EarlierTurn for Arc<Turn> {
    fn input(&self) -> &Bytes {
        &self.input
    }

    fn events(&self) -> &[Bytes] {
        &self.events
    }
}
