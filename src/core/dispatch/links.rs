//! Sessions with agents.

use {
    super::{
        DispatchAction, DispatchLogEvent, Dispatcher, LinkId,
        outcomes::{EndSource, RunEnd},
        worker_link::{WorkerKey, WorkerLink},
    },
    crate::core::{
        link::{AgentFrame, EntryFrame, EvacuatedZones, RunOutcome},
        time::Instant,
        work::{RunId, WorkerView},
        worker_speed::NORMAL_PERMILLE,
    },
};

impl Dispatcher {
    pub(super) fn on_frame(&mut self, now: Instant, link: LinkId, frame: AgentFrame) {
        if let AgentFrame::Hello { agent, stamp_us } = frame {
            self.open_link(now, link, agent, stamp_us);
            return;
        }
        let Some(key) = self.by_link.get(&link).copied() else {
            return;
        };
        let Some(worker) = self.workers.get_mut(key) else {
            return;
        };
        worker.last_heard_at = now;
        self.connectivity.record_message(now);
        match frame {
            AgentFrame::Hello { .. } => {}
            AgentFrame::Beat {
                stamp_us,
                document_revision,
                queue_levels,
            } => {
                worker.record_stamp(now, stamp_us);
                worker.levels.record(now, queue_levels);
                self.fetch_document(now, link, document_revision);
            }
            AgentFrame::Worker(view) => self.on_worker_view(now, key, view),
            AgentFrame::Room { report, stamp_us } => {
                worker.record_stamp(now, stamp_us);
                worker.record_capacity(report);
                self.speeds.is_outdated |= worker.record_slowness(report.slowness_permille);
                self.capacity_reported.push(key);
            }
            AgentFrame::Ended { run, end, ran_ms } => {
                let end = RunEnd {
                    outcome: end,
                    ran_ms,
                    source: EndSource::Agent,
                };
                self.on_run_ended(now, key, run, end);
            }
            AgentFrame::Crashed { tasks } => self.on_worker_crashed(now, &tasks),
            AgentFrame::News(zones) => self
                .actions
                .push(DispatchAction::ApplyEvacuatedZones(zones)),
            AgentFrame::FetchDocument(request) => {
                let frame = EntryFrame::DocumentPart(self.document.part(request));
                self.actions.push(DispatchAction::Send { link, frame });
            }
            AgentFrame::DocumentPart(part) => self.handle_document_part(now, link, &part),
            AgentFrame::CancelJob { job } => self.on_forwarded_cancellation(now, link, job),
            AgentFrame::JobCancelled { job } => self.on_job_cancelled_elsewhere(now, job),
        }
    }

    /// Applies the agent's announcement of its worker, or that it has none.
    fn on_worker_view(&mut self, now: Instant, key: WorkerKey, view: Option<WorkerView>) {
        let is_only_worker = view.is_some() && !self.has_workers();
        let Some(worker) = self.workers.get_mut(key) else {
            return;
        };
        let event = DispatchLogEvent::WorkerChanged {
            agent: worker.agent.clone(),
            worker: view
                .as_ref()
                .map(|view| view.life.id.clone())
                .unwrap_or_default(),
            draining: view.as_ref().is_some_and(|view| view.draining),
        };
        let previous = worker.view.as_ref().map(|view| &view.life);
        if previous != view.as_ref().map(|view| &view.life) {
            worker.health = Default::default();
            worker.slowness_permille = NORMAL_PERMILLE;
        }
        self.speeds.is_outdated = true;
        if view.is_some() {
            self.first_worker_at.get_or_insert(now);
        }
        let became_available = worker.view.is_none() && view.is_some();
        worker.view = view;
        if became_available {
            self.worker_discovery.record_worker(now, is_only_worker);
        }
        self.log_event(event);
    }

    /// Opens a session; its hello states that no run of an earlier session is executing there any
    /// more.
    ///
    /// After a suspension an entry may read several hellos of one agent in any order, and an
    /// outdated one says nothing about runs started on a newer session. Hellos are ordered by the
    /// agent's timestamp, which only increases. A restarted host counts from zero and is accepted
    /// once its earlier runs have certainly ended.
    fn open_link(&mut self, now: Instant, link: LinkId, agent: String, stamp_us: u64) {
        let key = match self.by_agent.get(&agent) {
            Some(key) => *key,
            None => {
                let key = self.workers.insert(WorkerLink::new(now, agent.clone()));
                self.by_agent.insert(agent.clone(), key);
                key
            }
        };
        if self
            .workers
            .get(key)
            .is_some_and(|known| stamp_us <= known.stamp_us)
        {
            self.log_event(DispatchLogEvent::HelloOutdated { agent });
            self.actions.push(DispatchAction::Close { link });
            return;
        }
        self.mark_runs_lost(now, key, EndSource::NewSession);
        let Some(worker) = self.workers.get_mut(key) else {
            return;
        };
        let replaced = worker.link;
        worker.open_session(now, link, stamp_us);
        self.by_link.insert(link, key);
        if let Some(replaced) = replaced {
            self.by_link.remove(&replaced);
            self.actions.push(DispatchAction::Close { link: replaced });
        }
        self.connectivity.record_message(now);
        self.log_event(DispatchLogEvent::AgentConnected { agent });
        self.send_zones(key);
        self.send_heartbeat(now, key);
    }

