//! Assembles an entry and runs it until a stop signal.

use {
    super::{
        client_api::ClientApi,
        dispatch_loop::{DispatchLoop, LoopInput},
        entry_registration::EntryRegistration,
        operator_rows_watcher::OperatorRowsWatcher,
        process_log_event::ProcessLogEvent,
        site_process::SiteProcess,
        state::EntryState,
        status_handlers::ReadinessHandler,
    },
    crate::{
        adapters::{
            http::{HttpHandler, serve_limited_http},
            link::serve_links,
            timer::BootTimer,
        },
        cli::{RunError, listen, log_reload_signals, stop_signal},
        conf::SiteEntrySettings,
        core::{
            dispatch::{DispatchEvent, DispatchSettings, Dispatcher},
            entry_list::EntryListReplica,
        },
    },
    std::{
        collections::BTreeMap,
        net::SocketAddr,
        sync::{Arc, Mutex, atomic::AtomicU64},
        time::Duration,
    },
    tokio::{
        sync::{mpsc, oneshot, watch},
        time::{Instant, sleep, sleep_until},
    },
};

/// Time for the load balancer to route new connections to other entries, in milliseconds; longer than
/// two of its probes, which are a second apart.
const BALANCER_DRAIN_MS: u64 = 3_000;
/// Margin between the process's own exit and the end of the stop grace period, in milliseconds.
const EXIT_MARGIN_MS: u64 = 400;
/// Interval at which unfinished jobs are polled on shutdown, in milliseconds.
const POLL_INTERVAL_MS: u64 = 50;

/// State that the components of an entry share.
struct Shared {
    process: SiteProcess,
    state: Arc<EntryState>,
    inputs: mpsc::UnboundedSender<LoopInput>,
}

impl Shared {
    fn operator_rows_watcher(&self) -> Arc<OperatorRowsWatcher> {
        Arc::new(OperatorRowsWatcher {
            store: Arc::clone(&self.process.store),
            timer: Arc::new(BootTimer),
            state: Arc::clone(&self.state),
            inputs: self.inputs.clone(),
            decisions: Arc::clone(&self.process.decisions),
            metrics: Arc::clone(&self.process.metrics),
            known: Mutex::default(),
        })
    }

    fn entry_registration(&self, entry: SocketAddr) -> Arc<EntryRegistration> {
        Arc::new(EntryRegistration {
            store: Arc::clone(&self.process.store),
            decisions: Arc::clone(&self.process.decisions),
            metrics: Arc::clone(&self.process.metrics),
            entry,
        })
    }

    fn dispatch_loop(
        &self,
        settings: &SiteEntrySettings,
        rows_watcher: Arc<OperatorRowsWatcher>,
    ) -> DispatchLoop {
        DispatchLoop {
            dispatcher: Dispatcher::new(DispatchSettings {
                limits: settings.site.limits,
                seed: rand::random(),
                remote_penalty_permille: settings.remote_penalty_permille,
            }),
            timer: Arc::new(BootTimer),
            state: Arc::clone(&self.state),
            rows_watcher,
            decisions: Arc::clone(&self.process.decisions),
            metrics: Arc::clone(&self.process.metrics),
            waiters: BTreeMap::new(),
            cancel_waiters: BTreeMap::new(),
            links: BTreeMap::new(),
            last_link_id: 0,
            input_sender: self.inputs.clone(),
        }
    }

    fn client_api(&self) -> Arc<dyn HttpHandler> {
        Arc::new(ClientApi {
            state: Arc::clone(&self.state),
            inputs: self.inputs.clone(),
            metrics: Arc::clone(&self.process.metrics),
            decisions: Arc::clone(&self.process.decisions),
            next_waiter: AtomicU64::new(1),
            started_at: Instant::now(),
        })
    }

    fn readiness_handler(&self) -> Arc<dyn HttpHandler> {
        Arc::new(ReadinessHandler {
            state: Arc::clone(&self.state),
        })
    }
}

