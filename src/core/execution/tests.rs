//! Directed tests of the executor; the seeded harness plays it with everything else.

use {
    super::{
        ExecutionAction, ExecutionEvent, Executor, ExecutorSettings, HoldCall, HoldResponse,
        ListedEnd, ListedRun, SessionId, StartCall, StartResponse,
    },
    crate::core::{
        link::{AgentFrame, EntryFrame, EvacuatedZones, NotStartedReason, RunOutcome, StartOrder},
        time::Instant,
        work::{JobId, Resources, RunId, RunLimits, TaskId, WorkerIncarnation, WorkerView},
    },
    std::{collections::BTreeSet, sync::Arc},
};

const SESSION: SessionId = SessionId(1);
/// When the worker of each test was born, in milliseconds since 1970.
const BORN_MS: u64 = 5_000;

/// An executor with its clock and what it last wanted done.
struct TestExecutor {
    executor: Executor,
    now: Instant,
    actions: Vec<ExecutionAction>,
}

fn limits() -> RunLimits {
    RunLimits::for_resend(1_300, 50)
}

fn view(born_unix_ms: u64, draining: bool) -> WorkerView {
    WorkerView {
        life: WorkerIncarnation {
            id: "w".to_owned(),
            born_unix_ms,
        },
        service: "shares".to_owned(),
        availability_zone: "north".to_owned(),
        capacity: Resources {
            cpu_milli: 2_000,
            ..Resources::default()
        },
        labels: Vec::new(),
        draining,
    }
}

fn run(job: u64) -> RunId {
    RunId {
        task: TaskId {
            job: JobId(job),
            step: 0,
            index: 0,
        },
        number: 1,
    }
}

fn start_order(job: u64) -> StartOrder {
    StartOrder {
        run: run(job),
        spec: Arc::from("spec"),
        needs: Resources {
            cpu_milli: 1_000,
            ..Resources::default()
        },
        time_left_ms: 5_000,
    }
}

impl TestExecutor {
    /// An executor that knows neither a worker nor an entry.
    fn without_worker() -> Self {
        let settings = ExecutorSettings {
            agent: "agent".to_owned(),
            service: "shares".to_owned(),
            limits: limits(),
            first_token: 100,
        };
        Self {
            executor: Executor::new(settings),
            now: Instant::from_millis(10_000),
            actions: Vec::new(),
        }
    }

    /// An executor with a worker that is ready and an entry that may run tasks.
    fn ready() -> Self {
        let mut test = Self::without_worker();
        test.send_worker_heartbeat(BORN_MS, 1, false);
        let poll = test.hold_calls().remove(0);
        test.send_run_list(poll, &[], &[]);
        test.open_session();
        test.send_entry_heartbeat();
        test
    }

    fn open_session(&mut self) {
        self.open_session_of("entry", SESSION);
    }

    fn open_session_of(&mut self, entry: &str, session: SessionId) {
        self.send_event(ExecutionEvent::SessionOpened {
            session,
            entry: entry.to_owned(),
        });
    }

    fn send_event(&mut self, event: ExecutionEvent) {
        self.actions = self.executor.handle(self.now, event);
    }

    fn advance(&mut self, elapsed_ms: u64) {
        self.now = self.now.plus_ms(elapsed_ms);
        self.send_event(ExecutionEvent::Tick);
    }

    fn send_worker_heartbeat(&mut self, born_unix_ms: u64, sequence: u64, draining: bool) {
        let view = view(born_unix_ms, draining);
        self.send_event(ExecutionEvent::Heartbeat { view, sequence });
    }

    fn send_frame(&mut self, frame: EntryFrame) {
        let session = SESSION;
        self.send_event(ExecutionEvent::Frame { session, frame });
    }

    fn send_entry_heartbeat(&mut self) {
        self.send_frame(EntryFrame::Beat {
            echo_us: self.now.as_micros(),
            news_version: 0,
            document_revision: 0,
            is_holder: false,
        });
    }

