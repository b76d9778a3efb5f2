//! Tests of single failures.

use {
    super::simulation::{Simulation, job},
    crate::core::{
        job::{JobStatus, TaskOutcome},
        verdict::{MayHaveRunReason, NotRunReason, Verdict},
    },
};

/// A ticket that expires during the run must not drop the record of the running job.
#[test]
fn ticket_expiry_during_a_run_does_not_drop_the_answer() {
    let mut sim = Simulation::new(1, 2);
    let ticket = sim.tickets(1)[0];
    sim.advance(19_000);
    let waiter = sim.submit(ticket, job(1, false, 10_000), 10_000);
    sim.deliver_all();
    sim.advance(2_000);
    let again = sim.submit(ticket, job(1, false, 10_000), 10_000);
    sim.finish(0, 3);
    sim.deliver_all();
    assert_eq!(sim.answer(waiter).verdict, Verdict::Done);
    assert_eq!(sim.answer(again), sim.answer(waiter));
    assert_eq!(sim.starts.values().sum::<u32>(), 1);
}

/// A submission that arrives after its cancellation must not start, because the cancellation was
/// answered "not run".
#[test]
fn a_submission_after_its_cancellation_is_not_started() {
    let mut sim = Simulation::new(1, 2);
    let ticket = sim.tickets(1)[0];
    let cancelled = sim.cancel(ticket);
    let late = sim.submit(ticket, job(1, false, 5_000), 5_000);
    sim.deliver_all();
    let not_run = JobStatus::Refused(Verdict::refused(NotRunReason::Cancelled));
    assert_eq!(sim.reply(cancelled), &not_run);
    assert_eq!(sim.reply(late), &not_run);
    assert!(sim.starts.is_empty());
}

/// A runner that was removed as lost must not refuse the home's new sessions as stale.
#[test]
fn a_lost_runner_is_used_again_after_it_reconnects() {
    let mut sim = Simulation::new(1, 2);
    let tickets = sim.tickets(3);
    sim.submit(tickets[0], job(1, false, 60_000), 0);
    for number in 0..60 {
        sim.deliver_all();
        sim.break_session(number);
    }
    for _ in 0..80 {
        sim.break_session(sim.session_count() - 1);
        sim.advance(100);
    }
    let later = sim.submit(tickets[1], job(1, false, 2_000), 2_000);
    for _ in 0..4 {
        sim.deliver_all();
        sim.finish(0, 3);
        sim.deliver_all();
        sim.finish(0, 3);
        sim.advance(100);
    }
    assert_eq!(sim.answer(later).verdict, Verdict::Done);
}

/// More than 255 refusals of one task must not overflow the count of its attempts.
#[test]
fn hundreds_of_refusals_do_not_overflow_the_attempt_count() {
    let mut sim = Simulation::new(1, 0);
    let ticket = sim.tickets(1)[0];
    let waiter = sim.submit(ticket, job(1, false, 40_000), 40_000);
    for _ in 0..600 {
        sim.deliver_all();
        sim.advance(60);
    }
    sim.run_until(50_000);
    let answer = sim.answer(waiter);
    assert!(
        matches!(
            answer.verdict,
            Verdict::NotRun {
                reason: NotRunReason::DeadlinePassed,
                ..
            }
        ),
        "{answer:?}"
    );
}

/// A runner that still has the outcome of a task must return it when the task is started again,
/// instead of ignoring the start as a duplicate frame.
#[test]
fn a_repeated_start_of_an_ended_task_returns_its_outcome() {
    let mut sim = Simulation::new(1, 2);
    let ticket = sim.tickets(1)[0];
    let waiter = sim.submit(ticket, job(1, true, 60_000), 60_000);
    sim.deliver_all();
    sim.advance(1_000);
    for _ in 0..32 {
        sim.break_session(sim.session_count() - 1);
        sim.advance(100);
    }
    // The runner finishes the task after the home has removed the runner.
    sim.finish(0, 3);
    // The entry polls again and names the runner as a candidate.
    sim.poll(ticket, 0);
    for _ in 0..10 {
        sim.deliver_all();
        sim.advance(100);
    }
    assert_eq!(sim.answer(waiter).verdict, Verdict::Done);
    assert_eq!(sim.starts.values().sum::<u32>(), 1);
}

/// A pause of the home's process just after a disconnect must not count as time without a session.
#[test]
fn a_pause_of_the_home_process_does_not_time_out_its_runners() {
    let mut sim = Simulation::new(1, 2);
    let ticket = sim.tickets(1)[0];
    let waiter = sim.submit(ticket, job(1, false, 60_000), 60_000);
    sim.deliver_all();
    sim.advance(5);
    sim.break_session(0);
    sim.advance(10_000);
    sim.finish(0, 3);
    sim.run_until(13_000);
    assert_eq!(sim.answer(waiter).verdict, Verdict::Done);
}

