//! A runtime whose tasks can all be cancelled at once, which models a killed process.

use std::future::Future;
use std::io;
use std::net::SocketAddr;
use tokio::sync::watch;
use woadreach_runtime::{Net, TaskHandle, Tokio, TokioDatagrams, TokioListener, TokioStream};

/// Runtime of one fake replica.
#[derive(Clone)]
pub(crate) struct KillableRuntime {
    net: Tokio,
    is_killed: watch::Sender<bool>,
}

impl KillableRuntime {
    pub(crate) fn new(net: Tokio) -> KillableRuntime {
        KillableRuntime {
            net,
            is_killed: watch::channel(false).0,
        }
    }

    /// Cancels all tasks that were spawned on this runtime or its clones.
    pub(crate) fn kill(&self) {
        let _ = self.is_killed.send_replace(true);
    }
}

impl Net for KillableRuntime {
    type Stream = TokioStream;
    type Listener = TokioListener;
    type Datagrams = TokioDatagrams;
    type TaskHandle = TaskHandle;

    fn now(&self) -> f64 {
        self.net.now()
    }

    fn sleep_until(&self, time: f64) -> impl Future<Output = ()> {
        self.net.sleep_until(time)
    }

    fn spawn(&self, task: impl Future<Output = ()> + 'static) -> Self::TaskHandle {
        let mut is_killed = self.is_killed.subscribe();
        self.net.spawn(async move {
            tokio::select! {
                biased;
                _ = is_killed.wait_for(|is_killed| *is_killed) => {}
                () = task => {}
            }
        })
    }

    fn yield_now(&self) -> impl Future<Output = ()> {
        self.net.yield_now()
    }

    async fn lookup(&self, name: &str) -> io::Result<SocketAddr> {
        self.net.lookup(name).await
    }

    async fn connect(&self, to: SocketAddr) -> io::Result<TokioStream> {
        self.net.connect(to).await
    }

    fn listen(&self, at: SocketAddr) -> io::Result<TokioListener> {
        self.net.listen(at)
    }

    fn datagrams(&self, at: SocketAddr) -> io::Result<TokioDatagrams> {
        self.net.datagrams(at)
    }
}
