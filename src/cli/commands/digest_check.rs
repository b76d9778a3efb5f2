//! Verifies the task count and the digest of a job's response.

use {
    crate::{
        cli::RunError,
        core::{
            job::{JobAnswer, TaskOutcome},
            ticket::Ticket,
            verdict::{MayHaveRunReason, NotRunReason, Verdict},
        },
    },
    serde_json::Value,
};

/// Detects outcomes that were truncated or altered between the home and this process.
///
/// Returns `false` if the response has no digest, as while the job runs.
pub(crate) fn verify_digest(response: &Value) -> Result<bool, RunError> {
    if response["digest"].is_null() {
        return Ok(false);
    }
    match is_intact(response) {
        Some(true) => Ok(true),
        _ => Err(RunError::Failed(
            "the response is corrupt: task count or digest does not match; retry".to_owned(),
        )),
    }
}

/// Whether task count and digest match; `None` if a field is missing or invalid.
fn is_intact(response: &Value) -> Option<bool> {
    let ticket: Ticket = response["ticket"].as_str()?.parse().ok()?;
    let digest = blake3::Hash::from_hex(response["digest"].as_str()?).ok()?;
    let count = usize::try_from(response["task_count"].as_u64()?).ok()?;
    let tasks = response["tasks"].as_array()?;
    let job_answer = JobAnswer {
        ticket: ticket.id,
        verdict: Verdict::Done,
        outcomes: tasks.iter().map(task_outcome).collect::<Option<_>>()?,
        digest: *digest.as_bytes(),
    };
    Some(job_answer.is_complete(&ticket.id, count))
}

fn task_outcome(task: &Value) -> Option<TaskOutcome> {
    let reason = task["reason"].as_str().unwrap_or_default();
    let output = || task["output"].as_str().map(str::to_owned);
    Some(match task["verdict"].as_str()? {
        "done" => TaskOutcome::Done { output: output()? },
        "failed" => TaskOutcome::Failed { message: output()? },
        "not-run" => TaskOutcome::NotRun {
            reason: *NotRunReason::ALL.iter().find(|r| r.as_str() == reason)?,
        },
        "may-have-run" => TaskOutcome::MayHaveRun {
            reason: *MayHaveRunReason::ALL
                .iter()
                .find(|r| r.as_str() == reason)?,
        },
        _ => return None,
    })
}
