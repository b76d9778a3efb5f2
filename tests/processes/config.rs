//! The configuration over real processes: races, kills, pauses, outages, restarts.

use {
    super::support::{Deployment, Layout, Reply, eventually, get, request, try_request},
    serde_json::{Value, json},
    std::{
        collections::BTreeSet,
        net::SocketAddr,
        time::{Duration, Instant},
    },
};

/// Room for anything that should take a few seconds.
const LIMIT: Duration = Duration::from_secs(30);
/// Operators beside the deployment's own, with the sections that they own; token as the name.
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

/// Applies a document as one of [`OPERATORS`]; `None` if the entry gave no answer.
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

async fn shown(deployment: &Deployment, entry: usize) -> Value {
    get(deployment.entry_addrs[entry], "/v1/config")
        .await
        .json()
}

async fn history(deployment: &Deployment, entry: usize) -> Vec<Value> {
    let reply = get(deployment.entry_addrs[entry], "/v1/config/history").await;
    reply.json().as_array().expect("history").clone()
}

/// The versions of a history, which must have no gap.
async fn newest(deployment: &Deployment, entry: usize) -> u64 {
    let history = history(deployment, entry).await;
    for (index, head) in history.iter().enumerate() {
        assert_eq!(head["version"], index + 1, "{history:?}");
    }
    history.len() as u64
}

/// Waits until every entry holds this version and every agent has been told of it.
async fn in_force_everywhere(deployment: &Deployment, version: u64) -> Duration {
    let started_at = Instant::now();
    for entry in &deployment.entry_addrs {
        eventually("in force at an entry and its agents", LIMIT, || async {
            let held = get(*entry, "/v1/config").await.json()["version"] == version;
            let workers = get(*entry, "/v1/workers").await.json();
            let told = workers
                .as_array()
                .expect("workers")
                .iter()
                .filter(|worker| worker["config_version"].as_u64() >= Some(version))
                .count();
            held && told == deployment.layout.workers
        })
        .await;
    }
    started_at.elapsed()
}

fn out(text: &str, zone: &str) -> String {
    let header = format!("[zones.{zone}]\n");
    text.replace(&header, &format!("{header}state = \"out\" # {zone}\n"))
}

/// Two operators change different sections at the same moment, through two entries, each from
/// the same version. Both see "accepted"; neither change undoes the other, comments included.
/// The cause of a loss would be a write of the whole document from an old read.
#[tokio::test]
async fn changes_of_different_sections_both_land() {
    let deployment = deployment().await;
    let text = deployment.document();
    let hardware = body(&text.replace("memory_mb = 262144", "memory_mb = 131072"), 1);
    let zones = body(&out(&text, "keflavik"), 1);
    let (first, second) = tokio::join!(
        apply(&deployment, 0, "hardware", &hardware),
        apply(&deployment, 1, "night-shift", &zones),
    );
    assert_eq!((first.status.as_u16(), second.status.as_u16()), (200, 200));
    in_force_everywhere(&deployment, 3).await;
    for entry in 0..2 {
        let held = shown(&deployment, entry).await["text"].clone();
        let held = held.as_str().expect("text");
        assert!(!held.contains("262144"), "{held}");
        assert!(held.contains("state = \"out\" # keflavik"), "{held}");
    }
}

/// Two operators change the same section at the same moment to different things. Exactly one
/// lands; the other is told who changed what, when and in which version, and can decide anew.
#[tokio::test]
async fn of_conflicting_changes_exactly_one_lands_and_the_other_is_told() {
    let deployment = deployment().await;
    let text = deployment.document();
    let (keflavik, grindavik) = (out(&text, "keflavik"), out(&text, "grindavik"));
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
    let (winner, refused) = if night.status == 200 {
        ("night-shift", day)
    } else {
        ("day-shift", night)
    };
    let detail = refused.json()["detail"].clone();
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
    assert_eq!(newest(&deployment, 0).await, 2);
}

