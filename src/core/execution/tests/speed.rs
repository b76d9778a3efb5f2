//! Tests of the measured speed in capacity reports.

use super::*;

/// Runs eight tasks of 100 ms that take 300 ms, with the given outcome.
fn run_slow_tasks(test: &mut TestExecutor, end: RunOutcome) {
    for job in 1..=8 {
        test.start_task(job, StartResponse::Accepted);
        test.now = test.now.plus_ms(300);
        let listed = ListedEnd {
            sequence: job,
            end,
            ..listed_end(job)
        };
        let call = HoldCall {
            sequence: 1_000 + job,
            ..latest_poll()
        };
        test.send_run_list(call, &[], &[listed]);
        test.send_entry_heartbeat();
    }
    test.advance(100);
}

fn reported_slowness(test: &TestExecutor) -> Option<u16> {
    let mut reports = test.actions.iter().rev().filter_map(|action| match action {
        ExecutionAction::Send {
            frame: AgentFrame::Room { report, .. },
            ..
        } => Some(report.slowness_permille),
        _ => None,
    });
    reports.next()
}

macro_rules! outcome_cases {
    ($($name:ident: $end:expr => $slowness_permille:expr;)+) => {
        $(
            #[test]
            fn $name() {
                let mut test = TestExecutor::ready();
                run_slow_tasks(&mut test, $end);
                assert_eq!(test.executor.slowness_permille(), $slowness_permille);
            }
        )+
    };
}

outcome_cases! {
    runs_that_were_done_are_measured: RunOutcome::Done => 3_000;
    failed_runs_are_not_measured: RunOutcome::Failed => 1_000;
    stopped_runs_are_not_measured: RunOutcome::Stopped => 1_000;
}

/// A new entry must not send long tasks to a slow worker until it has measured it by itself.
#[test]
fn a_new_entry_knows_the_speed_from_the_first_report() {
    let mut test = TestExecutor::ready();
    run_slow_tasks(&mut test, RunOutcome::Done);
    test.open_session_of("other", SessionId(2));
    assert_eq!(reported_slowness(&test), Some(3_000));
}

/// A worker that was restarted, perhaps on another machine, must not count as slow.
#[test]
fn a_new_incarnation_is_measured_anew() {
    let mut test = TestExecutor::ready();
    run_slow_tasks(&mut test, RunOutcome::Done);
    test.replace_incarnation(BORN_MS + 9_000, 9);
    assert_eq!(test.executor.slowness_permille(), 1_000);
}
