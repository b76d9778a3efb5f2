//! How long clients wait for an answer, and how much of that a job has used up when it comes.

use {crate::core::routes::Route, std::collections::BTreeMap};

/// Weight of a job that has more time left than the usual, in the learnt figure.
const INCREASE_WEIGHT: f64 = 0.3;
/// Weight of one that has less: jobs that come again after a break have less, and many of them come together.
const DECREASE_WEIGHT: f64 = 0.02;
/// A job with less than this share of the usual time left has been sent before.
///
/// Guards against a time-out in the configuration that is longer than clients of the queue wait: all of its
/// jobs would seem to come again.
const MIN_TIME_LEFT_SHARE: f64 = 0.7;

/// The time that clients of each queue usually have left when their jobs come.
#[derive(Debug, Default)]
pub(super) struct ClientDeadlines {
    usual_ms: BTreeMap<String, f64>,
}

impl ClientDeadlines {
    /// Takes in how much time a job has left; for how long its client has waited already, at least.
    ///
    /// Load that this answers: clients that come back after an outage, all within a second. The time that they
    /// have left counts from their first try, and a fresh client waits for the queue's time-out or longer.
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
