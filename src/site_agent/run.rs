//! Assembles an agent and runs it until a stop signal.

use {
    super::{
        dialler::Dialler,
        entry_list_watcher::EntryListWatcher,
        execution_loop::{ExecutionLoop, LoopInput},
        stale_entry_remover::StaleEntryRemover,
        worker_report_handler::WorkerReportHandler,
        worker_view_store::WorkerViewStore,
    },
    crate::{
        adapters::{
            http::{HttpHandler, serve_limited_http},
            timer::BootTimer,
        },
        cli::{RunError, listen, log_reload_signals, stop_signal},
        conf::SiteAgentSettings,
        core::{
            execution::{ExecutionEvent, Executor, ExecutorSettings, first_token},
            work::WorkerView,
        },
        platform::{HttpWorkerClient, PlatformHttpClient},
        site_entry::{ProcessLogEvent, SiteProcess},
    },
    std::{
        collections::BTreeMap,
        net::SocketAddr,
        sync::{Arc, atomic::AtomicU64},
        time::{Duration, SystemTime, UNIX_EPOCH},
    },
    tokio::{
        sync::{mpsc, oneshot, watch},
        time::{Instant, sleep, timeout},
    },
};

/// Margin between the process's own exit and the end of the stop grace period, in milliseconds.
const EXIT_MARGIN_MS: u64 = 400;
/// Interval at which unfinished runs are polled on shutdown, in milliseconds.
const POLL_INTERVAL_MS: u64 = 50;
/// Time after lease expiry until all runs of an earlier process have stopped, in milliseconds.
const LEASE_SLACK_MS: u64 = 60;

/// State that the components of an agent share.
struct Shared {
    process: SiteProcess,
    inputs: mpsc::UnboundedSender<LoopInput>,
}

impl Shared {
    fn execution_loop(
        &self,
        settings: &SiteAgentSettings,
        worker_view: watch::Sender<Option<WorkerView>>,
        stale_runs_stopped: watch::Sender<bool>,
    ) -> ExecutionLoop {
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
        let executor = Executor::new(ExecutorSettings {
            agent: settings.site.name.clone(),
            service: settings.service.clone(),
            limits: settings.site.limits,
            first_token: first_token(since_epoch.unwrap_or_default()),
        });
        let metrics = Arc::clone(&self.process.metrics);
        let client = PlatformHttpClient::new(settings.worker, "worker", metrics);
        ExecutionLoop {
            executor,
            worker: Arc::new(HttpWorkerClient::new(client)),
            store: Arc::clone(&self.process.store),
            timer: Arc::new(BootTimer),
            decisions: Arc::clone(&self.process.decisions),
            metrics: Arc::clone(&self.process.metrics),
            sessions: BTreeMap::new(),
            drain_notifiers: BTreeMap::new(),
            departures: Vec::new(),
            worker_view,
            stale_runs_stopped,
            input_sender: self.inputs.clone(),
        }
    }

    fn dialler(&self, settings: &SiteAgentSettings) -> Arc<Dialler> {
        Arc::new(Dialler {
            agent: settings.site.name.clone(),
            inputs: self.inputs.clone(),
            timer: Arc::new(BootTimer),
            metrics: Arc::clone(&self.process.metrics),
            last_session: AtomicU64::new(1),
            stale_entry_remover: Arc::new(StaleEntryRemover {
                store: Arc::clone(&self.process.store),
            }),
        })
    }

    fn entry_list_watcher(
        &self,
        settings: &SiteAgentSettings,
        lists: mpsc::UnboundedSender<Vec<SocketAddr>>,
    ) -> EntryListWatcher {
        let store = Arc::clone(&self.process.store);
        EntryListWatcher::new(store, settings.seeds.clone(), lists)
    }

    fn worker_view_store(&self, settings: &SiteAgentSettings) -> WorkerViewStore {
        WorkerViewStore {
            store: Arc::clone(&self.process.store),
            agent: settings.site.name.clone(),
            inputs: self.inputs.clone(),
        }
    }