/// Serves clients, readiness probes and metrics until `stopped` turns true.
async fn serve_http_endpoints(
    settings: &SiteEntrySettings,
    shared: &Shared,
    stopped: watch::Receiver<bool>,
) -> Result<(), RunError> {
    let client_listener = listen(settings.client_listen).await?;
    let balancer_listener = listen(settings.ready_listen).await?;
    let limits = settings.site.accepted.http;
    tokio::spawn(serve_limited_http(
        client_listener,
        shared.client_api(),
        shared.process.connections("clients", limits),
        stopped.clone(),
    ));
    tokio::spawn(serve_limited_http(
        balancer_listener,
        shared.readiness_handler(),
        shared.process.connections("readiness", limits.auxiliary()),
        stopped.clone(),
    ));
    shared.process.serve_metrics(&settings.site, stopped).await
}

/// Runs an entry until it is stopped and its jobs have finished.
pub(crate) async fn run_site_entry(settings: SiteEntrySettings) -> Result<(), RunError> {
    let (inputs, input_receiver) = mpsc::unbounded_channel();
    let (link_sender, links) = mpsc::unbounded_channel();
    let shared = Shared {
        process: SiteProcess::new(&settings.site)?,
        state: Arc::new(EntryState::default()),
        inputs,
    };
    let rows_watcher = shared.operator_rows_watcher();
    let entry_registration = shared.entry_registration(settings.link_addr);
    let dispatch = shared.dispatch_loop(&settings, Arc::clone(&rows_watcher));
    // Requests wait for the configuration, so it is read before anything else.
    tokio::spawn(rows_watcher.follow());
    let agent_listener = listen(settings.link_listen).await?;
    let (stop, stopped) = watch::channel(false);
    serve_http_endpoints(&settings, &shared, stopped).await?;
    tokio::spawn(dispatch.run(input_receiver, links));
    tokio::spawn(serve_links(
        agent_listener,
        link_sender,
        shared
            .process
            .connections("links", settings.site.accepted.peers),
        Arc::clone(&shared.process.metrics),
    ));
    for replica in EntryListReplica::ALL {
        tokio::spawn(Arc::clone(&entry_registration).maintain(replica));
    }
    tokio::spawn(log_reload_signals(Arc::clone(&shared.process.decisions)));
    shared.process.log_started(&settings.site);

    stop_signal().await;
    let shutdown = GracefulShutdown {
        grace_ms: settings.site.stop_grace_s * 1_000,
        shared,
        stop,
    };
    shutdown.run().await;
    Ok(())
}

/// Shutdown after a stop signal.
struct GracefulShutdown {
    grace_ms: u64,
    shared: Shared,
    stop: watch::Sender<bool>,
}

impl GracefulShutdown {
    async fn open_jobs(&self) -> usize {
        let (reply, open_jobs) = oneshot::channel();
        if self
            .shared
            .inputs
            .send(LoopInput::CountOpenJobs { reply })
            .is_err()
        {
            return 0;
        }
        open_jobs.await.unwrap_or(0)
    }

    /// Keeps serving until the load balancer routes clients elsewhere and no job is open.
    async fn run(self) {
        let started_at = Instant::now();
        let open = self.open_jobs().await;
        self.shared.process.log_event(&ProcessLogEvent::Stopping {
            open,
            grace_ms: self.grace_ms,
        });
        self.shared.state.set_leaving();
        // The loop runs as long as the process.
        let _ = self
            .shared
            .inputs
            .send(LoopInput::Event(DispatchEvent::Shutdown));
        let deadline =
            started_at + Duration::from_millis(self.grace_ms.saturating_sub(EXIT_MARGIN_MS));
        let drained_at = started_at + Duration::from_millis(BALANCER_DRAIN_MS);
        sleep_until(drained_at.min(deadline)).await;
        let _ = self.stop.send(true);
        while Instant::now() < deadline && self.open_jobs().await > 0 {
            sleep(Duration::from_millis(POLL_INTERVAL_MS)).await;
        }
        // Leaves time to write the last replies to their sockets.
        sleep(Duration::from_millis(POLL_INTERVAL_MS)).await;
        let open = self.open_jobs().await;
        self.shared
            .process
            .log_event(&ProcessLogEvent::Stopped { open });
        sleep(Duration::from_millis(POLL_INTERVAL_MS)).await;
    }
}
