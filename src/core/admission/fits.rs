//! Whether a job could ever run.

use crate::core::{
    config::Document,
    job::{JobSpec, TaskSpec},
};

/// Whether each task fits on some worker of the configuration that the service may run on.
///
/// The worker may be out of service or still on its way: then the task waits. A task that fits
/// nowhere would wait until its deadline for nothing.
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
