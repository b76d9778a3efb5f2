//! Tests of admission while the agents of a new entry are still connecting.

use super::{TestDispatcher, job, step};

/// Workers of an entry; each runs two tasks at a time.
const WORKERS: u64 = 10;

impl TestDispatcher {
    /// Submits jobs of one task each; returns how many of them were refused at once.
    fn submit_jobs(&mut self, numbers: std::ops::Range<u64>) -> usize {
        let refused = numbers.filter(|number| {
            self.submit(job(*number, 0, vec![step(1, 500)]));
            !self.outcomes().is_empty()
        });
        refused.count()
    }

    /// Advances time in ticks; returns the number of outcomes.
    fn outcomes_within_ms(&mut self, span_ms: u64) -> usize {
        let ticks = (0..span_ms / 20).map(|_| {
            self.advance_ms(20);
            self.outcomes().len()
        });
        ticks.sum()
    }
}

/// An entry that has just started would refuse jobs for which its other workers have free capacity.
#[test]
fn no_job_is_refused_while_workers_are_still_connecting() {
    let mut dispatcher = TestDispatcher::with_seed(1);
    dispatcher.connect(1);
    assert_eq!(dispatcher.submit_jobs(0..2 * WORKERS), 0);
    for worker in 2..=WORKERS {
        assert_eq!(dispatcher.outcomes_within_ms(20), 0);
        dispatcher.connect(worker);
    }
    assert_eq!(dispatcher.outcomes_within_ms(20), 0);
    assert!(dispatcher.dispatcher.queue.is_empty());
}

/// A job that can't be served must not wait longer than until the workers are known.
#[test]
fn jobs_that_cannot_start_in_time_are_refused_when_the_workers_are_known() {
    let mut dispatcher = TestDispatcher::with_seed(1);
    assert_eq!(dispatcher.submit_jobs(0..10), 0);
    dispatcher.connect(1);
    assert_eq!(dispatcher.submit_jobs(10..40), 0);
    let refused = dispatcher.outcomes_within_ms(160);
    assert!(refused >= 30, "{refused}");
    assert!(dispatcher.submit_jobs(40..60) >= 18);
}

/// Workers that connect one after the other must not extend the discovery without limit.
#[test]
fn a_discovery_ends_although_workers_keep_connecting() {
    let mut dispatcher = TestDispatcher::with_seed(1);
    dispatcher.connect(1);
    let mut refused = 0;
    for worker in 0..5 {
        refused += dispatcher.submit_jobs(100 * worker..100 * worker + 50);
        dispatcher.connect(2 + worker);
        refused += dispatcher.outcomes_within_ms(80);
    }
    assert!(refused > 0);
}

/// A worker that connects later must not suspend the refusals again.
#[test]
fn a_discovery_follows_only_the_first_worker() {
    let mut dispatcher = TestDispatcher::with_workers(1);
    dispatcher.submit_jobs(0..40);
    dispatcher.connect(2);
    assert!(dispatcher.submit_jobs(40..80) > 0);
}
