//! Tests of token buckets, through the shares of an entry.

use {super::*, crate::core::queue_shares::queue_bucket::QueueBucket, proptest::prelude::*};

/// Marking jobs while capacity is free would refuse jobs in the next flood for no reason.
#[test]
fn jobs_are_within_their_share_while_nothing_waits() {
    let mut test = TestShares::new();
    let route = route("q", 0);
    for _ in 0..1_000 {
        assert_eq!(test.submit(&route, 900, false), ShareGrant::default());
    }
}

/// A queue whose service has no other priority is treated as before.
#[test]
fn jobs_of_a_queue_that_does_not_compete_are_not_marked() {
    let mut test = TestShares::new();
    let mut route = route("q", 0);
    route.competes = false;
    for _ in 0..1_000 {
        assert_eq!(test.submit(&route, 900, true), ShareGrant::default());
        test.now = test.now.plus_ms(10);
    }
    assert!(test.shares.demands(test.now, SERVICE).is_empty());
}

/// A job larger than the bucket of a queue with a light demand was never within its share.
#[test]
fn a_full_bucket_admits_one_job_of_any_size() {
    let mut bucket = QueueBucket::new(start());
    bucket.set_rate(start(), 0.1);
    assert!(bucket.take(start(), 3_600.0, false));
    assert!(!bucket.take(start(), 1.0, false));
}

/// Jobs that return must be served at last, but not without limit.
#[test]
fn a_returning_job_overdraws_by_one_bucket_at_most() {
    let mut bucket = QueueBucket::new(start());
    bucket.set_rate(start(), 1.0);
    let mut taken = [0, 0];
    while bucket.take(start(), 10.0, false) {
        taken[0] += 10;
    }
    while bucket.take(start(), 10.0, true) {
        taken[1] += 10;
    }
    assert_eq!(taken, [500, 500]);
}

/// A refused job must not use up the share of the ones after it.
#[test]
fn the_tokens_of_a_refused_job_are_returned() {
    let mut test = TestShares::new();
    let (urgent, other) = (route("urgent", 0), route("other", 1));
    test.flood(&[(&urgent, 100, 100.0), (&other, 100, 100.0)], 2_000);
    // The bucket fills.
    test.now = test.now.plus_ms(600);
    let first = test.submit(&urgent, 10_000, true);
    let second = test.submit(&urgent, 10, true);
    test.shares
        .record_refusal(test.now, JobId::of_number(test.last_id - 1), &urgent, first);
    let third = test.submit(&urgent, 10, true);
    assert_eq!(
        (first.is_beyond(), second.is_beyond(), third.is_beyond()),
        (false, true, false)
    );
}

/// An entry whose own queue is short at times must not take all the capacity that is lent.
#[test]
fn lent_capacity_is_granted_in_proportion_to_the_share() {
    let mut test = TestShares::new();
    let route = route("q", 0);
    test.reports = (0..3).map(|_| LevelReport::default()).collect();
    let mut granted_ms = [0; 3];
    for step in 0..1_000 {
        for report in &mut test.reports {
            report.record(test.now, vec![level("q", 450)]);
        }
        test.now = test.now.plus_ms(10);
        let grant = test.submit(&route, 50, true);
        // The demand is known by then.
        if step >= 300 {
            let class = match grant.class {
                ShareClass::Fitting | ShareClass::Within => 0,
                ShareClass::Beyond => 1,
                ShareClass::Excess => 2,
            };
            granted_ms[class] += 50;
        }
    }
    let [within_ms, lent_ms, refused_ms] = granted_ms.map(f64::from);
    // Nine tenths of the capacity are shared out.
    assert!(
        (0.10..=0.13).contains(&(lent_ms / within_ms)),
        "{granted_ms:?}"
    );
    assert!(refused_ms / 35_000.0 >= 0.45, "{granted_ms:?}");
}

/// A short flood must not leave a queue in debt for long after its demand has fallen.
#[test]
fn a_debt_is_refilled_within_five_seconds() {
    let mut bucket = QueueBucket::new(start());
    bucket.set_rate(start(), 100.0);
    while bucket.take(start(), 1_000.0, true) {}
    bucket.set_rate(start(), 0.1);
    assert!(bucket.take(start().plus_ms(5_000), 1.0, false));
}

proptest! {
    /// A queue must not get more than its share for long, whatever the sizes of its jobs.
    #[test]
    fn a_bucket_grants_its_rate_and_one_burst(
        sizes in proptest::collection::vec(1.0..200.0_f64, 500..1_000),
        step_ms in 1_u64..20,
    ) {
        let (rate, mut now) = (2.0, start());
        let mut bucket = QueueBucket::new(now);
        bucket.set_rate(now, rate);
        let mut granted = 0.0;
        for size in sizes {
            now = now.plus_ms(step_ms);
            if bucket.take(now, size, false) {
                granted += size;
            }
        }
        let elapsed_ms = now.millis_since(start()) as f64;
        prop_assert!(granted <= rate * (elapsed_ms + 500.0) + 200.0);
    }
}
