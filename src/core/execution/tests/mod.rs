//! Unit tests of the executor; `core::tests` simulates it together with the other parts.

mod cancelled_jobs;
mod capacity_reports;
mod capacity_shares;
mod crashes;
mod departure;
mod document_reads;
mod entry_loss;
mod incarnations;
mod lost_calls;
mod queue_levels;
mod restarts;
mod restored_worker;
mod retirement;
mod speed;
mod zone_reads;

use {
    super::{
        ExecutionAction, ExecutionEvent, ExecutionLogEvent, Executor, ExecutorSettings, HoldCall,
        HoldResponse, LeavingWorker, ListedEnd, ListedRun, SessionId, StartCall, StartResponse,
        StopCall,
    },
    crate::core::{
        link::{AgentFrame, EntryFrame, EvacuatedZones, NotStartedReason, RunOutcome, StartOrder},
        time::Instant,
        work::{
            JobId, QueueId, Resources, RunId, RunLimits, TaskId, WorkerIncarnation, WorkerView,
        },
    },
    std::{collections::BTreeSet, sync::Arc},
};

const SESSION: SessionId = SessionId(1);
/// Start time of the worker's incarnation, in milliseconds since the Unix epoch.
const BORN_MS: u64 = 5_000;

/// An executor with its clock and its latest actions.
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
            job: JobId::of_number(job),
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
        estimate_ms: 100,
        is_suspect: false,
    }
}

/// A heartbeat of an entry that echoes a timestamp of `now`.
fn heartbeat(now: Instant, demand_milli: u32) -> EntryFrame {
    EntryFrame::Beat {
        demand_milli,
        echo_us: now.as_micros(),
        news_version: 0,
        zones_age_ms: Some(0),
        rows_version: 0,
        document_revision: 0,
        is_holder: false,
        queue_demands: Vec::new(),
    }
}

impl TestExecutor {
    /// An executor without a worker and without sessions.
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

    /// An executor with a ready worker and one entry with a valid lease.
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
        self.send_frame(heartbeat(self.now, 0));
    }

    fn send_run_list(&mut self, call: HoldCall, running: &[RunId], ended: &[ListedEnd]) {
        self.send_run_list_at(1_000, call, running, ended);
    }

    /// Sends a run list that was made when the worker's clock showed `clock_ms`.
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
                    task: run.task.name(),
                    number: run.number,
                })
                .collect(),
            ended: ended.to_vec(),
        };
        self.send_event(ExecutionEvent::HoldAnswered { call, response });
    }

    /// Sends the report of another incarnation, and its response to the call that is to confirm it.
    fn replace_incarnation(&mut self, born_unix_ms: u64, sequence: u64) {
        self.send_worker_heartbeat(born_unix_ms, sequence, false);
        let call = self.hold_calls().remove(0);
        let response = HoldResponse::RunList {
            born_unix_ms: Some(born_unix_ms),
            clock_ms: 40,
            running: Vec::new(),
            ended: Vec::new(),
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

    /// Outcomes that were reported to entries.
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

    /// Sends a start order and the worker's response to the start call.
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
    /// A worker that has announced its shutdown gets no more starts.
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
        test.now = test.now.plus_ms(limits().liveness_timeout_ms);
    } => RightLapsed;
    a_start_during_shutdown_is_rejected: |test| test.send_event(ExecutionEvent::Shutdown) => Draining;
    a_start_on_a_retired_session_is_rejected: |test| {
        test.send_event(ExecutionEvent::RetireSession { session: SESSION });
    } => Draining;
}

/// A run of another queue's job with the same number would be taken for this one's.
#[test]
fn a_start_is_rejected_while_its_name_is_in_use() {
    let mut test = TestExecutor::ready();
    test.start_task(1, StartResponse::Accepted);
    let mut order = start_order(1);
    order.run.task.job.queue = QueueId::new("rents.example", "/");
    test.send_frame(EntryFrame::Start(order.clone()));
    let in_use = RunOutcome::NotStarted(NotStartedReason::NameInUse);
    assert_eq!(test.outcomes(), [in_use]);
    // A stop of that run must not stop the other one.
    test.send_frame(EntryFrame::Stop { run: order.run });
    assert_eq!(test.stop_count(), 0);
}

