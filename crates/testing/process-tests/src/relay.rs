//! The relay: stands for the network between zones. Owns the ways, one for each direction between two zones,
//! and all that passes; must never look into bytes.
//!
//! A way that is cut holds back what connections carry, as a network does whose packets are lost, and passes
//! it on when it is mended; datagrams on it are lost. A connection asked for meanwhile comes up at the relay
//! and is silent: its SYN cannot be held back from here. Connections may also be reset, at both ends.

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::cell::{Cell, RefCell};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream, UdpSocket};
use tokio::sync::Notify;
use tokio::task::spawn_local;

/// How one direction between two zones fares. Shares are of datagrams.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Fares {
    pub cut: bool,
    pub lost: f64,
    pub doubled: f64,
    /// Seconds on the way, and by how much more at most, drawn anew for each datagram so that they overtake
    /// each other.
    pub delay: f64,
    pub jitter: f64,
}

struct Way {
    fares: Cell<Fares>,
    changed: Notify,
    reset: Notify,
}

#[derive(Clone)]
pub struct Relay(Rc<Inner>);

struct Inner {
    zones: usize,
    ways: Vec<Way>,
    chance: RefCell<Pcg64Mcg>,
}

impl Relay {
    pub fn new(zones: usize, seed: u64) -> Relay {
        let way = |_| Way {
            fares: Cell::default(),
            changed: Notify::new(),
            reset: Notify::new(),
        };
        let ways = (0..zones * zones).map(way).collect();
        Relay(Rc::new(Inner {
            zones,
            ways,
            chance: RefCell::new(Pcg64Mcg::seed_from_u64(seed)),
        }))
    }

    fn way(&self, from: usize, to: usize) -> &Way {
        &self.0.ways[from * self.0.zones + to]
    }

    pub fn is_cut(&self, from: usize, to: usize) -> bool {
        self.way(from, to).fares.get().cut
    }

    pub fn change(&self, from: usize, to: usize, change: impl FnOnce(&mut Fares)) {
        let way = self.way(from, to);
        let mut fares = way.fares.get();
        change(&mut fares);
        way.fares.set(fares);
        way.changed.notify_waiters();
    }

    /// Resets the connections that were made from one zone to another and are up.
    pub fn reset(&self, from: usize, to: usize) {
        self.way(from, to).reset.notify_waiters();
    }

    /// Passes on connections from one zone that are made to `listen`, to `to` in another. Gives the address
    /// that it listens at.
    pub async fn connections(
        &self,
        listen: SocketAddr,
        to: SocketAddr,
        zones: (usize, usize),
    ) -> io::Result<SocketAddr> {
        let listener = TcpListener::bind(listen).await?;
        let at = listener.local_addr()?;
        let relay = self.clone();
        spawn_local(async move {
            while let Ok((near, _)) = listener.accept().await {
                spawn_local(relay.clone().connection(near, to, zones));
            }
        });
        Ok(at)
    }

    async fn connection(self, mut near: TcpStream, to: SocketAddr, (from, into): (usize, usize)) {
        self.open(from, into).await;
        // Refused there: the drop of this one tells it.
        let Ok(mut far) = TcpStream::connect(to).await else {
            return;
        };
        let _ = (near.set_nodelay(true), far.set_nodelay(true));
        let reset = self.way(from, into).reset.notified();
        let ((near_in, near_out), (far_in, far_out)) = (near.split(), far.split());
        // One side's end ends both, as a reset does; an orderly end has been passed on by then.
        let is_reset = tokio::select! {
            () = reset => true,
            () = self.pump(near_in, far_out, (from, into)) => false,
            () = self.pump(far_in, near_out, (into, from)) => false,
        };
        if is_reset {
            // One that cannot be told so closes as ever.
            let _ = (near.set_zero_linger(), far.set_zero_linger());
        }
    }

    async fn pump(
        &self,
        mut from: impl AsyncRead + Unpin,
        mut to: impl AsyncWrite + Unpin,
        zones: (usize, usize),
    ) {
        let mut bytes = vec![0; 16 * 1024];
        loop {
            let n = match from.read(&mut bytes).await {
                Ok(n) => n,
                Err(_) => return,
            };
            self.open(zones.0, zones.1).await;
            let delay = self.way(zones.0, zones.1).fares.get().delay;
            if delay > 0.0 {
                tokio::time::sleep(Duration::from_secs_f64(delay)).await;
            }
            if n == 0 {
                let _ = to.shutdown().await;
                return;
            }
            if to.write_all(&bytes[..n]).await.is_err() {
                return;
            }
        }
    }

    /// Waits while the way is cut.
    async fn open(&self, from: usize, to: usize) {
        let way = self.way(from, to);
        loop {
            let changed = way.changed.notified();
            if !way.fares.get().cut {
                return;
            }
            changed.await;
        }
    }

    /// Passes datagrams that come to `from` on, out of `as_of`, to `to`.
    pub fn datagrams(
        &self,
        from: Rc<UdpSocket>,
        as_of: Rc<UdpSocket>,
        to: SocketAddr,
        zones: (usize, usize),
    ) {
        let relay = self.clone();
        spawn_local(async move {
            let mut bytes = vec![0; 2048];
            loop {
                // An unreachable receiver is told as an error of the next call.
                let Ok((n, _)) = from.recv_from(&mut bytes).await else {
                    continue;
                };
                let fares = relay.way(zones.0, zones.1).fares.get();
                if fares.cut || relay.happens(fares.lost) {
                    continue;
                }
                for _ in 0..if relay.happens(fares.doubled) { 2 } else { 1 } {
                    let (out, bytes) = (as_of.clone(), bytes[..n].to_vec());
                    let delay =
                        fares.delay + fares.jitter * relay.0.chance.borrow_mut().random::<f64>();
                    if delay <= 0.0 {
                        let _ = out.try_send_to(&bytes, to);
                        continue;
                    }
                    spawn_local(async move {
                        tokio::time::sleep(Duration::from_secs_f64(delay)).await;
                        let _ = out.try_send_to(&bytes, to);
                    });
                }
            }
        });
    }

    fn happens(&self, share: f64) -> bool {
        share > 0.0 && self.0.chance.borrow_mut().random_bool(share.min(1.0))
    }
}
