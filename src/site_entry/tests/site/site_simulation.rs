//! The simulated site, its scheduled events and the invariants checked at each step.

use {
    super::{
        HostModel, StoreFault,
        agent_model::{AgentInput, connect, run_agent},
        entry_model::EntryIncarnation,
        store_model::{FIRST_AGENT, StoreClient, StoreModel, ZONE},
    },
    crate::{
        adapters::link::FrameDuplex,
        core::{
            execution::{ExecutionEvent, SessionId},
            link::{AgentFrame, EntryFrame},
            work::RunLimits,
        },
    },
    std::{
        collections::BTreeSet,
        sync::{
            Arc, Mutex,
            atomic::{AtomicU64, Ordering},
        },
        time::Duration,
    },
    tokio::{
        sync::{mpsc, oneshot},
        task::JoinSet,
        time::{Instant, sleep},
    },
};

/// Time after its acknowledgement within which a change must apply.
const CONFIG_APPLY_LIMIT: Duration = Duration::from_millis(3_000);
const EVACUATION_LIMIT: Duration = Duration::from_millis(5_000);
/// Time without faults of host and store after which these limits hold.
const CALM_PERIOD: Duration = Duration::from_millis(4_000);
/// Added to the limits while the store refuses some hosts.
const PARTIAL_OUTAGE_EXTRA_TIME: Duration = Duration::from_millis(6_000);
const STEP_MS: u64 = 20;
const DIAL_INTERVAL_MS: u64 = 50;
const AGENT_MBIT_PER_S: u64 = 1_000;

/// Scheduled event of the simulation.
#[derive(Debug, Clone, Copy)]
pub(in crate::site_entry::tests) enum SiteEvent {
    /// The operator writes a configuration document of this version and length.
    Config {
        version: u64,
        bytes: usize,
    },
    /// The operator evacuates or restores a zone.
    Zone {
        is_evacuated: bool,
    },
    Store {
        fault: StoreFault,
        for_ms: u64,
    },
    DiscardHistory,
    StopEntry {
        entry: usize,
        down_ms: u64,
    },
    FreezeEntry {
        entry: usize,
        for_ms: u64,
    },
    StopAgent {
        agent: usize,
        down_ms: u64,
    },
    StartEntry {
        entry: usize,
    },
    StartAgent {
        agent: usize,
    },
}

/// Topology and schedule of a simulation.
#[derive(Debug)]
pub(in crate::site_entry::tests) struct SitePlan {
    /// Bandwidth of each entry's link, in Mbit/s.
    pub(in crate::site_entry::tests) entry_links: Vec<u64>,
    pub(in crate::site_entry::tests) agents: usize,
    /// Events by time in milliseconds.
    pub(in crate::site_entry::tests) events: Vec<(u64, SiteEvent)>,
    pub(in crate::site_entry::tests) end_ms: u64,
}

#[derive(Debug)]
struct Shared {
    origin: Instant,
    limits: RunLimits,
    store: Arc<StoreModel>,
    entry_hosts: Vec<Arc<HostModel>>,
    agent_hosts: Vec<Arc<HostModel>>,
    entries: Vec<Mutex<Option<EntryIncarnation>>>,
    last_session: AtomicU64,
    disconnected_sessions: AtomicU64,
}

/// A running site.
#[derive(Debug)]
pub(in crate::site_entry::tests) struct SiteSimulation {
    shared: Arc<Shared>,
    agents: Vec<JoinSet<()>>,
    events: Vec<(u64, SiteEvent)>,
    end_ms: u64,
    configs: Vec<(Instant, u64)>,
    zones: Vec<(Instant, BTreeSet<String>)>,
    /// Violated invariants.
    pub(in crate::site_entry::tests) violations: Vec<String>,
}

