//! Exactly-once execution and complete outcomes when processes and connections fail.

use {
    super::support::{
        Deployment, Layout, Proxy, Reply, SERVICE, eventually, free_addr, get, job_body, request,
        try_request,
    },
    std::{collections::BTreeMap, net::SocketAddr, time::Duration},
    tokio::task::JoinHandle,
};

const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

fn submit_in_background(entry: SocketAddr, ticket: &str, body: &str) -> JoinHandle<Option<Reply>> {
    let (ticket, body) = (ticket.to_owned(), body.to_owned());
    tokio::spawn(async move {
        let headers = [("rattanslip-ticket", ticket.as_str())];
        try_request("POST", entry, "/v1/jobs", &headers, &body)
            .await
            .ok()
    })
}

fn submit_with_key(entry: SocketAddr, key: &str, body: &str) -> JoinHandle<Reply> {
    let (key, body) = (key.to_owned(), body.to_owned());
    tokio::spawn(async move {
        let headers = [("idempotency-key", key.as_str())];
        request("POST", entry, "/v1/jobs", &headers, &body).await
    })
}

async fn wait_for_starts(deployment: &Deployment, count: usize) {
    eventually("tasks have started", WAIT_TIMEOUT, || async {
        deployment.start_counts().await.len() >= count
    })
    .await;
}

/// Returns the worker whose agent is the home of the only running job.
async fn home_of(deployment: &Deployment, ticket: &str) -> usize {
    let poll = format!("/v1/jobs/{ticket}");
    let mut found = None;
    for (number, worker) in deployment.workers.iter().enumerate() {
        let metrics = get(worker.agent_http, "/metrics").await.body;
        if metrics.contains("rattanslip_jobs_running 1") {
            found = Some(number);
        }
    }
    let status = get(deployment.entry_addrs[0], &poll).await;
    found.unwrap_or_else(|| panic!("no home runs {ticket}: {}", status.body))
}

fn expected_outputs(tasks: usize) -> Vec<String> {
    (0..tasks).map(|index| format!("share {index}")).collect()
}

fn assert_complete(reply: &Reply, tasks: usize) {
    assert_eq!(reply.verdict(), "done", "{}", reply.body);
    assert_eq!(reply.outputs(), expected_outputs(tasks));
}

/// A client resubmits its job through another entry while the first submission is in flight. Both
/// receive the same outcome.
#[tokio::test]
async fn the_same_job_through_two_entries_at_once_runs_once() {
    let deployment = Deployment::start(Layout::default()).await;
    let body = job_body(20, 100, 20_000);
    for _ in 0..5 {
        let ticket = deployment.ticket(0).await;
        let first = submit_in_background(deployment.entry_addrs[0], &ticket, &body);
        let second = submit_in_background(deployment.entry_addrs[1], &ticket, &body);
        let first = first.await.expect("first").expect("reply");
        let second = second.await.expect("second").expect("reply");
        assert_complete(&first, 20);
        assert_eq!(first.body, second.body);
    }
    assert_eq!(deployment.assert_no_double_start().await, 100);
}

/// The client resubmits with the same ticket through another entry and receives the complete
/// outcome of the one run.
#[tokio::test]
async fn a_job_survives_the_kill_of_its_entry() {
    let mut deployment = Deployment::start(Layout::default()).await;
    let body = job_body(12, 1_500, 30_000);
    let ticket = deployment.ticket(0).await;
    let first = submit_in_background(deployment.entry_addrs[0], &ticket, &body);
    wait_for_starts(&deployment, 4).await;
    deployment.entries[0].kill();
    assert!(first.await.expect("first").is_none());
    let reply = deployment.submit(1, &ticket, &body).await;
    assert_complete(&reply, 12);
    assert_eq!(deployment.assert_no_double_start().await, 12);
}

