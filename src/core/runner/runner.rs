//! The runner's state machine.

use {
    super::{
        RunnerAction, RunnerEvent, SessionId,
        home_link::{HomeLink, UnacknowledgedOutcome},
    },
    crate::core::{
        demand::DemandQueue,
        gate::Permit,
        job::{TaskOutcome, TaskRef},
        message::{HomeFrame, RunnerFrame, StartFrame, StatusReport, TaskStatus},
        ticket::AgentId,
        time::Instant,
        verdict::NotRunReason,
    },
    std::collections::BTreeMap,
};

/// Limits of a runner.
#[derive(Debug, Clone, Copy)]
pub(crate) struct RunnerSettings {
    /// How long an outcome is retained if its home does not acknowledge it.
    pub(crate) outcome_retention_ms: u64,
}

/// Starts tasks on the local backend server, each at most once.
#[derive(Debug)]
pub(crate) struct Runner {
    pub(super) id: AgentId,
    settings: RunnerSettings,
    pub(super) permit: Permit,
    pub(super) services: Vec<String>,
    pub(super) slots: u16,
    pub(super) leaving: bool,
    pub(super) demands: DemandQueue,
    pub(super) links: BTreeMap<AgentId, HomeLink>,
    sessions: BTreeMap<SessionId, (AgentId, u64)>,
}

impl Runner {
    /// Creates a runner without a backend server and without a permit.
    pub(crate) fn new(id: AgentId, settings: RunnerSettings) -> Self {
        Self {
            id,
            settings,
            permit: Permit::unissued(),
            services: Vec::new(),
            slots: 0,
            leaving: false,
            demands: DemandQueue::default(),
            links: BTreeMap::new(),
            sessions: BTreeMap::new(),
        }
    }

    /// Services of the backend server; empty while it is unavailable.
    pub(crate) fn services(&self) -> &[String] {
        &self.services
    }

    /// Total slots of the backend server.
    pub(crate) const fn slots(&self) -> u16 {
        self.slots
    }

    /// Number of running tasks.
    pub(crate) fn running_count(&self) -> u16 {
        let count: usize = self.links.values().map(|link| link.running.len()).sum();
        u16::try_from(count).unwrap_or(u16::MAX)
    }

    /// Number of outcomes that their homes have not acknowledged.
    pub(crate) fn unacknowledged_count(&self) -> usize {
        self.links.values().map(|link| link.ended.len()).sum()
    }

    /// Whether the runner is shutting down and refuses new work.
    pub(crate) const fn is_leaving(&self) -> bool {
        self.leaving
    }

    /// When the permit to start tasks expires.
    pub(crate) const fn permit_until(&self) -> Instant {
        self.permit.expires_at()
    }

    /// Newest configuration version received from an entry.
    pub(crate) const fn config_version(&self) -> u64 {
        self.permit.config_version()
    }

    /// Handles one event and returns the actions to execute.
    pub(crate) fn handle(&mut self, now: Instant, event: RunnerEvent) -> Vec<RunnerAction> {
        let mut actions = self.handle_event(now, event);
        self.offer_slots(now, &mut actions);
        actions
    }

    fn handle_event(&mut self, now: Instant, event: RunnerEvent) -> Vec<RunnerAction> {
        match event {
            RunnerEvent::Frame { session, frame } => self.on_frame(now, session, frame),
            RunnerEvent::SessionClosed { session } => self.on_session_closed(now, session),
            RunnerEvent::Finished { task, outcome } => self.on_finished(now, task, outcome),
            RunnerEvent::BackendUp { services, slots } => {
                self.services = services;
                self.slots = slots;
                Vec::new()
            }
            RunnerEvent::BackendUnavailable => {
                self.services.clear();
                Vec::new()
            }
            RunnerEvent::Shutdown => {
                self.leaving = true;
                Vec::new()
            }
            RunnerEvent::PermitRenewed {
                sent_at,
                config_version,
                zone_open,
                permit_ms,
            } => {
                self.permit
                    .renew(sent_at, config_version, zone_open, permit_ms);
                Vec::new()
            }
            RunnerEvent::Tick => {
                self.demands.expire_holds(now);
                let retention_ms = self.settings.outcome_retention_ms;
                for link in self.links.values_mut() {
                    link.drop_expired_outcomes(now, retention_ms);
                }
                self.links
                    .retain(|_, link| !link.is_idle(now, retention_ms));
                Vec::new()
            }
        }
    }

