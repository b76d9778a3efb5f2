//! Configuration changes on real processes: races, kills, pauses, outages and restarts.

use {
    super::support::{Deployment, Layout, Reply, eventually, get, request, try_request},
    serde_json::{Value, json},
    std::{
        collections::BTreeSet,
        net::SocketAddr,
        time::{Duration, Instant},
    },
};

const WAIT_TIMEOUT: Duration = Duration::from_secs(30);
/// Additional operators and their sections; the name is also the token.
const OPERATORS: [(&str, &str); 3] = [
    ("hardware", "\"capacity\""),
    ("night-shift", "\"zones\""),
    ("day-shift", "\"zones\", \"quotas\""),
];

async fn deployment() -> Deployment {
    let operators = OPERATORS.map(|(name, sections)| {
        let digest = blake3::hash(name.as_bytes()).to_hex();
        format!("[operators.{name}]\ntoken_blake3 = \"{digest}\"\nsections = [{sections}]\n")
    });
    let layout = Layout {
        entry_settings: operators.concat(),
        ..Layout::default()
    };
    Deployment::start(layout).await
}

fn body(text: &str, based_on: u64) -> String {
    json!({ "text": text, "based_on": based_on }).to_string()
}

/// Applies a document as one of [`OPERATORS`]; `None` without a complete response.
async fn try_apply(
    deployment: &Deployment,
    entry: usize,
    operator: &str,
    body: &str,
) -> Option<Reply> {
    let authorization = format!("Bearer {operator}");
    let headers = [
        ("authorization", authorization.as_str()),
        ("content-type", "application/json"),
    ];
    let entry = deployment.entry_addrs[entry];
    try_request("POST", entry, "/v1/config", &headers, body)
        .await
        .ok()
}

async fn apply(deployment: &Deployment, entry: usize, operator: &str, body: &str) -> Reply {
    try_apply(deployment, entry, operator, body)
        .await
        .expect("reply")
}

async fn current_config(deployment: &Deployment, entry: usize) -> Value {
    get(deployment.entry_addrs[entry], "/v1/config")
        .await
        .json()
}

async fn history(deployment: &Deployment, entry: usize) -> Vec<Value> {
    let reply = get(deployment.entry_addrs[entry], "/v1/config/history").await;
    reply.json().as_array().expect("history").clone()
}

/// Returns the newest version of the history and checks that the history has no gap.
async fn newest_version(deployment: &Deployment, entry: usize) -> u64 {
    let history = history(deployment, entry).await;
    for (index, head) in history.iter().enumerate() {
        assert_eq!(head["version"], index + 1, "{history:?}");
    }
    history.len() as u64
}

/// Waits until each entry uses this version and all agents have reported it; returns the time that
/// it took.
async fn wait_until_in_force(deployment: &Deployment, version: u64) -> Duration {
    let started_at = Instant::now();
    for entry in &deployment.entry_addrs {
        eventually(
            "in force at an entry and its agents",
            WAIT_TIMEOUT,
            || async {
                let version_matches = get(*entry, "/v1/config").await.json()["version"] == version;
                let workers = get(*entry, "/v1/workers").await.json();
                let reported = workers
                    .as_array()
                    .expect("workers")
                    .iter()
                    .filter(|worker| worker["config_version"].as_u64() >= Some(version))
                    .count();
                version_matches && reported == deployment.layout.workers
            },
        )
        .await;
    }
    started_at.elapsed()
}

fn with_zone_out(text: &str, zone: &str) -> String {
    let header = format!("[zones.{zone}]\n");
    text.replace(&header, &format!("{header}state = \"out\" # {zone}\n"))
}

/// Writing the complete document from an old read would overwrite the concurrent change.
#[tokio::test]
async fn concurrent_changes_of_different_sections_are_both_applied() {
    let deployment = deployment().await;
    let text = deployment.document();
    let hardware = body(&text.replace("memory_mb = 262144", "memory_mb = 131072"), 1);
    let zones = body(&with_zone_out(&text, "keflavik"), 1);
    let (first, second) = tokio::join!(
        apply(&deployment, 0, "hardware", &hardware),
        apply(&deployment, 1, "night-shift", &zones),
    );
    assert_eq!((first.status.as_u16(), second.status.as_u16()), (200, 200));
    wait_until_in_force(&deployment, 3).await;
    for entry in 0..2 {
        let current = current_config(&deployment, entry).await["text"].clone();
        let current = current.as_str().expect("text");
        assert!(!current.contains("262144"), "{current}");
        assert!(current.contains("state = \"out\" # keflavik"), "{current}");
    }
}

