//! The ends of a request, and what the client gets with each.

use super::RequestTask;
use crate::answer_body::AnswerBody;
use crate::attempt::ReplicaAnswer;
use crate::client_side::passed_on;
use crate::own_answer::{plain, refusal};
use crate::replica_answer::is_promise;
use crate::request_state::RequestEnd;
use http::{Response, StatusCode};
use woadreach_scheduler::FailReason;

/// Advice to a client whose request could not be tried, in seconds.
pub(super) const RETRY_SOON: f64 = 0.2;

impl RequestTask {
    pub(super) fn pass_on(&mut self, answer: ReplicaAnswer, end: RequestEnd) -> RequestEnd {
        if !self.side.is_unanswered() {
            self.side.cut();
            return self.end(RequestEnd::Aborted);
        }
        self.side.answer(passed_on(
            &answer.head,
            AnswerBody::Whole(Some(answer.body)),
        ));
        self.end(end)
    }

    pub(super) fn refuse(&mut self, retry_after: f64) -> RequestEnd {
        self.end_with(RequestEnd::Refused, refusal(retry_after))
    }

    pub(super) fn fail(&mut self, reason: FailReason) -> RequestEnd {
        if !self.side.is_unanswered() {
            self.side.cut();
            return self.end(RequestEnd::Aborted);
        }
        if reason == FailReason::ReplicaError
            && let Some(answer) = self
                .last_failure
                .take_if(|answer| self.client.is_repeatable() || !is_promise(answer.head.status))
        {
            return self.pass_on(answer, RequestEnd::ReplicaFailure);
        }
        let end = match reason {
            FailReason::TimedOut => RequestEnd::TimedOut,
            FailReason::MayHaveRun | FailReason::ReplicaError => RequestEnd::MayHaveRun,
        };
        let answer = match reason {
            FailReason::TimedOut => plain(StatusCode::GATEWAY_TIMEOUT, "no answer in time"),
            _ => plain(StatusCode::BAD_GATEWAY, "no whole answer of a replica"),
        };
        self.end_with(end, answer)
    }

    pub(super) fn end_without_client(&mut self) -> RequestEnd {
        self.side.cut();
        self.end(RequestEnd::ClientGone)
    }

    /// Ends with an answer of our own, or with the one that the request's state permits instead.
    pub(super) fn end_with(
        &mut self,
        wanted: RequestEnd,
        answer: Response<AnswerBody>,
    ) -> RequestEnd {
        if !self.side.is_unanswered() {
            self.side.cut();
            return self.end(RequestEnd::Aborted);
        }
        let end = self.end(wanted);
        let answer = match end {
            permitted if permitted == wanted => answer,
            RequestEnd::Refused => refusal(RETRY_SOON),
            _ => plain(StatusCode::BAD_GATEWAY, "no whole answer of a replica"),
        };
        self.side.answer(answer);
        end
    }

    pub(super) fn end(&mut self, wanted: RequestEnd) -> RequestEnd {
        match self.progress.end(wanted) {
            Ok(end) => end,
            Err(error) => {
                tracing::error!(%error, "a request ended twice");
                wanted
            }
        }
    }
}
