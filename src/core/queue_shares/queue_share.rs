//! Demand, level and token bucket of one queue at an entry.

use {
    super::{
        DecayingSum,
        demand_levels::SHARED_CAPACITY,
        level_state::{LevelState, LoggedState},
        queue_bucket::QueueBucket,
        run_cost::RunCost,
    },
    crate::core::time::Instant,
};

/// Level at which all of a queue's demand fits, in thousandths.
pub(crate) const COMPLETE_PERMILLE: u16 = 1_000;
/// Level below which a queue counts as flooding, in thousandths; the demand of a queue with few
/// large jobs varies by a quarter without a flood.
const MIN_FITTING_PERMILLE: u16 = 750;
/// Time constant of the demand, in milliseconds: long enough to cover some jobs of a queue with few
/// large ones, short enough to follow a flood of a few seconds.
const DEMAND_DECAY_MS: u64 = 1_000;
/// Time constant of the recent demand, in milliseconds.
const RECENT_DECAY_MS: u64 = 250;
/// Number of jobs from which the recent demand is used; with fewer, two jobs at once look like a
/// flood.
const MIN_RECENT_JOBS: f64 = 10.0;
/// Time without a job after which a queue is dropped, in milliseconds.
const IDLE_EXPIRY_MS: u64 = 30_000;

/// How a job relates to the share of its queue, in the order of starts.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum ShareClass {
    /// Its queue demands about its share at most.
    ///
    /// Such queues vary around their usual demand, and a queue that demands more than its share has
    /// to make way for that, also if it is more urgent.
    #[default]
    Fitting,
    /// The job is within the share of a queue that demands much more.
    Within,
    /// The job is beyond the share of its queue: it uses only capacity that other queues leave.
    Beyond,
    /// The job is beyond all that the workers can serve of its queue, at any entry.
    Excess,
}

/// What was decided about a job when it arrived.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub(crate) struct ShareGrant {
    pub(crate) class: ShareClass,
    /// Tokens taken for it.
    pub(crate) tokens: f64,
}

/// State of one queue; work is measured in milliseconds of one core.
#[derive(Debug)]
pub(super) struct QueueShare {
    pub(super) priority: u32,
    /// All arriving work.
    demand: DecayingSum,
    /// All arriving work of the last moments.
    recent_demand: DecayingSum,
    /// Number of jobs of the last moments.
    recent_jobs: DecayingSum,
    /// Arriving work within the share.
    within: DecayingSum,
    bucket: QueueBucket,
    /// Tokens for jobs beyond the share.
    loans: QueueBucket,
    pub(super) run_cost: RunCost,
    pub(super) level_permille: u16,
    /// The level by the demands and the capacity of this entry alone.
    pub(super) own_level_permille: u16,
    pub(super) logged_state: LoggedState,
    last_arrival_at: Instant,
}

impl QueueShare {
    pub(super) fn new(now: Instant, priority: u32) -> Self {
        Self {
            priority,
            demand: DecayingSum::new(DEMAND_DECAY_MS),
            recent_demand: DecayingSum::new(RECENT_DECAY_MS),
            recent_jobs: DecayingSum::new(RECENT_DECAY_MS),
            within: DecayingSum::new(DEMAND_DECAY_MS),
            bucket: QueueBucket::new(now),
            loans: QueueBucket::new(now),
            run_cost: RunCost::new(),
            level_permille: COMPLETE_PERMILLE,
            own_level_permille: COMPLETE_PERMILLE,
            logged_state: LoggedState::new(),
            last_arrival_at: now,
        }
    }

    /// Records an arriving job and decides whether it is within the share.
    ///
    /// Tokens count only while the entry is congested; until then no queue takes capacity from another
    /// one. All jobs of a queue whose demand fits are within its share, also when several
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
        self.recent_demand.add(now, work);
        self.recent_jobs.add(now, 1.0);
        let class_if_granted = match self.is_fitting() {
            true => ShareClass::Fitting,
            false => ShareClass::Within,
        };
        let (class, tokens) = match (self.state(), is_congested) {
            (_, false) => (class_if_granted, 0.0),
            (LevelState::Complete, true) => (class_if_granted, self.bucket.drain(now, work)),
            (LevelState::Reduced, true) if self.bucket.take(now, work, is_returning) => {
                (class_if_granted, work)
            }
            (LevelState::Reduced, true) if self.loans.take(now, work, is_returning) => {
                (ShareClass::Beyond, work)
            }
            (LevelState::Reduced, true) => (ShareClass::Excess, 0.0),
        };
        if class < ShareClass::Beyond {
            self.within.add(now, work);
        }
        ShareGrant { class, tokens }
    }

    /// Returns the tokens of a job that was not run.
    pub(super) fn refund(&mut self, grant: ShareGrant) {
        match grant.class {
            ShareClass::Fitting | ShareClass::Within => self.bucket.refund(grant.tokens),
            ShareClass::Beyond | ShareClass::Excess => self.loans.refund(grant.tokens),
        }
    }

    pub(super) fn set_level(&mut self, now: Instant, level_permille: u16) {
        let was_complete = self.level_permille >= COMPLETE_PERMILLE;
        self.level_permille = level_permille;
        let level = f64::from(level_permille) / f64::from(COMPLETE_PERMILLE);
        let share_cores = self.demand_cores(now) * level;
        self.bucket.set_rate(now, share_cores);
        // What is left of the whole capacity, in proportion to the shares.
        let lent_cores = share_cores * (1.0 / SHARED_CAPACITY - 1.0);
        self.loans.set_rate(now, lent_cores);
        if was_complete {
            // The tokens were taken at the rate of the complete demand.
            self.bucket.forgive_debt();
            self.loans.forgive_debt();
        }
    }

    pub(super) fn state(&self) -> LevelState {
        if self.level_permille >= COMPLETE_PERMILLE {
            LevelState::Complete
        } else {
            LevelState::Reduced
        }
    }

    /// Whether the queue demands about its share at most. The entry's own level shows a flood earlier
    /// than the levels of the agents.
    pub(super) fn is_fitting(&self) -> bool {
        self.level_permille.min(self.own_level_permille) >= MIN_FITTING_PERMILLE
    }

    /// Cores that arriving work occupies at a time, by the measured cost of its runs.
    pub(super) fn occupied_cores(&self, now: Instant) -> f64 {
        self.demand_cores(now) * self.run_cost.factor(now)
    }

    /// The same, but a flood of many jobs shows within a quarter of a second.
    pub(super) fn recent_occupied_cores(&self, now: Instant) -> f64 {
        let usual = self.occupied_cores(now);
        if self.recent_jobs.sum_at(now) < MIN_RECENT_JOBS {
            return usual;
        }
        usual.max(self.recent_demand.rate(now) * self.run_cost.factor(now))
    }

    /// Cores that arriving work occupies at a time, by the clients' estimates.
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
