//! The front for clients: HTTP/1.1 as PROTOCOL has it. Owns the listener and every client connection, from
//! its acceptance until it is closed, with its permit; turns requests into arrivals for the core and answers
//! into bytes. Must never decide about a search, nor end a connection that owes an answer.

use crate::events::{Answer, Arrival, Event, Events};
use crate::http::{self, Bad, Framing, Head};
use crate::json::{Bad as BadJson, Reader, write_string};
use crate::sockets::{Permit, Side, Sockets};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use tokio::sync::{Notify, oneshot, watch};
use tracing::{debug, warn};
use woadreach_routing::api::*;
use woadreach_routing::mutations::is_mutated;
use woadreach_runtime::{Elapsed, Listener, Net, Stream};

/// LATER: a client that sends nothing sound is owed an error or a close 3 s after it connected; half a second
/// is left for the way. A request that has not all come by then was never taken.
const HALF_SENT: f64 = 2.5;
/// LATER: a connection with no open request may be closed after 2 s.
const IDLE: f64 = 2.0;
/// A client that has a request sends it as it connects; one that is silent for so long may never send any.
const SILENT: f64 = 0.25;
/// How long a connection that is closed is read from, and how much, so that its last answer is not lost to a
/// reset: what a sound client may have sent meanwhile.
const LINGER: f64 = 0.5;
/// The same when the process is about to be killed.
const LINGER_AT_END: f64 = 0.1;
const LINGER_BYTES: usize = http::LONGEST_BODY;
/// A client that reads nothing for so long has left its answer behind.
const SLOW_READER: f64 = 5.0;
/// A longer time than any client can mean, in seconds.
const LONGEST_WAIT: f64 = 86_400.0;
/// Between an answer to what was not sound and the next look at that connection: a client that does this at
/// full speed costs less than one that is served.
const TURN: f64 = 0.02;
/// Room for an ordinary request; given back between requests.
const READ: usize = 1024;
/// Before the next try after accepting has failed, so that it does not spin.
const ACCEPT_AGAIN: f64 = 0.02;

/// What one client may have sent ahead while it waits for an answer: a whole request. All together may have
/// so much of that, a tenth of the smallest memory that a co-ordinator has been given; beyond it each has
/// a head.
const AHEAD: usize = http::LONGEST_HEAD + http::LONGEST_BODY;
const ALL_AHEAD: usize = 3 * 1024 * 1024;
/// Between two reads of what is thrown away: at up to 80 KiB each the most that two kernels hold back, some
/// megabytes, is through well within the 0.1 s in which a client's end has to be seen.
const SPILT: f64 = 0.001;

/// Shards with their shares of the answer, in the client's order.
type Parts = Vec<(ShardId, f64)>;

/// The names that the settings give to what requests speak of.
pub struct Names {
    pub query_types: Vec<String>,
    pub tenants: Vec<String>,
    pub shards: u64,
    pub marks_repeats: bool,
}

#[derive(Clone, Copy, PartialEq, PartialOrd)]
pub enum Phase {
    Serving,
    /// SIGTERM has come: not ready, but all that comes is served.
    Draining,
    /// Nothing new is taken; idle connections end, others with their answer.
    Closing,
    /// What is still in hand is answered as errored.
    Ending,
}

pub struct Front<N: Net> {
    names: Names,
    net: N,
    sockets: Sockets,
    events: Events,
    phase: watch::Receiver<Phase>,
    /// Set once the core knows of replicas.
    pub ready: Cell<bool>,
    /// Idle connections, oldest first: those that have been served, and those that have yet to say a word.
    served: RefCell<BTreeMap<u64, Idle>>,
    silent: RefCell<BTreeMap<u64, Idle>>,
    /// No descriptor is left for the next client.
    crowded: Cell<bool>,
    next: Cell<u64>,
    open: Cell<usize>,
    /// Bytes that clients in wait for an answer have sent ahead, beyond a head each.
    ahead: Cell<usize>,
}

/// The part of that which is one client's.
struct Ahead<'a> {
    all: &'a Cell<usize>,
    own: usize,
}

impl<'a> Ahead<'a> {
    fn new(all: &'a Cell<usize>) -> Self {
        Ahead { all, own: 0 }
    }

