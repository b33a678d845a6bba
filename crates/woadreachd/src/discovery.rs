//! What discovery tells: reads its list and its changes, and hands them to the core in order. Owns its own
//! connections, two at most; must never decide what a list means, nor forget one while discovery is silent.

use crate::events::{Entry, Lifecycle, List, Lists};
use crate::http;
use crate::json::{Bad, Reader};
use crate::sockets::{Permit, Side, Sockets};
use std::future::Future;
use std::pin::Pin;
use tokio::sync::watch;
use tracing::{debug, info, warn};
use woadreach::plants::planted;
use woadreach_net::{Net, Stream};

/// PROTOCOL: as long as nothing changes, an empty line arrives every 2 s, and what there is to tell counts as
/// told 6 s after a watch fell silent, or after discovery had it and could be reached. Without a whole line
/// for so long a watch is dead, half a second for lines that are late; that leaves time for two more calls
/// one after the other.
const SILENT: f64 = 2.5;
/// A call that has not been answered in whole for so long has a second one opened beside it: the agent is on
/// this machine and answers at once, or not at all.
const HUNG: f64 = 1.2;
/// The longest that a call is waited for while others are tried beside it: an agent that needs longer to put
/// its list together is of no use.
const PATIENT: f64 = 10.0;
/// Between two calls of which the first failed: the agent is on this machine, so a call is cheap.
const AGAIN: f64 = 0.2;
/// The longest line or list: a bound on what a broken agent can make us hold; 500 bytes an entry for 16,000.
const LONGEST: usize = 8 * 1024 * 1024;

/// A list or a line of a watch; an entry that cannot be used is left out, with a log line.
pub fn list(text: &[u8]) -> Result<List, Bad> {
    let mut list = List { generation: 0, full: false, entries: Vec::new() };
    let mut seen = (false, false);
    Reader::whole(text, |r| {
        r.object(|key, r| {
            match key {
                "generation" => (list.generation, seen.0) = (r.whole_number()?, true),
                "reset" => list.full = r.boolean()?,
                "instances" => {
                    seen.1 = true;
                    r.array(|r| {
                        let text = r.skip()?;
                        match entry(text) {
                            Ok(entry) => list.entries.push(entry),
                            Err(Bad(why)) => {
                                warn!("entry skipped ({why}): {}", String::from_utf8_lossy(text))
                            }
                        }
                        Ok(())
                    })?;
                }
                _ => r.skip().map(|_| ())?,
            }
            Ok(())
        })
    })?;
    if seen == (true, true) { Ok(list) } else { Err(Bad("no generation or no instances")) }
}

fn entry(text: &[u8]) -> Result<Entry, Bad> {
    let (mut id, mut address, mut lifecycle, mut cell) = (None, None, None, None);
    let (mut zone, mut started_at) = (String::new(), 0.0);
    Reader::whole(text, |r| {
        r.object(|key, r| {
            match key {
                "instanceId" => id = Some(r.string()?.into_owned()),
                "hostPort" => address = Some(r.string()?.parse().map_err(|_| Bad("bad address"))?),
                "zone" => zone = r.string()?.into_owned(),
                "cell" => cell = Some(r.whole_number()?),
                "lifecycle" => {
                    lifecycle = Some(match &*r.string()? {
                        "ready" => Lifecycle::Ready,
                        "draining" => Lifecycle::Draining,
                        "gone" => Lifecycle::Gone,
                        _ => return Err(Bad("unknown lifecycle")),
                    });
                }
                "startedAtMs" => started_at = r.number()? / 1000.0,
                _ => r.skip().map(|_| ())?,
            }
            Ok(())
        })
    })?;
    let id = id.filter(|i: &String| !i.is_empty()).ok_or(Bad("no instanceId"))?;
    Ok(Entry {
        id,
        address: address.ok_or(Bad("no hostPort"))?,
        zone,
        cell: cell.ok_or(Bad("no cell"))?,
        lifecycle: lifecycle.ok_or(Bad("no lifecycle"))?,
        started_at,
    })
}

/// What has been asked of the agent, answered so far as to be of use.
enum Answered<N: Net> {
    List(Vec<u8>),
    Watch(Call<N>),
}

/// A connection to the agent, and what has been read on it and not yet used.
struct Call<N: Net> {
    stream: N::Stream,
    bytes: Vec<u8>,
    body: http::Body,
    text: Vec<u8>,
    _permit: Permit,
}

