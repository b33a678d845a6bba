//! A server that randomly selects its behaviour for each request.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use parking_lot::Mutex;
use socket2::SockRef;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::watch;
use woadreach_rpc::{Frame, FrameKind};

use super::oracle::response_to;
use super::{SERVICE, Shared};

/// Behaviour of the server for one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Behaviour {
    Answer,
    AnswerTwice,
    /// Delays the answer until another request of the connection has been answered. If that request is to be answered
    /// late as well, it takes over the delay.
    AnswerLater,
    /// Sends the last answer of this connection again, then answers.
    EarlierAnswerFirst,
    /// Sends the answers of ended connections again, then answers.
    AnswerOfAnotherConnection,
    /// Sends a response with a request id that no call uses, then answers.
    UnknownRequestId,
    /// Sends a notification and a request with the request id of the call, then answers.
    OtherKind,
    Refuse,
    /// Sends the first part of the answer and closes the connection.
    TruncateAndClose,
    /// Sends the first part of the answer and resets the connection.
    TruncateAndReset,
    /// Sends a frame with an unsupported version, then answers.
    Garbage,
    Reset,
    NoAnswer,
    /// Closes all connections, stops listening for a short random time and listens again.
    Restart,
}

/// Behaviours to select from. A behaviour that is listed several times is selected more often.
const BEHAVIOURS: [Behaviour; 17] = [
    Behaviour::Answer,
    Behaviour::Answer,
    Behaviour::Answer,
    Behaviour::AnswerTwice,
    Behaviour::AnswerLater,
    Behaviour::AnswerLater,
    Behaviour::EarlierAnswerFirst,
    Behaviour::AnswerOfAnotherConnection,
    Behaviour::UnknownRequestId,
    Behaviour::OtherKind,
    Behaviour::Refuse,
    Behaviour::TruncateAndClose,
    Behaviour::TruncateAndReset,
    Behaviour::Garbage,
    Behaviour::Reset,
    Behaviour::NoAnswer,
    Behaviour::Restart,
];

struct State {
    shared: Arc<Shared>,
    /// Number of restarts. A change ends all connections.
    incarnation: watch::Sender<usize>,
    listening: watch::Sender<bool>,
    /// Answers that were sent on ended connections.
    earlier_answers: Mutex<Vec<Frame>>,
}

pub(crate) struct FaultyServer {
    pub(crate) address: SocketAddr,
    state: Arc<State>,
}

fn listen(address: SocketAddr) -> std::io::Result<TcpListener> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(64)
}

impl FaultyServer {
    pub(crate) fn start(shared: Arc<Shared>) -> Self {
        let listener = listen((Ipv4Addr::LOCALHOST, 0).into()).expect("bind a free port");
        let address = listener.local_addr().expect("address of the listener");
        let incarnation = watch::Sender::new(0);
        let listening = watch::Sender::new(true);
        let state = Arc::new(State {
            shared,
            incarnation,
            listening,
            earlier_answers: Mutex::default(),
        });
        tokio::spawn(state.clone().run(listener, address));
        FaultyServer { address, state }
    }

    /// Waits until the server listens.
    pub(crate) async fn wait_until_listening(&self) {
        let mut listening = self.state.listening.subscribe();
        listening
            .wait_for(|listening| *listening)
            .await
            .expect("server state was dropped");
    }

    /// Yields often enough for the server's tasks to read the requests that have been sent.
    pub(crate) async fn yield_until_read(&self) {
        for _ in 0..200 {
            tokio::task::yield_now().await;
        }
    }
}

impl State {
    /// Accepts connections, and closes and reopens the listener at each restart.
    async fn run(self: Arc<Self>, first: TcpListener, address: SocketAddr) {
        let mut incarnation = self.incarnation.subscribe();
        let mut listener = Some(first);
        loop {
            let Some(open) = listener.take().or_else(|| listen(address).ok()) else {
                tokio::task::yield_now().await;
                continue;
            };
            incarnation.mark_unchanged();
            self.listening.send_replace(true);
            loop {
                tokio::select! {
                    accepted = open.accept() => {
                        let Ok((stream, _)) = accepted else { break };
                        tokio::spawn(self.clone().serve(stream));
                    }
                    _ = incarnation.changed() => break,
                }
            }
            drop(open);
            self.listening.send_replace(false);
            // The address has no listener for a random number of yields.
            for _ in 0..self.shared.below(30) {
                tokio::task::yield_now().await;
            }
        }
    }

    async fn serve(self: Arc<Self>, stream: TcpStream) {
        let mut incarnation = self.incarnation.subscribe();
        incarnation.mark_unchanged();
        let state = self.clone();
        let mut connection = Connection {
            state,
            stream,
            unread: BytesMut::new(),
            sent: Vec::new(),
            delayed: None,
        };
        tokio::select! {
            _ = connection.run() => {}
            _ = incarnation.changed() => {}
        }
        self.earlier_answers.lock().append(&mut connection.sent);
        let _ = SockRef::from(&connection.stream).set_linger(Some(Duration::ZERO));
    }
}

