//! Histograms of recent run times.

use {hdrhistogram::Histogram, std::collections::BTreeMap};

/// Run times above this are recorded as this value, in milliseconds.
const MAX_RUN_MS: u64 = 600_000;
/// Significant decimal digits of a recorded run time.
const SIGNIFICANT_DIGITS: u8 = 2;
/// Runs after which a new histogram replaces the current one, so that old runs stop counting.
const RUNS_PER_WINDOW: u64 = 1_000;
/// Runs needed before the histogram is used instead of the time declared by clients.
const MIN_RUNS: u64 = 20;

/// Run times of one service, in the current and the previous window.
#[derive(Debug)]
struct ServiceTimes {
    current: Histogram<u32>,
    previous: Option<Histogram<u32>>,
}

/// Run times by service.
#[derive(Debug, Default)]
pub(crate) struct RunTimes {
    services: BTreeMap<String, ServiceTimes>,
}

fn new_histogram() -> Option<Histogram<u32>> {
    Histogram::new_with_bounds(1, MAX_RUN_MS, SIGNIFICANT_DIGITS).ok()
}

impl RunTimes {
    /// Records a task's run time.
    pub(crate) fn record(&mut self, service: &str, run_ms: u64) {
        if !self.services.contains_key(service) {
            let Some(current) = new_histogram() else {
                return;
            };
            let times = ServiceTimes {
                current,
                previous: None,
            };
            self.services.insert(service.to_owned(), times);
        }
        if let Some(times) = self.services.get_mut(service) {
            times.current.saturating_record(run_ms);
            if times.current.len() >= RUNS_PER_WINDOW
                && let Some(next) = new_histogram()
            {
                times.previous = Some(std::mem::replace(&mut times.current, next));
            }
        }
    }

    /// The run time at this quantile, if enough runs are recorded.
    pub(crate) fn quantile_ms(&self, service: &str, quantile: f64) -> Option<u64> {
        let times = self.services.get(service)?;
        if times.current.len() >= MIN_RUNS {
            return Some(times.current.value_at_quantile(quantile));
        }
        let previous = times.previous.as_ref()?;
        Some(previous.value_at_quantile(quantile))
    }

    /// The median run time, or the declared one until enough runs are recorded.
    pub(crate) fn expected_ms(&self, service: &str, declared_ms: u64) -> u64 {
        self.quantile_ms(service, 0.5).unwrap_or(declared_ms)
    }
}
