//! HTTP client of the worker on the agent's host.

use {
    super::{
        PlatformError, PlatformHttpClient,
        json::{RowList, parse_field, parse_fields, write_json},
        platform_http_client::PlatformRequest,
    },
    crate::{
        core::{
            execution::{
                HoldCall, HoldResponse, ListedEnd, ListedRun, StartCall, StartResponse, StopCall,
            },
            link::RunOutcome,
            work::{JobNumber, TaskName},
        },
        ports::WorkerClient,
    },
    async_trait::async_trait,
    http::{HeaderName, HeaderValue, Method, StatusCode},
    serde::{Deserialize, Serialize},
};

/// Header with the id of the worker incarnation that a call is intended for.
const EXPECTED_INSTANCE: HeaderName = HeaderName::from_static("rattanslip-expected-instance");
/// Timeout of a start or stop call, in milliseconds; longer than the 100 ms for which a host that has
/// used up its CPU quota is suspended.
const RUN_CALL_TIMEOUT_MS: u64 = 160;
/// Timeout of a hold call beyond the requested wait, in milliseconds.
const HOLD_TIMEOUT_MARGIN_MS: u64 = 160;

#[derive(Debug, Serialize)]
struct StartBody<'a> {
    task: String,
    run: u32,
    spec: &'a str,
    /// End of the lease for all runs of the worker, on the worker's clock.
    deadline_ms: u64,
    fencing_token: u64,
}

#[derive(Debug, Serialize)]
struct StopBody {
    task: String,
    run: u32,
    fencing_token: u64,
}

#[derive(Debug, Serialize)]
struct HoldBody {
    #[serde(skip_serializing_if = "Option::is_none")]
    deadline_ms: Option<u64>,
    fencing_token: u64,
    last_seen: u64,
    #[serde(skip_serializing_if = "is_zero")]
    wait_ms: u64,
}

#[expect(
    clippy::trivially_copy_pass_by_ref,
    reason = "the serializer passes a reference"
)]
const fn is_zero(number: &u64) -> bool {
    *number == 0
}

#[derive(Debug, Default, Deserialize)]
struct ReasonBody {
    #[serde(default)]
    reason: String,
}

#[derive(Debug, Deserialize)]
struct RunListBody {
    clock_ms: u64,
    #[serde(default)]
    born: Option<u64>,
    #[serde(default)]
    running: RowList,
    #[serde(default)]
    finished: RowList,
}

/// Client of the worker at one address.
#[derive(Debug)]
pub(crate) struct HttpWorkerClient {
    client: PlatformHttpClient,
}

impl HttpWorkerClient {
    pub(crate) const fn new(client: PlatformHttpClient) -> Self {
        Self { client }
    }

    async fn post<B: Serialize>(
        &self,
        path: &str,
        worker: &str,
        body: &B,
        timeout_ms: u64,
    ) -> Result<(StatusCode, bytes::Bytes), PlatformError> {
        let expected = HeaderValue::from_str(worker)
            .map_err(|error| PlatformError::Malformed(error.to_string()))?;
        let body = write_json(body)?;
        self.client
            .call(PlatformRequest {
                method: Method::POST,
                path: path.to_owned(),
                headers: vec![(EXPECTED_INSTANCE, expected)],
                body,
                timeout_ms,
            })
            .await
    }
}

#[async_trait]
impl WorkerClient for HttpWorkerClient {
    async fn start(&self, call: &StartCall) -> StartResponse {
        let body = StartBody {
            task: task_name(call.task),
            run: call.number,
            spec: &call.spec,
            deadline_ms: call.lease_until_ms,
            fencing_token: call.token,
        };
        let response = self.post("/v1/run-start", &call.worker, &body, RUN_CALL_TIMEOUT_MS);
        match response.await {
            Ok((StatusCode::OK, _)) => StartResponse::Accepted,
            Ok((StatusCode::CONFLICT, body)) => parse_conflict(&body),
            Ok((StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE, _)) => {
                StartResponse::Unhealthy
            }
            Ok((status, _)) if status.is_client_error() => {
                log::warn!(status:% = status; "the worker rejected a start call");
                StartResponse::Rejected
            }
            Ok((status, _)) => {
                log::warn!(status:% = status; "unexpected response to a start call");
                StartResponse::Unanswered
            }
            Err(PlatformError::Refused(_)) => StartResponse::Refused,
            Err(error) => {
                log::debug!(error:% = error; "no response to a start call");
                StartResponse::Unanswered
            }
        }
    }

