//! Tests of the order of tasks, and of refusals, by the shares of competing queues.

use {
    super::*,
    crate::core::{dispatch::DispatchLogEvent, link::QueueLevel, queue_shares::ShareClass},
};

/// A job of a queue that competes with others of its service.
fn competing_job(number: u64, priority: u32, steps: Vec<StepSpec>) -> Submission {
    let mut submission = job(number, priority, steps);
    submission.route = Arc::new(Route {
        competes: true,
        ..route(priority).as_ref().clone()
    });
    submission
}

/// A job of one task, with enough slack to wait for a while.
fn long_job(number: u64, priority: u32) -> Submission {
    let mut submission = competing_job(number, priority, vec![step(1, 900)]);
    submission.time_left_ms = 6_000;
    submission
}

impl TestDispatcher {
    /// Sends heartbeats of all agents with these levels, and waits until they are applied.
    fn set_levels(&mut self, levels: &[u16]) {
        let queue_levels: Vec<QueueLevel> = levels
            .iter()
            .enumerate()
            .map(|(priority, level_permille)| QueueLevel {
                queue: Arc::from(format!("queue-{priority}")),
                level_permille: *level_permille,
            })
            .collect();
        let links: Vec<LinkId> = self.dispatcher.by_link.keys().copied().collect();
        self.stamp_us += 1;
        for link in links {
            let frame = AgentFrame::Beat {
                stamp_us: self.stamp_us,
                document_revision: 0,
                queue_levels: queue_levels.clone(),
            };
            self.receive_frame(link.0, frame);
        }
        self.now = self.now.plus_ms(100);
        self.send_event(DispatchEvent::Tick);
    }

    /// Marks a waiting job as it would be at its arrival, and puts its tasks into the queue again.
    fn set_class(&mut self, number: u64, class: ShareClass) {
        let key = self.dispatcher.by_id[&JobId::of_number(number)];
        self.dispatcher.jobs[key].share.class = class;
        for waiting in self.dispatcher.queue.drain_job(key) {
            self.dispatcher.enqueue(self.now, key, waiting.task);
        }
    }

    /// Ends the runs one after another, and returns the jobs of the tasks that start then.
    fn start_order(&mut self, running: &[(u64, RunId)]) -> Vec<u64> {
        let mut seen = std::collections::BTreeMap::new();
        let mut started = Vec::new();
        for run in running {
            self.end_run(*run, RunOutcome::Done);
            let starts_seen = seen.entry(run.0).or_insert(2);
            self.report_capacity(run.0, 1, *starts_seen);
            for (_, start) in self.starts() {
                *starts_seen += 1;
                started.push(start.task.job.number.0);
            }
        }
        started
    }
}

/// A flooding queue must not precede the others because it is more urgent.
#[test]
fn tasks_start_by_share_class_then_by_priority() {
    let mut dispatcher = TestDispatcher::with_workers(3);
    let running = dispatcher.submit(competing_job(1, 0, vec![step(6, 900)]));
    let classes = [
        (2, 0, ShareClass::Beyond),
        (3, 1, ShareClass::Within),
        (4, 0, ShareClass::Within),
        (5, 2, ShareClass::Fitting),
        (6, 1, ShareClass::Fitting),
    ];
    for (number, priority, class) in classes {
        dispatcher.submit(long_job(number, priority));
        dispatcher.set_class(number, class);
    }
    assert_eq!(dispatcher.start_order(&running), [6, 5, 4, 3, 2]);
}

/// A job that has begun holds capacity; waiting behind others would waste it.
#[test]
fn a_begun_job_is_not_put_behind_because_it_is_beyond_its_share() {
    let mut dispatcher = TestDispatcher::with_workers(1);
    let running = dispatcher.submit(competing_job(1, 1, vec![step(4, 400)]));
    dispatcher.set_class(1, ShareClass::Beyond);
    dispatcher.submit(competing_job(2, 2, vec![step(1, 100)]));
    let order = dispatcher.start_order(&running);
    assert_eq!(order[..2], [1, 1]);
}

/// A late job must not precede jobs that can still be in time, whatever its share.
#[test]
fn a_late_job_within_its_share_starts_after_one_beyond_that_is_in_time() {
    let mut dispatcher = TestDispatcher::with_workers(3);
    let running = dispatcher.submit(competing_job(1, 0, vec![step(6, 900)]));
    dispatcher.submit(long_job(2, 0));
    let key = dispatcher.dispatcher.by_id[&JobId::of_number(2)];
    // The client has waited for a second; the objective is 1,500 ms.
    dispatcher.dispatcher.jobs[key].waited_ms = 1_000;
    dispatcher.set_class(2, ShareClass::Fitting);
    dispatcher.submit(long_job(3, 0));
    dispatcher.set_class(3, ShareClass::Beyond);
    assert_eq!(dispatcher.start_order(&running[..1]), [3]);
}

