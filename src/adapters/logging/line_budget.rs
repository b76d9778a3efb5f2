//! How many lines a process may write.

use {crate::ports::LogPriority, std::collections::BTreeMap};

/// Bytes a second: at a peak of 100 jobs a second an entry writes some 40 KB of job lines.
const BYTES_PER_S: u64 = 96 * 1_024;
/// Bytes that may come at once.
const BURST_BYTES: u64 = 256 * 1_024;
/// Share of the burst that is kept for notable lines.
const KEPT_FOR_NOTABLE: u64 = BURST_BYTES / 2;
/// Pause between lines that tell what was dropped, in milliseconds.
const TELL_PERIOD_MS: u64 = 1_000;

/// A bucket of bytes; routine lines are dropped first.
#[derive(Debug)]
pub(super) struct LineBudget {
    bytes: u64,
    filled_at_ms: u64,
    dropped: BTreeMap<String, u64>,
    told_at_ms: u64,
}

impl Default for LineBudget {
    fn default() -> Self {
        Self {
            bytes: BURST_BYTES,
            filled_at_ms: 0,
            dropped: BTreeMap::new(),
            told_at_ms: 0,
        }
    }
}

impl LineBudget {
    /// Takes a line's bytes out of the bucket, if they are there for its rank.
    pub(super) fn take(&mut self, now_ms: u64, rank: LogPriority, bytes: usize) -> bool {
        let elapsed_ms = now_ms.saturating_sub(self.filled_at_ms);
        let filled = elapsed_ms * BYTES_PER_S / 1_000;
        if filled > 0 {
            self.bytes = (self.bytes + filled).min(BURST_BYTES);
            self.filled_at_ms = now_ms;
        }
        let kept = match rank {
            LogPriority::Routine => KEPT_FOR_NOTABLE,
            LogPriority::Notable => 0,
        };
        let bytes = bytes as u64;
        if self.bytes < kept + bytes {
            return false;
        }
        self.bytes -= bytes;
        true
    }

    /// Counts a line that was dropped.
    pub(super) fn drop_line(&mut self, event: &str) {
        *self.dropped.entry(event.to_owned()).or_default() += 1;
    }

    /// What was dropped since this was last told, now and then.
    pub(super) fn dropped_to_tell(&mut self, now_ms: u64) -> Option<BTreeMap<String, u64>> {
        if self.dropped.is_empty() || now_ms.saturating_sub(self.told_at_ms) < TELL_PERIOD_MS {
            return None;
        }
        self.told_at_ms = now_ms;
        Some(std::mem::take(&mut self.dropped))
    }
}
