//! What discovery tells: reads its list and its changes, and hands them to the core in order. Owns its own
//! connections, two and two spare ones at most; must never decide what a list means, nor forget one while
//! discovery is silent. When it is called is decided in [`schedule`], and which list is taken in [`version`].

mod lines;
mod parse;
pub mod schedule;
mod version;

pub use parse::list;

use crate::events::{Lifecycle, Lists};
use crate::http;
use crate::sockets::{Permit, Side, Sockets};
use lines::Lines;
use schedule::{Action, Need, Request, Schedule, Slot};
use std::future::{Future, poll_fn};
use std::pin::Pin;
use std::task::Poll;
use tokio::sync::watch;
use tracing::{debug, info};
use version::{Judgement, Version};
use woadreach_routing::mutations::is_mutated;
use woadreach_runtime::{Net, Stream};

/// PROTOCOL: as long as nothing changes, an empty line arrives every 2 s, and what there is to tell counts as
/// told 6 s after a watch fell silent, or after discovery had it and could be reached. Without a whole line
/// for so long a watch is dead, half a second for lines that are late; that leaves time for two more calls
/// one after the other.
const SILENT: f64 = 2.5;
/// The longest line or list: a bound on what a broken agent can make us hold; 500 bytes an entry for 16,000.
const LONGEST: usize = 8 * 1024 * 1024;
/// Why a call or a watch ended that brought nothing whole for too long.
const SILENCE: &str = "silent";

/// What has been asked of the agent, answered so far as to be of use.
enum Answer<N: Net> {
    List(Vec<u8>),
    /// With its first object, where that was waited for; an empty one says that nothing has changed.
    Watch(Call<N>, Option<Vec<u8>>),
}

/// How much of a watch has to come before it counts as an answer.
#[derive(Clone, Copy, PartialEq)]
enum Proof {
    Head,
    FirstObject,
}

/// A connection to the agent, and what has been read on it and not yet used.
struct Call<N: Net> {
    stream: N::Stream,
    bytes: Vec<u8>,
    body: http::Body,
    text: Vec<u8>,
    lines: Lines,
    _permit: Permit,
}

impl<N: Net> Call<N> {
    /// Reads on; true once the answer has ended. A reset, or an end before the length that was stated, is an
    /// error: no end.
    async fn more(&mut self) -> Result<bool, String> {
        let read = self
            .stream
            .read(&mut self.bytes)
            .await
            .map_err(|e| e.to_string())?;
        if read == 0 {
            return if self.body.ends_with_connection() {
                Ok(true)
            } else {
                Err("connection ended".into())
            };
        }
        self.take()
    }

    fn take(&mut self) -> Result<bool, String> {
        let taken = self.body.take(&self.bytes, &mut self.text, LONGEST);
        let (taken, ended) = taken.map_err(|e| format!("{e:?}"))?;
        self.bytes.drain(..taken);
        Ok(ended)
    }

    /// The next object of a watch that has come whole, an empty one for an empty line.
    fn object(&mut self) -> Option<Vec<u8>> {
        while let Some(end) = self.text.iter().position(|b| *b == b'\n') {
            let line: Vec<u8> = self.text.drain(..=end).collect();
            if let Some(object) = self.lines.whole(line) {
                return Some(object);
            }
        }
        None
    }
}

/// Runs for as long as the process: the whole list once, then changes after the last version. A new place
/// is turned to at once, and its whole list taken: what was on its way from the old one is lost.
///
/// `interval` is how often a new call is made while none is answered (see [`schedule::interval`]).
pub async fn follow<N: Net>(
    net: N,
    mut place: watch::Receiver<String>,
    known: Option<u64>,
    interval: f64,
    sockets: Sockets,
    lists: Lists,
) {
    let mut state = State {
        version: Version::new(known),
        need: Need::Resume,
        lists,
    };
    let mut last = String::new();
    loop {
        let address = place.borrow_and_update().clone();
        let agent = Agent {
            net: &net,
            address: &address,
            sockets: &sockets,
        };
        let ended = tokio::select! {
            biased;
            Ok(()) = place.changed() => {
                state.need = Need::Resume;
                last.clear();
                continue;
            }
            ended = agent.turn(&mut state, interval) => ended,
        };
        match ended {
            // The whole list has come: changes next.
            Ok(()) => {
                last.clear();
                continue;
            }
            // ConnectionEvent once for as long as it lasts.
            Err(why) if why == last => debug!("discovery: {why}"),
            Err(why) => {
                info!("discovery: {why}");
                last = why;
            }
        }
        // Cut short by a new place, which is looked at first.
        let retry = schedule::RETRY.min(interval);
        let _ = net.timeout(retry, place.wait_for(|p| *p != address)).await;
    }
}

