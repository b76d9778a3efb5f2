//! Single failures, each with its story.

use {
    super::world::{World, job},
    crate::core::{
        job::{JobStatus, TaskOutcome},
        verdict::{MayHaveRunReason, NotRunReason, Verdict},
    },
};

/// An auditor's job has a long deadline and its ticket was granted long before. The ticket's
/// time is over while the job runs; the home drops the generation with the running job in it,
/// and the auditor's request is never answered at all.
#[test]
fn a_ticket_that_expires_while_its_job_runs_loses_no_answer() {
    let mut world = World::new(1, 2);
    let ticket = world.tickets(1)[0];
    world.advance(19_000);
    let waiter = world.submit(ticket, job(1, false, 10_000), 10_000);
    world.deliver_all();
    world.advance(2_000);
    let again = world.submit(ticket, job(1, false, 10_000), 10_000);
    world.finish(0, 3);
    world.deliver_all();
    assert_eq!(world.answer(waiter).verdict, Verdict::Done);
    assert_eq!(world.answer(again), world.answer(waiter));
    assert_eq!(world.starts.values().sum::<u32>(), 1);
}

/// A client's ticket is cancelled before its submission arrives: the POST waits in a socket, the
/// DELETE goes through another entry and is told "not run". Then the POST arrives and the share
/// is paid all the same, although the office has paid it by hand.
#[test]
fn a_cancelled_ticket_never_starts_late() {
    let mut world = World::new(1, 2);
    let ticket = world.tickets(1)[0];
    let cancelled = world.cancel(ticket);
    let late = world.submit(ticket, job(1, false, 5_000), 5_000);
    world.deliver_all();
    let not_run = JobStatus::Refused(Verdict::refused(NotRunReason::Cancelled));
    assert_eq!(world.reply(cancelled), &not_run);
    assert_eq!(world.reply(late), &not_run);
    assert!(world.starts.is_empty());
}

/// A runner is cut off for longer than the limit, with many sessions behind it, and comes back.
/// The home has forgotten the runner's link and counts sessions from one again, so the runner
/// refuses every session as an old one: the worker stays idle although it is healthy.
#[test]
fn a_runner_given_up_for_lost_is_used_again_at_its_return() {
    let mut world = World::new(1, 2);
    let tickets = world.tickets(3);
    world.submit(tickets[0], job(1, false, 60_000), 0);
    for number in 0..60 {
        world.deliver_all();
        world.break_session(number);
    }
    for _ in 0..80 {
        world.break_session(world.session_count() - 1);
        world.advance(100);
    }
    let back = world.submit(tickets[1], job(1, false, 2_000), 2_000);
    for _ in 0..4 {
        world.deliver_all();
        world.finish(0, 3);
        world.deliver_all();
        world.finish(0, 3);
        world.advance(100);
    }
    assert_eq!(world.answer(back).verdict, Verdict::Done);
}

