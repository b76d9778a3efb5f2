//! Site deployments (`deployment = "site"`): clients, entries, agents, workers and the platform's
//! store.

use {
    crate::support::{Reply, Site, eventually, get, request, site_config, site_job, submit_to},
    serde_json::json,
    std::{collections::BTreeMap, time::Duration},
    tokio::task::JoinHandle,
};

/// Tasks that began more than once.
fn tasks_begun_twice(site: &Site) -> Vec<String> {
    let mut begun: BTreeMap<String, usize> = BTreeMap::new();
    for (_, event, task) in site.run_events() {
        if event == "begin" {
            *begun.entry(task).or_default() += 1;
        }
    }
    begun
        .into_iter()
        .filter(|(_, count)| *count > 1)
        .map(|(task, _)| task)
        .collect()
}

/// Waits until an entry completes a job. Before its first contact with an agent it rejects short
/// jobs.
pub async fn wait_until_serving(site: &Site, entry: usize) {
    let what = format!("entry {entry} serves");
    eventually(&what, Duration::from_secs(10), || async {
        let id = format!("{:016x}", rand::random::<u64>());
        let reply = site.submit(entry, &id, &site_job(2, 30)).await;
        reply.is_ok_and(|reply| reply.body == r#"{"state":"completed"}"#)
    })
    .await;
}

#[tokio::test]
async fn each_job_runs_once_without_faults() {
    let site = Site::start("calm", 2, 3).await;
    for number in 0..20_u32 {
        let id = format!("{number:016x}");
        let reply = site
            .submit((number % 2) as usize, &id, &site_job(5, 30))
            .await
            .expect("reply");
        assert_eq!(
            (reply.status.as_u16(), reply.body.as_str()),
            (200, r#"{"state":"completed"}"#)
        );
    }
    let begun = site
        .run_events()
        .iter()
        .filter(|(_, event, _)| event == "begin")
        .count();
    assert_eq!(begun, 100);
    assert_eq!(tasks_begun_twice(&site), Vec::<String>::new());
}

#[tokio::test]
async fn unsupported_requests_are_rejected_immediately() {
    let site = Site::start("refusals", 1, 1).await;
    let id = "00000000000000aa";
    let mut durable = site_job(1, 30);
    durable["best_effort"] = json!(false);
    assert_eq!(
        site.submit(0, id, &durable).await.expect("reply").status,
        503
    );
    let entry = site.entries[0].client_addr;
    let headers = [("host", "shares.example")];
    let status = async |method, path| {
        request(method, entry, path, &headers, "")
            .await
            .status
            .as_u16()
    };
    assert_eq!(status("GET", "/shares/00000000000000aa").await, 410);
    assert_eq!(status("DELETE", "/shares/00000000000000aa").await, 410);
    assert_eq!(status("GET", "/other/").await, 404);
    let pending = request("GET", entry, "/shares/", &headers, "").await;
    assert_eq!(pending.body, r#"{"pending":0}"#);
    assert_eq!(
        site.submit(0, id, &json!("no job"))
            .await
            .expect("reply")
            .status,
        400
    );
    assert!(site.run_events().is_empty());
}

/// The entries apply the change also after the store has discarded its change history.
#[tokio::test]
async fn a_route_change_comes_into_force_at_all_entries() {
    let site = Site::start("change", 2, 1).await;
    let mut config = site_config(5);
    config["routes"][0]["path_prefix"] = json!("/moved/");
    site.set_store_faults(&json!({"forget_history": true}))
        .await;
    site.put_operator_row("config", &config).await;
    for entry in &site.entries {
        eventually(
            "the new route is served",
            Duration::from_secs(5),
            || async {
                let headers = [("host", "shares.example")];
                let moved = request("GET", entry.client_addr, "/moved/", &headers, "").await;
                let old = request("GET", entry.client_addr, "/shares/", &headers, "").await;
                (moved.status, old.status) == (http::StatusCode::OK, http::StatusCode::NOT_FOUND)
            },
        )
        .await;
    }
}

/// The leases of the worker's runs expire, and the tasks start again afterwards.
#[tokio::test]
async fn a_job_completes_after_its_agent_is_killed() {
    let mut site = Site::start("agent", 1, 2).await;
    let entry = site.entries[0].client_addr;
    let submitting = tokio::spawn(submit_to(entry, "00000000000000b1", site_job(6, 900)));
    tokio::time::sleep(Duration::from_millis(400)).await;
    site.restart_agent(0);
    let reply = submitting.await.expect("task").expect("reply");
    assert_eq!(reply.body, r#"{"state":"completed"}"#);
    let reply = site
        .submit(0, "00000000000000b2", &site_job(6, 100))
        .await
        .expect("reply");
    assert_eq!(reply.body, r#"{"state":"completed"}"#);
}

/// Each of the three store parts has a copy of the list of entries; two of them are unavailable
/// when the agent restarts.
#[tokio::test]
async fn an_agent_finds_the_entries_while_store_parts_are_unavailable() {
    let mut site = Site::start("parts", 2, 1).await;
    site.set_store_faults(&json!({"down_parts": ["0", "2"]}))
        .await;
    site.restart_agent(0);
    for entry in 0..2 {
        wait_until_serving(&site, entry).await;
    }
}

/// An entry is removed from the list and added again while a job runs. A second session would
/// report no runs, and the tasks would begin twice.
#[tokio::test]
async fn a_relisted_entry_keeps_its_session() {
    let site = Site::start("relisted", 1, 1).await;
    wait_until_serving(&site, 0).await;
    let entry = site.entries[0].client_addr;
    let submitting = tokio::spawn(submit_to(entry, "00000000000000e1", site_job(3, 4_000)));
    for listed in [false, true] {
        site.set_entry_listed(0, listed).await;
        // Longer than the delay after which an agent reads a changed list.
        tokio::time::sleep(Duration::from_millis(1_200)).await;
    }
    let reply = submitting.await.expect("task").expect("reply");
    assert_eq!(reply.body, r#"{"state":"completed"}"#);
    assert_eq!(tasks_begun_twice(&site), Vec::<String>::new());
    let connections = site.log("agent-0").matches("entry_connected").count();
    assert_eq!(connections, 1);
}

/// Otherwise each agent would read the list twice for each entry of a rolling restart, and an entry
/// that restarts while the store is down would have no workers.
#[tokio::test]
async fn a_restarted_entry_stays_listed_and_needs_no_store() {
    let mut site = Site::start("restart", 2, 2).await;
    wait_until_serving(&site, 0).await;
    let listed = site.listed_entries().await;
    assert_eq!(listed.as_array().map(Vec::len), Some(2), "{listed}");
    site.entries[0].process.terminate();
    site.entries[0].process.wait(Duration::from_secs(10)).await;
    assert_eq!(site.listed_entries().await, listed);
    site.set_store_faults(&json!({"down": true})).await;
    site.restart_entry(0);
    wait_until_serving(&site, 0).await;
    site.set_store_faults(&json!({})).await;
    tokio::time::sleep(Duration::from_millis(1_000)).await;
    assert_eq!(site.listed_entries().await, listed);
}

/// The agent restarts while the store is unavailable and connects to the entries in its settings.
#[tokio::test]
async fn an_agent_rejected_by_the_store_connects_to_its_seeds() {
    let mut site = Site::start("seeds", 1, 1).await;
    site.set_seed(0, 0);
    site.set_store_faults(&json!({"down": true})).await;
    site.restart_agent(0);
    wait_until_serving(&site, 0).await;
}

/// The entry also logs the outage and its end.
#[tokio::test]
async fn jobs_complete_during_a_store_outage() {
    let site = Site::start("store", 1, 2).await;
    site.set_store_faults(&json!({"silent": true})).await;
    for number in 0..10_u32 {
        let id = format!("{:016x}", 0xc00 + number);
        let reply = site.submit(0, &id, &site_job(2, 100)).await.expect("reply");
        assert_eq!(reply.status, 200);
    }
    eventually("the outage is logged", Duration::from_secs(10), || async {
        site.log("entry-0").contains("\"event\":\"store_lost\"")
    })
    .await;
    site.set_store_faults(&json!({})).await;
    eventually(
        "the end of the outage is logged",
        Duration::from_secs(10),
        || async { site.log("entry-0").contains("\"event\":\"store_regained\"") },
    )
    .await;
}

/// An entry that is stopped during a job completes it before it exits.
/// A job that arrives as soon as its entry listens again must not be refused for lack of a configuration
/// or because only the first of its workers are known.
#[tokio::test]
async fn a_job_is_served_right_after_its_entry_has_restarted() {
    let mut site = Site::start("power", 1, 4).await;
    wait_until_serving(&site, 0).await;
    site.entries[0].process.kill();
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    site.restart_entry(0);
    // The job needs all slots of all workers.
    let job = site_job(16, 300);
    eventually("the entry listens", Duration::from_secs(10), || async {
        let reply = site.submit(0, "00000000000000c1", &job).await;
        let Ok(reply) = reply else {
            return false;
        };
        assert_eq!(reply.body, r#"{"state":"completed"}"#);
        true
    })
    .await;
}

#[tokio::test]
async fn a_planned_stop_interrupts_no_job() {
    let mut site = Site::start("stop", 2, 2).await;
    let job = site_job(3, 1_500);
    let stopping = async {
        tokio::time::sleep(Duration::from_millis(300)).await;
        site.entries[0].process.terminate();
    };
    let (reply, ()) = tokio::join!(site.submit(0, "00000000000000d1", &job), stopping);
    assert_eq!(reply.expect("reply").body, r#"{"state":"completed"}"#);
    let status = site.entries[0].process.wait(Duration::from_secs(10)).await;
    assert!(status.success());
}

/// A worker executes its runs until it ends, also after it has announced that it leaves: their tasks
/// were started elsewhere at once.
#[tokio::test]
async fn tasks_of_a_leaving_worker_run_once_at_a_time() {
    let site = Site::start("leaving", 1, 3).await;
    eventually("all workers serve", Duration::from_secs(20), || async {
        let id = format!("{:016x}", rand::random::<u64>());
        // The job needs all slots of all workers.
        let reply = site.submit(0, &id, &site_job(12, 30)).await;
        let runs = site.runs();
        reply.is_ok() && (0..3).all(|worker| runs.iter().any(|run| run.worker == worker))
    })
    .await;
    let entry = site.entries[0].client_addr;
    let submitting = tokio::spawn(submit_to(entry, "00000000000000a7", site_job(6, 1_500)));
    let leaving = || {
        let runs = site.runs();
        let open = runs.into_iter().find(|run| run.ended_at_us.is_none());
        open.map(|run| run.worker)
    };
    eventually("a task runs", Duration::from_secs(5), || async {
        leaving().is_some()
    })
    .await;
    let worker = leaving().expect("a worker with a run");
    let agent = site.workers[worker].report_addr;
    let path = format!("/v1/Instances.Leave/w-{worker}");
    assert_eq!(request("POST", agent, &path, &[], "{}").await.status, 200);
    let is_acknowledged_early = site.runs().iter().any(|run| run.is_open_at(worker));
    let reply = submitting.await.expect("task").expect("reply");
    assert_eq!(reply.body, r#"{"state":"completed"}"#);
    assert_eq!(site.tasks_run_twice_at_once(), Vec::<String>::new());
    assert!(!tasks_begun_twice(&site).is_empty());
    assert!(!is_acknowledged_early);
}

/// Malformed reports are rejected with 400, and the known worker keeps working.
#[tokio::test]
async fn a_malformed_worker_report_is_rejected() {
    let site = Site::start("reports", 1, 1).await;
    let agent = site.workers[0].report_addr;
    for body in [
        "{}",
        r#"{"service":7,"zone":"north","state":"ready"}"#,
        "\u{1}",
    ] {
        let path = "/v1/Instances.Heartbeat/w-9";
        assert_eq!(request("POST", agent, path, &[], body).await.status, 400);
    }
    let reply = site
        .submit(0, "00000000000000e1", &site_job(1, 30))
        .await
        .expect("reply");
    assert_eq!(reply.status, 200);
}

/// Runs that no client waits for are stopped immediately.
#[tokio::test]
async fn a_client_disconnect_stops_its_job() {
    let site = Site::start("leaves", 1, 1).await;
    let job = site_job(2, 5_000);
    let submitting = site.submit(0, "00000000000000f1", &job);
    // Dropping the future closes the connection.
    let timed_out = tokio::time::timeout(Duration::from_millis(600), submitting).await;
    assert!(timed_out.is_err());
    eventually("the runs are stopped", Duration::from_secs(3), || async {
        let ended = site
            .run_events()
            .iter()
            .filter(|(_, event, _)| event == "end")
            .count();
        ended == 2
    })
    .await;
    let metrics = get(site.entries[0].metrics_addr, "/metrics").await;
    assert!(metrics.body.contains("rattanslip_"));
}

/// Submits two jobs with the same ID, of two queues of one service, to these entries; the second one while
/// the first one runs. Each must be completed by its own tasks.
async fn assert_jobs_with_the_same_id_run(name: &str, entries: [usize; 2]) {
    let site = Site::start(name, 2, 2).await;
    let mut config = site_config(2);
    let mut route = config["routes"][0].clone();
    route["name"] = json!("rents");
    route["path_prefix"] = json!("/rents/");
    config["routes"].as_array_mut().expect("routes").push(route);
    site.put_operator_row("config", &config).await;
    for entry in 0..2 {
        wait_until_serving(&site, entry).await;
    }
    let headers = [
        ("host", "shares.example"),
        ("rattanslip-deadline-ms", "8000"),
    ];
    eventually("the route is added", Duration::from_secs(5), || async {
        let get = |entry: usize| {
            let addr = site.entries[entry].client_addr;
            request("GET", addr, "/rents/", &headers, "")
        };
        get(0).await.status == 200 && get(1).await.status == 200
    })
    .await;
    for number in 0..5 {
        let id = format!("{number:016x}");
        let (first, second) = (site_job(2, 400), site_job(3, 100));
        let path = format!("/rents/{id}");
        let first_reply = submit_to(site.entries[entries[0]].client_addr, &id, first);
        let second_reply = async {
            tokio::time::sleep(Duration::from_millis(100)).await;
            let addr = site.entries[entries[1]].client_addr;
            request("POST", addr, &path, &headers, &second.to_string()).await
        };
        let (first_reply, second_reply) = tokio::join!(first_reply, second_reply);
        let completed = r#"{"state":"completed"}"#;
        assert_eq!(first_reply.expect("reply").body, completed);
        assert_eq!(second_reply.body, completed);
        let is_done =
            |(_, event, task): &&(usize, String, String)| event == "end" && task.starts_with(&id);
        eventually("all tasks have ended", Duration::from_secs(1), || async {
            site.run_events().iter().filter(is_done).count() >= 5
        })
        .await;
    }
}

/// The second job was answered with the outcome of the first one, and its tasks never ran.
#[tokio::test]
async fn jobs_of_two_queues_with_the_same_id_run_at_one_entry() {
    assert_jobs_with_the_same_id_run("same-id", [0, 0]).await;
}

#[tokio::test]
async fn jobs_of_two_queues_with_the_same_id_run_at_two_entries() {
    assert_jobs_with_the_same_id_run("same-id-entries", [0, 1]).await;
}

/// Begin and end events of a job's runs.
fn count_events(site: &Site, id: &str) -> usize {
    let events = site.run_events();
    let of_job = events.iter().filter(|(_, _, task)| task.starts_with(id));
    of_job.count()
}

/// Submits a job of four tasks to the first entry of a site; returns the call once all of them run.
async fn submit_long_job(site: &Site, id: &'static str) -> JoinHandle<Result<Reply, String>> {
    wait_until_serving(site, 0).await;
    let addr = site.entries[0].client_addr;
    let submitting = tokio::spawn(submit_to(addr, id, site_job(4, 5_000)));
    eventually("the tasks run", Duration::from_secs(5), || async {
        count_events(site, id) == 4
    })
    .await;
    submitting
}

async fn cancel(site: &Site, entry: usize, id: &str) -> Reply {
    let addr = site.entries[entry].client_addr;
    let headers = [("host", "shares.example")];
    request("DELETE", addr, &format!("/shares/{id}"), &headers, "").await
}

/// Cancelled jobs were answered with 410 and went on to their end.
#[tokio::test]
async fn a_cancelled_job_is_stopped() {
    let site = Site::start("cancelled", 1, 2).await;
    let id = "00000000000000c5";
    let submitting = submit_long_job(&site, id).await;
    assert_eq!(cancel(&site, 0, id).await.status, 200);
    let reply = submitting.await.expect("task").expect("reply");
    assert_eq!(reply.body, r#"{"state":"cancelled"}"#);
    // Each of the four runs has ended as well.
    eventually("the runs are stopped", Duration::from_secs(1), || async {
        count_events(&site, id) == 8
    })
    .await;
    assert_eq!(cancel(&site, 0, id).await.status, 200);
}

/// An entry answers 410 for a job that another entry runs.
#[tokio::test]
async fn a_job_is_cancelled_at_another_entry() {
    let site = Site::start("cancelled-elsewhere", 2, 2).await;
    let id = "00000000000000c6";
    let submitting = submit_long_job(&site, id).await;
    assert_eq!(cancel(&site, 1, id).await.status, 200);
    let reply = submitting.await.expect("task").expect("reply");
    assert_eq!(reply.body, r#"{"state":"cancelled"}"#);
}
