//! One job at its entry.

use {
    super::{Submission, WaiterId, worker_link::WorkerKey},
    crate::core::{
        routes::Route,
        time::Instant,
        work::{JobId, JobRequest, RunId, StepSpec, TaskId},
    },
    slotmap::new_key_type,
    std::sync::Arc,
};

new_key_type! {
    /// Names a job in the arena of its dispatcher.
    pub(crate) struct JobKey;
}

/// An answer up to this many objectives late is still of use to the caller.
const LATE_LIMIT_OBJECTIVES: u64 = 3;

/// How far a task has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum TaskState {
    /// Steps before its own have not ended.
    Blocked,
    /// It waits for a worker.
    Waiting,
    /// A start order was sent, and its run is not known to be over.
    Started,
    /// It is done.
    Done,
}

/// One task.
#[derive(Debug, Clone, Copy)]
pub(super) struct Task {
    /// Its step.
    pub(super) step: u16,
    /// Its position in the step.
    pub(super) index: u16,
    /// How far it has come.
    pub(super) state: TaskState,
    /// Number of its newest run.
    pub(super) last_run: u32,
    /// Runs that failed.
    pub(super) failed_runs: u32,
    /// The worker that the newest run ended badly on.
    pub(super) avoid: Option<WorkerKey>,
    /// Nothing is started before then.
    pub(super) not_before: Instant,
}

/// A job from when it is taken in until nothing of it runs any more.
#[derive(Debug)]
pub(super) struct Job {
    pub(super) id: JobId,
    pub(super) route: Arc<Route>,
    pub(super) request: JobRequest,
    pub(super) received_at: Instant,
    /// For how long its client had waited when it came, as far as is known: an earlier try may have been lost.
    pub(super) waited_ms: u64,
    /// When the client stops waiting.
    pub(super) deadline: Instant,
    /// Time within which an answer counts as in time.
    pub(super) objective_ms: u64,
    /// Who waits for the answer; nobody once it has been given.
    pub(super) waiters: Vec<WaiterId>,
    pub(super) tasks: Vec<Task>,
    /// Tasks that are not done.
    pub(super) remaining_tasks: usize,
    /// Runs that may be at work.
    pub(super) open_runs: usize,
    /// Some run may have begun.
    pub(super) may_have_run: bool,
    /// The answer has been given, or nobody waits for it.
    pub(super) closed: bool,
    pub(super) starts: u32,
    pub(super) last_start: Instant,
}

impl Job {
    /// A job whose runs are numbered from `first_run`, and whose client has waited so long already.
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
            starts: 0,
            last_start: now,
        }
    }

    pub(super) fn step(&self, task: usize) -> Option<&StepSpec> {
        let step = self.tasks.get(task)?.step;
        self.request.steps.get(usize::from(step))
    }

    /// The newest run of a task.
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

    /// The latest moment to start a task so that it is done within the objective; `None` if it was past when the
    /// job came.
    pub(super) fn latest_start(&self, estimate_ms: u64) -> Option<Instant> {
        self.start_within(self.objective_ms, estimate_ms)
    }

    /// The latest moment to start a task so that its answer is still of use; `None` if it was past when the job came.
    pub(super) fn last_useful_start(&self, estimate_ms: u64) -> Option<Instant> {
        let late_start =
            self.start_within(self.objective_ms * LATE_LIMIT_OBJECTIVES, estimate_ms)?;
        Some(late_start.min(self.last_start(estimate_ms)))
    }

    /// The latest moment to start a task so that its answer finds the client waiting.
    pub(super) const fn last_start(&self, estimate_ms: u64) -> Instant {
        self.deadline.minus_ms(estimate_ms)
    }

    /// The latest moment to start a task that is to end so long after its client began to wait.
    fn start_within(&self, limit_ms: u64, estimate_ms: u64) -> Option<Instant> {
        let left_ms = limit_ms.checked_sub(self.waited_ms + estimate_ms)?;
        Some(self.received_at.plus_ms(left_ms))
    }

    /// Whether something of it runs or may have run.
    pub(super) const fn has_begun(&self) -> bool {
        self.may_have_run || self.open_runs > 0
    }

    /// Tasks that wait for a worker.
    pub(super) fn waiting_tasks(&self) -> usize {
        self.waiting().count()
    }

    /// Their work, in milliseconds by the client's estimates.
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

    /// Whether all tasks of a step are done.
    fn is_step_done(&self, step: u16) -> bool {
        let mut of_step = self.tasks.iter().filter(|task| task.step == step);
        of_step.all(|task| task.state == TaskState::Done)
    }

    /// Lets tasks wait for a worker whose earlier steps have ended; their positions.
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

    /// Runs that failed, of all tasks.
    pub(super) fn failed_runs(&self) -> u32 {
        self.tasks.iter().map(|task| task.failed_runs).sum()
    }

    /// Number above all runs of the job.
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
            avoid: None,
            not_before: now,
        })
        .collect()
}

/// The time within which an answer counts as in time: the queue's stretch times the longest chain
/// of estimated work, and the queue's margin.
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
