//! Snapshot of a process's metrics, and its rendering in the OpenMetrics text format.

use std::fmt;

use prometheus_client::collector::Collector;
use prometheus_client::encoding::{DescriptorEncoder, EncodeMetric, MetricEncoder, text};
use prometheus_client::metrics::MetricType;
use prometheus_client::metrics::counter::ConstCounter;
use prometheus_client::metrics::gauge::ConstGauge;
use prometheus_client::registry::Registry;

/// Snapshot of the metrics of a process. Metric names follow OpenMetrics: `snake_case` with the unit as the suffix.
/// Rendering appends `_total` to the names of counters.
#[derive(Debug, Default)]
pub struct Page {
    families: Vec<Family>,
}

/// Samples of one metric that are distinguished by a label.
#[derive(Clone, Debug)]
pub struct Samples {
    /// Name of the label, shared by all samples.
    pub label: &'static str,
    /// Pairs of the value of the label and the value of the sample.
    pub values: Vec<(String, f64)>,
}

impl Samples {
    /// Creates samples from pairs of the value of `label` and the value of the sample.
    pub fn by<LabelValue: ToString>(
        label: &'static str,
        values: impl IntoIterator<Item = (LabelValue, f64)>,
    ) -> Samples {
        let to_sample = |(label_value, value): (LabelValue, f64)| (label_value.to_string(), value);
        Samples {
            label,
            values: values.into_iter().map(to_sample).collect(),
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Kind {
    /// Value that can increase and decrease.
    Gauge,
    /// Total that only increases while the process runs.
    Counter,
}

/// A metric with its description and samples.
#[derive(Debug)]
struct Family {
    name: &'static str,
    help: &'static str,
    kind: Kind,
    samples: FamilySamples,
}

#[derive(Debug)]
enum FamilySamples {
    Unlabelled(f64),
    Labelled(Samples),
}

impl Page {
    /// Adds a gauge without labels.
    pub fn gauge(&mut self, name: &'static str, help: &'static str, value: f64) {
        self.push(name, help, Kind::Gauge, FamilySamples::Unlabelled(value));
    }

    /// Adds a gauge with one sample per value of a label.
    pub fn gauges(&mut self, name: &'static str, help: &'static str, samples: Samples) {
        self.push(name, help, Kind::Gauge, FamilySamples::Labelled(samples));
    }

    /// Adds a gauge that is 1 for `true` and 0 for `false`.
    pub fn flag(&mut self, name: &'static str, help: &'static str, value: bool) {
        self.gauge(name, help, f64::from(u8::from(value)));
    }

    /// Adds a counter without labels. `value` is the total since the process started.
    pub fn counter(&mut self, name: &'static str, help: &'static str, value: u64) {
        self.push(
            name,
            help,
            Kind::Counter,
            FamilySamples::Unlabelled(value as f64),
        );
    }

    /// Adds a counter with one sample per value of a label. The values are totals since the process started.
    pub fn counters(&mut self, name: &'static str, help: &'static str, samples: Samples) {
        self.push(name, help, Kind::Counter, FamilySamples::Labelled(samples));
    }

    fn push(&mut self, name: &'static str, help: &'static str, kind: Kind, samples: FamilySamples) {
        self.families.push(Family {
            name,
            help,
            kind,
            samples,
        });
    }

    /// Renders the page in the OpenMetrics text format.
    ///
    /// # Errors
    /// [`fmt::Error`] if the encoder fails to write a sample.
    pub fn render(self) -> Result<String, fmt::Error> {
        let mut registry = Registry::default();
        registry.register_collector(Box::new(self));
        let mut rendered = String::new();
        text::encode(&mut rendered, &registry)?;
        Ok(rendered)
    }
}

impl Collector for Page {
    fn encode(&self, mut encoder: DescriptorEncoder<'_>) -> Result<(), fmt::Error> {
        for family in &self.families {
            let kind = match family.kind {
                Kind::Gauge => MetricType::Gauge,
                Kind::Counter => MetricType::Counter,
            };
            let metric = encoder.encode_descriptor(family.name, family.help, None, kind)?;
            family.encode(metric)?;
        }
        Ok(())
    }
}

impl Family {
    fn encode(&self, mut metric: MetricEncoder<'_>) -> Result<(), fmt::Error> {
        match &self.samples {
            FamilySamples::Unlabelled(value) => self.encode_value(*value, metric),
            FamilySamples::Labelled(samples) => {
                for (label_value, value) in &samples.values {
                    let labels = [(samples.label, label_value.as_str())];
                    self.encode_value(*value, metric.encode_family(&labels)?)?;
                }
                Ok(())
            }
        }
    }

    fn encode_value(&self, value: f64, metric: MetricEncoder<'_>) -> Result<(), fmt::Error> {
        match self.kind {
            Kind::Gauge => ConstGauge::new(value).encode(metric),
            Kind::Counter => ConstCounter::new(value).encode(metric),
        }
    }
}
