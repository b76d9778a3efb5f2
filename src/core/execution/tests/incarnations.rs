//! Tests of reports of other incarnations than the known one.

use {super::*, crate::standin::WorkerModel};

/// Time between two ticks, in milliseconds.
const TICK_MS: u64 = 20;

/// An executor with a model of the worker at its address.
struct Site {
    test: TestExecutor,
    worker: WorkerModel,
    /// Whether the worker responds to calls.
    responds: bool,
    /// Whether later calls reach the worker first.
    overtakes: bool,
    /// Workers that can't be reached any more, and execute what they have.
    replaced: Vec<WorkerModel>,
    calls: Vec<ExecutionAction>,
    /// Actions that are no calls.
    notices: Vec<ExecutionAction>,
    /// Outcomes with their time in milliseconds.
    outcomes: Vec<(u64, RunOutcome)>,
}

/// A worker whose clock is a second ahead of its start.
fn model(now: Instant, id: &str, born_unix_ms: u64) -> WorkerModel {
    let started_at = Instant::from_millis(now.millis_since(Instant::default()) - 1_000);
    WorkerModel::new(started_at, id.to_owned(), born_unix_ms, 20, 8)
}

fn report_of(id: &str, born_unix_ms: u64, sequence: u64) -> ExecutionEvent {
    let mut view = view(born_unix_ms, false);
    id.clone_into(&mut view.life.id);
    ExecutionEvent::Heartbeat { view, sequence }
}

impl Site {
    /// An executor with a session, and a worker that hasn't reported.
    fn without_report() -> Self {
        let test = TestExecutor::without_worker();
        let worker = model(test.now, "w", BORN_MS);
        let mut site = Self {
            test,
            worker,
            responds: true,
            overtakes: false,
            replaced: Vec::new(),
            calls: Vec::new(),
            notices: Vec::new(),
            outcomes: Vec::new(),
        };
        site.test.open_session();
        site.collect();
        site.test.send_entry_heartbeat();
        site.collect();
        site
    }

    fn ready() -> Self {
        let mut site = Self::without_report();
        site.send(report_of("w", BORN_MS, 1));
        site.deliver();
        site
    }

    fn send(&mut self, event: ExecutionEvent) {
        self.test.send_event(event);
        self.collect();
    }

    fn send_frame(&mut self, frame: EntryFrame) {
        let session = SESSION;
        self.send(ExecutionEvent::Frame { session, frame });
    }

    /// Sorts the latest actions, and checks that no run ends that a worker still executes.
    fn collect(&mut self) {
        let now = self.test.now;
        for (end, task) in ended_tasks(&self.test.actions) {
            for worker in self.replaced.iter_mut().chain([&mut self.worker]) {
                worker.advance(now);
                let is_active = worker.active_runs().contains_key(&task.name());
                assert!(!is_active, "{task} is {end:?} and runs");
            }
            self.outcomes
                .push((now.millis_since(Instant::default()), end));
        }
        for action in std::mem::take(&mut self.test.actions) {
            match action {
                ExecutionAction::Start(_) | ExecutionAction::Stop(_) | ExecutionAction::Hold(_) => {
                    self.calls.push(action);
                }
                _ => self.notices.push(action),
            }
        }
    }

    /// Delivers all calls but long polls, and the responses to them.
    fn deliver(&mut self) {
        while !self.calls.is_empty() {
            let call = if self.overtakes {
                self.calls.pop().expect("a call")
            } else {
                self.calls.remove(0)
            };
            if let Some(response) = self.execute(call) {
                self.send(response);
            }
        }
    }

