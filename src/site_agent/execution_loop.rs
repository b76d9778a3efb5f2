//! Feeds the executor and carries its actions out.

use {
    crate::{
        adapters::link::FrameDuplex,
        core::{
            execution::{ExecutionAction, ExecutionEvent, ExecutionLogEvent, Executor, SessionId},
            link::{AgentFrame, EntryFrame},
            work::WorkerView,
        },
        ports::{
            Counter, DecisionLog, Gauge, LogPriority, Metrics, TimerService, WorkerClient,
            log_decision,
        },
    },
    std::{collections::BTreeMap, sync::Arc},
    tokio::sync::{mpsc, oneshot, watch},
};

/// Pause between ticks, in milliseconds: rights and leases are kept to within as much.
const TICK_MS: u64 = 20;

/// A session with an entry.
pub(super) type EntryLink = FrameDuplex<EntryFrame, AgentFrame>;

/// Something for the loop.
#[derive(Debug)]
pub(super) enum LoopInput {
    /// Something for the executor.
    Event(ExecutionEvent),
    /// The same from the worker, which waits until it has been acted on.
    Report {
        event: ExecutionEvent,
        taken: oneshot::Sender<()>,
    },
    /// A session with an entry is open.
    Opened {
        session: SessionId,
        entry: String,
        outgoing: mpsc::UnboundedSender<AgentFrame>,
        /// Told once the session has ended and nothing of it is left.
        cleared: oneshot::Sender<()>,
    },
    /// Runs that are not over.
    CountRuns { count: oneshot::Sender<usize> },
}

/// Owns the executor.
#[derive(Debug)]
pub(super) struct ExecutionLoop {
    pub(super) executor: Executor,
    pub(super) worker: Arc<dyn WorkerClient>,
    pub(super) timer: Arc<dyn TimerService>,
    pub(super) decisions: Arc<dyn DecisionLog>,
    pub(super) metrics: Arc<dyn Metrics>,
    pub(super) sessions: BTreeMap<SessionId, mpsc::UnboundedSender<AgentFrame>>,
    pub(super) clearing: BTreeMap<SessionId, oneshot::Sender<()>>,
    /// What the worker last said of itself, to be kept for a later process.
    pub(super) kept_worker: watch::Sender<Option<WorkerView>>,
    /// Turns true once nothing of an earlier process runs at the worker.
    pub(super) clean_slate: watch::Sender<bool>,
    pub(super) inputs_back: mpsc::UnboundedSender<LoopInput>,
}

impl ExecutionLoop {
    /// Runs for as long as the process lives.
    pub(super) async fn run(mut self, mut inputs: mpsc::UnboundedReceiver<LoopInput>) {
        let mut ticks = self.timer.subscribe(TICK_MS);
        loop {
            tokio::select! {
                input = inputs.recv() => match input {
                    Some(input) => self.take_input(input),
                    None => return,
                },
                tick = ticks.recv() => match tick {
                    Some(_) => self.handle(ExecutionEvent::Tick),
                    None => return,
                },
            }
        }
    }

    fn take_input(&mut self, input: LoopInput) {
        match input {
            LoopInput::Event(event) => self.handle(event),
            LoopInput::Report { event, taken } => {
                self.handle(event);
                // The worker may have given up waiting.
                let _ = taken.send(());
            }
            LoopInput::Opened {
                session,
                entry,
                outgoing,
                cleared,
            } => {
                self.sessions.insert(session, outgoing);
                self.clearing.insert(session, cleared);
                self.handle(ExecutionEvent::SessionOpened { session, entry });
            }
            LoopInput::CountRuns { count } => {
                let _ = count.send(self.executor.run_count());
            }
        }
    }

    fn handle(&mut self, event: ExecutionEvent) {
        let now = self.timer.now();
        for action in self.executor.handle(now, event) {
            self.carry_out(action);
        }
        let runs = u64::try_from(self.executor.run_count()).unwrap_or(u64::MAX);
        self.metrics.set(Gauge::TasksRunning, runs);
    }

    fn carry_out(&mut self, action: ExecutionAction) {
        match action {
            ExecutionAction::Send { session, frame } => {
                // A session that has ended is told of by its reader.
                if let Some(outgoing) = self.sessions.get(&session) {
                    let _ = outgoing.send(frame);
                }
            }
            ExecutionAction::Close { session } => {
                self.sessions.remove(&session);
            }
            ExecutionAction::SessionDrained { session } => {
                self.sessions.remove(&session);
                if let Some(cleared) = self.clearing.remove(&session) {
                    let _ = cleared.send(());
                }
            }
            // Told again with each life of the worker; only the first matters.
            ExecutionAction::StaleRunsStopped => {
                self.clean_slate.send_replace(true);
            }
            ExecutionAction::PersistWorker(view) => {
                self.kept_worker.send_replace(Some(view));
            }
            ExecutionAction::Start(call) => {
                self.metrics.count(Counter::Starts, "ordered");
                self.call(async |worker| {
                    let response = worker.start(&call).await;
                    ExecutionEvent::StartAnswered { call, response }
                });
            }
            ExecutionAction::Stop(call) => self.call(async |worker| {
                let confirmed = worker.stop(&call).await;
                ExecutionEvent::StopAnswered { call, confirmed }
            }),
            ExecutionAction::Hold(call) => self.call(async |worker| {
                let response = worker.hold(&call).await;
                ExecutionEvent::HoldAnswered { call, response }
            }),
            ExecutionAction::Log(decision) => self.write_down(&decision),
        }
    }

    /// Calls the worker beside the loop, which takes the answer in as an event.
    fn call<C, F>(&self, call: C)
    where
        C: FnOnce(Arc<dyn WorkerClient>) -> F,
        F: Future<Output = ExecutionEvent> + Send + 'static,
    {
        let inputs = self.inputs_back.clone();
        let answered = call(Arc::clone(&self.worker));
        tokio::spawn(async move {
            // The loop ends only with the process.
            let _ = inputs.send(LoopInput::Event(answered.await));
        });
    }

    fn write_down(&self, decision: &ExecutionLogEvent) {
        match decision {
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
            | ExecutionLogEvent::WorkerSeen { .. }
            | ExecutionLogEvent::WorkerDraining { .. }
            | ExecutionLogEvent::WorkerLost { .. }
            | ExecutionLogEvent::WorkerReady { .. }
            | ExecutionLogEvent::StrayRun { .. }
            | ExecutionLogEvent::DocumentFetched { .. }
            | ExecutionLogEvent::NewsTaken { .. } => {}
        }
        log_decision(&*self.decisions, LogPriority::Notable, decision);
    }
}
