//! A client of the tier: plain requests and turns of programs.

use crate::error::{RequestSnafu, TierError};
use reqwest::{Method, RequestBuilder};
use snafu::ResultExt;
use std::net::SocketAddr;
use std::time::Duration;

/// How long a client waits for a complete answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(10);

/// One turn of a program.
#[derive(Clone, Debug)]
pub struct TurnRequest {
    /// The host of its route.
    pub host: String,
    /// The path of its route.
    pub path: String,
    /// The turn's id.
    pub request_id: String,
    /// The program's id.
    pub program: String,
    /// The id of the turn that it continues.
    pub previous: Option<String>,
    /// Tokens that all turns of the program may generate together.
    pub budget: Option<u64>,
    /// Tokens that this turn generates at most.
    pub max_tokens: u64,
    /// The input that is new in this turn.
    pub input: String,
}

/// The answer to a request.
#[derive(Clone, Debug)]
pub struct TurnAnswer {
    /// The status.
    pub status: u16,
    /// The header `Response-Signature`, by which a replica signs its answers; none in answers of the edge's own.
    pub signature: Option<String>,
    /// The body; none if it is incomplete.
    pub body: Option<String>,
}

/// A client of one edge.
pub struct Client {
    front: SocketAddr,
    client: reqwest::Client,
}

impl Client {
    /// A client that connects to `front`.
    pub fn new(front: SocketAddr) -> Self {
        Client {
            front,
            client: reqwest::Client::new(),
        }
    }

    /// Sends a turn and reads the complete answer.
    pub async fn turn(&self, turn: &TurnRequest) -> Result<TurnAnswer, TierError> {
        let tokens = format!("{},{}", turn.input.len(), turn.max_tokens);
        let mut call = self
            .client
            .post(format!("http://{}{}", self.front, turn.path))
            .header("host", &turn.host)
            .header("request-id", &turn.request_id)
            .header("program", &turn.program)
            .header("session", &turn.program)
            .header("model", "m")
            .header("timeout-ms", "5000")
            .header("finish-ms", "20000")
            .header("token-usage", tokens);
        if let Some(previous) = &turn.previous {
            call = call.header("previous", previous);
        }
        if let Some(budget) = turn.budget {
            call = call.header("budget", budget.to_string());
        }
        answer(call.body(turn.input.clone())).await
    }

    /// Sends a plain request and reads the complete answer.
    pub async fn get(
        &self,
        host: &str,
        path: &str,
        request_id: &str,
    ) -> Result<TurnAnswer, TierError> {
        answer(self.request(Method::GET, host, path, request_id, "2000")).await
    }

    /// Sends a request that may not be repeated and reads the complete answer.
    pub async fn post(
        &self,
        host: &str,
        path: &str,
        request_id: &str,
    ) -> Result<TurnAnswer, TierError> {
        let call = self.request(Method::POST, host, path, request_id, "3000");
        answer(call.body(request_id.to_owned())).await
    }

    fn request(
        &self,
        method: Method,
        host: &str,
        path: &str,
        request_id: &str,
        timeout_ms: &str,
    ) -> RequestBuilder {
        self.client
            .request(method, format!("http://{}{path}", self.front))
            .header("host", host)
            .header("request-id", request_id)
            .header("timeout-ms", timeout_ms)
    }
}

/// Sends a request and reads its answer.
async fn answer(call: RequestBuilder) -> Result<TurnAnswer, TierError> {
    let response = call
        .timeout(ANSWER_TIMEOUT)
        .send()
        .await
        .context(RequestSnafu {
            what: "a request to the tier",
        })?;
    let status = response.status().as_u16();
    let signature = response
        .headers()
        .get("response-signature")
        .and_then(|value| value.to_str().ok())
        .map(str::to_owned);
    Ok(TurnAnswer {
        status,
        signature,
        body: response.text().await.ok(),
    })
}
