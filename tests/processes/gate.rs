//! Evacuation of a zone under faults, and platform outages without evacuation, on real processes.
//! The tests check the starts that the backend servers recorded.

use {
    super::support::{Deployment, Layout, Load, Proxy, eventually, free_addr, unix_ms},
    std::{collections::BTreeMap, time::Duration},
    tokio::time::sleep,
};

/// The evacuated zone.
const ZONE: &str = "keflavik";
/// The only worker of the zone.
const WORKER: usize = 1;
/// Time after the acceptance of the change until the last permitted start in the zone: the limit of
/// 5 s and a margin for a busy machine.
const MAX_START_DELAY_MS: u64 = 7_000;
/// Time after the last permitted start during which the load continues.
const OBSERVATION_MS: u64 = 2_500;
const WAIT_TIMEOUT: Duration = Duration::from_secs(30);

/// Evacuates the zone; returns the time at which the entry had accepted the change.
async fn evacuate_zone(deployment: &Deployment, entry: usize) -> u64 {
    let path = format!("/v1/zones/{ZONE}/out");
    let reply = deployment.operator_request(entry, "POST", &path, "").await;
    assert_eq!(reply.status, 200, "{}", reply.body);
    unix_ms()
}

/// Checks after the observation time that nothing started after the last permitted start.
async fn assert_no_late_starts(deployment: &Deployment, accepted_ms: u64, case: &str) {
    while unix_ms() < accepted_ms + MAX_START_DELAY_MS + OBSERVATION_MS {
        sleep(Duration::from_millis(50)).await;
    }
    let last_ms = deployment.last_start_ms(WORKER).await;
    let late_ms = last_ms.saturating_sub(accepted_ms);
    println!("{case}: last start in the zone {late_ms} ms after the acceptance");
    assert!(late_ms < MAX_START_DELAY_MS, "{case}: {late_ms} ms");
}

/// Starts a load on these entries and waits until the zone has started tasks.
async fn start_load(deployment: &Deployment, entries: &[usize]) -> Load {
    let load = Load::start(deployment, entries);
    eventually("the zone starts tasks", WAIT_TIMEOUT, || async {
        deployment.last_start_ms(WORKER).await > 0
    })
    .await;
    load
}

/// Waits until the other zones start tasks.
async fn assert_other_zones_run(deployment: &Deployment) {
    let since_ms = unix_ms();
    eventually("the other zones start tasks", WAIT_TIMEOUT, || async {
        deployment.last_start_ms(0).await > since_ms && deployment.last_start_ms(2).await > since_ms
    })
    .await;
}

/// Two entries that connect to the platform through one proxy each.
async fn deployment_behind_platform_proxies() -> (Deployment, Vec<Proxy>) {
    let platform = free_addr();
    let proxies = vec![Proxy::start(platform).await, Proxy::start(platform).await];
    let layout = Layout {
        platform_addr: Some(platform),
        entry_platforms: proxies.iter().map(|proxy| proxy.addr).enumerate().collect(),
        ..Layout::default()
    };
    (Deployment::start(layout).await, proxies)
}

#[tokio::test]
async fn an_evacuated_zone_starts_nothing_until_it_is_reopened() {
    let deployment = Deployment::start(Layout::default()).await;
    let load = start_load(&deployment, &[0, 1]).await;
    let accepted_ms = evacuate_zone(&deployment, 0).await;
    assert_no_late_starts(&deployment, accepted_ms, "no fault").await;
    assert_other_zones_run(&deployment).await;
    let path = format!("/v1/zones/{ZONE}/in");
    let reply = deployment.operator_request(1, "POST", &path, "").await;
    assert_eq!(reply.status, 200, "{}", reply.body);
    let reopened_ms = unix_ms();
    eventually("the zone starts tasks again", WAIT_TIMEOUT, || async {
        deployment.last_start_ms(WORKER).await > reopened_ms
    })
    .await;
    println!(
        "reopened: first start seen {} ms after the acceptance",
        unix_ms() - reopened_ms
    );
    load.stop().await;
}

/// The entry must learn of the change from the other entry or stop granting permits.
#[tokio::test]
async fn an_entry_partitioned_from_the_platform_closes_the_evacuated_zone() {
    let (deployment, proxies) = deployment_behind_platform_proxies().await;
    let load = start_load(&deployment, &[0, 1]).await;
    proxies[0].partition();
    sleep(Duration::from_millis(3_000)).await;
    assert_other_zones_run(&deployment).await;
    let accepted_ms = evacuate_zone(&deployment, 1).await;
    assert_no_late_starts(
        &deployment,
        accepted_ms,
        "an entry partitioned from the platform",
    )
    .await;
    assert_other_zones_run(&deployment).await;
    load.stop().await;
}

/// Permits expire in all zones. After the partition only the evacuated zone stays closed.
#[tokio::test]
async fn agents_partitioned_from_all_entries_stop_starting_tasks() {
    let listen = [free_addr(), free_addr()];
    let proxies = [Proxy::start(listen[0]).await, Proxy::start(listen[1]).await];
    let addrs = [0, 1].map(|entry| (entry, (listen[entry], proxies[entry].addr)));
    let layout = Layout {
        entry_peer_addrs: BTreeMap::from(addrs),
        ..Layout::default()
    };
    let deployment = Deployment::start(layout).await;
    let load = start_load(&deployment, &[0, 1]).await;
    for proxy in &proxies {
        proxy.partition();
    }
    let accepted_ms = evacuate_zone(&deployment, 0).await;
    assert_no_late_starts(
        &deployment,
        accepted_ms,
        "agents partitioned from all entries",
    )
    .await;
    for proxy in &proxies {
        proxy.heal();
    }
    assert_other_zones_run(&deployment).await;
    assert_no_late_starts(&deployment, accepted_ms, "after the partition").await;
    load.stop().await;
}