    fn send_run_list(&mut self, call: HoldCall, running: &[RunId], ended: &[ListedEnd]) {
        self.send_run_list_at(1_000, call, running, ended);
    }

    /// The lists as the worker made them when its clock showed this time.
    fn send_run_list_at(
        &mut self,
        clock_ms: u64,
        call: HoldCall,
        running: &[RunId],
        ended: &[ListedEnd],
    ) {
        let response = HoldResponse::RunList {
            born_unix_ms: Some(BORN_MS),
            clock_ms,
            running: running
                .iter()
                .map(|run| ListedRun {
                    task: run.task,
                    number: run.number,
                })
                .collect(),
            ended: ended.to_vec(),
        };
        self.send_event(ExecutionEvent::HoldAnswered { call, response });
    }

    fn hold_calls(&self) -> Vec<HoldCall> {
        let hold_calls = self.actions.iter().filter_map(|action| match action {
            ExecutionAction::Hold(call) => Some(call.clone()),
            _ => None,
        });
        hold_calls.collect()
    }

    fn start_calls(&self) -> Vec<StartCall> {
        let start_calls = self.actions.iter().filter_map(|action| match action {
            ExecutionAction::Start(call) => Some(call.clone()),
            _ => None,
        });
        start_calls.collect()
    }

    fn stop_count(&self) -> usize {
        let stops = self.actions.iter();
        stops
            .filter(|action| matches!(action, ExecutionAction::Stop(_)))
            .count()
    }

    /// How runs ended, as the entry was told.
    fn outcomes(&self) -> Vec<RunOutcome> {
        let outcomes = self.actions.iter().filter_map(|action| match action {
            ExecutionAction::Send {
                frame: AgentFrame::Ended { end, .. },
                ..
            } => Some(*end),
            _ => None,
        });
        outcomes.collect()
    }

    /// Starts a task and lets the worker answer so.
    fn start_task(&mut self, job: u64, response: StartResponse) {
        self.send_frame(EntryFrame::Start(start_order(job)));
        let call = self.start_calls().remove(0);
        self.send_event(ExecutionEvent::StartAnswered { call, response });
    }
}