/// The progress of the job is lost with its home, so this and each later submission is answered
/// with "may have run".
#[tokio::test]
async fn tasks_of_a_killed_home_may_have_run_and_are_not_restarted() {
    let mut deployment = Deployment::start(Layout::default()).await;
    let body = job_body(3, 2_000, 20_000);
    let ticket = deployment.ticket(0).await;
    let first = submit_in_background(deployment.entry_addrs[0], &ticket, &body);
    wait_for_starts(&deployment, 3).await;
    let home = home_of(&deployment, &ticket).await;
    deployment.workers[home].agent.kill();
    let first = first.await.expect("first").expect("reply");
    assert_eq!(first.verdict(), "may-have-run", "{}", first.body);
    // The backend server of the killed agent keeps running and is announced to the new agent.
    let replacement = deployment.start_worker(home);
    let replaced = std::mem::replace(&mut deployment.workers[home], replacement);
    deployment.wait_for_workers(3).await;
    for entry in [0, 1] {
        let reply = deployment.submit(entry, &ticket, &body).await;
        assert_eq!(reply.verdict(), "may-have-run", "{}", reply.body);
    }
    deployment.workers.push(replaced);
    assert_eq!(deployment.assert_no_double_start().await, 3);
}

/// During the pause the client receives "may have run" with a retry delay. After it the same ticket
/// returns the complete outcome.
#[tokio::test]
async fn a_paused_home_returns_the_outcome_after_it_resumes() {
    let deployment = Deployment::start(Layout::default()).await;
    let body = job_body(9, 1_000, 60_000);
    let ticket = deployment.ticket(0).await;
    let first = submit_in_background(deployment.entry_addrs[0], &ticket, &body);
    wait_for_starts(&deployment, 3).await;
    let home = home_of(&deployment, &ticket).await;
    deployment.workers[home].agent.pause();
    let reply = first.await.expect("first").expect("reply");
    assert_eq!(
        (reply.verdict(), reply.reason()),
        ("may-have-run", "home_unreachable")
    );
    assert_ne!(reply.header("rattanslip-retry-after-ms"), "");
    tokio::time::sleep(Duration::from_secs(10)).await;
    deployment.workers[home].agent.resume();
    let again = submit_until_home_is_reachable(&deployment, 1, &ticket, &body).await;
    deployment.assert_no_double_start().await;
    if again.verdict() == "done" {
        assert_eq!(again.outputs(), expected_outputs(9));
    } else {
        panic!("{}", again.body);
    }
}

/// Retries the submission until the home is reachable.
async fn submit_until_home_is_reachable(
    deployment: &Deployment,
    entry: usize,
    ticket: &str,
    body: &str,
) -> Reply {
    for _ in 0..20 {
        let reply = deployment.submit(entry, ticket, body).await;
        if reply.reason() != "home_unreachable" {
            return reply;
        }
        tokio::time::sleep(Duration::from_millis(500)).await;
    }
    panic!("the home is unreachable");
}

/// Tasks on the runner may have run. The job fails with an outcome for each task, and the resumed
/// runner starts nothing that was reported as not run.
#[tokio::test]
async fn a_paused_runner_fails_its_jobs_before_the_deadline() {
    let layout = Layout {
        agent_settings: "runner_lost_after_ms = 1500".to_owned(),
        ..Layout::default()
    };
    let deployment = Deployment::start(layout).await;
    let body = job_body(12, 3_000, 60_000);
    let ticket = deployment.ticket(0).await;
    let first = submit_in_background(deployment.entry_addrs[0], &ticket, &body);
    wait_for_starts(&deployment, 12).await;
    let home = home_of(&deployment, &ticket).await;
    let runner = (home + 1) % 3;
    deployment.workers[runner].agent.pause();
    let reply = first.await.expect("first").expect("reply");
    assert_eq!(
        (reply.verdict(), reply.reason()),
        ("may-have-run", "runner_lost")
    );
    let tasks = reply.json()["tasks"].as_array().expect("tasks").len();
    assert_eq!(tasks, 12, "an outcome for each task");
    deployment.workers[runner].agent.resume();
    let again = deployment.submit(1, &ticket, &body).await;
    assert_eq!(again.body, reply.body);
    assert_eq!(deployment.assert_no_double_start().await, 12);
}

