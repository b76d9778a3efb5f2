//! Speeds of the workers of one service, as an entry compares them.

use super::NORMAL_PERMILLE;

/// Speeds count as uneven if a fifth of the workers is slower than another fifth by more than this
/// factor: a quarter. The median of 32 runs is off by 9%, so the extremes of many equal workers
/// would differ by more.
const UNEVEN_FACTOR: f64 = 1.25;
/// Share of the workers left out at each end: one in five.
const EXTREME_DIVISOR: usize = 5;
/// Speeds also count as uneven if one worker is slower than the median by this factor, far beyond
/// the error of a measurement.
const OUTLIER_FACTOR: f64 = 1.75;

/// What the workers of a service have in common.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct ServiceSpeed {
    /// Slowness that counts as one.
    normal_permille: u16,
    /// The speeds differ by more than a quarter.
    pub(crate) is_uneven: bool,
}

impl Default for ServiceSpeed {
    /// Speeds of unknown workers.
    fn default() -> Self {
        Self {
            normal_permille: NORMAL_PERMILLE,
            is_uneven: false,
        }
    }
}

impl ServiceSpeed {
    /// Compares the workers of a service by their slowness in thousandths.
    pub(crate) fn from_workers(mut slowness_permille: Vec<u16>) -> Self {
        slowness_permille.sort_unstable();
        let count = slowness_permille.len();
        let at = |index: usize| slowness_permille.get(index).copied().map(f64::from);
        let last = count.saturating_sub(1);
        let extremes = count / EXTREME_DIVISOR;
        let (Some(fast), Some(median), Some(slow), Some(slowest)) = (
            at(extremes),
            at(last / 2),
            at(last.saturating_sub(extremes)),
            at(last),
        ) else {
            return Self::default();
        };
        let normal_permille = slowness_permille.get(last / 2).copied();
        Self {
            normal_permille: normal_permille.unwrap_or(NORMAL_PERMILLE),
            is_uneven: slow > fast * UNEVEN_FACTOR || slowest > median * OUTLIER_FACTOR,
        }
    }

    /// Slowness of a worker, from which an error is removed that makes all estimates too short.
    ///
    /// Such an error would make all workers look too slow for any objective. Where most workers are
    /// faster than estimated, the figure is left as it is, since it then predicts run times.
    pub(crate) fn relative_slowness(self, slowness_permille: u16) -> f64 {
        f64::from(slowness_permille) / f64::from(self.normal_permille.max(NORMAL_PERMILLE))
    }
}