/// Counts document requests after entry heartbeats, 200 ms apart, with these values of `is_holder`.
fn document_requests(holder_flags: &[bool]) -> usize {
    let mut test = TestExecutor::ready();
    let mut requests = 0;
    for is_holder in holder_flags {
        test.now = test.now.plus_ms(200);
        test.send_frame(EntryFrame::Beat {
            demand_milli: 0,
            echo_us: test.now.as_micros(),
            news_version: 0,
            zones_age_ms: Some(0),
            rows_version: 0,
            document_revision: 4,
            is_holder: *is_holder,
            queue_demands: Vec::new(),
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
    /// While a site starts, each agent is a holder for a moment; that must not copy the document to
    /// all of them.
    a_briefly_named_holder_does_not_fetch: [true, true, false, true, true] => 0;
}

/// When an entry becomes unresponsive, its runs are stopped and its session is closed, so that a
/// copy of the job at another entry does not run its tasks twice.
#[test]
fn runs_of_an_unresponsive_entry_are_stopped() {
    let mut test = TestExecutor::ready();
    test.start_task(1, StartResponse::Accepted);
    let mut stops = Vec::new();
    for _ in 0..limits().liveness_timeout_ms / 15 {
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

/// The latest free capacity reported to an entry, in cores.
fn reported_cores(test: &TestExecutor, recipient: SessionId) -> Option<u32> {
    let mut reports = test.actions.iter().rev().filter_map(|action| match action {
        ExecutionAction::Send {
            session,
            frame: AgentFrame::Room { report, .. },
        } if *session == recipient => Some(report.free.cpu_milli / 1_000),
        _ => None,
    });
    reports.next()
}

/// A full worker with two slots, and two more entries whose starts were rejected.
fn full_worker_with_two_waiting_entries() -> TestExecutor {
    let mut test = TestExecutor::ready();
    test.start_task(1, StartResponse::Accepted);
    test.start_task(2, StartResponse::Accepted);
    for session in [SessionId(2), SessionId(3)] {
        let entry = format!("entry-{}", session.0);
        test.send_event(ExecutionEvent::SessionOpened { session, entry });
        let frame = heartbeat(test.now, 0);
        test.send_event(ExecutionEvent::Frame { session, frame });
        let frame = EntryFrame::Start(start_order(10 + session.0));
        test.send_event(ExecutionEvent::Frame { session, frame });
        assert_eq!(reported_cores(&test, session), Some(0));
    }
    test
}

/// Of the two waiting entries, the one with the reservation, then the other.
fn reserved_and_other(test: &TestExecutor) -> (SessionId, SessionId) {
    let (one, two) = (SessionId(2), SessionId(3));
    if reported_cores(test, one) == Some(1) {
        return (one, two);
    }
    assert_eq!(reported_cores(test, two), Some(1));
    (two, one)
}

/// A hold call with a higher sequence number than all others.
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
        task: run(job).task.name(),
        number: 1,
        end: RunOutcome::Done,
    }
}

/// Announcing a free slot to all waiting entries makes all of them send a start and all but one be
/// rejected.
#[test]
fn a_free_slot_is_reserved_for_one_waiting_entry() {
    let mut test = full_worker_with_two_waiting_entries();
    // Periodic reports to both entries are due by then.
    test.advance(30);
    test.advance(30);
    test.send_run_list(latest_poll(), &[run(2)], &[listed_end(1)]);
    let (reserved, other) = reserved_and_other(&test);
    assert_eq!(reported_cores(&test, other), None);
    // An unused reservation passes to the next entry.
    test.advance(12);
    assert_eq!(reported_cores(&test, other), Some(1));
    assert_eq!(reported_cores(&test, reserved), None);
}

/// A declined reservation must not leave the slot idle until it expires.
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

/// An entry that has used its reservation waits behind one without runs here.
#[test]
fn the_entry_with_the_fewest_runs_gets_a_free_slot_first() {
    let mut test = full_worker_with_two_waiting_entries();
    // Periodic reports to both entries are due by then.
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

/// A second session with the same entry must not send a hello: the entry would start its tasks
/// elsewhere while their runs on the first session continue.
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
    // The entry is rejected as well while a run of its first session is unfinished.
    let session = SESSION;
    test.send_event(ExecutionEvent::SessionLost { session });
    test.send_event(open_second());
    assert!(!test.actions.iter().any(is_hello));
}

/// A stale run list still contains a run whose outcome a newer one has reported; the run must not
/// count as orphaned.
#[test]
fn a_stale_run_list_stops_no_runs() {
    let mut test = TestExecutor::ready();
    test.start_task(1, StartResponse::Accepted);
    test.advance(120);
    let earlier = test.hold_calls().remove(0);
    let ended = ListedEnd {
        sequence: 1,
        task: run(1).task.name(),
        number: 1,
        end: RunOutcome::Done,
    };
    test.send_run_list_at(1_121, earlier.clone(), &[], &[ended]);
    assert_eq!(test.outcomes(), [RunOutcome::Done]);
    test.send_run_list_at(1_120, earlier.clone(), &[run(1)], &[]);
    assert_eq!(test.stop_count(), 0);
    // A list that is just as new does identify an orphaned run.
    test.send_run_list_at(1_121, earlier, &[run(1)], &[]);
    assert_eq!(test.stop_count(), 1);
}

/// An entry's frames that are delayed for seconds contain an old echo, which must not extend its
/// lease.
#[test]
fn an_old_echo_does_not_extend_the_lease() {
    let mut test = TestExecutor::ready();
    let echo_us = test.now.as_micros();
    test.now = test.now.plus_ms(3_000);
    test.send_frame(EntryFrame::Beat {
        demand_milli: 0,
        echo_us,
        news_version: 0,
        zones_age_ms: Some(0),
        rows_version: 0,
        document_revision: 0,
        is_holder: false,
        queue_demands: Vec::new(),
    });
    test.send_frame(EntryFrame::Start(start_order(1)));
    assert_eq!(
        test.outcomes(),
        [RunOutcome::NotStarted(NotStartedReason::RightLapsed)]
    );
}

/// A start call without a response may still take effect; it is repeated only once the worker has
/// responded under a higher token, which voids the first call.
#[test]
fn an_unanswered_start_is_repeated_under_a_higher_token() {
    let mut test = TestExecutor::ready();
    test.start_task(1, StartResponse::Unanswered);
    assert!(test.outcomes().is_empty());
    assert!(test.start_calls().is_empty());
    let poll = test.hold_calls().remove(0);
    assert_eq!(poll.token, 101);
    test.send_run_list(poll, &[], &[]);
    assert!(test.outcomes().is_empty());
    let repeated = test.start_calls().remove(0);
    assert_eq!((repeated.number, repeated.token), (1, 101));
}

/// The entry no longer wants the run; repeating the start would run it in vain.
#[test]
fn an_unanswered_start_that_is_stopped_is_not_repeated() {
    let mut test = TestExecutor::ready();
    test.start_task(1, StartResponse::Unanswered);
    let poll = test.hold_calls().remove(0);
    test.send_frame(EntryFrame::Stop { run: run(1) });
    test.send_run_list(poll, &[], &[]);
    assert!(test.start_calls().is_empty());
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

/// An earlier run of the task, started by another entry, has finished on this worker under the same
/// number.
#[test]
fn a_used_run_number_is_incremented() {
    let mut test = TestExecutor::ready();
    test.start_task(1, StartResponse::NumberUsed);
    assert_eq!(test.start_calls()[0].number, 2);
}

/// After a restart of the agent, the persisted view suffices to start tasks before the worker
/// reports. Without a report in time the worker counts as draining, since it may have announced its
/// shutdown to the earlier process.
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

/// A worker that was replaced while the agent was down rejects the poll for its predecessor, which
/// must not be announced.
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

/// After a restart of the agent, runs of its earlier process may continue on the worker.
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

/// A worker restarts under the same name and accepts a start before its report arrives; the run
/// must not be marked lost.
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
            task: run(1).task.name(),
            number: 1,
        }],
        ended: Vec::new(),
    };
    test.send_event(ExecutionEvent::HoldAnswered { call, response });
    assert!(test.outcomes().is_empty());
    assert_eq!(test.executor.run_count(), 1);
}

