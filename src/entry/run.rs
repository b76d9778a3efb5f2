//! Wires an entry together and runs it until it is told to stop.

use {
    super::{
        Claims, ConfigKeeper, EntryState, Jobs,
        digest_exchange::DigestExchange,
        peer_handler::EntryPeerHandler,
        roster_keeper::{RosterKeeper, leave_roster},
    },
    crate::{
        adapters::{
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

/// Period of housekeeping, in milliseconds.
const HOUSEKEEPING_MS: u64 = 500;

/// Entries assumed until the roster has been read.
const ENTRIES_ASSUMED: u64 = 4;

/// The platform and this entry's share of it.
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
        let budget = StoreBudget::new(rates, ENTRIES_ASSUMED, rand::rng().random());
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

    /// The store for calls of this urgency, within the one budget.
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

/// What the parts of an entry share.
struct Shared {
    metrics: Arc<dyn Metrics>,
    timer: Arc<dyn TimerService>,
    network: Arc<dyn PeerNetwork>,
    state: Arc<EntryState>,
    keeper: Arc<ConfigKeeper>,
    platform: Platform,
}

impl Shared {
    fn new(settings: &EntrySettings) -> Result<Self, RunError> {
        let metrics: Arc<dyn Metrics> = Arc::new(OtelMetrics::new().map_err(RunError::metrics)?);
        let timer: Arc<dyn TimerService> = Arc::new(TokioTimer::new());
        let me = PeerEntry {
            entry: AgentId(rand::rng().random()),
            name: settings.name.clone(),
            peer_addr: settings.peer_addr,
        };
        let state = Arc::new(EntryState::new(
            me,
            Arc::clone(&timer),
            settings.outage_limit_ms,
            rand::rng().random(),
        ));
        let platform = Platform::new(settings, &timer, &metrics);
        let store = platform.store(Urgency::Urgent);
        let keeper = Arc::new(ConfigKeeper {
            state: Arc::clone(&state),
            table: store.clone(),
            objects: store,
            timer: Arc::clone(&timer),
            metrics: Arc::clone(&metrics),
            operators: settings.operators.clone(),
            turn: tokio::sync::Mutex::default(),
        });
        Ok(Self {
            network: Arc::new(H2Client::new(Arc::clone(&metrics))),
            metrics,
            timer,
            state,
            keeper,
            platform,
        })
    }

    /// Keeps this entry on the roster and reads the configuration.
    fn start_roster(&self, head_poll_ms: u64) -> JoinHandle<()> {
        let roster = RosterKeeper {
            state: Arc::clone(&self.state),
            keeper: Arc::clone(&self.keeper),
            table: self.platform.store(Urgency::Urgent),
            timer: Arc::clone(&self.timer),
            is_registered: false,
            beat_at: None,
            surveyed_at: None,
        };
        tokio::spawn(roster.run(head_poll_ms))
    }

    /// Tells other entries and agents what has changed, and drops what is out of date.
    fn start_exchange(&self) {
        let exchange = Arc::new(DigestExchange {
            state: Arc::clone(&self.state),
            keeper: Arc::clone(&self.keeper),
            network: Arc::clone(&self.network),
            timer: Arc::clone(&self.timer),
            metrics: Arc::clone(&self.metrics),
            under_way: Mutex::default(),
            fetching: tokio::sync::Mutex::default(),
        });
        tokio::spawn(Arc::clone(&exchange).tell_entries());
        tokio::spawn(exchange.tell_agents());
        tokio::spawn(keep_house(
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
            config: Arc::clone(&self.keeper),
            metrics: Arc::clone(&self.metrics),
            max_body_bytes: settings.max_body_bytes,
            max_deadline_ms: settings.max_deadline_ms,
        })
    }
}

/// Runs an entry until SIGTERM or SIGINT; requests under way are answered first.
pub(crate) async fn run_entry(settings: EntrySettings) -> Result<(), RunError> {
    let shared = Shared::new(&settings)?;
    let peers = listen(settings.peer_listen).await?;
    let handler = Arc::new(EntryPeerHandler {
        state: Arc::clone(&shared.state),
    });
    tokio::spawn(serve_peers(peers, handler, Arc::clone(&shared.metrics)));
    let roster = shared.start_roster(settings.head_poll_ms);
    shared.start_exchange();
    let api = shared.api(&settings);
    log::info!(name = settings.name.as_str(), client_listen:% = settings.client_listen; "entry started");
    serve_entry_api(settings.client_listen, api, stop_signal()).await?;
    // A beat that is under way must not bring the rows back.
    roster.abort();
    let store = shared.platform.store(Urgency::Urgent);
    leave_roster(&shared.state, store.as_ref()).await;
    log::info!("entry stopped");
    Ok(())
}

async fn keep_house(
    state: Arc<EntryState>,
    timer: Arc<dyn TimerService>,
    metrics: Arc<dyn Metrics>,
    budget: Arc<Mutex<StoreBudget>>,
) {
    let mut ticks = timer.subscribe(HOUSEKEEPING_MS);
    while ticks.recv().await.is_some() {
        let alive = state.expire();
        if let Some(entries) = state.entry_count() {
            budget
                .lock()
                .unwrap_or_else(PoisonError::into_inner)
                .set_entry_count(timer.now(), entries);
        }
        metrics.set(Gauge::AgentsAlive, alive as u64);
        let version = state.in_force().map_or(0, |held| held.head.version);
        metrics.set(Gauge::ConfigVersion, version);
    }
}
