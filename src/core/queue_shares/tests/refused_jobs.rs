//! Tests of the records of refused jobs.

use {super::*, crate::core::queue_shares::refused_jobs::RefusedJobs};

#[test]
fn a_refused_job_is_recognized_until_its_record_expires() {
    let mut refused = RefusedJobs::default();
    refused.record(start(), JobId::of_number(1));
    assert!(refused.contains(start().plus_ms(29_999), JobId::of_number(1)));
    assert!(!refused.contains(start().plus_ms(29_999), JobId::of_number(2)));
    assert!(!refused.contains(start().plus_ms(30_000), JobId::of_number(1)));
}

/// A flood of refusals must not use memory without limit.
#[test]
fn the_oldest_records_are_dropped_beyond_the_limit() {
    let mut refused = RefusedJobs::default();
    for number in 1..=3_000 {
        refused.record(start(), JobId::of_number(number));
        refused.record(start(), JobId::of_number(number));
    }
    let recorded =
        (1..=3_000).filter(|number| refused.contains(start(), JobId::of_number(*number)));
    assert_eq!(
        recorded.collect::<Vec<_>>(),
        (1_977..=3_000).collect::<Vec<_>>()
    );
}

/// A job that was refused in a flood is served when it is submitted again, before new ones.
#[test]
fn a_returning_job_is_within_its_share_where_a_new_one_is_beyond() {
    let mut test = TestShares::new();
    let (urgent, other) = (route("urgent", 0), route("other", 1));
    test.flood(&[(&urgent, 100, 100.0), (&other, 100, 100.0)], 2_000);
    while !test.submit(&urgent, 10, true).is_beyond() {}
    let refused = JobId::of_number(test.last_id);
    test.shares
        .record_refusal(test.now, refused, &urgent, ShareGrant::default());
    assert!(test.submit(&urgent, 10, true).is_beyond());
    assert!(
        !test
            .submit_id(refused.number.0, &urgent, 10, true)
            .is_beyond()
    );
}
