//! Speed of one worker, measured by its agent.

use {crate::core::time::Instant, std::collections::VecDeque};

/// Slowness of a worker whose runs take as long as estimated, in thousandths; also of an unknown
/// one.
pub(crate) const NORMAL_PERMILLE: u16 = 1_000;
/// Runs that are retained; half a second of a busy worker.
const MAX_RUNS: usize = 32;
/// Runs needed for a measurement. Estimates are off by 40%, so the median of eight is off by 15%.
const MIN_RUNS: usize = 8;
/// Time after which a run no longer counts, in milliseconds.
const EXPIRY_MS: u64 = 8_000;
/// Time after which a run counts half, in milliseconds, so that a worker that gets few tasks after a
/// change of its speed is measured anew within seconds.
const HALF_LIFE_MS: f64 = 4_000.0;
/// Factor by which a running task must exceed the median for [`EXCESS_WEIGHT`]. Estimates are off by
/// less, so it takes long by nature or its worker has become slow.
const EXCESS_FACTOR: u16 = 2;
/// Weight of such a run. Its earlier runs otherwise outnumber those that execute for
/// too long.
const EXCESS_WEIGHT: f64 = 2.0;
/// Interval between measurements, in milliseconds; limits the CPU time of an agent.
const MEASURE_INTERVAL_MS: u64 = 100;
/// Consecutive runs that took less than half of the measured slowness after which earlier runs no
/// longer count. A slow worker doesn't end three runs that early by chance, so it has recovered.
const RECOVERY_RUNS: usize = 3;
/// Slowness from which [`RECOVERY_RUNS`] applies, in thousandths; short runs of a healthy worker are
/// wrong estimates.
const MIN_RECOVERY_PERMILLE: u16 = 1_500;
/// Number of the [`SLOWDOWN_WINDOW`] latest runs that must have taken more than [`SLOWDOWN_FACTOR`]
/// times the reported slowness for earlier runs to count no longer. So many long runs at once are rare
/// on a worker of constant speed; after a slowdown, some runs that were nearly done still end early.
const SLOWDOWN_RUNS: usize = 4;
const SLOWDOWN_WINDOW: usize = 6;
const SLOWDOWN_FACTOR: u16 = 2;
/// The reported slowness is a multiple of this, in thousandths.
const STEP_PERMILLE: u16 = 50;
/// Minimum change of the reported slowness, in thousandths; a smaller one is noise and would cost
/// reports to all entries.
const MIN_CHANGE_PERMILLE: u16 = 75;
/// Minimum change as a fraction of the reported slowness: one tenth. The noise of a slow worker is
/// proportional to its slowness.
const MIN_CHANGE_DIVISOR: u16 = 10;
/// Bounds of a single run, in thousandths.
const RUN_BOUNDS_PERMILLE: (u64, u64) = (50, 20_000);
/// Bounds of the reported slowness, in thousandths.
const REPORT_BOUNDS_PERMILLE: (u16, u16) = (200, 8_000);

/// A run that was done.
#[derive(Debug, Clone, Copy)]
struct DoneRun {
    at: Instant,
    slowness_permille: u16,
    /// The worker has become slower since then.
    is_outdated: bool,
}

/// Robust measurement of a worker's slowness: run time divided by the estimate.
///
/// It is a weighted median, since a few runs in a hundred take several times as long by nature.
#[derive(Debug)]
pub(crate) struct MeasuredSpeed {
    done: VecDeque<DoneRun>,
    measured_at: Option<Instant>,
    reported_permille: u16,
}

impl Default for MeasuredSpeed {
    fn default() -> Self {
        Self {
            done: VecDeque::with_capacity(MAX_RUNS),
            measured_at: None,
            reported_permille: NORMAL_PERMILLE,
        }
    }
}

impl MeasuredSpeed {
    /// Records a run that was done; runs that were stopped or failed say nothing about the speed.
    pub(crate) fn record_done(&mut self, now: Instant, ran_ms: u64, estimate_ms: u64) {
        // The time of a run whose start was never confirmed is unknown.
        if ran_ms == 0 {
            return;
        }
        let Some(slowness_permille) = slowness_of(ran_ms, estimate_ms) else {
            return;
        };
        if self.done.len() == MAX_RUNS {
            self.done.pop_front();
        }
        self.done.push_back(DoneRun {
            at: now,
            slowness_permille,
            is_outdated: false,
        });
        self.forget_before_recovery();
        self.mark_before_slowdown();
    }

    /// Drops the runs before a recovery.
    fn forget_before_recovery(&mut self) {
        let limit_permille = self.reported_permille / 2;
        let is_fast = |run: &DoneRun| run.slowness_permille < limit_permille;
        let has_recovered = self.reported_permille >= MIN_RECOVERY_PERMILLE
            && self.done.len() > RECOVERY_RUNS
            && self.done.iter().rev().take(RECOVERY_RUNS).all(is_fast);
        if has_recovered {
            self.done.drain(..self.done.len() - RECOVERY_RUNS);
        }
    }

