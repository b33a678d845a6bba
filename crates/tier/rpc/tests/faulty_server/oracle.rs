//! Records which requests arrived, and checks the results of calls against that.

use std::collections::BTreeMap;

use bytes::Bytes;
use woadreach_rpc::CallError;

use super::Outcome;

#[derive(Default)]
pub(crate) struct Oracle {
    /// How often the server has accepted each request.
    accepted: BTreeMap<String, usize>,
    /// How often each request has arrived.
    arrived: BTreeMap<String, usize>,
    /// Errors of the calls that have failed.
    failed: BTreeMap<String, CallError>,
    violations: Vec<String>,
    counts: BTreeMap<String, usize>,
}

/// The response to a request.
pub(crate) fn response_to(request: &str) -> String {
    format!("response to {request}")
}

impl Oracle {
    pub(crate) fn count(&mut self, what: impl Into<String>) {
        *self.counts.entry(what.into()).or_default() += 1;
    }

    /// Records that a request has arrived, and whether the server accepts it.
    pub(crate) fn record_arrival(&mut self, request: &str, is_accepted: bool) {
        *self.arrived.entry(request.to_owned()).or_default() += 1;
        if is_accepted {
            *self.accepted.entry(request.to_owned()).or_default() += 1;
        }
    }

    /// Records and checks the result of a call.
    pub(crate) fn record_result(&mut self, request: &str, result: Result<Bytes, CallError>) {
        match result {
            Ok(response) if response[..] == *response_to(request).as_bytes() => {
                self.count("call: answered")
            }
            Ok(response) => self
                .violations
                .push(format!("MIXED: {request} got {response:?}")),
            Err(error) => {
                self.count(format!("call: {error:?}"));
                self.failed.insert(request.to_owned(), error);
            }
        }
    }

    /// Checks what can be known only at the end of the run.
    pub(crate) fn finish(mut self) -> Outcome {
        for (request, times) in &self.arrived {
            if *times > 1 {
                self.violations
                    .push(format!("TWICE: {request} arrived {times} times"));
            }
        }
        for (request, error) in &self.failed {
            let count =
                |counts: &BTreeMap<String, usize>| counts.get(request).copied().unwrap_or(0);
            let is_contradicted = match error {
                CallError::Unreachable | CallError::TooLong => count(&self.arrived) > 0,
                CallError::Refused => count(&self.accepted) > 0,
                CallError::Broken | CallError::TimedOut => false,
            };
            if is_contradicted {
                self.violations.push(format!(
                    "REFUSED: {request} ended {error:?} and was accepted"
                ));
            }
        }
        Outcome {
            violations: self.violations,
            counts: self.counts,
        }
    }
}
