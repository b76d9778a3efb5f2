//! One entry: its loops as shipped, in a host that may stop and start.

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
            tests::fakes::NoMetrics,
        },
    },
    serde_json::Value,
    std::{
        collections::{BTreeMap, BTreeSet},
        sync::{Arc, Mutex},
    },
    tokio::{sync::mpsc, task::JoinSet, time::Instant},
};

/// Remembers the zones that an entry takes as out.
#[derive(Debug, Default)]
struct ZoneLines(Mutex<BTreeSet<String>>);

impl DecisionLog for ZoneLines {
    fn write(&self, _: LogPriority, line: Value) {
        if line["event"] == "news_in_force" {
            let zones = serde_json::from_value(line["evacuated"].clone());
            *self.0.lock().expect("lock") = zones.expect("zones");
        }
    }
}

/// One life of an entry's process.
#[derive(Debug)]
pub(super) struct EntryLife {
    /// Ends with the life.
    tasks: Arc<Mutex<JoinSet<()>>>,
    state: Arc<EntryState>,
    lines: Arc<ZoneLines>,
    pub(super) opened: mpsc::UnboundedSender<AgentLink>,
    /// The highest version of the configuration that was in force.
    pub(super) highest: u64,
}

impl EntryLife {
    pub(super) fn start(
        host: &Arc<HostModel>,
        store: &Arc<StoreModel>,
        number: usize,
        origin: Instant,
        limits: RunLimits,
    ) -> Self {
        let (inputs, taken) = mpsc::unbounded_channel();
        let (opened, links) = mpsc::unbounded_channel();
        let lines = Arc::new(ZoneLines::default());
        let state = Arc::new(EntryState::default());
        let client = StoreClient {
            store: Arc::clone(store),
            host: Arc::clone(host),
            number,
        };
        let news = Arc::new(OperatorRowsWatcher {
            store: Arc::new(client),
            state: Arc::clone(&state),
            inputs: inputs.clone(),
            decisions: Arc::clone(&lines) as Arc<dyn DecisionLog>,
            metrics: Arc::new(NoMetrics),
            known: Mutex::default(),
        });
        let dispatch = DispatchLoop {
            dispatcher: Dispatcher::new(DispatchSettings { limits, seed: 1 }),
            timer: Arc::new(PausedTimer {
                host: Arc::clone(host),
                origin,
            }),
            state: Arc::clone(&state),
            news: Arc::clone(&news),
            decisions: Arc::clone(&lines) as Arc<dyn DecisionLog>,
            metrics: Arc::new(NoMetrics),
            waiters: BTreeMap::new(),
            links: BTreeMap::new(),
            last_link: 0,
            inputs_back: inputs,
        };
        let mut tasks = JoinSet::new();
        tasks.spawn(dispatch.run(taken, links));
        tasks.spawn(news.follow());
        Self {
            tasks: Arc::new(Mutex::new(tasks)),
            state,
            lines,
            opened,
            highest: 0,
        }
    }

    /// Runs a task for as long as the process lives.
    pub(super) fn spawn(&self, task: impl Future<Output = ()> + Send + 'static) {
        self.tasks.lock().expect("lock").spawn(task);
    }

    /// Version of the configuration in force; zero before the first.
    pub(super) fn version(&self) -> u64 {
        self.state.config().map_or(0, |config| config.version)
    }

    pub(super) fn zones_out(&self) -> BTreeSet<String> {
        self.lines.0.lock().expect("lock").clone()
    }
}
