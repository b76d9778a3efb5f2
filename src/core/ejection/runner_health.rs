//! What the ends of its tasks say about one runner.

use {super::EjectionReason, crate::core::time::Instant};

/// Failures in a row after which a runner is left alone.
const FAILURE_THRESHOLD: u8 = 3;
/// Slow tasks in a row after which a runner is left alone.
///
/// One task in a hundred is that slow elsewhere, so a sound runner is left alone once in a million.
const SLOW_TASK_THRESHOLD: u8 = 3;
/// Good ends in a row by which a runner on probation is trusted again.
const PROBATION_SUCCESSES: u8 = 3;
/// First time for which a runner is left alone; doubled each time, in milliseconds.
const INITIAL_EJECTION_MS: u64 = 1_000;
/// Doublings at most.
const MAX_DOUBLINGS: u8 = 5;

/// How one task ended, as far as it says something about its runner.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum HealthSample {
    /// Done in a usual time.
    Success,
    /// Done, and well beyond what nine in ten tasks of the service take.
    Slow,
    /// Failed, lost or refused by the backend server.
    Failed,
}

/// How far a runner is trusted.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
enum EjectionState {
    /// Like any other.
    #[default]
    InService,
    /// Given nothing before that time, then one task at a time.
    Probation { from: Instant, successes: u8 },
}

/// The record of one runner.
///
/// Guards against a worker that fails whatever it starts, at once: it always has the most free
/// slots, and without this record it would attract the load and fail all of it.
#[derive(Debug, Default)]
pub(crate) struct RunnerHealth {
    state: EjectionState,
    failures: u8,
    slow_tasks: u8,
    doublings: u8,
}

impl RunnerHealth {
    /// Takes in how a task ended there; a reason if that makes it one to be left alone.
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
        // Tasks that it was given before may still end while it is left alone.
        if !self.is_ejected(now) {
            self.eject(now);
            return Some(reason);
        }
        None
    }

    /// On probation a single bad end is enough: slow tasks are counted on until a good end.
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

    /// Whether nothing speaks against it: it is trusted, and its last task ended well.
    pub(crate) fn is_healthy(&self) -> bool {
        self.state == EjectionState::InService && self.failures == 0 && self.slow_tasks == 0
    }

    /// Whether it is given nothing at all now.
    pub(crate) fn is_ejected(&self, now: Instant) -> bool {
        matches!(self.state, EjectionState::Probation { from, .. } if now < from)
    }

    /// Most tasks that it is given at a time.
    pub(crate) fn max_tasks(&self, now: Instant) -> u16 {
        match self.state {
            EjectionState::InService => u16::MAX,
            EjectionState::Probation { from, .. } => u16::from(now >= from),
        }
    }
}