    fn on_frame(
        &mut self,
        now: Instant,
        session: SessionId,
        frame: HomeFrame,
    ) -> Vec<RunnerAction> {
        if let HomeFrame::Hello { home, epoch } = frame {
            return self.on_hello(now, session, home, epoch);
        }
        let Some(&(home, epoch)) = self.sessions.get(&session) else {
            return vec![RunnerAction::Close(session)];
        };
        match frame {
            HomeFrame::Hello { .. } => Vec::new(),
            HomeFrame::Start(start) => self.on_start(now, session, home, epoch, start),
            HomeFrame::Cancel { task } => self.on_cancel(home, task),
            HomeFrame::Demand { tasks, waited_ms } => self.on_demand(now, home, tasks, waited_ms),
            HomeFrame::Query { tasks } => self.on_query(now, session, home, tasks),
            HomeFrame::Ack { tasks } => {
                if let Some(link) = self.links.get_mut(&home) {
                    link.ended.retain(|task, _| !tasks.contains(task));
                }
                Vec::new()
            }
        }
    }

    fn on_hello(
        &mut self,
        now: Instant,
        session: SessionId,
        home: AgentId,
        epoch: u64,
    ) -> Vec<RunnerAction> {
        let link = self
            .links
            .entry(home)
            .or_insert_with(|| HomeLink::new(epoch));
        if epoch <= link.epoch {
            return vec![RunnerAction::Close(session)];
        }
        link.epoch = epoch;
        link.starts_seen = 0;
        link.used_at = now;
        self.demands.remove_home(home);
        let replaced = link.session.replace(session);
        self.sessions.insert(session, (home, epoch));
        let mut actions = Vec::new();
        if let Some(old) = replaced {
            self.sessions.remove(&old);
            actions.push(RunnerAction::Close(old));
        }
        actions.push(RunnerAction::Send {
            session,
            frame: RunnerFrame::Welcome {
                runner: self.id,
                free: self.free_for(home),
            },
        });
        actions
    }

    fn on_start(
        &mut self,
        now: Instant,
        session: SessionId,
        home: AgentId,
        epoch: u64,
        start: StartFrame,
    ) -> Vec<RunnerAction> {
        let task = start.task;
        if let Some(link) = self.links.get_mut(&home) {
            link.starts_seen += 1;
        }
        if let Some(actions) = self.deduplicate_start(session, home, task) {
            return actions;
        }
        let held = self.demands.consume_hold(home);
        if let Some(reason) = self.refusal_reason(now, home, epoch, &start, held) {
            return vec![
                RunnerAction::CountRefusal(reason),
                self.outcome_frame(session, home, task, TaskOutcome::NotRun { reason }),
            ];
        }
        let Some(link) = self.links.get_mut(&home) else {
            return vec![RunnerAction::Close(session)];
        };
        link.used_at = now;
        link.running.insert(task, epoch);
        vec![RunnerAction::Run(start)]
    }

    /// The response to a start of a task that already runs or ended here, `None` for a new task.
    ///
    /// A home that considered this runner lost may start a repeatable task again while its outcome
    /// is still retained here. The outcome is sent again; otherwise the home would not receive it.
    fn deduplicate_start(
        &self,
        session: SessionId,
        home: AgentId,
        task: TaskRef,
    ) -> Option<Vec<RunnerAction>> {
        let link = self.links.get(&home)?;
        if link.running.contains_key(&task) {
            return Some(Vec::new());
        }
        let record = link.ended.get(&task)?;
        Some(vec![self.outcome_frame(
            session,
            home,
            task,
            record.outcome.clone(),
        )])
    }

