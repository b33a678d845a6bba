//! Samples of a process at one moment, and their text form.

use std::fmt;

use prometheus_client::collector::Collector;
use prometheus_client::encoding::{DescriptorEncoder, EncodeMetric, MetricEncoder, text};
use prometheus_client::metrics::MetricType;
use prometheus_client::metrics::counter::ConstCounter;
use prometheus_client::metrics::gauge::ConstGauge;
use prometheus_client::registry::Registry;

/// The samples of a process. Names are those of the OpenMetrics format: `snake_case` with the unit at the end; the
/// text form adds `_total` to the names of counters.
#[derive(Debug, Default)]
pub struct Page {
    families: Vec<Family>,
}

/// What several samples of one name differ in, and their values.
#[derive(Clone, Debug)]
pub struct Samples {
    /// Name of the label.
    pub label: &'static str,
    /// Value of the label and of the sample.
    pub values: Vec<(String, f64)>,
}

impl Samples {
    /// Samples that differ in `label`.
    pub fn by<Name: ToString>(
        label: &'static str,
        values: impl IntoIterator<Item = (Name, f64)>,
    ) -> Samples {
        let named = |(name, value): (Name, f64)| (name.to_string(), value);
        Samples {
            label,
            values: values.into_iter().map(named).collect(),
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Kind {
    /// A figure that rises and falls.
    Gauge,
    /// A figure that only rises while the process runs.
    Counter,
}

/// The samples of one name.
#[derive(Debug)]
struct Family {
    name: &'static str,
    help: &'static str,
    kind: Kind,
    samples: FamilySamples,
}

#[derive(Debug)]
enum FamilySamples {
    One(f64),
    Labelled(Samples),
}

impl Page {
    /// Adds a figure that rises and falls.
    pub fn gauge(&mut self, name: &'static str, help: &'static str, value: f64) {
        self.push(name, help, Kind::Gauge, FamilySamples::One(value));
    }

    /// Adds figures that rise and fall.
    pub fn gauges(&mut self, name: &'static str, help: &'static str, samples: Samples) {
        self.push(name, help, Kind::Gauge, FamilySamples::Labelled(samples));
    }

    /// Adds 1 for true and 0 for false.
    pub fn flag(&mut self, name: &'static str, help: &'static str, value: bool) {
        self.gauge(name, help, f64::from(u8::from(value)));
    }

    /// Adds a count since the process started.
    pub fn counter(&mut self, name: &'static str, help: &'static str, value: u64) {
        self.push(name, help, Kind::Counter, FamilySamples::One(value as f64));
    }

    /// Adds counts since the process started.
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

    /// The text form.
    ///
    /// # Errors
    /// [`fmt::Error`] if the encoder refuses a sample.
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
            FamilySamples::One(value) => self.encode_value(*value, metric),
            FamilySamples::Labelled(samples) => {
                for (name, value) in &samples.values {
                    let labels = [(samples.label, name.as_str())];
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
