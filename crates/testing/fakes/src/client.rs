//! Clients: each asks a search of a co-ordinator, waits as long as its patience lasts, and may ask again.
//! Owns the clients' connections, which it keeps and uses again as browsers' pools do; must never ask two
//! things on one connection at a time.

use crate::recorder::Recorder;
use crate::wire::{self, Message};
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use woadreach_invariants::{EventKind, NodeId};
use woadreach_runtime::{Net, Stream};

/// A close by the co-ordinator that comes so soon after a request was written on a used connection has
/// crossed it: the request is sent once more on a new one.
const CROSSING: f64 = 0.02;
/// A client that still waits so long after the end of its time is only there to see late answers.
const AFTER_END: f64 = 0.3;
/// Connections that are kept when nothing is asked on them.
const KEPT: usize = 32;

/// One search as it is to be asked.
#[derive(Clone, Debug)]
pub struct Ask {
    /// New with every request.
    pub search: Arc<str>,
    pub query_type: usize,
    pub path: Rc<str>,
    pub tenant: Rc<str>,
    pub parts: Arc<[(u64, f64)]>,
    /// What each part carries; its first word is the work, in seconds of one core.
    pub text: String,
    pub expires: f64,
    /// The client marks that it asks again.
    pub again: bool,
    /// It goes away so many seconds after it asked.
    pub leaves_after: Option<f64>,
}

/// How an asked search ended for its client.
#[derive(Clone, Debug, PartialEq)]
pub enum Calls {
    Answered {
        whole: bool,
        after: f64,
    },
    Shed {
        retry_after: Option<f64>,
        after: f64,
    },
    Errored {
        after: f64,
    },
    /// Nothing was asked: no connection came up.
    Unreached,
    /// The connection broke, or the time was over.
    Unanswered,
    Left,
}

/// When a client asks again.
#[derive(Clone, Copy, Debug)]
pub struct Retry {
    pub times: usize,
    pub pause: f64,
    /// Waits as long as `Retry-After` says, if that is longer.
    pub heeds: bool,
}

struct Kept<S> {
    stream: S,
    bytes: Vec<u8>,
}

struct Inner<N: Net> {
    net: N,
    node: NodeId,
    address: SocketAddr,
    recorder: Recorder,
    idle: RefCell<Vec<Kept<N::Stream>>>,
    open: Cell<usize>,
}

/// The clients of one co-ordinator.
pub struct Caller<N: Net>(Rc<Inner<N>>);

impl<N: Net> Clone for Caller<N> {
    fn clone(&self) -> Self {
        Caller(self.0.clone())
    }
}

enum Heard {
    Message(Message),
    Ended,
    Bad(String),
    TimeOver,
}

impl<N: Net> Caller<N> {
    pub fn new(net: &N, node: NodeId, address: SocketAddr, recorder: &Recorder) -> Self {
        Caller(Rc::new(Inner {
            net: net.clone(),
            node,
            address,
            recorder: recorder.clone(),
            idle: RefCell::default(),
            open: Cell::new(0),
        }))
    }

    pub fn net(&self) -> &N {
        &self.0.net
    }

    pub fn node(&self) -> NodeId {
        self.0.node
    }

    /// Searches that wait for their answers.
    pub fn open(&self) -> usize {
        self.0.open.get()
    }

    /// Closes the connections on which nothing is asked.
    pub fn close_idle(&self) {
        self.0.idle.borrow_mut().clear();
    }

    /// Asks once.
    pub async fn ask(&self, ask: &Ask) -> Calls {
        let inner = &self.0;
        inner.open.set(inner.open.get() + 1);
        let ended = self.ask_on(ask, true).await;
        inner.open.set(inner.open.get() - 1);
        ended
    }

