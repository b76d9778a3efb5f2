//! What a home knows of one runner.

use {
    crate::core::{
        job::TaskRef, message::Candidate, placement::RunnerView, ticket::AgentId, time::Instant,
    },
    std::{collections::BTreeMap, net::SocketAddr},
};

/// Pause before a lost session is opened anew, in milliseconds.
const REOPEN_PAUSE_MS: u64 = 100;
/// Pause after a refusal that isn't about slots, in milliseconds.
const REFUSAL_PAUSE_MS: u64 = 250;

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
    pub(crate) state: LinkState,
    /// Epoch of the newest session, zero before the first.
    pub(crate) epoch: u64,
    /// Since when no session has been open, while tasks are outstanding.
    pub(crate) silent_since: Option<Instant>,
    /// Tasks there, with the epoch that they were started on.
    pub(crate) outstanding: BTreeMap<TaskRef, u64>,
    free_slots: u16,
    heard_at: Instant,
    paused_until: Instant,
}

impl RunnerLink {
    /// A runner named by an entry.
    pub(crate) fn new(now: Instant, candidate: &Candidate) -> Self {
        Self {
            peer_addr: candidate.peer_addr,
            state: LinkState::Closed { retry_at: now },
            epoch: 0,
            silent_since: None,
            outstanding: BTreeMap::new(),
            free_slots: candidate.free_slots,
            heard_at: now,
            paused_until: Instant::default(),
        }
    }

    /// Takes in how many slots the runner has free.
    pub(crate) fn report_free(&mut self, now: Instant, free_slots: u16) {
        self.free_slots = free_slots;
        self.heard_at = now;
    }

    /// Leaves the runner alone for a while.
    pub(crate) fn pause(&mut self, now: Instant) {
        self.paused_until = now.plus_ms(REFUSAL_PAUSE_MS);
    }

    /// Notes that a task was sent there.
    pub(crate) fn note_start(&mut self, task: TaskRef) {
        self.outstanding.insert(task, self.epoch);
        self.free_slots = self.free_slots.saturating_sub(1);
    }

    /// Whether tasks can be sent there now.
    pub(crate) fn is_usable(&self, now: Instant) -> bool {
        self.state == LinkState::Open && now >= self.paused_until
    }

    /// What placement sees.
    pub(crate) fn view(&self) -> RunnerView {
        RunnerView {
            free_slots: self.free_slots,
            outstanding: u16::try_from(self.outstanding.len()).unwrap_or(u16::MAX),
            heard_at: self.heard_at,
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
                self.state = LinkState::Opening;
                Some(self.epoch)
            }
            LinkState::Closed { .. } | LinkState::Opening | LinkState::Open => None,
        }
    }
}

/// All runners that a home has met.
pub(crate) type RunnerLinks = BTreeMap<AgentId, RunnerLink>;
