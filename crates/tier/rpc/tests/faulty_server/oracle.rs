//! Remembers which requests arrived and judges how calls ended.

use super::Outcome;
use bytes::Bytes;
use std::collections::BTreeMap;
use woadreach_rpc::CallError;

#[derive(Default)]
pub struct Oracle {
    /// How often each request was taken by the server and not refused.
    taken: BTreeMap<String, usize>,
    arrived: BTreeMap<String, usize>,
    ended: BTreeMap<String, CallError>,
    violations: Vec<String>,
    counts: BTreeMap<String, usize>,
}

/// The response to a request.
pub fn response_to(request: &str) -> String {
    format!("response to {request}")
}

impl Oracle {
    pub fn count(&mut self, what: impl Into<String>) {
        *self.counts.entry(what.into()).or_default() += 1;
    }

    /// A request has come; `taken` unless the server refuses it.
    pub fn arrives(&mut self, request: &str, taken: bool) {
        *self.arrived.entry(request.to_owned()).or_default() += 1;
        if taken {
            *self.taken.entry(request.to_owned()).or_default() += 1;
        }
    }

    /// A call has ended.
    pub fn ended(&mut self, request: &str, result: Result<Bytes, CallError>) {
        match result {
            Ok(response) if response[..] == *response_to(request).as_bytes() => {
                self.count("call: answered")
            }
            Ok(response) => self
                .violations
                .push(format!("MIXED: {request} got {response:?}")),
            Err(error) => {
                self.count(format!("call: {error:?}"));
                self.ended.insert(request.to_owned(), error);
            }
        }
    }

    /// Judges what can only be known at the end.
    pub fn finish(mut self) -> Outcome {
        for (request, times) in &self.arrived {
            if *times > 1 {
                self.violations
                    .push(format!("TWICE: {request} came {times} times"));
            }
        }
        for (request, error) in &self.ended {
            let times = |known: &BTreeMap<String, usize>| known.get(request).copied().unwrap_or(0);
            let false_promise = match error {
                CallError::Unreachable | CallError::TooLong => times(&self.arrived) > 0,
                CallError::Refused => times(&self.taken) > 0,
                CallError::Broken | CallError::TimedOut => false,
            };
            if false_promise {
                self.violations
                    .push(format!("REFUSED: {request} ended {error:?} and was taken"));
            }
        }
        Outcome {
            violations: self.violations,
            counts: self.counts,
        }
    }
}