    fn execute(&mut self, call: ExecutionAction) -> Option<ExecutionEvent> {
        let now = self.test.now;
        let worker = &mut self.worker;
        worker.advance(now);
        let is_named = |name: &str| worker.incarnation.id == name;
        if !self.responds {
            return None;
        }
        let event = match call {
            ExecutionAction::Start(call) => {
                let response = if is_named(&call.worker) {
                    worker.start(now, &call, 60_000, RunOutcome::Done).0
                } else {
                    StartResponse::Rejected
                };
                ExecutionEvent::StartAnswered { call, response }
            }
            ExecutionAction::Stop(call) => {
                let confirmed = is_named(&call.worker) && worker.stop(&call);
                ExecutionEvent::StopAnswered { call, confirmed }
            }
            ExecutionAction::Hold(call) if call.wait_ms == 0 => {
                let response = if is_named(&call.worker) {
                    worker.hold(now, &call)
                } else {
                    HoldResponse::OtherWorker
                };
                ExecutionEvent::HoldAnswered { call, response }
            }
            _ => return None,
        };
        Some(event)
    }

    fn pass(&mut self, elapsed_ms: u64) {
        for _ in 0..elapsed_ms / TICK_MS {
            self.test.now = self.test.now.plus_ms(TICK_MS);
            self.send(ExecutionEvent::Tick);
            self.send_frame(heartbeat(self.test.now, 0));
            self.deliver();
        }
    }

    fn start(&mut self, job: u64) {
        self.send_frame(EntryFrame::Start(start_order(job)));
    }

    /// The worker that a start call is addressed to, if one is sent for another task.
    fn starts_at(&mut self, job: u64) -> Option<String> {
        self.start(job);
        let is_start = |action: &ExecutionAction| match action {
            ExecutionAction::Start(call) if call.task == run(job).task.name() => {
                Some(call.worker.clone())
            }
            _ => None,
        };
        let worker = self.calls.iter().find_map(is_start);
        self.deliver();
        worker
    }

    /// Puts another worker at the address; the earlier one goes on with what it has.
    fn replace_worker(&mut self, id: &str, born_unix_ms: u64) {
        let next = model(self.test.now, id, born_unix_ms);
        self.replaced
            .push(std::mem::replace(&mut self.worker, next));
    }

    /// Starts the worker anew at the address; the earlier one has ended.
    fn restart_worker(&mut self, born_unix_ms: u64) {
        self.replace_worker("w", born_unix_ms);
        self.replaced.clear();
    }

    fn lines(&self, is_counted: impl Fn(&ExecutionLogEvent) -> bool) -> usize {
        let logged = self.notices.iter();
        logged
            .filter(|action| matches!(action, ExecutionAction::Log(event) if is_counted(event)))
            .count()
    }

    fn persisted(&self) -> Vec<&WorkerIncarnation> {
        let notices = self.notices.iter();
        notices
            .filter_map(|action| match action {
                ExecutionAction::PersistWorker(view) => Some(&view.life),
                _ => None,
            })
            .collect()
    }
}

/// Ends that were reported to entries, of runs that had been accepted.
fn ended_tasks(actions: &[ExecutionAction]) -> Vec<(RunOutcome, TaskId)> {
    let ended = actions.iter().filter_map(|action| match action {
        ExecutionAction::Send {
            frame: AgentFrame::Ended { run, end, .. },
            ..
        } => Some((*end, run.task)),
        _ => None,
    });
    ended.collect()
}

/// Reports that don't come from the worker.
fn foreign_reports() -> Vec<(&'static str, u64)> {
    vec![
        ("x", BORN_MS + 9_000),
        ("x", BORN_MS - 900),
        ("x", BORN_MS),
        ("x", 0),
        ("w", BORN_MS + 9_000),
        ("w", BORN_MS - 900),
        ("w", 0),
        ("x", u64::MAX),
        ("w", u64::MAX),
    ]
}

