//! Phases of a process, in the order in which they follow each other.

/// What the process serves at a time.
#[derive(Clone, Copy, PartialEq, PartialOrd)]
pub(crate) enum Phase {
    /// All requests.
    Serving,
    /// SIGTERM has been received: the process is not ready any more, but serves all requests.
    Draining,
    /// No new connections; idle ones are closed, others with their answer.
    Closing,
    /// Searches in flight are answered as errored.
    Ending,
}