    async fn ask_on(&self, ask: &Ask, may_reuse: bool) -> Calls {
        let (inner, recorder) = (&self.0, &self.0.recorder);
        let begun = inner.net.now();
        let kept = if may_reuse { self.take_idle() } else { None };
        let reused = kept.is_some();
        let mut kept = match kept {
            Some(kept) => kept,
            None => match inner
                .net
                .timeout(ask.expires, inner.net.connect(inner.address))
                .await
            {
                Ok(Ok(stream)) => Kept {
                    stream,
                    bytes: Vec::new(),
                },
                _ => return Calls::Unreached,
            },
        };
        let (asked, search) = (inner.net.now(), ask.search.clone());
        let bytes = wire::request(
            &ask.path,
            &ask.search,
            &ask.tenant,
            ask.expires,
            ask.again,
            &ask.parts,
            &ask.text,
        );
        // What a stand-in writes is small: it is taken at once, so that the record can say so before the
        // co-ordinator can act on it.
        recorder.tell(EventKind::Requested {
            node: inner.node,
            search: search.clone(),
            query_type: ask.query_type,
            parts: ask.parts.clone(),
            ends: asked + ask.expires,
        });
        if kept.stream.write_all(&bytes).await.is_err() {
            // It was never all written: nothing was taken.
            recorder.tell(EventKind::ClientDisconnected { search });
            if reused {
                return Box::pin(self.ask_on(ask, false)).await;
            }
            return Calls::Unreached;
        }
        let until = match ask.leaves_after {
            Some(after) => asked + after.min(ask.expires),
            None => asked + ask.expires + AFTER_END,
        };
        let heard = self.hear(&mut kept, until).await;
        let after = inner.net.now() - begun;
        match heard {
            Heard::Message(message) => {
                let calls = match message.status {
                    200 => match message.rows() {
                        Ok((whole, rows)) => {
                            recorder.tell(EventKind::Answered {
                                search,
                                whole,
                                rows,
                            });
                            Calls::Answered { whole, after }
                        }
                        Err(why) => {
                            let why = format!("an answer that cannot be read: {why}");
                            recorder.tell(EventKind::Leaked {
                                node: inner.node,
                                why,
                            });
                            recorder.tell(EventKind::Failed { search });
                            Calls::Errored { after }
                        }
                    },
                    429 | 503 => {
                        recorder.tell(EventKind::Shed { search });
                        Calls::Shed {
                            retry_after: message.retry_after,
                            after,
                        }
                    }
                    _ => {
                        recorder.tell(EventKind::Failed { search });
                        Calls::Errored { after }
                    }
                };
                if !message.closes && inner.idle.borrow().len() < KEPT {
                    inner.idle.borrow_mut().push(kept);
                }
                calls
            }
            Heard::Ended if reused && inner.net.now() - asked < CROSSING => {
                // The close crossed the request.
                recorder.tell(EventKind::ClientDisconnected { search });
                Box::pin(self.ask_on(ask, false)).await
            }
            Heard::Ended => {
                recorder.tell(EventKind::ConnectionClosed { search });
                Calls::Unanswered
            }
            Heard::Bad(why) => {
                recorder.tell(EventKind::Leaked {
                    node: inner.node,
                    why,
                });
                recorder.tell(EventKind::ClientDisconnected { search });
                Calls::Unanswered
            }
            Heard::TimeOver => {
                recorder.tell(EventKind::ClientDisconnected { search });
                if ask.leaves_after.is_some() {
                    Calls::Left
                } else {
                    Calls::Unanswered
                }
            }
        }
    }

    /// One that the co-ordinator has not closed meanwhile.
    fn take_idle(&self) -> Option<Kept<N::Stream>> {
        loop {
            let mut kept = self.0.idle.borrow_mut().pop()?;
            match kept.stream.try_read(&mut kept.bytes) {
                Err(e) if e.kind() == std::io::ErrorKind::WouldBlock => return Some(kept),
                _ => {}
            }
        }
    }

    async fn hear(&self, kept: &mut Kept<N::Stream>, until: f64) -> Heard {
        loop {
            match wire::response(&kept.bytes) {
                Ok(Some((message, taken))) => {
                    kept.bytes.drain(..taken);
                    return Heard::Message(message);
                }
                Ok(None) => {}
                Err(why) => return Heard::Bad(why),
            }
            match self
                .0
                .net
                .timeout_at(until, kept.stream.read(&mut kept.bytes))
                .await
            {
                Ok(Ok(1..)) => {}
                Ok(_) => return Heard::Ended,
                Err(_) => return Heard::TimeOver,
            }
        }
    }

    /// Asks, and asks again under a new name for as long as it has not been answered and the terms allow;
    /// gives how each try ended. `name` gives the names of further tries.
    pub async fn ask_and_again(
        &self,
        mut ask: Ask,
        retry: Retry,
        may_repeat: bool,
        mut name: impl FnMut() -> Arc<str>,
    ) -> Vec<Calls> {
        let ends = self.0.net.now() + ask.expires;
        let mut all = Vec::new();
        loop {
            let calls = self.ask(&ask).await;
            all.push(calls.clone());
            let pause = match calls {
                Calls::Answered { .. } | Calls::Left => return all,
                // Not proven harmless.
                Calls::Errored { .. } | Calls::Unanswered if !may_repeat => return all,
                Calls::Shed {
                    retry_after: Some(advice),
                    ..
                } if retry.heeds => retry.pause.max(advice),
                _ => retry.pause,
            };
            let left = ends - self.0.net.now() - pause;
            if all.len() > retry.times || left < 0.05 {
                return all;
            }
            self.0.net.sleep(pause).await;
            ask.search = name();
            ask.expires = left;
            ask.again = true;
        }
    }
}