    /// How many of so many bytes that a client has sent ahead may be kept.
    fn room(&mut self, bytes: usize) -> usize {
        let others = self.all.get() - self.own;
        let most = if others < ALL_AHEAD {
            AHEAD
        } else {
            http::LONGEST_HEAD
        };
        self.own = bytes.min(most).saturating_sub(http::LONGEST_HEAD);
        self.all.set(others + self.own);
        most
    }
}

impl Drop for Ahead<'_> {
    fn drop(&mut self) {
        self.all.set(self.all.get() - self.own);
    }
}

/// A client's connection, what has been read of it and not yet used, and when the last of that came.
struct Client<N: Net> {
    stream: N::Stream,
    bytes: Vec<u8>,
    came: f64,
}

impl<N: Net> Client<N> {
    async fn read(&mut self, net: &N) -> std::io::Result<usize> {
        let n = self.stream.read(&mut self.bytes).await;
        self.was_read(net);
        n
    }

    /// Danger: a request that has waited to be accepted or read, in a flood or while the process was held up,
    /// is worked for after its client's time. Its time counts from when the kernel had it. Covers both. Harm:
    /// none.
    fn was_read(&mut self, net: &N) {
        self.came = net.now() - self.stream.waited();
    }
}

/// Since when a connection is idle, and what wakes it to its end.
struct Idle {
    since: f64,
    wake: Rc<Notify>,
}

/// An answer of the front's own.
struct Refusal {
    status: u16,
    why: String,
    /// The framing is unknown from here on.
    close: bool,
}

fn refuse(status: u16, why: impl Into<String>) -> Refusal {
    Refusal {
        status,
        why: why.into(),
        close: false,
    }
}

impl From<Bad> for Refusal {
    fn from(bad: Bad) -> Self {
        let (status, why) = match bad {
            Bad::Malformed(why) => (400, why),
            Bad::HeadTooLong => (431, "head over the limit"),
            Bad::BodyTooLong => (413, "body over the limit"),
            Bad::NoLength => (411, "neither length nor chunks"),
            Bad::Version => (505, "not HTTP/1.1"),
        };
        Refusal {
            status,
            why: why.into(),
            close: true,
        }
    }
}

enum Next {
    Request(Box<Head>, Vec<u8>),
    Refused(Refusal),
    End,
}

