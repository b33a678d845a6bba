//! The ends of a request, and the response that the client gets with each.

use super::RequestTask;
use crate::client::local_response::{text_response, unavailable_response};
use crate::client::response_body::ResponseBody;
use crate::client::response_sender::forwarded_response;
use crate::replica::attempt::ReplicaResponse;
use crate::replica::response_head::promises_not_executed;
use crate::request::state::RequestEnd;
use http::{Response, StatusCode};
use woadreach_scheduler::FailReason;

/// `Retry-After` of a 503 that the scheduler did not decide, in seconds.
pub(super) const RETRY_AFTER_LOCAL_REFUSAL: f64 = 0.2;

impl RequestTask {
    /// Forwards a replica's complete response; truncates the response if another has started.
    pub(super) fn forward(&mut self, response: ReplicaResponse, end: RequestEnd) -> RequestEnd {
        if !self.response.is_awaiting_head() {
            return self.abort_response();
        }
        self.response.send_response(forwarded_response(
            &response.head,
            ResponseBody::Full(Some(response.body)),
        ));
        self.end(end)
    }

    pub(super) fn refuse(&mut self, retry_after: f64) -> RequestEnd {
        self.end_with(RequestEnd::Refused, unavailable_response(retry_after))
    }

    pub(super) fn fail(&mut self, reason: FailReason) -> RequestEnd {
        if !self.response.is_awaiting_head() {
            return self.abort_response();
        }
        if reason == FailReason::ReplicaError
            && let Some(response) = self.last_failure.take_if(|response| {
                self.request.is_idempotent() || !promises_not_executed(response.head.status)
            })
        {
            return self.forward(response, RequestEnd::ReplicaFailure);
        }
        let end = match reason {
            FailReason::TimedOut => RequestEnd::TimedOut,
            FailReason::MayHaveRun | FailReason::ReplicaError => RequestEnd::MayHaveRun,
        };
        let response = match reason {
            FailReason::TimedOut => text_response(StatusCode::GATEWAY_TIMEOUT, "no answer in time"),
            _ => bad_gateway(),
        };
        self.end_with(end, response)
    }

    pub(super) fn end_disconnected(&mut self) -> RequestEnd {
        self.response.abort();
        self.end(RequestEnd::ClientDisconnected)
    }

    /// Ends with a local response, or with the one that the request's state permits instead.
    pub(super) fn end_with(
        &mut self,
        wanted: RequestEnd,
        response: Response<ResponseBody>,
    ) -> RequestEnd {
        if !self.response.is_awaiting_head() {
            return self.abort_response();
        }
        let end = self.end(wanted);
        let response = match end {
            permitted if permitted == wanted => response,
            RequestEnd::Refused => unavailable_response(RETRY_AFTER_LOCAL_REFUSAL),
            _ => bad_gateway(),
        };
        self.response.send_response(response);
        end
    }

    /// Truncates a response whose head has been sent.
    pub(super) fn abort_response(&mut self) -> RequestEnd {
        self.response.abort();
        self.end(RequestEnd::Aborted)
    }

    pub(super) fn end(&mut self, wanted: RequestEnd) -> RequestEnd {
        match self.progress.end(wanted) {
            Ok(end) => end,
            Err(error) => {
                tracing::error!(%error, "request ended twice");
                wanted
            }
        }
    }
}

fn bad_gateway() -> Response<ResponseBody> {
    text_response(StatusCode::BAD_GATEWAY, "no whole answer of a replica")
}