impl<N: Net> Call<N> {
    /// Reads on; true once the answer has ended. A reset, or an end before the length that was stated, is an
    /// error: no end.
    async fn more(&mut self) -> Result<bool, String> {
        let read = self.stream.read(&mut self.bytes).await.map_err(|e| e.to_string())?;
        if read == 0 {
            return if self.body.ends_with_connection() { Ok(true) } else { Err("connection ended".into()) };
        }
        self.take()
    }

    fn take(&mut self) -> Result<bool, String> {
        let taken = self.body.take(&self.bytes, &mut self.text, LONGEST);
        let (taken, ended) = taken.map_err(|e| format!("{e:?}"))?;
        self.bytes.drain(..taken);
        Ok(ended)
    }
}

/// Runs for as long as the process: the whole list once, then changes after the last version. A new place
/// is turned to at once, and its whole list taken: what was on its way from the old one is lost.
pub async fn follow<N: Net>(
    net: N,
    mut place: watch::Receiver<String>,
    known: Option<u64>,
    sockets: Sockets,
    lists: Lists,
) {
    let mut state = State { generation: known, whole: true, lists };
    let mut last = String::new();
    loop {
        let address = place.borrow_and_update().clone();
        let ended = tokio::select! {
            biased;
            Ok(()) = place.changed() => {
                state.whole = true;
                last.clear();
                continue;
            }
            ended = turn(&net, &address, &mut state, &sockets) => ended,
        };
        match ended {
            // The whole list has come: changes next.
            Ok(()) => {
                last.clear();
                continue;
            }
            // Told once for as long as it lasts.
            Err(why) if why == last => debug!("discovery: {why}"),
            Err(why) => {
                info!("discovery: {why}");
                last = why;
            }
        }
        // Cut short by a new place, which is looked at first.
        let _ = net.timeout(AGAIN, place.wait_for(|p| *p != address)).await;
    }
}

/// The version that is held, and whether only a whole list will do.
struct State {
    generation: Option<u64>,
    whole: bool,
    lists: Lists,
}

/// The whole list, or a watch for as long as it lives.
async fn turn<N: Net>(net: &N, address: &str, state: &mut State, sockets: &Sockets) -> Result<(), String> {
    let index = state.generation.filter(|_| !state.whole);
    let mut call = match tries(net, address, index, sockets).await? {
        Answered::List(text) => return state.tell(&text, true),
        Answered::Watch(call) => call,
    };
    let ended = watched(net, &mut call, state).await;
    if ended == Err(SILENCE.into()) {
        // What it missed is asked for as a whole: a new watch may be as dead as this one, which shows late.
        state.whole = true;
    }
    ended
}

const SILENCE: &str = "silent";

