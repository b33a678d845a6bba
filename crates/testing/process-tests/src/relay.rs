//! The network between zones. The relay forwards all datagrams and connections between zones without interpreting
//! their bytes. It has one link for each direction between two zones.
//!
//! A partitioned link drops datagrams. It delays the bytes of connections until it is repaired, as TCP does when
//! packets are lost. The relay accepts a connection that is opened during the partition but forwards nothing, since a
//! user-space program cannot hold back the SYN. Connections can also be reset, at both ends.

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

/// Maximum number of bytes of a connection that are read at once.
const STREAM_BUFFER_BYTES: usize = 16 * 1024;
/// Maximum length of a datagram in bytes; longer ones are truncated.
const MAX_DATAGRAM_BYTES: usize = 2048;

/// Condition of a link, which is one direction between two zones.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LinkCondition {
    /// Whether the link drops datagrams and delays the bytes of connections.
    pub is_partitioned: bool,
    /// Share of datagrams that are lost, 0 to 1.
    pub loss: f64,
}

/// The two zones of a link.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ZonePair {
    /// Zone of the senders, or of the clients that open connections.
    pub from: usize,
    /// Zone of the receivers, or of the servers.
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

/// Forwards datagrams and connections between zones, subject to the condition of each link. Clones share the links.
#[derive(Clone)]
pub struct Relay(Rc<Inner>);

struct Inner {
    zones: usize,
    links: Vec<Link>,
    random: RefCell<Pcg64Mcg>,
}

impl Relay {
    /// Creates a relay between `zones` zones, without partitions and losses. `seed` determines which datagrams lossy
    /// links drop.
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

    /// Applies `change` to the condition of the link from one zone to another.
    pub fn change(&self, from: usize, to: usize, change: impl FnOnce(&mut LinkCondition)) {
        let link = self.link(ZonePair { from, to });
        let mut condition = link.condition.get();
        change(&mut condition);
        link.condition.set(condition);
        link.changed.notify_waiters();
    }

    /// Resets the open connections that clients in `from` have opened to servers in `to`.
    pub fn reset(&self, from: usize, to: usize) {
        self.link(ZonePair { from, to }).reset.notify_waiters();
    }

    /// Forwards connections that clients open to `listen` in the zone `zones.from` to the address `to` in the zone
    /// `zones.to`. Returns the bound address, whose port is assigned by the kernel if that of `listen` is 0.
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
        // If the server refuses the connection, the client's connection is closed.
        let Ok(mut server) = TcpStream::connect(to).await else {
            return;
        };
        let _ = (client.set_nodelay(true), server.set_nodelay(true));
        let reset = self.link(zones).reset.notified();
        let (client_read, client_write) = client.split();
        let (server_read, server_write) = server.split();
        // When one direction ends, both connections are closed, as on a reset. An orderly end of stream has been
        // forwarded by then.
        let is_reset = tokio::select! {
            () = reset => true,
            () = self.forward(client_read, server_write, zones) => false,
            () = self.forward(server_read, client_write, zones.reversed()) => false,
        };
        if is_reset {
            // If the option cannot be set, the connection is closed without a reset.
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

    /// Forwards datagrams received on `from` to the address `to`. They are sent through `sender`, whose address the
    /// receiver sees as the source.
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
                // A failed delivery of an earlier datagram may be reported as an error here; it is ignored.
                if let Ok((length, _)) = from.recv_from(&mut buffer).await {
                    relay.relay_datagram(&buffer[..length], &sender, to, zones);
                }
            }
        });
    }

    fn relay_datagram(&self, bytes: &[u8], sender: &UdpSocket, to: SocketAddr, zones: ZonePair) {
        let condition = self.condition(zones);
        if !condition.is_partitioned && !self.is_lost(condition.loss) {
            // A datagram that cannot be sent at once is lost, as in a real network.
            let _ = sender.try_send_to(bytes, to);
        }
    }

    fn is_lost(&self, share: f64) -> bool {
        share > 0.0 && self.0.random.borrow_mut().random_bool(share.min(1.0))
    }
}
