//! A replica that draws its behavior for each request at random.

use super::Shared;
use super::answers::{Framing, answer, stream_body};
use super::oracle::RequestRun;
use crate::support::{find, wait_for};
use parking_lot::Mutex;
use socket2::SockRef;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::watch;

/// What a replica does with a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Behavior {
    Answer(Framing),
    /// Answers before it has read the body, and reads that later.
    AnswerEarly,
    AnswerTwice,
    AnswerThenGarbage,
    /// Says an earlier answer on this connection once more, then the answer.
    EarlierAnswerFirst,
    /// Answers with the id of another request.
    Crossed,
    InterimFirst,
    Reject,
    RejectTwice,
    /// Its own error response, which means that the request has run.
    Fail(u16),
    /// Answers and ends the connection without notice.
    AnswerThenClose,
    TruncateInOrder,
    TruncateByReset,
    Close,
    Reset,
    HalfClose,
    /// Sends nothing until the caller closes the connection.
    NeverRespond,
}

const BEHAVIORS: [Behavior; 22] = [
    Behavior::Answer(Framing::Length),
    Behavior::Answer(Framing::Length),
    Behavior::Answer(Framing::Chunks),
    Behavior::Answer(Framing::EndOfConnection),
    Behavior::AnswerEarly,
    Behavior::AnswerTwice,
    Behavior::AnswerThenGarbage,
    Behavior::EarlierAnswerFirst,
    Behavior::EarlierAnswerFirst,
    Behavior::Crossed,
    Behavior::InterimFirst,
    Behavior::Reject,
    Behavior::Reject,
    Behavior::RejectTwice,
    Behavior::Fail(500),
    Behavior::Fail(503),
    Behavior::AnswerThenClose,
    Behavior::TruncateInOrder,
    Behavior::TruncateByReset,
    Behavior::Close,
    Behavior::Reset,
    Behavior::HalfClose,
];
/// Bytes that a connection takes before it is read.
const RECEIVE_BUFFER: u32 = 4096;
/// One request in this many gets no response.
const UNRESPONSIVE_ONE_IN: u64 = 25;

struct State {
    number: u64,
    is_full: bool,
    shared: Arc<Shared>,
    incarnation: watch::Sender<usize>,
    busy: watch::Sender<usize>,
    runs: AtomicUsize,
    /// Id of the request before, for answers that cross.
    last_id: Mutex<String>,
}

pub(super) struct FaultyReplica {
    pub address: SocketAddr,
    state: Arc<State>,
}

/// A request's head and what has been read of its body.
struct Request {
    id: String,
    path: String,
    expected: String,
    last_event: usize,
    length: usize,
}

impl FaultyReplica {
    pub(super) async fn start(number: u64, is_full: bool, shared: Arc<Shared>) -> Self {
        let listener = small_listener().expect("a free port");
        let address = listener.local_addr().expect("an address");
        let state = Arc::new(State {
            number,
            is_full,
            shared,
            incarnation: watch::Sender::new(0),
            busy: watch::Sender::new(0),
            runs: AtomicUsize::new(0),
            last_id: Mutex::default(),
        });
        let serving = state.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(serving.clone().serve(stream));
            }
        });
        FaultyReplica { address, state }
    }

    /// Its id, a new one for each incarnation.
    pub(super) fn id(&self) -> String {
        self.state.id()
    }

    /// The process ends and another takes its address.
    pub(super) fn replace(&self) {
        self.state
            .incarnation
            .send_modify(|incarnation| *incarnation += 1);
    }

    /// Waits until it works on nothing.
    pub(super) async fn wait_until_idle(&self) {
        let mut busy = self.state.busy.subscribe();
        for _ in 0..100 {
            // What has arrived is read before the replica counts as idle.
            tokio::task::yield_now().await;
        }
        wait_for("an idle replica", busy.wait_for(|busy| *busy == 0))
            .await
            .expect("open");
    }
}

impl State {
    fn id(&self) -> String {
        format!("i-{}-{}", self.number, *self.incarnation.borrow())
    }

    async fn serve(self: Arc<Self>, stream: TcpStream) {
        let mut incarnation = self.incarnation.subscribe();
        incarnation.mark_unchanged();
        let mut connection = Connection {
            state: self.clone(),
            stream,
            unread: Vec::new(),
            answers: Vec::new(),
            serving: String::new(),
        };
        tokio::select! {
            () = connection.run() => {}
            _ = incarnation.changed() => {}
        }
        connection.reset();
    }

    /// A run of the request, with the answer that belongs to it.
    fn run(&self, request: &Request, status: u16, sent_complete: bool) -> RequestRun {
        let number = self.runs.fetch_add(1, Ordering::Relaxed);
        let signature = format!("s{}.{number}", self.number);
        let body = match (status, request.path.as_str()) {
            (200, "/once/" | "/resumable/") => stream_body(&request.id, request.last_event),
            _ => format!("{} by {signature}", request.id).into_bytes(),
        };
        let run = RequestRun {
            status,
            signature,
            body,
            sent_complete,
        };
        self.shared.oracle.lock().runs(&request.id, run.clone());
        run
    }
}

