//! Responses to a client's connection that times out.

use hyper::rt::{Read, ReadBuf, Write};
use std::future::poll_fn;
use std::pin::Pin;
use std::sync::Arc;
use std::task::Poll;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use woadreach_config::ClientLimits;
use woadreach_proxy::client::connection::{ConnectionMonitor, ConnectionTimeout, MonitoredSocket};
use woadreach_proxy::clock::Clock;

struct Scene {
    clock: Clock,
    monitor: Arc<ConnectionMonitor>,
    socket: MonitoredSocket,
    client: TcpStream,
}

async fn scene() -> Scene {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let client = TcpStream::connect(listener.local_addr().unwrap())
        .await
        .unwrap();
    let (accepted, _) = listener.accept().await.unwrap();
    let clock = Clock::start();
    let monitor = Arc::new(ConnectionMonitor::new(clock));
    let socket = MonitoredSocket::new(accepted, monitor.clone());
    Scene {
        clock,
        monitor,
        socket,
        client,
    }
}

impl Scene {
    /// Reads a part of a head that the client sends.
    async fn read_part_of_a_head(&mut self) {
        self.client.write_all(b"GET / HT").await.unwrap();
        let mut bytes = [0; 64];
        let mut buffer = ReadBuf::new(&mut bytes);
        poll_fn(|context| Pin::new(&mut self.socket).poll_read(context, buffer.unfilled()))
            .await
            .unwrap();
    }

    /// Writes until the client's side takes no more.
    async fn write_until_blocked(&mut self) {
        let bytes = [b'x'; 65536];
        poll_fn(|context| {
            while Pin::new(&mut self.socket)
                .poll_write(context, &bytes)
                .is_ready()
            {}
            Poll::Ready(())
        })
        .await;
    }

    /// Reads all that has been written.
    async fn read_all(&mut self) {
        let mut bytes = vec![0; 1 << 20];
        while poll_fn(
            |context| match Pin::new(&mut self.socket).poll_write(context, b"y") {
                Poll::Ready(_) => Poll::Ready(false),
                Poll::Pending => Poll::Ready(true),
            },
        )
        .await
        {
            assert!(self.client.read(&mut bytes).await.unwrap() > 0);
        }
    }

    async fn overdue_later(&self) -> ConnectionTimeout {
        let limits = ClientLimits::default();
        self.monitor.check_timeouts(
            self.clock.now() + limits.header_timeout.as_secs_f64() + 0.1,
            &limits,
            false,
        );
        self.monitor.timed_out().await
    }
}

#[tokio::test]
async fn a_slow_head_behind_an_incompletely_written_response_gets_no_response() {
    let mut scene = scene().await;
    scene.write_until_blocked().await;
    scene.read_part_of_a_head().await;
    // An answer now would stand in the middle of the one before.
    assert_eq!(scene.overdue_later().await, ConnectionTimeout::Stalled);
}

#[tokio::test]
async fn a_slow_head_behind_a_complete_response_is_answered() {
    let mut scene = scene().await;
    scene.write_until_blocked().await;
    scene.read_all().await;
    scene.read_part_of_a_head().await;
    assert_eq!(scene.overdue_later().await, ConnectionTimeout::RequestHead);
}
