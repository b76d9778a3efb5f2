//! Sessions with entries, and the leases under which tasks run for them.

use {
    super::{
        ExecutionAction, ExecutionLogEvent, Executor, SessionId,
        entry_link::EntryLink,
        queue_levels::have_changed,
        run::{Run, StopState},
    },
    crate::core::{
        link::{AgentFrame, EntryFrame, EvacuatedZones, NotStartedReason, RunOutcome, StartOrder},
        time::Instant,
        work::{RunId, TaskName},
    },
};

/// Time before newer zones are sent to an entry that uses older ones, in milliseconds; entries with
/// access to the store have usually read them by then.
const ZONES_RELAY_DELAY_MS: u64 = 400;

impl Executor {
    /// Opens a session with a hello, which guarantees that no earlier run of this entry is left
    /// here.
    ///
    /// While an earlier session with the entry is open or has unfinished runs, that does not hold
    /// and the entry would start their tasks a second time. The new session is closed then.
    pub(super) fn on_session_opened(&mut self, now: Instant, session: SessionId, entry: String) {
        let is_open = self.sessions.values().any(|link| link.entry == entry);
        let is_draining = self
            .draining_sessions
            .values()
            .any(|earlier| *earlier == entry);
        if is_open || is_draining {
            self.log_event(ExecutionLogEvent::EntryLost {
                entry,
                cause: "second_session",
                heard_ms_ago: 0,
                runs: 0,
            });
            self.actions.push(ExecutionAction::Close { session });
            self.actions
                .push(ExecutionAction::SessionDrained { session });
            return;
        }
        self.log_event(ExecutionLogEvent::EntryConnected {
            entry: entry.clone(),
        });
        let link = EntryLink::new(now, entry);
        self.sessions.insert(session, link);
        let hello = AgentFrame::Hello {
            agent: self.settings.agent.clone(),
            stamp_us: now.as_micros(),
        };
        self.send(session, hello);
        let view = self.announced_worker();
        self.send(session, AgentFrame::Worker(view));
    }

    pub(super) fn send(&mut self, session: SessionId, frame: AgentFrame) {
        self.actions.push(ExecutionAction::Send { session, frame });
    }

    /// Sends a frame to all entries but one.
    fn send_to_others(&mut self, excluded: SessionId, frame: &AgentFrame) {
        let others: Vec<SessionId> = self.sessions.keys().copied().collect();
        for session in others.into_iter().filter(|other| *other != excluded) {
            self.send(session, frame.clone());
        }
    }

    pub(super) fn on_frame(&mut self, now: Instant, session: SessionId, frame: EntryFrame) {
        let Some(link) = self.sessions.get_mut(&session) else {
            return;
        };
        link.last_received_at = now;
        match frame {
            EntryFrame::Beat {
                demand_milli,
                echo_us,
                news_version,
                zones_age_ms,
                rows_version,
                document_revision,
                is_holder,
                queue_demands,
            } => {
                link.demand_milli = demand_milli;
                link.queue_demands = queue_demands;
                self.on_entry_heartbeat(now, session, echo_us, news_version);
                self.record_entry_read(now, echo_us, zones_age_ms);
                self.on_document_revision(now, session, document_revision, is_holder);
                self.record_rows_version(rows_version, document_revision);
            }
            EntryFrame::Start(order) => self.on_start(now, session, order),
            EntryFrame::Stop { run } => self.on_stop(now, session, run),
            EntryFrame::Decline => self.clear_request(session),
            EntryFrame::News(zones) => self.apply_zones(zones, "entry"),
            EntryFrame::FetchDocument(request) => {
                let part = self.document.part(request);
                self.send(session, AgentFrame::DocumentPart(part));
            }
            EntryFrame::DocumentPart(part) => self.handle_document_part(now, session, &part),
            EntryFrame::CancelJob { job } => {
                self.send_to_others(session, &AgentFrame::CancelJob { job });
            }
            EntryFrame::JobCancelled { job } => {
                self.send_to_others(session, &AgentFrame::JobCancelled { job });
            }
        }
    }

