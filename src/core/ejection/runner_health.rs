//! Health of one runner, derived from the results of its tasks.

use {super::EjectionReason, crate::core::time::Instant};

/// Consecutive failures after which a runner is ejected.
const FAILURE_THRESHOLD: u8 = 3;
/// Slow tasks since the last success after which a runner is ejected. One task in a hundred is slow
/// on a healthy runner, so it is ejected by chance once in a million tasks.
const SLOW_TASK_THRESHOLD: u8 = 3;
/// Consecutive successes after which a runner on probation returns to service.
const PROBATION_SUCCESSES: u8 = 3;
/// Duration of the first ejection, in milliseconds; doubles with each further one.
const INITIAL_EJECTION_MS: u64 = 1_000;
/// Maximum number of doublings.
const MAX_DOUBLINGS: u8 = 5;

/// The result of one task as a sample of its runner's health.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum HealthSample {
    /// Finished in a usual time.
    Success,
    /// Ran much longer than nine in ten tasks of the service.
    Slow,
    /// Failed, lost or rejected by the backend server.
    Failed,
}

/// Whether a runner receives tasks.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
enum EjectionState {
    /// Receives tasks without limits.
    #[default]
    InService,
    /// Ejected until `from`, then limited to one task at a time.
    Probation { from: Instant, successes: u8 },
}

/// Tracks the task results of one runner and decides on its ejection.
///
/// A runner whose tasks fail at once always has the most free slots. Without ejection it would
/// attract most of the load.
#[derive(Debug, Default)]
pub(crate) struct RunnerHealth {
    state: EjectionState,
    failures: u8,
    slow_tasks: u8,
    doublings: u8,
}

impl RunnerHealth {
    /// Records a task's result; returns a reason if the runner is ejected because of it.
    pub(crate) fn record(&mut self, now: Instant, sample: HealthSample) -> Option<EjectionReason> {
        match sample {
            HealthSample::Success => {
                self.failures = 0;
                self.slow_tasks = 0;
                self.record_success();
                return None;
            }
            HealthSample::Slow => {
                self.failures = 0;
                self.slow_tasks = self.slow_tasks.saturating_add(1);
            }
            HealthSample::Failed => self.failures = self.failures.saturating_add(1),
        }
        let reason = self.reason()?;
        // Tasks sent before the ejection may still finish during it.
        if !self.is_ejected(now) {
            self.eject(now);
            return Some(reason);
        }
        None
    }

    /// Why the runner must be ejected, if it must.
    ///
    /// On probation a single failure is enough. So is a single slow task after an ejection for
    /// slowness, because only a success resets `slow_tasks`.
    fn reason(&self) -> Option<EjectionReason> {
        let on_probation = self.state != EjectionState::InService;
        if self.failures >= FAILURE_THRESHOLD || (on_probation && self.failures > 0) {
            return Some(EjectionReason::Failing);
        }
        (self.slow_tasks >= SLOW_TASK_THRESHOLD).then_some(EjectionReason::Slow)
    }

    fn eject(&mut self, now: Instant) {
        let ejection_ms = INITIAL_EJECTION_MS << self.doublings;
        self.doublings = (self.doublings + 1).min(MAX_DOUBLINGS);
        self.state = EjectionState::Probation {
            from: now.plus_ms(ejection_ms),
            successes: 0,
        };
    }

    fn record_success(&mut self) {
        if let EjectionState::Probation { successes, .. } = &mut self.state {
            *successes += 1;
            if *successes >= PROBATION_SUCCESSES {
                *self = Self::default();
            }
        }
    }

    /// Whether it is in service and has had no failed or slow task since its last success.
    pub(crate) fn is_healthy(&self) -> bool {
        self.state == EjectionState::InService && self.failures == 0 && self.slow_tasks == 0
    }

    /// Whether it must not receive any task now.
    pub(crate) fn is_ejected(&self, now: Instant) -> bool {
        matches!(self.state, EjectionState::Probation { from, .. } if now < from)
    }

    /// Maximum number of concurrent tasks.
    pub(crate) fn max_tasks(&self, now: Instant) -> u16 {
        match self.state {
            EjectionState::InService => u16::MAX,
            EjectionState::Probation { from, .. } => u16::from(now >= from),
        }
    }
}
