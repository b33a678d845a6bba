//! The front for clients: HTTP/1.1 as the protocol page of the users describes it.
//!
//! [`Front`] owns the listener and every client connection, from its acceptance until it is closed, with its
//! descriptor permit. It turns requests into [`Arrival`]s for the core and answers into bytes. It decides
//! nothing about a search, and never ends a connection that owes an answer. Start reading at
//! [`Front::serve`]:
//!
//! - This file: accepting connections within the descriptor budget.
//! - [`connection`]: the requests of one connection, one after the other.
//! - [`request_reader`]: reading a request.
//! - [`request_target`]: what a request asks for; [`search_body`]: the body of a search.
//! - [`responder`]: waiting for the core's answer, and writing it.
//! - [`read_ahead`], [`idle`]: budgets of what clients have in memory.
//!
//! [`Arrival`]: crate::events::Arrival

mod client_connection;
mod connection;
mod idle;
mod read_ahead;
mod refusal;
mod request_reader;
mod request_target;
mod responder;
mod search_body;

use crate::events::Events;
use crate::phase::Phase;
use crate::sockets::{Permit, Side, Sockets};
use idle::IdleConnections;
use read_ahead::ReadAheadBudget;
use std::cell::Cell;
use std::rc::Rc;
use tokio::sync::watch;
use tracing::warn;
use woadreach_runtime::{Listener, Net};

/// Seconds before the next attempt after accepting has failed, so that it does not spin.
const ACCEPT_RETRY_INTERVAL: f64 = 0.02;

/// The names that the settings give to what requests speak of.
pub struct RequestNames {
    /// Names of the query types, in the order of their numbers.
    pub query_types: Vec<String>,
    /// Names of the tenants, in the order of their numbers.
    pub tenants: Vec<String>,
    /// Number of shards.
    pub shards: u64,
    /// Whether clients mark retries.
    pub marks_retries: bool,
}

/// The front. See the module's documentation.
pub(crate) struct Front<N: Net> {
    names: RequestNames,
    net: N,
    sockets: Sockets,
    events: Events,
    phase: watch::Receiver<Phase>,
    /// Whether the core has reported that it is ready. Never becomes false again.
    ready: Cell<bool>,
    idle: IdleConnections,
    /// Whether no descriptor is left for the next client.
    exhausted: Cell<bool>,
    /// Numbers searches, and the waits of idle connections; ascends.
    next_number: Cell<u64>,
    open_connections: Cell<usize>,
    read_ahead: ReadAheadBudget,
}

impl<N: Net> Front<N> {
    /// A front that is not ready yet, and sends what arrives to `events`.
    pub(crate) fn new(
        names: RequestNames,
        net: N,
        sockets: Sockets,
        events: Events,
        phase: watch::Receiver<Phase>,
    ) -> Self {
        Front {
            names,
            net,
            sockets,
            events,
            phase,
            ready: Cell::new(false),
            idle: IdleConnections::default(),
            exhausted: Cell::new(false),
            next_number: Cell::new(1),
            open_connections: Cell::new(0),
            read_ahead: ReadAheadBudget::default(),
        }
    }

    /// From now on the front reports that it is ready, for as long as it serves.
    pub(crate) fn set_ready(&self) {
        self.ready.set(true);
    }

    fn new_number(&self) -> u64 {
        self.next_number.replace(self.next_number.get() + 1)
    }

    /// Accepts until the phase is `Closing`, then what the kernel has already taken; returns once all
    /// connections are closed.
    pub(crate) async fn serve(self: Rc<Self>, listener: N::Listener) {
        let mut phase = self.phase.clone();
        loop {
            let closing = phase.wait_for(|p| *p >= Phase::Closing);
            tokio::select! {
                biased;
                _ = closing => break,
                accepted = listener.accept() => match accepted {
                    Ok(stream) => self.start_connection(stream).await,
                    Err(error) => {
                        warn!(%error, "accepting a connection failed");
                        self.net.sleep(ACCEPT_RETRY_INTERVAL).await;
                    }
                },
            }
        }
        self.serve_accepted(listener).await;
    }

    /// Connections that the kernel has accepted are answered too, up to the last moment. The wait lets the
    /// kernel report them.
    async fn serve_accepted(self: &Rc<Self>, listener: N::Listener) {
        loop {
            match self
                .net
                .timeout(ACCEPT_RETRY_INTERVAL, listener.accept())
                .await
            {
                Ok(Ok(stream)) => self.start_connection(stream).await,
                Ok(Err(_)) => self.net.sleep(ACCEPT_RETRY_INTERVAL).await,
                Err(_) if self.open_connections.get() == 0 => break,
                Err(_) => {}
            }
        }
    }

    /// Gives a connection its permit and its task. Until then it is the one connection that the descriptor
    /// budget allows without a permit.
    async fn start_connection(self: &Rc<Self>, stream: N::Stream) {
        let permit = self.wait_for_permit().await;
        self.exhausted.set(false);
        self.open_connections.set(self.open_connections.get() + 1);
        drop(self.net.spawn(self.clone().connection(stream, permit)));
    }

    /// Waits until a descriptor is free, and has idle connections closed for it.
    ///
    /// Clients that keep unused connections would otherwise shut others out; with none idle, responses end
    /// their connections. A client whose connection closes while its request is on its way sends the request
    /// once more, but loses it if it is the first: connections without a request yet go last.
    async fn wait_for_permit(&self) -> Permit {
        loop {
            if let Some(permit) = self.sockets.permit(Side::Clients) {
                return permit;
            }
            self.exhausted.set(true);
            self.idle.close_one(self.net.now());
            // A connection that has just become idle gives nothing back by itself: look again.
            let _ = self
                .net
                .timeout(ACCEPT_RETRY_INTERVAL, self.sockets.freed())
                .await;
        }
    }
}
