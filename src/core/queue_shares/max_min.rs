//! Weighted max-min fair division of a capacity.

/// What one queue demands, and its weight against the others.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct ShareClaim {
    pub(super) demand: f64,
    pub(super) weight: f64,
}

impl ShareClaim {
    /// A claim of a queue with this priority; zero is the most urgent one.
    pub(super) fn new(demand: f64, priority: u32) -> Self {
        Self {
            demand,
            weight: 1.0 / (1.0 + f64::from(priority)),
        }
    }
}

/// Divides the capacity: no claim gets more than it demands, and what it leaves goes to the others
/// in proportion to their weights. Returns one share for each claim, in their order.
pub(super) fn max_min_shares(capacity: f64, claims: &[ShareClaim]) -> Vec<f64> {
    let saturation = |claim: &ShareClaim| claim.demand / claim.weight;
    let mut order: Vec<usize> = (0..claims.len()).collect();
    order.sort_by(|a, b| {
        let saturation_of = |index: &usize| claims.get(*index).map_or(0.0, saturation);
        saturation_of(a).total_cmp(&saturation_of(b))
    });
    let mut capacity_left = capacity.max(0.0);
    let mut weight_left: f64 = claims.iter().map(|claim| claim.weight).sum();
    let mut shares = vec![0.0; claims.len()];
    for index in order {
        let (Some(claim), Some(share)) = (claims.get(index), shares.get_mut(index)) else {
            continue;
        };
        let fair_share = capacity_left * claim.weight / weight_left;
        *share = claim.demand.min(fair_share);
        capacity_left -= *share;
        weight_left -= claim.weight;
    }
    shares
}