    /// Treats all runs of an agent as ended with an unknown outcome.
    fn mark_runs_lost(&mut self, now: Instant, key: WorkerKey, source: EndSource) {
        let Some(worker) = self.workers.get(key) else {
            return;
        };
        let runs: Vec<RunId> = worker.runs.keys().copied().collect();
        for run in runs {
            let end = RunEnd {
                outcome: RunOutcome::Lost,
                ran_ms: 0,
                source,
            };
            self.on_run_ended(now, key, run, end);
        }
    }

    pub(super) fn disconnect(&mut self, now: Instant, link: LinkId, cause: &'static str) {
        let Some(key) = self.by_link.remove(&link) else {
            return;
        };
        self.document.disconnect_peer(link);
        let runs_stopped_after_ms = self.settings.limits.runs_stopped_after_ms();
        let Some(worker) = self.workers.get_mut(key) else {
            return;
        };
        worker.link = None;
        let runs_finished_at = worker.stamp_received_at.plus_ms(runs_stopped_after_ms);
        let event = DispatchLogEvent::AgentLost {
            agent: worker.agent.clone(),
            cause,
            heard_ms_ago: now.millis_since(worker.last_heard_at),
            runs: worker.runs.len(),
            over_in_ms: runs_finished_at.millis_since(now),
        };
        self.log_event(event);
    }

    /// Sends heartbeats, closes unresponsive sessions, and marks runs as lost that must have ended
    /// by now.
    pub(super) fn maintain_links(&mut self, now: Instant) {
        let limits = self.settings.limits;
        let keys: Vec<WorkerKey> = self.workers.keys().collect();
        for key in keys {
            let Some(worker) = self.workers.get(key) else {
                continue;
            };
            let is_unresponsive =
                now.millis_since(worker.last_heard_at) >= limits.liveness_timeout_ms;
            let runs_finished =
                now.millis_since(worker.stamp_received_at) >= limits.runs_stopped_after_ms();
            let heartbeat_due = worker
                .heartbeat_sent_at
                .is_none_or(|sent_at| now.millis_since(sent_at) >= limits.heartbeat_interval_ms());
            match worker.link {
                Some(link) if is_unresponsive => {
                    self.actions.push(DispatchAction::Close { link });
                    self.disconnect(now, link, "silent");
                }
                Some(_) if heartbeat_due => self.send_heartbeat(now, key),
                Some(_) => {}
                None if runs_finished => {
                    self.mark_runs_lost(now, key, EndSource::LimitsExpired);
                    self.remove_agent(key);
                }
                None => {}
            }
        }
    }

    fn remove_agent(&mut self, key: WorkerKey) {
        if let Some(worker) = self.workers.remove(key) {
            self.by_agent.remove(&worker.agent);
        }
    }

    fn send_heartbeat(&mut self, now: Instant, key: WorkerKey) {
        let news_version = self.zones.as_ref().map_or(0, |zones| zones.version);
        let zones_age_ms = self.zones_read_at.map(|at| now.millis_since(at));
        let document_revision = self.document.revision();
        let is_holder = self.is_document_holder(key);
        let demand_milli = self.demand_milli(now);
        let queue_demands = self.queue_demands(now, key);
        let Some(worker) = self.workers.get_mut(key) else {
            return;
        };
        let Some(link) = worker.link else {
            return;
        };
        worker.heartbeat_sent_at = Some(now);
        let frame = EntryFrame::Beat {
            demand_milli,
            echo_us: worker.stamp_us,
            news_version,
            zones_age_ms,
            rows_version: self.rows_version,
            document_revision,
            is_holder,
            queue_demands,
        };
        self.actions.push(DispatchAction::Send { link, frame });
    }

    /// Tasks that run at a time for this entry's clients, for each of its agents, in thousandths.
    fn demand_milli(&self, now: Instant) -> u32 {
        let agents = self.by_link.len().max(1) as f64;
        (self.arrivals.total(now) * 1_000.0 / agents) as u32
    }

    pub(super) fn on_evacuated_zones(&mut self, zones: EvacuatedZones) {
        if !zones.is_newer_than(self.zones.as_ref()) {
            return;
        }
        let previous = self.zones.replace(zones.clone());
        // The store's version also increases with changes that don't concern agents.
        if previous.is_some_and(|previous| previous.evacuated == zones.evacuated) {
            return;
        }
        self.log_event(DispatchLogEvent::NewsInForce {
            version: zones.version,
            evacuated: zones.evacuated.into_iter().collect(),
        });
        let keys: Vec<WorkerKey> = self.workers.keys().collect();
        for key in keys {
            self.send_zones(key);
        }
    }

    /// Sends the evacuated zones to an agent.
    fn send_zones(&mut self, key: WorkerKey) {
        let link = self.workers.get(key).and_then(|worker| worker.link);
        if let (Some(link), Some(zones)) = (link, self.zones.clone()) {
            let frame = EntryFrame::News(zones);
            self.actions.push(DispatchAction::Send { link, frame });
        }
    }
}
