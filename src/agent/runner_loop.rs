//! Event loop of the runner: passes events to its state machine and executes the actions.

use {
    crate::{
        adapters::peer::RunnerSession,
        core::{
            gate::SharedPermit,
            message::{RunnerFrame, StartFrame},
            runner::{Runner, RunnerAction, RunnerEvent, SessionId},
        },
        ports::{BackendServer, Counter, Gauge, Metrics, TimerService},
    },
    std::{collections::BTreeMap, sync::Arc},
    tokio::sync::{mpsc, oneshot},
};

const TICK_MS: u64 = 100;

/// State of the runner as sent in announcements.
#[derive(Debug, Clone)]
pub(crate) struct RunnerSnapshot {
    pub(crate) services: Vec<String>,
    pub(crate) slots: u16,
    pub(crate) free_slots: u16,
    pub(crate) running: u16,
    /// Outcomes that their homes have not acknowledged.
    pub(crate) unacknowledged: usize,
    pub(crate) leaving: bool,
    pub(crate) config_version: u64,
}

/// Input of the loop.
pub(crate) enum RunnerInput {
    Event(RunnerEvent),
    /// A home opened a session.
    Session(RunnerSession),
    /// Requests the runner's current state.
    Snapshot(oneshot::Sender<RunnerSnapshot>),
}

/// The runner with its sessions.
pub(crate) struct RunnerLoop {
    pub(crate) runner: Runner,
    pub(crate) backend: Arc<dyn BackendServer>,
    pub(crate) timer: Arc<dyn TimerService>,
    pub(crate) metrics: Arc<dyn Metrics>,
    pub(crate) inputs: mpsc::UnboundedSender<RunnerInput>,
    pub(crate) sessions: BTreeMap<SessionId, mpsc::UnboundedSender<RunnerFrame>>,
    pub(crate) next_session: u64,
    /// Copy of the permit for connections to the backend server.
    pub(crate) permit: Arc<SharedPermit>,
}

impl RunnerLoop {
    /// Runs until the process exits.
    pub(crate) async fn run(mut self, mut received: mpsc::UnboundedReceiver<RunnerInput>) {
        let mut ticks = self.timer.subscribe(TICK_MS);
        loop {
            tokio::select! {
                Some(input) = received.recv() => self.handle_input(input),
                Some(_) = ticks.recv() => {
                    self.handle_event(RunnerEvent::Tick);
                    self.metrics.set(Gauge::TasksRunning, u64::from(self.runner.running_count()));
                }
                else => return,
            }
        }
    }

    fn handle_input(&mut self, input: RunnerInput) {
        match input {
            RunnerInput::Event(event) => {
                if let RunnerEvent::SessionClosed { session } = event {
                    self.sessions.remove(&session);
                }
                self.handle_event(event);
            }
            RunnerInput::Session(session) => self.open_session(session),
            RunnerInput::Snapshot(reply) => {
                // The receiver may have been dropped.
                let _ = reply.send(self.snapshot());
            }
        }
    }

    fn snapshot(&self) -> RunnerSnapshot {
        RunnerSnapshot {
            services: self.runner.services().to_vec(),
            slots: self.runner.slots(),
            free_slots: self.runner.free_slots(),
            running: self.runner.running_count(),
            unacknowledged: self.runner.unacknowledged_count(),
            leaving: self.runner.is_leaving(),
            config_version: self.runner.config_version(),
        }
    }

    fn open_session(&mut self, session: RunnerSession) {
        self.next_session += 1;
        let id = SessionId(self.next_session);
        self.sessions.insert(id, session.outgoing);
        let inputs = self.inputs.clone();
        let mut incoming = session.incoming;
        tokio::spawn(async move {
            while let Some(frame) = incoming.recv().await {
                let event = RunnerEvent::Frame { session: id, frame };
                if inputs.send(RunnerInput::Event(event)).is_err() {
                    return;
                }
            }
            // The receiver is dropped only when the process exits.
            let _ = inputs.send(RunnerInput::Event(RunnerEvent::SessionClosed {
                session: id,
            }));
        });
    }

    fn handle_event(&mut self, event: RunnerEvent) {
        let actions = self.runner.handle(self.timer.now(), event);
        self.permit.set_expiry(self.runner.permit_until());
        for action in actions {
            self.execute(action);
        }
    }

    fn execute(&mut self, action: RunnerAction) {
        match action {
            RunnerAction::Send { session, frame } => {
                if let Some(outgoing) = self.sessions.get(&session) {
                    // The reading task reports a closed session.
                    let _ = outgoing.send(frame);
                }
            }
            RunnerAction::Run(start) => self.run_task(start),
            RunnerAction::Stop(task) => {
                let backend = Arc::clone(&self.backend);
                tokio::spawn(async move { backend.stop(task).await });
            }
            RunnerAction::Close(session) => {
                self.sessions.remove(&session);
            }
            RunnerAction::CountRefusal(reason) => {
                self.metrics.count(Counter::Refusals, reason.as_str());
            }
        }
    }

    fn run_task(&self, start: StartFrame) {
        self.metrics.count(Counter::Starts, "first");
        let backend = Arc::clone(&self.backend);
        let inputs = self.inputs.clone();
        tokio::spawn(async move {
            let task = start.task;
            let outcome = backend.run(start).await;
            // The receiver is dropped only when the process exits.
            let _ = inputs.send(RunnerInput::Event(RunnerEvent::Finished { task, outcome }));
        });
    }
}
