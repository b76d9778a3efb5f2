//! Wires an entry's parts together and runs it until a stop signal.

use {
    super::{
        Claims, ConfigStore, EntryState, Jobs,
        digest_exchange::DigestExchange,
        peer_handler::EntryPeerHandler,
        roster_sync::{RosterSync, deregister},
    },
    crate::{
        adapters::{
            connections::ServerConnections,
            http::{EntryApi, serve_entry_api},
            metrics::OtelMetrics,
            peer::{H2Client, serve_peers},
            platform::{BudgetedStore, HttpStore},
            timer::TokioTimer,
        },
        cli::{RunError, listen, stop_signal},
        conf::EntrySettings,
        core::{
            message::PeerEntry,
            store_budget::{StoreBudget, StoreRates, Urgency},
            ticket::AgentId,
        },
        ports::{Gauge, Metrics, PeerNetwork, TimerService},
    },
    rand::RngExt,
    std::sync::{Arc, Mutex, PoisonError},
    tokio::task::JoinHandle,
};

const MAINTENANCE_INTERVAL_MS: u64 = 500;

/// Number of entries sharing the store budget until the roster has been read.
const ASSUMED_ENTRY_COUNT: u64 = 4;

/// The platform's store and this entry's budget of calls.
#[derive(Debug)]
struct Platform {
    store: Arc<HttpStore>,
    budget: Arc<Mutex<StoreBudget>>,
    timer: Arc<dyn TimerService>,
    metrics: Arc<dyn Metrics>,
}

impl Platform {
    fn new(
        settings: &EntrySettings,
        timer: &Arc<dyn TimerService>,
        metrics: &Arc<dyn Metrics>,
    ) -> Self {
        let rates = StoreRates {
            reads_per_s: settings.platform_reads_per_s,
            writes_per_s: settings.platform_writes_per_s,
        };
        let budget = StoreBudget::new(rates, ASSUMED_ENTRY_COUNT, rand::rng().random());
        Self {
            store: Arc::new(HttpStore::new(
                settings.platform,
                settings.platform_timeout_ms,
                Arc::clone(metrics),
            )),
            budget: Arc::new(Mutex::new(budget)),
            timer: Arc::clone(timer),
            metrics: Arc::clone(metrics),
        }
    }

    /// Returns a store for calls of this urgency; all stores share one budget.
    fn store(&self, urgency: Urgency) -> Arc<BudgetedStore<HttpStore>> {
        Arc::new(BudgetedStore {
            store: Arc::clone(&self.store),
            budget: Arc::clone(&self.budget),
            urgency,
            timer: Arc::clone(&self.timer),
            metrics: Arc::clone(&self.metrics),
        })
    }
}

/// Dependencies shared by the parts of an entry.
struct Shared {
    metrics: Arc<dyn Metrics>,
    timer: Arc<dyn TimerService>,
    network: Arc<dyn PeerNetwork>,
    state: Arc<EntryState>,
    config_store: Arc<ConfigStore>,
    platform: Platform,
}

impl Shared {
    fn new(settings: &EntrySettings) -> Result<Self, RunError> {
        let metrics: Arc<dyn Metrics> = Arc::new(OtelMetrics::new().map_err(RunError::metrics)?);
        let timer: Arc<dyn TimerService> = Arc::new(TokioTimer::new());
        let local_entry = PeerEntry {
            entry: AgentId(rand::rng().random()),
            name: settings.name.clone(),
            peer_addr: settings.peer_addr,
        };
        let state = Arc::new(EntryState::new(
            local_entry,
            Arc::clone(&timer),
            settings.outage_limit_ms,
            rand::rng().random(),
        ));
        let platform = Platform::new(settings, &timer, &metrics);
        let store = platform.store(Urgency::Urgent);
        let config_store = Arc::new(ConfigStore {
            state: Arc::clone(&state),
            table: store.clone(),
            objects: store,
            timer: Arc::clone(&timer),
            metrics: Arc::clone(&metrics),
            operators: settings.operators.clone(),
            change_lock: tokio::sync::Mutex::default(),
        });
        Ok(Self {
            network: Arc::new(H2Client::new(Arc::clone(&metrics))),
            metrics,
            timer,
            state,
            config_store,
            platform,
        })
    }

