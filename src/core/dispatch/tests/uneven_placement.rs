//! Tests of the choice of a worker where the measured speeds differ.

use super::*;

/// Slowness of a worker at 0.55 of the normal speed, in thousandths.
const SLOW_PERMILLE: u16 = 1_800;

impl TestDispatcher {
    /// Connects a worker for each reported slowness, each with these free cores.
    fn with_speeds(workers: &[(u16, u32)]) -> Self {
        let mut dispatcher = Self::with_seed(1);
        for (worker, (slowness_permille, cores)) in (1..).zip(workers) {
            dispatcher.connect(worker);
            dispatcher.report_speed(worker, *slowness_permille, *cores, 0);
        }
        dispatcher
    }

    fn report_speed(
        &mut self,
        worker: u64,
        slowness_permille: u16,
        free_cores: u32,
        starts_seen: u32,
    ) {
        let report = CapacityReport {
            free: needs(free_cores),
            starts_seen,
            share_permille: 1_000,
            slowness_permille,
        };
        self.receive_report(worker, report);
    }
}

/// The worker to which a task goes; `None` if it waits.
fn chosen_worker(dispatcher: &mut TestDispatcher, estimate_ms: u64) -> Option<u64> {
    let starts = dispatcher.submit(job(1, 0, vec![step(1, estimate_ms)]));
    starts.first().map(|(worker, _)| *worker)
}

