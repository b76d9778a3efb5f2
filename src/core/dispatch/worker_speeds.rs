//! Speeds of workers, as reported by their agents and compared within their service.

use {
    super::{Dispatcher, worker_link::WorkerLink},
    crate::core::{
        work::{Resources, StepSpec},
        worker_speed::{NORMAL_PERMILLE, ServiceSpeed},
    },
    std::{collections::BTreeMap, mem},
};

/// Maximum slowness by which the limit of an overdue run is extended; a run that takes longer is
/// better restarted elsewhere.
const MAX_OVERDUE_SLOWNESS: f64 = 2.0;

/// Comparison of the workers of each service.
#[derive(Debug, Default)]
pub(super) struct WorkerSpeeds {
    by_service: BTreeMap<String, ServiceSpeed>,
    /// A worker or its reported slowness has changed since the comparison.
    pub(super) is_outdated: bool,
}

impl WorkerSpeeds {
    /// Whether the speeds of the service's workers differ by more than a quarter.
    pub(super) fn is_uneven(&self, service: &str) -> bool {
        let speed = self.by_service.get(service);
        speed.is_some_and(|speed| speed.is_uneven)
    }
}

impl Dispatcher {
    /// Compares the workers of each service if a report has changed.
    pub(super) fn compare_speeds(&mut self) {
        if !mem::take(&mut self.speeds.is_outdated) {
            return;
        }
        let mut reported: BTreeMap<&str, Vec<u16>> = BTreeMap::new();
        for worker in self.workers.values() {
            if let (Some(_), Some(view)) = (worker.link, &worker.view) {
                let of_service = reported.entry(&view.service).or_default();
                of_service.push(worker.slowness_permille);
            }
        }
        let by_service = reported
            .into_iter()
            .map(|(service, slowness)| (service.to_owned(), ServiceSpeed::from_workers(slowness)));
        self.speeds.by_service = by_service.collect();
        for worker in self.workers.values_mut() {
            let service = worker.view.as_ref().map(|view| view.service.as_str());
            let speed = service.and_then(|service| self.speeds.by_service.get(service));
            let speed = speed.copied().unwrap_or_default();
            worker.slowness = speed.relative_slowness(worker.slowness_permille);
        }
    }
}

impl WorkerLink {
    /// Records the reported slowness; returns whether it has changed.
    pub(super) fn record_slowness(&mut self, reported_permille: u16) -> bool {
        let slowness_permille = match reported_permille {
            0 => NORMAL_PERMILLE,
            reported => reported,
        };
        mem::replace(&mut self.slowness_permille, slowness_permille) != slowness_permille
    }

    /// Factor by which the worker's slowness extends the limits of its runs.
    pub(super) fn overdue_factor(&self) -> f64 {
        self.slowness.clamp(1.0, MAX_OVERDUE_SLOWNESS)
    }

    /// Share of the worker's CPU that is free.
    pub(super) fn free_share(&self, free: Resources) -> f64 {
        let view = self.view.as_ref();
        let capacity = view.map_or(1, |view| view.capacity.cpu_milli.max(1));
        f64::from(free.cpu_milli) / f64::from(capacity)
    }

    /// Whether the step's data is on another rack.
    pub(super) fn is_remote_to_data(&self, step: &StepSpec) -> bool {
        let has_label = |rack| {
            let view = self.view.as_ref();
            view.is_some_and(|view| view.labels.contains(rack))
        };
        step.data_rack.as_ref().is_some_and(|rack| !has_label(rack))
    }

    /// Expected run time of the step's tasks if the worker had normal speed, in milliseconds.
    pub(super) fn normal_run_ms(&self, step: &StepSpec, remote_penalty_permille: u32) -> u64 {
        if self.is_remote_to_data(step) {
            step.estimate_ms * u64::from(remote_penalty_permille) / u64::from(NORMAL_PERMILLE)
        } else {
            step.estimate_ms
        }
    }
}
