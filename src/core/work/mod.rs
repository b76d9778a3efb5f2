//! Jobs, steps, tasks and runs, and the workers that run them.

mod job_id;
mod job_request;
mod resources;
mod run_id;
mod run_limits;
mod worker_view;

pub(crate) use {
    job_id::{JobId, JobNumber, QueueId},
    job_request::{JobRequest, StepSpec, UnsupportedFeature},
    resources::Resources,
    run_id::{RunId, TaskId, TaskName},
    run_limits::RunLimits,
    worker_view::{WorkerIncarnation, WorkerView},
};
