//! Evacuation of a zone while the store turns processes of the site away.

use {
    crate::support::{Rejection, Site, boot_us, eventually, site_job, submit_to},
    serde_json::json,
    std::time::Duration,
    tokio::{task::JoinHandle, time::sleep},
};

/// Time after which nothing may start in an evacuated zone, and within which one that is taken back must
/// be used again, in microseconds.
const EVACUATION_US: u64 = 5_000_000;
/// Longer than [`EVACUATION_US`].
const REJECTED: Duration = Duration::from_millis(8_000);
/// Delay between the jobs of a client, in milliseconds.
const JOB_INTERVAL_MS: u64 = 40;

/// Submits jobs to each entry one after another until it is aborted.
fn submit_jobs(site: &Site) -> Vec<JoinHandle<()>> {
    let addrs = site.entries.iter().map(|entry| entry.client_addr);
    let submit = |addr| {
        tokio::spawn(async move {
            loop {
                let id = format!("{:016x}", rand::random::<u64>());
                // Jobs of an entry that restarts fail.
                let _ = submit_to(addr, &id, site_job(2, 30)).await;
                sleep(Duration::from_millis(JOB_INTERVAL_MS)).await;
            }
        })
    };
    addrs.map(submit).collect()
}

/// Times at which runs began in the zone "north", on the host's boot clock.
fn starts_in_north(site: &Site) -> Vec<u64> {
    // Workers with even numbers are in this zone.
    let runs = site.runs().into_iter();
    let in_north = runs.filter(|run| run.worker % 2 == 0);
    in_north.map(|run| run.begun_at_us).collect()
}

/// Starts a site whose clients keep both zones busy.
async fn busy_site(name: &str) -> (Site, Vec<JoinHandle<()>>) {
    let site = Site::start(name, 2, 4).await;
    let clients = submit_jobs(&site);
    eventually("the zone is used", Duration::from_secs(10), || async {
        starts_in_north(&site).len() > 20
    })
    .await;
    (site, clients)
}

/// Which processes the store turns away.
#[derive(Debug, Clone, Copy)]
enum Rejected {
    AllEntries,
    /// All but the last one.
    SomeEntries,
    /// All entries; the first one restarts meanwhile.
    RestartingEntry,
}

async fn assert_evacuation_holds(name: &str, rejected: Rejected, rejection: Rejection) {
    let (mut site, clients) = busy_site(name).await;
    let entries = match rejected {
        Rejected::SomeEntries => 1,
        Rejected::AllEntries | Rejected::RestartingEntry => site.entries.len(),
    };
    for entry in 0..entries {
        site.turn_entry_away(entry, Some(rejection));
    }
    sleep(Duration::from_millis(50)).await;
    site.put_operator_row("evacuate/north", &json!({})).await;
    let evacuated_at_us = boot_us();
    if matches!(rejected, Rejected::RestartingEntry) {
        site.restart_entry(0);
    }
    sleep(REJECTED).await;
    for entry in 0..entries {
        site.turn_entry_away(entry, None);
    }
    // The entries read the rows again.
    sleep(Duration::from_millis(1_000)).await;
    for client in clients {
        client.abort();
    }
    let late = starts_in_north(&site).into_iter();
    let late: Vec<u64> = late
        .filter(|at_us| *at_us > evacuated_at_us + EVACUATION_US)
        .map(|at_us| (at_us - evacuated_at_us) / 1_000)
        .collect();
    assert!(
        late.is_empty(),
        "{} starts, {:?} to {:?} ms after the evacuation",
        late.len(),
        late.first(),
        late.last()
    );
}

macro_rules! evacuations {
    ($($name:ident: $rejected:ident, $rejection:expr;)+) => {
        $(
            #[tokio::test]
            async fn $name() {
                assert_evacuation_holds(stringify!($name), Rejected::$rejected, $rejection).await;
            }
        )+
    };
}

// Tasks started in an evacuated zone for as long as the store turned all entries away.
evacuations! {
    an_evacuation_holds_while_entries_get_503: AllEntries, Rejection::Status(503);
    an_evacuation_holds_while_entries_get_429: AllEntries, Rejection::Status(429);
    an_evacuation_holds_while_connections_of_entries_are_closed: AllEntries, Rejection::Close;
    an_evacuation_holds_while_entries_get_no_response: AllEntries, Rejection::Silence;
    an_evacuation_holds_while_some_entries_get_503: SomeEntries, Rejection::Status(503);
    an_evacuation_holds_while_an_entry_restarts_without_the_store: RestartingEntry, Rejection::Status(503);
}

/// A zone that was taken back stayed unused for as long as the store turned all entries away.
#[tokio::test]
async fn a_zone_is_taken_back_while_entries_are_turned_away() {
    let (site, clients) = busy_site("taken-back").await;
    site.put_operator_row("evacuate/north", &json!({})).await;
    sleep(Duration::from_millis(1_000)).await;
    for entry in 0..site.entries.len() {
        site.turn_entry_away(entry, Some(Rejection::Status(503)));
    }
    site.remove_operator_row("evacuate/north").await;
    let taken_back_at_us = boot_us();
    sleep(REJECTED).await;
    let starts = starts_in_north(&site).into_iter();
    let first = starts.filter(|at_us| *at_us > taken_back_at_us).min();
    for client in clients {
        client.abort();
    }
    let first_us = first.expect("the zone is used again") - taken_back_at_us;
    assert!(first_us < EVACUATION_US, "{first_us}");
}

/// Work must go on while the store serves nobody: nothing more can be known then.
#[tokio::test]
async fn work_goes_on_in_all_zones_while_the_store_serves_nobody() {
    let (site, clients) = busy_site("nobody").await;
    site.set_store_faults(&json!({"down": true})).await;
    let down_at_us = boot_us();
    sleep(REJECTED).await;
    for client in clients {
        client.abort();
    }
    let starts = starts_in_north(&site).into_iter();
    let late = starts.filter(|at_us| *at_us > down_at_us + EVACUATION_US);
    assert!(late.count() > 20);
    let log = site.log("agent-0");
    assert!(log.contains(r#""event":"zones_outdated""#), "{log}");
}