/// The agent of discovery at one address.
struct Agent<'a, N: Net> {
    net: &'a N,
    address: &'a str,
    sockets: &'a Sockets,
}

/// A call that is open: its end, once it has one.
type Open<'a, N> = Pin<Box<dyn Future<Output = Result<Answer<N>, String>> + 'a>>;

impl<N: Net> Agent<'_, N> {
    /// The whole list, or a watch for as long as it lives.
    async fn turn(&self, state: &mut State, interval: f64) -> Result<(), String> {
        let need = if state.version.generation().is_none() {
            Need::WholeList
        } else {
            state.need
        };
        let (mut call, first) = match self
            .answer(need, state.version.generation(), interval)
            .await?
        {
            Answer::List(text) => return state.tell(&text, true),
            Answer::Watch(call, first) => (call, first),
        };
        let ended = self.watched(&mut call, first, state).await;
        if ended == Err(SILENCE.into()) {
            // What it missed may come by a list or by a new watch; one that is as dead shows late.
            state.need = Need::Resume;
        }
        ended
    }

    /// Carries out the schedule of calls up to the first whole answer; its end closes all others.
    async fn answer(
        &self,
        need: Need,
        held: Option<u64>,
        interval: f64,
    ) -> Result<Answer<N>, String> {
        let mut schedule = Schedule::new(self.net.now(), need, interval);
        let mut open: [Option<Open<'_, N>>; Slot::ALL.len()] = Default::default();
        loop {
            let until = match schedule.next(self.net.now()) {
                Action::GiveUp => return Err(SILENCE.into()),
                Action::Open(slot, request) => {
                    debug!("discovery: call {slot:?} for {request:?}");
                    // The one before it goes first, and its descriptor with it.
                    open[slot as usize] = None;
                    let side = if slot.is_spare() {
                        Side::DiscoverySpare
                    } else {
                        Side::Discovery
                    };
                    let index = held.filter(|_| request == Request::Watch);
                    let proof = if slot == Slot::Resume {
                        Proof::FirstObject
                    } else {
                        Proof::Head
                    };
                    open[slot as usize] = Some(Box::pin(self.ask(side, index, proof)));
                    continue;
                }
                Action::WaitUntil(time) => time,
            };
            let Ok((slot, ended)) = self.net.timeout_at(until, first_to_end(&mut open)).await
            else {
                continue;
            };
            let why = match ended {
                Ok(answer) => {
                    debug!("discovery: call {slot:?} is answered");
                    return Ok(answer);
                }
                Err(why) => why,
            };
            open[slot as usize] = None;
            if !schedule.failed(self.net.now(), slot) {
                return Err(why);
            }
            debug!("discovery: call {slot:?}: {why}, another is open");
        }
    }

    /// One call, up to the whole list, or so far into the watch that follows a version as its proof asks.
    async fn ask(&self, side: Side, index: Option<u64>, proof: Proof) -> Result<Answer<N>, String> {
        let permit = self.sockets.permit(side).ok_or("no descriptor")?;
        let failed = |e: std::io::Error| e.to_string();
        let (net, address) = (self.net, self.address);
        let mut stream = net
            .connect(net.lookup(address).await.map_err(failed)?)
            .await
            .map_err(failed)?;
        let query = index.map_or(String::new(), |g| format!("?stream=1&index={g}"));
        let close = if index.is_some() {
            ""
        } else {
            "Connection: close\r\n"
        };
        let request =
            format!("GET /registry/instances{query} HTTP/1.1\r\nHost: {address}\r\n{close}\r\n");
        stream.write_all(request.as_bytes()).await.map_err(failed)?;
        let mut bytes = Vec::new();
        let head = loop {
            if let Some(head) = http::head(&bytes).map_err(|e| format!("{e:?}"))? {
                break head;
            }
            if stream.read(&mut bytes).await.map_err(failed)? == 0 {
                return Err("connection ended".into());
            }
        };
        if head.status() != "200" {
            return Err(format!("status {}", head.status()));
        }
        bytes.drain(..head.length);
        let body = http::Body::of_answer(head.stream_framing().map_err(|e| format!("{e:?}"))?);
        let (text, lines) = Default::default();
        let mut call = Call {
            stream,
            bytes,
            body,
            text,
            lines,
            _permit: permit,
        };
        if index.is_some() && proof == Proof::Head {
            return Ok(Answer::Watch(call, None));
        }
        let mut ended = call.take()?;
        loop {
            if index.is_some()
                && let Some(object) = call.object()
            {
                return Ok(Answer::Watch(call, Some(object)));
            }
            if ended {
                break;
            }
            ended = call.more().await?;
        }
        if index.is_some() {
            Err("watch ended".into())
        } else {
            Ok(Answer::List(call.text))
        }
    }

    /// Tells of each object of a watch until it ends, or says nothing whole for too long.
    ///
    /// Danger: half a line, or one that comes in drops and never ends, passes for a watch that lives. Only a
    /// whole object, with changes or without, renews its time. Covers resets in the middle of a line. Harm:
    /// a line that takes longer than that to come is asked for anew, as a whole list.
    async fn watched(
        &self,
        call: &mut Call<N>,
        first: Option<Vec<u8>>,
        state: &mut State,
    ) -> Result<(), String> {
        let mut next = first;
        let mut until = self.net.now() + SILENT;
        let mut ended = call.take()?;
        loop {
            while let Some(object) = next.take().or_else(|| call.object()) {
                state.alive();
                if !object.is_empty() {
                    state.tell(&object, false)?;
                }
                until = self.net.now() + SILENT;
            }
            if ended {
                return Err("watch ended".into());
            }
            ended = self
                .net
                .timeout_at(until, call.more())
                .await
                .map_err(|_| SILENCE.to_string())??;
        }
    }
}

