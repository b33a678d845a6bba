//! The operator: sends configurations until one is taken, and reads back what is in force.

use crate::error::{AnsweredSnafu, RequestSnafu, TierError, TooLateSnafu};
use reqwest::StatusCode;
use snafu::ResultExt;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// How long one call may take.
const CALL: Duration = Duration::from_secs(1);
/// Pause before the next machine is asked.
const PAUSE: Duration = Duration::from_millis(50);

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

    /// Sends a configuration built on version `base` until it has a final answer, and gives up after `patience`.
    pub async fn put(
        &self,
        base: u64,
        body: &str,
        patience: Duration,
    ) -> Result<StatusCode, TierError> {
        let end = Instant::now() + patience;
        for control in self.control.iter().cycle() {
            let call = self
                .client
                .put(format!("http://{control}/config"))
                .header("if-match", base.to_string());
            let call = call
                .header("content-type", "application/json")
                .body(body.to_owned());
            if let Ok(response) = call.timeout(CALL).send().await
                && (response.status().is_success() || is_final(response.status()))
            {
                return Ok(response.status());
            }
            if Instant::now() > end {
                break;
            }
            sleep(PAUSE).await;
        }
        TooLateSnafu {
            what: "an answer to a configuration",
            seconds: patience.as_secs(),
        }
        .fail()
    }

    /// The configuration in force, as one of the core machines reports it.
    pub async fn get(&self, control: SocketAddr) -> Result<String, TierError> {
        let what = || format!("GET /config of {control}");
        let call = self
            .client
            .get(format!("http://{control}/config"))
            .timeout(CALL);
        let response = call
            .send()
            .await
            .with_context(|_| RequestSnafu { what: what() })?;
        let status = response.status();
        if !status.is_success() {
            return AnsweredSnafu {
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

fn is_final(status: StatusCode) -> bool {
    matches!(status.as_u16(), 400 | 409 | 412 | 413 | 422)
}