/// The rejection names author, time and version of the change that was applied.
#[tokio::test]
async fn one_of_two_conflicting_changes_is_applied_and_the_other_is_rejected() {
    let deployment = deployment().await;
    let text = deployment.document();
    let (keflavik, grindavik) = (
        with_zone_out(&text, "keflavik"),
        with_zone_out(&text, "grindavik"),
    );
    let (keflavik, grindavik) = (body(&keflavik, 1), body(&grindavik, 1));
    let (night, day) = tokio::join!(
        apply(&deployment, 0, "night-shift", &keflavik),
        apply(&deployment, 1, "day-shift", &grindavik),
    );
    let statuses: BTreeSet<u16> = [night.status.as_u16(), day.status.as_u16()].into();
    assert_eq!(
        statuses,
        BTreeSet::from([200, 409]),
        "{} {}",
        night.body,
        day.body
    );
    let (winner, rejected) = if night.status == 200 {
        ("night-shift", day)
    } else {
        ("day-shift", night)
    };
    let detail = rejected.json()["detail"].clone();
    let conflict = &detail["conflicts"][0];
    assert_eq!(
        (
            &detail["version"],
            &conflict["section"],
            &conflict["author"]
        ),
        (&json!(2), &json!("zones"), &json!(winner))
    );
    assert_eq!(
        (&conflict["version"], &conflict["based_on"]),
        (&json!(2), &json!(1))
    );
    assert!(conflict["changed_at_ms"].as_u64().expect("time") > 0);
    assert_eq!(newest_version(&deployment, 0).await, 2);
}

/// A document with one section, and the version of that section, leaves the other sections
/// unchanged.
#[tokio::test]
async fn a_partial_document_changes_only_its_section() {
    let deployment = deployment().await;
    let text = deployment.document();
    let start = text.find("[capacity").expect("capacity");
    let end = text.find("[services").expect("services");
    let capacity = text[start..end].replace("262144", "131072");
    let change = |section: &str| json!({ "text": capacity, "based_on": { section: 1 } });
    let reply = apply(&deployment, 0, "hardware", &change("capacity").to_string()).await;
    assert_eq!(reply.status, 200, "{}", reply.body);
    assert_eq!(reply.json()["sections"], json!(["capacity"]));
    let current = current_config(&deployment, 0).await["text"].clone();
    let current = current.as_str().expect("text");
    assert_eq!(current, text.replace("262144", "131072"));
    let reply = apply(&deployment, 0, "hardware", &change("capacty").to_string()).await;
    assert_eq!(reply.status, 400, "{}", reply.body);
}

/// A change of several sections is rejected completely if one of them belongs to another operator.
#[tokio::test]
async fn a_change_outside_the_operators_sections_is_rejected() {
    let deployment = deployment().await;
    let text = deployment.document();
    let mixed = with_zone_out(&text, "keflavik").replace("262144", "131072");
    for (operator, status) in [("hardware", 403), ("night-shift", 403), ("nobody", 401)] {
        let reply = apply(&deployment, 0, operator, &body(&mixed, 1)).await;
        assert_eq!(reply.status.as_u16(), status, "{operator}: {}", reply.body);
    }
    assert_eq!(newest_version(&deployment, 0).await, 1);
}

/// The change comes into force at the other entry, the agents and the restarted entry.
#[tokio::test]
async fn an_accepted_change_survives_the_kill_of_its_entry() {
    let mut deployment = deployment().await;
    let change = body(&with_zone_out(&deployment.document(), "keflavik"), 1);
    let reply = apply(&deployment, 0, "night-shift", &change).await;
    deployment.entries[0].kill();
    assert_eq!(reply.status, 200);
    eventually("in force at the other entry", WAIT_TIMEOUT, || async {
        current_config(&deployment, 1).await["version"] == 2
    })
    .await;
    let (client, peer) = (deployment.entry_addrs[0], deployment.entry_peers[0]);
    deployment.entries[0] = deployment.start_entry(0, client, peer);
    eventually("the replacement responds", WAIT_TIMEOUT, || async {
        try_request("GET", client, "/health", &[], "").await.is_ok()
    })
    .await;
    wait_until_in_force(&deployment, 2).await;
}

