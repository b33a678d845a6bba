//! The operator: sends a configuration until it is accepted or rejected, and reads the one in force.

use crate::error::{ErrorStatusSnafu, RequestSnafu, TierError, TimedOutSnafu};
use reqwest::StatusCode;
use snafu::ResultExt;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// How long one call may take.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);
/// Pause before the next attempt, which goes to the next machine.
const RETRY_DELAY: Duration = Duration::from_millis(50);

/// An operator that knows the control addresses of the core machines.
pub struct Operator {
    control: Vec<SocketAddr>,
    client: reqwest::Client,
}

impl Operator {
    /// An operator of these core machines.
    pub fn new(control: Vec<SocketAddr>) -> Self {
        Operator {
            control,
            client: reqwest::Client::new(),
        }
    }

    /// Sends a configuration built on version `base` until it gets a final answer, or for as long as `timeout`.
    pub async fn put(
        &self,
        base: u64,
        body: &str,
        timeout: Duration,
    ) -> Result<StatusCode, TierError> {
        let end = Instant::now() + timeout;
        for control in self.control.iter().cycle() {
            let call = self
                .client
                .put(format!("http://{control}/config"))
                .header("if-match", base.to_string())
                .header("content-type", "application/json")
                .body(body.to_owned())
                .timeout(CALL_TIMEOUT);
            if let Ok(response) = call.send().await
                && (response.status().is_success() || is_final(response.status()))
            {
                return Ok(response.status());
            }
            if Instant::now() > end {
                break;
            }
            sleep(RETRY_DELAY).await;
        }
        TimedOutSnafu {
            what: "an answer to a configuration",
            seconds: timeout.as_secs(),
        }
        .fail()
    }

    /// The configuration in force, as the core machine at this address reports it.
    pub async fn get(&self, control: SocketAddr) -> Result<String, TierError> {
        let what = || format!("GET /config of {control}");
        let call = self
            .client
            .get(format!("http://{control}/config"))
            .timeout(CALL_TIMEOUT);
        let response = call
            .send()
            .await
            .with_context(|_| RequestSnafu { what: what() })?;
        let status = response.status();
        if !status.is_success() {
            return ErrorStatusSnafu {
                what: what(),
                status: status.as_u16(),
            }
            .fail();
        }
        response
            .text()
            .await
            .with_context(|_| RequestSnafu { what: what() })
    }
}

/// Whether a rejection is final: another attempt would get the same answer.
fn is_final(status: StatusCode) -> bool {
    matches!(status.as_u16(), 400 | 409 | 412 | 413 | 422)
}
