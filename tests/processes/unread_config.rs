//! Changes of the configuration while the store turns entries away.

use {
    crate::support::{Rejection, Site, eventually, request, site_config},
    serde_json::json,
    std::{
        net::SocketAddr,
        time::{Duration, Instant},
    },
    tokio::time::sleep,
};

/// Time within which a configuration must be in force: two seconds, and five more while the store turns
/// processes away.
const APPLY_LIMIT: Duration = Duration::from_secs(7);
/// Time until agents hold the configuration.
const SETTLE: Duration = Duration::from_secs(2);
const ADDED_HOST: &str = "rents.example";

async fn has_added_route(entry: SocketAddr) -> bool {
    let headers = [("host", ADDED_HOST)];
    request("GET", entry, "/rents/", &headers, "").await.status == 200
}

/// Adds a route while the store turns all entries away, and checks that they serve it in time.
async fn assert_route_is_served(name: &str, rejection: Rejection) {
    let site = Site::start(name, 2, 4).await;
    sleep(SETTLE).await;
    for entry in 0..site.entries.len() {
        site.turn_entry_away(entry, Some(rejection));
    }
    sleep(Duration::from_millis(50)).await;
    let mut config = site_config(2);
    let mut added = config["routes"][0].clone();
    added["name"] = json!("rents");
    added["host"] = json!(ADDED_HOST);
    added["path_prefix"] = json!("/rents/");
    config["routes"].as_array_mut().expect("routes").push(added);
    site.put_operator_row("config", &config).await;
    let written_at = Instant::now();
    for entry in &site.entries {
        let limit = APPLY_LIMIT.saturating_sub(written_at.elapsed());
        eventually("an entry serves the added route", limit, || {
            has_added_route(entry.client_addr)
        })
        .await;
    }
    println!("served after {} ms", written_at.elapsed().as_millis());
}

macro_rules! rejections {
    ($($name:ident: $rejection:expr;)+) => {
        $(
            #[tokio::test]
            async fn $name() {
                assert_route_is_served(stringify!($name), $rejection).await;
            }
        )+
    };
}

// A route that was added was answered 404 for as long as the store turned all entries away.
rejections! {
    a_configuration_is_in_force_while_entries_get_503: Rejection::Status(503);
    a_configuration_is_in_force_while_entries_get_no_response: Rejection::Silence;
}
