//! Learnt run times.

use {hdrhistogram::Histogram, std::collections::BTreeMap};

/// Longest run time told apart from longer ones, in milliseconds.
const MAX_RUN_MS: u64 = 600_000;
/// Digits that are kept of each run time.
const SIGNIFICANT_DIGITS: u8 = 2;
/// Runs after which a distribution is set aside and a new one begun, so that old runs fade.
const RUNS_PER_WINDOW: u64 = 1_000;
/// Runs before what was learnt replaces what clients declare.
const MIN_RUNS: u64 = 20;

/// Run times of one service: those of late, and those before.
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
    /// Takes in how long a task ran.
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

    /// The run time that this share of tasks stays below, if enough runs are known.
    pub(crate) fn quantile_ms(&self, service: &str, quantile: f64) -> Option<u64> {
        let times = self.services.get(service)?;
        if times.current.len() >= MIN_RUNS {
            return Some(times.current.value_at_quantile(quantile));
        }
        let previous = times.previous.as_ref()?;
        Some(previous.value_at_quantile(quantile))
    }

    /// How long a task is expected to run: the learnt median, or what is declared until then.
    pub(crate) fn expected_ms(&self, service: &str, declared_ms: u64) -> u64 {
        self.quantile_ms(service, 0.5).unwrap_or(declared_ms)
    }
}
