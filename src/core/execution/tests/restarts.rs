//! Tests of restarts of the agent and of its worker, against a model of the worker.

use {
    super::*,
    crate::{core::execution::first_token, standin::WorkerModel},
    std::time::Duration,
};

/// Wall clock time at which the earlier process of the agent starts.
const EARLIER_START: Duration = Duration::from_millis(1_796_383_502_100);

fn worker_model(now: Instant, born_unix_ms: u64) -> WorkerModel {
    WorkerModel::new(now, "w".to_owned(), born_unix_ms, 0, 2)
}

impl TestExecutor {
    /// An executor without a worker whose process starts at this wall clock time.
    fn started_at(since_epoch: Duration) -> Self {
        let mut test = Self::without_worker();
        let settings = ExecutorSettings {
            first_token: first_token(since_epoch),
            ..test.executor.settings.clone()
        };
        test.executor = Executor::new(settings);
        test
    }

    /// Lets the model answer all hold calls, and retains the earlier actions.
    fn answer_holds(&mut self, worker: &mut WorkerModel) {
        let mut all = std::mem::take(&mut self.actions);
        let holds = all.iter().filter_map(|action| match action {
            ExecutionAction::Hold(call) if call.wait_ms == 0 => Some(call.clone()),
            _ => None,
        });
        let holds: Vec<HoldCall> = holds.collect();
        for call in holds {
            let response = worker.hold(self.now, &call);
            self.send_event(ExecutionEvent::HoldAnswered { call, response });
            all.append(&mut self.actions);
        }
        self.actions = all;
    }

    fn may_open_sessions(&self) -> bool {
        self.actions.contains(&ExecutionAction::StaleRunsStopped)
    }

    /// Makes the worker ready and orders a start; returns the start call, which is still under way.
    fn send_delayed_start(&mut self, worker: &mut WorkerModel) -> StartCall {
        self.send_worker_heartbeat(worker.incarnation.born_unix_ms, 1, false);
        self.answer_holds(worker);
        self.open_session();
        self.send_entry_heartbeat();
        self.send_frame(EntryFrame::Start(start_order(1)));
        self.start_calls().remove(0)
    }
}

/// Executes a start call that was under way for long.
fn execute(worker: &mut WorkerModel, now: Instant, call: &StartCall) -> StartResponse {
    worker.start(now, call, 200, RunOutcome::Done).0
}

/// Two processes of an agent within one second had the same token: the hello of the later one denied a
/// run that a start call of the earlier one began afterwards, and the task ran twice.
#[test]
fn a_start_call_of_an_earlier_process_is_fenced_within_a_second() {
    let mut earlier = TestExecutor::started_at(EARLIER_START);
    let mut worker = worker_model(earlier.now, BORN_MS);
    let delayed = earlier.send_delayed_start(&mut worker);
    let mut later = TestExecutor::started_at(EARLIER_START + Duration::from_millis(200));
    later.now = earlier.now.plus_ms(200);
    later.send_worker_heartbeat(BORN_MS, 2, false);
    later.answer_holds(&mut worker);
    assert!(later.may_open_sessions());
    let response = execute(&mut worker, later.now, &delayed);
    assert_eq!(response, StartResponse::Fenced);
}

/// After the system clock was set back, a token that the worker accepted was not above that of a start
/// call of the earlier process that was still under way, and the task ran twice. The lease alone
/// bounds such calls.
#[test]
fn sessions_wait_for_the_lease_if_the_first_token_was_rejected() {
    let mut earlier = TestExecutor::started_at(EARLIER_START);
    let mut worker = worker_model(earlier.now, BORN_MS);
    earlier.send_delayed_start(&mut worker);
    // Its token is raised, and neither list nor start call under it have reached the worker.
    let task = run(1).task.name();
    let token = earlier.executor.token;
    let now = earlier.now;
    earlier.executor.mark_run_uncertain(now, task, token);
    earlier.send_frame(EntryFrame::Start(start_order(2)));
    let delayed = earlier.start_calls().remove(0);
    let mut later = TestExecutor::started_at(EARLIER_START - Duration::from_secs(16));
    later.now = earlier.now.plus_ms(50);
    later.send_worker_heartbeat(BORN_MS, 2, false);
    let mut may_open_sessions = false;
    for _ in 0..3 {
        later.answer_holds(&mut worker);
        may_open_sessions |= later.may_open_sessions();
        later.advance(100);
    }
    assert!(later.executor.announced_worker().is_some());
    let response = execute(&mut worker, later.now, &delayed);
    assert_eq!(response, StartResponse::Accepted);
    assert!(!may_open_sessions);
}

