//! Operator of the tier: sends configurations to the core machines and reads the active one.

use crate::error::{ErrorStatusSnafu, RequestSnafu, TierError, TimedOutSnafu};
use reqwest::StatusCode;
use snafu::ResultExt;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// Time-out of one request.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);
/// Delay between two attempts. Each attempt uses the next core machine.
const RETRY_DELAY: Duration = Duration::from_millis(50);

/// Client of the core machines' control interface.
pub struct Operator {
    control: Vec<SocketAddr>,
    client: reqwest::Client,
}

impl Operator {
    /// Creates an operator that uses the core machines at these control addresses.
    pub fn new(control: Vec<SocketAddr>) -> Self {
        Operator {
            control,
            client: reqwest::Client::new(),
        }
    }

    /// Sends a configuration based on version `base` and returns the status. Retries on the next core machine
    /// until it is accepted or finally rejected, or fails after `timeout`.
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
            what: "final response to PUT /config",
            seconds: timeout.as_secs(),
        }
        .fail()
    }

    /// Reads the active configuration from the core machine at this address.
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

/// Whether a retry would get the same rejection.
fn is_final(status: StatusCode) -> bool {
    matches!(status.as_u16(), 400 | 409 | 412 | 413 | 422)
}
