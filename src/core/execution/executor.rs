//! State machine of an agent that runs tasks on its worker.

use {
    super::{
        ExecutionAction, ExecutionEvent, ExecutionLogEvent, SessionId,
        capacity::CapacityReservation,
        crashes::LostTasks,
        entry_link::EntryLink,
        incarnations::{IgnoredReportsByReason, UnconfirmedReport},
        run::Run,
        worker_state::{Departure, WorkerState},
        zone_reads::ZoneReads,
    },
    crate::core::{
        document::DocumentCopy,
        link::{AgentFrame, EvacuatedZones, RunOutcome},
        queue_shares::DemandLevels,
        time::Instant,
        work::{Resources, RunLimits, TaskName, WorkerView},
        worker_speed::MeasuredSpeed,
    },
    std::{collections::BTreeMap, mem},
};

/// Settings of an [`Executor`].
#[derive(Debug, Clone)]
pub(crate) struct ExecutorSettings {
    pub(crate) agent: String,
    /// The only service whose tasks the worker runs.
    pub(crate) service: String,
    /// Time limits; must be the same as at the entries.
    pub(crate) limits: RunLimits,
    pub(crate) first_token: u64,
}

/// Runs tasks on the worker of this agent.
#[derive(Debug)]
pub(crate) struct Executor {
    pub(super) settings: ExecutorSettings,
    pub(super) worker: Option<WorkerState>,
    pub(super) runs: BTreeMap<TaskName, Run>,
    pub(super) sessions: BTreeMap<SessionId, EntryLink>,
    /// Disconnected sessions that still have unfinished runs, with the address of their entry.
    pub(super) draining_sessions: BTreeMap<SessionId, String>,
    pub(super) zones: Option<EvacuatedZones>,
    pub(super) zone_reads: ZoneReads,
    pub(super) document: DocumentCopy<SessionId>,
    /// Store version up to which this document is the newest one, by the entries' reads.
    pub(super) rows_version: u64,
    pub(super) token: u64,
    pub(super) token_step: u64,
    pub(super) last_hold_sequence: u64,
    /// Reports of other incarnations that a call is to confirm.
    pub(super) unconfirmed_reports: Vec<UnconfirmedReport>,
    /// Whether a worker of another name than the first one was used.
    pub(super) has_replaced_worker: bool,
    pub(super) ignored_reports: IgnoredReportsByReason,
    pub(super) leaving: bool,
    /// Free capacity reserved for one of several waiting entries.
    pub(super) reservation: Option<CapacityReservation>,
    /// Until when the use of capacity is recorded.
    pub(super) use_recorded_at: Instant,
    /// Levels of the queues that use the worker.
    pub(super) demand_levels: DemandLevels,
    /// Resources that the latest start order required.
    pub(super) last_needs: Resources,
    pub(super) speed: MeasuredSpeed,
    /// Tasks lost with an unresponsive worker.
    pub(super) lost_tasks: Option<LostTasks>,
    pub(super) actions: Vec<ExecutionAction>,
}

impl Executor {
    /// Creates an executor without a worker or sessions.
    pub(crate) fn new(settings: ExecutorSettings) -> Self {
        Self {
            token: settings.first_token,
            token_step: super::INITIAL_TOKEN_STEP,
            worker: None,
            runs: BTreeMap::new(),
            sessions: BTreeMap::new(),
            draining_sessions: BTreeMap::new(),
            zones: None,
            zone_reads: ZoneReads::for_agent(&settings.agent),
            document: DocumentCopy::default(),
            rows_version: 0,
            last_hold_sequence: 0,
            unconfirmed_reports: Vec::new(),
            has_replaced_worker: false,
            ignored_reports: BTreeMap::new(),
            leaving: false,
            reservation: None,
            use_recorded_at: Instant::default(),
            demand_levels: DemandLevels::default(),
            last_needs: Resources::default(),
            speed: MeasuredSpeed::default(),
            lost_tasks: None,
            actions: Vec::new(),
            settings,
        }
    }

    /// Number of unfinished runs.
    pub(crate) fn run_count(&self) -> usize {
        self.runs.len()
    }

    /// Handles one event and returns the actions to execute.
    pub(crate) fn handle(&mut self, now: Instant, event: ExecutionEvent) -> Vec<ExecutionAction> {
        self.record_capacity_use(now);
        match event {
            ExecutionEvent::SessionOpened { session, entry } => {
                self.on_session_opened(now, session, entry);
            }
            ExecutionEvent::SessionLost { session } => {
                self.disconnect_session(now, session, "closed")
            }
            ExecutionEvent::RetireSession { session } => self.retire_session(now, session),
            ExecutionEvent::Frame { session, frame } => self.on_frame(now, session, frame),
            ExecutionEvent::Heartbeat { view, sequence } => self.on_heartbeat(now, view, sequence),
            ExecutionEvent::WorkerRestored { view } => self.on_worker_restored(now, view),
            ExecutionEvent::WorkerLeaving(worker) => self.on_worker_leaving(now, &worker),
            ExecutionEvent::StartAnswered { call, response } => {
                self.on_start_answered(now, &call, response);
            }
            ExecutionEvent::StopAnswered { call, confirmed } => {
                self.on_stop_answered(&call, confirmed);
            }
            ExecutionEvent::HoldAnswered { call, response } => {
                self.on_hold_answered(now, &call, response);
            }
            ExecutionEvent::ZonesRead { zones } => self.on_zones_read(now, zones),
            ExecutionEvent::DocumentRead(document) => self.on_document_read(document),
            ExecutionEvent::Shutdown => self.on_shutdown(),
            ExecutionEvent::Tick => self.on_tick(now),
        }
        self.end_runs_of_replaced_workers(now);
        self.finish_departure();
        self.confirm_reports(now);
        self.maintain_worker(now);
        self.report_drained_sessions();
        self.measure_speed(now);
        self.report_capacity(now);
        mem::take(&mut self.actions)
    }