    /// The reason to refuse this start, if there is one.
    fn refusal_reason(
        &self,
        now: Instant,
        home: AgentId,
        epoch: u64,
        start: &StartFrame,
        held: bool,
    ) -> Option<NotRunReason> {
        let newest = self.links.get(&home).map_or(0, |link| link.epoch);
        if epoch < newest {
            return Some(NotRunReason::Fenced);
        }
        if self.leaving {
            return Some(NotRunReason::Leaving);
        }
        if !self.services.contains(&start.service) {
            return Some(NotRunReason::BackendDown);
        }
        if !self.permit.is_valid(now) {
            return Some(NotRunReason::NoPermit);
        }
        if !held && self.free_slots() == 0 {
            return Some(NotRunReason::SlotsFull);
        }
        None
    }

    fn on_cancel(&self, home: AgentId, task: TaskRef) -> Vec<RunnerAction> {
        let is_running = self
            .links
            .get(&home)
            .is_some_and(|link| link.running.contains_key(&task));
        if is_running {
            vec![RunnerAction::Stop(task)]
        } else {
            Vec::new()
        }
    }

    fn on_query(
        &mut self,
        now: Instant,
        session: SessionId,
        home: AgentId,
        tasks: Vec<(TaskRef, u64)>,
    ) -> Vec<RunnerAction> {
        let Some(link) = self.links.get_mut(&home) else {
            return vec![RunnerAction::Close(session)];
        };
        link.used_at = now;
        let statuses = tasks
            .into_iter()
            .map(|(task, epoch)| StatusReport {
                task,
                epoch,
                status: link.status(task, epoch),
            })
            .collect();
        vec![RunnerAction::Send {
            session,
            frame: RunnerFrame::Statuses { tasks: statuses },
        }]
    }

    fn on_session_closed(&mut self, now: Instant, session: SessionId) -> Vec<RunnerAction> {
        if let Some((home, _)) = self.sessions.remove(&session)
            && let Some(link) = self.links.get_mut(&home)
            && link.session == Some(session)
        {
            link.session = None;
            link.used_at = now;
            self.demands.remove_home(home);
        }
        Vec::new()
    }

    fn on_finished(
        &mut self,
        now: Instant,
        task: TaskRef,
        outcome: TaskOutcome,
    ) -> Vec<RunnerAction> {
        let Some(link) = self.links.get_mut(&task.ticket.home) else {
            return Vec::new();
        };
        let Some(epoch) = link.running.remove(&task) else {
            return Vec::new();
        };
        // A refused task may be retried on this runner, and a record of it would make the retry
        // look like a duplicate start. Without a record its status is "never started", which is
        // also correct.
        if !matches!(outcome, TaskOutcome::NotRun { .. }) {
            let record = UnacknowledgedOutcome {
                outcome: outcome.clone(),
                epoch,
                ended_at: now,
            };
            link.ended.insert(task, record);
        }
        let Some(session) = link.session else {
            return Vec::new();
        };
        // Slots are offered to waiting homes first, so that the outcome frame reports accurate free
        // slots. The outcome is sent before the offers: after a failure the home may need no slot.
        let mut actions = Vec::new();
        self.offer_slots(now, &mut actions);
        let outcome = self.outcome_frame(session, task.ticket.home, task, outcome);
        actions.insert(0, outcome);
        actions
    }

    fn outcome_frame(
        &self,
        session: SessionId,
        home: AgentId,
        task: TaskRef,
        outcome: TaskOutcome,
    ) -> RunnerAction {
        RunnerAction::Send {
            session,
            frame: RunnerFrame::Outcome {
                task,
                outcome,
                free: self.free_for(home),
            },
        }
    }
}

impl HomeLink {
    fn status(&self, task: TaskRef, epoch: u64) -> TaskStatus {
        if self.running.contains_key(&task) {
            return TaskStatus::Running;
        }
        if let Some(record) = self.ended.get(&task) {
            return TaskStatus::Ended(record.outcome.clone());
        }
        if epoch <= self.dropped_through_epoch {
            return TaskStatus::Forgotten;
        }
        TaskStatus::NeverStarted
    }
}
