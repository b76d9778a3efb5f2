//! Components that entries and agents on a site have in common.

use {
    super::{process_log_event::ProcessLogEvent, status_handlers::MetricsHandler},
    crate::{
        adapters::{
            connections::ServerConnections,
            http::{HttpHandler, serve_limited_http},
            logging::DecisionWriter,
            metrics::OtelMetrics,
        },
        cli::{RunError, listen},
        conf::SiteSettings,
        core::connections::ConnectionLimits,
        platform::{PlatformHttpClient, RowsStore},
        ports::{DecisionLog, LogPriority, Metrics, SiteStore, log_decision},
    },
    std::sync::Arc,
    tokio::sync::watch,
};

/// Metrics, log and platform access of one process.
#[derive(Debug)]
pub(crate) struct SiteProcess {
    pub(crate) store: Arc<dyn SiteStore>,
    pub(crate) metrics: Arc<dyn Metrics>,
    pub(crate) decisions: Arc<dyn DecisionLog>,
}

impl SiteProcess {
    /// Creates the components from the settings.
    pub(crate) fn new(site: &SiteSettings) -> Result<Self, RunError> {
        let metrics: Arc<dyn Metrics> = Arc::new(OtelMetrics::new().map_err(RunError::metrics)?);
        let writer = DecisionWriter::start(&site.name).map_err(RunError::Runtime)?;
        let store_client = PlatformHttpClient::new(site.store, "store", Arc::clone(&metrics));
        Ok(Self {
            store: Arc::new(RowsStore::new(store_client)),
            metrics,
            decisions: Arc::new(writer),
        })
    }

    /// Serves the metrics until `stopped` turns true.
    pub(crate) async fn serve_metrics(
        &self,
        site: &SiteSettings,
        stopped: watch::Receiver<bool>,
    ) -> Result<(), RunError> {
        let listener = listen(site.metrics_listen).await?;
        let handler: Arc<dyn HttpHandler> = Arc::new(MetricsHandler {
            metrics: Arc::clone(&self.metrics),
        });
        let connections = self.connections("metrics", site.accepted.http.auxiliary());
        tokio::spawn(serve_limited_http(listener, handler, connections, stopped));
        Ok(())
    }

    /// The connections of one of the process's servers.
    pub(crate) fn connections(
        &self,
        server: &'static str,
        limits: ConnectionLimits,
    ) -> Arc<ServerConnections> {
        ServerConnections::new(server, limits, &self.metrics)
    }

    pub(crate) fn log_event(&self, event: &ProcessLogEvent) {
        log_decision(&*self.decisions, LogPriority::Notable, event);
    }

    pub(crate) fn log_started(&self, site: &SiteSettings) {
        self.log_event(&ProcessLogEvent::Started {
            version: env!("CARGO_PKG_VERSION"),
            availability_zone: site.availability_zone.clone(),
        });
    }
}
