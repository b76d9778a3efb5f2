//! The home machine.

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

/// When to come back to another home, in milliseconds.
const LEAVING_RETRY_AFTER_MS: u64 = 50;

/// Limits of a home.
#[derive(Debug, Clone, Copy)]
pub(crate) struct HomeSettings {
    /// For how long a granted ticket is good.
    pub(crate) ticket_ttl_ms: u64,
    /// Most bytes of answers kept for resubmissions.
    pub(crate) answers_limit_bytes: usize,
    /// Silence of a runner after which its tasks are given up.
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
    /// How many of the jobs run; most are kept only for their answers.
    pub(super) running: usize,
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

    /// Grants tickets to the entry that the next announcement goes to.
    pub(crate) fn grant(&mut self, now: Instant, count: u32) -> Option<TicketGrant> {
        if self.leaving {
            return None;
        }
        Some(self.tickets.grant(now, count))
    }

    /// Jobs that have not ended.
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

    /// Takes in one event and says what to do about it.
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

    /// Uses a ticket up without a job.
    ///
    /// Guards against a submission that arrives after its cancellation, because it waited in a
    /// socket or went through another entry: the canceller was told "not run", and so is it.
    fn cancel_unused(&mut self, ticket: Ticket) -> JobKey {
        let key = self.jobs.insert(JobRecord {
            ticket: ticket.id,
            digest: [0; 32],
            state: JobState::Cancelled,
        });
        self.tickets.record(&ticket.id, key);
        key
    }

    /// Lets someone wait for a job, or answers at once if it has ended.
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

    /// Guards against a false "not run": a process that took the place of a ticket's home, at the
    /// same address, knows nothing of what ran there.
    fn reply_foreign(&mut self, waiter: WaiterId) {
        let verdict = Verdict::may_have_run(MayHaveRunReason::HomeLost);
        self.reply(waiter, JobStatus::Refused(verdict));
    }

    pub(super) fn reply(&mut self, waiter: WaiterId, status: JobStatus) {
        self.actions.push(HomeAction::Reply { waiter, status });
    }

    /// This home's process.
    pub(crate) const fn id(&self) -> AgentId {
        self.id
    }
}
