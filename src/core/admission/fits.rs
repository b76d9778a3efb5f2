//! Checks jobs against the resources of the configured workers.

use crate::core::{
    config::Document,
    job::{JobSpec, TaskSpec},
};

/// Whether each task fits on some configured worker in the service's availability zones.
///
/// Workers that are currently unavailable count too, because a task can wait for them.
pub(crate) fn fits_somewhere(document: &Document, spec: &JobSpec) -> bool {
    let Some(service) = document.services.get(&spec.service) else {
        return false;
    };
    let fits = |task: &TaskSpec| {
        document.workers.values().any(|worker| {
            service
                .availability_zones
                .contains(&worker.availability_zone)
                && task.memory_mb <= worker.memory_mb
                && task.accelerators <= worker.accelerators
        })
    };
    spec.tasks.iter().all(fits)
}
