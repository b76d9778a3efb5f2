//! The monotonic time that every decision machine is fed with.

/// A point on one process's monotonic clock, in microseconds since that process started.
///
/// Instants of different processes can't be compared; durations cross the wire, instants never.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Instant {
    micros: u64,
}

impl Instant {
    /// The instant `micros` microseconds after the process started.
    pub(crate) const fn from_micros(micros: u64) -> Self {
        Self { micros }
    }

    /// Microseconds since the process started.
    pub(crate) const fn as_micros(self) -> u64 {
        self.micros
    }

    /// The instant `millis` milliseconds after the process started.
    #[cfg(test)]
    pub(crate) const fn from_millis(millis: u64) -> Self {
        Self::from_micros(millis * 1_000)
    }

    /// This instant moved `millis` milliseconds into the future.
    pub(crate) const fn plus_ms(self, millis: u64) -> Self {
        Self::from_micros(self.micros.saturating_add(millis.saturating_mul(1_000)))
    }

    /// This instant moved `millis` milliseconds into the past, not before the process's start.
    pub(crate) const fn minus_ms(self, millis: u64) -> Self {
        Self::from_micros(self.micros.saturating_sub(millis.saturating_mul(1_000)))
    }

    /// This instant moved `micros` microseconds into the future.
    pub(crate) const fn plus_micros(self, micros: u64) -> Self {
        Self::from_micros(self.micros.saturating_add(micros))
    }

    /// This instant moved `micros` microseconds into the past, not before the process's start.
    pub(crate) const fn minus_micros(self, micros: u64) -> Self {
        Self::from_micros(self.micros.saturating_sub(micros))
    }

    /// Whole milliseconds from `earlier` to this instant, zero if `earlier` is later.
    pub(crate) const fn millis_since(self, earlier: Self) -> u64 {
        self.micros_since(earlier) / 1_000
    }

    /// Microseconds from `earlier` to this instant, zero if `earlier` is later.
    pub(crate) const fn micros_since(self, earlier: Self) -> u64 {
        self.micros.saturating_sub(earlier.micros)
    }
}