struct Connection {
    state: Arc<State>,
    stream: TcpStream,
    unread: BytesMut,
    /// Answers that were sent on this connection.
    sent: Vec<Frame>,
    /// Answer that is delayed until the next request.
    delayed: Option<Frame>,
}

impl Connection {
    /// Serves requests. Returns `None` when the connection has ended or must be closed.
    async fn run(&mut self) -> Option<()> {
        loop {
            let request = self.next().await?;
            let body = String::from_utf8_lossy(&request.body).into_owned();
            let shared = self.state.shared.clone();
            let behaviour = BEHAVIOURS[shared.below(BEHAVIOURS.len() as u64) as usize];
            {
                let mut oracle = shared.oracle.lock();
                oracle.count(format!("server: {behaviour:?}"));
                oracle.record_request(&body, behaviour != Behaviour::Refuse);
            }
            let answer = frame(FrameKind::Response, request.request_id, response_to(&body));
            self.execute(behaviour, answer).await?;
        }
    }

    /// Applies a behaviour. Returns `None` when the connection has ended or must be closed.
    async fn execute(&mut self, behaviour: Behaviour, answer: Frame) -> Option<()> {
        let request_id = answer.request_id;
        match behaviour {
            Behaviour::Answer => {}
            Behaviour::AnswerTwice => self.write(&answer).await?,
            Behaviour::AnswerLater => {
                let delayed = self.delayed.replace(answer);
                return match delayed {
                    Some(delayed) => self.send(delayed).await,
                    None => Some(()),
                };
            }
            Behaviour::EarlierAnswerFirst => self.send_if_any(self.sent.last().cloned()).await?,
            Behaviour::AnswerOfAnotherConnection => {
                let earlier_answers = self.state.earlier_answers.lock().clone();
                for other in earlier_answers {
                    self.write(&other).await?;
                }
            }
            Behaviour::UnknownRequestId => {
                self.write(&frame(
                    FrameKind::Response,
                    request_id + 1_000_000,
                    "unknown request id".to_owned(),
                ))
                .await?;
            }
            Behaviour::OtherKind => {
                self.write(&frame(
                    FrameKind::Notification,
                    request_id,
                    "notification".to_owned(),
                ))
                .await?;
                self.write(&frame(FrameKind::Request, request_id, "request".to_owned()))
                    .await?;
            }
            Behaviour::Refuse => {
                return self
                    .write(&frame(FrameKind::Refusal, request_id, String::new()))
                    .await;
            }
            Behaviour::TruncateAndClose | Behaviour::TruncateAndReset => {
                return self.truncate(&answer, behaviour).await;
            }
            Behaviour::Garbage => {
                self.stream
                    .write_all(&[12, 0, 0, 0, 99, 2, 40, 1, 0, 0, 0, 0, 0, 0, 0, 7])
                    .await
                    .ok()?;
            }
            Behaviour::Reset => return None,
            Behaviour::NoAnswer => return Some(()),
            Behaviour::Restart => {
                self.state
                    .incarnation
                    .send_modify(|incarnation| *incarnation += 1);
                return None;
            }
        }
        self.send(answer).await?;
        let delayed = self.delayed.take();
        self.send_if_any(delayed).await
    }

    /// Sends an answer and records it in `sent`.
    async fn send(&mut self, answer: Frame) -> Option<()> {
        self.write(&answer).await?;
        self.sent.push(answer);
        Some(())
    }

    async fn send_if_any(&mut self, answer: Option<Frame>) -> Option<()> {
        match answer {
            Some(answer) => self.send(answer).await,
            None => Some(()),
        }
    }

    /// Writes the first part of the answer, which may be empty, and ends the connection.
    async fn truncate(&mut self, answer: &Frame, behaviour: Behaviour) -> Option<()> {
        let mut bytes = BytesMut::new();
        answer.encode(&mut bytes);
        let length = self.state.shared.below(bytes.len() as u64) as usize;
        self.stream.write_all(&bytes[..length]).await.ok()?;
        if behaviour == Behaviour::TruncateAndClose {
            self.stream.shutdown().await.ok()?;
            let mut rest = BytesMut::new();
            while self.stream.read_buf(&mut rest).await.ok()? > 0 {}
        }
        None
    }

    async fn write(&mut self, frame: &Frame) -> Option<()> {
        let mut bytes = BytesMut::new();
        frame.encode(&mut bytes);
        self.stream.write_all(&bytes).await.ok()
    }

    async fn next(&mut self) -> Option<Frame> {
        loop {
            if let Some(frame) = Frame::decode(&mut self.unread)
                .expect("client sent bytes that are not a valid frame")
            {
                return Some(frame);
            }
            if self.stream.read_buf(&mut self.unread).await.ok()? == 0 {
                return None;
            }
        }
    }
}

fn frame(kind: FrameKind, request_id: u64, body: String) -> Frame {
    Frame {
        kind,
        service: SERVICE,
        request_id,
        body: Bytes::from(body),
    }
}
