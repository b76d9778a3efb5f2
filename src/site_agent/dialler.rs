//! Maintains sessions with the selected entries.

use {
    super::{
        execution_loop::{EntryLink, LoopInput},
        stale_entry_remover::StaleEntryRemover,
    },
    crate::{
        adapters::link::dial_link,
        core::{
            entry_selection::{EntrySelection, SessionGoal},
            execution::{ExecutionEvent, SessionId},
            redial::{DialOutcome, RedialSchedule},
            time::Instant,
        },
        ports::{Counter, Metrics, TimerService},
    },
    std::{
        collections::BTreeMap,
        net::SocketAddr,
        sync::{
            Arc,
            atomic::{AtomicU64, Ordering},
        },
        time::Duration,
    },
    tokio::{
        sync::{mpsc, oneshot, watch},
        time::sleep,
    },
};

/// Interval at which the selection is updated without a change, in milliseconds.
const SELECTION_INTERVAL_MS: u64 = 250;

/// Report of the task that dials an entry and runs the session with it.
#[derive(Debug, Clone, Copy)]
enum DialReport {
    Dialled(DialOutcome),
    /// The session has ended, and no run that was started on it is left.
    SessionLost,
}

/// Selected entries and their dials.
#[derive(Debug)]
struct Dials {
    selection: EntrySelection,
    schedule: RedialSchedule,
    goals: BTreeMap<SocketAddr, watch::Sender<SessionGoal>>,
}

impl Dials {
    fn record(&mut self, now: Instant, entry: SocketAddr, report: DialReport) {
        match report {
            DialReport::Dialled(outcome) => {
                self.schedule.record_dial(now, entry, outcome);
                if outcome == DialOutcome::Connected {
                    self.selection.record_connected(entry);
                } else {
                    self.selection.record_failure(now, entry);
                }
            }
            DialReport::SessionLost => {
                self.schedule.record_session_lost(now, entry);
                self.selection.record_session_lost(now, entry);
            }
        }
    }

    /// Updates the selection and the goals of the sessions.
    fn update(&mut self, now: Instant) {
        for (entry, goal) in self.selection.update(now) {
            if goal == SessionGoal::Maintain {
                self.schedule.maintain(now, entry);
            } else {
                self.schedule.release(entry);
            }
            let known = self
                .goals
                .entry(entry)
                .or_insert_with(|| watch::Sender::new(goal));
            known.send_if_modified(|known| std::mem::replace(known, goal) != goal);
        }
    }

    /// Time until the next dial is due; none is due earlier without a report or a new list.
    fn wait_time(&self, now: Instant) -> Duration {
        let due_at = self.schedule.next_due_at();
        let wait_ms = due_at.map_or(SELECTION_INTERVAL_MS, |due_at| {
            due_at.micros_since(now).div_ceil(1_000)
        });
        Duration::from_millis(wait_ms)
    }
}

/// Connects to the selected entries.
#[derive(Debug)]
pub(super) struct Dialler {
    pub(super) agent: String,
    pub(super) inputs: mpsc::UnboundedSender<LoopInput>,
    pub(super) timer: Arc<dyn TimerService>,
    pub(super) metrics: Arc<dyn Metrics>,
    pub(super) last_session: AtomicU64,
    pub(super) stale_entry_remover: Arc<StaleEntryRemover>,
}

impl Dialler {
    /// Selects entries from the latest list and maintains sessions with them, until no more lists
    /// are sent.
    pub(super) async fn run(self: Arc<Self>, mut lists: mpsc::UnboundedReceiver<Vec<SocketAddr>>) {
        let mut dials = Dials {
            selection: EntrySelection::new(self.agent.clone()),
            schedule: RedialSchedule::new(self.timer.now(), rand::random()),
            goals: BTreeMap::new(),
        };
        let (reports, mut dial_reports) = mpsc::unbounded_channel();
        let mut ticks = self.timer.subscribe(SELECTION_INTERVAL_MS);
        loop {
            let wait_time = dials.wait_time(self.timer.now());
            // The selection changes slowly and is not updated for each dial.
            let updates_selection = tokio::select! {
                entries = lists.recv() => match entries {
                    Some(entries) => {
                        dials.selection.set_listed(&entries);
                        true
                    }
                    None => return,
                },
                Some((entry, report)) = dial_reports.recv() => {
                    dials.record(self.timer.now(), entry, report);
                    false
                }
                _ = ticks.recv() => true,
                () = sleep(wait_time) => false,
            };
            let now = self.timer.now();
            if updates_selection {
                dials.update(now);
                for entry in dials.selection.take_stale(now) {
                    tokio::spawn(Arc::clone(&self.stale_entry_remover).remove(entry));
                }
            }
            for entry in dials.schedule.take_due(now) {
                if let Some(goal) = dials.goals.get(&entry) {
                    let dial = Arc::clone(&self).dial(entry, goal.subscribe(), reports.clone());
                    tokio::spawn(dial);
                }
            }
        }
    }

    /// Dials an entry and runs the session with it.
    ///
    /// The schedule begins no other dial of the entry before the last report of this one. An entry may
    /// be delisted and listed again while its session is open; the hello of a second session would tell
    /// the entry that no run of the first session exists.
    async fn dial(
        self: Arc<Self>,
        entry: SocketAddr,
        mut goal: watch::Receiver<SessionGoal>,
        reports: mpsc::UnboundedSender<(SocketAddr, DialReport)>,
    ) {
        let link = dial_link(entry, Arc::clone(&self.metrics)).await;
        let outcome = match &link {
            Ok(_) => DialOutcome::Connected,
            Err(error) => error.outcome(),
        };
        self.metrics.count(Counter::Dials, outcome.as_str());
        // The receiver lives as long as the process.
        let _ = reports.send((entry, DialReport::Dialled(outcome)));
        match link {
            Ok(link) => {
                self.run_session(entry, link, &mut goal).await;
                self.metrics.count(Counter::PeerLosses, "session");
                let _ = reports.send((entry, DialReport::SessionLost));
            }
            Err(error) => {
                log::debug!(entry:% = entry, error:% = error; "failed to connect to an entry");
            }
        }
    }

    /// Returns when the session has ended and no run that was started on it is left.
    async fn run_session(
        &self,
        entry: SocketAddr,
        link: EntryLink,
        goal: &mut watch::Receiver<SessionGoal>,
    ) {
        let session = SessionId(self.last_session.fetch_add(1, Ordering::Relaxed));
        let (drained, session_drained) = oneshot::channel();
        let mut incoming = link.incoming;
        // The loop runs as long as the process.
        let _ = self.inputs.send(LoopInput::SessionOpened {
            session,
            entry: entry.to_string(),
            outgoing: link.outgoing,
            drained,
        });
        let mut is_retired = false;
        loop {
            let retire = goal.wait_for(|goal| *goal == SessionGoal::Retire);
            let event = tokio::select! {
                frame = incoming.recv() => match frame {
                    Some(frame) => ExecutionEvent::Frame { session, frame },
                    None => break,
                },
                _ = retire, if !is_retired => {
                    is_retired = true;
                    ExecutionEvent::RetireSession { session }
                }
            };
            let _ = self.inputs.send(LoopInput::Event(event));
        }
        let event = ExecutionEvent::SessionLost { session };
        let _ = self.inputs.send(LoopInput::Event(event));
        let _ = session_drained.await;
    }
}
