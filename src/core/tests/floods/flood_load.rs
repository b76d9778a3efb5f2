//! The load on a simulated site, and what its clients receive.

use crate::core::{
    routes::Route,
    work::{JobRequest, Resources, StepSpec},
};
use std::sync::Arc;

/// A queue and its usual load.
#[derive(Debug, Clone, Copy)]
pub(super) struct FloodQueue {
    pub(super) priority: u32,
    pub(super) tasks: u16,
    pub(super) estimate_ms: u64,
    pub(super) cpu_milli: u32,
    /// Usual number of jobs per second at all entries.
    pub(super) per_second: f64,
}

impl FloodQueue {
    pub(super) fn route(&self) -> Route {
        Route {
            name: format!("queue-{}", self.priority),
            host: "a.example".to_owned(),
            path_prefix: "/".to_owned(),
            service: "shares".to_owned(),
            timeout_ms: 1_500,
            max_attempts: 3,
            priority: self.priority,
            stretch: 1.6,
            target_ms: 60,
            needs_advice: false,
            competes: true,
        }
    }

    pub(super) fn request(&self) -> JobRequest {
        let step = StepSpec {
            tasks: self.tasks,
            needs: Resources {
                cpu_milli: self.cpu_milli,
                ..Resources::default()
            },
            estimate_ms: self.estimate_ms,
            after: Vec::new(),
            required_label: None,
            data_rack: None,
            max_per_worker: 0,
        };
        JobRequest {
            spec: Arc::from("spec"),
            steps: vec![step],
            unsupported: None,
        }
    }

    /// Time within which an outcome counts as in time.
    pub(super) fn objective_ms(&self) -> u64 {
        self.estimate_ms * 16 / 10 + 60
    }

    /// Cores that one job occupies for one second.
    pub(super) fn core_seconds(&self) -> f64 {
        f64::from(self.tasks) * self.estimate_ms as f64 * f64::from(self.cpu_milli) / 1e6
    }
}

/// What the clients of one queue received from one entry.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub(super) struct Received {
    pub(super) submitted: u64,
    pub(super) in_time: u64,
    pub(super) late: u64,
    /// Not run.
    pub(super) refused: u64,
    /// Failed or given up.
    pub(super) other: u64,
}

impl Received {
    pub(super) fn plus(self, other: Self) -> Self {
        Self {
            submitted: self.submitted + other.submitted,
            in_time: self.in_time + other.in_time,
            late: self.late + other.late,
            refused: self.refused + other.refused,
            other: self.other + other.other,
        }
    }

    /// Share of the jobs that were not in time.
    pub(super) fn lost(self) -> f64 {
        1.0 - self.in_time as f64 / self.submitted.max(1) as f64
    }

    /// Share of the jobs that were refused.
    pub(super) fn refused_share(self) -> f64 {
        self.refused as f64 / self.submitted.max(1) as f64
    }
}
