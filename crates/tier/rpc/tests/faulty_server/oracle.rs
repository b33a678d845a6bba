//! Records which requests the server received, and checks the results of calls against them.

use std::collections::BTreeMap;

use bytes::Bytes;
use woadreach_rpc::CallError;

use super::Outcome;

#[derive(Default)]
pub(crate) struct Oracle {
    /// Number of times that the server received each request and did not refuse it.
    accepted: BTreeMap<String, usize>,
    /// Number of times that the server received each request.
    received: BTreeMap<String, usize>,
    /// Errors of failed calls, by request.
    errors: BTreeMap<String, CallError>,
    violations: Vec<String>,
    counts: BTreeMap<String, usize>,
}

/// Returns the expected response to a request.
pub(crate) fn response_to(request: &str) -> String {
    format!("response to {request}")
}

impl Oracle {
    pub(crate) fn count(&mut self, event: impl Into<String>) {
        *self.counts.entry(event.into()).or_default() += 1;
    }

    /// Records that the server received a request, and whether it accepts or refuses it.
    pub(crate) fn record_request(&mut self, request: &str, is_accepted: bool) {
        *self.received.entry(request.to_owned()).or_default() += 1;
        if is_accepted {
            *self.accepted.entry(request.to_owned()).or_default() += 1;
        }
    }

    /// Records the result of a call and checks its response.
    pub(crate) fn record_result(&mut self, request: &str, result: Result<Bytes, CallError>) {
        match result {
            Ok(response) if response[..] == *response_to(request).as_bytes() => {
                self.count("call: answered")
            }
            Ok(response) => self
                .violations
                .push(format!("WRONG_RESPONSE: {request} got {response:?}")),
            Err(error) => {
                self.count(format!("call: {error:?}"));
                self.errors.insert(request.to_owned(), error);
            }
        }
    }

    /// Checks for duplicate requests and for errors that contradict what the server received. These checks need the
    /// records of the whole run.
    pub(crate) fn finish(mut self) -> Outcome {
        for (request, times) in &self.received {
            if *times > 1 {
                self.violations.push(format!(
                    "DUPLICATE_REQUEST: {request} was received {times} times"
                ));
            }
        }
        for (request, error) in &self.errors {
            let count =
                |counts: &BTreeMap<String, usize>| counts.get(request).copied().unwrap_or(0);
            let is_contradicted = match error {
                CallError::Unreachable | CallError::TooLong => count(&self.received) > 0,
                CallError::Refused => count(&self.accepted) > 0,
                CallError::Broken | CallError::TimedOut => false,
            };
            if is_contradicted {
                self.violations.push(format!(
                    "WRONG_ERROR: {request} failed with {error:?}, but the server received or accepted it"
                ));
            }
        }
        Outcome {
            violations: self.violations,
            counts: self.counts,
        }
    }
}
