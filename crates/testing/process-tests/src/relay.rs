//! The network between zones. All datagrams and connections between zones pass through the relay, which has a
//! link for each direction between two zones and doesn't interpret the bytes.
//!
//! A partitioned link holds back what connections carry, as a network does whose packets are lost, and passes
//! it on when it is repaired; its datagrams are lost. A connection that is opened meanwhile is accepted by the
//! relay and then silent, since its SYN can't be held back from here. Connections can also be reset, at both
//! ends.

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::cell::{Cell, RefCell};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream, UdpSocket};
use tokio::sync::Notify;
use tokio::task::spawn_local;

/// Bytes of a connection that are read at once.
const STREAM_BUFFER_BYTES: usize = 16 * 1024;
/// Longer datagrams are truncated.
const MAX_DATAGRAM_BYTES: usize = 2048;

/// The condition of a link: one direction between two zones.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LinkCondition {
    /// Nothing passes.
    pub is_partitioned: bool,
    /// Share of the datagrams that are lost.
    pub loss: f64,
}

/// The two zones of a link.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ZonePair {
    /// The zone of the senders, or of those who open connections.
    pub from: usize,
    /// The zone of the receivers.
    pub to: usize,
}

impl ZonePair {
    fn reversed(self) -> ZonePair {
        ZonePair {
            from: self.to,
            to: self.from,
        }
    }
}

struct Link {
    condition: Cell<LinkCondition>,
    changed: Notify,
    reset: Notify,
}

/// Passes on what is sent between zones, under the condition of each link. Clones share the links.
#[derive(Clone)]
pub struct Relay(Rc<Inner>);

struct Inner {
    zones: usize,
    links: Vec<Link>,
    random: RefCell<Pcg64Mcg>,
}

impl Relay {
    /// A relay between this number of zones, all of whose links are sound.
    pub fn new(zones: usize, seed: u64) -> Relay {
        let link = |_| Link {
            condition: Cell::default(),
            changed: Notify::new(),
            reset: Notify::new(),
        };
        Relay(Rc::new(Inner {
            zones,
            links: (0..zones * zones).map(link).collect(),
            random: RefCell::new(Pcg64Mcg::seed_from_u64(seed)),
        }))
    }

    fn link(&self, zones: ZonePair) -> &Link {
        &self.0.links[zones.from * self.0.zones + zones.to]
    }

    /// Whether the link from one zone to another is partitioned.
    pub fn is_partitioned(&self, from: usize, to: usize) -> bool {
        self.condition(ZonePair { from, to }).is_partitioned
    }

    fn condition(&self, zones: ZonePair) -> LinkCondition {
        self.link(zones).condition.get()
    }

    /// Changes the condition of the link from one zone to another.
    pub fn change(&self, from: usize, to: usize, change: impl FnOnce(&mut LinkCondition)) {
        let link = self.link(ZonePair { from, to });
        let mut condition = link.condition.get();
        change(&mut condition);
        link.condition.set(condition);
        link.changed.notify_waiters();
    }

    /// Resets the open connections that were made from one zone to another.
    pub fn reset(&self, from: usize, to: usize) {
        self.link(ZonePair { from, to }).reset.notify_waiters();
    }

    /// Passes on connections that are made to `listen` in one zone, to `to` in another. Returns the address
    /// that it listens at.
    pub async fn relay_connections(
        &self,
        listen: SocketAddr,
        to: SocketAddr,
        zones: ZonePair,
    ) -> io::Result<SocketAddr> {
        let listener = TcpListener::bind(listen).await?;
        let address = listener.local_addr()?;
        let relay = self.clone();
        spawn_local(async move {
            while let Ok((client, _)) = listener.accept().await {
                spawn_local(relay.clone().relay_connection(client, to, zones));
            }
        });
        Ok(address)
    }

    async fn relay_connection(self, mut client: TcpStream, to: SocketAddr, zones: ZonePair) {
        self.wait_until_repaired(zones).await;
        // If the server refuses, the client sees its connection closed.
        let Ok(mut server) = TcpStream::connect(to).await else {
            return;
        };
        let _ = (client.set_nodelay(true), server.set_nodelay(true));
        let reset = self.link(zones).reset.notified();
        let (client_read, client_write) = client.split();
        let (server_read, server_write) = server.split();
        // The end of one side ends both, as a reset does; an orderly end has been passed on by then.
        let is_reset = tokio::select! {
            () = reset => true,
            () = self.forward(client_read, server_write, zones) => false,
            () = self.forward(server_read, client_write, zones.reversed()) => false,
        };
        if is_reset {
            // Where the option can't be set the connection is closed without a reset.
            let _ = (client.set_zero_linger(), server.set_zero_linger());
        }
    }

    async fn forward(
        &self,
        mut from: impl AsyncRead + Unpin,
        mut to: impl AsyncWrite + Unpin,
        zones: ZonePair,
    ) {
        let mut buffer = vec![0; STREAM_BUFFER_BYTES];
        loop {
            let Ok(length) = from.read(&mut buffer).await else {
                return;
            };
            self.wait_until_repaired(zones).await;
            if length == 0 {
                let _ = to.shutdown().await;
                return;
            }
            if to.write_all(&buffer[..length]).await.is_err() {
                return;
            }
        }
    }

    /// Waits while the link is partitioned.
    async fn wait_until_repaired(&self, zones: ZonePair) {
        let link = self.link(zones);
        loop {
            let changed = link.changed.notified();
            if !link.condition.get().is_partitioned {
                return;
            }
            changed.await;
        }
    }

    /// Passes on datagrams that come to `from`; they are sent by `sender`, whose address the receiver sees,
    /// to `to`.
    pub fn relay_datagrams(
        &self,
        from: Rc<UdpSocket>,
        sender: Rc<UdpSocket>,
        to: SocketAddr,
        zones: ZonePair,
    ) {
        let relay = self.clone();
        spawn_local(async move {
            let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
            loop {
                // An unreachable receiver of the last datagram shows as an error here.
                if let Ok((length, _)) = from.recv_from(&mut buffer).await {
                    relay.relay_datagram(&buffer[..length], &sender, to, zones);
                }
            }
        });
    }

    fn relay_datagram(&self, bytes: &[u8], sender: &UdpSocket, to: SocketAddr, zones: ZonePair) {
        let condition = self.condition(zones);
        if !condition.is_partitioned && !self.happens(condition.loss) {
            // One that can't be sent at once is lost, as in a network.
            let _ = sender.try_send_to(bytes, to);
        }
    }

    fn happens(&self, share: f64) -> bool {
        share > 0.0 && self.0.random.borrow_mut().random_bool(share.min(1.0))
    }
}
