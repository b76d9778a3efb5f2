//! Parses the calls by which workers report their state.

use {
    super::{PlatformError, json::read_json},
    crate::core::{
        execution::LeavingWorker,
        work::{Resources, WorkerIncarnation, WorkerView},
    },
    serde::Deserialize,
};

const HEARTBEAT_PATH: &str = "/v1/Instances.Heartbeat/";
const LEAVE_PATH: &str = "/v1/Instances.Leave/";

#[derive(Debug, Deserialize)]
#[serde(rename_all = "lowercase")]
enum StateBody {
    Ready,
    Draining,
}

#[derive(Debug, Deserialize)]
struct CapacityBody {
    cpu: u32,
    mem_mb: u32,
    #[serde(default)]
    gpu: u32,
}

/// A heartbeat; one without a field that each worker sends, or with one of another type, comes from another
/// sender and names no worker.
#[derive(Debug, Deserialize)]
struct HeartbeatBody {
    service: String,
    #[serde(rename = "address")]
    _address: String,
    zone: String,
    #[serde(rename = "version")]
    _version: String,
    #[serde(rename = "slots")]
    _slots: u64,
    state: StateBody,
    /// May have a fraction.
    #[serde(rename = "cold_remaining_ms")]
    _cold_remaining_ms: f64,
    capacity: CapacityBody,
    labels: Vec<String>,
    /// The worker's clock, in milliseconds.
    #[serde(default, rename = "clock_ms")]
    _clock_ms: Option<u64>,
    seq: u64,
    /// Start of the worker incarnation, in Unix milliseconds.
    born: u64,
}

#[derive(Debug, Default, Deserialize)]
struct LeaveBody {
    /// Start of the worker incarnation, in Unix milliseconds.
    #[serde(default)]
    born: Option<u64>,
}

/// A call from a worker.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum WorkerReport {
    /// The current state of the worker.
    Heartbeat {
        view: WorkerView,
        /// Number of the report; increases within one incarnation.
        sequence: u64,
    },
    /// The worker leaves: its process ends after the acknowledgement, or some seconds later without one.
    Leave(LeavingWorker),
}

/// Parses a call from the worker; `None` for an unknown path.
pub(crate) fn parse_worker_report(
    path: &str,
    body: &[u8],
) -> Option<Result<WorkerReport, PlatformError>> {
    let (worker, parse): (_, fn(&str, &[u8]) -> _) = match path.strip_prefix(LEAVE_PATH) {
        Some(worker) => (worker, parse_leave),
        None => (path.strip_prefix(HEARTBEAT_PATH)?, parse_heartbeat),
    };
    if worker.is_empty() {
        let detail = "the report names no worker".to_owned();
        return Some(Err(PlatformError::Malformed(detail)));
    }
    Some(parse(worker, body))
}

fn parse_leave(worker: &str, body: &[u8]) -> Result<WorkerReport, PlatformError> {
    let body: LeaveBody = if body.is_empty() {
        LeaveBody::default()
    } else {
        read_json(body)?
    };
    Ok(WorkerReport::Leave(LeavingWorker {
        id: worker.to_owned(),
        born_unix_ms: body.born,
    }))
}

fn parse_heartbeat(worker: &str, body: &[u8]) -> Result<WorkerReport, PlatformError> {
    let body: HeartbeatBody = read_json(body)?;
    let view = WorkerView {
        life: WorkerIncarnation {
            id: worker.to_owned(),
            born_unix_ms: body.born,
        },
        service: body.service,
        availability_zone: body.zone,
        capacity: Resources {
            cpu_milli: body.capacity.cpu,
            memory_mb: body.capacity.mem_mb,
            accelerators: body.capacity.gpu,
        },
        labels: body.labels,
        draining: matches!(body.state, StateBody::Draining),
    };
    Ok(WorkerReport::Heartbeat {
        view,
        sequence: body.seq,
    })
}
