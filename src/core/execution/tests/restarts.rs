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