/// One free slot started a large job beyond its share, whose other tasks then preceded all others.
#[test]
fn a_job_beyond_its_share_begins_only_where_all_its_tasks_fit() {
    let mut dispatcher = TestDispatcher::with_workers(3);
    let running = dispatcher.submit(competing_job(1, 0, vec![step(6, 900)]));
    let mut large = competing_job(2, 0, vec![step(2, 900)]);
    large.time_left_ms = 6_000;
    dispatcher.submit(large);
    dispatcher.set_class(2, ShareClass::Beyond);
    assert!(dispatcher.start_order(&running[..1]).is_empty());
    assert_eq!(dispatcher.start_order(&running[1..2]), [2, 2]);
}

/// Jobs beyond the share of their queue led to refusals of jobs within the share of another one.
#[test]
fn a_job_is_not_refused_for_work_that_starts_after_it() {
    let outcomes = |class: ShareClass| {
        let mut dispatcher = TestDispatcher::with_workers(3);
        dispatcher.submit(competing_job(1, 0, vec![step(6, 900)]));
        for number in 2..4 {
            dispatcher.submit(long_job(number, 0));
            dispatcher.set_class(number, class);
        }
        dispatcher.submit(long_job(4, 2));
        dispatcher.outcomes().len()
    };
    assert_eq!(
        (outcomes(ShareClass::Fitting), outcomes(ShareClass::Beyond)),
        (1, 0)
    );
}

/// All clients of a flood must not return at once, and must wait longer the less of it fits.
#[test]
fn retry_after_is_spread_and_longer_at_a_lower_level() {
    let retries = |level: u16| {
        let mut retries_ms = Vec::new();
        let mut dispatcher = TestDispatcher::with_workers(3);
        dispatcher.submit(competing_job(1, 0, vec![step(6, 2_900)]));
        for number in 2..200 {
            if number % 10 == 0 {
                dispatcher.set_levels(&[level]);
            }
            dispatcher.submit(competing_job(number, 0, vec![step(8, 60)]));
            for outcome in dispatcher.outcomes() {
                if let JobOutcome::NotRun { retry_after_ms, .. } = outcome {
                    retries_ms.push(retry_after_ms);
                }
            }
        }
        retries_ms.sort_unstable();
        retries_ms
    };
    let (high, low) = (retries(900), retries(100));
    let (high, low) = (&high[20..], &low[20..]);
    assert!(
        high.iter()
            .chain(low)
            .all(|retry_ms| (1_000..=30_000).contains(retry_ms))
    );
    assert!(high.last() > high.first());
    assert!(
        low[low.len() / 2] > 3 * high[high.len() / 2],
        "{low:?}, {high:?}"
    );
}

/// A refusal must be visible with its queue and share.
#[test]
fn a_refused_job_beyond_its_share_is_logged_as_such() {
    let mut dispatcher = TestDispatcher::with_workers(3);
    dispatcher.submit(competing_job(1, 0, vec![step(6, 2_900)]));
    dispatcher.submit(long_job(2, 1));
    dispatcher.set_class(2, ShareClass::Beyond);
    dispatcher.advance_ms(600);
    let mut shares = dispatcher.actions.iter().filter_map(|action| match action {
        DispatchAction::Log(DispatchLogEvent::JobAnswered {
            route,
            share,
            reason: "overloaded",
            ..
        }) => Some((route.as_str(), *share)),
        _ => None,
    });
    assert_eq!(shares.next(), Some(("queue-1", "beyond")));
}

/// Entries report the demands of competing queues only, to agents of their service.
#[test]
fn heartbeats_contain_the_demands_of_competing_queues() {
    let demands = |competes: bool| {
        let mut dispatcher = TestDispatcher::with_workers(2);
        dispatcher.submit(match competes {
            true => competing_job(1, 0, vec![step(2, 500)]),
            false => job(1, 0, vec![step(2, 500)]),
        });
        dispatcher.advance_ms(300);
        let demands = dispatcher.actions.iter().filter_map(|action| match action {
            DispatchAction::Send {
                frame: EntryFrame::Beat { queue_demands, .. },
                ..
            } => queue_demands.first(),
            _ => None,
        });
        demands
            .map(|demand| demand.demand_ppm)
            .collect::<Vec<u32>>()
    };
    assert!(demands(false).is_empty());
    // A second of work within the last second, on four cores.
    let with = demands(true);
    assert!(with.len() >= 2);
    assert!(
        with.iter().all(|ppm| (150_000..=300_000).contains(ppm)),
        "{with:?}"
    );
}
