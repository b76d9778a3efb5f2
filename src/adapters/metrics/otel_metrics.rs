//! Metrics on opentelemetry's Prometheus exporter.

use {
    crate::ports::{ConnectionLoad, Counter, Gauge, Histogram, Metrics, ReadConnectionLoad},
    opentelemetry::{
        KeyValue,
        metrics::{
            Counter as OtelCounter, Gauge as OtelGauge, Histogram as OtelHistogram, Meter,
            MeterProvider,
        },
    },
    opentelemetry_sdk::{error::OTelSdkError, metrics::SdkMeterProvider},
    prometheus::{Encoder, Registry, TextEncoder},
    std::{
        collections::BTreeMap,
        fmt,
        sync::{Arc, Mutex, PoisonError},
    },
};

/// Load of each server by its name.
type ConnectionLoads = Arc<Mutex<BTreeMap<&'static str, ReadConnectionLoad>>>;

/// Metrics of one process.
pub(crate) struct OtelMetrics {
    registry: Registry,
    counters: BTreeMap<Counter, OtelCounter<u64>>,
    gauges: BTreeMap<Gauge, OtelGauge<u64>>,
    histograms: BTreeMap<Histogram, OtelHistogram<u64>>,
    loads: ConnectionLoads,
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
        let loads = ConnectionLoads::default();
        observe_loads(&meter, "rattanslip.connections", &loads, |load| {
            load.connections
        });
        observe_loads(&meter, "rattanslip.buffered_bytes", &loads, |load| {
            load.buffered_bytes
        });
        Ok(Self {
            registry,
            counters,
            gauges,
            histograms,
            loads,
            _provider: provider,
        })
    }
}

/// Adds a gauge with one value of each server's load.
fn observe_loads(
    meter: &Meter,
    name: &'static str,
    loads: &ConnectionLoads,
    value: fn(&ConnectionLoad) -> u64,
) {
    let loads = Arc::clone(loads);
    meter
        .u64_observable_gauge(name)
        .with_callback(move |observer| {
            let loads = loads.lock().unwrap_or_else(PoisonError::into_inner);
            for (server, read) in loads.iter() {
                if let Some(load) = read() {
                    observer.observe(value(&load), &[KeyValue::new("server", *server)]);
                }
            }
        })
        .build();
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

    fn observe_connections(&self, server: &'static str, read: ReadConnectionLoad) {
        let mut loads = self.loads.lock().unwrap_or_else(PoisonError::into_inner);
        loads.insert(server, read);
    }

    fn render(&self) -> String {
        let mut text = Vec::new();
        match TextEncoder::new().encode(&self.registry.gather(), &mut text) {
            Ok(()) => String::from_utf8_lossy(&text).into_owned(),
            Err(error) => format!("# metrics can't be shown: {error}\n"),
        }
    }
}
