//! Event loop of an agent: passes events to the executor and executes its actions.

use {
    crate::{
        adapters::link::FrameDuplex,
        core::{
            document::Document,
            execution::{
                ExecutionAction, ExecutionEvent, ExecutionLogEvent, Executor, LeavingWorker,
                SessionId,
            },
            link::{AgentFrame, EntryFrame},
            work::WorkerView,
        },
        ports::{
            Counter, DecisionLog, Gauge, LogPriority, Metrics, OperatorChange, SiteStore,
            StoreError, TimerService, WorkerClient, log_decision,
        },
    },
    std::{collections::BTreeMap, sync::Arc},
    tokio::sync::{mpsc, oneshot, watch},
};

/// Tick interval in milliseconds; leases and timeouts are checked at this resolution.
const TICK_MS: u64 = 20;
/// Time that the store may wait for a change of the document, in milliseconds.
const DOCUMENT_WAIT_MS: u64 = 50;

/// Connection of this agent to an entry.
pub(super) type EntryLink = FrameDuplex<EntryFrame, AgentFrame>;

/// Input of the event loop.
#[derive(Debug)]
pub(super) enum LoopInput {
    /// An event for the executor.
    Event(ExecutionEvent),
    /// An event from the worker, which waits until it is handled.
    Report {
        event: ExecutionEvent,
        handled: oneshot::Sender<()>,
    },
    /// The worker announced that it leaves, and waits until none of its runs is left.
    WorkerLeaving {
        worker: LeavingWorker,
        stopped: oneshot::Sender<()>,
    },
    /// A session with an entry was opened.
    SessionOpened {
        session: SessionId,
        entry: String,
        outgoing: mpsc::UnboundedSender<AgentFrame>,
        /// Notified once the session has ended and none of its runs is left.
        drained: oneshot::Sender<()>,
    },
    /// Requests the number of unfinished runs.
    CountRuns { reply: oneshot::Sender<usize> },
}

/// Owns the executor and the open sessions.
#[derive(Debug)]
pub(super) struct ExecutionLoop {
    pub(super) executor: Executor,
    pub(super) worker: Arc<dyn WorkerClient>,
    pub(super) store: Arc<dyn SiteStore>,
    pub(super) timer: Arc<dyn TimerService>,
    pub(super) decisions: Arc<dyn DecisionLog>,
    pub(super) metrics: Arc<dyn Metrics>,
    pub(super) sessions: BTreeMap<SessionId, mpsc::UnboundedSender<AgentFrame>>,
    pub(super) drain_notifiers: BTreeMap<SessionId, oneshot::Sender<()>>,
    /// Announcements of leaving workers that are not acknowledged yet.
    pub(super) departures: Vec<(LeavingWorker, oneshot::Sender<()>)>,
    /// Latest view of the worker, persisted for the agent's next process.
    pub(super) worker_view: watch::Sender<Option<WorkerView>>,
    /// Turns true once no run of an earlier process is left at the worker.
    pub(super) stale_runs_stopped: watch::Sender<bool>,
    pub(super) input_sender: mpsc::UnboundedSender<LoopInput>,
}

impl ExecutionLoop {
    /// Runs until an input channel closes.
    pub(super) async fn run(mut self, mut inputs: mpsc::UnboundedReceiver<LoopInput>) {
        let mut ticks = self.timer.subscribe(TICK_MS);
        loop {
            tokio::select! {
                input = inputs.recv() => match input {
                    Some(input) => self.handle_input(input),
                    None => return,
                },
                tick = ticks.recv() => match tick {
                    Some(_) => self.handle(ExecutionEvent::Tick),
                    None => return,
                },
            }
        }
    }

    fn handle_input(&mut self, input: LoopInput) {
        match input {
            LoopInput::Event(event) => self.handle(event),
            LoopInput::Report { event, handled } => {
                self.handle(event);
                // The worker may have given up waiting.
                let _ = handled.send(());
            }
            LoopInput::WorkerLeaving { worker, stopped } => {
                self.departures.push((worker.clone(), stopped));
                self.handle(ExecutionEvent::WorkerLeaving(worker));
            }
            LoopInput::SessionOpened {
                session,
                entry,
                outgoing,
                drained,
            } => {
                self.sessions.insert(session, outgoing);
                self.drain_notifiers.insert(session, drained);
                self.handle(ExecutionEvent::SessionOpened { session, entry });
            }
            LoopInput::CountRuns { reply } => {
                let _ = reply.send(self.executor.run_count());
            }
        }
    }

    fn handle(&mut self, event: ExecutionEvent) {
        let now = self.timer.now();
        for action in self.executor.handle(now, event) {
            self.execute(action);
        }
        self.acknowledge_departures();
        let runs = u64::try_from(self.executor.run_count()).unwrap_or(u64::MAX);
        self.metrics.set(Gauge::TasksRunning, runs);
        let slowness_permille = u64::from(self.executor.slowness_permille());
        self.metrics.set(Gauge::Slowness, slowness_permille);
    }

    fn acknowledge_departures(&mut self) {
        let executor = &self.executor;
        let is_stopped = |(worker, _): &mut (LeavingWorker, _)| !executor.has_runs_at(worker);
        for (_, stopped) in self.departures.extract_if(.., is_stopped) {
            // The worker may have given up waiting.
            let _ = stopped.send(());
        }
    }

