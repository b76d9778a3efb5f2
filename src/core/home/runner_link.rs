//! What a home knows of one runner.

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

/// Pause before a lost session is opened anew, in milliseconds.
const REOPEN_PAUSE_MS: u64 = 100;
/// Pause after a refusal that isn't about slots, in milliseconds.
const REFUSAL_PAUSE_MS: u64 = 250;

/// For how long after a job that could use a runner its session is reopened, in milliseconds.
const SESSION_WANTED_MS: u64 = 30_000;

/// Age of a report from which on another home has probably started something there, in
/// milliseconds.
const OLD_REPORT_MS: u64 = 50;

/// Where the session to a runner stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum LinkState {
    /// No session; one may be opened from `retry_at` on.
    Closed {
        /// Not before this.
        retry_at: Instant,
    },
    /// The hello is under way.
    Opening,
    /// The runner has welcomed the session.
    Open,
}

/// A runner as one home sees it.
#[derive(Debug)]
pub(crate) struct RunnerLink {
    pub(crate) peer_addr: SocketAddr,
    /// What became of the tasks that it was given.
    pub(crate) health: RunnerHealth,
    /// This home looks to the runner first.
    pub(crate) own: bool,
    pub(crate) state: LinkState,
    /// Epoch of the newest session, zero before the first.
    pub(crate) epoch: u64,
    /// Since when no session has been open, while tasks are outstanding.
    pub(crate) silent_since: Option<Instant>,
    /// Tasks there, with the epoch that they were started on.
    pub(crate) outstanding: BTreeMap<TaskRef, u64>,
    started_at: BTreeMap<TaskRef, Instant>,
    /// Tasks that wait for a slot there, as last told to it.
    pub(crate) demanded: u16,
    /// When it was told so.
    pub(crate) demanded_at: Instant,
    free: FreeSlots,
    /// Starts sent on the newest session.
    starts_sent: u32,
    pub(crate) heard_at: Instant,
    paused_until: Instant,
    wanted_until: Instant,
}

impl RunnerLink {
    /// A runner named by an entry.
    pub(crate) fn new(now: Instant, candidate: &Candidate) -> Self {
        Self {
            peer_addr: candidate.peer_addr,
            health: RunnerHealth::default(),
            own: candidate.own,
            state: LinkState::Closed { retry_at: now },
            epoch: 0,
            silent_since: None,
            outstanding: BTreeMap::new(),
            started_at: BTreeMap::new(),
            demanded: 0,
            demanded_at: Instant::default(),
            free: FreeSlots {
                slots: candidate.free_slots,
                held: 0,
                starts_seen: 0,
            },
            starts_sent: 0,
            heard_at: now,
            paused_until: Instant::default(),
            wanted_until: now,
        }
    }

    /// Takes in how many slots the runner has free.
    pub(crate) fn report_free(&mut self, now: Instant, free: FreeSlots) {
        self.free = free;
        self.heard_at = now;
    }

    /// Takes in that a slot is held there for this home.
    pub(crate) fn take_offer(&mut self, now: Instant, free: FreeSlots) {
        self.report_free(now, free);
        self.demanded = self.demanded.saturating_sub(1);
    }

    /// Slots that can be counted on: starts under way to the runner are taken off.
    ///
    /// Guards against counting a slot twice: a report that crosses a start on the way doesn't
    /// know of it, and the next start would be refused.
    pub(crate) fn free_slots(&self) -> u16 {
        self.free.slots.saturating_sub(self.under_way())
    }

    /// Slots that are likely to be free still.
    ///
    /// Another home looks first to a runner that isn't this one's own: its last report is old
    /// news, and a start on the only slot in it would mostly be refused.
    fn likely_free(&self, now: Instant) -> u16 {
        let is_old = now.millis_since(self.heard_at) >= OLD_REPORT_MS;
        self.free_slots()
            .saturating_sub(u16::from(is_old && !self.own))
    }

