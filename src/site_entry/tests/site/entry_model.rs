//! Entry of the simulation: the production loops on a host that may stop and start.

use {
    super::{
        HostModel,
        paused_timer::PausedTimer,
        store_model::{StoreClient, StoreModel},
    },
    crate::{
        core::{
            dispatch::{DispatchSettings, Dispatcher},
            work::RunLimits,
        },
        ports::{DecisionLog, LogPriority},
        site_entry::{
            dispatch_loop::{AgentLink, DispatchLoop},
            operator_rows_watcher::OperatorRowsWatcher,
            state::EntryState,
            tests::fakes::NoopMetrics,
        },
    },
    serde_json::Value,
    std::{
        collections::{BTreeMap, BTreeSet},
        sync::{Arc, Mutex},
    },
    tokio::{sync::mpsc, task::JoinSet, time::Instant},
};

/// Records the evacuated zones that an entry logs.
#[derive(Debug, Default)]
struct EvacuatedZonesLog(Mutex<BTreeSet<String>>);

impl DecisionLog for EvacuatedZonesLog {
    fn write(&self, _: LogPriority, line: Value) {
        if line["event"] == "news_in_force" {
            let zones = serde_json::from_value(line["evacuated"].clone());
            *self.0.lock().expect("lock") = zones.expect("zones");
        }
    }
}

/// One start of an entry's process.
#[derive(Debug)]
pub(super) struct EntryIncarnation {
    /// Aborted when the incarnation is dropped.
    tasks: Arc<Mutex<JoinSet<()>>>,
    state: Arc<EntryState>,
    zones_log: Arc<EvacuatedZonesLog>,
    pub(super) link_sender: mpsc::UnboundedSender<AgentLink>,
    /// Highest configuration version seen by the checks so far.
    pub(super) highest_version: u64,
}

impl EntryIncarnation {
    pub(super) fn start(
        host: &Arc<HostModel>,
        store: &Arc<StoreModel>,
        number: usize,
        origin: Instant,
        limits: RunLimits,
    ) -> Self {
        let (inputs, input_receiver) = mpsc::unbounded_channel();
        let (link_sender, links) = mpsc::unbounded_channel();
        let zones_log = Arc::new(EvacuatedZonesLog::default());
        let state = Arc::new(EntryState::default());
        let client = StoreClient {
            store: Arc::clone(store),
            host: Arc::clone(host),
            number,
        };
        let rows_watcher = Arc::new(OperatorRowsWatcher {
            store: Arc::new(client),
            timer: Arc::new(PausedTimer {
                host: Arc::clone(host),
                origin,
            }),
            state: Arc::clone(&state),
            inputs: inputs.clone(),
            decisions: Arc::clone(&zones_log) as Arc<dyn DecisionLog>,
            metrics: Arc::new(NoopMetrics),
            known: Mutex::default(),
        });
        let dispatch = DispatchLoop {
            dispatcher: Dispatcher::new(DispatchSettings {
                limits,
                seed: 1,
                remote_penalty_permille: 1_000,
            }),
            timer: Arc::new(PausedTimer {
                host: Arc::clone(host),
                origin,
            }),
            state: Arc::clone(&state),
            rows_watcher: Arc::clone(&rows_watcher),
            decisions: Arc::clone(&zones_log) as Arc<dyn DecisionLog>,
            metrics: Arc::new(NoopMetrics),
            waiters: BTreeMap::new(),
            cancel_waiters: BTreeMap::new(),
            links: BTreeMap::new(),
            last_link_id: 0,
            input_sender: inputs,
        };
        let mut tasks = JoinSet::new();
        tasks.spawn(dispatch.run(input_receiver, links));
        tasks.spawn(rows_watcher.follow());
        Self {
            tasks: Arc::new(Mutex::new(tasks)),
            state,
            zones_log,
            link_sender,
            highest_version: 0,
        }
    }

    /// Runs a task until the process stops.
    pub(super) fn spawn(&self, task: impl Future<Output = ()> + Send + 'static) {
        self.tasks.lock().expect("lock").spawn(task);
    }

    /// Returns the version of the configuration in force; zero before the first.
    pub(super) fn config_version(&self) -> u64 {
        self.state.config().map_or(0, |config| config.version)
    }

    pub(super) fn evacuated_zones(&self) -> BTreeSet<String> {
        self.zones_log.0.lock().expect("lock").clone()
    }
}
