//! Readers of the logs that stall or are gone.

use {
    crate::support::{Site, eventually, request, site_job, submit_to},
    std::time::Duration,
    tokio::time::timeout,
};

/// Messages of this many reports are larger than the pipe to the reader.
const REPORTS: usize = 1_500;

/// Restarts all programs with logs that nobody reads, and makes each agent log more than a pipe holds; jobs
/// must be served afterwards.
async fn assert_jobs_are_served(name: &str, is_reader_gone: bool) {
    let mut site = Site::start(name, 1, 2).await;
    site.restart_with_unread_logs(is_reader_gone);
    site.wait_until_ready().await;
    for worker in &site.workers {
        for _ in 0..REPORTS {
            let path = "/v1/Instances.Heartbeat/w-9";
            let reply = request("POST", worker.report_addr, path, &[], "no report").await;
            assert_eq!(reply.status, 400);
        }
    }
    let entry = site.entries[0].client_addr;
    for _ in 0..REPORTS {
        submit_to(entry, "00000000000000d1", "no job".into())
            .await
            .expect("a response");
    }
    eventually("jobs are served", Duration::from_secs(5), || async {
        let id = format!("{:016x}", rand::random::<u64>());
        let reply = submit_to(entry, &id, site_job(4, 30)).await;
        reply.is_ok_and(|reply| reply.status == 200)
    })
    .await;
}

/// A stalled reader of standard error hung entries and agents.
#[tokio::test]
async fn a_stalled_reader_of_the_logs_stops_no_work() {
    let served = assert_jobs_are_served("stalled-logs", false);
    timeout(Duration::from_secs(60), served)
        .await
        .expect("the processes respond");
}

/// Each message panicked the task that logged it.
#[tokio::test]
async fn a_reader_of_the_logs_that_is_gone_stops_no_work() {
    assert_jobs_are_served("gone-logs", true).await;
}
