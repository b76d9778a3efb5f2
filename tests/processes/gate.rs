//! The zone gate over real processes: a zone is taken out under every fault, and a plain outage
//! of the platform stops nothing. The witness is what the backend servers recorded.

use {
    super::support::{Deployment, Layout, Load, Proxy, eventually, free_addr, unix_ms},
    std::{collections::BTreeMap, time::Duration},
    tokio::time::sleep,
};

/// The zone that is taken out, and its only worker.
const ZONE: &str = "keflavik";
const WORKER: usize = 1;
/// Time after the acceptance from which nothing may start in the zone, in milliseconds: five
/// seconds by the rule, and room for a busy machine.
const MAX_START_DELAY_MS: u64 = 7_000;
/// For how long the load goes on after that.
const OBSERVATION_MS: u64 = 2_500;
/// Room for anything that should take a few seconds.
const WAIT_TIMEOUT: Duration = Duration::from_secs(30);

/// Takes the zone out and returns when the entry had accepted it.
async fn take_zone_out(deployment: &Deployment, entry: usize) -> u64 {
    let path = format!("/v1/zones/{ZONE}/out");
    let reply = deployment.operator_request(entry, "POST", &path, "").await;
    assert_eq!(reply.status, 200, "{}", reply.body);
    unix_ms()
}

/// Watches until well after the last permitted start and checks that there was none later.
async fn assert_no_late_starts(deployment: &Deployment, accepted_ms: u64, case: &str) {
    while unix_ms() < accepted_ms + MAX_START_DELAY_MS + OBSERVATION_MS {
        sleep(Duration::from_millis(50)).await;
    }
    let last_ms = deployment.last_start_ms(WORKER).await;
    let late_ms = last_ms.saturating_sub(accepted_ms);
    println!("{case}: last start in the zone {late_ms} ms after the acceptance");
    assert!(late_ms < MAX_START_DELAY_MS, "{case}: {late_ms} ms");
}

/// Starts a load on these entries and waits until the zone has its share of it.
async fn start_load(deployment: &Deployment, entries: &[usize]) -> Load {
    let load = Load::start(deployment, entries);
    eventually("the zone works", WAIT_TIMEOUT, || async {
        deployment.last_start_ms(WORKER).await > 0
    })
    .await;
    load
}

/// Work is done in the other zones, now.
async fn assert_other_zones_run(deployment: &Deployment) {
    let since_ms = unix_ms();
    eventually("work goes on in the other zones", WAIT_TIMEOUT, || async {
        deployment.last_start_ms(0).await > since_ms && deployment.last_start_ms(2).await > since_ms
    })
    .await;
}

/// Two entries that reach the platform through proxies of their own.
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
    let accepted_ms = take_zone_out(&deployment, 0).await;
    assert_no_late_starts(&deployment, accepted_ms, "nothing fails").await;
    assert_other_zones_run(&deployment).await;
    let path = format!("/v1/zones/{ZONE}/in");
    let reply = deployment.operator_request(1, "POST", &path, "").await;
    assert_eq!(reply.status, 200, "{}", reply.body);
    let reopened_ms = unix_ms();
    eventually("the zone works again", WAIT_TIMEOUT, || async {
        deployment.last_start_ms(WORKER).await > reopened_ms
    })
    .await;
    println!(
        "back: first start seen {} ms after the acceptance",
        unix_ms() - reopened_ms
    );
    load.stop().await;
}

/// An entry is cut from the platform, so it never reads that the zone is out. Its agents could
/// go on there under its permits; it must learn of the change from the other entry, or stop.
#[tokio::test]
async fn an_entry_partitioned_from_the_platform_closes_the_evacuated_zone() {
    let (deployment, proxies) = deployment_behind_platform_proxies().await;
    let load = start_load(&deployment, &[0, 1]).await;
    proxies[0].partition();
    sleep(Duration::from_millis(3_000)).await;
    assert_other_zones_run(&deployment).await;
    let accepted_ms = take_zone_out(&deployment, 1).await;
    assert_no_late_starts(&deployment, accepted_ms, "an entry cut from the platform").await;
    assert_other_zones_run(&deployment).await;
    load.stop().await;
}

/// All agents are cut from all entries, and the entries from each other, a moment before the
/// change: nobody can be told. Permits run out everywhere; when the cut heals, the other zones
/// work again and the zone that was taken out does not.
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
    let accepted_ms = take_zone_out(&deployment, 0).await;
    assert_no_late_starts(&deployment, accepted_ms, "agents cut from all entries").await;
    for proxy in &proxies {
        proxy.heal();
    }
    assert_other_zones_run(&deployment).await;
    assert_no_late_starts(&deployment, accepted_ms, "after the cut healed").await;
    load.stop().await;
}