/// Without pings the job would wait until its deadline. The home opens a new session and queries
/// the state of its tasks.
#[tokio::test]
async fn a_blackholed_connection_between_home_and_runner_is_replaced() {
    let listen = free_addr();
    let proxy = Proxy::start(listen).await;
    let layout = Layout {
        workers: 2,
        slots: 6,
        peer_addrs: BTreeMap::from([("w01".to_owned(), (listen, proxy.addr))]),
        ..Layout::default()
    };
    let deployment = Deployment::start(layout).await;
    for _ in 0..6 {
        let ticket = deployment.ticket(0).await;
        let body = job_body(10, 400, 20_000);
        let before = deployment.start_counts().await.len();
        let first = submit_in_background(deployment.entry_addrs[0], &ticket, &body);
        wait_for_starts(&deployment, before + 6).await;
        proxy.blackhole_open_connections();
        let started_at = std::time::Instant::now();
        let reply = first.await.expect("first").expect("reply");
        println!("response {:?} after the fault", started_at.elapsed());
        assert_complete(&reply, 10);
    }
    assert_eq!(deployment.assert_no_double_start().await, 60);
}

/// The entry must detect the dead connection, call again under the same ticket and relay the
/// outcome of the one run.
#[tokio::test]
async fn a_blackholed_connection_between_entry_and_home_is_replaced() {
    let listen = free_addr();
    let proxy = Proxy::start(listen).await;
    let layout = Layout {
        workers: 1,
        peer_addrs: BTreeMap::from([("w01".to_owned(), (listen, proxy.addr))]),
        ..Layout::default()
    };
    let deployment = Deployment::start(layout).await;
    for round in 1..=4 {
        let ticket = deployment.ticket(0).await;
        let body = job_body(4, 300, 20_000);
        let first = submit_in_background(deployment.entry_addrs[0], &ticket, &body);
        wait_for_starts(&deployment, 4 * round).await;
        proxy.blackhole_open_connections();
        let started_at = std::time::Instant::now();
        let reply = first.await.expect("first").expect("reply");
        println!("response {:?} after the fault", started_at.elapsed());
        assert_complete(&reply, 4);
    }
    assert_eq!(deployment.assert_no_double_start().await, 16);
}

