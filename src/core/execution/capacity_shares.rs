//! Shares of a worker's capacity for the entries that use it.

/// An entry's demand counts as at least the mean demand divided by this, so that an entry without
/// recent jobs, or one beside others with exaggerated demands, is not left without a share.
const MIN_DEMAND_DIVISOR: u64 = 2;
/// Shares are multiples of this, in thousandths, since each change is reported to the entry.
const SHARE_STEP_PERMILLE: u64 = 20;

/// Divides a worker's capacity among entries by their demand.
///
/// A load balancer spreads clients over the entries of their own availability zone. Where a zone has
/// fewer entries, each of them has more work, and equal shares would refuse jobs of that zone only.
#[derive(Debug, Clone, Copy)]
pub(super) struct CapacityShares {
    total_milli: u64,
    min_milli: u64,
}

impl CapacityShares {
    /// Takes the demand of each entry, in thousandths of a task at a time.
    pub(super) fn new(demands_milli: impl Iterator<Item = u32> + Clone) -> Self {
        let entries = demands_milli.clone().count().max(1) as u64;
        let sum_milli: u64 = demands_milli.clone().map(u64::from).sum();
        let min_milli = (sum_milli / entries / MIN_DEMAND_DIVISOR).max(1);
        let at_least_min = |demand_milli: u32| u64::from(demand_milli).max(min_milli);
        Self {
            total_milli: demands_milli.map(at_least_min).sum::<u64>().max(1),
            min_milli,
        }
    }

    /// The share of an entry with this demand, in thousandths.
    pub(super) fn permille_of(self, demand_milli: u32) -> u16 {
        let demand_milli = u64::from(demand_milli).max(self.min_milli);
        let share_permille = demand_milli * 1_000 / self.total_milli;
        let rounded = share_permille.next_multiple_of(SHARE_STEP_PERMILLE);
        u16::try_from(rounded.min(1_000)).unwrap_or(1_000)
    }
}
