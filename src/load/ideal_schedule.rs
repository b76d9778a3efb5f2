//! Ideal response times: the same jobs in one FIFO queue over the same slots, without overhead.

use {
    super::schedule::PlannedJob,
    std::{cmp::Reverse, collections::BinaryHeap},
};

/// Response time of each job if tasks start in order of arrival, each on the first free slot.
///
/// Jobs that no worker has the memory for get a response time of zero.
pub(crate) fn ideal_responses_us(jobs: &[PlannedJob], slots: usize) -> Vec<u64> {
    let mut free_at_us: BinaryHeap<Reverse<u64>> = (0..slots).map(|_| Reverse(0)).collect();
    jobs.iter()
        .map(|job| ideal_response_us(job, &mut free_at_us))
        .collect()
}

fn ideal_response_us(job: &PlannedJob, free_at_us: &mut BinaryHeap<Reverse<u64>>) -> u64 {
    let mut last_end_us = job.at_us;
    if job.memory_mb.is_some() {
        return 0;
    }
    for task in &job.tasks {
        let Some(Reverse(free_us)) = free_at_us.pop() else {
            return u64::MAX;
        };
        let end_us = free_us.max(job.at_us) + u64::from(task.run_ms) * 1_000;
        free_at_us.push(Reverse(end_us));
        last_end_us = last_end_us.max(end_us);
    }
    last_end_us - job.at_us
}