/// The hardware team keeps its section in a file of its own. Applied with the version that the
/// section was made from, it changes that section and leaves alone those that it doesn't hold.
#[tokio::test]
async fn a_document_of_one_section_changes_that_section_alone() {
    let deployment = deployment().await;
    let text = deployment.document();
    let start = text.find("[capacity").expect("capacity");
    let end = text.find("[services").expect("services");
    let capacity = text[start..end].replace("262144", "131072");
    let change = |section: &str| json!({ "text": capacity, "based_on": { section: 1 } });
    let reply = apply(&deployment, 0, "hardware", &change("capacity").to_string()).await;
    assert_eq!(reply.status, 200, "{}", reply.body);
    assert_eq!(reply.json()["sections"], json!(["capacity"]));
    let held = shown(&deployment, 0).await["text"].clone();
    let held = held.as_str().expect("text");
    assert_eq!(held, text.replace("262144", "131072"));
    let reply = apply(&deployment, 0, "hardware", &change("capacty").to_string()).await;
    assert_eq!(reply.status, 400, "{}", reply.body);
}

/// An operator's token covers some sections. A change of another section is refused, whole.
#[tokio::test]
async fn nobody_changes_a_section_that_is_not_theirs() {
    let deployment = deployment().await;
    let text = deployment.document();
    let mixed = out(&text, "keflavik").replace("262144", "131072");
    for (operator, status) in [("hardware", 403), ("night-shift", 403), ("nobody", 401)] {
        let reply = apply(&deployment, 0, operator, &body(&mixed, 1)).await;
        assert_eq!(reply.status.as_u16(), status, "{operator}: {}", reply.body);
    }
    assert_eq!(newest(&deployment, 0).await, 1);
}

/// An entry accepts a change and is killed at once. The change must be in force at the other
/// entry and the agents, and at the entry's replacement.
#[tokio::test]
async fn a_change_accepted_by_an_entry_that_is_killed_is_in_force() {
    let mut deployment = deployment().await;
    let change = body(&out(&deployment.document(), "keflavik"), 1);
    let reply = apply(&deployment, 0, "night-shift", &change).await;
    deployment.entries[0].kill();
    assert_eq!(reply.status, 200);
    eventually("in force at the other entry", LIMIT, || async {
        shown(&deployment, 1).await["version"] == 2
    })
    .await;
    let (client, peer) = (deployment.entry_addrs[0], deployment.entry_peers[0]);
    deployment.entries[0] = deployment.start_entry(0, client, peer);
    eventually("the replacement answers", LIMIT, || async {
        try_request("GET", client, "/health", &[], "").await.is_ok()
    })
    .await;
    in_force_everywhere(&deployment, 2).await;
}

