//! One job at its entry.

use {
    super::{Submission, WaiterId, worker_link::WorkerKey},
    crate::core::{
        queue_shares::{ShareClass, ShareGrant},
        routes::Route,
        time::Instant,
        work::{JobId, JobRequest, RunId, StepSpec, TaskId},
    },
    slotmap::new_key_type,
    std::sync::Arc,
};

new_key_type! {
    /// Key of a job in the dispatcher's slot map.
    pub(crate) struct JobKey;
}

/// A late outcome is still worth computing up to this many times the objective.
const LATE_LIMIT_OBJECTIVES: u64 = 3;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum TaskState {
    /// Waits for earlier steps.
    Blocked,
    /// Waits for a worker.
    Waiting,
    /// A start order was sent, and the run may still be executing.
    Started,
    Done,
}

#[derive(Debug, Clone, Copy)]
pub(super) struct Task {
    /// Index of its step in the request.
    pub(super) step: u16,
    /// Index of the task within the step.
    pub(super) index: u16,
    pub(super) state: TaskState,
    /// Number of its latest run.
    pub(super) last_run: u32,
    /// Number of failed runs.
    pub(super) failed_runs: u32,
    /// Number of runs that were lost with their worker or its agent.
    pub(super) lost_runs: u32,
    /// Worker to avoid, since the latest run failed, was stopped or lost, or was rejected there.
    pub(super) avoid: Option<WorkerKey>,
    /// Earliest time of the next start.
    pub(super) not_before: Instant,
    /// The agent that has another entry's run of the task, and when it last said so.
    pub(super) busy_at: Option<(WorkerKey, Instant)>,
}

/// A job from its acceptance until its last run has ended.
#[derive(Debug)]
pub(super) struct Job {
    pub(super) id: JobId,
    pub(super) route: Arc<Route>,
    pub(super) request: JobRequest,
    pub(super) received_at: Instant,
    /// Estimated time that the client had already waited at submission, since an earlier attempt
    /// may have been lost.
    pub(super) waited_ms: u64,
    /// When the client stops waiting.
    pub(super) deadline: Instant,
    /// Time from the client's first attempt within which an outcome counts as in time.
    pub(super) objective_ms: u64,
    /// Clients that wait for the outcome; empty once it is sent.
    pub(super) waiters: Vec<WaiterId>,
    pub(super) tasks: Vec<Task>,
    /// Tasks that are not done.
    pub(super) remaining_tasks: usize,
    /// Runs that may still be executing.
    pub(super) open_runs: usize,
    /// Whether a finished run may have executed.
    pub(super) may_have_run: bool,
    /// The outcome is sent, or no client waits for it.
    pub(super) closed: bool,
    /// A task was started where it is expected to miss the objective.
    pub(super) is_expected_late: bool,
    pub(super) starts: u32,
    pub(super) last_start: Instant,
    /// Whether it is within the share of its queue.
    pub(super) share: ShareGrant,
}

impl Job {
    /// Creates a job that numbers its runs from `first_run`.
    pub(super) fn new(
        now: Instant,
        submission: Submission,
        first_run: u32,
        waited_ms: u64,
    ) -> Self {
        let Submission {
            waiter,
            id,
            request,
            route,
            time_left_ms,
        } = submission;
        let objective_ms = objective_ms(&route, &request);
        let tasks = tasks(&request, now, first_run.saturating_sub(1));
        Self {
            id,
            route,
            received_at: now,
            waited_ms,
            deadline: now.plus_ms(time_left_ms),
            objective_ms,
            waiters: vec![waiter],
            remaining_tasks: tasks.len(),
            tasks,
            request,
            open_runs: 0,
            may_have_run: false,
            closed: false,
            is_expected_late: false,
            starts: 0,
            last_start: now,
            share: ShareGrant::default(),
        }
    }

    pub(super) fn step(&self, task: usize) -> Option<&StepSpec> {
        let step = self.tasks.get(task)?.step;
        self.request.steps.get(usize::from(step))
    }

    /// Identifier of the task's latest run.
    pub(super) fn run_id(&self, task: &Task) -> RunId {
        RunId {
            task: TaskId {
                job: self.id,
                step: task.step,
                index: task.index,
            },
            number: task.last_run,
        }
    }

    /// Latest start of a task that meets the objective; `None` if it had passed at submission.
    pub(super) fn latest_start(&self, estimate_ms: u64) -> Option<Instant> {
        self.start_within(self.objective_ms, estimate_ms)
    }

    /// Latest start of a task whose late outcome is still worth computing; `None` if it had passed
    /// at submission.
    pub(super) fn last_useful_start(&self, estimate_ms: u64) -> Option<Instant> {
        let late_start =
            self.start_within(self.objective_ms * LATE_LIMIT_OBJECTIVES, estimate_ms)?;
        Some(late_start.min(self.last_start(estimate_ms)))
    }

    /// Latest start of a task that finishes before the client's deadline.
    pub(super) const fn last_start(&self, estimate_ms: u64) -> Instant {
        self.deadline.minus_ms(estimate_ms)
    }

