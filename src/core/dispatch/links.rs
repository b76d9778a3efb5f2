//! Sessions with agents.

use {
    super::{
        DispatchAction, DispatchLogEvent, Dispatcher, LinkId,
        worker_link::{WorkerKey, WorkerLink},
    },
    crate::core::{
        link::{AgentFrame, EntryFrame, EvacuatedZones, RunOutcome},
        time::Instant,
        work::RunId,
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
        worker.heard_at = now;
        self.contact.heard(now);
        match frame {
            AgentFrame::Hello { .. } => {}
            AgentFrame::Beat {
                stamp_us,
                document_revision,
            } => {
                worker.note_stamp(now, stamp_us);
                self.fetch_document(now, link, document_revision);
            }
            AgentFrame::Worker(view) => {
                let note = DispatchLogEvent::WorkerChanged {
                    agent: worker.agent.clone(),
                    worker: view
                        .as_ref()
                        .map(|view| view.life.id.clone())
                        .unwrap_or_default(),
                    draining: view.as_ref().is_some_and(|view| view.draining),
                };
                let was = worker.view.as_ref().map(|view| &view.life);
                if was != view.as_ref().map(|view| &view.life) {
                    worker.health = Default::default();
                    worker.slowness = 1.0;
                }
                worker.view = view;
                self.log_event(note);
            }
            AgentFrame::Room(report) => {
                worker.note_room(report);
                self.told_room.push(key);
            }
            AgentFrame::Ended { run, end, ran_ms } => self.on_ended(now, key, run, end, ran_ms),
            AgentFrame::News(news) => self.actions.push(DispatchAction::ApplyEvacuatedZones(news)),
            AgentFrame::FetchDocument(request) => {
                let frame = EntryFrame::DocumentPart(self.document.part(request));
                self.actions.push(DispatchAction::Send { link, frame });
            }
            AgentFrame::DocumentPart(part) => self.take_document_part(now, link, &part),
        }
    }

    /// Begins a session. Its hello says that nothing from an earlier one runs there any more.
    ///
    /// Guards against the hello of a session that has ended already and is read late: an entry that was
    /// suspended finds several in its sockets, in any order, and an old one says nothing about runs that
    /// were ordered on a newer session. The agent's stamps only rise, so it is told by its stamp. A
    /// host that was started anew counts from zero and is met as soon as its earlier runs are over.
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
        self.end_all_runs(now, key);
        let Some(worker) = self.workers.get_mut(key) else {
            return;
        };
        let replaced = worker.link;
        worker.open(now, link, stamp_us);
        self.by_link.insert(link, key);
        if let Some(replaced) = replaced {
            self.by_link.remove(&replaced);
            self.actions.push(DispatchAction::Close { link: replaced });
        }
        self.contact.heard(now);
        self.log_event(DispatchLogEvent::AgentConnected { agent });
        self.send_news(key);
        self.beat(now, key);
    }

    /// Takes all runs of an agent as over, with an unknown end.
    fn end_all_runs(&mut self, now: Instant, key: WorkerKey) {
        let Some(worker) = self.workers.get(key) else {
            return;
        };
        let runs: Vec<RunId> = worker.runs.keys().copied().collect();
        for run in runs {
            self.on_ended(now, key, run, RunOutcome::Lost, 0);
        }
    }

    pub(super) fn lose_link(&mut self, now: Instant, link: LinkId, cause: &'static str) {
        let Some(key) = self.by_link.remove(&link) else {
            return;
        };
        self.document.disconnect_peer(link);
        let over_after_ms = self.settings.limits.over_after_ms();
        let Some(worker) = self.workers.get_mut(key) else {
            return;
        };
        worker.link = None;
        let over_at = worker.stamped_at.plus_ms(over_after_ms);
        let note = DispatchLogEvent::AgentLost {
            agent: worker.agent.clone(),
            cause,
            heard_ms_ago: now.millis_since(worker.heard_at),
            runs: worker.runs.len(),
            over_in_ms: over_at.millis_since(now),
        };
        self.log_event(note);
    }

    /// Sends beats, gives silent sessions up, and takes runs as over that must be by now.
    pub(super) fn tend_links(&mut self, now: Instant) {
        let limits = self.settings.limits;
        let keys: Vec<WorkerKey> = self.workers.keys().collect();
        for key in keys {
            let Some(worker) = self.workers.get(key) else {
                continue;
            };
            let silent = now.millis_since(worker.heard_at) >= limits.silence_ms;
            let over = now.millis_since(worker.stamped_at) >= limits.over_after_ms();
            let beat_due = worker
                .beat_at
                .is_none_or(|beat_at| now.millis_since(beat_at) >= limits.beat_ms());
            match worker.link {
                Some(link) if silent => {
                    self.actions.push(DispatchAction::Close { link });
                    self.lose_link(now, link, "silent");
                }
                Some(_) if beat_due => self.beat(now, key),
                Some(_) => {}
                None if over => {
                    self.end_all_runs(now, key);
                    self.forget_agent(key);
                }
                None => {}
            }
        }
    }

    fn forget_agent(&mut self, key: WorkerKey) {
        if let Some(worker) = self.workers.remove(key) {
            self.by_agent.remove(&worker.agent);
        }
    }

    fn beat(&mut self, now: Instant, key: WorkerKey) {
        let news_version = self.news.as_ref().map_or(0, |news| news.version);
        let document_revision = self.document.revision();
        let is_holder = self.is_document_holder(key);
        let Some(worker) = self.workers.get_mut(key) else {
            return;
        };
        let Some(link) = worker.link else {
            return;
        };
        worker.beat_at = Some(now);
        let frame = EntryFrame::Beat {
            echo_us: worker.stamp_us,
            news_version,
            document_revision,
            is_holder,
        };
        self.actions.push(DispatchAction::Send { link, frame });
    }

    pub(super) fn on_news(&mut self, news: EvacuatedZones) {
        if !news.is_newer_than(self.news.as_ref()) {
            return;
        }
        self.log_event(DispatchLogEvent::NewsInForce {
            version: news.version,
            evacuated: news.evacuated.iter().cloned().collect(),
        });
        let known = self.news.replace(news.clone());
        // The store's version also rises with what is no news to agents.
        if known.is_some_and(|known| known.evacuated == news.evacuated) {
            return;
        }
        let keys: Vec<WorkerKey> = self.workers.keys().collect();
        for key in keys {
            self.send_news(key);
        }
    }

    /// Tells an agent the zones that are out.
    fn send_news(&mut self, key: WorkerKey) {
        let link = self.workers.get(key).and_then(|worker| worker.link);
        if let (Some(link), Some(news)) = (link, self.news.clone()) {
            let frame = EntryFrame::News(news);
            self.actions.push(DispatchAction::Send { link, frame });
        }
    }
}