    /// Extends the entry's lease by its echo of a timestamp.
    ///
    /// The lease counts from a timestamp of this agent's own clock, so delayed frames do not extend
    /// it. The entry derives an upper bound of the lease from the time at which that timestamp
    /// arrived. This prevents a second run of a task after the connection was interrupted.
    fn on_entry_heartbeat(
        &mut self,
        now: Instant,
        session: SessionId,
        echo_us: u64,
        news_version: u64,
    ) {
        let liveness_timeout_ms = self.settings.limits.liveness_timeout_ms;
        let known = self.zones.as_ref().map_or(0, |zones| zones.version);
        let Some(link) = self.sessions.get_mut(&session) else {
            return;
        };
        let proven_until =
            Instant::from_micros(echo_us.min(now.as_micros())).plus_ms(liveness_timeout_ms);
        link.lease_until = link.lease_until.max(proven_until);
        if news_version >= known {
            link.zones_outdated_since = None;
        } else if link.zones_outdated_since.is_none() {
            link.zones_outdated_since = Some(now);
        }
        let relay = link
            .zones_outdated_since
            .is_some_and(|since| now.millis_since(since) >= ZONES_RELAY_DELAY_MS);
        if relay {
            // Sent again after another delay in case this copy is lost.
            link.zones_outdated_since = Some(now);
        }
        let is_due = link.is_heartbeat_due(now, self.settings.limits);
        let queue_levels = self.queue_levels(now);
        let Some(link) = self.sessions.get_mut(&session) else {
            return;
        };
        if is_due || have_changed(&queue_levels, &link.sent_levels) {
            link.stamped_at = Some(now);
            link.heartbeat_sent_at = Some(now);
            link.sent_levels = queue_levels.clone();
            let frame = AgentFrame::Beat {
                stamp_us: now.as_micros(),
                document_revision: self.document.revision(),
                queue_levels,
            };
            self.send(session, frame);
        }
        if let Some(zones) = self.zones.clone().filter(|_| relay) {
            self.send(session, AgentFrame::News(zones));
        }
    }

    /// Applies evacuated zones unless a newer version is known.
    pub(super) fn apply_zones(&mut self, zones: EvacuatedZones, source: &'static str) {
        if !zones.is_newer_than(self.zones.as_ref()) {
            return;
        }
        let known = self.zones.as_ref().map(|known| &known.evacuated);
        if known != Some(&zones.evacuated) {
            self.log_event(ExecutionLogEvent::NewsTaken {
                version: zones.version,
                evacuated: zones.evacuated.iter().cloned().collect(),
                source,
            });
        }
        self.zones = Some(zones);
    }

    fn on_start(&mut self, now: Instant, session: SessionId, order: StartOrder) {
        let Some(link) = self.sessions.get_mut(&session) else {
            return;
        };
        link.starts_seen += 1;
        link.capacity.due = true;
        self.last_needs = order.needs;
        if let Some(reason) = self.reject_reason(now, session, &order) {
            if reason == NotStartedReason::NoRoom {
                self.record_request(now, session, order.needs);
            }
            self.reject_start(session, order.run, reason);
            return;
        }
        self.start_run(now, session, order);
    }

    pub(super) fn reject_start(
        &mut self,
        session: SessionId,
        run: RunId,
        reason: NotStartedReason,
    ) {
        self.log_event(ExecutionLogEvent::RunNotStarted {
            job: run.task.job.to_string(),
            run: run.to_string(),
            reason: reason.as_str(),
            free_cpu_milli: self.free().cpu_milli,
        });
        let frame = AgentFrame::Ended {
            run,
            end: RunOutcome::NotStarted(reason),
            ran_ms: 0,
        };
        self.send(session, frame);
    }

    /// Why the start order must be rejected; `None` if it may be accepted.
    fn reject_reason(
        &self,
        now: Instant,
        session: SessionId,
        order: &StartOrder,
    ) -> Option<NotStartedReason> {
        let link = self.sessions.get(&session)?;
        let (lease_until, is_retiring) = (link.lease_until, link.retiring_since.is_some());
        let Some(worker) = self.worker.as_ref().filter(|worker| worker.ready) else {
            return Some(NotStartedReason::NoWorker);
        };
        if worker.is_unresponsive {
            return Some(NotStartedReason::Unresponsive);
        }
        if now >= lease_until {
            return Some(NotStartedReason::RightLapsed);
        }
        if worker.view.draining || self.leaving || is_retiring {
            return Some(NotStartedReason::Draining);
        }
        if self.is_evacuated(&worker.view.availability_zone) {
            return Some(NotStartedReason::Evacuated);
        }
        if let Some(known) = self.runs.get(&order.run.task.name()) {
            return Some(if known.order.run.task == order.run.task {
                NotStartedReason::TaskBusy
            } else {
                NotStartedReason::NameInUse
            });
        }
        if !order.needs.fits(self.free()) {
            return Some(NotStartedReason::NoRoom);
        }
        if order.is_suspect && self.runs.values().any(|run| run.order.is_suspect) {
            return Some(NotStartedReason::SuspectBusy);
        }
        None
    }

    fn is_evacuated(&self, zone: &str) -> bool {
        self.zones
            .as_ref()
            .is_some_and(|zones| zones.evacuated.contains(zone))
    }