/// A start call that was lost with its lease was executed by the worker's next incarnation, whose
/// clock starts again, although its task already ran elsewhere.
#[test]
fn a_start_call_that_outlives_its_lease_is_fenced_at_a_restarted_worker() {
    let mut test = TestExecutor::started_at(EARLIER_START);
    let mut worker = worker_model(test.now, BORN_MS);
    test.now = test.now.plus_ms(5_000);
    let delayed = test.send_delayed_start(&mut worker);
    while test.outcomes().is_empty() {
        test.advance(20);
        test.renew_entry_lease();
    }
    assert_eq!(test.outcomes(), [RunOutcome::Lost]);
    let mut restarted = worker_model(test.now, BORN_MS + 6_000);
    test.advance(100);
    test.answer_holds(&mut restarted);
    let response = execute(&mut restarted, test.now, &delayed);
    assert_eq!(response, StartResponse::Fenced);
}

/// A run that a restarted worker began after its earlier incarnation had confirmed the stop went on,
/// since the stop counted as confirmed; its entry started the task elsewhere after the time limit.
#[test]
fn a_run_that_is_listed_after_its_confirmed_stop_is_stopped_again() {
    let mut test = TestExecutor::ready();
    test.start_task(1, StartResponse::Accepted);
    test.send_frame(EntryFrame::Stop { run: run(1) });
    let stop = StopCall {
        worker: "w".to_owned(),
        task: run(1).task.name(),
        number: 1,
        token: 100,
    };
    test.send_event(ExecutionEvent::StopAnswered {
        call: stop,
        confirmed: true,
    });
    test.send_worker_heartbeat(BORN_MS + 500, 1, false);
    let mut stops = 0;
    for clock_ms in [40, 140, 240] {
        for call in test.hold_calls() {
            let response = HoldResponse::RunList {
                born_unix_ms: Some(BORN_MS + 500),
                clock_ms,
                running: vec![ListedRun {
                    task: run(1).task.name(),
                    number: 1,
                }],
                ended: Vec::new(),
            };
            test.send_event(ExecutionEvent::HoldAnswered { call, response });
            stops += test.stop_count();
        }
        test.advance(100);
        stops += test.stop_count();
        test.renew_entry_lease();
    }
    assert!(stops > 0);
}

/// The end of an earlier run of a task must not free a later start that the worker may still execute:
/// the worker must reject that start because the number has ended there.
#[test]
fn a_start_that_ends_with_an_earlier_run_has_not_begun() {
    let mut test = TestExecutor::ready();
    let mut worker = worker_model(test.now, BORN_MS);
    test.send_frame(EntryFrame::Start(start_order(1)));
    let call = test.start_calls().remove(0);
    execute(&mut worker, test.now, &call);
    worker.advance(test.now.plus_ms(200));
    let HoldResponse::RunList { ended, .. } = worker.hold(test.now, &latest_poll()) else {
        panic!("the worker rejected the poll");
    };
    test.send_run_list(latest_poll(), &[], &ended);
    assert_eq!(test.outcomes().len(), 1);
    let response = execute(&mut worker, test.now, &call);
    assert_eq!(response, StartResponse::NumberUsed);
}

