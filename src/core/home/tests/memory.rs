//! What ended jobs cost.

use {
    super::{
        MEMORY_IN_USE,
        world::{World, job},
    },
    crate::core::{
        job::JobStatus,
        verdict::{MayHaveRunReason, Verdict},
    },
    std::{fs, sync::PoisonError},
};

/// Ten minutes of jobs at 100 a second.
const JOBS: u32 = 60_000;
const TASKS: usize = 5;
const OUTPUT_BYTES: usize = 200;
const LIMIT_MB: u64 = 64;

fn resident_kb() -> u64 {
    let status = fs::read_to_string("/proc/self/status").expect("status");
    status
        .lines()
        .find_map(|line| line.strip_prefix("VmRSS:"))
        .and_then(|line| line.split_whitespace().next())
        .and_then(|kb| kb.parse().ok())
        .expect("VmRSS")
}

/// A bank asks again for an answer that it got nine minutes ago. The home has run 60,000 jobs
/// since with 66 MB of answers: either it keeps them all and its small host runs out of memory,
/// or the answer is gone, and the bank must hear that its job ran and not that it did not.
#[test]
fn ten_minutes_of_jobs_stay_under_the_limit_and_a_dropped_answer_is_told_so() {
    let _alone = MEMORY_IN_USE.lock().unwrap_or_else(PoisonError::into_inner);
    let mut world = World::new(1, 8);
    let tickets = world.tickets(JOBS);
    let before_kb = resident_kb();
    for ticket in &tickets {
        world.submit(*ticket, job(TASKS, false, 1_000), 1_000);
        world.deliver_all();
        for _ in 0..TASKS {
            world.finish_with(0, "x".repeat(OUTPUT_BYTES));
        }
        world.deliver_all();
        world.forget_witness();
    }
    let grown_kb = resident_kb().saturating_sub(before_kb);
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
