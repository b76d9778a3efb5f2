//! Open connections to the platform's store go silent without a reset, while new ones work.

use {
    crate::support::{HOST, Site, get, request, site_config},
    serde_json::json,
    std::time::Duration,
    tokio::time::{Instant, sleep, sleep_until},
};

/// Time after a disruption from which a change must be in force in time again.
const CONTACT: Duration = Duration::from_millis(3_000);
/// Path prefix of the added route.
const ADDED: &str = "/added/";

/// When the connections go silent.
#[derive(Debug, Clone, Copy)]
enum Moment {
    /// This long after all entries were restarted.
    AfterRestart(u64),
    /// While all processes run; idle connections have been closed.
    Running,
    /// After a restart, and once more this long after the first silence.
    Twice(u64),
}

/// Lets the connections go silent; returns when they last did.
async fn silence(site: &mut Site, moment: Moment) -> Instant {
    let after_restart_ms = match moment {
        Moment::AfterRestart(after_ms) => after_ms,
        Moment::Running => {
            sleep(Duration::from_secs(9)).await;
            site.silence_store_connections();
            return Instant::now();
        }
        Moment::Twice(_) => 2_500,
    };
    for entry in 0..site.entries.len() {
        site.restart_entry(entry);
    }
    site.wait_until_ready().await;
    sleep(Duration::from_millis(after_restart_ms)).await;
    site.silence_store_connections();
    if let Moment::Twice(gap_ms) = moment {
        sleep(Duration::from_millis(gap_ms)).await;
        site.silence_store_connections();
    }
    Instant::now()
}

async fn assert_route_is_added_in_time(name: &str, moment: Moment) {
    let mut site = Site::start(name, 2, 1).await;
    let silent_at = silence(&mut site, moment).await;
    let mut config = site_config(2);
    let mut route = config["routes"][0].clone();
    route["name"] = json!("added");
    route["path_prefix"] = json!(ADDED);
    config["routes"].as_array_mut().expect("routes").push(route);
    site.put_operator_row("config", &config).await;
    sleep_until(silent_at + CONTACT).await;
    for entry in &site.entries {
        let reply = request("GET", entry.client_addr, ADDED, &[("host", HOST)], "").await;
        assert_eq!(reply.status, 200, "{moment:?}\n{}", site.log("entry-0"));
    }
}

macro_rules! moments {
    ($($name:ident: $moment:expr;)+) => {
        $(
            #[tokio::test]
            async fn $name() {
                assert_route_is_added_in_time(stringify!($name), $moment).await;
            }
        )+
    };
}

// An added route was refused for seconds, since reads waited on one silent connection after the other.
moments! {
    a_route_is_added_in_time_after_a_silence_at_the_start: Moment::AfterRestart(500);
    a_route_is_added_in_time_after_a_silence_soon_after_a_restart: Moment::AfterRestart(2_500);
    a_route_is_added_in_time_after_a_silence_before_idle_connections_close: Moment::AfterRestart(6_000);
    a_route_is_added_in_time_after_a_silence_while_all_runs: Moment::Running;
    a_route_is_added_in_time_after_a_silence_during_the_next_read: Moment::Twice(2_600);
    a_route_is_added_in_time_after_two_silences: Moment::Twice(1_100);
}

/// Tasks must not start in an evacuated zone because its evacuation is read late.
#[tokio::test]
async fn a_zone_is_evacuated_in_time_after_a_silence() {
    let mut site = Site::start("silent-evacuation", 2, 1).await;
    let silent_at = silence(&mut site, Moment::AfterRestart(2_500)).await;
    site.put_operator_row("evacuate/north", &json!({})).await;
    sleep_until(silent_at + CONTACT).await;
    for entry in ["entry-0", "entry-1"] {
        let log = site.log(entry);
        assert!(log.contains(r#""evacuated":["north"]"#), "{log}");
    }
}

/// The connections of a calm site are used again, and none is replaced.
#[tokio::test]
async fn a_calm_site_replaces_no_connections() {
    let site = Site::start("silent-calm", 2, 1).await;
    // The entries register and the agent reads their list.
    sleep(Duration::from_secs(1)).await;
    let opened = site.store_connections();
    sleep(Duration::from_secs(5)).await;
    assert_eq!(site.store_connections(), opened);
    for entry in &site.entries {
        let metrics = get(entry.metrics_addr, "/metrics").await.body;
        assert!(!metrics.contains("connection_replacements"), "{metrics}");
    }
}