/// A failing job reports for each task whether it may have run, and its queued tasks never start.
#[test]
fn a_failing_job_reports_each_task_outcome_and_starts_no_more_tasks() {
    let mut sim = Simulation::new(1, 3);
    let ticket = sim.tickets(1)[0];
    let waiter = sim.submit(ticket, job(6, false, 5_000), 5_000);
    sim.deliver_all();
    sim.finish(0, 3);
    sim.finish(0, 0);
    sim.deliver_all();
    let answer = sim.answer(waiter);
    let count =
        |wanted: fn(&TaskOutcome) -> bool| answer.outcomes.iter().filter(|o| wanted(o)).count();
    assert_eq!(count(|o| matches!(o, TaskOutcome::Done { .. })), 1);
    assert_eq!(count(|o| matches!(o, TaskOutcome::Failed { .. })), 1);
    let running = |o: &TaskOutcome| {
        matches!(
            o,
            TaskOutcome::MayHaveRun {
                reason: MayHaveRunReason::JobFailed
            }
        )
    };
    assert!(count(running) >= 1);
    assert!(count(|o| matches!(o, TaskOutcome::NotRun { .. })) >= 2);
    let started = sim.starts.len();
    sim.run_until(8_000);
    assert_eq!(sim.starts.len(), started);
    assert!(!sim.stopped.is_empty(), "running tasks are stopped");
}

/// A task that waits for a retry when the job is cancelled may have run in its earlier attempt.
#[test]
fn a_task_queued_for_retry_is_not_reported_as_not_run() {
    let mut sim = Simulation::new(1, 1);
    let ticket = sim.tickets(1)[0];
    let waiter = sim.submit(ticket, job(1, true, 5_000), 5_000);
    sim.deliver_all();
    sim.finish(0, 1);
    sim.set_zone(0, false);
    sim.deliver_all();
    sim.cancel(ticket);
    let outcome = sim.answer(waiter).outcomes[0].clone();
    let reason = MayHaveRunReason::BackendLost;
    assert_eq!(outcome, TaskOutcome::MayHaveRun { reason });
}

/// A successor must neither start running or ended tasks again nor lose one, and a ticket granted
/// before the hand-over runs once.
#[test]
fn a_hand_over_starts_no_task_twice_and_drops_no_answer() {
    let mut sim = Simulation::new(2, 2);
    let tickets = sim.tickets(3);
    let ended = sim.submit(tickets[0], job(1, false, 9_000), 9_000);
    sim.deliver_all();
    sim.finish(0, 3);
    sim.finish(1, 3);
    sim.deliver_all();
    let moved_waiter = sim.submit(tickets[1], job(6, false, 9_000), 9_000);
    sim.deliver_all();
    sim.finish(0, 3);
    sim.hand_over();
    let progress = sim.reply(moved_waiter).clone();
    assert!(matches!(progress, JobStatus::Running { total: 6, .. }));
    let again = sim.submit(tickets[1], job(6, false, 9_000), 9_000);
    let late = sim.submit(tickets[0], job(1, false, 9_000), 0);
    let fresh = sim.submit(tickets[2], job(1, false, 9_000), 9_000);
    sim.run_until(4_000);
    assert_eq!(sim.answer(again).verdict, Verdict::Done);
    assert_eq!(sim.answer(fresh).verdict, Verdict::Done);
    assert_eq!(sim.answer(late), sim.answer(ended));
    assert_eq!(sim.starts.len(), 8);
    assert!(sim.starts.values().all(|count| *count == 1));
}

/// A process that replaced a home at its address doesn't know whether the job ran, so it must not
/// report "not run".
#[test]
fn a_ticket_of_another_home_is_not_reported_as_not_run() {
    let mut sim = Simulation::new(1, 2);
    let mut ticket = sim.tickets(1)[0];
    ticket.id.home.0 += 1;
    let waiter = sim.submit(ticket, job(1, false, 5_000), 5_000);
    let lost = Verdict::may_have_run(MayHaveRunReason::HomeLost);
    assert_eq!(sim.reply(waiter), &JobStatus::Refused(lost));
}

/// A job with time left must not fail because all attempts were refused before the only worker got
/// its permit.
#[test]
fn a_job_waits_until_a_runner_receives_its_permit() {
    let mut sim = Simulation::new(3, 2);
    for node in 0..3 {
        sim.set_zone(node, false);
    }
    let ticket = sim.tickets(1)[0];
    let waiter = sim.submit(ticket, job(1, false, 60_000), 60_000);
    for _ in 0..15 {
        sim.deliver_all();
        sim.advance(100);
    }
    sim.set_zone(0, true);
    sim.run_until(4_000);
    assert_eq!(sim.answer(waiter).verdict, Verdict::Done);
}

/// A client with a key of its own must be able to retry a job that did not run; the key stays bound
/// to the same ticket.
#[test]
fn a_key_whose_job_did_not_run_can_be_resubmitted() {
    let mut sim = Simulation::new(1, 2);
    sim.set_zone(0, false);
    let ticket = sim.tickets(1)[0];
    let spec = job(2, false, 500);
    let refused = sim.submit_by_key(ticket, spec.clone(), 500);
    sim.deliver_all();
    sim.advance(600);
    assert!(matches!(
        sim.answer(refused).verdict,
        Verdict::NotRun { .. }
    ));
    sim.set_zone(0, true);
    let same_ticket = sim.submit(ticket, spec.clone(), 500);
    assert_eq!(
        sim.answer(same_ticket),
        sim.answer(refused),
        "the ticket stays used"
    );
    let later = sim.submit_by_key(ticket, spec.clone(), 500);
    sim.run_until(3_000);
    assert_eq!(sim.answer(later).verdict, Verdict::Done);
    let again = sim.submit_by_key(ticket, spec, 500);
    assert_eq!(sim.answer(again), sim.answer(later));
    assert!(sim.starts.values().all(|count| *count == 1));
}