/// Counts a request as worked on until it is dropped.
struct Busy<'a>(&'a watch::Sender<usize>);

impl Drop for Busy<'_> {
    fn drop(&mut self) {
        self.0.send_modify(|busy| *busy -= 1);
    }
}

struct Connection {
    state: Arc<State>,
    stream: TcpStream,
    unread: Vec<u8>,
    /// What was written, with the id of its request.
    answers: Vec<(String, Vec<u8>)>,
    /// Id of the request being served.
    serving: String,
}

impl Connection {
    /// Serves until the connection is to end.
    async fn run(&mut self) {
        let state = self.state.clone();
        while let Some(request) = self.head().await {
            state.busy.send_modify(|busy| *busy += 1);
            let _busy = Busy(&state.busy);
            self.serving.clone_from(&request.id);
            if self.serve(&request).await.is_none() {
                return;
            }
            *state.last_id.lock() = request.id;
        }
    }

    /// Serves one request; nothing if the connection is to end.
    async fn serve(&mut self, request: &Request) -> Option<()> {
        let behavior = self.draw();
        if behavior == Behavior::AnswerEarly && request.expected == self.state.id() {
            self.count(behavior);
            let answer = self.answer_of(request, Framing::Length);
            self.write(answer).await?;
            return self.body(request).await;
        }
        self.body(request).await?;
        if request.expected != self.state.id() {
            self.state
                .shared
                .oracle
                .lock()
                .count("replica: misdirected");
            let misdirected = answer(
                &request.id,
                "421 Misdirected Request",
                "",
                Framing::Length,
                b"",
            );
            return self.write(misdirected).await;
        }
        self.count(behavior);
        self.carry_out(behavior, request).await
    }

    async fn carry_out(&mut self, behavior: Behavior, request: &Request) -> Option<()> {
        match behavior {
            Behavior::Answer(framing) => {
                let answer = self.answer_of(request, framing);
                self.write(answer).await?;
                match framing {
                    Framing::EndOfConnection => self.end_in_order().await,
                    _ => Some(()),
                }
            }
            Behavior::AnswerEarly | Behavior::AnswerTwice => {
                let answer = self.answer_of(request, Framing::Length);
                self.write([answer.clone(), answer].concat()).await
            }
            Behavior::AnswerThenGarbage => {
                let answer = self.answer_of(request, Framing::Length);
                self.write([answer, b"HTTP/1.1 2".to_vec()].concat()).await
            }
            Behavior::EarlierAnswerFirst => {
                let earlier = self.earlier_answer(&request.id);
                let answer = self.answer_of(request, Framing::Length);
                self.stream.write_all(&earlier).await.ok()?;
                self.write(answer).await
            }
            Behavior::Crossed => self.cross(request).await,
            Behavior::InterimFirst => {
                let answer = self.answer_of(request, Framing::Length);
                self.write([b"HTTP/1.1 103 Early Hints\r\n\r\n".to_vec(), answer].concat())
                    .await
            }
            Behavior::Reject => self.write(rejection(request)).await,
            Behavior::RejectTwice => {
                let twice = [rejection(request), rejection(request)].concat();
                self.write(twice).await
            }
            Behavior::Fail(status) => self.fail(request, status).await,
            Behavior::AnswerThenClose => {
                let answer = self.answer_of(request, Framing::Length);
                self.write(answer).await?;
                self.end_in_order().await
            }
            Behavior::TruncateInOrder | Behavior::TruncateByReset => {
                self.truncate(request, behavior).await
            }
            Behavior::Close | Behavior::Reset | Behavior::HalfClose | Behavior::NeverRespond => {
                self.state.run(request, 200, false);
                self.end_without_answer(behavior).await
            }
        }
    }

    fn draw(&self) -> Behavior {
        let shared = &self.state.shared;
        if shared.below(UNRESPONSIVE_ONE_IN) == 0 {
            return Behavior::NeverRespond;
        }
        // A full replica rejects, and the request comes back to it.
        if self.state.is_full && shared.below(2) == 0 {
            let rejects = shared.below(2) == 0;
            return if rejects {
                Behavior::Reject
            } else {
                Behavior::EarlierAnswerFirst
            };
        }
        BEHAVIORS[shared.below(BEHAVIORS.len() as u64) as usize]
    }

    fn count(&self, behavior: Behavior) {
        self.state
            .shared
            .oracle
            .lock()
            .count(format!("replica: {behavior:?}"));
    }

    /// The answer to a request that runs now.
    fn answer_of(&mut self, request: &Request, framing: Framing) -> Vec<u8> {
        let run = self.state.run(request, 200, true);
        let lines = format!("Response-Signature: {}\r\n", run.signature);
        answer(&request.id, "200 OK", &lines, framing, &run.body)
    }