fn document(version: u64, bytes: usize) -> Arc<[u8]> {
    let padding = "x".repeat(bytes);
    Arc::from(format!(r#"{{"version":{version},"padding":"{padding}"}}"#).into_bytes())
}

impl SiteSimulation {
    /// Starts a site whose first configuration has version 1.
    pub(in crate::site_entry::tests) fn start(plan: SitePlan) -> Self {
        let hosts = |links: Vec<u64>| -> Vec<Arc<HostModel>> {
            links
                .into_iter()
                .map(|link| Arc::new(HostModel::new(link)))
                .collect()
        };
        let entries = plan.entry_links.len();
        let shared = Arc::new(Shared {
            origin: Instant::now(),
            limits: RunLimits::for_resend(1_300, 50),
            store: Arc::new(StoreModel::new(document(1, 10_000))),
            entry_hosts: hosts(plan.entry_links),
            agent_hosts: hosts(vec![AGENT_MBIT_PER_S; plan.agents]),
            entries: (0..entries).map(|_| Mutex::new(None)).collect(),
            last_session: AtomicU64::new(0),
            disconnected_sessions: AtomicU64::new(0),
        });
        let mut site = Self {
            agents: (0..plan.agents).map(|_| JoinSet::new()).collect(),
            events: plan.events,
            end_ms: plan.end_ms,
            configs: vec![(shared.origin, 1)],
            zones: vec![(shared.origin, BTreeSet::new())],
            violations: Vec::new(),
            shared,
        };
        site.events.sort_by_key(|(at_ms, _)| *at_ms);
        (0..entries).for_each(|entry| site.shared.start_entry(entry));
        (0..plan.agents).for_each(|agent| site.start_agent(agent));
        site
    }

    /// Runs to the end of the schedule or to the first violation.
    pub(in crate::site_entry::tests) async fn run(&mut self) {
        for now_ms in (0..self.end_ms).step_by(STEP_MS as usize) {
            while self
                .events
                .first()
                .is_some_and(|(at_ms, _)| *at_ms <= now_ms)
            {
                let (_, event) = self.events.remove(0);
                self.apply(now_ms, event);
            }
            sleep(Duration::from_millis(STEP_MS)).await;
            self.check_invariants(now_ms);
            if !self.violations.is_empty() {
                return;
            }
        }
    }

    /// Number of disconnected sessions.
    pub(in crate::site_entry::tests) fn disconnected_sessions(&self) -> u64 {
        self.shared.disconnected_sessions.load(Ordering::Relaxed)
    }

    /// Number of calls from all hosts to the store.
    pub(in crate::site_entry::tests) fn store_calls(&self) -> u64 {
        self.shared.store.calls()
    }

    fn schedule(&mut self, at_ms: u64, event: SiteEvent) {
        self.events.push((at_ms, event));
        self.events.sort_by_key(|(at_ms, _)| *at_ms);
    }

    fn apply(&mut self, now_ms: u64, event: SiteEvent) {
        let shared = Arc::clone(&self.shared);
        match event {
            SiteEvent::Config { version, bytes } => {
                let text = document(version, bytes);
                shared.store.write_document(text);
                self.configs.push((Instant::now(), version));
            }
            SiteEvent::Zone { is_evacuated } => {
                let zones: BTreeSet<String> =
                    is_evacuated.then(|| ZONE.to_owned()).into_iter().collect();
                shared.store.write_zones(&zones);
                self.zones.push((Instant::now(), zones));
            }
            SiteEvent::Store { fault, for_ms } => shared.store.fail(fault, for_ms),
            SiteEvent::DiscardHistory => shared.store.discard_history(),
            SiteEvent::StopEntry { entry, down_ms } => {
                shared.entries[entry].lock().expect("lock").take();
                shared.entry_hosts[entry].mark_disturbed();
                self.schedule(now_ms + down_ms, SiteEvent::StartEntry { entry });
            }
            SiteEvent::FreezeEntry { entry, for_ms } => shared.entry_hosts[entry].freeze(for_ms),
            SiteEvent::StopAgent { agent, down_ms } => {
                self.agents[agent] = JoinSet::new();
                self.schedule(now_ms + down_ms, SiteEvent::StartAgent { agent });
            }
            SiteEvent::StartEntry { entry } => shared.start_entry(entry),
            SiteEvent::StartAgent { agent } => self.start_agent(agent),
        }
    }

    fn start_agent(&mut self, agent: usize) {
        let (inputs, input_receiver) = mpsc::unbounded_channel();
        let shared = &self.shared;
        let mut tasks = JoinSet::new();
        tasks.spawn(run_agent(
            format!("agent-{agent}"),
            Arc::clone(&shared.agent_hosts[agent]),
            shared.origin,
            shared.limits,
            StoreClient {
                store: Arc::clone(&shared.store),
                host: Arc::clone(&shared.agent_hosts[agent]),
                number: FIRST_AGENT + agent,
            },
            (inputs.clone(), input_receiver),
        ));
        for entry in 0..shared.entries.len() {
            tasks.spawn(Arc::clone(shared).maintain_session(agent, entry, inputs.clone()));
        }
        self.agents[agent] = tasks;
    }

    fn check_invariants(&mut self, now_ms: u64) {
        let now = Instant::now();
        let newest_due = |acked: &[(Instant, u64)], allowed| {
            let due = acked.iter().filter(|(at, _)| now - *at >= allowed);
            due.map(|(_, version)| *version).max().unwrap_or(0)
        };
        for (number, entry) in self.shared.entries.iter().enumerate() {
            let mut entry = entry.lock().expect("lock");
            let Some(incarnation) = entry.as_mut() else {
                continue;
            };
            let version = incarnation.config_version();
            let highest = incarnation.highest_version;
            if version < highest {
                self.violations.push(format!(
                    "{now_ms} ms: entry {number} went from {highest} to {version}"
                ));
            }
            incarnation.highest_version = version;
            let Some(extra_time) = self.shared.extra_time(number) else {
                continue;
            };
            let due = newest_due(&self.configs, CONFIG_APPLY_LIMIT + extra_time);
            if version < due {
                self.violations.push(format!(
                    "{now_ms} ms: entry {number} applies version {version} instead of {due}"
                ));
            }
            let is_due =
                |(at, _): &&(Instant, BTreeSet<String>)| now - *at >= EVACUATION_LIMIT + extra_time;
            let due = self.zones.iter().filter(is_due).count().saturating_sub(1);
            let known = incarnation.evacuated_zones();
            if self.zones[due..].iter().all(|(_, zones)| *zones != known) {
                self.violations.push(format!(
                    "{now_ms} ms: entry {number} treats {known:?} as evacuated"
                ));
            }
        }
    }
}

impl Shared {
    /// Returns the time currently added to an entry's limits, or none where the limits don't hold.
    fn extra_time(&self, entry: usize) -> Option<Duration> {
        if self.entry_hosts[entry].undisturbed_for() < CALM_PERIOD {
            None
        } else if self.store.undisturbed_for(false) >= CALM_PERIOD {
            Some(Duration::ZERO)
        } else {
            (self.store.undisturbed_for(true) >= CALM_PERIOD).then_some(PARTIAL_OUTAGE_EXTRA_TIME)
        }
    }

    fn start_entry(&self, entry: usize) {
        let host = &self.entry_hosts[entry];
        host.mark_disturbed();
        let incarnation =
            EntryIncarnation::start(host, &self.store, entry, self.origin, self.limits);
        *self.entries[entry].lock().expect("lock") = Some(incarnation);
    }

    fn connect(&self, agent: usize, entry: usize) -> Option<FrameDuplex<EntryFrame, AgentFrame>> {
        let incarnation = self.entries[entry].lock().expect("lock");
        let incarnation = incarnation.as_ref()?;
        let (entry_end, agent_end) = connect(
            &self.entry_hosts[entry],
            &self.agent_hosts[agent],
            |relay| incarnation.spawn(relay),
        );
        incarnation.link_sender.send(entry_end).ok()?;
        Some(agent_end)
    }

    /// Connects an agent to an entry, and reconnects after each disconnect.
    async fn maintain_session(
        self: Arc<Self>,
        agent: usize,
        entry: usize,
        inputs: mpsc::UnboundedSender<AgentInput>,
    ) {
        loop {
            if let Some(mut duplex) = self.connect(agent, entry) {
                let session = SessionId(self.last_session.fetch_add(1, Ordering::Relaxed));
                let (drained, session_drained) = oneshot::channel();
                let outgoing = duplex.outgoing;
                let event = AgentInput::SessionOpened {
                    session,
                    outgoing,
                    drained,
                };
                let _: Result<(), _> = inputs.send(event);
                while let Some(frame) = duplex.incoming.recv().await {
                    let event = ExecutionEvent::Frame { session, frame };
                    let _: Result<(), _> = inputs.send(AgentInput::Event(event));
                }
                self.disconnected_sessions.fetch_add(1, Ordering::Relaxed);
                let event = AgentInput::Event(ExecutionEvent::SessionLost { session });
                let _: Result<(), _> = inputs.send(event);
                let _: Result<(), _> = session_drained.await;
            }
            sleep(Duration::from_millis(DIAL_INTERVAL_MS)).await;
        }
    }
}