    /// Serves the worker's reports and metrics until `stopped` turns true.
    async fn serve_http_endpoints(
        &self,
        settings: &SiteAgentSettings,
        stopped: watch::Receiver<bool>,
    ) -> Result<(), RunError> {
        let listener = listen(settings.worker_listen).await?;
        let report_handler: Arc<dyn HttpHandler> = Arc::new(WorkerReportHandler {
            inputs: self.inputs.clone(),
            metrics: Arc::clone(&self.process.metrics),
        });
        let limits = settings.site.accepted.http.auxiliary();
        tokio::spawn(serve_limited_http(
            listener,
            report_handler,
            self.process.connections("worker_reports", limits),
            stopped.clone(),
        ));
        self.process.serve_metrics(&settings.site, stopped).await
    }
}

/// Runs an agent until it is stopped and its runs have finished.
pub(crate) async fn run_site_agent(settings: SiteAgentSettings) -> Result<(), RunError> {
    let site = &settings.site;
    let (inputs, input_receiver) = mpsc::unbounded_channel();
    let (stale_runs_stopped, stale_runs_receiver) = watch::channel(false);
    let shared = Shared {
        process: SiteProcess::new(site)?,
        inputs,
    };
    let (worker_view, newest_view) = watch::channel(None);
    let execution = shared.execution_loop(&settings, worker_view, stale_runs_stopped);
    let (_stop, stopped) = watch::channel(false);
    shared.serve_http_endpoints(&settings, stopped).await?;
    tokio::spawn(execution.run(input_receiver));
    tokio::spawn(shared.worker_view_store(&settings).run(newest_view));
    tokio::spawn(log_reload_signals(Arc::clone(&shared.process.decisions)));
    shared.process.log_started(site);
    let lease_expiry_ms = site.limits.max_lease_ms() + LEASE_SLACK_MS;
    let (lists, list_receiver) = mpsc::unbounded_channel();
    tokio::spawn(shared.entry_list_watcher(&settings, lists).run());
    tokio::spawn(dial_after_stale_runs(
        shared.dialler(&settings),
        list_receiver,
        stale_runs_receiver,
        lease_expiry_ms,
    ));

    stop_signal().await;
    shut_down(&shared, site.stop_grace_s * 1_000).await;
    Ok(())
}

/// Dials entries once no run of an earlier process is left at the worker.
///
/// A session's hello says that no earlier run exists, but a process that was just killed may have
/// left runs at the worker, and a task could run twice. Those runs have ended once the worker's run
/// list under a newer token is empty, and at the latest when their leases expire.
async fn dial_after_stale_runs(
    dialler: Arc<Dialler>,
    lists: mpsc::UnboundedReceiver<Vec<SocketAddr>>,
    mut stale_runs_receiver: watch::Receiver<bool>,
    lease_expiry_ms: u64,
) {
    let lease_expiry = Duration::from_millis(lease_expiry_ms);
    // Either condition is sufficient; the run list usually arrives before the leases expire.
    let _ = timeout(
        lease_expiry,
        stale_runs_receiver.wait_for(|stopped| *stopped),
    )
    .await;
    dialler.run(lists).await;
}

async fn count_runs(inputs: &mpsc::UnboundedSender<LoopInput>) -> usize {
    let (reply, run_count) = oneshot::channel();
    if inputs.send(LoopInput::CountRuns { reply }).is_err() {
        return 0;
    }
    run_count.await.unwrap_or(0)
}

/// Stops accepting runs and waits until the current ones have finished.
async fn shut_down(shared: &Shared, grace_ms: u64) {
    let Shared {
        process, inputs, ..
    } = shared;
    let deadline = Instant::now() + Duration::from_millis(grace_ms.saturating_sub(EXIT_MARGIN_MS));
    let open = count_runs(inputs).await;
    process.log_event(&ProcessLogEvent::Stopping { open, grace_ms });
    // The loop runs as long as the process.
    let _ = inputs.send(LoopInput::Event(ExecutionEvent::Shutdown));
    while Instant::now() < deadline && count_runs(inputs).await > 0 {
        sleep(Duration::from_millis(POLL_INTERVAL_MS)).await;
    }
    // Leaves time to write the last outcomes to their sockets.
    sleep(Duration::from_millis(POLL_INTERVAL_MS)).await;
    let open = count_runs(inputs).await;
    process.log_event(&ProcessLogEvent::Stopped { open });
    sleep(Duration::from_millis(POLL_INTERVAL_MS)).await;
}