    /// Starts registration on the roster and reading of the configuration.
    fn start_roster(&self, head_poll_ms: u64) -> JoinHandle<()> {
        let roster = RosterSync {
            state: Arc::clone(&self.state),
            config_store: Arc::clone(&self.config_store),
            table: self.platform.store(Urgency::Urgent),
            timer: Arc::clone(&self.timer),
            is_registered: false,
            heartbeat_sent_at: None,
            scanned_at: None,
        };
        tokio::spawn(roster.run(head_poll_ms))
    }

    /// Starts digests, notices to agents and periodic maintenance.
    fn start_exchange(&self) {
        let exchange = Arc::new(DigestExchange {
            state: Arc::clone(&self.state),
            config_store: Arc::clone(&self.config_store),
            network: Arc::clone(&self.network),
            timer: Arc::clone(&self.timer),
            metrics: Arc::clone(&self.metrics),
            in_flight: Mutex::default(),
            fetch_lock: tokio::sync::Mutex::default(),
        });
        tokio::spawn(Arc::clone(&exchange).send_digests());
        tokio::spawn(exchange.send_gate_notices());
        tokio::spawn(run_maintenance(
            Arc::clone(&self.state),
            Arc::clone(&self.timer),
            Arc::clone(&self.metrics),
            Arc::clone(&self.platform.budget),
        ));
    }

    fn start_claims(&self) -> Arc<Claims> {
        let claims = Arc::new(Claims::new(
            Arc::clone(&self.state),
            self.platform.store(Urgency::Bulk),
            Arc::clone(&self.timer),
        ));
        tokio::spawn(Arc::clone(&claims).run());
        claims
    }

    fn api(&self, settings: &EntrySettings) -> Arc<EntryApi> {
        Arc::new(EntryApi {
            jobs: Jobs {
                state: Arc::clone(&self.state),
                network: Arc::clone(&self.network),
                timer: Arc::clone(&self.timer),
                metrics: Arc::clone(&self.metrics),
            },
            claims: self.start_claims(),
            state: Arc::clone(&self.state),
            config_store: Arc::clone(&self.config_store),
            metrics: Arc::clone(&self.metrics),
            max_deadline_ms: settings.max_deadline_ms,
        })
    }
}

/// Runs an entry until SIGTERM or SIGINT; requests in flight complete first.
pub(crate) async fn run_entry(settings: EntrySettings) -> Result<(), RunError> {
    let shared = Shared::new(&settings)?;
    let peers = listen(settings.peer_listen).await?;
    let handler = Arc::new(EntryPeerHandler {
        state: Arc::clone(&shared.state),
    });
    let connections = ServerConnections::new("peers", settings.accepted.peers, &shared.metrics);
    tokio::spawn(serve_peers(
        peers,
        handler,
        connections,
        Arc::clone(&shared.metrics),
    ));
    let roster = shared.start_roster(settings.head_poll_ms);
    shared.start_exchange();
    let api = shared.api(&settings);
    log::info!(name = settings.name.as_str(), client_listen:% = settings.client_listen; "entry started");
    let connections = ServerConnections::new("http", settings.accepted.http, &shared.metrics);
    serve_entry_api(
        settings.client_listen,
        api,
        settings.http_limits,
        connections,
        stop_signal(),
    )
    .await?;
    // Stopped before the rows are removed, so that it doesn't register again.
    roster.abort();
    let store = shared.platform.store(Urgency::Urgent);
    deregister(&shared.state, store.as_ref()).await;
    log::info!("entry stopped");
    Ok(())
}

async fn run_maintenance(
    state: Arc<EntryState>,
    timer: Arc<dyn TimerService>,
    metrics: Arc<dyn Metrics>,
    budget: Arc<Mutex<StoreBudget>>,
) {
    let mut ticks = timer.subscribe(MAINTENANCE_INTERVAL_MS);
    while ticks.recv().await.is_some() {
        let alive = state.expire();
        if let Some(entries) = state.entry_count() {
            budget
                .lock()
                .unwrap_or_else(PoisonError::into_inner)
                .set_entry_count(timer.now(), entries);
        }
        metrics.set(Gauge::AgentsAlive, alive as u64);
        let version = state.in_force().map_or(0, |in_force| in_force.head.version);
        metrics.set(Gauge::ConfigVersion, version);
    }
}