    fn execute(&mut self, action: ExecutionAction) {
        match action {
            ExecutionAction::Send { session, frame } => {
                // The reader of a closed session reports the disconnect.
                if let Some(outgoing) = self.sessions.get(&session) {
                    let _ = outgoing.send(frame);
                }
            }
            ExecutionAction::Close { session } => {
                self.sessions.remove(&session);
            }
            ExecutionAction::SessionDrained { session } => {
                self.sessions.remove(&session);
                if let Some(drained) = self.drain_notifiers.remove(&session) {
                    let _ = drained.send(());
                }
            }
            // Repeated for each incarnation of the worker; only the first matters.
            ExecutionAction::StaleRunsStopped => {
                self.stale_runs_stopped.send_replace(true);
            }
            ExecutionAction::ReadZones { document_after } => {
                self.read_zones();
                if let Some(after) = document_after {
                    self.read_document(after);
                }
            }
            ExecutionAction::PersistWorker(view) => {
                self.worker_view.send_replace(Some(view));
            }
            ExecutionAction::Start(call) => {
                self.metrics.count(Counter::Starts, "ordered");
                self.call_worker(async |worker| {
                    let response = worker.start(&call).await;
                    ExecutionEvent::StartAnswered { call, response }
                });
            }
            ExecutionAction::Stop(call) => self.call_worker(async |worker| {
                let confirmed = worker.stop(&call).await;
                ExecutionEvent::StopAnswered { call, confirmed }
            }),
            ExecutionAction::Hold(call) => self.call_worker(async |worker| {
                let response = worker.hold(&call).await;
                ExecutionEvent::HoldAnswered { call, response }
            }),
            ExecutionAction::Log(event) => self.log_event(&event),
        }
    }

    /// Calls the worker in a task of its own, which sends the response to the loop as an event.
    fn call_worker<C, F>(&self, call: C)
    where
        C: FnOnce(Arc<dyn WorkerClient>) -> F,
        F: Future<Output = ExecutionEvent> + Send + 'static,
    {
        let inputs = self.input_sender.clone();
        let event = call(Arc::clone(&self.worker));
        tokio::spawn(async move {
            // The loop runs as long as the process.
            let _ = inputs.send(LoopInput::Event(event.await));
        });
    }

    /// Reads the evacuated zones in a task of its own, which sends them to the loop as an event.
    fn read_zones(&self) {
        let (store, inputs) = (Arc::clone(&self.store), self.input_sender.clone());
        let metrics = Arc::clone(&self.metrics);
        tokio::spawn(async move {
            let zones = store.read_evacuated_zones().await;
            let outcome = zones
                .as_ref()
                .map_or_else(StoreError::as_str, |_| "answered");
            metrics.count(Counter::StoreCalls, outcome);
            if let Err(error) = &zones {
                log::info!(error:% = error; "failed to read the evacuated zones");
            }
            let event = ExecutionEvent::ZonesRead { zones: zones.ok() };
            // The loop runs as long as the process.
            let _ = inputs.send(LoopInput::Event(event));
        });
    }

    /// Reads the operators' document if it has changed after this store version.
    fn read_document(&self, after: u64) {
        let (store, inputs) = (Arc::clone(&self.store), self.input_sender.clone());
        let metrics = Arc::clone(&self.metrics);
        tokio::spawn(async move {
            let read = changed_document(&*store, after).await;
            let outcome = read
                .as_ref()
                .map_or_else(StoreError::as_str, |_| "answered");
            metrics.count(Counter::StoreCalls, outcome);
            match read {
                Ok(None) => {}
                Ok(Some(document)) => {
                    let event = ExecutionEvent::DocumentRead(document);
                    // The loop runs as long as the process.
                    let _ = inputs.send(LoopInput::Event(event));
                }
                Err(error) => log::info!(error:% = error; "failed to read the document"),
            }
        });
    }

    fn log_event(&self, event: &ExecutionLogEvent) {
        match event {
            ExecutionLogEvent::RunNotStarted { reason, .. } => {
                self.metrics.count(Counter::Refusals, reason);
            }
            ExecutionLogEvent::RunEnded { end, .. } => self.metrics.count(Counter::Retries, end),
            ExecutionLogEvent::OrderUnanswered { .. } => {
                self.metrics.count(Counter::Retries, "order_unanswered");
            }
            ExecutionLogEvent::Fenced { .. } => self.metrics.count(Counter::Retries, "fenced"),
            ExecutionLogEvent::EntryConnected { .. }
            | ExecutionLogEvent::EntryLost { .. }
            | ExecutionLogEvent::SessionRetired { .. }
            | ExecutionLogEvent::WorkerSeen { .. }
            | ExecutionLogEvent::ReportIgnored { .. }
            | ExecutionLogEvent::WorkerDraining { .. }
            | ExecutionLogEvent::WorkerLeaving { .. }
            | ExecutionLogEvent::WorkerStays { .. }
            | ExecutionLogEvent::WorkerUnresponsive { .. }
            | ExecutionLogEvent::WorkerLost { .. }
            | ExecutionLogEvent::WorkerReady { .. }
            | ExecutionLogEvent::StrayRun { .. }
            | ExecutionLogEvent::WorkerCrashed { .. }
            | ExecutionLogEvent::DocumentFetched { .. }
            | ExecutionLogEvent::DocumentRead { .. }
            | ExecutionLogEvent::NewsTaken { .. }
            | ExecutionLogEvent::ZonesOutdated { .. }
            | ExecutionLogEvent::ZonesConfirmed { .. } => {}
        }
        log_decision(&*self.decisions, LogPriority::Notable, event);
    }
}

/// The operators' document if it has changed after this store version.
pub(crate) async fn changed_document(
    store: &dyn SiteStore,
    after: u64,
) -> Result<Option<Document>, StoreError> {
    let change = store.wait_for_operator_change(after, DOCUMENT_WAIT_MS);
    match change.await? {
        OperatorChange::None { .. } => Ok(None),
        OperatorChange::Rows { document, .. } => Ok(document),
        OperatorChange::HistoryUnavailable => Ok(store.read_operator_rows().await?.document),
    }
}
