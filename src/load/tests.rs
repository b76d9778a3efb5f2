//! Tests of the ideal schedule that measured response times are compared with.

use super::{
    ideal_schedule::ideal_responses_us,
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
                let expected_us: Vec<u64> = vec![$($ideal_ms * 1_000),*];
                assert_eq!(ideal_responses_us(&jobs, $slots), expected_us);
            }
        )+
    };
}

ideal_cases! {
    idle_slots_add_no_wait: 2 slots [job(0, &[50]), job(10, &[70])] => [50, 70];
    response_time_is_that_of_the_last_task: 2 slots [job(0, &[50, 70])] => [70];
    a_task_waits_for_a_busy_slot: 1 slots [job(0, &[50]), job(10, &[70])] => [50, 110];
    a_task_uses_the_first_free_slot: 2 slots [job(0, &[100, 30, 30])] => [100];
    jobs_are_served_in_arrival_order: 1 slots [job(0, &[50]), job(1, &[500]), job(2, &[10])]
        => [50, 549, 558];
}