    async fn stop(&self, call: &StopCall) -> bool {
        let body = StopBody {
            task: task_name(call.task),
            run: call.number,
            fencing_token: call.token,
        };
        let response = self.post("/v1/run-stop", &call.worker, &body, RUN_CALL_TIMEOUT_MS);
        match response.await {
            Ok((status, _)) => status.is_success(),
            Err(error) => {
                log::debug!(error:% = error; "no response to a stop call");
                false
            }
        }
    }

    async fn hold(&self, call: &HoldCall) -> HoldResponse {
        let body = HoldBody {
            deadline_ms: call.lease_until_ms,
            fencing_token: call.token,
            last_seen: call.last_seen_end,
            wait_ms: call.wait_ms,
        };
        let timeout_ms = call.wait_ms + HOLD_TIMEOUT_MARGIN_MS;
        match self.post("/v1/hold", &call.worker, &body, timeout_ms).await {
            Ok((StatusCode::OK, body)) => parse_run_list(&body),
            Ok((StatusCode::CONFLICT, _)) => HoldResponse::Fenced,
            Ok((StatusCode::MISDIRECTED_REQUEST, _)) => HoldResponse::OtherWorker,
            Ok((status, _)) => {
                log::warn!(status:% = status; "unexpected response to a hold call");
                HoldResponse::Unanswered
            }
            Err(PlatformError::Refused(_)) => HoldResponse::Refused,
            Err(error) => {
                log::debug!(error:% = error; "no response to a hold call");
                HoldResponse::Unanswered
            }
        }
    }
}

/// The name's second part is the number of the job's recurrence; zero for a job that runs once.
fn task_name(task: TaskName) -> String {
    format!("{}.0.{}.{}", task.job, task.step, task.index)
}

fn parse_task_name(name: &str) -> Option<TaskName> {
    let mut parts = name.split('.');
    let job = JobNumber::parse(parts.next()?)?;
    let _recurrence = parts.next()?;
    Some(TaskName {
        job,
        step: parts.next()?.parse().ok()?,
        index: parts.next()?.parse().ok()?,
    })
}

/// Parses the reason of a rejected start call; unknown and malformed ones count as `Rejected`.
fn parse_conflict(body: &[u8]) -> StartResponse {
    let reason = serde_json::from_slice::<ReasonBody>(body)
        .unwrap_or_default()
        .reason;
    match reason.as_str() {
        "fence" => StartResponse::Fenced,
        "old" => StartResponse::NumberUsed,
        "late" => StartResponse::Late,
        "room" => StartResponse::NoRoom,
        other => {
            log::warn!(reason = other; "the worker rejected a start call");
            StartResponse::Rejected
        }
    }
}

/// Parses the worker's run list; ignores malformed rows.
pub(super) fn parse_run_list(body: &[u8]) -> HoldResponse {
    let body: RunListBody = match serde_json::from_slice(body) {
        Ok(body) => body,
        Err(error) => {
            log::warn!(error:% = error; "the worker's run list is malformed");
            return HoldResponse::Unanswered;
        }
    };
    HoldResponse::RunList {
        born_unix_ms: body.born,
        clock_ms: body.clock_ms,
        running: body.running.parse("running", parse_listed_run),
        ended: body.finished.parse("finished", parse_listed_end),
    }
}

/// Parses a row of task, run and unused values.
fn parse_listed_run(row: &str) -> Option<ListedRun> {
    let fields = parse_fields(row)?;
    Some(ListedRun {
        task: parse_task_name(&parse_field::<String>(&fields, 0)?)?,
        number: parse_field(&fields, 1)?,
    })
}

/// Parses a row of sequence number, task, run and outcome; an unknown outcome counts as lost.
///
/// A worker counts its ends from 1. A higher number than it can reach is of another writer, and would hide all
/// later ends.
fn parse_listed_end(row: &str) -> Option<ListedEnd> {
    let fields = parse_fields(row)?;
    let end = match parse_field::<String>(&fields, 3)?.as_str() {
        "done" => RunOutcome::Done,
        "failed" => RunOutcome::Failed,
        "stopped" => RunOutcome::Stopped,
        _ => RunOutcome::Lost,
    };
    Some(ListedEnd {
        sequence: parse_field::<u32>(&fields, 0)?.into(),
        task: parse_task_name(&parse_field::<String>(&fields, 1)?)?,
        number: parse_field(&fields, 2)?,
        end,
    })
}