/// The first of the open calls that ends, in the order of their slots.
async fn first_to_end<N: Net>(
    open: &mut [Option<Open<'_, N>>; Slot::ALL.len()],
) -> (Slot, Result<Answer<N>, String>) {
    poll_fn(|cx| {
        for (slot, call) in Slot::ALL.into_iter().zip(open.iter_mut()) {
            if let Some(call) = call
                && let Poll::Ready(ended) = call.as_mut().poll(cx)
            {
                return Poll::Ready((slot, ended));
            }
        }
        Poll::Pending
    })
    .await
}

/// The version that is held, and what would bring it up to date.
struct State {
    version: Version,
    need: Need,
    lists: Lists,
}

impl State {
    /// A watch has told something whole: nothing before it is missed.
    fn alive(&mut self) {
        self.need = Need::Changes;
    }

    fn tell(&mut self, text: &[u8], full: bool) -> Result<(), String> {
        // What is not JSON has lost something: only a whole list makes up for it.
        self.need = Need::WholeList;
        let mut list = list(text).map_err(|e| {
            self.version.doubt();
            e.0
        })?;
        list.full |= full;
        let (held, generation) = (
            self.version.generation().unwrap_or_default(),
            list.generation,
        );
        match self.version.judge(&list) {
            Judgement::Take => {}
            Judgement::TakeOtherEntries => {
                info!("discovery: version {generation} again, with other entries")
            }
            Judgement::TakeOlder => {
                info!("discovery: version {generation} taken in place of {held}")
            }
            Judgement::IgnoreOlder => {
                return Err(format!("list {generation} ignored, {held} is held"));
            }
            Judgement::Lost => return Err(format!("version {generation} after a later one")),
        }
        if is_mutated("discovery-no-drains") && !list.full {
            list.entries.retain(|e| e.lifecycle != Lifecycle::Draining);
        }
        self.need = Need::Changes;
        debug!(
            "list {} full={} entries={}",
            list.generation,
            list.full,
            list.entries.len()
        );
        self.lists
            .send(list)
            .map_err(|_| "the core has ended".to_string())
    }
}