/// One entry knows the change, the other one cannot read it. The outage must not stop the other
/// zones.
#[tokio::test]
async fn a_platform_outage_after_the_write_does_not_reopen_the_zone() {
    let deployment = Deployment::start(Layout::default()).await;
    let load = start_load(&deployment, &[0, 1]).await;
    let accepted_ms = evacuate_zone(&deployment, 0).await;
    deployment.set_platform_faults(r#"{"down": true}"#).await;
    assert_no_late_starts(
        &deployment,
        accepted_ms,
        "the platform down after the write",
    )
    .await;
    assert_other_zones_run(&deployment).await;
    load.stop().await;
}

/// The agent is paused with queued tasks and resumes after the zone is closed.
#[tokio::test]
async fn a_resumed_agent_starts_nothing_in_the_evacuated_zone() {
    let deployment = Deployment::start(Layout::default()).await;
    let load = start_load(&deployment, &[0, 1]).await;
    deployment.workers[WORKER].agent.pause();
    let accepted_ms = evacuate_zone(&deployment, 0).await;
    sleep(Duration::from_millis(5_000)).await;
    deployment.workers[WORKER].agent.resume();
    assert_no_late_starts(&deployment, accepted_ms, "a paused agent").await;
    assert_other_zones_run(&deployment).await;
    load.stop().await;
}

/// The entry resumes with outdated reads, outdated messages of other entries and queued
/// announcements.
#[tokio::test]
async fn a_resumed_entry_does_not_reopen_the_zone() {
    let deployment = Deployment::start(Layout::default()).await;
    let load = start_load(&deployment, &[1]).await;
    deployment.entries[0].pause();
    let accepted_ms = evacuate_zone(&deployment, 1).await;
    sleep(Duration::from_millis(5_000)).await;
    assert_other_zones_run(&deployment).await;
    deployment.entries[0].resume();
    let late_load = Load::start(&deployment, &[0]);
    assert_no_late_starts(&deployment, accepted_ms, "a paused entry").await;
    assert_other_zones_run(&deployment).await;
    load.stop().await;
    late_load.stop().await;
}

/// The entry is killed before it can notify other processes.
#[tokio::test]
async fn the_zone_closes_when_the_accepting_entry_is_killed() {
    let mut deployment = Deployment::start(Layout::default()).await;
    let load = start_load(&deployment, &[1]).await;
    let accepted_ms = evacuate_zone(&deployment, 0).await;
    deployment.entries[0].kill();
    assert_no_late_starts(&deployment, accepted_ms, "an entry killed after accepting").await;
    assert_other_zones_run(&deployment).await;
    load.stop().await;
}

/// No running process knows the change. The other entry must not treat a missing message as
/// permission, although all work stops until the platform is available again.
#[tokio::test]
async fn the_zone_closes_when_the_writing_entry_and_the_platform_fail() {
    let mut deployment = Deployment::start(Layout::default()).await;
    let load = start_load(&deployment, &[1]).await;
    deployment
        .set_platform_faults(r#"{"lose_write_replies": 2}"#)
        .await;
    let entry = deployment.entry_addrs[0];
    let change = tokio::spawn(async move { super::support::try_evacuate_zone(entry, ZONE).await });
    eventually("the change has taken effect", WAIT_TIMEOUT, || async {
        deployment
            .has_platform_row("config-history-000000000002")
            .await
    })
    .await;
    let accepted_ms = unix_ms();
    deployment.set_platform_faults(r#"{"down": true}"#).await;
    deployment.entries[0].kill();
    assert!(change.await.expect("joined").is_err(), "no reply");
    assert_no_late_starts(&deployment, accepted_ms, "entry killed and platform down").await;
    deployment.set_platform_faults("{}").await;
    assert_other_zones_run(&deployment).await;
    assert_no_late_starts(&deployment, accepted_ms, "the platform is available again").await;
    load.stop().await;
}

/// An outage of 8 s without a configuration change must not affect clients.
#[tokio::test]
async fn a_plain_outage_of_the_platform_does_not_stop_the_work() {
    let deployment = Deployment::start(Layout::default()).await;
    let load = start_load(&deployment, &[0, 1]).await;
    deployment.set_platform_faults(r#"{"down": true}"#).await;
    for second in 0..8 {
        let before = load.done();
        sleep(Duration::from_millis(1_000)).await;
        assert!(load.done() > before, "no response in second {second}");
    }
    for worker in 0..3 {
        let last_ms = deployment.last_start_ms(worker).await;
        assert!(last_ms + 1_500 > unix_ms(), "worker {worker} has stopped");
    }
    deployment.set_platform_faults("{}").await;
    load.stop().await;
}

/// No request waits for the platform, and entries limit their concurrent calls to it.
#[tokio::test]
async fn a_slow_platform_does_not_block_work_or_pile_up_calls() {
    let deployment = Deployment::start(Layout::default()).await;
    let load = start_load(&deployment, &[0, 1]).await;
    deployment.set_platform_faults(r#"{"slow_ms": 5000}"#).await;
    let before = deployment.platform_call_count().await;
    for second in 0..9 {
        let before = load.done();
        sleep(Duration::from_millis(1_000)).await;
        assert!(load.done() > before, "no response in second {second}");
    }
    let calls = deployment.platform_call_count().await - before;
    println!("slow platform: {calls} calls of two entries in 9 s");
    // Two entries with one call at a time and a call timeout of 1.5 s.
    assert!(calls <= 2 * 12, "{calls} calls");
    load.stop().await;
}
