//! What ended jobs cost.

use {
    super::world::{World, job},
    crate::core::{
        job::JobStatus,
        ticket::Ticket,
        verdict::{MayHaveRunReason, Verdict},
    },
};

/// Ten minutes of jobs at 100 a second.
const JOBS: u32 = 60_000;
const TASKS: usize = 5;
const OUTPUT_BYTES: usize = 200;
const LIMIT_MB: i64 = 64;

/// A bank asks again for an answer that it got nine minutes ago. The home has run 60,000 jobs
/// since with 66 MB of answers: either it keeps them all and its small host runs out of memory,
/// or the answer is gone, and the bank must hear that its job ran and not that it did not.
#[test]
fn ten_minutes_of_jobs_stay_under_the_limit_and_a_dropped_answer_is_told_so() {
    let mut world = World::new(1, 8);
    let tickets = world.tickets(JOBS);
    let allocated = allocation_counter::measure(|| run_all(&mut world, &tickets));
    let grown_kb = allocated.bytes_current / 1_024;
    println!("{JOBS} ended jobs: {grown_kb} kB");
    assert!(grown_kb < LIMIT_MB * 1_024, "{grown_kb} kB");

    let spec = job(TASKS, false, 1_000);
    let newest = world.submit(tickets[tickets.len() - 1], spec.clone(), 0);
    assert_eq!(world.answer(newest).verdict, Verdict::Done);
    let oldest = world.submit(tickets[0], spec, 0);
    let dropped = Verdict::may_have_run(MayHaveRunReason::AnswerDropped);
    assert_eq!(world.reply(oldest), &JobStatus::Refused(dropped));
    assert!(world.starts.is_empty(), "nothing runs again");
}

fn run_all(world: &mut World, tickets: &[Ticket]) {
    for ticket in tickets {
        world.submit(*ticket, job(TASKS, false, 1_000), 1_000);
        world.deliver_all();
        for _ in 0..TASKS {
            world.finish_with(0, "x".repeat(OUTPUT_BYTES));
        }
        world.deliver_all();
        world.forget_witness();
    }
}
