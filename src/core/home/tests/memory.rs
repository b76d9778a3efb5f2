//! Memory used by ended jobs.

use {
    super::simulation::{Simulation, job},
    crate::core::{
        job::JobStatus,
        ticket::Ticket,
        verdict::{MayHaveRunReason, Verdict},
    },
};

/// Number of ended jobs; their answers exceed the byte limit.
const JOBS: u32 = 60_000;
const TASKS: usize = 5;
const OUTPUT_BYTES: usize = 200;
const LIMIT_MB: i64 = 64;

/// The answers of ended jobs must not grow without bound, and a resubmission whose answer was
/// evicted must be answered that the job may have run.
#[test]
fn stored_answers_stay_under_the_limit_and_a_dropped_answer_is_reported() {
    let mut sim = Simulation::new(1, 8);
    let tickets = sim.tickets(JOBS);
    let allocated = allocation_counter::measure(|| run_all(&mut sim, &tickets));
    let grown_kb = allocated.bytes_current / 1_024;
    println!("{JOBS} ended jobs: {grown_kb} kB");
    assert!(grown_kb < LIMIT_MB * 1_024, "{grown_kb} kB");

    let spec = job(TASKS, false, 1_000);
    let newest = sim.submit(tickets[tickets.len() - 1], spec.clone(), 0);
    assert_eq!(sim.answer(newest).verdict, Verdict::Done);
    let oldest = sim.submit(tickets[0], spec, 0);
    let dropped = Verdict::may_have_run(MayHaveRunReason::AnswerDropped);
    assert_eq!(sim.reply(oldest), &JobStatus::Refused(dropped));
    assert!(sim.starts.is_empty(), "nothing runs again");
}

fn run_all(sim: &mut Simulation, tickets: &[Ticket]) {
    for ticket in tickets {
        sim.submit(*ticket, job(TASKS, false, 1_000), 1_000);
        sim.deliver_all();
        for _ in 0..TASKS {
            sim.finish_with(0, "x".repeat(OUTPUT_BYTES));
        }
        sim.deliver_all();
        sim.clear_observations();
    }
}