/// An entry freezes in the middle of a change, after it read the head row. Meanwhile another
/// change of the same section lands through the other entry. When the entry wakes, it goes on
/// from its old read: its change must not undo the other, and its answer must be true.
#[tokio::test]
async fn an_entry_paused_during_a_change_undoes_nothing() {
    let deployment = deployment().await;
    let text = deployment.document();
    let stale = body(&out(&text, "keflavik"), 1);
    let fresh = body(&out(&text, "grindavik"), 1);
    deployment.platform_faults(r#"{"slow_ms": 300}"#).await;
    let paused = apply(&deployment, 0, "night-shift", &stale);
    let meanwhile = async {
        tokio::time::sleep(Duration::from_millis(450)).await;
        deployment.entries[0].pause();
        deployment.platform_faults("{}").await;
        let reply = apply(&deployment, 1, "day-shift", &fresh).await;
        deployment.entries[0].resume();
        reply
    };
    let (paused, meanwhile) = tokio::join!(paused, meanwhile);
    let newest = newest(&deployment, 1).await;
    in_force_everywhere(&deployment, newest).await;
    let held = shown(&deployment, 0).await["text"].clone();
    let held = held.as_str().expect("text");
    let landed = [held.contains("# keflavik"), held.contains("# grindavik")];
    let accepted = [paused.status == 200, meanwhile.status == 200];
    assert_eq!(accepted, landed, "{} {}", paused.body, meanwhile.body);
    assert_eq!(newest, 2, "exactly one of two conflicting changes");
    for reply in [paused, meanwhile] {
        assert!(
            [200, 409].contains(&reply.status.as_u16()),
            "{}",
            reply.body
        );
    }
}

/// The platform makes a write and its reply is lost on the way back. The operator sees
/// "accepted", once, as the entry finds out by reading; the history has the change once.
#[tokio::test]
async fn a_lost_reply_of_the_platform_is_settled_by_reading() {
    let deployment = deployment().await;
    let mut text = deployment.document();
    for (version, (lost, zone)) in (1..).zip([(1, "keflavik"), (2, "grindavik")]) {
        text = out(&text, zone);
        let faults = json!({ "lose_write_replies": lost }).to_string();
        deployment.platform_faults(&faults).await;
        let reply = apply(&deployment, 0, "night-shift", &body(&text, version)).await;
        assert_eq!(reply.status, 200, "{}", reply.body);
        assert_eq!(reply.json()["version"], version + 1);
        deployment.platform_faults("{}").await;
    }
    assert_eq!(newest(&deployment, 1).await, 3);
    let metrics = get(deployment.entry_addrs[0], "/metrics").await.body;
    let settled = "rattanslip_config_changes_total{reason=\"settled_by_reading\"} 1";
    assert!(metrics.contains(settled), "{metrics}");
}

/// The platform is down, or takes 5 s for a call. A change is refused with a time to come back,
/// nothing is changed, and the configuration in force stays. When the platform is back the same
/// change lands.
#[tokio::test]
async fn while_the_platform_is_down_a_change_is_refused_and_nothing_changes() {
    let deployment = deployment().await;
    let change = body(&out(&deployment.document(), "keflavik"), 1);
    for faults in [r#"{"slow_ms": 5000}"#, r#"{"down": true}"#] {
        deployment.platform_faults(faults).await;
        refused_for_want_of_the_platform(&deployment, &change).await;
    }
    deployment.platform_faults("{}").await;
    assert_eq!(newest(&deployment, 0).await, 1);
    let reply = apply(&deployment, 0, "night-shift", &change).await;
    assert_eq!(reply.status, 200, "{}", reply.body);
    in_force_everywhere(&deployment, 2).await;
}

async fn refused_for_want_of_the_platform(deployment: &Deployment, change: &str) {
    let reply = apply(deployment, 0, "night-shift", change).await;
    assert_eq!(
        (reply.status.as_u16(), reply.header("retry-after")),
        (503, "2")
    );
    assert_eq!(reply.json()["reason"], "store_unavailable");
    assert_eq!(shown(deployment, 0).await["version"], 1);
}

/// An operator's shell is closed in the middle of a change, while the platform is slow. The
/// entry must not leave the change half way, with a write under way that nobody settles: it goes
/// on to the end, counts the outcome and holds what came of it.
#[tokio::test]
async fn a_change_goes_on_to_its_end_when_the_operator_hangs_up() {
    let deployment = deployment().await;
    let change = body(&out(&deployment.document(), "keflavik"), 1);
    deployment.platform_faults(r#"{"slow_ms": 500}"#).await;
    let limit = Duration::from_millis(700);
    let cut = tokio::time::timeout(limit, apply(&deployment, 0, "night-shift", &change)).await;
    assert!(cut.is_err(), "answered before the operator hung up");
    eventually("the change is counted as accepted", LIMIT, || async {
        let metrics = get(deployment.entry_addrs[0], "/metrics").await.body;
        metrics.contains("rattanslip_config_changes_total{reason=\"accepted\"} 2")
    })
    .await;
    deployment.platform_faults("{}").await;
    in_force_everywhere(&deployment, 2).await;
}

/// Hosts keep nothing, and all processes of the system are replaced. The configuration, its
/// history and who changed what are as they were.
#[tokio::test]
async fn the_configuration_outlives_every_process_of_the_system() {
    let mut deployment = deployment().await;
    let change = body(&out(&deployment.document(), "keflavik"), 1);
    let reply = apply(&deployment, 1, "night-shift", &change).await;
    assert_eq!(reply.status, 200);
    in_force_everywhere(&deployment, 2).await;
    let before = (shown(&deployment, 0).await, history(&deployment, 0).await);
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
        eventually("a replaced entry answers", LIMIT, || async {
            try_request("GET", entry, "/health", &[], "").await.is_ok()
        })
        .await;
    }
    in_force_everywhere(&deployment, 2).await;
    let after = (shown(&deployment, 0).await, history(&deployment, 0).await);
    assert_eq!(before, after);
}

/// Adds a team's quota to what the entry shows, anew after each conflict; counts the conflicts.
async fn add_quota(entry: SocketAddr, operator: &str, team: &str) -> usize {
    let authorization = format!("Bearer {operator}");
    let headers = [
        ("authorization", authorization.as_str()),
        ("content-type", "application/json"),
    ];
    for conflicts in 0.. {
        let held = get(entry, "/v1/config").await.json();
        let text = held["text"].as_str().expect("text");
        let text = format!("{text}[quotas.{team}]\nslots = 1\n");
        let change = body(&text, held["version"].as_u64().expect("version"));
        let reply = request("POST", entry, "/v1/config", &headers, &change).await;
        match reply.status.as_u16() {
            200 => return conflicts,
            409 | 503 => {}
            _ => panic!("{}", reply.body),
        }
    }
    unreachable!("the loop has no end")
}

/// Twenty operators add a quota each at the same moment, through two entries, and come again
/// when they are told of a conflict. All land: the document in force has all twenty, the history
/// one version for each. Prints the times and the store's calls.
#[tokio::test]
async fn a_burst_of_twenty_changes_lands_in_full() {
    let deployment = deployment().await;
    deployment.platform_faults(r#"{"slow_ms": 5}"#).await;
    let before = calls(&deployment).await;
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
        conflicts += task.await.expect("lands");
    }
    let landed = started_at.elapsed();
    let after = calls(&deployment).await;
    assert_eq!(newest(&deployment, 0).await, 21);
    let everywhere = in_force_everywhere(&deployment, 21).await;
    for entry in 0..2 {
        let held = shown(&deployment, entry).await["text"].clone();
        let teams = held
            .as_str()
            .expect("text")
            .matches("[quotas.team-")
            .count();
        assert_eq!(teams, 20);
    }
    println!(
        "20 changes landed after {landed:?} and {conflicts} conflicts, {} reads and {} writes of \
         the store; in force everywhere {everywhere:?} later",
        after.0 - before.0,
        after.1 - before.1,
    );
}

/// One zone goes out and in, six changes in all. Prints how long each change took until every
/// entry held it and every agent had been told.
#[tokio::test]
async fn each_change_comes_into_force_everywhere() {
    let deployment = deployment().await;
    let mut times_ms = Vec::new();
    for version in 2..8 {
        let way = ["out", "in"][version as usize % 2];
        let path = format!("/v1/zones/keflavik/{way}");
        let reply = deployment
            .operate(version as usize % 2, "POST", &path, "")
            .await;
        assert_eq!(reply.json()["version"], version);
        times_ms.push(in_force_everywhere(&deployment, version).await.as_millis());
    }
    times_ms.sort_unstable();
    println!("6 changes in force everywhere after (ms, sorted): {times_ms:?}");
}

async fn calls(deployment: &Deployment) -> (u64, u64) {
    let calls = get(deployment.platform_addr, "/calls").await.json();
    let count = |kind: &str| calls[kind].as_u64().expect("count");
    (count("reads"), count("writes"))
}
