//! Admission: which jobs are rejected, and with which reason.

use {
    super::support::{Deployment, Layout, job_body},
    serde_json::Value,
};

/// An accepted job would wait for a worker that never joins.
#[tokio::test]
async fn a_task_that_fits_no_worker_is_rejected_immediately() {
    let deployment = Deployment::start(Layout::default()).await;
    for (need, amount) in [("memory_mb", 100_000_000), ("accelerators", 9)] {
        let mut job: Value = serde_json::from_str(&job_body(3, 10, 20_000)).expect("job");
        job["tasks"][1][need] = amount.into();
        let ticket = deployment.ticket(0).await;
        for entry in [0, 1] {
            let reply = deployment.submit(entry, &ticket, &job.to_string()).await;
            assert_eq!(
                (reply.verdict(), reply.reason()),
                ("not-run", "impossible_task"),
                "{}",
                reply.body
            );
        }
    }
    assert_eq!(deployment.assert_no_double_start().await, 0);
}

/// The load is ten times the capacity. Jobs that would miss their deadline are rejected and start
/// nothing.
#[tokio::test]
async fn overload_is_rejected_with_a_retry_delay() {
    let deployment = Deployment::start(Layout::default()).await;
    let mut submissions = Vec::new();
    let body = job_body(8, 200, 1_500);
    for _ in 0..40 {
        let mut wave = Vec::new();
        for _ in 0..10 {
            let ticket = deployment.ticket(0).await;
            let (body, entry) = (body.clone(), deployment.entry_addrs[0]);
            wave.push(tokio::spawn(async move {
                let headers = [("rattanslip-ticket", ticket.as_str())];
                super::support::request("POST", entry, "/v1/jobs", &headers, &body).await
            }));
        }
        submissions.extend(wave);
        tokio::time::sleep(std::time::Duration::from_millis(20)).await;
    }
    let (mut done, mut rejected) = (0, 0);
    for submission in submissions {
        let reply = submission.await.expect("joined");
        if reply.verdict() == "done" {
            done += 1;
        } else if reply.reason() == "overloaded" {
            assert_eq!(reply.verdict(), "not-run", "{}", reply.body);
            assert_ne!(reply.header("rattanslip-retry-after-ms"), "");
            rejected += 1;
        }
    }
    println!("{done} done, {rejected} rejected of 400");
    assert!(done > 0 && rejected > 0, "{done} done, {rejected} rejected");
    let started = deployment.assert_no_double_start().await;
    assert!(started <= (400 - rejected) * 8, "{started} started");
}
