//! Metrics on opentelemetry's Prometheus exporter.

use {
    crate::ports::{Counter, Gauge, Histogram, Metrics},
    opentelemetry::{
        KeyValue,
        metrics::{
            Counter as OtelCounter, Gauge as OtelGauge, Histogram as OtelHistogram, MeterProvider,
        },
    },
    opentelemetry_sdk::{error::OTelSdkError, metrics::SdkMeterProvider},
    prometheus::{Encoder, Registry, TextEncoder},
    std::{collections::BTreeMap, fmt},
};

/// Metrics of one process.
pub(crate) struct OtelMetrics {
    registry: Registry,
    counters: BTreeMap<Counter, OtelCounter<u64>>,
    gauges: BTreeMap<Gauge, OtelGauge<u64>>,
    histograms: BTreeMap<Histogram, OtelHistogram<u64>>,
    // Keeps alive the reader that the registry gathers from.
    _provider: SdkMeterProvider,
}

impl OtelMetrics {
    /// Registers all instruments.
    pub(crate) fn new() -> Result<Self, OTelSdkError> {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .scope_info_enabled(false)
            .without_target_info()
            .build()
            .map_err(|error| OTelSdkError::InternalFailure(error.to_string()))?;
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();
        let meter = provider.meter("rattanslip");
        let counters = Counter::ALL
            .iter()
            .map(|counter| (*counter, meter.u64_counter(counter.as_str()).build()))
            .collect();
        let gauges = Gauge::ALL
            .iter()
            .map(|gauge| (*gauge, meter.u64_gauge(gauge.as_str()).build()))
            .collect();
        let histograms = Histogram::ALL
            .iter()
            .map(|histogram| (*histogram, meter.u64_histogram(histogram.as_str()).build()))
            .collect();
        Ok(Self {
            registry,
            counters,
            gauges,
            histograms,
            _provider: provider,
        })
    }
}

impl fmt::Debug for OtelMetrics {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("OtelMetrics").finish_non_exhaustive()
    }
}

impl Metrics for OtelMetrics {
    fn add(&self, counter: Counter, reason: &'static str, amount: u64) {
        if let Some(instrument) = self.counters.get(&counter) {
            instrument.add(amount, &[KeyValue::new("reason", reason)]);
        }
    }

    fn set(&self, gauge: Gauge, value: u64) {
        if let Some(instrument) = self.gauges.get(&gauge) {
            instrument.record(value, &[]);
        }
    }

    fn count_for_queue(&self, counter: Counter, queue: &str, reason: &'static str) {
        if let Some(instrument) = self.counters.get(&counter) {
            let labels = [
                KeyValue::new("queue", queue.to_owned()),
                KeyValue::new("reason", reason),
            ];
            instrument.add(1, &labels);
        }
    }

    fn set_for_queue(&self, gauge: Gauge, queue: &str, value: u64) {
        if let Some(instrument) = self.gauges.get(&gauge) {
            instrument.record(value, &[KeyValue::new("queue", queue.to_owned())]);
        }
    }

    fn observe(&self, histogram: Histogram, reason: &'static str, elapsed_ms: u64) {
        if let Some(instrument) = self.histograms.get(&histogram) {
            instrument.record(elapsed_ms, &[KeyValue::new("reason", reason)]);
        }
    }

    fn render(&self) -> String {
        let mut text = Vec::new();
        match TextEncoder::new().encode(&self.registry.gather(), &mut text) {
            Ok(()) => String::from_utf8_lossy(&text).into_owned(),
            Err(error) => format!("# metrics can't be shown: {error}\n"),
        }
    }
}