/// The platform's response to the claim of a client's key is lost, while the same key is submitted
/// through another entry. Both must use one ticket.
#[tokio::test]
async fn a_lost_claim_reply_and_a_concurrent_claim_run_the_job_once() {
    let deployment = Deployment::start(Layout::default()).await;
    let body = job_body(3, 50, 20_000);
    let [one, two] = [deployment.entry_addrs[0], deployment.entry_addrs[1]];
    for round in 0..4 {
        deployment
            .set_platform_faults(r#"{"lose_write_replies": 1}"#)
            .await;
        let key = format!("landing {round}");
        let (first, second) = (
            submit_with_key(one, &key, &body),
            submit_with_key(two, &key, &body),
        );
        let (first, second) = (first.await.expect("first"), second.await.expect("second"));
        assert_complete(&first, 3);
        assert_eq!(first.body, second.body);
    }
    assert_eq!(deployment.assert_no_double_start().await, 12);
}

/// The entry cannot read whether the key was used before, so the response must not be "not run".
/// Jobs with tickets do not depend on the platform.
#[tokio::test]
async fn a_platform_outage_defers_fresh_keys_but_not_tickets() {
    let deployment = Deployment::start(Layout::default()).await;
    let body = job_body(2, 10, 10_000);
    let ticket = deployment.ticket(0).await;
    deployment.set_platform_faults(r#"{"down": true}"#).await;
    let entry = deployment.entry_addrs[0];
    let reply = submit_with_key(entry, "fresh", &body).await.expect("reply");
    assert_eq!(
        (reply.status.as_u16(), reply.verdict(), reply.reason()),
        (503, "may-have-run", "store_unavailable")
    );
    assert_ne!(reply.header("rattanslip-retry-after-ms"), "");
    assert_complete(&deployment.submit(0, &ticket, &body).await, 2);
    deployment.set_platform_faults("{}").await;
    let reply = submit_with_key(entry, "fresh", &body).await.expect("reply");
    assert_complete(&reply, 2);
    assert_eq!(deployment.assert_no_double_start().await, 4);
}

/// During a platform outage an entry that does not know the key responds with "may have run"; the
/// entry that does returns the outcome.
#[tokio::test]
async fn a_key_that_ran_is_never_reported_as_not_run() {
    let deployment = Deployment::start(Layout::default()).await;
    let body = job_body(2, 10, 10_000);
    let [one, two] = [deployment.entry_addrs[0], deployment.entry_addrs[1]];
    let first = submit_with_key(one, "landing 7", &body)
        .await
        .expect("reply");
    assert_complete(&first, 2);
    deployment.set_platform_faults(r#"{"down": true}"#).await;
    let elsewhere = submit_with_key(two, "landing 7", &body)
        .await
        .expect("reply");
    assert_eq!(elsewhere.verdict(), "may-have-run", "{}", elsewhere.body);
    assert_ne!(elsewhere.header("rattanslip-retry-after-ms"), "");
    let again = submit_with_key(one, "landing 7", &body)
        .await
        .expect("reply");
    assert_eq!(again.body, first.body);
    deployment.set_platform_faults("{}").await;
    let elsewhere = submit_with_key(two, "landing 7", &body)
        .await
        .expect("reply");
    assert_eq!(elsewhere.body, first.body);
    assert_eq!(deployment.assert_no_double_start().await, 2);
}

/// "Unknown service, not run" would be false for a job that has run before operators removed its
/// service.
#[tokio::test]
async fn a_resubmission_after_removal_of_its_service_returns_the_outcome() {
    let deployment = Deployment::start(Layout::default()).await;
    let body = job_body(3, 10, 10_000);
    let ticket = deployment.ticket(0).await;
    let first = deployment.submit(0, &ticket, &body).await;
    assert_complete(&first, 3);
    let document = deployment.document();
    let without = document.split("[services.").next().expect("document");
    let apply = serde_json::json!({ "text": without, "based_on": 1 }).to_string();
    let applied = deployment
        .operator_request(0, "POST", "/v1/config", &apply)
        .await;
    assert_eq!(applied.status, 200, "{}", applied.body);
    let again = deployment.submit(0, &ticket, &body).await;
    assert_eq!(again.body, first.body);
    let fresh = deployment.ticket(0).await;
    let rejected = deployment.submit(0, &fresh, &body).await;
    assert_eq!(
        (rejected.verdict(), rejected.reason()),
        ("not-run", "unknown_service")
    );
}

/// Tasks that have not started at the failure never start.
#[tokio::test]
async fn one_failing_task_of_200_fails_the_job_and_reports_each_task_outcome() {
    let deployment = Deployment::start(Layout::default()).await;
    let mut job: serde_json::Value =
        serde_json::from_str(&job_body(200, 10_000, 60_000)).expect("job");
    // The other tasks run long enough that no slot becomes free before the failure is known.
    job["tasks"][3]["input"] = "broken".into();
    let ticket = deployment.ticket(0).await;
    let reply = deployment.submit(0, &ticket, &job.to_string()).await;
    assert_eq!(
        (reply.verdict(), reply.reason()),
        ("may-have-run", "task_failed")
    );
    let json = reply.json();
    let tasks = json["tasks"].as_array().expect("tasks");
    let count = |verdict: &str| tasks.iter().filter(|t| t["verdict"] == verdict).count();
    assert_eq!((tasks.len(), count("failed")), (200, 1));
    let not_run = count("not-run");
    assert!(not_run >= 180, "{not_run}");
    tokio::time::sleep(Duration::from_secs(1)).await;
    let started = deployment.assert_no_double_start().await;
    assert!(
        started + not_run <= 200,
        "{started} started, {not_run} not run"
    );
}

/// Not all queued jobs could start before their deadline, so some are rejected as overloaded before
/// their cancellation; that verdict is final as well.
#[tokio::test]
async fn a_thousand_cancellations_stop_all_queued_tasks() {
    let deployment = Deployment::start(Layout::default()).await;
    let entry = deployment.entry_addrs[0];
    let body = job_body(1, 3_000, 60_000);
    let mut tickets = Vec::new();
    for _ in 0..10 {
        let reply = request("POST", entry, "/v1/tickets?count=100", &[], "").await;
        let json = reply.json();
        let granted = json["tickets"].as_array().expect("tickets").clone();
        tickets.extend(
            granted
                .iter()
                .map(|t| t.as_str().expect("ticket").to_owned()),
        );
    }
    let mut admitted = 0;
    for some in tickets.chunks(50) {
        let submissions: Vec<_> = some
            .iter()
            .map(|ticket| {
                let (ticket, body) = (ticket.clone(), body.clone());
                tokio::spawn(async move {
                    let headers = [("rattanslip-ticket", ticket.as_str())];
                    request("POST", entry, "/v1/jobs?wait_ms=0", &headers, &body).await
                })
            })
            .collect();
        for submission in submissions {
            let reply = submission.await.expect("submission");
            match (reply.verdict(), reply.reason()) {
                ("running", "") => admitted += 1,
                other => assert_eq!(other, ("not-run", "overloaded"), "{}", reply.body),
            }
        }
    }
    let cancellations: Vec<_> = tickets
        .iter()
        .map(|ticket| {
            let path = format!("/v1/jobs/{ticket}");
            tokio::spawn(async move { request("DELETE", entry, &path, &[], "").await })
        })
        .collect();
    let (mut not_run, mut cancelled) = (0, 0);
    for cancellation in cancellations {
        let reply = cancellation.await.expect("cancellation");
        assert!(["not-run", "may-have-run", "done"].contains(&reply.verdict()));
        if reply.verdict() == "not-run" {
            assert!(["cancelled", "overloaded"].contains(&reply.reason()));
            cancelled += usize::from(reply.reason() == "cancelled");
            not_run += 1;
        }
    }
    tokio::time::sleep(Duration::from_secs(4)).await;
    let started = deployment.assert_no_double_start().await;
    println!("{admitted} admitted, {cancelled} cancelled before their start, {started} started");
    assert!(started <= admitted, "a rejected job has started");
    assert!(cancelled > 100, "{cancelled}");
    assert!(started + not_run <= 1_000);
    assert!(not_run > 800, "{not_run}");
    let fresh = deployment.ticket(1).await;
    let reply = deployment.submit(1, &fresh, &job_body(4, 10, 20_000)).await;
    assert_complete(&reply, 4);
}

/// The balancer duplicates a request that must not run twice.
#[tokio::test]
async fn a_request_duplicated_by_the_balancer_runs_once() {
    let deployment = Deployment::start(Layout::default()).await;
    let path = format!("/v1/requests/{SERVICE}");
    let ticket = deployment.ticket(0).await;
    let headers = [("rattanslip-ticket", ticket.as_str())];
    let (first, second) = tokio::join!(
        request(
            "POST",
            deployment.entry_addrs[0],
            &path,
            &headers,
            "50 paid"
        ),
        request(
            "POST",
            deployment.entry_addrs[1],
            &path,
            &headers,
            "50 paid"
        ),
    );
    assert_eq!(
        (first.body.as_str(), second.body.as_str()),
        ("paid", "paid")
    );
    assert_eq!(deployment.assert_no_double_start().await, 1);
}