impl<N: Net> Front<N> {
    pub fn new(
        names: Names,
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
            served: RefCell::default(),
            silent: RefCell::default(),
            crowded: Cell::new(false),
            next: Cell::new(1),
            open: Cell::new(0),
            ahead: Cell::new(0),
        }
    }

    fn number(&self) -> u64 {
        self.next.replace(self.next.get() + 1)
    }

    /// Accepts until the phase is `Closing`, then what the kernel has already taken; returns once all is
    /// closed.
    pub async fn serve(self: Rc<Self>, listener: N::Listener) {
        let mut phase = self.phase.clone();
        loop {
            let closing = phase.wait_for(|p| *p >= Phase::Closing);
            tokio::select! {
                biased;
                _ = closing => break,
                accepted = listener.accept() => match accepted {
                    Ok(stream) => self.begin(stream).await,
                    Err(e) => {
                        warn!("accept: {e}");
                        self.net.sleep(ACCEPT_AGAIN).await;
                    }
                },
            }
        }
        // What has been accepted by the machine is ours: it is answered too, up to the last moment. The wait
        // lets the kernel tell of it.
        loop {
            match self.net.timeout(ACCEPT_AGAIN, listener.accept()).await {
                Ok(Ok(stream)) => self.begin(stream).await,
                Ok(Err(_)) => self.net.sleep(ACCEPT_AGAIN).await,
                Err(_) if self.open.get() == 0 => break,
                Err(_) => {}
            }
        }
    }

    /// Gives a connection its permit and its task; until then it is the one that `sockets.rs` allows without.
    async fn begin(self: &Rc<Self>, stream: N::Stream) {
        let permit = loop {
            if let Some(permit) = self.sockets.permit(Side::Clients) {
                break permit;
            }
            // Danger: clients that keep connections they do not use shut others out. One that has been silent
            // from its start makes room, else the one idle for longest, between requests only; with all busy,
            // answers end their connections. Covers clients that never close. Harm: one that closes while a
            // request is on its way has it sent once more, or lost if it is the first, so those whose first
            // may still be on its way go last.
            self.crowded.set(true);
            self.make_room();
            // One that has just become idle gives nothing back by itself: look again.
            let _ = self.net.timeout(ACCEPT_AGAIN, self.sockets.freed()).await;
        };
        self.crowded.set(false);
        self.open.set(self.open.get() + 1);
        drop(self.net.spawn(self.clone().connection(stream, permit)));
    }

    fn make_room(&self) {
        let (mut silent, mut served) = (self.silent.borrow_mut(), self.served.borrow_mut());
        let old = silent
            .first_key_value()
            .is_some_and(|(_, idle)| self.net.now() - idle.since > SILENT);
        let from = if old || served.is_empty() {
            &mut *silent
        } else {
            &mut *served
        };
        if let Some((_, idle)) = from.pop_first() {
            idle.wake.notify_one();
        }
    }

    async fn connection(self: Rc<Self>, stream: N::Stream, permit: Permit) {
        let mut client = Client::<N> {
            stream,
            bytes: Vec::new(),
            came: self.net.now(),
        };
        if self.requests(&mut client).await {
            // Read to the client's end, or the kernel answers what is unread with a reset that overtakes
            // the answer.
            let _ = client.stream.shutdown().await;
            let drain = async {
                client.bytes.clear();
                let mut left = LINGER_BYTES;
                while let Ok(n @ 1..) = client.read(&self.net).await {
                    left = left.saturating_sub(n);
                    client.bytes.clear();
                    if left == 0 {
                        break;
                    }
                }
            };
            let ending = *self.phase.borrow() == Phase::Ending;
            let _ = self
                .net
                .timeout(if ending { LINGER_AT_END } else { LINGER }, drain)
                .await;
        }
        drop(client);
        drop(permit);
        self.open.set(self.open.get() - 1);
    }

    /// Requests one after the other; true if the client may still be reading.
    async fn requests(&self, client: &mut Client<N>) -> bool {
        let mut first = Some(self.net.now());
        loop {
            let next = self.next_request(client, first.take()).await;
            let (answer, close, refused) = match next {
                // Nothing is owed and nothing unread: it may close at once.
                Next::End => return false,
                Next::Refused(r) => {
                    debug!("refused: {} {}", r.status, r.why);
                    (refusal(&r, true), true, true)
                }
                Next::Request(head, content) => {
                    // What answers a HEAD has no body: it is not spoken here, and ends the connection.
                    let close = head.closes() || head.method() == "HEAD";
                    let Some(answer) = self.respond(client, &head, content, close).await else {
                        return false;
                    };
                    answer
                }
            };
            match self
                .net
                .timeout(SLOW_READER, client.stream.write_all(&answer))
                .await
            {
                Ok(Ok(())) if !close => {}
                Ok(Ok(())) => return true,
                _ => return false,
            }
            // Danger: one that sends the same rubbish as soon as it is turned away takes every turn there is.
            // Its next request waits unread for a moment. Covers any request that is not sound. Harm: that
            // moment, to a client that has mended its ways.
            if refused {
                self.net.sleep(TURN).await;
            }
        }
    }

    /// The next request, whole; between requests the connection may be closed. For the first the time counts
    /// from its acceptance.
    async fn next_request(&self, client: &mut Client<N>, first: Option<f64>) -> Next {
        let late = || {
            Next::Refused(Refusal {
                close: true,
                ..refuse(408, "half sent")
            })
        };
        let mut until = self.net.now() + HALF_SENT;
        let head = loop {
            match http::request(&client.bytes) {
                Ok(Some(head)) => break head,
                Ok(None) => {}
                Err(bad) => return Next::Refused(bad.into()),
            }
            let n = if client.bytes.is_empty() {
                let n = self.read_idle(client, first.is_some()).await;
                until = first.unwrap_or_else(|| self.net.now()) + HALF_SENT;
                n
            } else {
                match self.rest(client, until).await {
                    Ok(n) => n,
                    Err(_) => return late(),
                }
            };
            if n == 0 {
                return Next::End;
            }
        };
        let framing = match head.framing() {
            Ok(Framing::None) if head.method() == "POST" => {
                return Next::Refused(Bad::NoLength.into());
            }
            Ok(framing) => framing,
            Err(bad) => return Next::Refused(bad.into()),
        };
        client.bytes.drain(..head.length);
        let (mut body, mut content) = (http::Body::new(framing), Vec::new());
        let mut owes_continue = head.expects_continue();
        loop {
            match body.take(&client.bytes, &mut content, http::LONGEST_BODY) {
                Ok((taken, ended)) => {
                    client.bytes.drain(..taken);
                    if ended {
                        return Next::Request(Box::new(head), content);
                    }
                }
                Err(bad) => return Next::Refused(bad.into()),
            }
            if std::mem::take(&mut owes_continue)
                && client.bytes.is_empty()
                && client
                    .stream
                    .write_all(b"HTTP/1.1 100 Continue\r\n\r\n")
                    .await
                    .is_err()
            {
                return Next::End;
            }
            match self.rest(client, until).await {
                Ok(1..) => {}
                Ok(0) => return Next::End,
                Err(_) => return late(),
            }
        }
    }

    /// More of a request that has begun; 0 if it ends here, an error if it has taken too long.
    ///
    /// Danger: half a request that comes shortly before the end keeps the process beyond the time at which it
    /// is killed. A request that has not all come was never taken. Covers clients that never finish. Harm:
    /// none.
    async fn rest(&self, client: &mut Client<N>, until: f64) -> Result<usize, Elapsed> {
        let mut phase = self.phase.clone();
        tokio::select! {
            biased;
            n = self.net.timeout_at(until, client.read(&self.net)) => n.map(|n| n.unwrap_or(0)),
            _ = phase.wait_for(|p| *p == Phase::Ending) => Ok(0),
        }
    }

    /// Reads the first bytes of a request; 0 if the connection is to end instead.
    async fn read_idle(&self, client: &mut Client<N>, first: bool) -> usize {
        let (number, wake) = (self.number(), Rc::new(Notify::new()));
        let idle = if first { &self.silent } else { &self.served };
        idle.borrow_mut().insert(
            number,
            Idle {
                since: self.net.now(),
                wake: wake.clone(),
            },
        );
        // Danger: clients that ask once and keep their connections hold memory and descriptors for good.
        client.bytes = Vec::new();
        let (mut phase, until, mut ending) = (self.phase.clone(), self.net.now() + IDLE, false);
        let n = loop {
            tokio::select! {
                biased;
                _ = client.stream.readable() => {
                    client.bytes.reserve(READ);
                    match client.stream.try_read(&mut client.bytes) {
                        Err(e) if e.kind() == std::io::ErrorKind::WouldBlock => {}
                        read => break read.unwrap_or(0),
                    }
                }
                // Danger: a request comes in the moment in which its connection is to end, and lies unread
                // as it does. The sockets have their say once more. Covers each cause of such an end. Harm:
                // none; what comes later still meets a connection that is closed, and is sent once more.
                () = std::future::ready(()), if ending => break 0,
                () = wake.notified() => ending = true,
                _ = phase.wait_for(|p| *p >= Phase::Closing) => ending = true,
                () = self.net.sleep_until(until) => ending = true,
            }
            if ending {
                self.net.turn().await;
            }
        };
        client.was_read(&self.net);
        idle.borrow_mut().remove(&number);
        n
    }

    /// The bytes of the answer, whether the connection ends with it, and whether the request was not sound;
    /// None if the client has gone.
    async fn respond(
        &self,
        client: &mut Client<N>,
        head: &Head,
        content: Vec<u8>,
        close: bool,
    ) -> Option<(Vec<u8>, bool, bool)> {
        // Danger: clients that ask once and keep their connections use up what clients may hold, and the next
        // ones cannot ask. Where many are open, answers end theirs. Covers any client that pools more than it
        // uses. Harm: a handshake before the next request of such a client. Not after SIGTERM: no new ones
        // come then, and none that is told to go comes back.
        let ends = |front: &Self| match *front.phase.borrow() {
            Phase::Serving => close || front.crowded.get() || front.sockets.many_clients(),
            Phase::Draining => close,
            Phase::Closing | Phase::Ending => true,
        };
        let (search, mut reply) = match self.route(head, &content, client.came) {
            Err(r) => {
                debug!("refused: {} {}", r.status, r.why);
                return Some((refusal(&r, ends(self)), ends(self), true));
            }
            Ok(None) => return Some((http::answer(200, &[], b"", ends(self)), ends(self), false)),
            Ok(Some(arrival)) => {
                let (arrival, reply) = arrival;
                let search = arrival.search;
                let _ = self.events.send(Event::Arrived(Box::new(arrival)));
                (search, reply)
            }
        };
        // The core holds what it needs of it, and counts that.
        drop(content);
        let (mut phase, mut ending) = (self.phase.clone(), false);
        let (mut ahead, mut spilt, mut lossy) = (Ahead::new(&self.ahead), false, false);
        let answer = loop {
            tokio::select! {
                biased;
                answer = &mut reply => break answer,
                // The core lets go of it, and so of the channel, before anything is answered.
                _ = phase.wait_for(|p| *p == Phase::Ending), if !ending => {
                    ending = true;
                    let _ = self.events.send(Event::ClientLeft(search));
                }
                n = client.read(&self.net), if !spilt => {
                    if matches!(n, Ok(0) | Err(_)) {
                        let _ = self.events.send(Event::ClientLeft(search));
                        return None;
                    }
                    // Danger: a client that has sent much and then gone leaves its end behind what is not
                    // read, and its search is worked on. What is beyond bounds is read and thrown away, at a
                    // pace, and its connection ends with this answer. Covers any flood. Harm: none to
                    // clients that send one request at a time.
                    let room = ahead.room(client.bytes.len());
                    if client.bytes.len() > room {
                        client.bytes.truncate(room);
                        client.bytes.reserve(room);
                        (spilt, lossy) = (true, true);
                    }
                }
                () = self.net.sleep(SPILT), if spilt => spilt = false,
            }
        };
        if is_mutated("front-no-answer-at-end") && *self.phase.borrow() > Phase::Serving {
            return None;
        }
        let (close, twice) = (ends(self) || lossy, matches!(answer, Ok(Answer::Twice)));
        let out = match answer {
            Ok(Answer::Answered { whole, rows }) => {
                let json = ("Content-Type", "application/json".to_string());
                http::answer(200, &[json], &body(whole, &rows), close)
            }
            Ok(Answer::Shed { retry_after }) if retry_after > 0.0 => http::answer(
                503,
                &[("Retry-After", format!("{retry_after:.3}"))],
                b"",
                close,
            ),
            Ok(Answer::Shed { .. }) => http::answer(503, &[], b"", close),
            Ok(Answer::Twice) => refusal(&refuse(409, "trace id in hand"), close),
            Ok(Answer::Errored) | Err(_) => http::answer(500, &[], b"", close),
        };
        Some((out, close, twice))
    }

    /// What a request asks for: a search, or one of the front's own pages (None).
    fn route(
        &self,
        head: &Head,
        content: &[u8],
        at: f64,
    ) -> Result<Option<(Arrival, oneshot::Receiver<Answer>)>, Refusal> {
        let path = head.path();
        if path == "/health/ready" || path == "/health/live" {
            if head.method() != "GET" {
                return Err(refuse(405, "GET"));
            }
            let ready = self.ready.get() && *self.phase.borrow() == Phase::Serving;
            return if path == "/health/live" || ready {
                Ok(None)
            } else {
                Err(refuse(503, "not ready"))
            };
        }
        let class = path.trim_start_matches('/').split('/').next().unwrap_or("");
        let query_type = self.names.query_types.iter().position(|n| n == class);
        let query_type = query_type.ok_or_else(|| refuse(404, "unknown path"))?;
        if head.method() != "POST" {
            return Err(refuse(405, "POST"));
        }
        if head.header("x-qos").is_some_and(|q| q != class) {
            return Err(refuse(400, "X-Qos and the path are at odds"));
        }
        let trace = head.header("x-trace-id").unwrap_or("");
        // It stands in a line of words parted by spaces.
        if trace.is_empty() || trace.len() > 128 || !trace.bytes().all(|b| b.is_ascii_graphic()) {
            return Err(refuse(400, "missing or odd X-Trace-Id"));
        }
        let left = head
            .header("x-expires-in")
            .and_then(|v| v.parse::<f64>().ok());
        let left = left.filter(|l| *l > 0.0 && *l <= LONGEST_WAIT);
        let left = left.ok_or_else(|| refuse(400, "missing or odd X-Expires-In"))?;
        let customer = head.header("x-customer").unwrap_or("");
        let tenant = self.names.tenants.iter().position(|n| n == customer);
        let (parts, text) = self.parts(content).map_err(|why| refuse(400, why))?;
        let (sender, receiver) = oneshot::channel();
        let arrival = Arrival {
            search: SearchId(self.number()),
            trace: trace.to_string(),
            query_type: QueryTypeId(query_type),
            // One that the settings do not name has no share; where there are none all are the first.
            tenant: TenantId(tenant.unwrap_or(self.names.tenants.len())),
            at,
            client_deadline: at + left,
            repeated: self
                .names
                .marks_repeats
                .then(|| head.header("x-second-try") == Some("1")),
            parts,
            text: text.into(),
            bytes: content.len(),
            reply: sender,
        };
        Ok(Some((arrival, receiver)))
    }

    fn parts(&self, content: &[u8]) -> Result<(Parts, String), &'static str> {
        let (mut parts, mut text, mut rounding) = (BTreeMap::new(), None, 1e-9);
        let read = Reader::whole(content, |r| {
            r.object(|key, r| match key {
                "parts" if !parts.is_empty() => Err(BadJson("parts twice")),
                "parts" => r.array(|r| {
                    let (mut shard, mut weight) = (None, None);
                    r.object(|key, r| {
                        match key {
                            "id" if shard.is_none() => shard = Some(r.whole_number()?),
                            "w" if weight.is_none() => weight = Some(r.number_text()?),
                            "id" | "w" => return Err(BadJson("a key twice")),
                            _ => r.skip().map(|_| ())?,
                        }
                        Ok(())
                    })?;
                    let shard = shard
                        .filter(|s| *s < self.names.shards)
                        .ok_or(BadJson("unknown shard"))?;
                    let (weight, half) = weight
                        .and_then(share)
                        .ok_or(BadJson("a share out of range"))?;
                    rounding += half;
                    let twice = parts
                        .insert(ShardId(shard), (parts.len(), weight))
                        .is_some();
                    if twice {
                        Err(BadJson("a shard twice"))
                    } else {
                        Ok(())
                    }
                }),
                "expr" if text.is_some() => Err(BadJson("expr twice")),
                "expr" => {
                    text = Some(r.string()?.into_owned());
                    Ok(())
                }
                _ => r.skip().map(|_| ()),
            })
        });
        read.map_err(|bad| bad.0)?;
        if parts.is_empty() {
            return Err("no parts");
        }
        let sum: f64 = parts.values().map(|(_, weight)| weight).sum();
        if (sum - 1.0).abs() > rounding {
            return Err("the shares do not add up to 1");
        }
        let mut parts: Vec<_> = parts.into_iter().collect();
        parts.sort_by_key(|(_, (place, _))| *place);
        let parts = parts
            .into_iter()
            .map(|(shard, (_, weight))| (shard, weight))
            .collect();
        Ok((parts, text.ok_or("no expr")?))
    }
}

