//! Sessions with entries, and the right to run tasks for them.

use {
    super::{
        ExecutionAction, ExecutionLogEvent, Executor, SessionId,
        room::ToldRoom,
        run::{Run, StopState},
    },
    crate::core::{
        link::{AgentFrame, EntryFrame, EvacuatedZones, NotStartedReason, RunOutcome, StartOrder},
        time::Instant,
        work::{RunId, TaskId},
    },
};

/// Pause before news is passed to an entry that goes by older ones, in milliseconds.
///
/// An entry that reaches the store has newer news within a few milliseconds of the others.
const NEWS_RELAY_MS: u64 = 400;

/// One entry's session.
#[derive(Debug)]
pub(super) struct EntryLink {
    /// The entry's address, for logs.
    pub(super) entry: String,
    /// Tasks may run for this entry until then.
    pub(super) right_until: Instant,
    /// When the entry was last heard.
    pub(super) heard_at: Instant,
    /// Start orders taken in.
    pub(super) starts_seen: u32,
    /// What the entry was told of free room.
    pub(super) room: ToldRoom,
    /// The entry goes by older news than this agent knows since then.
    pub(super) behind_since: Option<Instant>,
    /// The entry names this agent as a holder of the document since then.
    pub(super) holder_since: Option<Instant>,
}