/// The platform goes down right after it took the change: one entry knows of it, the other can't
/// read it. The zone must close everywhere, and the outage must not stop the other zones.
#[tokio::test]
async fn a_platform_outage_after_the_write_does_not_reopen_the_zone() {
    let deployment = Deployment::start(Layout::default()).await;
    let load = start_load(&deployment, &[0, 1]).await;
    let accepted_ms = take_zone_out(&deployment, 0).await;
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

/// An agent is frozen with tasks in its hands and thaws long after its zone was taken out. It
/// must not start what it had taken before.
#[tokio::test]
async fn a_resumed_agent_starts_nothing_in_the_evacuated_zone() {
    let deployment = Deployment::start(Layout::default()).await;
    let load = start_load(&deployment, &[0, 1]).await;
    deployment.workers[WORKER].agent.pause();
    let accepted_ms = take_zone_out(&deployment, 0).await;
    sleep(Duration::from_millis(5_000)).await;
    deployment.workers[WORKER].agent.resume();
    assert_no_late_starts(&deployment, accepted_ms, "a paused agent").await;
    assert_other_zones_run(&deployment).await;
    load.stop().await;
}

/// An entry is frozen while another one takes the zone out, and thaws with its old view: old
/// readings, old words of other entries, and announcements that waited for it.
#[tokio::test]
async fn a_resumed_entry_does_not_reopen_the_zone() {
    let deployment = Deployment::start(Layout::default()).await;
    let load = start_load(&deployment, &[1]).await;
    deployment.entries[0].pause();
    let accepted_ms = take_zone_out(&deployment, 1).await;
    sleep(Duration::from_millis(5_000)).await;
    assert_other_zones_run(&deployment).await;
    deployment.entries[0].resume();
    let late_load = Load::start(&deployment, &[0]);
    assert_no_late_starts(&deployment, accepted_ms, "a paused entry").await;
    assert_other_zones_run(&deployment).await;
    load.stop().await;
    late_load.stop().await;
}

/// The entry that accepted the change is killed before it can tell anyone.
#[tokio::test]
async fn the_zone_closes_when_the_accepting_entry_is_killed() {
    let mut deployment = Deployment::start(Layout::default()).await;
    let load = start_load(&deployment, &[1]).await;
    let accepted_ms = take_zone_out(&deployment, 0).await;
    deployment.entries[0].kill();
    assert_no_late_starts(&deployment, accepted_ms, "an entry killed after accepting").await;
    assert_other_zones_run(&deployment).await;
    load.stop().await;
}

/// The write takes effect, its reply is lost, the entry that wrote it is killed and the platform
/// goes down: nobody is left who knows. The other entry must not take its silence for consent,
/// though that stops all work until the platform is back.
#[tokio::test]
async fn the_zone_closes_when_the_writing_entry_and_the_platform_fail() {
    let mut deployment = Deployment::start(Layout::default()).await;
    let load = start_load(&deployment, &[1]).await;
    deployment
        .set_platform_faults(r#"{"lose_write_replies": 2}"#)
        .await;
    let entry = deployment.entry_addrs[0];
    let change = tokio::spawn(async move { super::support::zone_out(entry, ZONE).await });
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
    assert_no_late_starts(&deployment, accepted_ms, "killed, and the platform down").await;
    deployment.set_platform_faults("{}").await;
    assert_other_zones_run(&deployment).await;
    assert_no_late_starts(&deployment, accepted_ms, "the platform is back").await;
    load.stop().await;
}

/// The platform is down for eight seconds and nobody changes anything: callers must not notice.
#[tokio::test]
async fn a_plain_outage_of_the_platform_does_not_stop_the_work() {
    let deployment = Deployment::start(Layout::default()).await;
    let load = start_load(&deployment, &[0, 1]).await;
    deployment.set_platform_faults(r#"{"down": true}"#).await;
    for second in 0..8 {
        let before = load.done();
        sleep(Duration::from_millis(1_000)).await;
        assert!(load.done() > before, "no answer in second {second}");
    }
    for worker in 0..3 {
        let last_ms = deployment.last_start_ms(worker).await;
        assert!(last_ms + 1_500 > unix_ms(), "worker {worker} has stopped");
    }
    deployment.set_platform_faults("{}").await;
    load.stop().await;
}

/// Every call to the platform takes five seconds. Work must go on as if nothing was, as nothing
/// on its way waits for the platform, and calls must not pile up there.
#[tokio::test]
async fn a_slow_platform_does_not_block_work_or_pile_up_calls() {
    let deployment = Deployment::start(Layout::default()).await;
    let load = start_load(&deployment, &[0, 1]).await;
    deployment.set_platform_faults(r#"{"slow_ms": 5000}"#).await;
    let before = deployment.platform_call_count().await;
    for second in 0..9 {
        let before = load.done();
        sleep(Duration::from_millis(1_000)).await;
        assert!(load.done() > before, "no answer in second {second}");
    }
    let calls = deployment.platform_call_count().await - before;
    println!("a slow store: {calls} calls of two entries in 9 s");
    // Two entries, one call at a time, each given up after 1.5 s.
    assert!(calls <= 2 * 12, "{calls} calls");
    load.stop().await;
}
