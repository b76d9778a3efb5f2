//! A home's view of one runner.

use {
    crate::core::{
        ejection::RunnerHealth,
        job::TaskRef,
        message::{Candidate, FreeSlots},
        placement::RunnerView,
        ticket::AgentId,
        time::Instant,
    },
    std::{collections::BTreeMap, net::SocketAddr},
};

/// Delay before a session that failed to open is retried, in milliseconds.
const RECONNECT_INTERVAL_MS: u64 = 100;
/// Time without new starts after a refusal for another reason than full slots, in milliseconds.
const REFUSAL_RETRY_INTERVAL_MS: u64 = 250;

/// Time after the last job that could use a runner during which its session is reopened, in
/// milliseconds.
const SESSION_RETENTION_MS: u64 = 30_000;

/// Age from which a report is stale, in milliseconds: another home has probably used the slots
/// since.
const STALE_REPORT_MS: u64 = 50;
/// Age from which a report is older than what entries know, in milliseconds; agents announce their free
/// slots to entries every second.
const OUTDATED_REPORT_MS: u64 = 1_000;

/// State of the session to a runner.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum LinkState {
    /// No session is open.
    Closed {
        /// Earliest time of the next attempt.
        retry_at: Instant,
    },
    /// The hello was sent.
    Opening,
    /// The runner sent its welcome.
    Open,
}

/// A runner as one home sees it.
#[derive(Debug)]
pub(crate) struct RunnerLink {
    pub(crate) peer_addr: SocketAddr,
    /// Health, from the outcomes of its tasks.
    pub(crate) health: RunnerHealth,
    /// Whether this home prefers the runner.
    pub(crate) own: bool,
    pub(crate) state: LinkState,
    /// Epoch of the newest session; zero before the first.
    pub(crate) epoch: u64,
    /// Start of the current period without an open session.
    pub(crate) disconnected_since: Option<Instant>,
    /// Tasks sent there, each with the epoch of the session on which it was started.
    pub(crate) outstanding: BTreeMap<TaskRef, u64>,
    started_at: BTreeMap<TaskRef, Instant>,
    /// Number of tasks in the last demand sent, less the offers received since.
    pub(crate) demanded_tasks: u16,
    /// When the last demand was sent.
    pub(crate) demanded_at: Instant,
    free: FreeSlots,
    /// Starts sent on the newest session.
    starts_sent: u32,
    pub(crate) last_report_at: Instant,
    paused_until: Instant,
    session_wanted_until: Instant,
}

impl RunnerLink {
    /// A closed link to a runner that an entry named.
    pub(crate) fn new(now: Instant, candidate: &Candidate) -> Self {
        Self {
            peer_addr: candidate.peer_addr,
            health: RunnerHealth::default(),
            own: candidate.own,
            state: LinkState::Closed { retry_at: now },
            epoch: 0,
            disconnected_since: None,
            outstanding: BTreeMap::new(),
            started_at: BTreeMap::new(),
            demanded_tasks: 0,
            demanded_at: Instant::default(),
            free: FreeSlots {
                slots: candidate.free_slots,
                held: 0,
                starts_seen: 0,
            },
            starts_sent: 0,
            last_report_at: now,
            paused_until: Instant::default(),
            session_wanted_until: now,
        }
    }

    /// Records the free slots that the runner reported.
    pub(crate) fn report_free(&mut self, now: Instant, free: FreeSlots) {
        self.free = free;
        self.last_report_at = now;
    }

    /// Applies the free slots that an entry named if they are more recent than the runner's own report.
    ///
    /// A runner without tasks or demands of this home sends it no reports, and would stay full in its
    /// view.
    pub(crate) fn apply_announced_slots(&mut self, now: Instant, free_slots: u16) {
        let is_outdated = now.millis_since(self.last_report_at) >= OUTDATED_REPORT_MS;
        if is_outdated && self.is_idle() && self.free.held == 0 {
            let free = FreeSlots {
                slots: free_slots,
                ..self.free
            };
            self.report_free(now, free);
        }
    }

    /// Records an offer: a slot that is held for this home.
    pub(crate) fn apply_offer(&mut self, now: Instant, free: FreeSlots) {
        self.report_free(now, free);
        self.demanded_tasks = self.demanded_tasks.saturating_sub(1);
    }

    /// Free slots, less the starts in flight.
    ///
    /// A report that crosses a start doesn't include it, and the slot would be counted twice.
    pub(crate) fn free_slots(&self) -> u16 {
        self.free.slots.saturating_sub(self.starts_in_flight())
    }

