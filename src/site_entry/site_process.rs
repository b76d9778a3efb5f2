//! Components that entries and agents on a site have in common.

use {
    super::{process_log_event::ProcessLogEvent, status_handlers::MetricsHandler},
    crate::{
        adapters::{
            http::{HttpHandler, serve_http},
            logging::DecisionWriter,
            metrics::OtelMetrics,
        },
        cli::{RunError, listen},
        conf::SiteSettings,
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
        tokio::spawn(serve_http(listener, handler, stopped));
        Ok(())
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
