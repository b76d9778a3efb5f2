//! Estimates how long a job's client has already waited, from the time left until its deadline.

use {crate::core::routes::Route, std::collections::BTreeMap};

/// Weight of a job with more than the usual time left, in the moving average.
const INCREASE_WEIGHT: f64 = 0.3;
/// Weight of a job with less than the usual time left; low because jobs that are submitted again
/// have less time left.
const DECREASE_WEIGHT: f64 = 0.02;
/// A job with less than this share of the usual time left counts as submitted again.
///
/// Clients may wait for less than the route's timeout; compared with that alone, all their jobs would
/// seem to be submitted again.
const MIN_TIME_LEFT_SHARE: f64 = 0.7;

/// Moving average of the time left at submission, by route.
#[derive(Debug, Default)]
pub(super) struct ClientDeadlines {
    usual_ms: BTreeMap<String, f64>,
}

impl ClientDeadlines {
    /// Records a job's time left and returns how long its client has waited at least.
    ///
    /// After an outage all clients submit their jobs again within a second. Their time left counts
    /// from their first attempt, while a new client waits for the route's timeout or longer.
    pub(super) fn estimate_waited_ms(&mut self, route: &Route, time_left_ms: u64) -> u64 {
        let left_ms = time_left_ms as f64;
        let usual_ms = self.usual_ms.entry(route.name.clone()).or_insert(left_ms);
        let weight = if left_ms > *usual_ms {
            INCREASE_WEIGHT
        } else {
            DECREASE_WEIGHT
        };
        *usual_ms += (left_ms - *usual_ms) * weight;
        let expected_ms = route
            .timeout_ms
            .min((*usual_ms * MIN_TIME_LEFT_SHARE) as u64);
        expected_ms.saturating_sub(time_left_ms)
    }
}
