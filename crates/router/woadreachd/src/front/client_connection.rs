//! A client's connection, and what has been read of it.

use woadreach_runtime::{Net, Stream};

/// A client's connection.
pub(super) struct ClientConnection<N: Net> {
    pub(super) stream: N::Stream,
    /// What has been read and not used yet.
    pub(super) bytes: Vec<u8>,
    /// When the kernel had the last of it, in Unix seconds.
    pub(super) received_at: f64,
}

impl<N: Net> ClientConnection<N> {
    pub(super) async fn read(&mut self, net: &N) -> std::io::Result<usize> {
        let n = self.stream.read(&mut self.bytes).await;
        self.record_receipt(net);
        n
    }

    /// Records when the kernel had what was read last.
    ///
    /// A request's time counts from then: one that has waited to be accepted or read, in a flood or while the
    /// process was held up, is not worked on after its client's time.
    pub(super) fn record_receipt(&mut self, net: &N) {
        self.received_at = net.now() - self.stream.receive_delay();
    }
}