#[test]
fn a_late_report_of_an_earlier_incarnation_is_ignored() {
    let mut test = TestExecutor::ready();
    test.send_worker_heartbeat(BORN_MS - 1, 99, true);
    test.start_task(1, StartResponse::Accepted);
    assert!(test.outcomes().is_empty());
}

/// Refused connections must not cause a tight loop of polls, and an idle worker that refuses them
/// is dropped.
#[test]
fn a_worker_that_refuses_connections_is_not_called_in_a_loop() {
    let mut test = TestExecutor::ready();
    // The first long poll has timed out by then.
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

/// Runs of an unresponsive worker may continue until its lease has expired; they have no outcome
/// before that.
#[test]
fn runs_of_an_unresponsive_worker_are_lost_when_its_lease_expires() {
    let mut test = TestExecutor::ready();
    test.start_task(1, StartResponse::Accepted);
    let extended_at = |calls: &[HoldCall], now: Instant| {
        let extends = calls.iter().any(|call| call.lease_until_ms.is_some());
        extends.then_some(now)
    };
    let (started_at, mut last_extended_at) = (test.now, test.now);
    while test.outcomes().is_empty() {
        test.advance(20);
        test.renew_entry_lease();
        let calls = test.hold_calls();
        last_extended_at = extended_at(&calls, test.now).unwrap_or(last_extended_at);
        for call in calls {
            let response = HoldResponse::Unanswered;
            let earlier_actions = std::mem::take(&mut test.actions);
            test.send_event(ExecutionEvent::HoldAnswered { call, response });
            test.actions.extend(earlier_actions);
        }
        assert!(test.now.millis_since(started_at) < 2_000);
    }
    assert_eq!(test.outcomes(), [RunOutcome::Lost]);
    let after_ms = test.now.millis_since(last_extended_at);
    assert!(after_ms >= limits().max_lease_ms(), "{after_ms}");
    // Only the extension that shows the timeout may have come after the last response.
    let after_ms = last_extended_at.millis_since(started_at);
    assert!(after_ms <= limits().lease_ms / 3, "{after_ms}");
}

impl TestExecutor {
    /// Renews the entry's lease and retains the earlier actions.
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
        task: run(1).task.name(),
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

/// A worker's host fails during a start call and its successor lists nothing; "not started" would
/// be a false outcome.
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

/// The worker may have started the run before it became unresponsive.
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

/// Figures of another writer's report must not end the process.
#[test]
fn a_report_with_the_largest_figures_is_handled() {
    let largest = Resources {
        cpu_milli: u32::MAX,
        memory_mb: u32::MAX,
        accelerators: u32::MAX,
    };
    for born_unix_ms in [0, BORN_MS, u64::MAX] {
        let mut test = TestExecutor::ready();
        test.start_task(1, StartResponse::Accepted);
        let view = WorkerView {
            capacity: largest,
            ..view(born_unix_ms, false)
        };
        let sequence = u64::MAX;
        test.send_event(ExecutionEvent::Heartbeat { view, sequence });
        for call in test.hold_calls() {
            let response = HoldResponse::RunList {
                born_unix_ms: Some(born_unix_ms),
                clock_ms: u64::MAX,
                running: Vec::new(),
                ended: Vec::new(),
            };
            test.send_event(ExecutionEvent::HoldAnswered { call, response });
        }
        test.send_entry_heartbeat();
        test.send_frame(EntryFrame::Start(start_order(2)));
        for _ in 0..200 {
            test.advance(20);
            test.send_entry_heartbeat();
        }
    }
}
