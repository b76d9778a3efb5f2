//! Random interleavings of all events, compared with a simple model.

use {
    super::simulation::{Simulation, job},
    crate::core::{
        home::WaiterId,
        job::{JobAnswer, JobStatus, TaskOutcome, TaskRef},
        ticket::{Ticket, TicketId},
        verdict::{NotRunReason, Verdict},
    },
    proptest::{
        prelude::*,
        test_runner::{RngSeed, TestCaseResult},
    },
    std::{collections::BTreeMap, sync::Arc},
};

const TICKETS: usize = 5;
const NODES: usize = 3;
/// Every deadline and every ticket has expired by then.
const END_MS: u64 = 60_000;

/// One event of an interleaving.
#[derive(Debug, Clone, Copy)]
enum Step {
    Submit { ticket: usize, wait_ms: u64 },
    Poll { ticket: usize, wait_ms: u64 },
    Cancel { ticket: usize },
    ToRunner { session: usize },
    ToHome { session: usize },
    Break { session: usize },
    CloseAtRunner { session: usize },
    Finish { node: usize, kind: u8 },
    Restart { node: usize },
    HandOver,
    Zone { node: usize, open: bool },
    Advance { ms: u64 },
}

fn step() -> impl Strategy<Value = Step> {
    let session = 0..12_usize;
    prop_oneof![
        4 => (0..TICKETS, 0..1_500_u64).prop_map(|(ticket, wait_ms)| Step::Submit { ticket, wait_ms }),
        1 => (0..TICKETS, 0..1_500_u64).prop_map(|(ticket, wait_ms)| Step::Poll { ticket, wait_ms }),
        1 => (0..TICKETS).prop_map(|ticket| Step::Cancel { ticket }),
        20 => session.clone().prop_map(|session| Step::ToRunner { session }),
        20 => session.clone().prop_map(|session| Step::ToHome { session }),
        3 => session.clone().prop_map(|session| Step::Break { session }),
        2 => session.prop_map(|session| Step::CloseAtRunner { session }),
        8 => (0..NODES, 0..12_u8).prop_map(|(node, kind)| Step::Finish { node, kind }),
        1 => (0..NODES).prop_map(|node| Step::Restart { node }),
        1 => Just(Step::HandOver),
        1 => (0..NODES, any::<bool>()).prop_map(|(node, open)| Step::Zone { node, open }),
        4 => prop_oneof![1..100_u64, 100..4_000_u64].prop_map(|ms| Step::Advance { ms }),
    ]
}

/// Jobs of different sizes and deadlines; those of tickets 1 and 3 are repeatable.
fn spec_of(ticket: usize) -> crate::core::job::JobSpec {
    let deadline_ms = if ticket == 4 { 30_000 } else { 4_000 };
    job(ticket + 1, is_repeatable(ticket), deadline_ms)
}

const fn is_repeatable(ticket: usize) -> bool {
    ticket % 2 == 1
}

/// Ticket 2 comes with a client's key: after "not run" it may still run once.
const fn is_keyed(ticket: usize) -> bool {
    ticket == 2
}

/// The model: waiters with their tickets, and the first answer per ticket.
#[derive(Debug, Default)]
struct Model {
    waiters: BTreeMap<WaiterId, usize>,
    answers: BTreeMap<TicketId, Arc<JobAnswer>>,
}

fn apply_step(sim: &mut Simulation, model: &mut Model, tickets: &[Ticket], step: Step) {
    // Counts from the newest session, where most frames are in flight.
    let session = |number: usize, sim: &Simulation| {
        let count = sim.session_count().max(1);
        (count - 1).saturating_sub(number)
    };
    match step {
        Step::Submit { ticket, wait_ms } => {
            let waiter = if is_keyed(ticket) {
                sim.submit_by_key(tickets[ticket], spec_of(ticket), wait_ms)
            } else {
                sim.submit(tickets[ticket], spec_of(ticket), wait_ms)
            };
            model.waiters.insert(waiter, ticket);
        }
        Step::Poll { ticket, wait_ms } => {
            let waiter = sim.poll(tickets[ticket], wait_ms);
            model.waiters.insert(waiter, ticket);
        }
        Step::Cancel { ticket } => {
            let waiter = sim.cancel(tickets[ticket]);
            model.waiters.insert(waiter, ticket);
        }
        Step::ToRunner { session: number } => sim.deliver_to_runner(session(number, sim)),
        Step::ToHome { session: number } => sim.deliver_to_home(session(number, sim)),
        Step::Break { session: number } => sim.break_session(session(number, sim)),
        Step::CloseAtRunner { session: number } => sim.close_at_runner(session(number, sim)),
        Step::Finish { node, kind } => sim.finish(node, kind),
        Step::Restart { node } => sim.restart_runner(node),
        Step::HandOver => sim.hand_over(),
        Step::Zone { node, open } => sim.set_zone(node, open),
        Step::Advance { ms } => sim.advance(ms),
    }
}