    /// The last answer to this id on this connection, or else the last one.
    fn earlier_answer(&self, id: &str) -> Vec<u8> {
        let mut newest_first = self.answers.iter().rev();
        let same_id = newest_first.find(|(answered, _)| answered == id);
        same_id
            .or(self.answers.last())
            .map(|(_, bytes)| bytes.clone())
            .unwrap_or_default()
    }

    async fn cross(&mut self, request: &Request) -> Option<()> {
        let run = self.state.run(request, 200, false);
        let other = self.state.last_id.lock().clone();
        let lines = format!("Response-Signature: {}\r\n", run.signature);
        let crossed = answer(
            &format!("x{other}"),
            "200 OK",
            &lines,
            Framing::Length,
            b"of another",
        );
        self.write(crossed).await
    }

    async fn fail(&mut self, request: &Request, status: u16) -> Option<()> {
        let run = self.state.run(request, status, true);
        let lines = format!("Response-Signature: {}\r\n", run.signature);
        let failure = answer(
            &request.id,
            &format!("{status} Failed"),
            &lines,
            Framing::Length,
            &run.body,
        );
        self.write(failure).await
    }

    /// Truncates a response at any byte.
    async fn truncate(&mut self, request: &Request, behavior: Behavior) -> Option<()> {
        let framing = match self.state.shared.below(2) {
            0 => Framing::Length,
            _ => Framing::Chunks,
        };
        let run = self.state.run(request, 200, false);
        let lines = format!("Response-Signature: {}\r\n", run.signature);
        let mut bytes = answer(&request.id, "200 OK", &lines, framing, &run.body);
        bytes.truncate(self.state.shared.below(bytes.len() as u64) as usize);
        self.write(bytes).await?;
        if behavior == Behavior::TruncateInOrder {
            self.end_in_order().await
        } else {
            None
        }
    }

    async fn end_without_answer(&mut self, behavior: Behavior) -> Option<()> {
        match behavior {
            Behavior::Reset => return None,
            Behavior::HalfClose | Behavior::Close => self.stream.shutdown().await.ok()?,
            _ => {}
        }
        if behavior == Behavior::Close {
            return None;
        }
        // Until the caller closes it.
        let mut bytes = [0; 4096];
        while self.stream.read(&mut bytes).await.ok()? > 0 {}
        None
    }

    /// Ends the connection so that what was written arrives.
    async fn end_in_order(&mut self) -> Option<()> {
        SockRef::from(&self.stream).set_linger(None).ok()?;
        self.stream.shutdown().await.ok()?;
        let mut bytes = [0; 4096];
        while self.stream.read(&mut bytes).await.ok()? > 0 {}
        None
    }

    /// Makes the end of the connection a reset.
    fn reset(self) {
        // A socket that is gone already cannot be reset.
        let _ = SockRef::from(&self.stream).set_linger(Some(Duration::ZERO));
    }

    async fn write(&mut self, bytes: Vec<u8>) -> Option<()> {
        self.stream.write_all(&bytes).await.ok()?;
        self.answers.push((self.serving.clone(), bytes));
        Some(())
    }

    async fn head(&mut self) -> Option<Request> {
        let end = loop {
            match find(&self.unread, b"\r\n\r\n") {
                Some(end) => break end + 4,
                None => self.more().await?,
            }
        };
        let head: Vec<u8> = self.unread.drain(..end).collect();
        let head = String::from_utf8_lossy(&head).to_ascii_lowercase();
        let value = |name: &str| {
            head.lines()
                .find_map(|line| line.strip_prefix(name))
                .unwrap_or_default()
                .to_owned()
        };
        Some(Request {
            id: value("request-id: "),
            path: head.split(' ').nth(1).unwrap_or_default().to_owned(),
            expected: value("expect-instance: "),
            last_event: value("last-event-id: ").parse().unwrap_or(0),
            length: value("content-length: ").parse().unwrap_or(0),
        })
    }

    /// Reads the body and tells the oracle.
    async fn body(&mut self, request: &Request) -> Option<()> {
        while self.unread.len() < request.length {
            self.more().await?;
        }
        let body: Vec<u8> = self.unread.drain(..request.length).collect();
        self.state
            .shared
            .oracle
            .lock()
            .arrives(&request.id, &request.path, &body);
        Some(())
    }

    async fn more(&mut self) -> Option<()> {
        let mut bytes = [0; 16384];
        let length = self
            .stream
            .read(&mut bytes)
            .await
            .ok()
            .filter(|length| *length > 0)?;
        self.unread.extend_from_slice(&bytes[..length]);
        Some(())
    }
}

/// A listener whose connections take little before it is read, so that long bodies wait at the sender.
fn small_listener() -> std::io::Result<TcpListener> {
    let socket = TcpSocket::new_v4()?;
    socket.set_recv_buffer_size(RECEIVE_BUFFER)?;
    socket.bind((Ipv4Addr::LOCALHOST, 0).into())?;
    socket.listen(64)
}

fn rejection(request: &Request) -> Vec<u8> {
    answer(
        &request.id,
        "503 Service Unavailable",
        "Not-Executed: 1\r\n",
        Framing::Length,
        b"",
    )
}
