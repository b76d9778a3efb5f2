//! What workers say of themselves.

use {
    super::{PlatformError, json::read_json},
    crate::core::work::{Resources, WorkerIncarnation, WorkerView},
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

#[derive(Debug, Deserialize)]
struct HeartbeatBody {
    service: String,
    zone: String,
    state: StateBody,
    capacity: CapacityBody,
    #[serde(default)]
    labels: Vec<String>,
    seq: u64,
    /// Unix milliseconds of this life's start.
    #[serde(default)]
    born: u64,
}

/// Something that a worker says of itself.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum WorkerReport {
    /// How it is.
    Heartbeat {
        /// What it says.
        view: WorkerView,
        /// Number of the report, rising in one life.
        sequence: u64,
    },
    /// It ends now.
    Leave {
        /// Its name.
        worker: String,
    },
}

/// Reads a call from the worker; `None` if the path is another one.
pub(crate) fn parse_worker_report(
    path: &str,
    body: &[u8],
) -> Option<Result<WorkerReport, PlatformError>> {
    if let Some(worker) = path.strip_prefix(LEAVE_PATH) {
        return Some(Ok(WorkerReport::Leave {
            worker: worker.to_owned(),
        }));
    }
    let worker = path.strip_prefix(HEARTBEAT_PATH)?;
    Some(parse_heartbeat(worker, body))
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
