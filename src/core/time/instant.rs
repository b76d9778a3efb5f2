//! Monotonic time as input of the decision logic.

/// A point on the monotonic clock of a process, in microseconds since the process started.
///
/// Instants of different processes can't be compared; messages contain durations instead.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Instant {
    micros: u64,
}

impl Instant {
    /// Creates an instant `micros` microseconds after the process started.
    pub(crate) const fn from_micros(micros: u64) -> Self {
        Self { micros }
    }

    /// Microseconds since the process started.
    pub(crate) const fn as_micros(self) -> u64 {
        self.micros
    }

    /// Creates an instant `millis` milliseconds after the process started.
    #[cfg(test)]
    pub(crate) const fn from_millis(millis: u64) -> Self {
        Self::from_micros(millis * 1_000)
    }

    /// Adds `millis` milliseconds.
    pub(crate) const fn plus_ms(self, millis: u64) -> Self {
        Self::from_micros(self.micros.saturating_add(millis.saturating_mul(1_000)))
    }

    /// Subtracts `millis` milliseconds; saturates at the start of the process.
    pub(crate) const fn minus_ms(self, millis: u64) -> Self {
        Self::from_micros(self.micros.saturating_sub(millis.saturating_mul(1_000)))
    }

    /// Adds `micros` microseconds.
    pub(crate) const fn plus_micros(self, micros: u64) -> Self {
        Self::from_micros(self.micros.saturating_add(micros))
    }

    /// Subtracts `micros` microseconds; saturates at the start of the process.
    pub(crate) const fn minus_micros(self, micros: u64) -> Self {
        Self::from_micros(self.micros.saturating_sub(micros))
    }

    /// Whole milliseconds from `earlier` to this instant; zero if `earlier` is later.
    pub(crate) const fn millis_since(self, earlier: Self) -> u64 {
        self.micros_since(earlier) / 1_000
    }

    /// Microseconds from `earlier` to this instant; zero if `earlier` is later.
    pub(crate) const fn micros_since(self, earlier: Self) -> u64 {
        self.micros.saturating_sub(earlier.micros)
    }
}