macro_rules! rejection_cases {
    ($($(#[$doc:meta])* $name:ident: $prepare:expr => $reason:ident;)+) => {
        $(
            $(#[$doc])*
            #[test]
            fn $name() {
                let mut test = TestExecutor::ready();
                let prepare: fn(&mut TestExecutor) = $prepare;
                prepare(&mut test);
                test.send_frame(EntryFrame::Start(start_order(1)));
                assert_eq!(test.outcomes(), [RunOutcome::NotStarted(NotStartedReason::$reason)]);
                assert!(test.start_calls().is_empty());
            }
        )+
    };
}

rejection_cases! {
    /// A worker says that it ends. From the moment at which that is acknowledged it is given nothing.
    a_draining_worker_rejects_starts: |test| test.send_worker_heartbeat(BORN_MS, 2, true) => Draining;
    an_evacuated_zone_rejects_starts: |test| test.send_frame(EntryFrame::News(EvacuatedZones {
        version: 7,
        evacuated: BTreeSet::from(["north".to_owned()]),
    })) => Evacuated;
    a_task_with_an_unfinished_run_is_rejected: |test| test.start_task(1, StartResponse::Accepted) => TaskBusy;
    a_start_above_the_free_capacity_is_rejected: |test| {
        test.start_task(2, StartResponse::Accepted);
        test.start_task(3, StartResponse::Accepted);
    } => NoRoom;
    a_start_after_the_entry_lease_expired_is_rejected: |test| {
        test.now = test.now.plus_ms(limits().silence_ms);
    } => RightLapsed;
    a_start_during_shutdown_is_rejected: |test| test.send_event(ExecutionEvent::Shutdown) => Draining;
}

/// Requests for the document after beats that name the agent as a holder, or not, 200 ms apart.
fn document_requests(holder_flags: &[bool]) -> usize {
    let mut test = TestExecutor::ready();
    let mut requests = 0;
    for is_holder in holder_flags {
        test.now = test.now.plus_ms(200);
        test.send_frame(EntryFrame::Beat {
            echo_us: test.now.as_micros(),
            news_version: 0,
            document_revision: 4,
            is_holder: *is_holder,
        });
        let is_request = |action: &&ExecutionAction| {
            matches!(
                action,
                ExecutionAction::Send {
                    frame: AgentFrame::FetchDocument(_),
                    ..
                }
            )
        };
        requests += test.actions.iter().filter(is_request).count();
    }
    requests
}

macro_rules! document_cases {
    ($($(#[$doc:meta])* $name:ident: $holder_flags:expr => $requests:expr;)+) => {
        $(
            $(#[$doc])*
            #[test]
            fn $name() {
                assert_eq!(document_requests(&$holder_flags), $requests);
            }
        )+
    };
}

document_cases! {
    a_holder_fetches_the_document: [true, true, true, true, true] => 1;
    an_agent_that_is_not_a_holder_does_not_fetch: [false, false, false, false, false] => 0;
    /// Guards against copies at most agents of a site that starts: each is among the first for a moment.
    a_briefly_named_holder_does_not_fetch: [true, true, false, true, true] => 0;
}

/// An entry's host is suspended. Its runs are stopped once its right has lapsed, and its session is given up, so
/// that a copy of the job at another entry finds nothing of it at work.
#[test]
fn runs_of_an_unresponsive_entry_are_stopped() {
    let mut test = TestExecutor::ready();
    test.start_task(1, StartResponse::Accepted);
    let mut stops = Vec::new();
    for _ in 0..limits().silence_ms / 15 {
        test.advance(15);
        stops.push(test.stop_count());
        let actions = std::mem::take(&mut test.actions);
        for action in &actions {
            if let ExecutionAction::Hold(call) = action {
                test.send_run_list(call.clone(), &[run(1)], &[]);
            }
        }
        test.actions = actions;
    }
    assert_eq!(stops.pop(), Some(1));
    assert_eq!(stops.iter().sum::<usize>(), 0);
    let closed = ExecutionAction::Close { session: SESSION };
    assert!(test.actions.contains(&closed));
}

/// What an entry was last told of free room, in cores.
fn reported_cores(test: &TestExecutor, recipient: SessionId) -> Option<u32> {
    let mut reports = test.actions.iter().rev().filter_map(|action| match action {
        ExecutionAction::Send {
            session,
            frame: AgentFrame::Room(report),
        } if *session == recipient => Some(report.free.cpu_milli / 1_000),
        _ => None,
    });
    reports.next()
}

/// A worker of two slots that is full, and two more entries that were turned away.
fn full_worker_with_two_waiting_entries() -> TestExecutor {
    let mut test = TestExecutor::ready();
    test.start_task(1, StartResponse::Accepted);
    test.start_task(2, StartResponse::Accepted);
    for session in [SessionId(2), SessionId(3)] {
        let entry = format!("entry-{}", session.0);
        test.send_event(ExecutionEvent::SessionOpened { session, entry });
        let echo_us = test.now.as_micros();
        let frame = EntryFrame::Beat {
            echo_us,
            news_version: 0,
            document_revision: 0,
            is_holder: false,
        };
        test.send_event(ExecutionEvent::Frame { session, frame });
        let frame = EntryFrame::Start(start_order(10 + session.0));
        test.send_event(ExecutionEvent::Frame { session, frame });
        assert_eq!(reported_cores(&test, session), Some(0));
    }
    test
}

/// Of the two entries that wait, the one that was told of a slot, and the other.
fn reserved_and_other(test: &TestExecutor) -> (SessionId, SessionId) {
    let (one, two) = (SessionId(2), SessionId(3));
    if reported_cores(test, one) == Some(1) {
        return (one, two);
    }
    assert_eq!(reported_cores(test, two), Some(1));
    (two, one)
}

/// A look at the worker that was made after all others.
fn latest_poll() -> HoldCall {
    HoldCall {
        worker: "w".to_owned(),
        sequence: 1_000,
        token: 100,
        lease_until_ms: None,
        last_seen_end: 0,
        wait_ms: 0,
    }
}

fn listed_end(job: u64) -> ListedEnd {
    ListedEnd {
        sequence: job,
        task: run(job).task,
        number: 1,
        end: RunOutcome::Done,
    }
}

/// More work waits at three entries than a worker can take. When a slot becomes free, one of those that were turned away is
/// told of it, and no other that waits. All used to be told, all ordered, and all but one were turned away again.
#[test]
fn a_free_slot_is_reserved_for_one_waiting_entry() {
    let mut test = full_worker_with_two_waiting_entries();
    // By then a report to each of them would be due, also after they have been told of each other.
    test.advance(30);
    test.advance(30);
    test.send_run_list(latest_poll(), &[run(2)], &[listed_end(1)]);
    let (reserved, other) = reserved_and_other(&test);
    assert_eq!(reported_cores(&test, other), None);
    // Left alone, the slot goes to the next one.
    test.advance(12);
    assert_eq!(reported_cores(&test, other), Some(1));
    assert_eq!(reported_cores(&test, reserved), None);
}

/// An entry is offered a slot that it no longer needs. Its word passes the slot on at once; it used to stand idle for
/// the length of the offer, up to a tenth of a worker's time in overload.
#[test]
fn a_declined_slot_is_reserved_for_the_next_entry() {
    let mut test = full_worker_with_two_waiting_entries();
    test.send_run_list(latest_poll(), &[run(2)], &[listed_end(1)]);
    let (reserved, other) = reserved_and_other(&test);
    let frame = EntryFrame::Decline;
    let session = reserved;
    test.send_event(ExecutionEvent::Frame { session, frame });
    assert_eq!(reported_cores(&test, other), Some(1));
}

/// The entry that took the offered slot waits its turn behind the one that runs nothing here.
#[test]
fn the_entry_with_the_fewest_runs_gets_a_free_slot_first() {
    let mut test = full_worker_with_two_waiting_entries();
    // By then a report to each of them would be due, also after they have been told of each other.
    test.advance(30);
    test.advance(30);
    test.send_run_list(latest_poll(), &[run(2)], &[listed_end(1)]);
    let (reserved, other) = reserved_and_other(&test);
    let frame = EntryFrame::Start(start_order(12));
    let session = reserved;
    test.send_event(ExecutionEvent::Frame { session, frame });
    assert_eq!(test.start_calls().len(), 1);
    assert_eq!(reported_cores(&test, reserved), Some(0));
    test.advance(30);
    test.send_run_list(latest_poll(), &[run(12)], &[listed_end(2)]);
    assert_eq!(reported_cores(&test, other), Some(1));
    assert_eq!(reported_cores(&test, reserved), None);
}

/// The list of entries loses an entry and has it again while its session lives, and the agent dials it a second time. The
/// hello of the second session told the entry that nothing of the first runs here: it started its tasks
/// elsewhere, and for some tens of milliseconds they had two runs.
#[test]
fn a_second_session_of_an_entry_is_closed() {
    let mut test = TestExecutor::ready();
    test.start_task(1, StartResponse::Accepted);
    let second = SessionId(2);
    let open_second = || ExecutionEvent::SessionOpened {
        session: second,
        entry: "entry".to_owned(),
    };
    let is_hello = |action: &ExecutionAction| matches!(action, ExecutionAction::Send { session, frame: AgentFrame::Hello { .. } } if *session == second);
    test.send_event(open_second());
    assert!(!test.actions.iter().any(is_hello));
    assert!(
        test.actions
            .contains(&ExecutionAction::Close { session: second })
    );
    // Nor while the first one's run is not over.
    let session = SESSION;
    test.send_event(ExecutionEvent::SessionLost { session });
    test.send_event(open_second());
    assert!(!test.actions.iter().any(is_hello));
}

/// Two looks at a worker are under way. The later one tells a run's end, and the earlier one, whose answer was overtaken, still
/// lists the run. It used to be taken for a run that nobody started, and was stopped and noted, twenty
/// times a second on a busy site.
#[test]
fn a_stale_run_list_stops_no_runs() {
    let mut test = TestExecutor::ready();
    test.start_task(1, StartResponse::Accepted);
    test.advance(120);
    let earlier = test.hold_calls().remove(0);
    let ended = ListedEnd {
        sequence: 1,
        task: run(1).task,
        number: 1,
        end: RunOutcome::Done,
    };
    test.send_run_list_at(1_121, earlier.clone(), &[], &[ended]);
    assert_eq!(test.outcomes(), [RunOutcome::Done]);
    test.send_run_list_at(1_120, earlier.clone(), &[run(1)], &[]);
    assert_eq!(test.stop_count(), 0);
    // A list that is as new tells of a run that really goes on.
    test.send_run_list_at(1_121, earlier, &[run(1)], &[]);
    assert_eq!(test.stop_count(), 1);
}

/// Bytes of an entry are held up for seconds and then arrive at once. The echo in them is old and gives no right.
#[test]
fn an_old_echo_does_not_extend_the_lease() {
    let mut test = TestExecutor::ready();
    let echo_us = test.now.as_micros();
    test.now = test.now.plus_ms(3_000);
    test.send_frame(EntryFrame::Beat {
        echo_us,
        news_version: 0,
        document_revision: 0,
        is_holder: false,
    });
    test.send_frame(EntryFrame::Start(start_order(1)));
    assert_eq!(
        test.outcomes(),
        [RunOutcome::NotStarted(NotStartedReason::RightLapsed)]
    );
}

/// A start is not answered. It may be carried out seconds later, so the task is not given back before
/// the worker has taken a higher token; then its lists tell.
#[test]
fn an_unanswered_start_is_resolved_under_a_higher_token() {
    let mut test = TestExecutor::ready();
    test.start_task(1, StartResponse::Unanswered);
    assert!(test.outcomes().is_empty());
    let poll = test.hold_calls().remove(0);
    assert_eq!(poll.token, 101);
    test.send_run_list(poll, &[], &[]);
    assert_eq!(
        test.outcomes(),
        [RunOutcome::NotStarted(NotStartedReason::OrderLost)]
    );
}

#[test]
fn an_unanswered_start_that_is_listed_keeps_running() {
    let mut test = TestExecutor::ready();
    test.start_task(1, StartResponse::Unanswered);
    let poll = test.hold_calls().remove(0);
    test.send_run_list(poll, &[run(1)], &[]);
    assert!(test.outcomes().is_empty());
    assert_eq!(test.executor.run_count(), 1);
}

/// A run of the task had ended at this worker for another entry. The number is used, and the next one is taken.
#[test]
fn a_used_run_number_is_incremented() {
    let mut test = TestExecutor::ready();
    test.start_task(1, StartResponse::NumberUsed);
    assert_eq!(test.start_calls()[0].number, 2);
}

/// All agents of a site are killed and start again at once, while their workers live on and report every second and a half. What
/// an earlier process has kept is enough to look at the worker, so tasks start there some milliseconds later, not with its next
/// report. If none comes, the worker may have said to the earlier process that it ends, and is given nothing more.
#[test]
fn a_restored_worker_is_used_before_it_reports() {
    let mut test = TestExecutor::without_worker();
    test.send_event(ExecutionEvent::WorkerRestored {
        view: view(BORN_MS, false),
    });
    let poll = test.hold_calls().remove(0);
    test.send_run_list(poll, &[], &[]);
    assert!(test.actions.contains(&ExecutionAction::StaleRunsStopped));
    test.open_session();
    test.send_entry_heartbeat();
    test.send_frame(EntryFrame::Start(start_order(1)));
    assert_eq!(test.start_calls().len(), 1);
    for _ in 0..30 {
        test.advance(100);
        for poll in test.hold_calls() {
            test.send_run_list(poll, &[], &[]);
        }
    }
    test.open_session_of("other entry", SessionId(2));
    let announced = test.actions.iter().find_map(|action| match action {
        ExecutionAction::Send {
            frame: AgentFrame::Worker(view),
            ..
        } => view.clone(),
        _ => None,
    });
    assert!(announced.is_some_and(|view| view.draining));
}

/// The worker was replaced while no agent was at work. It rejects the look that was meant for the one before, which is
/// never offered; its own report is waited for.
#[test]
fn a_restored_worker_that_was_replaced_is_not_announced() {
    let mut test = TestExecutor::without_worker();
    test.send_event(ExecutionEvent::WorkerRestored {
        view: view(BORN_MS - 1, false),
    });
    let call = test.hold_calls().remove(0);
    let response = HoldResponse::OtherWorker;
    test.send_event(ExecutionEvent::HoldAnswered { call, response });
    assert!(!test.actions.contains(&ExecutionAction::StaleRunsStopped));
    test.send_worker_heartbeat(BORN_MS, 1, false);
    let poll = test.hold_calls().remove(0);
    test.send_run_list(poll, &[], &[]);
    assert!(test.actions.contains(&ExecutionAction::StaleRunsStopped));
}

/// What the worker says of itself is kept when it changes, not with each report.
#[test]
fn a_worker_view_is_persisted_only_when_it_changes() {
    let mut test = TestExecutor::ready();
    let is_persisted = |test: &TestExecutor| {
        let mut actions = test.actions.iter();
        actions.any(|action| matches!(action, ExecutionAction::PersistWorker(_)))
    };
    test.send_worker_heartbeat(BORN_MS, 2, false);
    assert!(!is_persisted(&test));
    test.send_worker_heartbeat(BORN_MS, 3, true);
    assert!(is_persisted(&test));
}

/// An agent is killed and starts again. What its earlier process had started is still at work at the worker: it is
/// stopped before the worker is offered.
#[test]
fn runs_of_an_earlier_agent_process_are_stopped_before_the_worker_is_ready() {
    let settings = TestExecutor::ready().executor.settings.clone();
    let mut test = TestExecutor {
        executor: Executor::new(settings),
        now: Instant::from_millis(10_000),
        actions: Vec::new(),
    };
    test.send_worker_heartbeat(BORN_MS, 9, false);
    let poll = test.hold_calls().remove(0);
    test.send_run_list(poll, &[run(8)], &[]);
    assert_eq!(test.stop_count(), 1);
    assert!(!test.actions.contains(&ExecutionAction::StaleRunsStopped));
    test.advance(100);
    let poll = test.hold_calls().remove(0);
    test.send_run_list(poll, &[], &[]);
    assert!(test.actions.contains(&ExecutionAction::StaleRunsStopped));
}

/// A worker begins anew under its name and takes a start; its report of that comes late. The run is not
/// given back as lost with the life before, since it is at work.
#[test]
fn a_run_started_before_the_restart_is_reported_keeps_running() {
    let mut test = TestExecutor::ready();
    test.start_task(1, StartResponse::Accepted);
    test.send_worker_heartbeat(BORN_MS + 500, 1, false);
    assert!(test.outcomes().is_empty());
    let call = test.hold_calls().remove(0);
    let response = HoldResponse::RunList {
        born_unix_ms: Some(BORN_MS + 500),
        clock_ms: 40,
        running: vec![ListedRun {
            task: run(1).task,
            number: 1,
        }],
        ended: Vec::new(),
    };
    test.send_event(ExecutionEvent::HoldAnswered { call, response });
    assert!(test.outcomes().is_empty());
    assert_eq!(test.executor.run_count(), 1);
}

/// A report of an earlier life comes after that of the present one. It names no worker to use.
#[test]
fn a_late_report_of_an_earlier_incarnation_is_ignored() {
    let mut test = TestExecutor::ready();
    test.send_worker_heartbeat(BORN_MS - 1, 99, true);
    test.start_task(1, StartResponse::Accepted);
    assert!(test.outcomes().is_empty());
}

/// A worker's process is gone, and connections to it are refused at once. Each refusal was answered with
/// another call, thousands a second; and the worker was offered on, as long as nothing ran there.
#[test]
fn a_worker_that_refuses_connections_is_not_called_in_a_loop() {
    let mut test = TestExecutor::ready();
    // The watch that the worker was given first is over by then.
    test.advance(2_000);
    let mut pending: Vec<HoldCall> = test.hold_calls();
    let mut calls = 0;
    for _ in 0..100 {
        while let Some(call) = pending.pop().filter(|_| calls < 1_000) {
            calls += 1;
            let response = HoldResponse::Unanswered;
            test.send_event(ExecutionEvent::HoldAnswered { call, response });
            pending.extend(test.hold_calls());
        }
        test.advance(20);
        pending.extend(test.hold_calls());
    }
    assert!(calls <= 25, "{calls} calls in two seconds");
    test.send_frame(EntryFrame::Start(start_order(1)));
    assert!(test.start_calls().is_empty());
}

/// A worker does not answer, and tasks run there. They are given back only when its lease is certainly over.
#[test]
fn runs_of_an_unresponsive_worker_are_lost_when_its_lease_expires() {
    let mut test = TestExecutor::ready();
    test.start_task(1, StartResponse::Accepted);
    let mut waited_ms = 0;
    while test.outcomes().is_empty() {
        test.advance(20);
        test.renew_entry_lease();
        waited_ms += 20;
        for call in test.hold_calls() {
            let response = HoldResponse::Unanswered;
            let earlier_actions = std::mem::take(&mut test.actions);
            test.send_event(ExecutionEvent::HoldAnswered { call, response });
            test.actions.extend(earlier_actions);
        }
        assert!(waited_ms < 2_000);
    }
    assert_eq!(test.outcomes(), [RunOutcome::Lost]);
    assert!(waited_ms >= 2 * limits().lease_ms - 100, "{waited_ms}");
}

impl TestExecutor {
    /// Keeps the entry's right without forgetting the actions that are looked at.
    fn renew_entry_lease(&mut self) {
        let earlier_actions = std::mem::take(&mut self.actions);
        self.send_entry_heartbeat();
        self.actions.extend(earlier_actions);
    }
}

#[test]
fn an_outcome_is_reported_once() {
    let mut test = TestExecutor::ready();
    test.start_task(1, StartResponse::Accepted);
    let end = ListedEnd {
        sequence: 1,
        task: run(1).task,
        number: 1,
        end: RunOutcome::Done,
    };
    test.advance(150);
    let poll = test.hold_calls().remove(0);
    test.send_run_list(poll.clone(), &[], &[end]);
    assert_eq!(test.outcomes(), [RunOutcome::Done]);
    test.send_run_list(poll, &[], &[end]);
    assert!(test.outcomes().is_empty());
}

/// A start is under way when its worker's host loses power: the task began, the answer never came, and the worker
/// that comes next lists nothing. The client was told "not run", which was false.
#[test]
fn a_start_that_a_restarted_worker_may_have_run_is_lost() {
    let mut test = TestExecutor::ready();
    test.send_frame(EntryFrame::Start(start_order(1)));
    test.send_worker_heartbeat(BORN_MS + 500, 1, false);
    let call = test.hold_calls().remove(0);
    let response = HoldResponse::RunList {
        born_unix_ms: Some(BORN_MS + 500),
        clock_ms: 40,
        running: Vec::new(),
        ended: Vec::new(),
    };
    test.send_event(ExecutionEvent::HoldAnswered { call, response });
    assert_eq!(test.outcomes(), [RunOutcome::Lost]);
}

/// The same where the worker stays silent until its lease is over.
#[test]
fn an_unanswered_start_at_an_unresponsive_worker_is_lost() {
    let mut test = TestExecutor::ready();
    test.start_task(1, StartResponse::Unanswered);
    for _ in 0..100 {
        if !test.outcomes().is_empty() {
            break;
        }
        test.advance(20);
        test.renew_entry_lease();
    }
    assert_eq!(test.outcomes(), [RunOutcome::Lost]);
}