/// A worker that has restarted under its name executes calls for its earlier incarnation, whose clock
/// showed more, under the longest lease that it grants. Its runs were reported as lost before that
/// lease had expired.
#[test]
fn a_lease_that_a_restarted_worker_took_from_an_earlier_call_is_waited_for() {
    let mut test = TestExecutor::started_at(EARLIER_START);
    let mut worker = worker_model(test.now, BORN_MS);
    test.now = test.now.plus_ms(5_000);
    let delayed = test.send_delayed_start(&mut worker);
    let born_unix_ms = BORN_MS + 6_000;
    let mut restarted = worker_model(test.now, born_unix_ms);
    let (response, _) = restarted.start(test.now, &delayed, 5_000, RunOutcome::Done);
    assert_eq!(response, StartResponse::Accepted);
    test.send_worker_heartbeat(born_unix_ms, 1, false);
    test.answer_holds(&mut restarted);
    assert_eq!(test.executor.run_count(), 1);
    while test.outcomes().is_empty() {
        test.advance(20);
        test.renew_entry_lease();
    }
    restarted.advance(test.now);
    assert!(restarted.active_runs().is_empty());
}

/// The runs of a worker that restarted and ended before its run list under the next token were never
/// resolved.
#[test]
fn runs_of_a_worker_that_ends_right_after_its_restart_are_lost() {
    let mut test = TestExecutor::ready();
    test.start_task(1, StartResponse::Accepted);
    test.advance(20);
    test.executor.request_run_list();
    test.send_entry_heartbeat();
    let call = test.hold_calls().remove(0);
    let response = HoldResponse::RunList {
        born_unix_ms: Some(BORN_MS + 500),
        clock_ms: 40,
        running: Vec::new(),
        ended: Vec::new(),
    };
    test.send_event(ExecutionEvent::HoldAnswered { call, response });
    let mut outcomes = test.outcomes();
    for _ in 0..200 {
        for call in test.hold_calls() {
            let response = HoldResponse::Refused;
            test.send_event(ExecutionEvent::HoldAnswered { call, response });
            outcomes.extend(test.outcomes());
        }
        test.advance(20);
        test.renew_entry_lease();
        outcomes.extend(test.outcomes());
    }
    assert_eq!(outcomes, [RunOutcome::Lost]);
}

/// A renewal of the earlier incarnation's lease that arrived late gave the restarted worker the longest
/// lease, since no token had been raised; its run was reported as lost before that had expired.
#[test]
fn a_late_renewal_for_the_earlier_incarnation_is_fenced_or_waited_for() {
    let mut test = TestExecutor::started_at(EARLIER_START);
    let mut worker = worker_model(test.now, BORN_MS);
    test.now = test.now.plus_ms(5_000);
    let call = test.send_delayed_start(&mut worker);
    let late = HoldCall {
        token: call.token,
        lease_until_ms: Some(call.lease_until_ms),
        ..latest_poll()
    };
    let response = execute(&mut worker, test.now, &call);
    test.send_event(ExecutionEvent::StartAnswered { call, response });
    test.advance(20);
    let born_unix_ms = BORN_MS + 6_000;
    let mut restarted = worker_model(test.now, born_unix_ms);
    test.send_worker_heartbeat(born_unix_ms, 1, false);
    test.answer_holds(&mut restarted);
    assert_eq!(test.outcomes(), [RunOutcome::Lost]);
    test.advance(100);
    test.answer_holds(&mut restarted);
    test.renew_entry_lease();
    test.send_frame(EntryFrame::Start(start_order(2)));
    let call = test.start_calls().remove(0);
    let (response, _) = restarted.start(test.now, &call, 5_000, RunOutcome::Done);
    assert_eq!(response, StartResponse::Accepted);
    test.send_event(ExecutionEvent::StartAnswered { call, response });
    restarted.hold(test.now, &late);
    while test.outcomes().is_empty() {
        test.advance(20);
        test.renew_entry_lease();
    }
    restarted.advance(test.now);
    assert!(restarted.active_runs().is_empty());
}
