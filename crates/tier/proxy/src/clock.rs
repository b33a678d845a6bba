//! The process's clock, and waits with a time-out.

use std::future::Future;
use std::time::Duration;
use tokio::time::Instant;

/// Where [`Clock::instant`] ends for numbers that no `Duration` can have.
const FAR_FUTURE: Duration = Duration::from_secs(86_400);

/// Seconds since the process started, the unit of the scheduler.
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

    /// Seconds from the start to `instant`.
    pub fn seconds_at(&self, instant: Instant) -> f64 {
        instant.saturating_duration_since(self.start).as_secs_f64()
    }

    /// Seconds from the start to now.
    pub fn now(&self) -> f64 {
        self.seconds_at(Instant::now())
    }

    /// The instant that is `seconds` after the start; a day after it if no `Duration` can have that number.
    pub fn instant(&self, seconds: f64) -> Instant {
        self.start + Duration::try_from_secs_f64(seconds.max(0.0)).unwrap_or(FAR_FUTURE)
    }
}

/// The result of `future`, or `None` if it takes longer than `timeout`.
pub async fn within<F: Future>(timeout: Duration, future: F) -> Option<F::Output> {
    tokio::time::timeout(timeout, future).await.ok()
}