/// Danger: an agent that hangs, or gives its answer in drops, holds up the one call that would have told of
/// a drain. Whatever it does, a new call is opened every `HUNG` while the first is still waited for; the
/// first whole answer counts. Covers calls that were lost while discovery was down, and agents that only
/// answer those. Harm: a second connection to the agent.
async fn tries<N: Net>(
    net: &N,
    address: &str,
    index: Option<u64>,
    sockets: &Sockets,
) -> Result<Answered<N>, String> {
    type Try<'a, N> = Pin<Box<dyn Future<Output = Result<Answered<N>, String>> + 'a>>;
    let call = || -> Try<'_, N> { Box::pin(ask(net, address, index, sockets)) };
    let (mut patient, mut until) = (call(), net.now() + PATIENT);
    let (mut fresh, mut next): (Option<Try<'_, N>>, f64) = (None, net.now() + HUNG);
    loop {
        let beside = async {
            match &mut fresh {
                Some(fresh) => fresh.await,
                None => std::future::pending().await,
            }
        };
        tokio::select! {
            biased;
            ended = &mut patient => match (ended, fresh.take()) {
                (Err(why), Some(fresh)) => {
                    debug!("discovery: {why}, another call is open");
                    (patient, until) = (fresh, net.now() + PATIENT);
                }
                (ended, _) => return ended,
            },
            ended = beside => match ended {
                Err(why) => {
                    debug!("discovery: {why}, an earlier call is open");
                    (fresh, next) = (None, net.now() + AGAIN);
                }
                ended => return ended,
            },
            () = net.sleep_until(next.min(until)) => {
                if net.now() >= until {
                    return Err(SILENCE.into());
                }
                // The one before it goes first, and its descriptor with it.
                drop(fresh.take());
                (fresh, next) = (Some(call()), net.now() + HUNG);
            }
        }
    }
}

/// One call, up to the whole list, or to the head of the watch that follows a version.
async fn ask<N: Net>(
    net: &N,
    address: &str,
    index: Option<u64>,
    sockets: &Sockets,
) -> Result<Answered<N>, String> {
    let permit = sockets.permit(Side::Discovery).ok_or("no descriptor")?;
    let failed = |e: std::io::Error| e.to_string();
    let mut stream = net.connect(net.lookup(address).await.map_err(failed)?).await.map_err(failed)?;
    let query = index.map_or(String::new(), |g| format!("?stream=1&index={g}"));
    let close = if index.is_some() { "" } else { "Connection: close\r\n" };
    let request = format!("GET /registry/instances{query} HTTP/1.1\r\nHost: {address}\r\n{close}\r\n");
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
    let mut call = Call { stream, bytes, body, text: Vec::new(), _permit: permit };
    if index.is_some() {
        return Ok(Answered::Watch(call));
    }
    let mut ended = call.take()?;
    while !ended {
        ended = call.more().await?;
    }
    Ok(Answered::List(call.text))
}

/// Tells of each line of a watch until it ends, or says nothing whole for too long.
///
/// Danger: half a line, or one that comes in drops and never ends, passes for a watch that lives. Only a
/// whole line, with changes or without, renews its time. Covers resets in the middle of a line. Harm: a line
/// that takes longer than that to come is asked for anew, as a whole list.
async fn watched<N: Net>(net: &N, call: &mut Call<N>, state: &mut State) -> Result<(), String> {
    let mut lines = Lines::default();
    let mut until = net.now() + SILENT;
    let mut ended = call.take()?;
    loop {
        while let Some(end) = call.text.iter().position(|b| *b == b'\n') {
            let line: Vec<u8> = call.text.drain(..=end).collect();
            match lines.whole(line) {
                Some(object) if object.is_empty() => {}
                Some(object) => state.tell(&object, false)?,
                None => continue,
            }
            until = net.now() + SILENT;
        }
        if ended {
            return Err("watch ended".into());
        }
        ended = net.timeout_at(until, call.more()).await.map_err(|_| SILENCE.to_string())??;
    }
}

/// What a watch has told of an object that is written over several lines: the first holds its bracket alone.
#[derive(Default)]
struct Lines {
    begun: Vec<u8>,
    depth: usize,
    text: bool,
    escaped: bool,
}

impl Lines {
    /// The object that this line ends, an empty one for an empty line between two; none while it goes on. One
    /// that begins where another has not ended shows that something was lost: both are given, and are no
    /// JSON.
    fn whole(&mut self, line: Vec<u8>) -> Option<Vec<u8>> {
        let text = line.trim_ascii();
        let within = self.depth > 0 && line[0] != b'{' && !text.is_empty();
        let broken = !within && text != b"{";
        for b in &line {
            match b {
                _ if self.escaped => self.escaped = false,
                b'\\' if self.text => self.escaped = true,
                b'"' => self.text = !self.text,
                b'{' | b'[' if !self.text => self.depth += 1,
                b'}' | b']' if !self.text => self.depth = self.depth.saturating_sub(1),
                _ => {}
            }
        }
        self.begun.extend(line);
        if self.depth > 0 && !broken && self.begun.len() <= LONGEST {
            return None;
        }
        let object = std::mem::take(self).begun;
        Some(object.trim_ascii().to_vec())
    }
}

impl State {
    fn tell(&mut self, text: &[u8], full: bool) -> Result<(), String> {
        // What is not JSON has lost something: only a whole list makes up for it.
        self.whole = true;
        let mut list = list(text).map_err(|e| e.0)?;
        list.full |= full;
        // So has what stands behind what is held.
        if !list.full && self.generation.is_some_and(|held| list.generation < held) {
            return Err(format!("version {} after a later one", list.generation));
        }
        if planted("discovery-no-drains") && !list.full {
            list.entries.retain(|e| e.lifecycle != Lifecycle::Draining);
        }
        self.whole = false;
        self.generation = Some(list.generation);
        debug!("list {} full={} entries={}", list.generation, list.full, list.entries.len());
        self.lists.send(list).map_err(|_| "the core has ended".to_string())
    }
}
