//! Tests of the schedule and the ideal that measurements are judged by.

use super::{
    ideal::ideal_responses_us,
    schedule::{PlannedJob, PlannedTask},
};

fn job(at_ms: u64, run_ms: &[u32]) -> PlannedJob {
    PlannedJob {
        at_us: at_ms * 1_000,
        tasks: run_ms
            .iter()
            .map(|run_ms| PlannedTask {
                run_ms: *run_ms,
                declared_ms: *run_ms,
            })
            .collect(),
        deadline_ms: 10_000,
        cancelled: false,
        memory_mb: None,
    }
}

macro_rules! ideal_cases {
    ($($name:ident: $slots:literal slots [$($job:expr),*] => [$($ideal_ms:literal),*];)+) => {
        $(
            #[test]
            fn $name() {
                let jobs = [$($job),*];
                let wanted_us: Vec<u64> = vec![$($ideal_ms * 1_000),*];
                assert_eq!(ideal_responses_us(&jobs, $slots), wanted_us);
            }
        )+
    };
}

ideal_cases! {
    an_idle_slot_costs_nothing: 2 slots [job(0, &[50]), job(10, &[70])] => [50, 70];
    a_job_is_over_with_its_last_task: 2 slots [job(0, &[50, 70])] => [70];
    a_full_slot_makes_wait: 1 slots [job(0, &[50]), job(10, &[70])] => [50, 110];
    tasks_take_the_slot_that_is_free_first: 2 slots [job(0, &[100, 30, 30])] => [100];
    arrivals_are_served_in_order: 1 slots [job(0, &[50]), job(1, &[500]), job(2, &[10])]
        => [50, 549, 558];
}
