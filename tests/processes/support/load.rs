//! A steady load of short requests, and queries to the backend servers and the platform.

use {
    super::{Deployment, Reply, SERVICE, TOKEN, get, request, try_request},
    serde_json::Value,
    std::{
        net::SocketAddr,
        sync::{
            Arc,
            atomic::{AtomicBool, AtomicUsize, Ordering},
        },
        time::{Duration, SystemTime, UNIX_EPOCH},
    },
    tokio::{task::JoinHandle, time::sleep},
};

/// Clients per entry; each has one request in flight.
const CLIENTS: usize = 4;
/// Pause between two requests of a client.
const REQUEST_INTERVAL: Duration = Duration::from_millis(20);
const REQUEST_TIMEOUT: Duration = Duration::from_secs(3);

/// Current Unix time in milliseconds, the clock of the recorded starts.
pub fn unix_ms() -> u64 {
    let since = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .expect("after 1970");
    u64::try_from(since.as_millis()).expect("small")
}

/// Evacuates a zone; returns an error if the response is incomplete.
pub async fn try_evacuate_zone(entry: SocketAddr, zone: &str) -> Result<Reply, String> {
    let authorization = format!("Bearer {TOKEN}");
    let headers = [("authorization", authorization.as_str())];
    try_request(
        "POST",
        entry,
        &format!("/v1/zones/{zone}/out"),
        &headers,
        "",
    )
    .await
}

/// Clients that send repeatable requests until they are stopped.
#[derive(Debug)]
pub struct Load {
    done: Arc<AtomicUsize>,
    stop: Arc<AtomicBool>,
    clients: Vec<JoinHandle<()>>,
}

impl Load {
    /// Starts [`CLIENTS`] clients for each of these entries.
    pub fn start(deployment: &Deployment, entries: &[usize]) -> Self {
        let (done, stop) = (Arc::default(), Arc::default());
        let clients = entries
            .iter()
            .flat_map(|entry| [deployment.entry_addrs[*entry]; CLIENTS])
            .map(|entry| tokio::spawn(run_client(entry, Arc::clone(&done), Arc::clone(&stop))))
            .collect();
        Self {
            done,
            stop,
            clients,
        }
    }

    /// Number of successful requests so far.
    pub fn done(&self) -> usize {
        self.done.load(Ordering::SeqCst)
    }

    /// Stops the clients and waits for them.
    pub async fn stop(self) {
        self.stop.store(true, Ordering::SeqCst);
        for client in self.clients {
            client.await.expect("client");
        }
    }
}

async fn run_client(entry: SocketAddr, done: Arc<AtomicUsize>, stop: Arc<AtomicBool>) {
    let path = format!("/v1/requests/{SERVICE}?repeatable=true&deadline_ms=2000");
    while !stop.load(Ordering::SeqCst) {
        let exchange = try_request("POST", entry, &path, &[], "10 x");
        let reply = tokio::time::timeout(REQUEST_TIMEOUT, exchange).await;
        if matches!(&reply, Ok(Ok(reply)) if reply.status == 200) {
            done.fetch_add(1, Ordering::SeqCst);
        }
        sleep(REQUEST_INTERVAL).await;
    }
}

impl Deployment {
    /// Unix time of the last task start on a worker's backend server; 0 if there was none or the
    /// backend server is unavailable.
    pub async fn last_start_ms(&self, worker: usize) -> u64 {
        let backend = self.workers[worker].backend_addr;
        let Ok(reply) = try_request("GET", backend, "/starts", &[], "").await else {
            return 0;
        };
        let starts = reply.json();
        let starts = starts.as_array().expect("starts");
        let times = starts
            .iter()
            .filter_map(|start| start["at_unix_ms"].as_u64());
        times.max().unwrap_or(0)
    }

    /// Whether the platform's table has this row; not affected by injected faults.
    pub async fn has_platform_row(&self, key: &str) -> bool {
        let reply = get(self.platform_addr, &format!("/table/rows/{key}")).await;
        reply.status == 200
    }

    /// Sorted names of the entries that have a row on the roster.
    pub async fn roster(&self) -> Vec<String> {
        let reply = get(self.platform_addr, "/table/scan/entries-").await;
        let rows = reply.json();
        let values = rows.as_array().expect("rows").iter();
        let mut names: Vec<String> = values
            .filter_map(|row| serde_json::from_str(row["value"].as_str()?).ok())
            .filter_map(|row: Value| Some(row["entry"]["name"].as_str()?.to_owned()))
            .collect();
        names.sort();
        names
    }

    /// Number of calls that the platform has received.
    pub async fn platform_call_count(&self) -> u64 {
        let calls = request("GET", self.platform_addr, "/calls", &[], "").await;
        let calls = calls.json();
        calls["reads"].as_u64().unwrap_or(0) + calls["writes"].as_u64().unwrap_or(0)
    }
}
