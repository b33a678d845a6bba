//! What a request asks for, by its method, path and headers. Health checks are answered in the front; only a
//! search that is valid in every respect becomes an [`Arrival`] for the core.

use super::Front;
use super::refusal::Refusal;
use super::search_body::{SearchBody, parse_search_body};
use crate::events::{Answer, Arrival};
use crate::http::Head;
use crate::phase::Phase;
use tokio::sync::oneshot;
use woadreach_routing::api::{QueryTypeId, SearchId, TenantId};
use woadreach_runtime::Net;

/// Longest trace id, in bytes.
const MAX_TRACE_LENGTH: usize = 128;
/// Longer than any client can mean to wait, in seconds.
const MAX_CLIENT_TIMEOUT: f64 = 86_400.0;

/// What a request asks for.
pub(super) enum RequestTarget {
    /// The health of a process that is healthy.
    Healthy,
    Search {
        arrival: Box<Arrival>,
        reply: oneshot::Receiver<Answer>,
    },
}

impl<N: Net> Front<N> {
    /// What a request asks for; `received_at`: when the kernel had it, in Unix seconds.
    pub(super) fn request_target(
        &self,
        head: &Head,
        content: &[u8],
        received_at: f64,
    ) -> Result<RequestTarget, Refusal> {
        match head.path() {
            "/health/live" => check_method(head, "GET").map(|()| RequestTarget::Healthy),
            "/health/ready" => {
                check_method(head, "GET")?;
                if self.ready.get() && *self.phase.borrow() == Phase::Serving {
                    Ok(RequestTarget::Healthy)
                } else {
                    Err(Refusal::new(503, "not ready"))
                }
            }
            path => self.search(path, head, content, received_at),
        }
    }

    fn search(
        &self,
        path: &str,
        head: &Head,
        content: &[u8],
        received_at: f64,
    ) -> Result<RequestTarget, Refusal> {
        let name = path.trim_start_matches('/').split('/').next().unwrap_or("");
        let query_type = self.names.query_types.iter().position(|n| n == name);
        let query_type = query_type.ok_or_else(|| Refusal::new(404, "unknown path"))?;
        check_method(head, "POST")?;
        if head.header("x-qos").is_some_and(|q| q != name) {
            return Err(Refusal::new(400, "X-Qos and the path are at odds"));
        }
        let trace = trace_id(head)?;
        let client_timeout = client_timeout(head)?;
        let SearchBody { parts, text } = parse_search_body(content, self.names.shards)
            .map_err(|error| Refusal::new(400, error.to_string()))?;
        let (sender, reply) = oneshot::channel();
        let arrival = Box::new(Arrival {
            search: SearchId(self.new_number()),
            trace,
            query_type: QueryTypeId(query_type),
            tenant: self.tenant(head),
            received_at,
            client_deadline: received_at + client_timeout,
            marked_as_retry: self
                .names
                .marks_retries
                .then(|| head.header("x-second-try") == Some("1")),
            parts,
            text: text.into(),
            bytes: content.len(),
            reply: sender,
        });
        Ok(RequestTarget::Search { arrival, reply })
    }

    /// The tenant that the request names. One that the settings do not name has no share; where they name
    /// none, all are the first.
    fn tenant(&self, head: &Head) -> TenantId {
        let customer = head.header("x-customer").unwrap_or("");
        let tenant = self.names.tenants.iter().position(|n| n == customer);
        TenantId(tenant.unwrap_or(self.names.tenants.len()))
    }
}

fn check_method(head: &Head, method: &str) -> Result<(), Refusal> {
    if head.method() == method {
        Ok(())
    } else {
        Err(Refusal::new(405, method))
    }
}

/// The trace id, which stands in a line of fields separated by spaces on the wire to replicas.
fn trace_id(head: &Head) -> Result<String, Refusal> {
    let trace = head.header("x-trace-id").unwrap_or("");
    let graphic = trace.bytes().all(|b| b.is_ascii_graphic());
    if trace.is_empty() || trace.len() > MAX_TRACE_LENGTH || !graphic {
        return Err(Refusal::new(400, "missing or odd X-Trace-Id"));
    }
    Ok(trace.to_string())
}

/// How long the client waits, in seconds.
fn client_timeout(head: &Head) -> Result<f64, Refusal> {
    head.header("x-expires-in")
        .and_then(|v| v.parse::<f64>().ok())
        .filter(|seconds| *seconds > 0.0 && *seconds <= MAX_CLIENT_TIMEOUT)
        .ok_or_else(|| Refusal::new(400, "missing or odd X-Expires-In"))
}