    /// Marks the runs before a slowdown as outdated. They are retained, so that the few runs since
    /// then are enough for a measurement.
    ///
    /// The slow runs must also have taken longer than nine in ten of the earlier ones: where the
    /// estimates of some tasks are much too short, several of them in a row show no slowdown.
    fn mark_before_slowdown(&mut self) {
        let Some(earlier_runs) = self.done.len().checked_sub(SLOWDOWN_WINDOW) else {
            return;
        };
        let limit_permille = self.reported_permille.saturating_mul(SLOWDOWN_FACTOR);
        if !self.has_slowed_down(earlier_runs, limit_permille) {
            return;
        }
        let Some(usual_permille) = self.nine_tenths_permille(earlier_runs) else {
            return;
        };
        if self.has_slowed_down(earlier_runs, limit_permille.max(usual_permille)) {
            let earlier = self.done.iter_mut().take(earlier_runs);
            earlier.for_each(|run| run.is_outdated = true);
        }
    }

    /// Whether enough of the runs after the `earlier_runs` first ones exceed the limit.
    fn has_slowed_down(&self, earlier_runs: usize, limit_permille: u16) -> bool {
        let latest = self.done.iter().skip(earlier_runs);
        let slow = latest.filter(|run| run.slowness_permille > limit_permille);
        slow.count() >= SLOWDOWN_RUNS
    }

    /// Slowness that nine in ten of the `earlier_runs` first runs don't exceed; `None` with too few of
    /// them.
    fn nine_tenths_permille(&self, earlier_runs: usize) -> Option<u16> {
        let earlier = self.done.iter().take(earlier_runs);
        let current = earlier.filter(|run| !run.is_outdated);
        let mut slowness: Vec<u16> = current.map(|run| run.slowness_permille).collect();
        if slowness.len() < MIN_RUNS {
            return None;
        }
        slowness.sort_unstable();
        slowness.get(slowness.len() * 9 / 10).copied()
    }

    /// Whether [`Self::measure`] is due.
    pub(crate) fn is_due(&self, now: Instant) -> bool {
        self.measured_at
            .is_none_or(|measured_at| now.millis_since(measured_at) >= MEASURE_INTERVAL_MS)
    }

    /// Updates the slowness.
    ///
    /// `running` contains the time since the start and the estimate of each run that still
    /// executes, in milliseconds. Those that have already taken longer than the median predicts
    /// count as well, so that a worker that becomes slow is detected before its first run ends.
    pub(crate) fn measure(&mut self, now: Instant, running: impl Iterator<Item = (u64, u64)>) {
        self.measured_at = Some(now);
        while self
            .done
            .front()
            .is_some_and(|run| now.millis_since(run.at) >= EXPIRY_MS)
        {
            self.done.pop_front();
        }
        let weighted = |run: &DoneRun| {
            let age_ms = now.millis_since(run.at) as f64;
            (run.slowness_permille, (-age_ms / HALF_LIFE_MS).exp2())
        };
        let outdated_runs = self.done.iter().filter(|run| run.is_outdated).count();
        let current = self.done.iter().filter(|run| !run.is_outdated);
        let mut samples: Vec<(u16, f64)> = current.map(weighted).collect();
        let predicted_permille = if self.done.len() < MIN_RUNS {
            NORMAL_PERMILLE
        } else {
            weighted_median(&mut samples)
        };
        let running = running.filter_map(|(ran_ms, estimate_ms)| slowness_of(ran_ms, estimate_ms));
        let exceeding = running.filter(|slowness_permille| *slowness_permille > predicted_permille);
        samples.extend(exceeding.map(|slowness_permille| {
            let is_far_beyond = slowness_permille / EXCESS_FACTOR > predicted_permille;
            let weight = if is_far_beyond { EXCESS_WEIGHT } else { 1.0 };
            (slowness_permille, weight)
        }));
        let measured_permille = if samples.len() + outdated_runs < MIN_RUNS {
            NORMAL_PERMILLE
        } else {
            weighted_median(&mut samples)
        };
        self.report(measured_permille);
    }

    fn report(&mut self, measured_permille: u16) {
        let (lowest, highest) = REPORT_BOUNDS_PERMILLE;
        let measured_permille = measured_permille.clamp(lowest, highest);
        let change = measured_permille.abs_diff(self.reported_permille);
        if change < MIN_CHANGE_PERMILLE.max(self.reported_permille / MIN_CHANGE_DIVISOR) {
            return;
        }
        self.reported_permille =
            (measured_permille + STEP_PERMILLE / 2) / STEP_PERMILLE * STEP_PERMILLE;
    }

    /// The slowness in thousandths, rounded; it ignores small changes.
    pub(crate) const fn slowness_permille(&self) -> u16 {
        self.reported_permille
    }
}

/// Run time divided by the estimate, in thousandths; `None` without an estimate.
fn slowness_of(ran_ms: u64, estimate_ms: u64) -> Option<u16> {
    let (lowest, highest) = RUN_BOUNDS_PERMILLE;
    let permille = ran_ms.saturating_mul(1_000).checked_div(estimate_ms)?;
    u16::try_from(permille.clamp(lowest, highest)).ok()
}

/// Sorts the samples and returns the smallest one up to which half of the weight lies.
fn weighted_median(samples: &mut [(u16, f64)]) -> u16 {
    samples.sort_unstable_by_key(|(value, _)| *value);
    let total: f64 = samples.iter().map(|(_, weight)| weight).sum();
    let mut sum = 0.0;
    for (value, weight) in samples.iter() {
        sum += weight;
        if sum * 2.0 >= total {
            return *value;
        }
    }
    NORMAL_PERMILLE
}
