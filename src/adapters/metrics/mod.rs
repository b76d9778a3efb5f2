//! Metrics with opentelemetry, rendered as Prometheus text.

mod otel_metrics;

pub(crate) use otel_metrics::OtelMetrics;
