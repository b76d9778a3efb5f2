//! Rate limit of log lines.

use {crate::ports::LogPriority, std::collections::BTreeMap};

/// Sustained rate of log lines.
const BYTES_PER_S: u64 = 96 * 1_024;
const BURST_BYTES: u64 = 256 * 1_024;
/// Part of the burst that is reserved for notable lines.
const NOTABLE_RESERVE_BYTES: u64 = BURST_BYTES / 2;
/// Interval between lines that report dropped lines.
const DROP_REPORT_INTERVAL_MS: u64 = 1_000;

/// Token bucket of bytes; routine lines are dropped first.
#[derive(Debug)]
pub(super) struct LineBudget {
    bytes: u64,
    refilled_at_ms: u64,
    dropped: BTreeMap<String, u64>,
    reported_at_ms: u64,
}

impl Default for LineBudget {
    fn default() -> Self {
        Self {
            bytes: BURST_BYTES,
            refilled_at_ms: 0,
            dropped: BTreeMap::new(),
            reported_at_ms: 0,
        }
    }
}

impl LineBudget {
    /// Consumes a line's bytes; false if the bucket has too few for its priority.
    pub(super) fn try_consume(&mut self, now_ms: u64, priority: LogPriority, bytes: usize) -> bool {
        let elapsed_ms = now_ms.saturating_sub(self.refilled_at_ms);
        let refill = elapsed_ms * BYTES_PER_S / 1_000;
        if refill > 0 {
            self.bytes = (self.bytes + refill).min(BURST_BYTES);
            self.refilled_at_ms = now_ms;
        }
        let reserved = match priority {
            LogPriority::Routine => NOTABLE_RESERVE_BYTES,
            LogPriority::Notable => 0,
        };
        let bytes = bytes as u64;
        if self.bytes < reserved + bytes {
            return false;
        }
        self.bytes -= bytes;
        true
    }

    pub(super) fn record_dropped(&mut self, event: &str) {
        *self.dropped.entry(event.to_owned()).or_default() += 1;
    }

    /// Counts lines again whose report was dropped.
    pub(super) fn restore_dropped(&mut self, dropped: BTreeMap<String, u64>) {
        for (event, count) in dropped {
            *self.dropped.entry(event).or_default() += count;
        }
    }

    /// Returns the dropped lines by event, at most once per interval.
    pub(super) fn drain_dropped(&mut self, now_ms: u64) -> Option<BTreeMap<String, u64>> {
        if self.dropped.is_empty()
            || now_ms.saturating_sub(self.reported_at_ms) < DROP_REPORT_INTERVAL_MS
        {
            return None;
        }
        self.reported_at_ms = now_ms;
        Some(std::mem::take(&mut self.dropped))
    }
}
