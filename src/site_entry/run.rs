//! Wires an entry together and runs it until it is told to stop.

use {
    super::{
        dispatch_loop::{DispatchLoop, LoopInput},
        front::Front,
        news_keeper::NewsKeeper,
        process_note::ProcessNote,
        ready_probe::{ReadyProbe, ServiceProbe},
        state::EntryState,
    },
    crate::{
        adapters::{
            http::{HttpHandler, serve_http},
            link::serve_links,
            logging::DecisionWriter,
            metrics::OtelMetrics,
            timer::BootTimer,
        },
        cli::{RunError, reload_signals, stop_signal},
        conf::SiteEntrySettings,
        core::dispatch::{DispatchEvent, DispatchSettings, Dispatcher},
        platform::{PlatformCaller, RowsStore},
        ports::{DecisionLog, LineRank, Metrics, SiteStore, note},
    },
    std::{
        collections::BTreeMap,
        net::SocketAddr,
        sync::{Arc, Mutex, atomic::AtomicU64},
        time::Duration,
    },
    tokio::{
        net::TcpListener,
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

pub(super) async fn listen(addr: SocketAddr) -> Result<TcpListener, RunError> {
    TcpListener::bind(addr)
        .await
        .map_err(|error| RunError::Listen(addr, error))
}

/// Runs until the process is told to stop and its jobs have ended.
pub(crate) async fn run_site_entry(settings: SiteEntrySettings) -> Result<(), RunError> {
    let metrics: Arc<dyn Metrics> = Arc::new(OtelMetrics::new().map_err(RunError::metrics)?);
    let writer = DecisionWriter::start(&settings.site.name).map_err(RunError::Runtime)?;
    let decisions: Arc<dyn DecisionLog> = Arc::new(writer);
    let state = Arc::new(EntryState::default());
    let (inputs, taken) = mpsc::unbounded_channel();
    let (opened, links) = mpsc::unbounded_channel();
    let store: Arc<dyn SiteStore> =
        Arc::new(RowsStore::new(PlatformCaller::new(), settings.site.store));
    let news = Arc::new(NewsKeeper {
        store: Arc::clone(&store),
        state: Arc::clone(&state),
        inputs: inputs.clone(),
        decisions: Arc::clone(&decisions),
        metrics: Arc::clone(&metrics),
        newest: Mutex::new(None),
    });
    let dispatcher = Dispatcher::new(DispatchSettings {
        limits: settings.site.limits,
    });
    let dispatch = DispatchLoop {
        dispatcher,
        timer: Arc::new(BootTimer),
        state: Arc::clone(&state),
        news: Arc::clone(&news),
        decisions: Arc::clone(&decisions),
        metrics: Arc::clone(&metrics),
        waiters: BTreeMap::new(),
        links: BTreeMap::new(),
        last_link: 0,
        inputs_back: inputs.clone(),
    };
    let front: Arc<dyn HttpHandler> = Arc::new(Front {
        state: Arc::clone(&state),
        inputs: inputs.clone(),
        metrics: Arc::clone(&metrics),
        decisions: Arc::clone(&decisions),
        next_waiter: AtomicU64::new(1),
    });
    let ready: Arc<dyn HttpHandler> = Arc::new(ReadyProbe {
        state: Arc::clone(&state),
    });
    let probe: Arc<dyn HttpHandler> = Arc::new(ServiceProbe {
        metrics: Arc::clone(&metrics),
    });
    let (stop, stopped) = watch::channel(false);
    let clients = listen(settings.client_listen).await?;
    let agents = listen(settings.link_listen).await?;
    let balancer = listen(settings.ready_listen).await?;
    let readers = listen(settings.site.metrics_listen).await?;
    tokio::spawn(dispatch.run(taken, links));
    tokio::spawn(serve_links(agents, opened, Arc::clone(&metrics)));
    tokio::spawn(serve_http(clients, front, stopped.clone()));
    tokio::spawn(serve_http(balancer, ready, stopped.clone()));
    tokio::spawn(serve_http(readers, probe, stopped));
    tokio::spawn(Arc::clone(&news).follow());
    let link_addr = settings.link_addr;
    let joining = Arc::clone(&news);
    tokio::spawn(async move { joining.join(link_addr).await });
    tokio::spawn(reload_signals(Arc::clone(&decisions)));
    let started = ProcessNote::Started {
        version: env!("CARGO_PKG_VERSION"),
        availability_zone: settings.site.availability_zone.clone(),
    };
    note(&*decisions, LineRank::Notable, &started);

    stop_signal().await;
    let ending = Ending {
        grace_ms: settings.site.stop_grace_s * 1_000,
        state,
        inputs,
        decisions,
        stop,
    };
    let removing = tokio::spawn(async move { store.remove_entry(link_addr).await });
    ending.run().await;
    removing.abort();
    Ok(())
}

/// A planned stop.
struct Ending {
    grace_ms: u64,
    state: Arc<EntryState>,
    inputs: mpsc::UnboundedSender<LoopInput>,
    decisions: Arc<dyn DecisionLog>,
    stop: watch::Sender<bool>,
}

impl Ending {
    async fn open_jobs(&self) -> usize {
        let (count, counted) = oneshot::channel();
        if self.inputs.send(LoopInput::CountOpen { count }).is_err() {
            return 0;
        }
        counted.await.unwrap_or(0)
    }

    /// Serves on until the balancer sends clients elsewhere and all jobs have their answers.
    async fn run(self) {
        let begun_at = Instant::now();
        let open = self.open_jobs().await;
        let stopping = ProcessNote::Stopping {
            open,
            grace_ms: self.grace_ms,
        };
        note(&*self.decisions, LineRank::Notable, &stopping);
        self.state.leave();
        // The loop ends only with the process.
        let _ = self.inputs.send(LoopInput::Event(DispatchEvent::Leave));
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
        note(
            &*self.decisions,
            LineRank::Notable,
            &ProcessNote::Stopped { open },
        );
        sleep(Duration::from_millis(LOOK_MS)).await;
    }
}