    /// Free slots that are probably still free.
    ///
    /// A runner that isn't this home's own is preferred by another home, which has probably used a
    /// slot since a stale report.
    fn estimated_free_slots(&self, now: Instant) -> u16 {
        let is_stale = now.millis_since(self.last_report_at) >= STALE_REPORT_MS;
        self.free_slots()
            .saturating_sub(u16::from(is_stale && !self.own))
    }

    /// Slots held for this home, less the starts in flight.
    pub(crate) fn offered_slots(&self) -> u16 {
        self.free.held.saturating_sub(self.starts_in_flight())
    }

    /// Releases the held slots and clears the demand.
    pub(crate) fn withdraw_demand(&mut self) {
        self.demanded_tasks = 0;
        self.free.slots -= self.free.held;
        self.free.held = 0;
    }

    /// Starts that the runner had not received when it last reported.
    fn starts_in_flight(&self) -> u16 {
        let in_flight = self.starts_sent.saturating_sub(self.free.starts_seen);
        u16::try_from(in_flight).unwrap_or(u16::MAX)
    }

    /// Sends no tasks to the runner for [`REFUSAL_RETRY_INTERVAL_MS`].
    pub(crate) fn pause(&mut self, now: Instant) {
        self.paused_until = now.plus_ms(REFUSAL_RETRY_INTERVAL_MS);
    }

    /// Records a start sent to the runner.
    pub(crate) fn record_start(&mut self, now: Instant, task: TaskRef) {
        self.outstanding.insert(task, self.epoch);
        self.started_at.insert(task, now);
        self.starts_sent += 1;
    }

    /// Whether tasks can be sent there now.
    pub(crate) fn is_usable(&self, now: Instant) -> bool {
        let under_limit = self.outstanding.len() < usize::from(self.health.max_tasks(now));
        self.state == LinkState::Open && now >= self.paused_until && under_limit
    }

    /// Extends the time during which the session is reopened.
    pub(crate) fn request_session(&mut self, now: Instant) {
        self.session_wanted_until = now.plus_ms(SESSION_RETENTION_MS);
    }

    /// Whether the session is to be reopened if it is closed.
    pub(crate) fn is_session_wanted(&self, now: Instant) -> bool {
        now < self.session_wanted_until || !self.outstanding.is_empty()
    }

    /// Removes a task and returns its run time, or none if the task was not outstanding.
    pub(crate) fn remove_task(&mut self, now: Instant, task: &TaskRef) -> Option<u64> {
        self.outstanding.remove(task)?;
        let started_at = self.started_at.remove(task).unwrap_or(now);
        Some(now.millis_since(started_at))
    }

    /// Whether no task is outstanding, so that no outcome can report a free slot.
    pub(crate) fn is_idle(&self) -> bool {
        self.outstanding.is_empty()
    }

    /// The runner as placement sees it.
    pub(crate) fn view(&self, now: Instant) -> RunnerView {
        RunnerView {
            own: self.own,
            free_slots: self.estimated_free_slots(now),
            outstanding: u16::try_from(self.outstanding.len()).unwrap_or(u16::MAX),
            last_report_at: self.last_report_at,
        }
    }

    /// Closes the link and sets the time of the next attempt.
    pub(crate) fn record_disconnect(&mut self, now: Instant) {
        let failed_to_open = self.state == LinkState::Opening;
        let pause_ms = if failed_to_open {
            RECONNECT_INTERVAL_MS
        } else {
            0
        };
        self.state = LinkState::Closed {
            retry_at: now.plus_ms(pause_ms),
        };
        if self.disconnected_since.is_none() {
            self.disconnected_since = Some(now);
        }
    }

    /// Starts a new session attempt and returns its epoch, if one may be opened now.
    ///
    /// `last_epoch` is shared by all links of the home. A link that was removed and created again
    /// continues with higher epochs, so the runner doesn't refuse its sessions as stale.
    pub(crate) fn next_epoch(&mut self, now: Instant, last_epoch: &mut u64) -> Option<u64> {
        match self.state {
            LinkState::Closed { retry_at } if now >= retry_at => {
                *last_epoch += 1;
                self.epoch = *last_epoch;
                self.starts_sent = 0;
                self.demanded_tasks = 0;
                self.free.held = 0;
                self.state = LinkState::Opening;
                Some(self.epoch)
            }
            LinkState::Closed { .. } | LinkState::Opening | LinkState::Open => None,
        }
    }
}

/// Links to all known runners.
pub(crate) type RunnerLinks = BTreeMap<AgentId, RunnerLink>;
