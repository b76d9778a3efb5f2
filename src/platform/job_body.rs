//! Parses jobs that clients submit.

use {
    super::{
        PlatformError,
        json::{duration_ms, read_json},
    },
    crate::core::work::{JobRequest, Resources, StepSpec, UnsupportedFeature},
    serde::Deserialize,
    std::sync::Arc,
};

#[derive(Debug, Deserialize)]
struct JobBody {
    #[serde(default)]
    spec: String,
    #[serde(default)]
    steps: Vec<StepBody>,
    #[serde(default)]
    best_effort: bool,
    #[serde(default)]
    long_running: bool,
    /// Number of recurrences; zero for a job that runs once, immediately.
    #[serde(default)]
    run_count: u64,
}

#[derive(Debug, Deserialize)]
struct StepBody {
    #[serde(default)]
    count: u16,
    /// In thousandths of a core.
    #[serde(default)]
    cpu: u32,
    #[serde(default)]
    mem_mb: u32,
    #[serde(default)]
    gpu: u32,
    #[serde(default, deserialize_with = "duration_ms")]
    estimate_ms: u64,
    #[serde(default)]
    after: Vec<u16>,
    #[serde(default)]
    gang: bool,
    #[serde(default)]
    long_running: bool,
    #[serde(default)]
    fills: bool,
    #[serde(default)]
    requires: String,
    #[serde(default)]
    data_rack: String,
    /// Maximum number of tasks of the step on one worker.
    #[serde(default)]
    anti_affinity: u16,
}

/// Parses a job.
pub(super) fn parse_job(body: &[u8]) -> Result<JobRequest, PlatformError> {
    let body: JobBody = read_json(body)?;
    Ok(JobRequest {
        unsupported: unsupported(&body),
        spec: Arc::from(body.spec),
        steps: body.steps.into_iter().map(step).collect(),
    })
}

fn unsupported(body: &JobBody) -> Option<UnsupportedFeature> {
    let any = |has: fn(&StepBody) -> bool| body.steps.iter().any(has);
    if body.long_running || any(|step| step.long_running) {
        return Some(UnsupportedFeature::LongRunning);
    }
    if body.run_count > 0 {
        return Some(UnsupportedFeature::Recurring);
    }
    if any(|step| step.gang) {
        return Some(UnsupportedFeature::Gang);
    }
    if any(|step| step.fills) {
        return Some(UnsupportedFeature::Filler);
    }
    (!body.best_effort).then_some(UnsupportedFeature::Durable)
}

fn step(body: StepBody) -> StepSpec {
    let label = |text: String| (!text.is_empty()).then_some(text);
    StepSpec {
        tasks: body.count,
        needs: Resources {
            cpu_milli: body.cpu,
            memory_mb: body.mem_mb,
            accelerators: body.gpu,
        },
        estimate_ms: body.estimate_ms,
        after: body.after,
        required_label: label(body.requires),
        data_rack: label(body.data_rack),
        max_per_worker: body.anti_affinity,
    }
}