macro_rules! choice_cases {
    ($($(#[$doc:meta])* $name:ident: $workers:expr, $estimate_ms:expr => $worker:expr;)+) => {
        $(
            $(#[$doc])*
            #[test]
            fn $name() {
                let mut dispatcher = TestDispatcher::with_speeds(&$workers);
                assert_eq!(chosen_worker(&mut dispatcher, $estimate_ms), $worker);
            }
        )+
    };
}

choice_cases! {
    /// A job of 760 ms must end within 1,276 ms; it would take 1,368 ms on the slow worker.
    a_long_task_goes_to_the_busier_normal_worker:
        [(SLOW_PERMILLE, 2), (1_000, 1)], 760 => Some(2);
    a_long_task_waits_for_a_busy_normal_worker:
        [(SLOW_PERMILLE, 2), (1_000, 0), (1_000, 0)], 760 => None;
    a_short_task_goes_to_a_slow_worker_that_is_good_enough:
        [(SLOW_PERMILLE, 2), (1_000, 0)], 51 => Some(1);
    /// Waiting can't help if no worker is fast enough.
    a_task_that_is_late_on_all_workers_starts_at_once:
        [(SLOW_PERMILLE, 2), (8_000, 0), (8_000, 0)], 760 => Some(1);
    /// Otherwise part of the capacity would be unused because of errors of the measurement.
    nothing_waits_where_the_speeds_are_alike: [(1_200, 2), (1_000, 0)], 900 => Some(1);
}

/// A task that waits for a faster worker starts there, and starts on the slow one before it would be
/// refused.
#[test]
fn a_waiting_task_starts_when_a_fast_worker_is_free() {
    let workers = [(SLOW_PERMILLE, 2), (1_000, 0), (1_000, 0)];
    let mut dispatcher = TestDispatcher::with_speeds(&workers);
    assert_eq!(chosen_worker(&mut dispatcher, 760), None);
    dispatcher.report_speed(3, 1_000, 1, 0);
    assert_eq!(dispatcher.starts()[0].0, 3);
}

/// A task must not wait for a faster worker until its objective has passed.
#[test]
fn a_task_that_waits_in_vain_starts_on_a_slow_worker() {
    let workers = [(SLOW_PERMILLE, 2), (1_000, 0), (1_000, 0)];
    let mut dispatcher = TestDispatcher::with_speeds(&workers);
    assert_eq!(chosen_worker(&mut dispatcher, 760), None);
    let submitted_at = dispatcher.now;
    while dispatcher.starts().is_empty() {
        dispatcher.advance_ms(20);
        assert!(dispatcher.now.millis_since(submitted_at) <= 1_276 - 760);
    }
    assert_eq!(dispatcher.starts()[0].0, 1);
}

/// Tasks behind long ones that wait for a faster worker must use the slow one meanwhile.
#[test]
fn a_short_task_overtakes_long_ones_that_wait() {
    let workers = [(SLOW_PERMILLE, 2), (1_000, 0), (1_000, 0)];
    let mut dispatcher = TestDispatcher::with_speeds(&workers);
    assert_eq!(chosen_worker(&mut dispatcher, 760), None);
    let starts = dispatcher.submit(job(2, 1, vec![step(1, 51)]));
    assert_eq!(starts[0].0, 1);
}

/// Without tasks, the recovery of a slow worker would be unknown until its measurement expires.
#[test]
fn a_slow_worker_still_gets_some_tasks() {
    let workers = [(4_000, 2), (1_000, 2), (1_000, 2)];
    let mut dispatcher = TestDispatcher::with_speeds(&workers);
    let mut starts = [0u32; 3];
    for number in 1..=100 {
        dispatcher.advance_ms(100);
        let started = dispatcher.submit(job(number, 0, vec![step(1, 100)]));
        starts[started[0].0 as usize - 1] += 1;
        dispatcher.end_run(started[0], RunOutcome::Done);
        let seen = starts[started[0].0 as usize - 1];
        let slowness_permille = workers[started[0].0 as usize - 1].0;
        dispatcher.report_speed(started[0].0, slowness_permille, 2, seen);
    }
    assert!((5..=15).contains(&starts[0]), "{starts:?}");
}

/// A slow worker must not count as normal because its session was interrupted.
#[test]
fn the_speed_of_a_worker_outlasts_its_session() {
    let workers = [(SLOW_PERMILLE, 2), (1_000, 0), (1_000, 0)];
    let mut dispatcher = TestDispatcher::with_speeds(&workers);
    dispatcher.advance_ms(20);
    dispatcher.stamp_us += 1;
    dispatcher.send_event(DispatchEvent::LinkLost { link: LinkId(1) });
    let hello = AgentFrame::Hello {
        agent: "agent-1".to_owned(),
        stamp_us: dispatcher.stamp_us,
    };
    dispatcher.receive_frame(1, hello);
    let key = dispatcher.dispatcher.by_agent["agent-1"];
    let slowness = dispatcher.dispatcher.workers[key].slowness_permille;
    assert_eq!(slowness, SLOW_PERMILLE);
}

/// Runs on a slow worker take longer; stopping them at the usual limit would waste their work.
#[test]
fn the_limit_of_overdue_runs_follows_the_speed() {
    let mut dispatcher = TestDispatcher::with_speeds(&[(1_500, 2), (1_000, 0), (1_000, 0)]);
    dispatcher.submit(job(1, 0, vec![step(1, 100)]));
    dispatcher.advance_ms(580);
    assert_eq!(dispatcher.stops(), 0);
    dispatcher.advance_ms(40);
    assert_eq!(dispatcher.stops(), 1);
}

/// A stalled worker must not hold its tasks for long because it is known to be slow.
#[test]
fn the_limit_of_overdue_runs_is_at_most_doubled() {
    let mut dispatcher = TestDispatcher::with_speeds(&[(8_000, 2)]);
    dispatcher.submit(job(1, 0, vec![step(1, 100)]));
    dispatcher.advance_ms(820);
    assert_eq!(dispatcher.stops(), 1);
}

/// A task whose data is on another rack takes three times as long there, here 600 of 380 ms.
#[test]
fn a_task_waits_for_the_rack_of_its_data() {
    let with_data = StepSpec {
        data_rack: Some("rack-2".to_owned()),
        ..step(1, 200)
    };
    let workers = [(1_000, 2), (1_000, 0), (SLOW_PERMILLE, 2)];
    let mut dispatcher = TestDispatcher::with_speeds(&workers);
    dispatcher.dispatcher.settings.remote_penalty_permille = 3_000;
    assert!(
        dispatcher
            .submit(job(1, 0, vec![with_data.clone()]))
            .is_empty()
    );
    dispatcher.report_speed(2, 1_000, 1, 0);
    assert_eq!(dispatcher.starts()[0].0, 2);

    let mut dispatcher = TestDispatcher::with_speeds(&workers);
    let starts = dispatcher.submit(job(1, 0, vec![with_data]));
    assert_eq!(starts[0].0, 1, "the rack is ignored without the setting");
}

/// An agent that measures by the estimate alone would take a worker for slow that runs tasks with
/// remote data.
#[test]
fn agents_get_the_run_time_that_remote_data_makes_likely() {
    let with_data = StepSpec {
        data_rack: Some("rack-2".to_owned()),
        ..step(1, 200)
    };
    let mut dispatcher = TestDispatcher::with_speeds(&[(1_000, 2)]);
    dispatcher.dispatcher.settings.remote_penalty_permille = 3_000;
    dispatcher.submit(job(1, 0, vec![with_data]));
    let estimates = dispatcher.actions.iter().filter_map(|action| match action {
        DispatchAction::Send {
            frame: EntryFrame::Start(order),
            ..
        } => Some(order.estimate_ms),
        _ => None,
    });
    assert_eq!(estimates.collect::<Vec<_>>(), [600]);
}

/// Operators must see how many tasks were started too late.
#[test]
fn starts_are_counted_by_whether_they_are_in_time() {
    let mut dispatcher = TestDispatcher::with_speeds(&[(SLOW_PERMILLE, 2), (1_000, 1)]);
    dispatcher.submit(job(1, 0, vec![step(1, 760)]));
    dispatcher.report_speed(2, 1_000, 0, 1);
    dispatcher.advance_ms(600);
    dispatcher.submit(job(2, 0, vec![step(1, 51)]));
    let counts = dispatcher.dispatcher.take_start_counts();
    assert_eq!((counts.in_time, counts.late), (2, 0));
}
