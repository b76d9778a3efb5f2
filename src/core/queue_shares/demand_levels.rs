//! Levels of queues, as an agent computes them.

use {
    super::{
        max_min::{ShareClaim, max_min_shares},
        queue_share::COMPLETE_PERMILLE,
        queue_shares::UPDATE_INTERVAL_MS,
    },
    crate::core::{
        link::{MAX_REPORTED_QUEUES, QueueDemand, QueueLevel},
        time::Instant,
    },
    std::{cmp::Reverse, collections::BTreeMap, sync::Arc},
};

/// A worker's capacity in the unit of the demands, in millionths.
const WORKER_PPM: u32 = 1_000_000;
/// Part of the capacity that is shared out.
///
/// Each start leaves its slot empty for a round trip, and some runs fail or take much longer. If
/// the shares added up to more than what is available, the least urgent queue would bear the
/// difference; what they leave is lent.
pub(super) const SHARED_CAPACITY: f64 = 0.9;

/// The level of each claim, in thousandths, if `capacity` is divided among them.
pub(super) fn levels(capacity: f64, claims: &[ShareClaim]) -> Vec<u16> {
    let shares = max_min_shares(capacity * SHARED_CAPACITY, claims);
    let levels = claims.iter().zip(shares).map(|(claim, share)| {
        if share >= claim.demand {
            return COMPLETE_PERMILLE;
        }
        (share / claim.demand * f64::from(COMPLETE_PERMILLE)) as u16
    });
    levels.collect()
}

/// Levels of the queues that use a worker, computed from the demands of its entries.
#[derive(Debug, Default)]
pub(crate) struct DemandLevels {
    levels: Vec<QueueLevel>,
    computed_at: Option<Instant>,
}

impl DemandLevels {
    /// The current levels. `demands` are the latest ones of each entry.
    pub(crate) fn at<'a>(
        &mut self,
        now: Instant,
        demands: impl Iterator<Item = &'a [QueueDemand]>,
    ) -> &[QueueLevel] {
        let is_recent = |at: Instant| now.millis_since(at) < UPDATE_INTERVAL_MS;
        if !self.computed_at.is_some_and(is_recent) {
            self.computed_at = Some(now);
            self.levels = compute(demands);
        }
        &self.levels
    }
}

/// Computes the levels of the queues with the largest demands.
///
/// One entry counts with no more than the complete worker for each queue, so that a wrong figure
/// has a limited effect.
fn compute<'a>(demands: impl Iterator<Item = &'a [QueueDemand]>) -> Vec<QueueLevel> {
    let mut by_queue: BTreeMap<&Arc<str>, (u32, u64)> = BTreeMap::new();
    for demand in demands.flat_map(|of_entry| of_entry.iter().take(MAX_REPORTED_QUEUES)) {
        let (priority, sum_ppm) = by_queue
            .entry(&demand.queue)
            .or_insert((demand.priority, 0));
        *priority = demand.priority.min(*priority);
        *sum_ppm += u64::from(demand.demand_ppm.min(WORKER_PPM));
    }
    let mut queues: Vec<_> = by_queue.into_iter().collect();
    if queues.len() > MAX_REPORTED_QUEUES {
        queues.sort_by_key(|(_, (_, sum_ppm))| Reverse(*sum_ppm));
        queues.truncate(MAX_REPORTED_QUEUES);
    }
    let claims: Vec<ShareClaim> = queues
        .iter()
        .map(|(_, (priority, sum_ppm))| ShareClaim::new(*sum_ppm as f64, *priority))
        .collect();
    let levels = levels(f64::from(WORKER_PPM), &claims);
    let queues = queues.into_iter().zip(levels);
    queues
        .map(|((queue, _), level_permille)| QueueLevel {
            queue: Arc::clone(queue),
            level_permille,
        })
        .collect()
}
