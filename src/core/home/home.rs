//! The home machine.

use {
    super::{
        HomeAction, HomeEvent, WaiterId,
        answer_store::AnswerStore,
        job_record::{JobRecord, JobState, RunningJob, TaskState},
        runner_link::{LinkState, RunnerLink, RunnerLinks},
        ticket_ring::{JobKey, TicketRing, TicketState},
    },
    crate::core::{
        job::{JobAnswer, JobSpec, JobStatus, TaskOutcome, TaskRef},
        message::{Candidate, HomeFrame, RunnerFrame, TaskStatus},
        placement::Placement,
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

/// Starts of one task, after which a home gives it up.
const MAX_ATTEMPTS: u8 = 8;
/// When to come back after a deadline passed, in milliseconds.
const DEADLINE_RETRY_AFTER_MS: u64 = 1_000;
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
enum Timer {
    Deadline(JobKey),
    Wait(JobKey, WaiterId),
}

/// Runs the jobs whose tickets name it.
#[derive(Debug)]
pub(crate) struct Home {
    id: AgentId,
    settings: HomeSettings,
    ring: TicketRing,
    jobs: SlotMap<JobKey, JobRecord>,
    waiting: VecDeque<JobKey>,
    answers: AnswerStore,
    links: RunnerLinks,
    timers: BTreeSet<(Instant, Timer)>,
    placement: Box<dyn Placement>,
    leaving: bool,
    actions: Vec<HomeAction>,
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
            ring: TicketRing::new(id, secret, settings.ticket_ttl_ms),
            jobs: SlotMap::with_key(),
            waiting: VecDeque::new(),
            answers: AnswerStore::new(settings.answers_limit_bytes),
            links: RunnerLinks::new(),
            timers: BTreeSet::new(),
            placement,
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
        Some(self.ring.grant(now, count))
    }

    /// Jobs that have not ended.
    pub(crate) fn running_count(&self) -> usize {
        self.jobs
            .values()
            .filter(|record| matches!(record.state, JobState::Running(_)))
            .count()
    }

    /// Takes in one event and says what to do about it.
    pub(crate) fn handle(&mut self, now: Instant, event: HomeEvent) -> Vec<HomeAction> {
        match event {
            HomeEvent::Submit {
                waiter,
                ticket,
                spec,
                candidates,
                wait_ms,
            } => {
                self.meet(now, &candidates);
                self.on_submit(now, waiter, ticket, spec, &candidates, wait_ms);
            }
            HomeEvent::Poll {
                waiter,
                ticket,
                candidates,
                wait_ms,
            } => {
                self.meet(now, &candidates);
                self.on_poll(now, waiter, ticket, &candidates, wait_ms);
            }
            HomeEvent::Cancel { waiter, ticket } => self.on_cancel(now, waiter, ticket),
            HomeEvent::Frame {
                runner,
                epoch,
                frame,
            } => self.on_frame(now, runner, epoch, frame),
            HomeEvent::SessionLost { runner, epoch } => self.on_session_lost(now, runner, epoch),
            HomeEvent::Leave => self.leaving = true,
            HomeEvent::Tick => self.on_tick(now),
        }
        self.open_sessions(now);
        self.dispatch(now);
        std::mem::take(&mut self.actions)
    }

    fn meet(&mut self, now: Instant, candidates: &[Candidate]) {
        for candidate in candidates {
            let link = self
                .links
                .entry(candidate.runner)
                .or_insert_with(|| RunnerLink::new(now, candidate));
            link.peer_addr = candidate.peer_addr;
        }
    }

    fn on_submit(
        &mut self,
        now: Instant,
        waiter: WaiterId,
        ticket: Ticket,
        spec: JobSpec,
        candidates: &[Candidate],
        wait_ms: u64,
    ) {
        match self.ring.state(&ticket) {
            TicketState::Forged => self.refuse(waiter, NotRunReason::TicketForged, 0),
            TicketState::Expired => self.reply_expired(waiter),
            TicketState::Used(key) => {
                let digest = spec.digest();
                if self.jobs.get(key).is_some_and(|job| job.digest != digest) {
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
        match self.ring.state(&ticket) {
            TicketState::Forged => self.refuse(waiter, NotRunReason::TicketForged, 0),
            TicketState::Expired => self.reply_expired(waiter),
            TicketState::Unused => self.reply(waiter, JobStatus::Unknown),
            TicketState::Used(key) => self.attach(now, waiter, key, candidates, wait_ms),
        }
    }

    fn on_cancel(&mut self, now: Instant, waiter: WaiterId, ticket: Ticket) {
        match self.ring.state(&ticket) {
            TicketState::Forged => self.refuse(waiter, NotRunReason::TicketForged, 0),
            TicketState::Expired => self.reply_expired(waiter),
            TicketState::Unused => self.reply(waiter, JobStatus::Unknown),
            TicketState::Used(key) => {
                self.fail_job(key, NotRunReason::Cancelled, MayHaveRunReason::Cancelled, 0);
                self.attach(now, waiter, key, &[], 0);
            }
        }
    }

    fn start_job(
        &mut self,
        now: Instant,
        ticket: Ticket,
        spec: JobSpec,
        candidates: &[Candidate],
    ) -> JobKey {
        let digest = spec.digest();
        let runners = candidates.iter().map(|c| c.runner).collect();
        let job = RunningJob::new(now, spec, runners);
        let deadline = job.deadline;
        let key = self.jobs.insert(JobRecord {
            ticket: ticket.id,
            digest,
            state: JobState::Running(job),
        });
        self.ring.record(&ticket, key);
        self.timers.insert((deadline, Timer::Deadline(key)));
        self.waiting.push_back(key);
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

    fn on_frame(&mut self, now: Instant, runner: AgentId, epoch: u64, frame: RunnerFrame) {
        let Some(link) = self.links.get_mut(&runner) else {
            return;
        };
        if link.epoch != epoch {
            return;
        }
        match frame {
            RunnerFrame::Welcome {
                runner: actual,
                free_slots,
            } => self.on_welcome(now, runner, actual, free_slots),
            RunnerFrame::Outcome {
                task,
                outcome,
                free_slots,
            } => {
                link.report_free(now, free_slots);
                self.on_outcome(now, runner, task, outcome);
            }
            RunnerFrame::Statuses { tasks } => {
                for (task, status) in tasks {
                    self.on_status(now, runner, task, status);
                }
            }
        }
    }

    fn on_welcome(&mut self, now: Instant, runner: AgentId, actual: AgentId, free_slots: u16) {
        if runner != actual {
            self.lose_runner(now, runner);
            return;
        }
        let Some(link) = self.links.get_mut(&runner) else {
            return;
        };
        link.state = LinkState::Open;
        link.silent_since = None;
        link.report_free(now, free_slots);
        if link.outstanding.is_empty() {
            return;
        }
        let tasks = link.outstanding.iter().map(|(t, e)| (*t, *e)).collect();
        self.actions.push(HomeAction::Send {
            runner,
            epoch: link.epoch,
            frame: HomeFrame::Query { tasks },
        });
    }

    fn on_status(&mut self, now: Instant, runner: AgentId, task: TaskRef, status: TaskStatus) {
        let outcome = match status {
            TaskStatus::Running => return,
            TaskStatus::Ended(outcome) => outcome,
            TaskStatus::NeverStarted => TaskOutcome::NotRun {
                reason: NotRunReason::Fenced,
            },
            TaskStatus::Forgotten => TaskOutcome::MayHaveRun {
                reason: MayHaveRunReason::RunnerLost,
            },
        };
        self.on_outcome(now, runner, task, outcome);
    }

    fn on_outcome(&mut self, now: Instant, runner: AgentId, task: TaskRef, outcome: TaskOutcome) {
        let Some(link) = self.links.get_mut(&runner) else {
            return;
        };
        if link.outstanding.remove(&task).is_none() {
            return;
        }
        if let TaskOutcome::NotRun { reason } = &outcome {
            if *reason != NotRunReason::SlotsFull {
                link.pause(now);
            }
        } else {
            self.actions.push(HomeAction::Send {
                runner,
                epoch: link.epoch,
                frame: HomeFrame::Ack { tasks: vec![task] },
            });
        }
        let TicketState::Used(key) = self.ring.state_of(&task.ticket) else {
            return;
        };
        self.settle_task(key, task.index, outcome);
    }

    /// Takes in the end of one start of a task: retries it, ends it, or fails the job.
    fn settle_task(&mut self, key: JobKey, index: u16, outcome: TaskOutcome) {
        let Some(JobRecord {
            state: JobState::Running(job),
            ..
        }) = self.jobs.get_mut(key)
        else {
            return;
        };
        let attempts = job.attempts[usize::from(index)];
        let retry = match &outcome {
            TaskOutcome::NotRun {
                reason: NotRunReason::SlotsFull,
            } => Some(NotRunReason::SlotsFull.as_str()),
            TaskOutcome::NotRun { reason } if attempts < MAX_ATTEMPTS => Some(reason.as_str()),
            TaskOutcome::MayHaveRun { reason }
                if job.spec.repeatable && attempts < MAX_ATTEMPTS =>
            {
                Some(reason.as_str())
            }
            _ => None,
        };
        if let Some(reason) = retry {
            let was_queued = !job.queued.is_empty();
            job.requeue(index);
            if !was_queued {
                self.waiting.push_front(key);
            }
            self.actions.push(HomeAction::CountRetry(reason));
            return;
        }
        let failed = !matches!(outcome, TaskOutcome::Done { .. });
        if !job.end_task(index, outcome) {
            return;
        }
        if failed {
            self.fail_job(key, NotRunReason::JobFailed, MayHaveRunReason::JobFailed, 0);
        } else if job.is_complete() {
            self.end_job(key, Verdict::Done);
        }
    }

    /// Ends a job before all its tasks are done, with the truth for each task.
    fn fail_job(
        &mut self,
        key: JobKey,
        not_run: NotRunReason,
        may_have_run: MayHaveRunReason,
        retry_after_ms: u64,
    ) {
        let Some(JobRecord {
            ticket,
            state: JobState::Running(job),
            ..
        }) = self.jobs.get_mut(key)
        else {
            return;
        };
        for (index, runner) in job.started() {
            if let Some(link) = self.links.get(&runner) {
                let task = TaskRef {
                    ticket: *ticket,
                    index,
                };
                self.actions.push(HomeAction::Send {
                    runner,
                    epoch: link.epoch,
                    frame: HomeFrame::Cancel { task },
                });
            }
        }
        let outcomes = job.outcomes(not_run, may_have_run);
        let verdict = verdict_of(&outcomes, not_run, may_have_run, retry_after_ms);
        job.tasks = outcomes.into_iter().map(TaskState::Ended).collect();
        self.end_job(key, verdict);
    }

    fn end_job(&mut self, key: JobKey, verdict: Verdict) {
        let Some(record) = self.jobs.get_mut(key) else {
            return;
        };
        let JobState::Running(job) = &mut record.state else {
            return;
        };
        let outcomes = std::mem::take(&mut job.tasks)
            .into_iter()
            .filter_map(|state| match state {
                TaskState::Ended(outcome) => Some(outcome),
                TaskState::Queued | TaskState::Started { .. } => None,
            })
            .collect();
        let waiters = std::mem::take(&mut job.waiters);
        self.timers.remove(&(job.deadline, Timer::Deadline(key)));
        let answer = Arc::new(JobAnswer::new(record.ticket, verdict, outcomes));
        record.state = JobState::Ended(Arc::clone(&answer));
        for waiter in waiters {
            self.reply(waiter, JobStatus::Ended(Arc::clone(&answer)));
        }
        self.actions.push(HomeAction::CountEnd(match verdict {
            Verdict::Done => "done",
            Verdict::NotRun { .. } | Verdict::MayHaveRun { .. } => verdict.reason(),
        }));
        for old in self.answers.keep(key, &answer) {
            if let Some(record) = self.jobs.get_mut(old)
                && matches!(record.state, JobState::Ended(_))
            {
                record.state = JobState::Dropped;
            }
        }
    }

    fn on_session_lost(&mut self, now: Instant, runner: AgentId, epoch: u64) {
        if let Some(link) = self.links.get_mut(&runner)
            && link.epoch == epoch
        {
            link.lose_session(now);
        }
    }

    /// Gives up all tasks of a runner whose process is gone.
    fn lose_runner(&mut self, now: Instant, runner: AgentId) {
        let Some(link) = self.links.remove(&runner) else {
            return;
        };
        for task in link.outstanding.into_keys() {
            if let TicketState::Used(key) = self.ring.state_of(&task.ticket) {
                let outcome = TaskOutcome::MayHaveRun {
                    reason: MayHaveRunReason::RunnerLost,
                };
                self.settle_task(key, task.index, outcome);
            }
        }
        self.dispatch(now);
    }

    fn on_tick(&mut self, now: Instant) {
        while let Some((due, timer)) = self.timers.first().copied() {
            if due > now {
                break;
            }
            self.timers.pop_first();
            match timer {
                Timer::Deadline(key) => self.fail_job(
                    key,
                    NotRunReason::DeadlinePassed,
                    MayHaveRunReason::DeadlinePassed,
                    DEADLINE_RETRY_AFTER_MS,
                ),
                Timer::Wait(key, waiter) => self.end_wait(key, waiter),
            }
        }
        let lost_after_ms = self.settings.runner_lost_after_ms;
        let lost: Vec<AgentId> = self
            .links
            .iter()
            .filter(|(_, link)| {
                link.silent_since
                    .is_some_and(|since| now.millis_since(since) >= lost_after_ms)
            })
            .map(|(runner, _)| *runner)
            .collect();
        for runner in lost {
            self.lose_runner(now, runner);
        }
        for key in self.ring.drop_expired(now) {
            self.jobs.remove(key);
        }
    }

    fn end_wait(&mut self, key: JobKey, waiter: WaiterId) {
        if let Some(JobRecord {
            state: JobState::Running(job),
            ..
        }) = self.jobs.get_mut(key)
            && let Some(position) = job.waiters.iter().position(|w| *w == waiter)
        {
            job.waiters.swap_remove(position);
            let status = job.progress();
            self.reply(waiter, status);
        }
    }

    /// Opens sessions to runners that waiting jobs could use or that hold tasks.
    fn open_sessions(&mut self, now: Instant) {
        let mut wanted: BTreeSet<AgentId> = BTreeSet::new();
        for key in &self.waiting {
            if let Some(JobState::Running(job)) = self.jobs.get(*key).map(|record| &record.state) {
                wanted.extend(&job.candidates);
            }
        }
        for (runner, link) in &mut self.links {
            if !wanted.contains(runner) && link.outstanding.is_empty() {
                continue;
            }
            if let Some(epoch) = link.next_epoch(now) {
                self.actions.push(HomeAction::OpenSession {
                    runner: *runner,
                    peer_addr: link.peer_addr,
                    epoch,
                });
            }
        }
    }

    /// Starts queued tasks, oldest job first, while placement finds runners for them.
    fn dispatch(&mut self, now: Instant) {
        let mut still_waiting = VecDeque::new();
        while let Some(key) = self.waiting.pop_front() {
            if self.dispatch_job(now, key) {
                still_waiting.push_back(key);
            }
        }
        self.waiting = still_waiting;
    }

    /// Starts what it can of one job; true if tasks are left in its queue.
    fn dispatch_job(&mut self, now: Instant, key: JobKey) -> bool {
        let Some(JobRecord {
            ticket,
            state: JobState::Running(job),
            ..
        }) = self.jobs.get_mut(key)
        else {
            return false;
        };
        while let Some(&index) = job.queued.front() {
            let usable: Vec<AgentId> = job
                .candidates
                .iter()
                .filter(|runner| {
                    self.links
                        .get(runner)
                        .is_some_and(|link| link.is_usable(now))
                })
                .copied()
                .collect();
            let views: Vec<_> = usable
                .iter()
                .filter_map(|runner| self.links.get(runner).map(RunnerLink::view))
                .collect();
            let Some(position) = self.placement.choose(now, &views) else {
                return true;
            };
            let runner = usable[position];
            let task = TaskRef {
                ticket: *ticket,
                index,
            };
            let (Some(frame), Some(link)) =
                (job.start_frame(now, task), self.links.get_mut(&runner))
            else {
                return true;
            };
            job.queued.pop_front();
            job.tasks[usize::from(index)] = TaskState::Started { runner };
            job.attempts[usize::from(index)] += 1;
            link.note_start(task);
            self.actions.push(HomeAction::Send {
                runner,
                epoch: link.epoch,
                frame: HomeFrame::Start(frame),
            });
        }
        false
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

    fn reply(&mut self, waiter: WaiterId, status: JobStatus) {
        self.actions.push(HomeAction::Reply { waiter, status });
    }

    /// This home's process.
    pub(crate) const fn id(&self) -> AgentId {
        self.id
    }
}

/// A job none of whose tasks may have run is itself "not run".
fn verdict_of(
    outcomes: &[TaskOutcome],
    not_run: NotRunReason,
    may_have_run: MayHaveRunReason,
    retry_after_ms: u64,
) -> Verdict {
    let first_fault = outcomes.iter().find_map(|outcome| match outcome {
        TaskOutcome::Failed { .. } => Some(MayHaveRunReason::TaskFailed),
        TaskOutcome::MayHaveRun { reason } if *reason != may_have_run => Some(*reason),
        _ => None,
    });
    let none_ran = outcomes
        .iter()
        .all(|outcome| matches!(outcome, TaskOutcome::NotRun { .. }));
    if none_ran {
        let cause = outcomes.iter().find_map(|outcome| match outcome {
            TaskOutcome::NotRun { reason } if *reason != not_run => Some(*reason),
            _ => None,
        });
        return Verdict::NotRun {
            reason: cause.unwrap_or(not_run),
            retry_after_ms,
        };
    }
    Verdict::MayHaveRun {
        reason: first_fault.unwrap_or(may_have_run),
        retry_after_ms,
    }
}
