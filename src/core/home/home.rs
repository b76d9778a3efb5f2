//! The state machine of a home.

use {
    super::{
        HomeAction, HomeEvent, WaiterId,
        admission::RejectReason,
        answer_store::AnswerStore,
        job_record::{JobRecord, JobState},
        runner_link::RunnerLinks,
        ticket_registry::{JobKey, TicketRegistry, TicketState},
    },
    crate::core::{
        admission::Admission,
        job::{JobSpec, JobStatus},
        message::Candidate,
        placement::Placement,
        run_times::RunTimes,
        ticket::{AgentId, GrantSecret, Ticket, TicketGrant},
        time::Instant,
        verdict::{MayHaveRunReason, NotRunReason, Verdict},
    },
    slotmap::SlotMap,
    std::{
        collections::{BTreeSet, VecDeque},
        sync::Arc,
    },
};

/// Retry delay for clients of a home that is shutting down, in milliseconds.
const LEAVING_RETRY_AFTER_MS: u64 = 50;

/// Limits of a home.
#[derive(Debug, Clone, Copy)]
pub(crate) struct HomeSettings {
    /// Lifetime of a granted ticket.
    pub(crate) ticket_ttl_ms: u64,
    /// Maximum size of the answers stored for resubmissions.
    pub(crate) answers_limit_bytes: usize,
    /// Time without a session after which a runner counts as lost.
    pub(crate) runner_lost_after_ms: u64,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Timer {
    Deadline(JobKey),
    Wait(JobKey, WaiterId),
}

/// Runs the jobs whose tickets name it.
#[derive(Debug)]
pub(crate) struct Home {
    pub(super) id: AgentId,
    pub(super) settings: HomeSettings,
    pub(super) tickets: TicketRegistry,
    pub(super) jobs: SlotMap<JobKey, JobRecord>,
    /// Number of running jobs; the other records only hold answers.
    pub(super) running: usize,
    /// Jobs that may have queued tasks, oldest first.
    pub(super) waiting: VecDeque<JobKey>,
    pub(super) answers: AnswerStore,
    pub(super) links: RunnerLinks,
    pub(super) timers: BTreeSet<(Instant, Timer)>,
    /// Epoch of the newest session to any runner.
    pub(super) last_epoch: u64,
    pub(super) last_tick_at: Option<Instant>,
    pub(super) placement: Box<dyn Placement>,
    pub(super) admission: Admission,
    pub(super) run_times: RunTimes,
    pub(super) leaving: bool,
    pub(super) actions: Vec<HomeAction>,
}

impl Home {
    /// A home without jobs.
    pub(crate) fn new(
        id: AgentId,
        secret: GrantSecret,
        settings: HomeSettings,
        placement: Box<dyn Placement>,
    ) -> Self {
        Self {
            id,
            tickets: TicketRegistry::new(id, secret, settings.ticket_ttl_ms),
            jobs: SlotMap::with_key(),
            running: 0,
            waiting: VecDeque::new(),
            answers: AnswerStore::new(settings.answers_limit_bytes),
            links: RunnerLinks::new(),
            timers: BTreeSet::new(),
            last_epoch: 0,
            last_tick_at: None,
            placement,
            admission: Admission::new(id.0),
            run_times: RunTimes::default(),
            leaving: false,
            actions: Vec::new(),
            settings,
        }
    }

    /// Grants a block of tickets for an announcement; none during shutdown.
    pub(crate) fn grant(&mut self, now: Instant, count: u32) -> Option<TicketGrant> {
        if self.leaving {
            return None;
        }
        Some(self.tickets.grant(now, count))
    }

    /// Number of running jobs.
    pub(crate) fn running_count(&self) -> usize {
        debug_assert_eq!(
            self.running,
            self.jobs
                .values()
                .filter(|record| matches!(record.state, JobState::Running(_)))
                .count()
        );
        self.running
    }

    /// Handles one event and returns the resulting actions.
    pub(crate) fn handle(&mut self, now: Instant, event: HomeEvent) -> Vec<HomeAction> {
        match event {
            HomeEvent::Submit {
                waiter,
                ticket,
                by_key,
                spec,
                impossible,
                candidates,
                wait_ms,
            } => {
                self.discover_runners(now, &candidates);
                if by_key {
                    self.release_ticket_if_not_run(&ticket, &spec);
                }
                let admission = self.decide_admission(now, &spec, impossible);
                self.on_submit(now, waiter, ticket, (spec, admission), &candidates, wait_ms);
            }
            HomeEvent::Poll {
                waiter,
                ticket,
                candidates,
                wait_ms,
            } => {
                self.discover_runners(now, &candidates);
                self.on_poll(now, waiter, ticket, &candidates, wait_ms);
            }
            HomeEvent::Cancel { waiter, ticket } => self.on_cancel(now, waiter, ticket),
            HomeEvent::Frame {
                runner,
                epoch,
                frame,
            } => self.on_frame(now, runner, epoch, frame),
            HomeEvent::SessionLost { runner, epoch } => self.on_session_lost(now, runner, epoch),
            HomeEvent::Shutdown => self.leaving = true,
            HomeEvent::Tick => self.on_tick(now),
        }
        self.open_sessions(now);
        self.place_tasks(now);
        std::mem::take(&mut self.actions)
    }