    /// Slots held there for this home that no start is under way to.
    pub(crate) fn offered(&self) -> u16 {
        self.free.held.saturating_sub(self.under_way())
    }

    /// Gives back what is held there, and asks for nothing more.
    pub(crate) fn withdraw(&mut self) {
        self.demanded = 0;
        self.free.slots -= self.free.held;
        self.free.held = 0;
    }

    /// Starts that the runner had not seen when it last reported.
    fn under_way(&self) -> u16 {
        let under_way = self.starts_sent.saturating_sub(self.free.starts_seen);
        u16::try_from(under_way).unwrap_or(u16::MAX)
    }

    /// Leaves the runner alone for a while.
    pub(crate) fn pause(&mut self, now: Instant) {
        self.paused_until = now.plus_ms(REFUSAL_PAUSE_MS);
    }

    /// Notes that a task was sent there.
    pub(crate) fn note_start(&mut self, now: Instant, task: TaskRef) {
        self.outstanding.insert(task, self.epoch);
        self.started_at.insert(task, now);
        self.starts_sent += 1;
    }

    /// Whether tasks can be sent there now.
    pub(crate) fn is_usable(&self, now: Instant) -> bool {
        let under_limit = self.outstanding.len() < usize::from(self.health.max_tasks(now));
        self.state == LinkState::Open && now >= self.paused_until && under_limit
    }

    /// A job that the runner could take tasks of was submitted or asked after.
    pub(crate) fn want_session(&mut self, now: Instant) {
        self.wanted_until = now.plus_ms(SESSION_WANTED_MS);
    }

    /// Whether a session is of use.
    pub(crate) fn is_wanted(&self, now: Instant) -> bool {
        now < self.wanted_until || !self.outstanding.is_empty()
    }

    /// Forgets a task that has ended there; how long it took, if it was there.
    pub(crate) fn end_task(&mut self, now: Instant, task: &TaskRef) -> Option<u64> {
        self.outstanding.remove(task)?;
        let started_at = self.started_at.remove(task).unwrap_or(now);
        Some(now.millis_since(started_at))
    }

    /// Whether no end of a task there can tell of a free slot.
    pub(crate) fn is_unused(&self) -> bool {
        self.outstanding.is_empty()
    }

    /// What placement sees.
    pub(crate) fn view(&self, now: Instant) -> RunnerView {
        RunnerView {
            own: self.own,
            free_slots: self.likely_free(now),
            outstanding: u16::try_from(self.outstanding.len()).unwrap_or(u16::MAX),
            reported_at: self.heard_at,
        }
    }

    /// Notes the session's end and sets when to try anew.
    pub(crate) fn lose_session(&mut self, now: Instant) {
        let failed_to_open = self.state == LinkState::Opening;
        let pause_ms = if failed_to_open { REOPEN_PAUSE_MS } else { 0 };
        self.state = LinkState::Closed {
            retry_at: now.plus_ms(pause_ms),
        };
        if self.silent_since.is_none() {
            self.silent_since = Some(now);
        }
    }

    /// The next epoch to open, if a session is wanted and may be opened now.
    ///
    /// `last_epoch` counts the sessions of the whole home. Guards against a runner that refuses
    /// its home for good: a link that was given up and met anew goes on counting where the runner
    /// last saw it, so its sessions are newer than those that the runner remembers.
    pub(crate) fn next_epoch(&mut self, now: Instant, last_epoch: &mut u64) -> Option<u64> {
        match self.state {
            LinkState::Closed { retry_at } if now >= retry_at => {
                *last_epoch += 1;
                self.epoch = *last_epoch;
                self.starts_sent = 0;
                self.demanded = 0;
                self.free.held = 0;
                self.state = LinkState::Opening;
                Some(self.epoch)
            }
            LinkState::Closed { .. } | LinkState::Opening | LinkState::Open => None,
        }
    }
}

/// All runners that a home has met.
pub(crate) type RunnerLinks = BTreeMap<AgentId, RunnerLink>;
