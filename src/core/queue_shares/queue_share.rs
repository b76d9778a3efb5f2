//! Demand, level and token bucket of one queue at an entry.

use {
    super::{
        DecayingSum,
        level_state::{LevelState, LoggedState},
        queue_bucket::QueueBucket,
    },
    crate::core::time::Instant,
};

/// Level at which all of a queue's demand fits, in thousandths.
pub(crate) const COMPLETE_PERMILLE: u16 = 1_000;
/// Time constant of the demand, in milliseconds: long enough to cover some jobs of a queue with few
/// large ones, short enough to follow a flood of a few seconds.
const DEMAND_DECAY_MS: u64 = 1_000;
/// Time without a job after which a queue is dropped, in milliseconds.
const IDLE_EXPIRY_MS: u64 = 30_000;

/// How a job relates to the share of its queue.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub(crate) struct ShareGrant {
    /// The job is beyond the share of its queue: it uses only capacity that other queues leave.
    pub(crate) is_beyond: bool,
    /// Tokens taken for it.
    pub(crate) tokens: f64,
}

/// State of one queue; work is measured in milliseconds of one core.
#[derive(Debug)]
pub(super) struct QueueShare {
    pub(super) priority: u32,
    /// All arriving work.
    demand: DecayingSum,
    /// Arriving work within the share.
    within: DecayingSum,
    bucket: QueueBucket,
    pub(super) level_permille: u16,
    pub(super) logged_state: LoggedState,
    last_arrival_at: Instant,
}

impl QueueShare {
    pub(super) fn new(now: Instant, priority: u32) -> Self {
        Self {
            priority,
            demand: DecayingSum::new(DEMAND_DECAY_MS),
            within: DecayingSum::new(DEMAND_DECAY_MS),
            bucket: QueueBucket::new(now),
            level_permille: COMPLETE_PERMILLE,
            logged_state: LoggedState::new(),
            last_arrival_at: now,
        }
    }

    /// Records an arriving job and decides whether it is within the share.
    ///
    /// Tokens count only while tasks wait at the entry; until then no queue takes capacity from
    /// another one. All jobs of a queue whose demand fits are within its share, also when several
    /// arrive at once.
    pub(super) fn admit(
        &mut self,
        now: Instant,
        work: f64,
        is_congested: bool,
        is_returning: bool,
    ) -> ShareGrant {
        self.last_arrival_at = now;
        self.demand.add(now, work);
        let grant = match is_congested {
            false => ShareGrant::default(),
            true if self.level_permille >= COMPLETE_PERMILLE => ShareGrant {
                is_beyond: false,
                tokens: self.bucket.drain(now, work),
            },
            true if self.bucket.take(now, work, is_returning) => ShareGrant {
                is_beyond: false,
                tokens: work,
            },
            true => ShareGrant {
                is_beyond: true,
                tokens: 0.0,
            },
        };
        if !grant.is_beyond {
            self.within.add(now, work);
        }
        grant
    }

    pub(super) fn refund(&mut self, tokens: f64) {
        self.bucket.refund(tokens);
    }

    pub(super) fn set_level(&mut self, now: Instant, level_permille: u16) {
        let was_complete = self.level_permille >= COMPLETE_PERMILLE;
        self.level_permille = level_permille;
        let level = f64::from(level_permille) / f64::from(COMPLETE_PERMILLE);
        self.bucket.set_rate(now, self.demand_cores(now) * level);
        if was_complete {
            // The tokens were taken at the rate of the complete demand.
            self.bucket.forgive_debt();
        }
    }

    pub(super) fn state(&self) -> LevelState {
        if self.level_permille >= COMPLETE_PERMILLE {
            LevelState::Complete
        } else {
            LevelState::Reduced
        }
    }

    /// Cores that arriving work occupies at a time.
    pub(super) fn demand_cores(&self, now: Instant) -> f64 {
        self.demand.rate(now)
    }

    /// The part of the demand that is within the share.
    pub(super) fn within_cores(&self, now: Instant) -> f64 {
        self.within.rate(now)
    }

    pub(super) fn is_idle(&self, now: Instant) -> bool {
        now.millis_since(self.last_arrival_at) >= IDLE_EXPIRY_MS
    }
}
