//! A server that chooses at random how it answers each request.

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

/// Behaviour of the server at a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Behaviour {
    Answer,
    AnswerTwice,
    /// Delays the answer until another request arrives, and answers that first.
    AnswerLater,
    /// Repeats an answer of this connection, then answers.
    EarlierAnswerFirst,
    /// Repeats answers of earlier connections, then answers.
    AnswerOfAnotherConnection,
    /// Answers with a request id that no call has, then answers.
    UnknownRequestId,
    /// Sends frames of other kinds with the request id, then answers.
    OtherKind,
    Refuse,
    /// Sends a part of the answer and closes the connection.
    TruncateAndClose,
    /// Sends a part of the answer and resets the connection.
    TruncateAndReset,
    /// Sends bytes that are not a frame.
    Garbage,
    Reset,
    /// Doesn't answer.
    NoAnswer,
    /// Closes all connections and stops listening for a moment.
    Restart,
}

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
    incarnation: watch::Sender<usize>,
    listening: watch::Sender<bool>,
    /// Answers that were sent on connections that have ended.
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
        let listener = listen((Ipv4Addr::LOCALHOST, 0).into()).expect("a free port");
        let address = listener.local_addr().expect("an address");
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
            .expect("open");
    }

    /// Waits until the server has read what was sent.
    pub(crate) async fn wait_until_read(&self) {
        for _ in 0..200 {
            tokio::task::yield_now().await;
        }
    }
}

impl State {
    /// Listens in one incarnation after the other.
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
            // The server stays away for a moment.
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
    /// Serves requests until the connection ends or is to be closed, which `None` says.
    async fn run(&mut self) -> Option<()> {
        loop {
            let request = self.next().await?;
            let body = String::from_utf8_lossy(&request.body).into_owned();
            let shared = self.state.shared.clone();
            let behaviour = BEHAVIOURS[shared.below(BEHAVIOURS.len() as u64) as usize];
            {
                let mut oracle = shared.oracle.lock();
                oracle.count(format!("server: {behaviour:?}"));
                oracle.record_arrival(&body, behaviour != Behaviour::Refuse);
            }
            let answer = frame(FrameKind::Response, request.request_id, response_to(&body));
            self.execute(behaviour, answer).await?;
        }
    }

    async fn execute(&mut self, behaviour: Behaviour, answer: Frame) -> Option<()> {
        let request_id = answer.request_id;
        match behaviour {
            Behaviour::Answer => {}
            Behaviour::AnswerTwice => self.write(&answer).await?,
            Behaviour::AnswerLater => {
                let earlier = self.delayed.replace(answer);
                return match earlier {
                    Some(earlier) => self.send(earlier).await,
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
                    "of nobody".to_owned(),
                ))
                .await?;
            }
            Behaviour::OtherKind => {
                self.write(&frame(
                    FrameKind::Notification,
                    request_id,
                    "one way".to_owned(),
                ))
                .await?;
                self.write(&frame(
                    FrameKind::Request,
                    request_id,
                    "a request".to_owned(),
                ))
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

    /// Writes a part of the answer, which may be empty, and ends the connection.
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
            if let Some(frame) = Frame::decode(&mut self.unread).expect("the client sends frames") {
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
