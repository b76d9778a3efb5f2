//! State of one job in the home.

use {
    super::WaiterId,
    crate::core::{
        job::{JobAnswer, JobSpec, JobStatus, TaskOutcome, TaskRef},
        message::StartFrame,
        ticket::{AgentId, TicketId},
        time::Instant,
        verdict::{MayHaveRunReason, NotRunReason},
    },
    serde::{Deserialize, Serialize},
    std::{collections::VecDeque, sync::Arc},
};

/// State of a task.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum TaskState {
    /// Waits for a runner.
    Queued,
    /// Sent to a runner.
    Started { runner: AgentId },
    /// Has its final outcome.
    Ended(TaskOutcome),
}

/// State of a job.
#[derive(Debug)]
pub(crate) enum JobState {
    Running(Box<RunningJob>),
    /// Its answer is stored.
    Ended(Arc<JobAnswer>),
    /// It ended, and its answer was evicted.
    Dropped,
    /// Its ticket was cancelled before a submission arrived.
    Cancelled,
}

/// State that is needed only while a job runs.
#[derive(Debug)]
pub(crate) struct RunningJob {
    pub(crate) spec: JobSpec,
    pub(crate) submitted_at: Instant,
    pub(crate) deadline: Instant,
    pub(crate) candidates: Vec<AgentId>,
    pub(crate) tasks: Vec<TaskState>,
    pub(crate) queued: VecDeque<u16>,
    pub(crate) attempts: Vec<u8>,
    /// Why an earlier attempt of a repeatable task may have run, if one may.
    pub(super) earlier: Vec<Option<MayHaveRunReason>>,
    pub(crate) ended: u16,
    /// Time of the first refusal of one of its tasks.
    pub(crate) refused_since: Option<Instant>,
    pub(crate) waiters: Vec<WaiterId>,
}

/// A job under its ticket.
#[derive(Debug)]
pub(crate) struct JobRecord {
    pub(crate) ticket: TicketId,
    pub(crate) digest: [u8; 32],
    pub(crate) state: JobState,
}

impl JobRecord {
    /// Whether a submission with this digest is another job than the recorded one.
    pub(crate) fn differs(&self, digest: &[u8; 32]) -> bool {
        !matches!(self.state, JobState::Cancelled) && self.digest != *digest
    }
}

impl RunningJob {
    /// A job with all tasks queued.
    pub(crate) fn new(now: Instant, spec: JobSpec, candidates: Vec<AgentId>) -> Self {
        let count = u16::try_from(spec.tasks.len()).unwrap_or(u16::MAX);
        Self {
            submitted_at: now,
            deadline: now.plus_ms(spec.deadline_ms),
            candidates,
            tasks: vec![TaskState::Queued; usize::from(count)],
            queued: (0..count).collect(),
            attempts: vec![0; usize::from(count)],
            earlier: vec![None; usize::from(count)],
            ended: 0,
            refused_since: None,
            waiters: Vec::new(),
            spec,
        }
    }

    /// Restores the state of the tasks after a hand-over.
    pub(super) fn restore_tasks(&mut self, tasks: Vec<TaskState>) {
        self.queued = tasks
            .iter()
            .zip(0u16..)
            .filter(|(state, _)| matches!(state, TaskState::Queued))
            .map(|(_, index)| index)
            .collect();
        let not_queued = tasks.len() - self.queued.len();
        let started = tasks
            .iter()
            .filter(|state| matches!(state, TaskState::Started { .. }))
            .count();
        self.ended = u16::try_from(not_queued - started).unwrap_or(u16::MAX);
        self.tasks = tasks;
    }

    /// Whether the first refusal is at least this long ago.
    pub(crate) fn refused_for(&self, now: Instant, ms: u64) -> bool {
        self.refused_since
            .is_some_and(|since| now.millis_since(since) >= ms)
    }

    /// Number of ended tasks out of all.
    pub(crate) fn progress(&self) -> JobStatus {
        JobStatus::Running {
            ended: self.ended,
            total: u16::try_from(self.tasks.len()).unwrap_or(u16::MAX),
        }
    }

    /// The frame that starts one of its tasks.
    pub(crate) fn start_frame(&self, now: Instant, task: TaskRef) -> Option<StartFrame> {
        let spec = self.spec.tasks.get(usize::from(task.index))?;
        Some(StartFrame {
            task,
            service: self.spec.service.clone(),
            input: spec.input.clone(),
            deadline_ms: self.deadline.millis_since(now),
            memory_mb: spec.memory_mb,
            accelerators: spec.accelerators,
        })
    }

    /// Records the final outcome of a task; false if it already had one.
    pub(crate) fn end_task(&mut self, index: u16, outcome: TaskOutcome) -> bool {
        let outcome = self.with_earlier_attempts(usize::from(index), outcome);
        let Some(state) = self.tasks.get_mut(usize::from(index)) else {
            return false;
        };
        if matches!(state, TaskState::Ended(_)) {
            return false;
        }
        *state = TaskState::Ended(outcome);
        self.ended += 1;
        true
    }

    /// Puts a task back at the front of the queue; `outcome` is that of the last attempt.
    pub(crate) fn requeue(&mut self, index: u16, outcome: &TaskOutcome) {
        if let TaskOutcome::MayHaveRun { reason } = outcome
            && let Some(earlier) = self.earlier.get_mut(usize::from(index))
        {
            *earlier = Some(*reason);
        }
        if let Some(state) = self.tasks.get_mut(usize::from(index)) {
            *state = TaskState::Queued;
            self.queued.push_front(index);
        }
    }

    /// The outcome of a task with its earlier attempts taken into account.
    ///
    /// If the last attempt of a repeatable task did not run but an earlier one may have, the task
    /// may have run.
    fn with_earlier_attempts(&self, index: usize, outcome: TaskOutcome) -> TaskOutcome {
        match (outcome, self.earlier.get(index).copied().flatten()) {
            (TaskOutcome::NotRun { .. }, Some(reason)) => TaskOutcome::MayHaveRun { reason },
            (outcome, _) => outcome,
        }
    }

    pub(crate) fn is_complete(&self) -> bool {
        usize::from(self.ended) == self.tasks.len()
    }

    /// Tasks that were sent to a runner and have no outcome yet.
    pub(crate) fn started(&self) -> Vec<(u16, AgentId)> {
        self.tasks
            .iter()
            .zip(0u16..)
            .filter_map(|(state, index)| match state {
                TaskState::Started { runner } => Some((index, *runner)),
                TaskState::Queued | TaskState::Ended(_) => None,
            })
            .collect()
    }

    /// The outcome of each task if the job ends now.
    pub(crate) fn outcomes(
        &self,
        not_run: NotRunReason,
        may_have_run: MayHaveRunReason,
    ) -> Vec<TaskOutcome> {
        self.tasks
            .iter()
            .enumerate()
            .map(|(index, state)| match state {
                TaskState::Queued => {
                    self.with_earlier_attempts(index, TaskOutcome::NotRun { reason: not_run })
                }
                TaskState::Started { .. } => TaskOutcome::MayHaveRun {
                    reason: may_have_run,
                },
                TaskState::Ended(outcome) => outcome.clone(),
            })
            .collect()
    }
}