impl Executor {
    /// Begins a session with a hello that says that nothing which the entry started here runs any more.
    ///
    /// Guards against two runs of a task: that is not true while an earlier session with the entry is open or has runs
    /// that are not over, and the entry would start them elsewhere. Such a session is given up.
    pub(super) fn on_session_opened(&mut self, now: Instant, session: SessionId, entry: String) {
        let is_open = self.sessions.values().any(|link| link.entry == entry);
        let is_clearing = self.clearing.values().any(|earlier| *earlier == entry);
        if is_open || is_clearing {
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
        let link = EntryLink {
            entry,
            // Nothing starts before the entry has sent the first stamp back.
            right_until: now,
            heard_at: now,
            starts_seen: 0,
            room: ToldRoom::new(now),
            behind_since: None,
            holder_since: None,
        };
        self.sessions.insert(session, link);
        let hello = AgentFrame::Hello {
            agent: self.settings.agent.clone(),
            stamp_us: now.as_micros(),
        };
        self.send(session, hello);
        let view = self.offered_worker();
        self.send(session, AgentFrame::Worker(view));
    }

    pub(super) fn send(&mut self, session: SessionId, frame: AgentFrame) {
        self.actions.push(ExecutionAction::Send { session, frame });
    }

    pub(super) fn on_frame(&mut self, now: Instant, session: SessionId, frame: EntryFrame) {
        let Some(link) = self.sessions.get_mut(&session) else {
            return;
        };
        link.heard_at = now;
        match frame {
            EntryFrame::Beat {
                echo_us,
                news_version,
                document_revision,
                is_holder,
            } => {
                self.on_beat(now, session, echo_us, news_version);
                self.on_document_offer(now, session, document_revision, is_holder);
            }
            EntryFrame::Start(order) => self.on_start(now, session, order),
            EntryFrame::Stop { run } => self.on_stop(now, session, run),
            EntryFrame::Decline => self.end_wish(session),
            EntryFrame::News(news) => self.take_news(news),
            EntryFrame::FetchDocument(request) => {
                let part = self.document.part(request);
                self.send(session, AgentFrame::DocumentPart(part));
            }
            EntryFrame::DocumentPart(part) => self.take_document_part(now, session, &part),
        }
    }

    /// Extends the entry's right by what its echo proves.
    ///
    /// Guards against two runs of a task after its entry could not be reached: the right counts
    /// from a stamp that this agent made, so bytes that were held up on the way extend it by
    /// nothing, and the entry knows an upper bound of it from when the stamp arrived there.
    fn on_beat(&mut self, now: Instant, session: SessionId, echo_us: u64, news_version: u64) {
        let silence_ms = self.settings.limits.silence_ms;
        let known = self.news.as_ref().map_or(0, |news| news.version);
        let Some(link) = self.sessions.get_mut(&session) else {
            return;
        };
        let proved = Instant::from_micros(echo_us.min(now.as_micros())).plus_ms(silence_ms);
        link.right_until = link.right_until.max(proved);
        if news_version >= known {
            link.behind_since = None;
        } else if link.behind_since.is_none() {
            link.behind_since = Some(now);
        }
        let relay = link
            .behind_since
            .is_some_and(|since| now.millis_since(since) >= NEWS_RELAY_MS);
        if relay {
            // Asked again after another pause, should this copy be lost.
            link.behind_since = Some(now);
        }
        self.send(
            session,
            AgentFrame::Beat {
                stamp_us: now.as_micros(),
                document_revision: self.document.revision(),
            },
        );
        if let Some(news) = self.news.clone().filter(|_| relay) {
            self.send(session, AgentFrame::News(news));
        }
    }

    /// Takes in news unless it is older than what is known.
    fn take_news(&mut self, news: EvacuatedZones) {
        if !news.is_newer_than(self.news.as_ref()) {
            return;
        }
        self.log_event(ExecutionLogEvent::NewsTaken {
            version: news.version,
            evacuated: news.evacuated.iter().cloned().collect(),
        });
        self.news = Some(news);
    }

    fn on_start(&mut self, now: Instant, session: SessionId, order: StartOrder) {
        let Some(link) = self.sessions.get_mut(&session) else {
            return;
        };
        link.starts_seen += 1;
        link.room.due = true;
        if let Some(reason) = self.refusal(now, session, &order) {
            if reason == NotStartedReason::NoRoom {
                self.note_wish(now, session, order.needs);
            }
            self.refuse(session, order.run, reason);
            return;
        }
        self.order_start(now, session, order);
    }

    pub(super) fn refuse(&mut self, session: SessionId, run: RunId, reason: NotStartedReason) {
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

    /// Why the order can't be followed, if it can't.
    fn refusal(
        &self,
        now: Instant,
        session: SessionId,
        order: &StartOrder,
    ) -> Option<NotStartedReason> {
        let right_until = self.sessions.get(&session)?.right_until;
        let Some(worker) = self.worker.as_ref().filter(|worker| worker.ready) else {
            return Some(NotStartedReason::NoWorker);
        };
        if now >= right_until {
            return Some(NotStartedReason::RightLapsed);
        }
        if worker.view.draining || self.leaving {
            return Some(NotStartedReason::Draining);
        }
        if self.is_evacuated(&worker.view.availability_zone) {
            return Some(NotStartedReason::Evacuated);
        }
        if self.runs.contains_key(&order.run.task) {
            return Some(NotStartedReason::TaskBusy);
        }
        if !order.needs.fits(self.free()) {
            return Some(NotStartedReason::NoRoom);
        }
        None
    }

    fn is_evacuated(&self, zone: &str) -> bool {
        self.news
            .as_ref()
            .is_some_and(|news| news.evacuated.contains(zone))
    }

    fn on_stop(&mut self, now: Instant, session: SessionId, run: RunId) {
        let is_this = |known: &Run| known.session == session && known.order.run == run;
        if self.runs.get(&run.task).is_some_and(is_this) {
            self.stop_run(now, run.task, "asked");
        }
    }

    /// Gives up sessions whose entry's right has lapsed.
    pub(super) fn close_silent_sessions(&mut self, now: Instant) {
        let silence_ms = self.settings.limits.silence_ms;
        let silent: Vec<SessionId> = self
            .sessions
            .iter()
            .filter(|(_, link)| {
                now >= link.right_until && now.millis_since(link.heard_at) >= silence_ms
                    || now >= link.right_until.plus_ms(silence_ms)
            })
            .map(|(session, _)| *session)
            .collect();
        for session in silent {
            self.actions.push(ExecutionAction::Close { session });
            self.lose_session(now, session, "silent");
        }
    }

    /// Stops what a lost session started. Its entry has no client left, or will wait until all is over.
    pub(super) fn lose_session(&mut self, now: Instant, session: SessionId, cause: &'static str) {
        let Some(link) = self.sessions.remove(&session) else {
            return;
        };
        self.document.disconnect_peer(session);
        let tasks = self.tasks_of(session);
        self.log_event(ExecutionLogEvent::EntryLost {
            entry: link.entry.clone(),
            cause,
            heard_ms_ago: now.millis_since(link.heard_at),
            runs: tasks.len(),
        });
        self.clearing.insert(session, link.entry);
        for task in tasks {
            self.stop_run(now, task, "entry_lost");
        }
    }

    fn tasks_of(&self, session: SessionId) -> Vec<TaskId> {
        let runs = self.runs.iter().filter(|(_, run)| run.session == session);
        runs.map(|(task, _)| *task).collect()
    }

    /// Stops runs whose right has lapsed or whose job nobody waits for.
    pub(super) fn stop_unwanted_runs(&mut self, now: Instant) {
        let mut unwanted = Vec::new();
        for (task, run) in &self.runs {
            let lapsed = self
                .sessions
                .get(&run.session)
                .is_none_or(|link| now >= link.right_until);
            if lapsed {
                unwanted.push((*task, "right_lapsed"));
            } else if now >= run.wanted_until() {
                unwanted.push((*task, "deadline"));
            }
        }
        for (task, cause) in unwanted {
            self.stop_run(now, task, cause);
        }
    }

    /// Says which lost sessions have nothing left here.
    pub(super) fn clear_sessions(&mut self) {
        let runs = &self.runs;
        let is_clear = |session: &SessionId| runs.values().all(|run| run.session != *session);
        let clear: Vec<SessionId> = self.clearing.keys().copied().filter(is_clear).collect();
        for session in clear {
            self.clearing.remove(&session);
            self.actions
                .push(ExecutionAction::SessionDrained { session });
        }
    }

    /// Marks a run to be stopped and tells the worker.
    pub(super) fn stop_run(&mut self, now: Instant, task: TaskId, cause: &'static str) {
        let Some(run) = self.runs.get_mut(&task) else {
            return;
        };
        if run.stop.is_some() {
            return;
        }
        run.stop = Some(StopState {
            cause,
            sent_at: now,
            confirmed_before: None,
        });
        let number = run.number;
        self.call_stop(task, number);
    }
}