/// A share of the whole, and what rounding to the digits in which it is written explains: half a unit of the
/// last one, at most that of the third, for a share that is written short may be exact.
fn share(text: &str) -> Option<(f64, f64)> {
    let weight: f64 = text.parse().ok().filter(|w| (0.0..=1.0).contains(w))?;
    let digits = text
        .split_once('.')
        .map_or(0, |(_, rest)| rest.len())
        .clamp(3, 15);
    Some((weight, 0.5 * 0.1_f64.powi(digits as i32)))
}

fn refusal(r: &Refusal, close: bool) -> Vec<u8> {
    let mut headers = vec![("Content-Type", "text/plain".to_string())];
    if r.status == 405 {
        headers.push(("Allow", r.why.clone()));
    }
    http::answer(r.status, &headers, r.why.as_bytes(), close || r.close)
}

/// The body of an answer: rows as replicas gave them.
fn body(whole: bool, rows: &[(ShardId, String)]) -> Vec<u8> {
    let mut out = format!("{{\"exact\":{whole},\"rows\":[").into_bytes();
    for (i, (shard, value)) in rows.iter().enumerate() {
        out.extend(if i > 0 { &b","[..] } else { b"" });
        out.extend(format!("{{\"id\":{},\"data\":", shard.0).into_bytes());
        write_string(&mut out, value);
        out.push(b'}');
    }
    out.extend(b"]}");
    out
}
