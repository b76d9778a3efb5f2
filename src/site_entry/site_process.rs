//! What entries and agents on a site have in common.

use {
    super::{process_log_event::ProcessLogEvent, ready_probe::ServiceProbe},
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

/// Where a process counts and writes down what it does, and how it reaches the platform.
#[derive(Debug)]
pub(crate) struct SiteProcess {
    pub(crate) caller: PlatformHttpClient,
    pub(crate) store: Arc<dyn SiteStore>,
    pub(crate) metrics: Arc<dyn Metrics>,
    pub(crate) decisions: Arc<dyn DecisionLog>,
}

impl SiteProcess {
    /// The process that has these settings.
    pub(crate) fn new(site: &SiteSettings) -> Result<Self, RunError> {
        let metrics = OtelMetrics::new().map_err(RunError::metrics)?;
        let writer = DecisionWriter::start(&site.name).map_err(RunError::Runtime)?;
        let caller = PlatformHttpClient::new();
        Ok(Self {
            store: Arc::new(RowsStore::new(caller.clone(), site.store)),
            caller,
            metrics: Arc::new(metrics),
            decisions: Arc::new(writer),
        })
    }

    /// Serves the metrics until `stopped` turns true.
    pub(crate) async fn serve_metrics(
        &self,
        site: &SiteSettings,
        stopped: watch::Receiver<bool>,
    ) -> Result<(), RunError> {
        let readers = listen(site.metrics_listen).await?;
        let probe: Arc<dyn HttpHandler> = Arc::new(ServiceProbe {
            metrics: Arc::clone(&self.metrics),
        });
        tokio::spawn(serve_http(readers, probe, stopped));
        Ok(())
    }

    /// Writes a change of the process itself down.
    pub(crate) fn log_event(&self, change: &ProcessLogEvent) {
        log_decision(&*self.decisions, LogPriority::Notable, change);
    }

    /// Writes down that the process has begun.
    pub(crate) fn note_started(&self, site: &SiteSettings) {
        self.log_event(&ProcessLogEvent::Started {
            version: env!("CARGO_PKG_VERSION"),
            availability_zone: site.availability_zone.clone(),
        });
    }
}
