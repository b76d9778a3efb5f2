//! Membership of workers and entries on real processes: departures, failures and restarts.

use {
    super::support::{Deployment, Layout, Load, eventually, unix_ms},
    serde_json::json,
    std::time::Duration,
    tokio::time::sleep,
};

/// The worker that leaves.
const WORKER: usize = 1;
/// Time after the departure until the last permitted start.
const MAX_START_DELAY_MS: u64 = 7_000;
/// Time after the last permitted start during which the load continues.
const OBSERVATION_MS: u64 = 1_500;
const WAIT_TIMEOUT: Duration = Duration::from_secs(30);

/// How a worker leaves and rejoins.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Departure {
    Signal,
    Leaving,
    Configuration,
    Unresponsive,
    Kill,
}

impl Departure {
    async fn leave(self, deployment: &mut Deployment) {
        match self {
            Self::Signal => deployment.workers[WORKER].agent.terminate(),
            Self::Leaving => {
                let faults = r#"{"leaving": true}"#;
                deployment.set_backend_faults(WORKER, faults).await;
            }
            Self::Configuration => {
                let text = deployment.document();
                let text = without_worker(&text);
                apply(deployment, &text).await;
            }
            Self::Unresponsive => {
                deployment
                    .set_backend_faults(WORKER, r#"{"silent": true}"#)
                    .await
            }
            Self::Kill => deployment.workers[WORKER].agent.kill(),
        }
    }

    async fn rejoin(self, deployment: &mut Deployment) {
        match self {
            Self::Signal | Self::Kill => {
                deployment.workers[WORKER] = deployment.start_worker(WORKER);
            }
            Self::Configuration => {
                let text = deployment.document();
                apply(deployment, &text).await;
            }
            Self::Leaving | Self::Unresponsive => deployment.set_backend_faults(WORKER, "{}").await,
        }
    }
}

async fn apply(deployment: &Deployment, text: &str) {
    let version = deployment
        .operator_request(0, "GET", "/v1/config", "")
        .await
        .json()["version"]
        .clone();
    let body = json!({ "text": text, "based_on": version }).to_string();
    let reply = deployment
        .operator_request(0, "POST", "/v1/config", &body)
        .await;
    assert_eq!(reply.status, 200, "{}", reply.body);
}

fn without_worker(text: &str) -> String {
    let header = format!("[capacity.workers.w{:02}]", WORKER + 1);
    let start = text.find(&header).expect("the worker's table");
    let end = text[start + 1..].find('[').expect("another table") + start + 1;
    format!("{}{}", &text[..start], &text[end..])
}

/// Checks that a worker gets no new work after its departure and works again after it rejoins.
async fn assert_no_work_until_rejoin(departure: Departure) {
    let mut deployment = Deployment::start(Layout::default()).await;
    let load = Load::start(&deployment, &[0, 1]);
    eventually("the worker starts tasks", WAIT_TIMEOUT, || async {
        deployment.last_start_ms(WORKER).await > 0
    })
    .await;
    let left_ms = unix_ms();
    departure.leave(&mut deployment).await;
    sleep(Duration::from_millis(MAX_START_DELAY_MS + OBSERVATION_MS)).await;
    let late_ms = deployment
        .last_start_ms(WORKER)
        .await
        .saturating_sub(left_ms);
    println!("{departure:?}: last start {late_ms} ms after leaving");
    assert!(late_ms < MAX_START_DELAY_MS, "{late_ms} ms");

    let rejoined_ms = unix_ms();
    departure.rejoin(&mut deployment).await;
    eventually("the worker starts tasks again", WAIT_TIMEOUT, || async {
        deployment.last_start_ms(WORKER).await > rejoined_ms
    })
    .await;
    let first_ms = deployment.last_start_ms(WORKER).await - rejoined_ms;
    println!("{departure:?}: next start at most {first_ms} ms after rejoining");
    load.stop().await;
}

/// One test for each departure.
macro_rules! departures {
    ($($(#[$doc:meta])* $name:ident: $departure:expr;)+) => {$(
        $(#[$doc])*
        #[tokio::test]
        async fn $name() {
            assert_no_work_until_rejoin($departure).await;
        }
    )+};
}

departures! {
    /// The agent announces its planned stop to an entry, which forwards it.
    a_worker_stopped_by_signal_gets_no_new_work: Departure::Signal;
    /// The backend server announces that it leaves; its agent keeps running.
    a_worker_whose_backend_announces_leaving_gets_no_new_work: Departure::Leaving;
    /// Operators remove the worker from the configuration; its host is not notified.
    a_worker_removed_from_the_configuration_gets_no_new_work: Departure::Configuration;
    /// The backend server stops its heartbeats but would still run tasks.
    a_worker_with_an_unresponsive_backend_gets_no_new_work: Departure::Unresponsive;
    /// The agent is killed without an announcement.
    a_worker_whose_agent_is_killed_gets_no_new_work: Departure::Kill;
}

/// Agents switch to another entry before their permits expire. A new process takes over the address
/// and the row of the killed entry.
#[tokio::test]
async fn a_killed_entry_interrupts_no_work_and_can_be_replaced() {
    let mut deployment = Deployment::start(Layout::default()).await;
    let load = Load::start(&deployment, &[0]);
    deployment.entries[1].kill();
    for second in 0..6 {
        let before = load.done();
        sleep(Duration::from_millis(1_000)).await;
        assert!(load.done() > before, "no response in second {second}");
    }
    assert_eq!(deployment.roster().await, ["entry-0", "entry-1"]);
    let (client, peer) = (deployment.entry_addrs[1], deployment.entry_peers[1]);
    deployment.entries[1] = deployment.start_entry(1, client, peer);
    deployment.wait_for_workers(3).await;
    eventually("one row for each entry", WAIT_TIMEOUT, || async {
        deployment.roster().await == ["entry-0", "entry-1"]
    })
    .await;
    load.stop().await;
}

/// The row of a lost entry is removed once it can no longer grant permits. An entry that stops as
/// planned removes its own row.
#[tokio::test]
async fn stopped_and_lost_entries_are_removed_from_the_roster() {
    let layout = Layout {
        entries: 3,
        entry_settings: "outage_limit_ms = 10000".to_owned(),
        ..Layout::default()
    };
    let mut deployment = Deployment::start(layout).await;
    let killed_ms = unix_ms();
    deployment.entries[2].kill();
    deployment.entries[1].terminate();
    let status = deployment.entries[1].wait(WAIT_TIMEOUT).await;
    assert!(status.success(), "{status}");
    assert!(!deployment.roster().await.contains(&"entry-1".to_owned()));
    eventually("the lost entry's row is removed", WAIT_TIMEOUT, || async {
        deployment.roster().await == ["entry-0"]
    })
    .await;
    println!(
        "a lost entry's row is removed after {} ms",
        unix_ms() - killed_ms
    );
    // The last heartbeat was written up to 2 s before the kill.
    let removed_after_ms = unix_ms() - killed_ms;
    assert!(
        removed_after_ms >= 7_500,
        "it might still have granted permits: {removed_after_ms} ms"
    );
}

/// Three agents fail at once and restart later.
#[tokio::test]
async fn a_rack_failure_interrupts_no_work_and_its_workers_rejoin() {
    let layout = Layout {
        workers: 6,
        ..Layout::default()
    };
    let mut deployment = Deployment::start(layout).await;
    let load = Load::start(&deployment, &[0, 1]);
    for worker in 0..3 {
        deployment.workers[worker].agent.kill();
        deployment.workers[worker].backend.kill();
    }
    for second in 0..5 {
        let before = load.done();
        sleep(Duration::from_millis(1_000)).await;
        assert!(load.done() > before, "no response in second {second}");
    }
    for worker in 0..3 {
        deployment.workers[worker] = deployment.start_worker(worker);
    }
    let rejoined_ms = unix_ms();
    for worker in 0..3 {
        eventually("a restarted worker starts tasks", WAIT_TIMEOUT, || async {
            deployment.last_start_ms(worker).await > rejoined_ms
        })
        .await;
    }
    println!(
        "all workers of the rack start tasks after {} ms",
        unix_ms() - rejoined_ms
    );
    load.stop().await;
}
