//! Clients that submit short and long jobs to a site in parallel.

use {
    super::{Site, site_job, submit_to},
    std::{net::SocketAddr, time::Duration},
    tokio::{
        sync::watch,
        task::JoinHandle,
        time::{Instant, sleep},
    },
};

const CLIENTS: usize = 10;
/// Number of tasks and run time in milliseconds of the jobs that clients submit in turn.
const JOBS: [(u16, u64); 10] = [
    (4, 100),
    (3, 200),
    (4, 100),
    (2, 400),
    (1, 4_000),
    (3, 150),
    (1, 1_500),
    (4, 100),
    (2, 800),
    (3, 200),
];
/// Time for which a client repeats a job that is rejected for lack of capacity.
const REJECTED_TIMEOUT: Duration = Duration::from_secs(4);
const RETRY_INTERVAL: Duration = Duration::from_millis(100);

/// Outcome of a job.
#[derive(Debug)]
pub struct LoadedJob {
    pub id: String,
    /// Status and body of the final response, or the error without one.
    pub outcome: String,
}

impl LoadedJob {
    pub fn is_completed(&self) -> bool {
        self.outcome == r#"200 {"state":"completed"}"#
    }
}

/// Clients under way.
#[derive(Debug)]
pub struct SiteLoad {
    stop: watch::Sender<bool>,
    clients: Vec<JoinHandle<Vec<LoadedJob>>>,
}

impl SiteLoad {
    /// Starts the clients; they use the site's entries in turn.
    pub fn start(site: &Site) -> Self {
        let (stop, stopped) = watch::channel(false);
        let clients = (0..CLIENTS).map(|client| {
            let entry = site.entries[client % site.entries.len()].client_addr;
            tokio::spawn(run_client(entry, client, stopped.clone()))
        });
        Self {
            clients: clients.collect(),
            stop,
        }
    }

    /// Run time of a task, in milliseconds.
    pub fn run_ms(task: &str) -> u64 {
        let number = |digits: &str| usize::from_str_radix(digits, 16).expect("job id");
        job(number(&task[..8]), number(&task[8..16])).1
    }

    /// Lets each client finish its job; returns all jobs.
    pub async fn finish(self) -> Vec<LoadedJob> {
        self.stop.send_replace(true);
        let mut jobs = Vec::new();
        for client in self.clients {
            jobs.extend(client.await.expect("client"));
        }
        jobs
    }
}

fn job(client: usize, number: usize) -> (u16, u64) {
    JOBS[(client + number) % JOBS.len()]
}

async fn run_client(
    entry: SocketAddr,
    client: usize,
    stopped: watch::Receiver<bool>,
) -> Vec<LoadedJob> {
    let mut jobs = Vec::new();
    while !*stopped.borrow() {
        let (tasks, run_ms) = job(client, jobs.len());
        let id = format!("{client:08x}{:08x}", jobs.len());
        let outcome = complete_job(entry, &id, tasks, run_ms).await;
        jobs.push(LoadedJob { id, outcome });
    }
    jobs
}

async fn complete_job(entry: SocketAddr, id: &str, tasks: u16, run_ms: u64) -> String {
    let started_at = Instant::now();
    loop {
        let outcome = match submit_to(entry, id, site_job(tasks, run_ms)).await {
            Ok(reply) => format!("{} {}", reply.status.as_u16(), reply.body),
            Err(error) => error,
        };
        let is_rejected = outcome.starts_with("429") || outcome.starts_with("503");
        if !is_rejected || started_at.elapsed() > REJECTED_TIMEOUT {
            return outcome;
        }
        sleep(RETRY_INTERVAL).await;
    }
}