    /// Latest start of a task that finishes within `limit_ms` of the client's first attempt.
    fn start_within(&self, limit_ms: u64, estimate_ms: u64) -> Option<Instant> {
        let left_ms = limit_ms.checked_sub(self.waited_ms + estimate_ms)?;
        Some(self.received_at.plus_ms(left_ms))
    }

    /// Time until the task must have ended for the job to meet its objective, in milliseconds.
    pub(super) fn time_left_ms(&self, now: Instant, task: usize) -> u64 {
        let used_ms = self.waited_ms + now.millis_since(self.received_at);
        let later_ms = self.tasks.get(task).map_or(0, |task| {
            later_chain_ms(&self.request, usize::from(task.step))
        });
        self.objective_ms.saturating_sub(used_ms + later_ms)
    }

    /// Whether any of its tasks runs or may have run.
    pub(super) const fn has_begun(&self) -> bool {
        self.may_have_run || self.open_runs > 0
    }

    /// Whether it is within the share of its queue, as used in logs and metrics; empty if its queue
    /// doesn't compete with others.
    pub(super) fn share_name(&self) -> &'static str {
        match (self.route.competes, self.share.class) {
            (false, _) => "",
            (true, ShareClass::Fitting | ShareClass::Within) => "within",
            (true, ShareClass::Beyond | ShareClass::Excess) => "beyond",
        }
    }

    pub(super) fn waiting_tasks(&self) -> usize {
        self.waiting().count()
    }

    /// Work of the waiting tasks, in milliseconds of estimated run time.
    pub(super) fn waiting_work_ms(&self) -> u64 {
        let steps = self
            .waiting()
            .filter_map(|task| self.request.steps.get(usize::from(task.step)));
        steps.map(|step| step.estimate_ms).sum()
    }

    fn waiting(&self) -> impl Iterator<Item = &Task> {
        let tasks = self.tasks.iter();
        tasks.filter(|task| task.state == TaskState::Waiting)
    }

    fn is_step_done(&self, step: u16) -> bool {
        let mut of_step = self.tasks.iter().filter(|task| task.step == step);
        of_step.all(|task| task.state == TaskState::Done)
    }

    /// Marks tasks as waiting whose earlier steps are done, and returns their positions.
    pub(super) fn unblock(&mut self) -> Vec<usize> {
        let ready: Vec<u16> = (0u16..)
            .zip(&self.request.steps)
            .filter(|(_, step)| step.after.iter().all(|before| self.is_step_done(*before)))
            .map(|(number, _)| number)
            .collect();
        let mut unblocked = Vec::new();
        for (position, task) in self.tasks.iter_mut().enumerate() {
            if task.state == TaskState::Blocked && ready.contains(&task.step) {
                task.state = TaskState::Waiting;
                unblocked.push(position);
            }
        }
        unblocked
    }

    /// Number of failed runs of all tasks.
    pub(super) fn failed_runs(&self) -> u32 {
        self.tasks.iter().map(|task| task.failed_runs).sum()
    }

    /// A run number above those of all tasks.
    pub(super) fn next_run(&self) -> u32 {
        let newest = self.tasks.iter().map(|task| task.last_run).max();
        newest.unwrap_or(0).saturating_add(1)
    }
}

fn tasks(request: &JobRequest, now: Instant, last_run: u32) -> Vec<Task> {
    let steps = (0u16..).zip(&request.steps);
    steps
        .flat_map(|(step, spec)| (0..spec.tasks).map(move |index| (step, index)))
        .map(|(step, index)| Task {
            step,
            index,
            state: TaskState::Blocked,
            last_run,
            failed_runs: 0,
            lost_runs: 0,
            avoid: None,
            not_before: now,
            busy_at: None,
        })
        .collect()
}

/// Longest chain of estimates of the steps that depend on this one, in milliseconds.
fn later_chain_ms(request: &JobRequest, step: usize) -> u64 {
    // Steps depend on earlier ones only.
    let mut chains: Vec<Option<u64>> = Vec::new();
    for (position, later) in request.steps.iter().enumerate().skip(step) {
        let before = later.after.iter().filter_map(|before| {
            let offset = usize::from(*before).checked_sub(step)?;
            chains.get(offset).copied().flatten()
        });
        let chain_ms = if position == step {
            Some(0)
        } else {
            before.max().map(|before_ms| before_ms + later.estimate_ms)
        };
        chains.push(chain_ms);
    }
    chains.into_iter().flatten().max().unwrap_or(0)
}

/// Time from the client's first attempt within which an outcome counts as in time: the longest
/// dependency chain of estimates, times the route's stretch, plus the route's target.
fn objective_ms(route: &Route, request: &JobRequest) -> u64 {
    let mut chains: Vec<u64> = Vec::with_capacity(request.steps.len());
    for step in &request.steps {
        let before = step
            .after
            .iter()
            .filter_map(|at| chains.get(usize::from(*at)));
        let before_ms = before.max().copied().unwrap_or(0);
        chains.push(before_ms + step.estimate_ms);
    }
    let longest_ms = chains.into_iter().max().unwrap_or(0);
    (longest_ms as f64 * route.stretch) as u64 + route.target_ms
}
