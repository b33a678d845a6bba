//! The samples of a metrics page.

use std::collections::BTreeMap;

use prometheus_parse::{Scrape, Value};
use serde::Serialize;

/// Prefix of the names of this project's metrics.
const PREFIX: &str = "woadreach_";

/// Samples of a page by metric name and sorted labels, for example
/// `woadreach_calls{state="queued"}`.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
#[serde(transparent)]
pub(crate) struct ParsedPage {
    samples: BTreeMap<String, f64>,
}

impl ParsedPage {
    /// Parses a page in the Prometheus text format. Skips histograms, summaries and metrics of other programs.
    /// `None` if the page is invalid or no sample is left.
    pub(crate) fn parse(page: &[u8]) -> Option<ParsedPage> {
        let text = std::str::from_utf8(page).ok()?;
        let lines = text.lines().map(|line| Ok(line.to_owned()));
        let scrape = Scrape::parse(lines).ok()?;
        let mut samples = BTreeMap::new();
        for sample in scrape.samples {
            let value = match sample.value {
                Value::Counter(value) | Value::Gauge(value) | Value::Untyped(value) => value,
                Value::Histogram(_) | Value::Summary(_) => continue,
            };
            if !sample.metric.starts_with(PREFIX) {
                continue;
            }
            let mut labels: Vec<String> = sample
                .labels
                .iter()
                .map(|(label, value)| format!("{label}=\"{value}\""))
                .collect();
            labels.sort();
            let name = if labels.is_empty() {
                sample.metric
            } else {
                format!("{}{{{}}}", sample.metric, labels.join(","))
            };
            samples.insert(name, value);
        }
        (!samples.is_empty()).then_some(ParsedPage { samples })
    }

    /// Value of a metric; `name` has the labels but not the project's prefix.
    pub(crate) fn get(&self, name: &str) -> Option<f64> {
        self.samples.get(&format!("{PREFIX}{name}")).copied()
    }

    /// Whether the metric is present and 0.
    pub(crate) fn is_zero(&self, name: &str) -> bool {
        self.get(name) == Some(0.0)
    }

    /// Whether the metric is present and above 0.
    pub(crate) fn is_positive(&self, name: &str) -> bool {
        self.get(name).is_some_and(|value| value > 0.0)
    }
}

#[cfg(test)]
#[path = "../../tests/unit/parsed_page.rs"]
mod tests;