    fn on_tick(&mut self, now: Instant) {
        self.close_unresponsive_sessions(now);
        self.close_retired_sessions(now);
        self.stop_expired_runs(now);
        self.retry_stops(now);
        self.detect_lost_calls(now);
        self.drain_unreported_worker(now);
        self.read_outdated_zones(now);
    }

    /// Applies the worker's report about itself.
    ///
    /// Ignores reports of the known incarnation that arrive out of order.
    pub(super) fn on_heartbeat(&mut self, now: Instant, mut view: WorkerView, sequence: u64) {
        if view.service != self.settings.service {
            self.ignore_report(now, &view, "other_service");
            return;
        }
        let known = self.worker.as_ref();
        match known.filter(|worker| worker.view.life == view.life) {
            Some(worker) if sequence <= worker.report_sequence => return,
            Some(_) => {}
            None => {
                self.on_other_incarnation(now, view, sequence);
                return;
            }
        }
        if !view.draining {
            self.reverse_departure(now);
        }
        let runs = self.runs.len();
        let Some(worker) = &mut self.worker else {
            return;
        };
        worker.report_sequence = sequence;
        worker.restored_at = None;
        // A heartbeat may arrive after the announcement that the worker leaves.
        view.draining |= worker.departure != Departure::Serving;
        if worker.view == view {
            return;
        }
        let starts_draining = view.draining && !worker.view.draining;
        worker.view = view.clone();
        let name = worker.view.life.id.clone();
        if starts_draining {
            self.log_event(ExecutionLogEvent::WorkerDraining { worker: name, runs });
        }
        self.persist_worker(view);
        self.announce_worker();
    }

    fn on_shutdown(&mut self) {
        self.leaving = true;
        self.announce_worker();
    }

    /// The worker as announced to entries; `None` until it is ready.
    pub(super) fn announced_worker(&self) -> Option<WorkerView> {
        let worker = self.worker.as_ref().filter(|worker| worker.ready)?;
        let mut view = worker.view.clone();
        view.draining |= self.leaving;
        Some(view)
    }

    pub(super) fn announce_worker(&mut self) {
        let view = self.announced_worker();
        for (session, link) in &self.sessions {
            // The entry of a retiring session already has its last view.
            if link.retiring_since.is_none() {
                self.actions.push(ExecutionAction::Send {
                    session: *session,
                    frame: AgentFrame::Worker(view.clone()),
                });
            }
        }
    }

    /// Free capacity of the worker; runs that are being stopped still occupy theirs.
    pub(super) fn free(&self) -> Resources {
        let Some(worker) = &self.worker else {
            return Resources::default();
        };
        let runs = self.runs.values();
        let runs = runs.filter(|run| run.replaced_worker.is_none());
        runs.fold(worker.view.capacity, |free, run| {
            free.minus(run.order.needs)
        })
    }

    /// Finishes a run and reports the outcome to its entry, with the cause of its stop, if any.
    pub(super) fn finish_run(&mut self, now: Instant, task: TaskName, end: RunOutcome) {
        let stop = self.runs.get(&task).and_then(|run| run.stop);
        let cause = stop.map_or("", |stop| stop.cause);
        self.finish_run_with_cause(now, task, end, cause);
    }

    /// Finishes a run for the given cause and reports the outcome to its entry.
    pub(super) fn finish_run_with_cause(
        &mut self,
        now: Instant,
        task: TaskName,
        end: RunOutcome,
        cause: &'static str,
    ) {
        let Some(run) = self.runs.remove(&task) else {
            return;
        };
        let ran_ms = run.ran_ms(now);
        self.record_speed(now, &run, end);
        if end != RunOutcome::Done {
            self.log_event(ExecutionLogEvent::RunEnded {
                job: task.job.to_string(),
                run: run.order.run.to_string(),
                end: end.as_str(),
                ran_ms,
                cause,
            });
        }
        if self.sessions.contains_key(&run.session) {
            let run_id = run.order.run;
            self.actions.push(ExecutionAction::Send {
                session: run.session,
                frame: AgentFrame::Ended {
                    run: run_id,
                    end,
                    ran_ms,
                },
            });
        }
        if let Some(link) = self.sessions.get_mut(&run.session) {
            link.capacity.due = true;
        }
    }

    pub(super) fn log_event(&mut self, event: ExecutionLogEvent) {
        self.actions.push(ExecutionAction::Log(event));
    }
}
