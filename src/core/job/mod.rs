//! Jobs, their tasks and their answers.

mod job_answer;
mod job_spec;
mod task_outcome;
mod task_ref;

pub(crate) use {
    job_answer::{JobAnswer, JobStatus},
    job_spec::{JobSpec, MAX_TASKS, TaskSpec},
    task_outcome::TaskOutcome,
    task_ref::TaskRef,
};