    fn on_submit(
        &mut self,
        now: Instant,
        waiter: WaiterId,
        ticket: Ticket,
        (spec, admission): (JobSpec, Result<(), RejectReason>),
        candidates: &[Candidate],
        wait_ms: u64,
    ) {
        match self.tickets.state(&ticket) {
            TicketState::Forged => self.refuse(waiter, NotRunReason::TicketForged, 0),
            TicketState::Foreign => self.reply_foreign(waiter),
            TicketState::Expired => self.reply_expired(waiter),
            TicketState::Used(key) => {
                let digest = spec.digest();
                if self.jobs.get(key).is_some_and(|job| job.differs(&digest)) {
                    self.refuse(waiter, NotRunReason::TicketReused, 0);
                    return;
                }
                self.attach(now, waiter, key, candidates, wait_ms);
            }
            TicketState::Unused if self.leaving => {
                self.refuse(waiter, NotRunReason::Leaving, LEAVING_RETRY_AFTER_MS);
            }
            TicketState::Unused => {
                let key = self.start_job(now, ticket, spec, candidates);
                if let Err(rejection) = admission {
                    self.reject_job(key, rejection);
                }
                self.attach(now, waiter, key, &[], wait_ms);
            }
        }
    }

    fn on_poll(
        &mut self,
        now: Instant,
        waiter: WaiterId,
        ticket: Ticket,
        candidates: &[Candidate],
        wait_ms: u64,
    ) {
        match self.tickets.state(&ticket) {
            TicketState::Forged => self.refuse(waiter, NotRunReason::TicketForged, 0),
            TicketState::Foreign => self.reply_foreign(waiter),
            TicketState::Expired => self.reply_expired(waiter),
            TicketState::Unused => self.reply(waiter, JobStatus::Unknown),
            TicketState::Used(key) => self.attach(now, waiter, key, candidates, wait_ms),
        }
    }

    fn on_cancel(&mut self, now: Instant, waiter: WaiterId, ticket: Ticket) {
        match self.tickets.state(&ticket) {
            TicketState::Forged => self.refuse(waiter, NotRunReason::TicketForged, 0),
            TicketState::Foreign => self.reply_foreign(waiter),
            TicketState::Expired => self.reply_expired(waiter),
            TicketState::Unused => {
                let key = self.cancel_unused(ticket);
                self.attach(now, waiter, key, &[], 0);
            }
            TicketState::Used(key) => {
                self.fail_job(key, NotRunReason::Cancelled, MayHaveRunReason::Cancelled, 0);
                self.attach(now, waiter, key, &[], 0);
            }
        }
    }

    /// Marks a ticket as used without a job.
    ///
    /// The cancellation was answered "not run", so a submission that arrives after it must not
    /// start.
    fn cancel_unused(&mut self, ticket: Ticket) -> JobKey {
        let key = self.jobs.insert(JobRecord {
            ticket: ticket.id,
            digest: [0; 32],
            state: JobState::Cancelled,
        });
        self.tickets.record(&ticket.id, key);
        key
    }

    /// Registers a waiter for a job, or replies at once if the job has ended.
    fn attach(
        &mut self,
        now: Instant,
        waiter: WaiterId,
        key: JobKey,
        candidates: &[Candidate],
        wait_ms: u64,
    ) {
        let Some(record) = self.jobs.get_mut(key) else {
            self.reply_expired(waiter);
            return;
        };
        let status = match &mut record.state {
            JobState::Ended(answer) => JobStatus::Ended(Arc::clone(answer)),
            JobState::Dropped => {
                JobStatus::Refused(Verdict::may_have_run(MayHaveRunReason::AnswerDropped))
            }
            JobState::Cancelled => JobStatus::Refused(Verdict::refused(NotRunReason::Cancelled)),
            JobState::Running(job) => {
                for candidate in candidates {
                    if !job.candidates.contains(&candidate.runner) {
                        job.candidates.push(candidate.runner);
                    }
                }
                if wait_ms > 0 {
                    job.waiters.push(waiter);
                    let until = now.plus_ms(wait_ms);
                    self.timers.insert((until, Timer::Wait(key, waiter)));
                    return;
                }
                job.progress()
            }
        };
        self.reply(waiter, status);
    }

    fn refuse(&mut self, waiter: WaiterId, reason: NotRunReason, retry_after_ms: u64) {
        let verdict = Verdict::NotRun {
            reason,
            retry_after_ms,
        };
        self.reply(waiter, JobStatus::Refused(verdict));
    }

    fn reply_expired(&mut self, waiter: WaiterId) {
        let verdict = Verdict::may_have_run(MayHaveRunReason::TicketExpired);
        self.reply(waiter, JobStatus::Refused(verdict));
    }

    /// Replies to a request for a ticket of another home.
    ///
    /// This process may have replaced that home at the same address and doesn't know what ran
    /// there, so "not run" could be false.
    fn reply_foreign(&mut self, waiter: WaiterId) {
        let verdict = Verdict::may_have_run(MayHaveRunReason::HomeLost);
        self.reply(waiter, JobStatus::Refused(verdict));
    }

    pub(super) fn reply(&mut self, waiter: WaiterId, status: JobStatus) {
        self.actions.push(HomeAction::Reply { waiter, status });
    }

    /// Identity of this home, as named in its tickets.
    pub(crate) const fn id(&self) -> AgentId {
        self.id
    }
}
