//! Records what clients sent and what replicas ran, and checks what each receives.

use super::Outcome;
use crate::support::Seen;
use std::collections::BTreeMap;

/// Statuses that promise that a request has not run and never will.
const PROMISES: [u16; 5] = [402, 408, 421, 429, 503];

/// A request as its client sent it.
#[derive(Clone, Debug)]
pub(super) struct SentRequest {
    pub path: &'static str,
    pub body: Vec<u8>,
}

impl SentRequest {
    fn is_idempotent(&self) -> bool {
        self.path == "/safe/" || self.path == "/resumable/"
    }

    /// Whether its answer is a stream of events.
    pub(super) fn is_stream(&self) -> bool {
        self.path == "/once/" || self.path == "/resumable/"
    }
}

/// One run of a request at a replica, with the answer that belongs to it.
#[derive(Clone, Debug)]
pub(super) struct RequestRun {
    pub status: u16,
    pub signature: String,
    pub body: Vec<u8>,
    /// Whether the complete response was sent, in an order that makes it valid.
    pub sent_complete: bool,
}

#[derive(Default)]
pub(super) struct Oracle {
    sent: BTreeMap<String, SentRequest>,
    runs: BTreeMap<String, Vec<RequestRun>>,
    promised: BTreeMap<String, u16>,
    violations: Vec<String>,
    counts: BTreeMap<String, usize>,
}

impl Oracle {
    pub(super) fn sends(&mut self, id: &str, request: SentRequest) {
        self.sent.insert(id.to_owned(), request);
    }

    pub(super) fn count(&mut self, what: impl Into<String>) {
        *self.counts.entry(what.into()).or_default() += 1;
    }

    /// A replica has read a complete request.
    pub(super) fn arrives(&mut self, id: &str, path: &str, body: &[u8]) {
        let known = self.sent.get(id);
        if known.is_none_or(|sent| sent.path != path || sent.body != body) {
            self.record_violation(format!("UNASKED: {id} {path} with {} bytes", body.len()));
        }
    }

    /// A replica begins to work on a request; the number of the run.
    pub(super) fn runs(&mut self, id: &str, run: RequestRun) {
        self.runs.entry(id.to_owned()).or_default().push(run);
    }

    /// What a client got for its request; a connection that ended first counts as status 0.
    pub(super) fn answered(&mut self, id: &str, seen: &Seen) {
        self.count(format!("client got {}", seen.status()));
        if PROMISES.contains(&seen.status()) {
            self.promised.insert(id.to_owned(), seen.status());
        }
        if seen.status() == 0 {
            return;
        }
        if seen.header("request-id") != Some(id) {
            self.record_violation(format!(
                "MIXED: {id} got an answer to {:?}",
                seen.header("request-id")
            ));
        }
        let is_stream = self.sent.get(id).is_some_and(SentRequest::is_stream);
        match (seen.status() / 100, is_stream) {
            (2, true) => self.check_stream(id, seen),
            (2, false) => self.check_success(id, seen),
            _ => self.check_failure(id, seen),
        }
    }

    fn check_success(&mut self, id: &str, seen: &Seen) {
        let runs = self.runs.get(id).map_or(&[][..], Vec::as_slice);
        let fits = |run: &RequestRun| {
            run.sent_complete
                && run.status == seen.status()
                && Some(run.signature.as_str()) == seen.header("response-signature")
                && run.body == seen.body
        };
        if !runs.iter().any(fits) {
            self.record_violation(format!(
                "MIXED: {id} got {:?}, whole {}",
                seen.text(),
                seen.complete
            ));
        }
    }

    fn check_stream(&mut self, id: &str, seen: &Seen) {
        let runs = self.runs.get(id).map_or(&[][..], Vec::as_slice);
        let signed = runs
            .iter()
            .any(|run| Some(run.signature.as_str()) == seen.header("response-signature"));
        let complete_body = super::answers::stream_body(id, 0);
        let ends_at_event = seen.body.is_empty() || seen.body.ends_with(b"\n\n");
        let in_order = complete_body.starts_with(&seen.body) && ends_at_event;
        let complete = !seen.complete || seen.body == complete_body;
        if !signed || !in_order || !complete {
            self.record_violation(format!(
                "ORDER: {id} got {:?}, whole {}",
                seen.text(),
                seen.complete
            ));
        }
    }

    fn check_failure(&mut self, id: &str, seen: &Seen) {
        let Some(signature) = seen.header("response-signature") else {
            return;
        };
        let runs = self.runs.get(id).map_or(&[][..], Vec::as_slice);
        if !runs
            .iter()
            .any(|run| run.signature == signature && run.status == seen.status())
        {
            self.record_violation(format!(
                "MIXED: {id} got status {} under {signature}",
                seen.status()
            ));
        }
    }

    fn record_violation(&mut self, what: String) {
        self.violations.push(what);
    }

    /// Checks what can only be known at the end.
    pub(super) fn finish(mut self) -> Outcome {
        for (id, sent) in std::mem::take(&mut self.sent) {
            let runs = self.runs.get(&id).map_or(0, Vec::len);
            if sent.is_idempotent() {
                continue;
            }
            if runs > 1 {
                self.record_violation(format!("TWICE: {id} ran {runs} times"));
            }
            if let Some(status) = self.promised.get(&id).copied().filter(|_| runs > 0) {
                self.record_violation(format!("REFUSED: {id} got {status} and ran"));
            }
        }
        Outcome {
            violations: self.violations,
            counts: self.counts,
        }
    }
}