/// All slots are taken by other homes for minutes; a task is offered again each time the runner
/// says it has a slot. After 255 refusals the count of tries overflows and the home dies with
/// all its jobs.
#[test]
fn hundreds_of_refusals_do_not_end_the_home() {
    let mut world = World::new(1, 0);
    let ticket = world.tickets(1)[0];
    let waiter = world.submit(ticket, job(1, false, 40_000), 40_000);
    for _ in 0..600 {
        world.deliver_all();
        world.advance(60);
    }
    world.run_out(50_000);
    let answer = world.answer(waiter);
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

/// A runner's acknowledgement is lost and the runner given up; when it returns, a repeatable task
/// is offered to it again. It still keeps the first outcome and takes the start for a doubled
/// frame: it stays mute, and the letting agent waits until the deadline for an answer that exists.
#[test]
fn a_start_of_an_ended_task_is_answered_with_its_outcome() {
    let mut world = World::new(1, 2);
    let ticket = world.tickets(1)[0];
    let waiter = world.submit(ticket, job(1, true, 60_000), 60_000);
    world.deliver_all();
    world.advance(1_000);
    for _ in 0..32 {
        world.break_session(world.session_count() - 1);
        world.advance(100);
    }
    // The runner ends the task while the home has given it up.
    world.finish(0, 3);
    // The entry asks again, as it does every second, and names the runner anew.
    world.poll(ticket, 0);
    for _ in 0..10 {
        world.deliver_all();
        world.advance(100);
    }
    assert_eq!(world.answer(waiter).verdict, Verdict::Done);
    assert_eq!(world.starts.values().sum::<u32>(), 1);
}

/// A home hangs for ten seconds (its host pages or is frozen) just after a session broke. When it
/// wakes, its clock says that the runner was silent for ten seconds, and jobs fail although
/// nobody had tried to reach the runner in that time.
#[test]
fn a_home_that_was_paused_does_not_blame_its_runners() {
    let mut world = World::new(1, 2);
    let ticket = world.tickets(1)[0];
    let waiter = world.submit(ticket, job(1, false, 60_000), 60_000);
    world.deliver_all();
    world.advance(5);
    world.break_session(0);
    world.advance(10_000);
    world.finish(0, 3);
    world.run_out(13_000);
    assert_eq!(world.answer(waiter).verdict, Verdict::Done);
}

/// A job fails at one of its tasks while others run and others wait. The office must know for
/// each share whether it may have been paid; what waits must never start.
#[test]
fn a_failing_job_tells_the_truth_for_each_task_and_starts_nothing_more() {
    let mut world = World::new(1, 3);
    let ticket = world.tickets(1)[0];
    let waiter = world.submit(ticket, job(6, false, 5_000), 5_000);
    world.deliver_all();
    world.finish(0, 3);
    world.finish(0, 0);
    world.deliver_all();
    let answer = world.answer(waiter);
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
    let started = world.starts.len();
    world.run_out(8_000);
    assert_eq!(world.starts.len(), started);
    assert!(!world.stopped.is_empty(), "running tasks are told to stop");
}

/// A repeatable look-up ran on a worker that was then replaced; it waits to be tried again when
/// the client cancels. "Not run" would be false: the first try may have run.
#[test]
fn a_retried_task_that_waits_is_not_called_not_run() {
    let mut world = World::new(1, 1);
    let ticket = world.tickets(1)[0];
    let waiter = world.submit(ticket, job(1, true, 5_000), 5_000);
    world.deliver_all();
    world.finish(0, 1);
    world.set_zone(0, false);
    world.deliver_all();
    world.cancel(ticket);
    let outcome = world.answer(waiter).outcomes[0].clone();
    let reason = MayHaveRunReason::BackendLost;
    assert_eq!(outcome, TaskOutcome::MayHaveRun { reason });
}

/// An agent is stopped in the middle of a job whose tasks run, wait and have ended. Its successor
/// must neither start them again nor forget one, and ask the runners before it decides; a ticket
/// that was granted before and is used later runs once.
#[test]
fn a_home_that_moves_starts_nothing_twice_and_loses_no_answer() {
    let mut world = World::new(2, 2);
    let tickets = world.tickets(3);
    let ended = world.submit(tickets[0], job(1, false, 9_000), 9_000);
    world.deliver_all();
    world.finish(0, 3);
    world.finish(1, 3);
    world.deliver_all();
    let told = world.submit(tickets[1], job(6, false, 9_000), 9_000);
    world.deliver_all();
    world.finish(0, 3);
    world.hand_over();
    let progress = world.reply(told).clone();
    assert!(matches!(progress, JobStatus::Running { total: 6, .. }));
    let again = world.submit(tickets[1], job(6, false, 9_000), 9_000);
    let late = world.submit(tickets[0], job(1, false, 9_000), 0);
    let fresh = world.submit(tickets[2], job(1, false, 9_000), 9_000);
    world.run_out(4_000);
    assert_eq!(world.answer(again).verdict, Verdict::Done);
    assert_eq!(world.answer(fresh).verdict, Verdict::Done);
    assert_eq!(world.answer(late), world.answer(ended));
    assert_eq!(world.starts.len(), 8);
    assert!(world.starts.values().all(|count| *count == 1));
}

/// An agent is replaced at the same address; an entry that hasn't heard yet asks the new process
/// for a job of the old one. "Forged, not run" would be false: the job may have run.
#[test]
fn a_ticket_of_another_home_is_not_called_not_run() {
    let mut world = World::new(1, 2);
    let mut ticket = world.tickets(1)[0];
    ticket.id.home.0 += 1;
    let waiter = world.submit(ticket, job(1, false, 5_000), 5_000);
    let lost = Verdict::may_have_run(MayHaveRunReason::HomeLost);
    assert_eq!(world.reply(waiter), &JobStatus::Refused(lost));
}

/// A worker has just been started and has its permit in a second; there is no other. A job that
/// has a minute is told "not run" after two thirds of a second, since eight tries were refused.
#[test]
fn a_job_waits_for_a_runner_whose_permit_is_under_way() {
    let mut world = World::new(3, 2);
    for node in 0..3 {
        world.set_zone(node, false);
    }
    let ticket = world.tickets(1)[0];
    let waiter = world.submit(ticket, job(1, false, 60_000), 60_000);
    for _ in 0..15 {
        world.deliver_all();
        world.advance(100);
    }
    world.set_zone(0, true);
    world.run_out(4_000);
    assert_eq!(world.answer(waiter).verdict, Verdict::Done);
}

/// A bank's key meets a moment in which no worker can start its job, and it is told "not run" and
/// when to come back. It comes back with the same key, which is bound to the same ticket, and is
/// told the same as long as it tries, although there is room by now.
#[test]
fn a_key_that_did_not_run_can_come_back() {
    let mut world = World::new(1, 2);
    world.set_zone(0, false);
    let ticket = world.tickets(1)[0];
    let spec = job(2, false, 500);
    let refused = world.submit_by_key(ticket, spec.clone(), 500);
    world.deliver_all();
    world.advance(600);
    assert!(matches!(
        world.answer(refused).verdict,
        Verdict::NotRun { .. }
    ));
    world.set_zone(0, true);
    let same_ticket = world.submit(ticket, spec.clone(), 500);
    assert_eq!(
        world.answer(same_ticket),
        world.answer(refused),
        "a ticket stays used up"
    );
    let back = world.submit_by_key(ticket, spec.clone(), 500);
    world.run_out(3_000);
    assert_eq!(world.answer(back).verdict, Verdict::Done);
    let again = world.submit_by_key(ticket, spec, 500);
    assert_eq!(world.answer(again), world.answer(back));
    assert!(world.starts.values().all(|count| *count == 1));
}

/// A worker is in a zone that is out, and no other serves the job. The client gets "not run", and
/// with it a time to come back: without one its program takes the refusal for one that lasts.
#[test]
fn a_job_that_no_runner_takes_is_told_when_to_come_back() {
    let mut world = World::new(1, 2);
    world.set_zone(0, false);
    let ticket = world.tickets(1)[0];
    let waiter = world.submit(ticket, job(1, false, 30_000), 30_000);
    for _ in 0..60 {
        world.deliver_all();
        world.advance(100);
    }
    let verdict = world.answer(waiter).verdict;
    assert_eq!(verdict.reason(), "no_permit");
    assert!(verdict.retry_after_ms() > 0, "{verdict:?}");
}

/// A session breaks and a new one is opened while the backend server refuses a task. The home
/// asks what became of it, hears of the refusal first and starts the task anew on the same
/// runner. Then the answer to its question arrives, "never started", which speaks of the first
/// start: the home takes it for the second one and starts the task elsewhere as well. The share
/// is paid twice.
#[test]
fn a_late_status_of_an_earlier_start_does_not_start_a_task_twice() {
    let mut world = World::new(2, 1);
    let ticket = world.tickets(1)[0];
    let waiter = world.submit(ticket, job(1, false, 20_000), 20_000);
    let (first, other, second) = (0, 1, 2);
    // Only the first runner welcomes the home, so the task starts there.
    world.deliver_to_runner(first);
    world.deliver_to_home(first);
    world.deliver_to_runner(first);
    world.break_session(first);
    // The hello arrives; the refusal goes out on the new session, behind the welcome.
    world.deliver_to_runner(second);
    world.finish(0, 2);
    world.deliver_to_home(second);
    // The question arrives, and its answer is under way behind the refusal.
    world.deliver_to_runner(second);
    world.deliver_to_home(second);
    world.advance(300);
    world.deliver_to_runner(second);
    assert_eq!(world.starts.values().sum::<u32>(), 1, "started anew");
    world.deliver_to_home(second);
    // The other runner welcomes the home and could take a task that waits.
    world.deliver_to_runner(other);
    world.deliver_to_home(other);
    world.deliver_to_runner(other);
    world.run_out(10_000);
    assert_eq!(world.starts.values().sum::<u32>(), 1);
    assert_eq!(world.answer(waiter).verdict, Verdict::Done);
}

/// A share is paid twice. A session breaks, and on the new one the home asks what became of the
/// task; a refusal by the backend server crosses that question, and the task is started there
/// again. Then the reply comes: "never started". It means the first start, and the home takes it
/// for the second and starts the running task elsewhere.
#[test]
fn a_reply_about_an_earlier_start_says_nothing_of_a_later_one() {
    let mut world = World::new(2, 1);
    let ticket = world.tickets(1)[0];
    let waiter = world.submit(ticket, job(1, false, 5_000), 5_000);
    let hello_welcome_start = [0, 0, 0];
    world.deliver_to_runner(hello_welcome_start[0]);
    world.deliver_to_home(hello_welcome_start[1]);
    world.deliver_to_runner(hello_welcome_start[2]);
    world.break_session(0);
    let renewed = world.session_count() - 1;
    world.deliver_to_runner(renewed);
    world.finish(0, 2);
    world.finish(1, 2);
    world.deliver_to_home(renewed);
    world.deliver_to_home(renewed);
    world.advance(250);
    world.deliver_to_runner(renewed);
    world.deliver_to_runner(renewed);
    assert_eq!(world.starts.values().sum::<u32>(), 1, "started again");
    world.deliver_to_runner(1);
    world.deliver_to_home(1);
    world.deliver_all();
    world.deliver_all();
    assert_eq!(world.starts.values().sum::<u32>(), 1);
    world.run_out(4_000);
    assert_eq!(world.answer(waiter).verdict, Verdict::Done);
    assert_eq!(world.starts.values().sum::<u32>(), 1);
}
