//! Tests of the runner alone; the tests of `core::home` combine homes and runners.

#![allow(clippy::panic, reason = "a test that cannot go on must fail loudly")]

use {
    super::{Runner, RunnerAction, RunnerEvent, RunnerSettings, SessionId},
    crate::core::{
        job::{TaskOutcome, TaskRef},
        message::{HomeFrame, RunnerFrame, StartFrame, TaskStatus},
        ticket::{AgentId, TicketId},
        time::Instant,
        verdict::NotRunReason,
    },
};

const HOME: AgentId = AgentId(1);
const OUTCOME_RETENTION_MS: u64 = 1_000;

fn task(index: u16) -> TaskRef {
    let ticket = TicketId {
        home: HOME,
        generation: 0,
        counter: 0,
    };
    TaskRef { ticket, index }
}

fn start_frame(index: u16) -> StartFrame {
    StartFrame {
        task: task(index),
        service: "crew-share".to_owned(),
        input: String::new(),
        deadline_ms: 1_000,
        memory_mb: 0,
        accelerators: 0,
    }
}

fn runner() -> Runner {
    let settings = RunnerSettings {
        outcome_retention_ms: OUTCOME_RETENTION_MS,
    };
    let mut runner = Runner::new(AgentId(2), settings);
    let services = vec!["crew-share".to_owned()];
    runner.handle(at(0), RunnerEvent::BackendUp { services, slots: 1 });
    let permit = RunnerEvent::PermitRenewed {
        sent_at: at(0),
        config_version: 1,
        zone_open: true,
        permit_ms: 1_000_000,
    };
    runner.handle(at(0), permit);
    runner
}

const fn at(now_ms: u64) -> Instant {
    Instant::from_millis(now_ms)
}

fn send_frame(
    runner: &mut Runner,
    now_ms: u64,
    session: u64,
    frame: HomeFrame,
) -> Vec<RunnerAction> {
    let session = SessionId(session);
    runner.handle(at(now_ms), RunnerEvent::Frame { session, frame })
}

fn send_hello(runner: &mut Runner, now_ms: u64, session: u64, epoch: u64) -> Vec<RunnerAction> {
    send_frame(
        runner,
        now_ms,
        session,
        HomeFrame::Hello { home: HOME, epoch },
    )
}

fn query_status(
    runner: &mut Runner,
    now_ms: u64,
    session: u64,
    index: u16,
    epoch: u64,
) -> TaskStatus {
    let tasks = vec![(task(index), epoch)];
    let actions = send_frame(runner, now_ms, session, HomeFrame::Query { tasks });
    match actions.into_iter().next() {
        Some(RunnerAction::Send {
            frame: RunnerFrame::Statuses { mut tasks },
            ..
        }) => tasks.remove(0).status,
        other => panic!("no statuses but {other:?}"),
    }
}

/// A home reconnects after its task's outcome and its link have been dropped. If the runner
/// reported "never started", the home would run the task a second time.
#[test]
fn dropped_outcome_is_not_reported_as_never_started() {
    let mut runner = runner();
    send_hello(&mut runner, 0, 1, 3);
    send_frame(&mut runner, 0, 1, HomeFrame::Start(start_frame(0)));
    let session = SessionId(1);
    runner.handle(at(10), RunnerEvent::SessionClosed { session });
    let outcome = TaskOutcome::Done {
        output: "paid".to_owned(),
    };
    runner.handle(
        at(20),
        RunnerEvent::Finished {
            task: task(0),
            outcome,
        },
    );
    runner.handle(at(1_100), RunnerEvent::Tick);
    assert!(runner.links.is_empty(), "idle links must not pile up");

    send_hello(&mut runner, 2_000, 2, 4);
    assert_eq!(
        query_status(&mut runner, 2_000, 2, 0, 3),
        TaskStatus::Forgotten
    );
    assert_eq!(
        query_status(&mut runner, 2_000, 2, 1, 4),
        TaskStatus::NeverStarted
    );
}

/// A delayed start arrives on an old session after a new session reported the task as never
/// started. Running it then could duplicate the task.
#[test]
fn start_on_replaced_session_is_not_run() {
    let mut runner = runner();
    send_hello(&mut runner, 0, 1, 1);
    send_hello(&mut runner, 1, 2, 2);
    assert_eq!(
        query_status(&mut runner, 1, 2, 0, 1),
        TaskStatus::NeverStarted
    );
    let late = send_frame(&mut runner, 2, 1, HomeFrame::Start(start_frame(0)));
    assert_eq!(late, vec![RunnerAction::Close(SessionId(1))]);
    let stale_hello = send_hello(&mut runner, 3, 3, 1);
    assert_eq!(stale_hello, vec![RunnerAction::Close(SessionId(3))]);
    assert_eq!(runner.running_count(), 0);
}

/// Starts a second task on a runner whose only slot is taken, after an optional event.
macro_rules! refusal_cases {
    ($($name:ident: $event:expr => $reason:ident;)+) => {
        $(
            #[test]
            fn $name() {
                let mut runner = runner();
                send_hello(&mut runner, 0, 1, 1);
                send_frame(&mut runner, 0, 1, HomeFrame::Start(start_frame(0)));
                if let Some(event) = $event {
                    runner.handle(at(0), event);
                }
                let actions = send_frame(&mut runner, 0, 1, HomeFrame::Start(start_frame(1)));
                let reason = NotRunReason::$reason;
                assert_eq!(actions[0], RunnerAction::CountRefusal(reason));
                assert!(!actions.iter().any(|a| matches!(a, RunnerAction::Run(_))));
                assert_eq!(runner.running_count(), 1);
            }
        )+
    };
}

refusal_cases! {
    full_runner_refuses_start: None::<RunnerEvent> => SlotsFull;
    leaving_runner_refuses_start: Some(RunnerEvent::Shutdown) => Leaving;
    runner_without_backend_server_refuses_start: Some(RunnerEvent::BackendUnavailable) => BackendDown;
    runner_in_closed_zone_refuses_start: Some(RunnerEvent::PermitRenewed {
        sent_at: at(0),
        config_version: 2,
        zone_open: false,
        permit_ms: 0,
    }) => NoPermit;
}

#[test]
fn duplicate_start_runs_once() {
    let mut runner = runner();
    send_hello(&mut runner, 0, 1, 1);
    let first = send_frame(&mut runner, 0, 1, HomeFrame::Start(start_frame(0)));
    assert_eq!(first, vec![RunnerAction::Run(start_frame(0))]);
    let duplicate = send_frame(&mut runner, 0, 1, HomeFrame::Start(start_frame(0)));
    assert!(duplicate.is_empty());
}