fn check(sim: &Simulation, model: &mut Model, tickets: &[Ticket]) -> TestCaseResult {
    for (waiter, number) in model.waiters.clone() {
        let replies = sim.replies.get(&waiter).map_or(&[][..], Vec::as_slice);
        prop_assert_eq!(
            replies.len(),
            1,
            "{:?} of ticket {}: {:?}",
            waiter,
            number,
            replies
        );
        let ticket = tickets[number].id;
        match &replies[0] {
            JobStatus::Ended(answer) => check_answer(sim, model, number, ticket, answer)?,
            JobStatus::Refused(Verdict::NotRun { reason, .. }) => {
                prop_assert_eq!(*reason, NotRunReason::Cancelled);
                check_never_started(sim, ticket)?;
            }
            _ => {}
        }
    }
    for (task, count) in &sim.starts {
        let number = tickets.iter().position(|ticket| ticket.id == task.ticket);
        let repeatable = number.is_some_and(is_repeatable);
        prop_assert!(
            *count <= 1 || repeatable,
            "{} started {} times",
            task,
            count
        );
    }
    Ok(())
}

fn check_answer(
    sim: &Simulation,
    model: &mut Model,
    number: usize,
    ticket: TicketId,
    answer: &Arc<JobAnswer>,
) -> TestCaseResult {
    if is_keyed(number) && matches!(answer.verdict, Verdict::NotRun { .. }) {
        return Ok(());
    }
    let first = model
        .answers
        .entry(ticket)
        .or_insert_with(|| Arc::clone(answer));
    prop_assert_eq!(&*first, answer, "one job, one answer");
    prop_assert!(answer.is_complete(&ticket, spec_of(number).tasks.len()));
    let all_done = answer
        .outcomes
        .iter()
        .all(|outcome| matches!(outcome, TaskOutcome::Done { .. }));
    prop_assert_eq!(
        all_done,
        answer.verdict == Verdict::Done,
        "complete or failed"
    );
    for (outcome, index) in answer.outcomes.iter().zip(0..) {
        let task = TaskRef { ticket, index };
        let started = sim.starts.get(&task).copied().unwrap_or(0);
        match outcome {
            TaskOutcome::NotRun { reason } => {
                let message = format!("{task} not run ({reason:?}), started {started} times");
                prop_assert!(started == 0, "{}", message);
            }
            TaskOutcome::Done { output } => {
                prop_assert!(started >= 1);
                prop_assert_eq!(output, &format!("out {index}"));
            }
            TaskOutcome::Failed { .. } => prop_assert!(started >= 1),
            TaskOutcome::MayHaveRun { .. } => {}
        }
    }
    if matches!(answer.verdict, Verdict::NotRun { .. }) {
        check_never_started(sim, ticket)?;
    }
    Ok(())
}

fn check_never_started(sim: &Simulation, ticket: TicketId) -> TestCaseResult {
    let started: Vec<_> = sim
        .starts
        .iter()
        .filter(|(task, count)| task.ticket == ticket && **count > 0)
        .collect();
    prop_assert!(started.is_empty(), "not run, but started: {:?}", started);
    Ok(())
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 1_500,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(4),
        max_shrink_iters: 20_000,
        ..ProptestConfig::default()
    })]

    /// No interleaving of starts, refusals, disconnects, restarts, late frames, resubmissions,
    /// cancellations and deadlines may start a task twice unless it is repeatable, or report "not
    /// run" for a task that ran.
    #[test]
    fn random_interleavings_preserve_the_guarantees(steps in prop::collection::vec(step(), 1..160)) {
        let mut sim = Simulation::new(NODES, 2);
        let tickets = sim.tickets(u32::try_from(TICKETS).unwrap_or(0));
        let mut model = Model::default();
        for step in steps {
            apply_step(&mut sim, &mut model, &tickets, step);
        }
        sim.run_until(END_MS);
        check(&sim, &mut model, &tickets)?;
    }
}
