//! What the ends of its tasks say about one runner.

use {super::EjectionReason, crate::core::time::Instant};

/// Failures in a row after which a runner is left alone.
const FAILURES: u8 = 3;
/// Slow tasks in a row after which a runner is left alone.
///
/// One task in a hundred is that slow elsewhere, so a sound runner is left alone once in a million.
const SLOW_TASKS: u8 = 3;
/// Good ends in a row by which a runner on probation is trusted again.
const GOOD_ENDS: u8 = 3;
/// First time for which a runner is left alone; doubled each time, in milliseconds.
const FIRST_EJECTION_MS: u64 = 1_000;
/// Doublings at most.
const MOST_DOUBLINGS: u8 = 5;

/// How one task ended, as far as it says something about its runner.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum HealthSample {
    /// Done in a usual time.
    Good,
    /// Done, and well beyond what nine in ten tasks of the service take.
    Slow,
    /// Failed, lost or refused by the backend server.
    Failed,
}

/// How far a runner is trusted.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
enum Trust {
    /// Like any other.
    #[default]
    Full,
    /// Given nothing before that time, then one task at a time.
    Probation { from: Instant, good_ends: u8 },
}

/// The record of one runner.
///
/// Guards against a worker that fails whatever it starts, at once: it always has the most free
/// slots, and without this record it would attract the load and fail all of it.
#[derive(Debug, Default)]
pub(crate) struct RunnerHealth {
    trust: Trust,
    failures: u8,
    slow_tasks: u8,
    doublings: u8,
}

impl RunnerHealth {
    /// Takes in how a task ended there; a reason if that makes it one to be left alone.
    pub(crate) fn record(&mut self, now: Instant, end: HealthSample) -> Option<EjectionReason> {
        match end {
            HealthSample::Good => {
                self.failures = 0;
                self.slow_tasks = 0;
                self.note_good_end();
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
        let on_probation = self.trust != Trust::Full;
        if self.failures >= FAILURES || (on_probation && self.failures > 0) {
            return Some(EjectionReason::Failing);
        }
        (self.slow_tasks >= SLOW_TASKS).then_some(EjectionReason::Slow)
    }

    fn eject(&mut self, now: Instant) {
        let left_alone_ms = FIRST_EJECTION_MS << self.doublings;
        self.doublings = (self.doublings + 1).min(MOST_DOUBLINGS);
        self.trust = Trust::Probation {
            from: now.plus_ms(left_alone_ms),
            good_ends: 0,
        };
    }

    fn note_good_end(&mut self) {
        if let Trust::Probation { good_ends, .. } = &mut self.trust {
            *good_ends += 1;
            if *good_ends >= GOOD_ENDS {
                *self = Self::default();
            }
        }
    }

    /// Whether nothing speaks against it: it is trusted, and its last task ended well.
    pub(crate) fn is_healthy(&self) -> bool {
        self.trust == Trust::Full && self.failures == 0 && self.slow_tasks == 0
    }

    /// Whether it is given nothing at all now.
    pub(crate) fn is_ejected(&self, now: Instant) -> bool {
        matches!(self.trust, Trust::Probation { from, .. } if now < from)
    }

    /// Most tasks that it is given at a time.
    pub(crate) fn most_tasks(&self, now: Instant) -> u16 {
        match self.trust {
            Trust::Full => u16::MAX,
            Trust::Probation { from, .. } => u16::from(now >= from),
        }
    }
}
