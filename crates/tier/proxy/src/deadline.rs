//! Time of the process, and waits with an end.

use std::future::Future;
use std::time::Duration;
use tokio::time::Instant;

/// Seconds since the process started, as the decisions want them.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Instant,
}

impl Clock {
    /// A clock that starts now.
    pub fn start() -> Self {
        Clock {
            start: Instant::now(),
        }
    }

    /// Seconds until `instant`.
    pub fn seconds_at(&self, instant: Instant) -> f64 {
        instant.saturating_duration_since(self.start).as_secs_f64()
    }

    /// Seconds until now.
    pub fn now(&self) -> f64 {
        self.seconds_at(Instant::now())
    }

    /// The instant that lies so many seconds after the start.
    pub fn instant(&self, seconds: f64) -> Instant {
        self.start
            + Duration::try_from_secs_f64(seconds.max(0.0)).unwrap_or(Duration::from_secs(86_400))
    }
}

/// The result of `future`, or nothing if it takes longer.
pub async fn within<F: Future>(time: Duration, future: F) -> Option<F::Output> {
    tokio::time::timeout(time, future).await.ok()
}