/// What follows from a state of the worker and from reports: the outcomes with their times, and the worker
/// that another start is sent to.
fn consequences(
    prepare: fn(&mut Site),
    reports: &[(&str, u64)],
    overtakes: bool,
) -> (Vec<(u64, RunOutcome)>, Option<String>) {
    let mut site = Site::ready();
    prepare(&mut site);
    site.overtakes = overtakes;
    for (id, born_unix_ms) in reports {
        site.send(report_of(id, *born_unix_ms, 50));
    }
    site.deliver();
    site.pass(600);
    let worker = site.starts_at(9);
    site.pass(600);
    (site.outcomes, worker)
}

macro_rules! foreign_report_cases {
    ($($(#[$doc:meta])* $name:ident: $prepare:expr => $worker:expr;)+) => {
        $(
            $(#[$doc])*
            #[test]
            fn $name() {
                let worker: Option<&str> = $worker;
                for overtakes in [false, true] {
                    let expected = consequences($prepare, &[], overtakes);
                    assert_eq!(expected.1.as_deref(), worker);
                    for report in foreign_reports() {
                        let actual = consequences($prepare, &[report], overtakes);
                        assert_eq!(actual, expected, "after {report:?}");
                        let actual = consequences($prepare, &[report; 20], overtakes);
                        assert_eq!(actual, expected, "after a series of {report:?}");
                    }
                    let actual = consequences($prepare, &foreign_reports(), overtakes);
                    assert_eq!(actual, expected, "after all reports");
                }
            }
        )+
    };
}

foreign_report_cases! {
    /// The worker stayed unused for good: its own reports had an earlier start time.
    a_foreign_report_changes_nothing_at_an_idle_worker: |_| {} => Some("w");
    a_foreign_report_changes_nothing_while_a_start_is_pending: |site| site.start(1) => Some("w");
    /// All runs of the worker were freed at once, and their tasks ran twice.
    a_foreign_report_frees_no_run: |site| {
        site.start(1);
        site.deliver();
    } => Some("w");
    a_foreign_report_frees_no_run_that_is_being_stopped: |site| {
        site.start(1);
        site.deliver();
        site.send_frame(EntryFrame::Stop { run: run(1) });
    } => Some("w");
    a_foreign_report_frees_no_run_whose_stop_is_confirmed: |site| {
        site.start(1);
        site.deliver();
        site.send_frame(EntryFrame::Stop { run: run(1) });
        let stop = site.calls.remove(0);
        let confirmed = site.execute(stop).expect("a response");
        site.send(confirmed);
    } => Some("w");
    a_foreign_report_frees_no_run_whose_start_got_no_response: |site| {
        site.start(1);
        let ExecutionAction::Start(call) = site.calls.remove(0) else {
            panic!("expected a start call");
        };
        assert!(site.execute(ExecutionAction::Start(call.clone())).is_some());
        let response = StartResponse::Unanswered;
        site.send(ExecutionEvent::StartAnswered { call, response });
    } => Some("w");
    a_foreign_report_changes_nothing_at_an_unresponsive_worker: |site| {
        site.start(1);
        site.deliver();
        site.responds = false;
        site.pass(100);
    } => None;
    a_foreign_report_changes_nothing_at_a_worker_that_responds_again: |site| {
        site.start(1);
        site.deliver();
        site.responds = false;
        site.pass(100);
        site.responds = true;
    } => Some("w");
    a_foreign_report_changes_nothing_at_a_draining_worker: |site| {
        site.start(1);
        site.deliver();
        let view = view(BORN_MS, true);
        site.send(ExecutionEvent::Heartbeat { view, sequence: 2 });
    } => None;
    a_foreign_report_frees_no_run_of_a_leaving_worker: |site| {
        site.start(1);
        site.deliver();
        let worker = LeavingWorker { id: "w".to_owned(), born_unix_ms: Some(BORN_MS) };
        site.send(ExecutionEvent::WorkerLeaving(worker));
    } => None;
    a_foreign_report_changes_nothing_after_the_worker_has_left: |site| {
        let worker = LeavingWorker { id: "w".to_owned(), born_unix_ms: Some(BORN_MS) };
        site.send(ExecutionEvent::WorkerLeaving(worker));
    } => None;
    a_foreign_report_changes_nothing_at_a_restored_worker: |site| {
        *site = Site::without_report();
        let view = view(BORN_MS, false);
        site.send(ExecutionEvent::WorkerRestored { view });
    } => Some("w");
}

/// The first report may come from another sender, too.
#[test]
fn a_foreign_report_before_the_first_one_of_the_worker_delays_nothing() {
    for (id, born_unix_ms) in foreign_reports() {
        let mut site = Site::without_report();
        site.send(report_of(id, born_unix_ms, 50));
        site.deliver();
        site.send(report_of("w", BORN_MS, 1));
        site.deliver();
        assert_eq!(site.starts_at(1).as_deref(), Some("w"));
        assert_eq!(site.persisted().len(), 1);
    }
}

macro_rules! replacement_cases {
    ($($(#[$doc:meta])* $name:ident: $id:expr, $born_unix_ms:expr;)+) => {
        $(
            $(#[$doc])*
            #[test]
            fn $name() {
                let mut site = Site::ready();
                site.start(1);
                site.deliver();
                let started_at = site.test.now;
                site.replace_worker($id, $born_unix_ms);
                site.send(report_of($id, $born_unix_ms, 1));
                site.deliver();
                assert_eq!(site.starts_at(2).as_deref(), Some($id));
                assert_eq!(site.outcomes, []);
                while site.outcomes.is_empty() {
                    site.pass(TICK_MS);
                }
                assert_eq!(site.outcomes[0].1, RunOutcome::Lost);
                let waited_ms = site.test.now.millis_since(started_at);
                let max_lease_ms = limits().max_lease_ms();
                assert!(waited_ms >= max_lease_ms, "{waited_ms} ms");
                assert!(waited_ms <= max_lease_ms + 2 * TICK_MS, "{waited_ms} ms");
                site.pass(1_000);
                assert_eq!(site.outcomes.len(), 1);
                assert_eq!(site.worker.active_runs().len(), 1);
            }
        )+
    };
}

replacement_cases! {
    /// The tasks of the earlier worker ran twice until its lease had expired.
    runs_of_a_replaced_worker_are_lost_when_its_lease_expires: "v", BORN_MS + 500;
    /// A clock that was set back hid the worker for good.
    a_replacement_with_an_earlier_start_time_is_used: "v", BORN_MS - 500;
    a_replacement_with_the_same_start_time_is_used: "v", BORN_MS;
}

macro_rules! restart_cases {
    ($($(#[$doc:meta])* $name:ident: $born_unix_ms:expr;)+) => {
        $(
            $(#[$doc])*
            #[test]
            fn $name() {
                let mut site = Site::ready();
                site.start(1);
                site.deliver();
                site.restart_worker($born_unix_ms);
                site.send(report_of("w", $born_unix_ms, 1));
                assert_eq!(site.outcomes, []);
                site.deliver();
                let outcomes: Vec<RunOutcome> = site.outcomes.iter().map(|(_, end)| *end).collect();
                assert_eq!(outcomes, [RunOutcome::Lost]);
                assert_eq!(site.starts_at(2).as_deref(), Some("w"));
                assert_eq!(site.worker.active_runs().len(), 1);
            }
        )+
    };
}

restart_cases! {
    a_restarted_worker_is_used_once_it_responds: BORN_MS + 500;
    a_restarted_worker_with_an_earlier_start_time_is_used_once_it_responds: BORN_MS - 500;
}

/// A response to a call from before the latest replacement is late: its sender may have ended.
#[test]
fn a_late_confirmation_replaces_no_later_worker() {
    let mut site = Site::ready();
    site.replace_worker("v", BORN_MS + 500);
    site.send(report_of("v", BORN_MS + 500, 1));
    let calls = std::mem::take(&mut site.calls);
    let late: Vec<ExecutionEvent> = calls
        .into_iter()
        .filter_map(|call| site.execute(call))
        .collect();
    site.replace_worker("u", BORN_MS + 900);
    site.send(report_of("u", BORN_MS + 900, 1));
    site.deliver();
    site.start(1);
    site.deliver();
    for event in late {
        site.send(event);
    }
    site.deliver();
    site.pass(1_000);
    assert_eq!(site.outcomes, []);
    assert_eq!(site.starts_at(2).as_deref(), Some("u"));
}

/// The address of a host may be shared for a moment: the runs of a worker that is back are its own again,
/// and the lease that new starts extend holds for them, too.
#[test]
fn the_runs_of_a_replaced_worker_that_returns_go_on() {
    let mut site = Site::ready();
    site.start(1);
    site.deliver();
    site.replace_worker("v", BORN_MS + 500);
    site.send(report_of("v", BORN_MS + 500, 1));
    site.deliver();
    site.worker = site.replaced.remove(0);
    site.send(report_of("w", BORN_MS, 2));
    site.deliver();
    assert_eq!(site.starts_at(2).as_deref(), Some("w"));
    site.pass(1_000);
    assert_eq!(site.outcomes, []);
    assert_eq!(site.worker.active_runs().len(), 2);
}

/// The acceptance of a start at a replaced worker must not confirm the run at its successor.
#[test]
fn a_late_acceptance_by_a_replaced_worker_confirms_nothing() {
    let mut site = Site::ready();
    site.start(1);
    let call = site.calls.remove(0);
    let accepted = site.execute(call).expect("a response");
    site.replace_worker("v", BORN_MS + 500);
    site.send(report_of("v", BORN_MS + 500, 1));
    site.deliver();
    site.send(accepted);
    site.pass(limits().max_lease_ms() + 2 * TICK_MS);
    assert_eq!(site.outcomes.len(), 1);
    assert_eq!(site.outcomes[0].1, RunOutcome::Lost);
}

/// The list that confirms a restart may be older than a start that the new incarnation accepted.
#[test]
fn a_start_that_overtakes_the_confirmation_is_not_lost() {
    for start_is_sent_first in [false, true] {
        let mut site = Site::ready();
        site.restart_worker(BORN_MS + 500);
        if start_is_sent_first {
            site.start(1);
        }
        site.send(report_of("w", BORN_MS + 500, 1));
        if !start_is_sent_first {
            site.start(1);
        }
        let is_hold = |action: &ExecutionAction| matches!(action, ExecutionAction::Hold(call) if call.wait_ms == 0);
        let calls = std::mem::take(&mut site.calls);
        let (holds, others): (Vec<_>, Vec<_>) = calls.into_iter().partition(is_hold);
        let lists: Vec<ExecutionEvent> = holds
            .into_iter()
            .filter_map(|call| site.execute(call))
            .collect();
        site.calls = others;
        site.deliver();
        for list in lists {
            site.send(list);
        }
        site.deliver();
        site.pass(600);
        assert_eq!(site.outcomes, []);
        assert_eq!(site.worker.active_runs().len(), 1);
    }
}

/// A stop that an earlier incarnation confirmed left the run of the next one running.
#[test]
fn a_stop_is_repeated_at_the_next_incarnation() {
    let mut site = Site::ready();
    // The worker has restarted, accepts the start, and reports later.
    site.restart_worker(BORN_MS + 500);
    site.start(1);
    let call = site.calls.remove(0);
    let accepted = site.execute(call).expect("a response");
    site.send(accepted);
    site.calls.clear();
    site.send_frame(EntryFrame::Stop { run: run(1) });
    let is_stop = |action: &ExecutionAction| matches!(action, ExecutionAction::Stop(_));
    let index = site.calls.iter().position(is_stop).expect("a stop call");
    let ExecutionAction::Stop(call) = site.calls.remove(index) else {
        unreachable!("a stop call");
    };
    let confirmed = true;
    site.send(ExecutionEvent::StopAnswered { call, confirmed });
    site.calls.clear();
    site.send(report_of("w", BORN_MS + 500, 1));
    site.deliver();
    site.pass(300);
    let outcomes: Vec<RunOutcome> = site.outcomes.iter().map(|(_, end)| *end).collect();
    assert_eq!(outcomes, [RunOutcome::Stopped]);
    assert!(site.worker.active_runs().is_empty());
}

/// One lost call must not delay a replacement until its next report.
#[test]
fn a_lost_confirmation_is_repeated() {
    let mut site = Site::ready();
    site.replace_worker("v", BORN_MS + 500);
    site.send(report_of("v", BORN_MS + 500, 1));
    let is_named = |action: &ExecutionAction| matches!(action, ExecutionAction::Hold(call) if call.worker == "v");
    let index = site.calls.iter().position(is_named).expect("a call");
    let ExecutionAction::Hold(call) = site.calls.remove(index) else {
        unreachable!("a hold call");
    };
    let response = HoldResponse::Unanswered;
    site.send(ExecutionEvent::HoldAnswered { call, response });
    site.pass(120);
    assert_eq!(site.starts_at(1).as_deref(), Some("v"));
}

/// A sender of many reports must not cause as many calls and log lines.
#[test]
fn a_series_of_foreign_reports_is_bounded() {
    let mut site = Site::ready();
    site.calls.clear();
    site.responds = false;
    for number in 0..1_000 {
        site.send(report_of(&format!("x{number}"), BORN_MS + number, 1));
    }
    let calls = site.calls.len();
    assert!(calls <= 8, "{calls} calls");
    let is_ignored =
        |event: &ExecutionLogEvent| matches!(event, ExecutionLogEvent::ReportIgnored { .. });
    assert_eq!(site.lines(is_ignored), 1);
    site.responds = true;
    for number in 0..1_000 {
        site.send(report_of(&format!("x{number}"), BORN_MS + number, 1));
        site.deliver();
        if number % 10 == 0 {
            site.pass(TICK_MS);
        }
    }
    let lines = site.lines(is_ignored);
    assert!(lines <= 6, "{lines} lines in two seconds");
    assert_eq!(site.starts_at(1).as_deref(), Some("w"));
}

/// A later process of the agent must not start with a worker that was only reported.
#[test]
fn only_a_confirmed_worker_is_persisted() {
    let mut site = Site::ready();
    site.send(report_of("x", BORN_MS + 500, 1));
    site.deliver();
    site.pass(3_000);
    let known = view(BORN_MS, false).life;
    assert_eq!(site.persisted(), [&known]);
    let mut site = Site::without_report();
    let view = view(BORN_MS, false);
    site.send(ExecutionEvent::WorkerRestored { view });
    site.deliver();
    assert_eq!(site.persisted(), Vec::<&WorkerIncarnation>::new());
}

/// Reports of another service left no trace.
#[test]
fn a_report_of_another_service_is_logged_and_ignored() {
    let mut site = Site::ready();
    let mut view = view(BORN_MS, true);
    view.service = "other".to_owned();
    for sequence in 2..50 {
        let view = view.clone();
        site.send(ExecutionEvent::Heartbeat { view, sequence });
    }
    let is_logged = |event: &ExecutionLogEvent| {
        let ExecutionLogEvent::ReportIgnored { reason, .. } = event else {
            return false;
        };
        *reason == "other_service"
    };
    assert_eq!(site.lines(is_logged), 1);
    assert_eq!(site.starts_at(1).as_deref(), Some("w"));
}

macro_rules! silent_restart_cases {
    ($($(#[$doc:meta])* $name:ident: $born_unix_ms:expr;)+) => {
        $(
            $(#[$doc])*
            #[test]
            fn $name() {
                let mut site = Site::ready();
                site.start(1);
                site.deliver();
                site.pass(200);
                site.restart_worker($born_unix_ms);
                site.pass(300);
                let outcomes: Vec<RunOutcome> = site.outcomes.iter().map(|(_, end)| *end).collect();
                assert_eq!(outcomes, [RunOutcome::Lost]);
                // Its kind and its state are not known before its report.
                assert_eq!(site.starts_at(2), None);
                site.send(report_of("w", $born_unix_ms, 1));
                site.deliver();
                assert_eq!(site.starts_at(3).as_deref(), Some("w"));
            }
        )+
    };
}

silent_restart_cases! {
    /// The runs stayed in doubt until the report, and for good if the worker ended before it.
    a_restart_is_resolved_before_its_report: BORN_MS + 500;
    a_restart_with_an_earlier_start_time_is_resolved_before_its_report: BORN_MS - 500;
}

/// A worker that leaves before its report is confirmed must not be used by the late response.
#[test]
fn a_worker_that_leaves_before_its_confirmation_is_not_used() {
    let mut site = Site::ready();
    site.replace_worker("v", BORN_MS + 500);
    site.send(report_of("v", BORN_MS + 500, 1));
    let calls = std::mem::take(&mut site.calls);
    let late: Vec<ExecutionEvent> = calls
        .into_iter()
        .filter_map(|call| site.execute(call))
        .collect();
    let worker = LeavingWorker {
        id: "v".to_owned(),
        born_unix_ms: Some(BORN_MS + 500),
    };
    site.send(ExecutionEvent::WorkerLeaving(worker));
    for event in late {
        site.send(event);
    }
    site.deliver();
    assert_ne!(site.starts_at(1).as_deref(), Some("v"));
}

/// The stop of a run at a replaced worker must not be sent to its successor, which would then reject a
/// start of the task, nor free the run before the lease has expired.
#[test]
fn a_run_of_a_replaced_worker_is_not_stopped_at_its_successor() {
    let mut site = Site::ready();
    site.start(1);
    site.deliver();
    let started_at = site.test.now;
    site.replace_worker("v", BORN_MS + 500);
    site.send(report_of("v", BORN_MS + 500, 1));
    site.deliver();
    site.send_frame(EntryFrame::Stop { run: run(1) });
    let is_stop = |action: &ExecutionAction| matches!(action, ExecutionAction::Stop(_));
    assert!(!site.calls.iter().any(is_stop));
    while site.outcomes.is_empty() {
        site.pass(TICK_MS);
    }
    let waited_ms = site.test.now.millis_since(started_at);
    assert!(waited_ms >= limits().max_lease_ms(), "{waited_ms} ms");
    assert_eq!(site.starts_at(1).as_deref(), Some("v"));
    assert_eq!(site.worker.active_runs().len(), 1);
}

/// The stop of a lost entry's run at a replaced worker can't be confirmed. Starts of other entries at the
/// new worker were rejected meanwhile, and its lease was not renewed.
#[test]
fn an_unconfirmed_stop_at_a_replaced_worker_does_not_block_starts() {
    let mut site = Site::ready();
    let other = SessionId(2);
    let entry = "other".to_owned();
    site.send(ExecutionEvent::SessionOpened {
        session: other,
        entry,
    });
    site.send(ExecutionEvent::Frame {
        session: other,
        frame: heartbeat(site.test.now, 0),
    });
    site.send(ExecutionEvent::Frame {
        session: other,
        frame: EntryFrame::Start(start_order(1)),
    });
    site.deliver();
    site.replace_worker("x", BORN_MS + 500);
    site.send(report_of("x", BORN_MS + 500, 1));
    site.deliver();
    assert_eq!(site.starts_at(8).as_deref(), Some("x"));
    site.send(ExecutionEvent::SessionLost { session: other });
    site.deliver();
    site.pass(200);
    assert_eq!(site.starts_at(9).as_deref(), Some("x"));
}