    fn on_stop(&mut self, now: Instant, session: SessionId, run: RunId) {
        let is_same_run = |known: &Run| known.session == session && known.order.run == run;
        let task = run.task.name();
        if self.runs.get(&task).is_some_and(is_same_run) {
            self.stop_run(now, task, "asked");
        }
    }

    /// Closes sessions whose lease has expired, if no frame has arrived for the liveness timeout or
    /// the lease has not been extended for that long after its expiry.
    pub(super) fn close_unresponsive_sessions(&mut self, now: Instant) {
        let liveness_timeout_ms = self.settings.limits.liveness_timeout_ms;
        let unresponsive: Vec<SessionId> = self
            .sessions
            .iter()
            .filter(|(_, link)| {
                now >= link.lease_until
                    && now.millis_since(link.last_received_at) >= liveness_timeout_ms
                    || now >= link.lease_until.plus_ms(liveness_timeout_ms)
            })
            .map(|(session, _)| *session)
            .collect();
        for session in unresponsive {
            self.actions.push(ExecutionAction::Close { session });
            self.disconnect_session(now, session, "silent");
        }
    }

    /// Removes a session and stops its runs.
    ///
    /// The entry either has no clients left or waits until its runs here have finished.
    pub(super) fn disconnect_session(
        &mut self,
        now: Instant,
        session: SessionId,
        cause: &'static str,
    ) {
        let Some(link) = self.sessions.remove(&session) else {
            return;
        };
        self.document.disconnect_peer(session);
        let tasks = self.tasks_of_session(session);
        self.log_event(ExecutionLogEvent::EntryLost {
            entry: link.entry.clone(),
            cause,
            heard_ms_ago: now.millis_since(link.last_received_at),
            runs: tasks.len(),
        });
        self.draining_sessions.insert(session, link.entry);
        for task in tasks {
            self.stop_run(now, task, "entry_lost");
        }
    }

    pub(super) fn tasks_of_session(&self, session: SessionId) -> Vec<TaskName> {
        let runs = self.runs.iter().filter(|(_, run)| run.session == session);
        runs.map(|(task, _)| *task).collect()
    }

    /// Stops runs whose lease has expired or whose deadline has passed.
    pub(super) fn stop_expired_runs(&mut self, now: Instant) {
        let mut expired = Vec::new();
        for (task, run) in &self.runs {
            let lease_expired = self
                .sessions
                .get(&run.session)
                .is_none_or(|link| now >= link.lease_until);
            if lease_expired {
                expired.push((*task, "right_lapsed"));
            } else if now >= run.deadline() {
                expired.push((*task, "deadline"));
            }
        }
        for (task, cause) in expired {
            self.stop_run(now, task, cause);
        }
    }

    /// Whether the worker leaves the stop of a lost entry's run unconfirmed for longer than a stop takes.
    ///
    /// The entry starts the task elsewhere after its time limit, which leaves time for a stop and for the
    /// end of the worker's lease.
    pub(super) fn has_overdue_stop(&self, now: Instant) -> bool {
        let stop_ms = self.settings.limits.stop_ms;
        self.runs.values().any(|run| {
            let is_overdue = run.stop.is_some_and(|stop| {
                stop.confirmed_from_hold.is_none() && now.millis_since(stop.since) >= stop_ms
            });
            let link = self.sessions.get(&run.session);
            let has_lapsed = link.is_none_or(|link| now >= link.lease_until);
            // No stop is confirmed at a replaced worker, whose lease isn't renewed either.
            run.replaced_worker.is_none() && is_overdue && has_lapsed
        })
    }

    /// Reports disconnected sessions without unfinished runs.
    pub(super) fn report_drained_sessions(&mut self) {
        let runs = &self.runs;
        let is_drained = |session: &SessionId| runs.values().all(|run| run.session != *session);
        let drained: Vec<SessionId> = self
            .draining_sessions
            .keys()
            .copied()
            .filter(is_drained)
            .collect();
        for session in drained {
            self.draining_sessions.remove(&session);
            self.actions
                .push(ExecutionAction::SessionDrained { session });
        }
    }

    /// Marks a run for stopping and sends a stop call.
    pub(super) fn stop_run(&mut self, now: Instant, task: TaskName, cause: &'static str) {
        let Some(run) = self.runs.get_mut(&task) else {
            return;
        };
        if run.stop.is_some() {
            return;
        }
        run.stop = Some(StopState {
            cause,
            since: now,
            sent_at: now,
            confirmed_from_hold: None,
        });
        if run.replaced_worker.is_none() {
            let number = run.number;
            self.call_stop(task, number);
        }
    }
}
