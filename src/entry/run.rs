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
        cli::{RunError, stop_signal},
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
    tokio::net::TcpListener,
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

/// Runs an entry until SIGTERM or SIGINT; requests under way are answered first.
pub(crate) async fn run_entry(settings: EntrySettings) -> Result<(), RunError> {
    let metrics: Arc<dyn Metrics> = Arc::new(OtelMetrics::new().map_err(RunError::metrics)?);
    let timer: Arc<dyn TimerService> = Arc::new(TokioTimer::new());
    let peers = TcpListener::bind(settings.peer_listen)
        .await
        .map_err(|error| RunError::Listen(settings.peer_listen, error))?;
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
    let platform = Platform::new(&settings, &timer, &metrics);
    let store = platform.store(Urgency::Urgent);
    let keeper = Arc::new(ConfigKeeper {
        state: Arc::clone(&state),
        table: store.clone(),
        objects: store.clone(),
        timer: Arc::clone(&timer),
        metrics: Arc::clone(&metrics),
        operators: settings.operators.clone(),
        turn: tokio::sync::Mutex::default(),
    });
    let handler = Arc::new(EntryPeerHandler {
        state: Arc::clone(&state),
    });
    tokio::spawn(serve_peers(peers, handler, Arc::clone(&metrics)));
    let roster = RosterKeeper {
        state: Arc::clone(&state),
        keeper: Arc::clone(&keeper),
        table: store.clone(),
        timer: Arc::clone(&timer),
        is_registered: false,
        beat_at: None,
        surveyed_at: None,
    };
    let roster = tokio::spawn(roster.run(settings.head_poll_ms));
    let network: Arc<dyn PeerNetwork> = Arc::new(H2Client::new(Arc::clone(&metrics)));
    let exchange = Arc::new(DigestExchange {
        state: Arc::clone(&state),
        keeper: Arc::clone(&keeper),
        network: Arc::clone(&network),
        timer: Arc::clone(&timer),
        metrics: Arc::clone(&metrics),
        under_way: Mutex::default(),
    });
    tokio::spawn(Arc::clone(&exchange).tell_entries());
    tokio::spawn(exchange.tell_agents());
    tokio::spawn(keep_house(
        Arc::clone(&state),
        Arc::clone(&timer),
        Arc::clone(&metrics),
        Arc::clone(&platform.budget),
    ));
    let claims = Arc::new(Claims::new(
        Arc::clone(&state),
        platform.store(Urgency::Bulk),
        Arc::clone(&timer),
    ));
    tokio::spawn(Arc::clone(&claims).run());
    let api = Arc::new(EntryApi {
        jobs: Jobs {
            state: Arc::clone(&state),
            network,
            timer,
            metrics: Arc::clone(&metrics),
        },
        claims,
        state: Arc::clone(&state),
        keeper,
        metrics,
        max_body_bytes: settings.max_body_bytes,
        max_deadline_ms: settings.max_deadline_ms,
    });
    log::info!(name = settings.name.as_str(), client_listen:% = settings.client_listen; "entry started");
    serve_entry_api(settings.client_listen, api, stop_signal()).await?;
    // A beat that is under way must not bring the rows back.
    roster.abort();
    leave_roster(&state, store.as_ref()).await;
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
                .set_entries(timer.now(), entries);
        }
        metrics.set(Gauge::AgentsAlive, alive as u64);
        let version = state.in_force().map_or(0, |held| held.head.version);
        metrics.set(Gauge::ConfigVersion, version);
    }
}
