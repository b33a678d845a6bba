//! Threads of one purpose, whose processor time is told apart by their name.

use crate::error::{SystemSnafu, TierError};
use snafu::ResultExt;
use tokio::runtime::{Builder, EnterGuard, Runtime};

/// A runtime whose threads carry one name; it is shut down with this value.
pub struct Workers {
    name: &'static str,
    runtime: Option<Runtime>,
}

impl Workers {
    /// Starts threads under a name of 15 bytes at most, the most that the system keeps.
    pub fn start(name: &'static str, threads: usize) -> Result<Self, TierError> {
        let runtime = Builder::new_multi_thread()
            .worker_threads(threads)
            .thread_name(name)
            .enable_all()
            .build();
        let runtime = runtime.context(SystemSnafu {
            what: format!("threads {name}"),
        })?;
        Ok(Workers {
            name,
            runtime: Some(runtime),
        })
    }

    /// Tasks spawned while the guard lives run here.
    pub fn enter(&self) -> Option<EnterGuard<'_>> {
        self.runtime.as_ref().map(Runtime::enter)
    }

    /// Processor time of the threads, in seconds.
    pub fn cpu_seconds(&self) -> f64 {
        super::usage::of_threads(self.name)
    }
}

impl Drop for Workers {
    fn drop(&mut self) {
        if let Some(runtime) = self.runtime.take() {
            runtime.shutdown_background();
        }
    }
}