/// A rejection that is temporary must carry a retry delay, or the client takes it for a permanent
/// one.
#[test]
fn a_job_refused_by_all_runners_gets_a_retry_after() {
    let mut sim = Simulation::new(1, 2);
    sim.set_zone(0, false);
    let ticket = sim.tickets(1)[0];
    let waiter = sim.submit(ticket, job(1, false, 30_000), 30_000);
    for _ in 0..60 {
        sim.deliver_all();
        sim.advance(100);
    }
    let verdict = sim.answer(waiter).verdict;
    assert_eq!(verdict.reason(), "no_permit");
    assert!(verdict.retry_after_ms() > 0, "{verdict:?}");
}

/// The refusal of the first start arrives before the status "never started" of that start. The
/// status must not be applied to the second start, or the task runs twice.
#[test]
fn a_late_status_of_an_earlier_start_does_not_start_a_task_twice() {
    let mut sim = Simulation::new(2, 1);
    let ticket = sim.tickets(1)[0];
    let waiter = sim.submit(ticket, job(1, false, 20_000), 20_000);
    let (first, other, second) = (0, 1, 2);
    // Only the first runner sends its welcome, so the task starts there.
    sim.deliver_to_runner(first);
    sim.deliver_to_home(first);
    sim.deliver_to_runner(first);
    sim.break_session(first);
    // The hello arrives; the refusal is sent on the new session, behind the welcome.
    sim.deliver_to_runner(second);
    sim.finish(0, 2);
    sim.deliver_to_home(second);
    // The query arrives, and its response is in flight behind the refusal.
    sim.deliver_to_runner(second);
    sim.deliver_to_home(second);
    sim.advance(300);
    sim.deliver_to_runner(second);
    assert_eq!(sim.starts.values().sum::<u32>(), 1, "started again");
    sim.deliver_to_home(second);
    // The other runner sends its welcome and could run a queued task.
    sim.deliver_to_runner(other);
    sim.deliver_to_home(other);
    sim.deliver_to_runner(other);
    sim.run_until(10_000);
    assert_eq!(sim.starts.values().sum::<u32>(), 1);
    assert_eq!(sim.answer(waiter).verdict, Verdict::Done);
}

/// The query about the first start reaches the runner together with the second start, after the
/// refusal of the first one. Its status must not be applied to the second start.
#[test]
fn a_status_of_an_earlier_start_is_not_applied_to_a_later_one() {
    let mut sim = Simulation::new(2, 1);
    let ticket = sim.tickets(1)[0];
    let waiter = sim.submit(ticket, job(1, false, 5_000), 5_000);
    let hello_welcome_start = [0, 0, 0];
    sim.deliver_to_runner(hello_welcome_start[0]);
    sim.deliver_to_home(hello_welcome_start[1]);
    sim.deliver_to_runner(hello_welcome_start[2]);
    sim.break_session(0);
    let renewed = sim.session_count() - 1;
    sim.deliver_to_runner(renewed);
    sim.finish(0, 2);
    sim.finish(1, 2);
    sim.deliver_to_home(renewed);
    sim.deliver_to_home(renewed);
    sim.advance(250);
    sim.deliver_to_runner(renewed);
    sim.deliver_to_runner(renewed);
    assert_eq!(sim.starts.values().sum::<u32>(), 1, "started again");
    sim.deliver_to_runner(1);
    sim.deliver_to_home(1);
    sim.deliver_all();
    sim.deliver_all();
    assert_eq!(sim.starts.values().sum::<u32>(), 1);
    sim.run_until(4_000);
    assert_eq!(sim.answer(waiter).verdict, Verdict::Done);
    assert_eq!(sim.starts.values().sum::<u32>(), 1);
}

/// A home that was refused for full slots must not leave the runner idle for as long as other
/// runners have free slots.
#[test]
fn a_runner_with_free_slots_again_is_used_after_a_refusal() {
    let mut sim = Simulation::new(2, 8);
    sim.own_runners = 2;
    let tickets = sim.tickets(40);
    let (first, others) = tickets.split_at(1);
    sim.set_slots(1, 0);
    sim.submit(first[0], job(16, true, 60_000), 0);
    sim.run_until(2_000);
    sim.set_slots(1, 8);
    let earlier_starts = sim.nodes[1].start_count;
    for ticket in others {
        sim.submit(*ticket, job(4, true, 60_000), 0);
        let until_ms = sim.now_ms + 100;
        sim.run_until(until_ms);
    }
    assert!(
        sim.nodes[1].start_count > earlier_starts,
        "the runner stays idle"
    );
}
