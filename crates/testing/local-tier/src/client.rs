//! HTTP client of the tier. Sends plain requests and turns of a program (a conversation).

use crate::error::{RequestSnafu, TierError};
use reqwest::{Method, RequestBuilder};
use snafu::ResultExt;
use std::net::SocketAddr;
use std::time::Duration;

/// Time-out of a request, from sending it to the end of the response body.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(10);

/// Request for one turn of a program.
#[derive(Clone, Debug)]
pub struct TurnRequest {
    /// `Host` header, which selects the route together with `path`.
    pub host: String,
    /// Request path.
    pub path: String,
    /// Id of the turn, sent as `Request-Id`.
    pub request_id: String,
    /// Id of the program, sent as `Program` and as `Session`.
    pub program: String,
    /// Id of the turn that this turn continues; `None` for the first turn of a program.
    pub previous: Option<String>,
    /// Token budget of the whole program; `None` sends no `Budget` header.
    pub budget: Option<u64>,
    /// Maximum number of tokens that this turn generates.
    pub max_tokens: u64,
    /// Input that this turn adds to the conversation; sent as the request body.
    pub input: String,
}

/// Response to a request.
#[derive(Clone, Debug)]
pub struct TurnAnswer {
    /// HTTP status code of the response.
    pub status: u16,
    /// `Response-Signature` header, set by the replica; `None` in responses that the edge generates itself.
    pub signature: Option<String>,
    /// Complete response body; `None` if reading it failed.
    pub body: Option<String>,
}

/// Client that sends all its requests to one edge.
pub struct Client {
    edge: SocketAddr,
    client: reqwest::Client,
}

impl Client {
    /// Creates a client of the edge at this address.
    pub fn new(edge: SocketAddr) -> Self {
        Client {
            edge,
            client: reqwest::Client::new(),
        }
    }

    /// Sends a turn and reads the response to its end.
    pub async fn turn(&self, turn: &TurnRequest) -> Result<TurnAnswer, TierError> {
        let tokens = format!("{},{}", turn.input.len(), turn.max_tokens);
        let mut call = self
            .client
            .post(format!("http://{}{}", self.edge, turn.path))
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
        send_and_read(call.body(turn.input.clone())).await
    }

    /// Sends a `GET` request and reads the response to its end.
    pub async fn get(
        &self,
        host: &str,
        path: &str,
        request_id: &str,
    ) -> Result<TurnAnswer, TierError> {
        send_and_read(self.request(Method::GET, host, path, request_id, "2000")).await
    }

    /// Sends a `POST` request, whose body is the request id, and reads the response to its end.
    pub async fn post(
        &self,
        host: &str,
        path: &str,
        request_id: &str,
    ) -> Result<TurnAnswer, TierError> {
        let call = self.request(Method::POST, host, path, request_id, "3000");
        send_and_read(call.body(request_id.to_owned())).await
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
            .request(method, format!("http://{}{path}", self.edge))
            .header("host", host)
            .header("request-id", request_id)
            .header("timeout-ms", timeout_ms)
    }
}

async fn send_and_read(call: RequestBuilder) -> Result<TurnAnswer, TierError> {
    let response = call
        .timeout(ANSWER_TIMEOUT)
        .send()
        .await
        .context(RequestSnafu {
            what: "request to the tier",
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
