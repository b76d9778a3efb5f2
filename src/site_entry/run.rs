//! Wires an entry together and runs it until it is told to stop.

use {
    super::{
        dispatch_loop::{DispatchLoop, LoopInput},
        front::Front,
        listing::Listing,
        operator_rows_watcher::OperatorRowsWatcher,
        process_log_event::ProcessLogEvent,
        ready_probe::ReadyProbe,
        site_process::SiteProcess,
        state::EntryState,
    },
    crate::{
        adapters::{
            http::{HttpHandler, serve_http},
            link::serve_links,
            timer::BootTimer,
        },
        cli::{RunError, listen, reload_signals, stop_signal},
        conf::SiteEntrySettings,
        core::{
            dispatch::{DispatchEvent, DispatchSettings, Dispatcher},
            work::RunLimits,
        },
        ports::EntryListReplica,
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

/// Time for the balancer to send new connections elsewhere, in milliseconds: two probes, a second
/// apart, and one more second.
const BALANCER_MS: u64 = 3_000;
/// Time before the process is killed at which it ends by itself, in milliseconds.
const LAST_MS: u64 = 400;
/// Pause between looks at whether all jobs have ended, in milliseconds.
const LOOK_MS: u64 = 50;

/// What the parts of an entry share.
struct Shared {
    process: SiteProcess,
    state: Arc<EntryState>,
    inputs: mpsc::UnboundedSender<LoopInput>,
}

impl Shared {
    fn operator_rows_watcher(&self) -> Arc<OperatorRowsWatcher> {
        Arc::new(OperatorRowsWatcher {
            store: Arc::clone(&self.process.store),
            state: Arc::clone(&self.state),
            inputs: self.inputs.clone(),
            decisions: Arc::clone(&self.process.decisions),
            metrics: Arc::clone(&self.process.metrics),
            known: Mutex::default(),
        })
    }

    fn listing(&self, entry: SocketAddr) -> Arc<Listing> {
        Arc::new(Listing {
            store: Arc::clone(&self.process.store),
            decisions: Arc::clone(&self.process.decisions),
            metrics: Arc::clone(&self.process.metrics),
            entry,
            rows: Mutex::default(),
        })
    }

    fn dispatch_loop(&self, limits: RunLimits, news: Arc<OperatorRowsWatcher>) -> DispatchLoop {
        DispatchLoop {
            dispatcher: Dispatcher::new(DispatchSettings {
                limits,
                seed: rand::random(),
            }),
            timer: Arc::new(BootTimer),
            state: Arc::clone(&self.state),
            news,
            decisions: Arc::clone(&self.process.decisions),
            metrics: Arc::clone(&self.process.metrics),
            waiters: BTreeMap::new(),
            links: BTreeMap::new(),
            last_link: 0,
            inputs_back: self.inputs.clone(),
        }
    }

    fn front(&self) -> Arc<dyn HttpHandler> {
        Arc::new(Front {
            state: Arc::clone(&self.state),
            inputs: self.inputs.clone(),
            metrics: Arc::clone(&self.process.metrics),
            decisions: Arc::clone(&self.process.decisions),
            next_waiter: AtomicU64::new(1),
        })
    }

    fn ready_probe(&self) -> Arc<dyn HttpHandler> {
        Arc::new(ReadyProbe {
            state: Arc::clone(&self.state),
        })
    }
}

/// Serves clients, the balancer and whoever reads the metrics, until `stopped` turns true.
async fn serve_callers(
    settings: &SiteEntrySettings,
    shared: &Shared,
    stopped: watch::Receiver<bool>,
) -> Result<(), RunError> {
    let clients = listen(settings.client_listen).await?;
    let balancer = listen(settings.ready_listen).await?;
    tokio::spawn(serve_http(clients, shared.front(), stopped.clone()));
    tokio::spawn(serve_http(balancer, shared.ready_probe(), stopped.clone()));
    shared.process.serve_metrics(&settings.site, stopped).await
}

/// Runs until the process is told to stop and its jobs have ended.
pub(crate) async fn run_site_entry(settings: SiteEntrySettings) -> Result<(), RunError> {
    let (inputs, taken) = mpsc::unbounded_channel();
    let (opened, links) = mpsc::unbounded_channel();
    let shared = Shared {
        process: SiteProcess::new(&settings.site)?,
        state: Arc::new(EntryState::default()),
        inputs,
    };
    let news = shared.operator_rows_watcher();
    let listing = shared.listing(settings.link_addr);
    let dispatch = shared.dispatch_loop(settings.site.limits, Arc::clone(&news));
    let agents = listen(settings.link_listen).await?;
    let (stop, stopped) = watch::channel(false);
    serve_callers(&settings, &shared, stopped).await?;
    tokio::spawn(dispatch.run(taken, links));
    tokio::spawn(serve_links(
        agents,
        opened,
        Arc::clone(&shared.process.metrics),
    ));
    tokio::spawn(news.follow());
    for copy in EntryListReplica::ALL {
        tokio::spawn(Arc::clone(&listing).join(copy));
    }
    tokio::spawn(reload_signals(Arc::clone(&shared.process.decisions)));
    shared.process.note_started(&settings.site);

    stop_signal().await;
    let leaving = tokio::spawn(listing.leave());
    let ending = Ending {
        grace_ms: settings.site.stop_grace_s * 1_000,
        shared,
        stop,
    };
    ending.run().await;
    leaving.abort();
    Ok(())
}

/// A planned stop.
struct Ending {
    grace_ms: u64,
    shared: Shared,
    stop: watch::Sender<bool>,
}

impl Ending {
    async fn open_jobs(&self) -> usize {
        let (count, counted) = oneshot::channel();
        if self
            .shared
            .inputs
            .send(LoopInput::CountOpen { count })
            .is_err()
        {
            return 0;
        }
        counted.await.unwrap_or(0)
    }

    /// Serves on until the balancer sends clients elsewhere and all jobs have their answers.
    async fn run(self) {
        let begun_at = Instant::now();
        let open = self.open_jobs().await;
        self.shared.process.log_event(&ProcessLogEvent::Stopping {
            open,
            grace_ms: self.grace_ms,
        });
        self.shared.state.leave();
        // The loop ends only with the process.
        let _ = self
            .shared
            .inputs
            .send(LoopInput::Event(DispatchEvent::Shutdown));
        let last_at = begun_at + Duration::from_millis(self.grace_ms.saturating_sub(LAST_MS));
        let balanced_at = begun_at + Duration::from_millis(BALANCER_MS);
        sleep_until(balanced_at.min(last_at)).await;
        let _ = self.stop.send(true);
        while Instant::now() < last_at && self.open_jobs().await > 0 {
            sleep(Duration::from_millis(LOOK_MS)).await;
        }
        // Answers that were just given are still on their way out.
        sleep(Duration::from_millis(LOOK_MS)).await;
        let open = self.open_jobs().await;
        self.shared
            .process
            .log_event(&ProcessLogEvent::Stopped { open });
        sleep(Duration::from_millis(LOOK_MS)).await;
    }
}
