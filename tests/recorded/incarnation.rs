//! Incarnations of a process in one test: all tasks of one end before the next begins.
//!
//! A crate's tests take this in with `#[path = "../../../../tests/recorded/incarnation.rs"] mod incarnation;`.

use std::future::Future;
use std::time::Duration;

/// How long an incarnation may take.
const TIMEOUT: Duration = Duration::from_secs(20);

/// Runs one incarnation of a process; all its tasks are dropped at its end.
pub(crate) fn run_incarnation<F: Future>(incarnation: F) -> F::Output {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    runtime.block_on(async {
        tokio::time::timeout(TIMEOUT, incarnation)
            .await
            .expect("in time")
    })
}
