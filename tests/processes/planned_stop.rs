//! Planned stops (SIGTERM) during work.

use {
    super::support::{Deployment, Layout, Reply, eventually, get, job_body, try_request},
    std::{
        net::SocketAddr,
        time::{Duration, Instant},
    },
    tokio::task::JoinHandle,
};

const WAIT_TIMEOUT: Duration = Duration::from_secs(20);
/// The agents' `stop_limit_ms` and a margin for a busy machine.
const STOP_TIMEOUT: Duration = Duration::from_secs(25);

fn submit_in_background(entry: SocketAddr, ticket: &str, body: &str) -> JoinHandle<Reply> {
    let (ticket, body) = (ticket.to_owned(), body.to_owned());
    tokio::spawn(async move {
        let headers = [("rattanslip-ticket", ticket.as_str())];
        try_request("POST", entry, "/v1/jobs", &headers, &body)
            .await
            .expect("reply")
    })
}

async fn wait_for_starts(deployment: &Deployment, count: usize) {
    eventually("tasks have started", WAIT_TIMEOUT, || async {
        deployment.start_counts().await.len() >= count
    })
    .await;
}

/// Stops an agent with SIGTERM and waits until it exits.
async fn stop_agent(deployment: &mut Deployment, number: usize) {
    let started_at = Instant::now();
    let agent = &mut deployment.workers[number].agent;
    agent.terminate();
    let status = agent.wait(STOP_TIMEOUT).await;
    println!("agent {number} stopped in {:?}", started_at.elapsed());
    assert!(status.success(), "{status}");
}

/// Returns the worker whose agent is the home of the only running job.
async fn home_of_running(deployment: &Deployment) -> usize {
    for (number, worker) in deployment.workers.iter().enumerate() {
        let metrics = get(worker.agent_http, "/metrics").await.body;
        if metrics.contains("rattanslip_jobs_running 1") {
            return number;
        }
    }
    panic!("no home runs a job");
}

/// The records move to another agent: the job completes, and tickets that the stopped home granted
/// can still be used once.
#[tokio::test]
async fn a_stopped_home_hands_over_its_jobs_and_tickets() {
    let mut deployment = Deployment::start(Layout::default()).await;
    let body = job_body(30, 1_000, 60_000);
    let ticket = deployment.ticket(0).await;
    let first = submit_in_background(deployment.entry_addrs[0], &ticket, &body);
    wait_for_starts(&deployment, 12).await;
    let home = home_of_running(&deployment).await;
    let unused = ticket_of_same_home(&deployment, &ticket).await;

    stop_agent(&mut deployment, home).await;
    let first = first.await.expect("first");
    assert_eq!(first.verdict(), "done", "{}", first.body);
    assert_eq!(first.outputs().len(), 30);
    for entry in [1, 0] {
        let again = deployment.submit(entry, &ticket, &body).await;
        assert_eq!(again.body, first.body);
    }
    let small = job_body(2, 10, 10_000);
    for entry in [0, 1] {
        let late = deployment.submit(entry, &unused, &small).await;
        assert_eq!(late.verdict(), "done", "{}", late.body);
    }
    assert_eq!(deployment.assert_no_double_start().await, 32);
}

/// Requests tickets until one has the same home. Tickets begin with the identity of their home.
async fn ticket_of_same_home(deployment: &Deployment, ticket: &str) -> String {
    for _ in 0..200 {
        let other = deployment.ticket(0).await;
        if other[..12] == ticket[..12] {
            return other;
        }
    }
    panic!("no other ticket of the home of {ticket}");
}

/// Records that were handed over before are handed over again.
#[tokio::test]
async fn records_survive_consecutive_planned_stops() {
    let mut deployment = Deployment::start(Layout::default()).await;
    let body = job_body(6, 50, 20_000);
    let mut jobs = Vec::new();
    for entry in [0, 1, 0, 1, 0, 1] {
        let ticket = deployment.ticket(entry).await;
        let reply = deployment.submit(entry, &ticket, &body).await;
        assert_eq!(reply.verdict(), "done", "{}", reply.body);
        jobs.push((ticket, reply.body));
    }
    for number in [0, 1] {
        stop_agent(&mut deployment, number).await;
    }
    for (ticket, outcome) in &jobs {
        for entry in [0, 1] {
            assert_eq!(&deployment.submit(entry, ticket, &body).await.body, outcome);
        }
    }
    assert_eq!(deployment.assert_no_double_start().await, 36);
}

/// The agent reports the outcomes of its running tasks before it exits.
#[tokio::test]
async fn a_stopped_runner_finishes_its_tasks() {
    let mut deployment = Deployment::start(Layout::default()).await;
    let body = job_body(12, 2_000, 60_000);
    let ticket = deployment.ticket(0).await;
    let first = submit_in_background(deployment.entry_addrs[0], &ticket, &body);
    wait_for_starts(&deployment, 12).await;
    let runner = (home_of_running(&deployment).await + 1) % 3;
    stop_agent(&mut deployment, runner).await;
    let first = first.await.expect("first");
    assert_eq!(first.verdict(), "done", "{}", first.body);
    assert_eq!(deployment.assert_no_double_start().await, 12);
}

/// Clients receive pending responses on their open connections before the entry exits.
#[tokio::test]
async fn a_stopped_entry_completes_its_pending_requests() {
    let mut deployment = Deployment::start(Layout::default()).await;
    let body = job_body(12, 2_000, 60_000);
    let ticket = deployment.ticket(0).await;
    let first = submit_in_background(deployment.entry_addrs[0], &ticket, &body);
    wait_for_starts(&deployment, 12).await;
    deployment.entries[0].terminate();
    let first = first.await.expect("first");
    assert_eq!(first.verdict(), "done", "{}", first.body);
    let status = deployment.entries[0].wait(STOP_TIMEOUT).await;
    assert!(status.success(), "{status}");
    let again = deployment.submit(1, &ticket, &body).await;
    assert_eq!(again.body, first.body);
    assert_eq!(deployment.assert_no_double_start().await, 12);
}
