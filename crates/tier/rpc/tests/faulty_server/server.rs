//! A server that draws how it answers each request.

use super::oracle::response_to;
use super::{SERVICE, Shared};
use bytes::{Bytes, BytesMut};
use parking_lot::Mutex;
use socket2::SockRef;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::watch;
use woadreach_rpc::{Frame, FrameKind};

/// What the server does with a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Deed {
    Answer,
    AnswerTwice,
    /// Holds the answer back until another request comes, and answers that first.
    AnswerLater,
    /// Says an answer of this connection once more, then the answer.
    EarlierAnswerFirst,
    /// Says an answer of a connection before, then the answer.
    AnswerOfAnotherConnection,
    /// Answers under a number that nobody awaits, then the request itself.
    UnknownNumber,
    /// Sends a frame of another kind with the number, then the answer.
    OtherKind,
    Refuse,
    /// Answers a part of the frame and ends the connection.
    CutInOrder,
    CutByReset,
    /// Bytes that are no frame.
    Garbage,
    Reset,
    Silence,
    /// Ends with all its connections; another takes its address a little later.
    Restart,
}

const DEEDS: [Deed; 17] = [
    Deed::Answer,
    Deed::Answer,
    Deed::Answer,
    Deed::AnswerTwice,
    Deed::AnswerLater,
    Deed::AnswerLater,
    Deed::EarlierAnswerFirst,
    Deed::AnswerOfAnotherConnection,
    Deed::UnknownNumber,
    Deed::OtherKind,
    Deed::Refuse,
    Deed::CutInOrder,
    Deed::CutByReset,
    Deed::Garbage,
    Deed::Reset,
    Deed::Silence,
    Deed::Restart,
];

struct State {
    shared: Arc<Shared>,
    incarnation: watch::Sender<usize>,
    listening: watch::Sender<bool>,
    /// Answers of connections that have ended.
    of_others: Mutex<Vec<Frame>>,
}

pub struct FaultyServer {
    pub address: SocketAddr,
    state: Arc<State>,
}

fn listen(address: SocketAddr) -> std::io::Result<TcpListener> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(64)
}

impl FaultyServer {
    pub fn start(shared: Arc<Shared>) -> Self {
        let listener = listen((Ipv4Addr::LOCALHOST, 0).into()).expect("a free port");
        let address = listener.local_addr().expect("an address");
        let incarnation = watch::Sender::new(0);
        let listening = watch::Sender::new(true);
        let state = Arc::new(State {
            shared,
            incarnation,
            listening,
            of_others: Mutex::default(),
        });
        tokio::spawn(state.clone().run(listener, address));
        FaultyServer { address, state }
    }

    /// Waits until somebody listens at its address.
    pub async fn wait_until_listening(&self) {
        let mut listening = self.state.listening.subscribe();
        listening
            .wait_for(|listening| *listening)
            .await
            .expect("open");
    }

    /// Waits until what has been sent has been read.
    pub async fn wait_until_read(&self) {
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
            // For a moment nobody listens.
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
            told: Vec::new(),
            held: None,
        };
        tokio::select! {
            _ = connection.run() => {}
            _ = incarnation.changed() => {}
        }
        self.of_others.lock().append(&mut connection.told);
        let _ = SockRef::from(&connection.stream).set_linger(Some(Duration::ZERO));
    }
}

struct Connection {
    state: Arc<State>,
    stream: TcpStream,
    unread: BytesMut,
    /// Answers given on this connection.
    told: Vec<Frame>,
    held: Option<Frame>,
}

impl Connection {
    /// Serves until the connection is to end; then there is nothing.
    async fn run(&mut self) -> Option<()> {
        loop {
            let request = self.next().await?;
            let body = String::from_utf8_lossy(&request.body).into_owned();
            let shared = self.state.shared.clone();
            let deed = DEEDS[shared.below(DEEDS.len() as u64) as usize];
            {
                let mut oracle = shared.oracle.lock();
                oracle.count(format!("server: {deed:?}"));
                oracle.arrives(&body, deed != Deed::Refuse);
            }
            let answer = frame(FrameKind::Response, request.number, response_to(&body));
            self.carry_out(deed, answer).await?;
        }
    }

    async fn carry_out(&mut self, deed: Deed, answer: Frame) -> Option<()> {
        let number = answer.number;
        match deed {
            Deed::Answer => {}
            Deed::AnswerTwice => self.write(&answer).await?,
            Deed::AnswerLater => {
                let before = self.held.replace(answer);
                return match before {
                    Some(before) => self.tell(before).await,
                    None => Some(()),
                };
            }
            Deed::EarlierAnswerFirst => self.repeat(self.told.last().cloned()).await?,
            Deed::AnswerOfAnotherConnection => {
                let of_others = self.state.of_others.lock().clone();
                for other in of_others {
                    self.write(&other).await?;
                }
            }
            Deed::UnknownNumber => {
                self.write(&frame(
                    FrameKind::Response,
                    number + 1_000_000,
                    "of nobody".to_owned(),
                ))
                .await?;
            }
            Deed::OtherKind => {
                self.write(&frame(FrameKind::OneWay, number, "one way".to_owned()))
                    .await?;
                self.write(&frame(FrameKind::Request, number, "a request".to_owned()))
                    .await?;
            }
            Deed::Refuse => {
                return self
                    .write(&frame(FrameKind::Refusal, number, String::new()))
                    .await;
            }
            Deed::CutInOrder | Deed::CutByReset => return self.cut(&answer, deed).await,
            Deed::Garbage => {
                self.stream
                    .write_all(&[12, 0, 0, 0, 99, 2, 40, 1, 0, 0, 0, 0, 0, 0, 0, 7])
                    .await
                    .ok()?;
            }
            Deed::Reset => return None,
            Deed::Silence => return Some(()),
            Deed::Restart => {
                self.state
                    .incarnation
                    .send_modify(|incarnation| *incarnation += 1);
                return None;
            }
        }
        self.tell(answer).await?;
        let held = self.held.take();
        self.repeat(held).await
    }

    async fn tell(&mut self, answer: Frame) -> Option<()> {
        self.write(&answer).await?;
        self.told.push(answer);
        Some(())
    }

    async fn repeat(&mut self, answer: Option<Frame>) -> Option<()> {
        match answer {
            Some(answer) => self.tell(answer).await,
            None => Some(()),
        }
    }

    /// Writes a part of the answer, which may be none of it, and ends.
    async fn cut(&mut self, answer: &Frame, deed: Deed) -> Option<()> {
        let mut bytes = BytesMut::new();
        answer.encode(&mut bytes);
        let length = self.state.shared.below(bytes.len() as u64) as usize;
        self.stream.write_all(&bytes[..length]).await.ok()?;
        if deed == Deed::CutInOrder {
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

fn frame(kind: FrameKind, number: u64, body: String) -> Frame {
    Frame {
        kind,
        service: SERVICE,
        number,
        body: Bytes::from(body),
    }
}
