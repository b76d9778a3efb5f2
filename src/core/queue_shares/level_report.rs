//! Levels that an agent has reported.

use crate::core::{
    link::{MAX_REPORTED_QUEUES, QueueLevel},
    time::Instant,
};

/// Time after which a report is no longer used, in milliseconds.
const REPORT_EXPIRY_MS: u64 = 2_000;
/// Minimum number of levels for a median; with two, one wrong figure would count.
const MIN_LEVELS: usize = 3;

/// The latest levels from one agent.
#[derive(Debug, Default)]
pub(crate) struct LevelReport {
    levels: Vec<QueueLevel>,
    received_at: Option<Instant>,
}

impl LevelReport {
    pub(crate) fn record(&mut self, now: Instant, mut levels: Vec<QueueLevel>) {
        levels.truncate(MAX_REPORTED_QUEUES);
        self.levels = levels;
        self.received_at = Some(now);
    }

    /// The queue's level, if the report is recent and contains it.
    fn level_of(&self, now: Instant, queue: &str) -> Option<u16> {
        let received_at = self.received_at?;
        if now.millis_since(received_at) >= REPORT_EXPIRY_MS {
            return None;
        }
        let level = self.levels.iter().find(|level| &*level.queue == queue)?;
        Some(level.level_permille)
    }

    /// Median of the queue's levels, in thousandths; `None` with too few of them. Wrong or outdated
    /// figures of a minority of the agents don't move it beyond the figures of the others.
    pub(super) fn median(reports: &[&Self], now: Instant, queue: &str) -> Option<u16> {
        let levels = reports.iter();
        let mut levels: Vec<u16> = levels
            .filter_map(|report| report.level_of(now, queue))
            .collect();
        if levels.len() < MIN_LEVELS {
            return None;
        }
        let middle = levels.len() / 2;
        let (_, median, _) = levels.select_nth_unstable(middle);
        Some(*median)
    }
}