/// The entry is paused after it has read the head row. Another change of the same section is
/// applied before it resumes.
#[tokio::test]
async fn an_entry_paused_during_a_change_does_not_overwrite_a_newer_one() {
    let deployment = deployment().await;
    let text = deployment.document();
    let stale = body(&with_zone_out(&text, "keflavik"), 1);
    let fresh = body(&with_zone_out(&text, "grindavik"), 1);
    deployment.set_platform_faults(r#"{"slow_ms": 300}"#).await;
    let paused = apply(&deployment, 0, "night-shift", &stale);
    let meanwhile = async {
        tokio::time::sleep(Duration::from_millis(450)).await;
        deployment.entries[0].pause();
        deployment.set_platform_faults("{}").await;
        let reply = apply(&deployment, 1, "day-shift", &fresh).await;
        deployment.entries[0].resume();
        reply
    };
    let (paused, meanwhile) = tokio::join!(paused, meanwhile);
    let newest_version = newest_version(&deployment, 1).await;
    wait_until_in_force(&deployment, newest_version).await;
    let current = current_config(&deployment, 0).await["text"].clone();
    let current = current.as_str().expect("text");
    let applied = [
        current.contains("# keflavik"),
        current.contains("# grindavik"),
    ];
    let accepted = [paused.status == 200, meanwhile.status == 200];
    assert_eq!(accepted, applied, "{} {}", paused.body, meanwhile.body);
    assert_eq!(newest_version, 2, "exactly one of two conflicting changes");
    for reply in [paused, meanwhile] {
        assert!(
            [200, 409].contains(&reply.status.as_u16()),
            "{}",
            reply.body
        );
    }
}

/// The platform applies a write, but its response is lost. The entry reads the result, and the
/// change is recorded once.
#[tokio::test]
async fn a_lost_write_reply_is_resolved_by_reading() {
    let deployment = deployment().await;
    let mut text = deployment.document();
    for (version, (lost, zone)) in (1..).zip([(1, "keflavik"), (2, "grindavik")]) {
        text = with_zone_out(&text, zone);
        let faults = json!({ "lose_write_replies": lost }).to_string();
        deployment.set_platform_faults(&faults).await;
        let reply = apply(&deployment, 0, "night-shift", &body(&text, version)).await;
        assert_eq!(reply.status, 200, "{}", reply.body);
        assert_eq!(reply.json()["version"], version + 1);
        deployment.set_platform_faults("{}").await;
    }
    assert_eq!(newest_version(&deployment, 1).await, 3);
    let metrics = get(deployment.entry_addrs[0], "/metrics").await.body;
    let settled = "rattanslip_config_changes_total{reason=\"settled_by_reading\"} 1";
    assert!(metrics.contains(settled), "{metrics}");
}

/// The rejection has a retry delay. The same change is accepted after the outage.
#[tokio::test]
async fn a_change_during_a_platform_outage_is_rejected_without_effect() {
    let deployment = deployment().await;
    let change = body(&with_zone_out(&deployment.document(), "keflavik"), 1);
    for faults in [r#"{"slow_ms": 5000}"#, r#"{"down": true}"#] {
        deployment.set_platform_faults(faults).await;
        assert_rejected_as_store_unavailable(&deployment, &change).await;
    }
    deployment.set_platform_faults("{}").await;
    assert_eq!(newest_version(&deployment, 0).await, 1);
    let reply = apply(&deployment, 0, "night-shift", &change).await;
    assert_eq!(reply.status, 200, "{}", reply.body);
    wait_until_in_force(&deployment, 2).await;
}

async fn assert_rejected_as_store_unavailable(deployment: &Deployment, change: &str) {
    let reply = apply(deployment, 0, "night-shift", change).await;
    assert_eq!(
        (reply.status.as_u16(), reply.header("retry-after")),
        (503, "2")
    );
    assert_eq!(reply.json()["reason"], "store_unavailable");
    assert_eq!(current_config(deployment, 0).await["version"], 1);
}

/// The entry must finish the writes, count the outcome and apply the new version without the
/// operator's connection.
#[tokio::test]
async fn a_change_completes_after_the_operator_disconnects() {
    let deployment = deployment().await;
    let change = body(&with_zone_out(&deployment.document(), "keflavik"), 1);
    deployment.set_platform_faults(r#"{"slow_ms": 500}"#).await;
    let limit = Duration::from_millis(700);
    let interrupted =
        tokio::time::timeout(limit, apply(&deployment, 0, "night-shift", &change)).await;
    assert!(
        interrupted.is_err(),
        "response before the operator disconnected"
    );
    eventually(
        "the change is counted as accepted",
        WAIT_TIMEOUT,
        || async {
            let metrics = get(deployment.entry_addrs[0], "/metrics").await.body;
            metrics.contains("rattanslip_config_changes_total{reason=\"accepted\"} 2")
        },
    )
    .await;
    deployment.set_platform_faults("{}").await;
    wait_until_in_force(&deployment, 2).await;
}

/// Hosts have no persistent disks. All processes but the platform are replaced.
#[tokio::test]
async fn the_configuration_survives_a_restart_of_all_processes() {
    let mut deployment = deployment().await;
    let change = body(&with_zone_out(&deployment.document(), "keflavik"), 1);
    let reply = apply(&deployment, 1, "night-shift", &change).await;
    assert_eq!(reply.status, 200);
    wait_until_in_force(&deployment, 2).await;
    let before = (
        current_config(&deployment, 0).await,
        history(&deployment, 0).await,
    );
    for number in 0..deployment.entries.len() {
        deployment.entries[number].kill();
    }
    for worker in &mut deployment.workers {
        worker.agent.kill();
        worker.backend.kill();
    }
    for number in 0..deployment.entries.len() {
        let (client, peer) = (
            deployment.entry_addrs[number],
            deployment.entry_peers[number],
        );
        deployment.entries[number] = deployment.start_entry(number, client, peer);
    }
    for number in 0..deployment.workers.len() {
        deployment.workers[number] = deployment.start_worker(number);
    }
    for entry in deployment.entry_addrs.clone() {
        eventually("a replaced entry responds", WAIT_TIMEOUT, || async {
            try_request("GET", entry, "/health", &[], "").await.is_ok()
        })
        .await;
    }
    wait_until_in_force(&deployment, 2).await;
    let after = (
        current_config(&deployment, 0).await,
        history(&deployment, 0).await,
    );
    assert_eq!(before, after);
}

/// Adds a team's quota, with a retry after each conflict; returns the number of conflicts.
async fn add_quota(entry: SocketAddr, operator: &str, team: &str) -> usize {
    let authorization = format!("Bearer {operator}");
    let headers = [
        ("authorization", authorization.as_str()),
        ("content-type", "application/json"),
    ];
    for conflicts in 0.. {
        let current = get(entry, "/v1/config").await.json();
        let text = current["text"].as_str().expect("text");
        let text = format!("{text}[quotas.{team}]\nslots = 1\n");
        let change = body(&text, current["version"].as_u64().expect("version"));
        let reply = request("POST", entry, "/v1/config", &headers, &change).await;
        match reply.status.as_u16() {
            200 => return conflicts,
            409 | 503 => {}
            _ => panic!("{}", reply.body),
        }
    }
    unreachable!("the loop has no end")
}

/// Twenty operators concurrently add a quota each through two entries and retry after conflicts.
/// Prints the times and the number of store calls.
#[tokio::test]
async fn a_burst_of_twenty_changes_is_applied_completely() {
    let deployment = deployment().await;
    deployment.set_platform_faults(r#"{"slow_ms": 5}"#).await;
    let before = store_calls(&deployment).await;
    let started_at = Instant::now();
    let mut tasks = Vec::new();
    for number in 0..20_usize {
        let entry = deployment.entry_addrs[number % 2];
        let operator = ["day-shift", "test-token"][number / 2 % 2];
        let team = format!("team-{number}");
        tasks.push(tokio::spawn(async move {
            add_quota(entry, operator, &team).await
        }));
    }
    let mut conflicts = 0;
    for task in tasks {
        conflicts += task.await.expect("joined");
    }
    let applied = started_at.elapsed();
    let after = store_calls(&deployment).await;
    assert_eq!(newest_version(&deployment, 0).await, 21);
    let everywhere = wait_until_in_force(&deployment, 21).await;
    for entry in 0..2 {
        let current = current_config(&deployment, entry).await["text"].clone();
        let teams = current
            .as_str()
            .expect("text")
            .matches("[quotas.team-")
            .count();
        assert_eq!(teams, 20);
    }
    println!(
        "20 changes applied after {applied:?} and {conflicts} conflicts, {} reads and {} writes of \
         the store; in force everywhere {everywhere:?} later",
        after.0 - before.0,
        after.1 - before.1,
    );
}

/// Evacuates and reopens a zone, six changes in total. Prints the time until each change is in
/// force.
#[tokio::test]
async fn zone_changes_come_into_force_at_all_processes() {
    let deployment = deployment().await;
    let mut times_ms = Vec::new();
    for version in 2..8 {
        let direction = ["out", "in"][version as usize % 2];
        let path = format!("/v1/zones/keflavik/{direction}");
        let reply = deployment
            .operator_request(version as usize % 2, "POST", &path, "")
            .await;
        assert_eq!(reply.json()["version"], version);
        times_ms.push(wait_until_in_force(&deployment, version).await.as_millis());
    }
    times_ms.sort_unstable();
    println!("6 changes in force everywhere after (ms, sorted): {times_ms:?}");
}

async fn store_calls(deployment: &Deployment) -> (u64, u64) {
    let store_calls = get(deployment.platform_addr, "/calls").await.json();
    let count = |kind: &str| store_calls[kind].as_u64().expect("count");
    (count("reads"), count("writes"))
}
