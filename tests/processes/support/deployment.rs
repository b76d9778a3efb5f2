//! A standalone deployment on loopback: entries, agents, and stand-ins for the platform and the
//! backend servers.

use {
    super::{Process, Reply, eventually, free_addr, get, request},
    serde_json::{Value, json},
    std::{collections::BTreeMap, fmt::Write, fs, net::SocketAddr, path::PathBuf, time::Duration},
};

/// Name of the only service.
pub const SERVICE: &str = "crew-share";
/// The operator's token.
pub const TOKEN: &str = "test-token";
/// Availability zones; workers are assigned round-robin.
pub const ZONES: [&str; 3] = ["grindavik", "keflavik", "hafnarfjordur"];

/// Headers of the operator's requests.
const OPERATOR_HEADERS: [(&str, &str); 2] = [
    ("authorization", "Bearer test-token"),
    ("content-type", "application/json"),
];

/// Size and settings of a deployment.
#[derive(Debug, Clone)]
pub struct Layout {
    pub entries: usize,
    pub workers: usize,
    pub slots: u16,
    /// TOML appended to each agent's settings.
    pub agent_settings: String,
    /// TOML inserted into each entry's settings, before its tables.
    pub entry_settings: String,
    /// Listen address and advertised address of agents by worker name; for proxies.
    pub peer_addrs: BTreeMap<String, (SocketAddr, SocketAddr)>,
    /// Listen address of the platform, if a proxy needs it in advance.
    pub platform_addr: Option<SocketAddr>,
    /// Platform address of single entries by number; for proxies.
    pub entry_platforms: BTreeMap<usize, SocketAddr>,
    /// Listen address and advertised address of single entries by number; for proxies.
    pub entry_peer_addrs: BTreeMap<usize, (SocketAddr, SocketAddr)>,
}

impl Default for Layout {
    fn default() -> Self {
        Self {
            entries: 2,
            workers: 3,
            slots: 4,
            agent_settings: String::new(),
            entry_settings: String::new(),
            peer_addrs: BTreeMap::new(),
            platform_addr: None,
            entry_platforms: BTreeMap::new(),
            entry_peer_addrs: BTreeMap::new(),
        }
    }
}

/// An agent and its backend server.
#[derive(Debug)]
pub struct WorkerHandle {
    pub name: String,
    pub agent: Process,
    pub backend: Process,
    pub agent_http: SocketAddr,
    pub agent_peer: SocketAddr,
    pub backend_addr: SocketAddr,
}

/// A running deployment; its processes are killed on drop.
#[derive(Debug)]
pub struct Deployment {
    pub platform: Process,
    pub platform_addr: SocketAddr,
    pub entries: Vec<Process>,
    pub entry_addrs: Vec<SocketAddr>,
    pub entry_peers: Vec<SocketAddr>,
    pub workers: Vec<WorkerHandle>,
    pub layout: Layout,
    folder: PathBuf,
}

/// Returns a job with `tasks` tasks of `work_ms` each; task N outputs "share N".
pub fn job_body(tasks: usize, work_ms: u64, deadline_ms: u64) -> String {
    let tasks: Vec<Value> = (0..tasks)
        .map(|index| json!({ "input": format!("{work_ms} share {index}") }))
        .collect();
    json!({ "service": SERVICE, "deadline_ms": deadline_ms, "tasks": tasks }).to_string()
}

impl Deployment {
    /// Starts all processes, applies the initial configuration and waits until all workers are
    /// known.
    pub async fn start(layout: Layout) -> Self {
        static NUMBER: std::sync::atomic::AtomicU32 = std::sync::atomic::AtomicU32::new(0);
        let number = NUMBER.fetch_add(1, std::sync::atomic::Ordering::SeqCst);
        let folder =
            std::env::temp_dir().join(format!("rattanslip-test-{}-{number}", std::process::id()));
        fs::create_dir_all(&folder).expect("folder");
        let platform_addr = layout.platform_addr.unwrap_or_else(free_addr);
        let platform = Process::start(
            env!("CARGO_BIN_EXE_rattanslip-standin"),
            &["platform", "--listen", &platform_addr.to_string()],
            &folder.join("platform.log"),
        );
        let mut deployment = Self {
            platform,
            platform_addr,
            entries: Vec::new(),
            entry_addrs: Vec::new(),
            entry_peers: Vec::new(),
            workers: Vec::new(),
            folder,
            layout,
        };
        for _ in 0..deployment.layout.entries {
            deployment.add_entry();
        }
        for number in 0..deployment.layout.workers {
            let worker = deployment.start_worker(number);
            deployment.workers.push(worker);
        }
        deployment.apply_initial_config().await;
        deployment.wait_for_workers(deployment.layout.workers).await;
        deployment
    }

    /// Returns the initial configuration document.
    pub fn document(&self) -> String {
        let mut text = String::new();
        for zone in ZONES {
            writeln!(text, "[zones.{zone}]\nregion = \"southwest\"").expect("text");
        }
        for number in 0..self.layout.workers {
            let (name, zone) = (worker_name(number), worker_zone(number));
            writeln!(
                text,
                "[capacity.workers.{name}]\navailability_zone = \"{zone}\"\nrack = \"r{}\"\n\
                 slots = {}\nmemory_mb = 262144",
                number / 3,
                self.layout.slots
            )
            .expect("text");
        }
        let zones: Vec<String> = ZONES.iter().map(|zone| format!("\"{zone}\"")).collect();
        writeln!(
            text,
            "[services.{SERVICE}]\navailability_zones = [{}]",
            zones.join(", ")
        )
        .expect("text");
        text
    }

    /// Starts a further entry.
    pub fn add_entry(&mut self) {
        let number = self.entries.len();
        let client = free_addr();
        let (listen, advertised_addr) = self
            .layout
            .entry_peer_addrs
            .get(&number)
            .copied()
            .unwrap_or_else(|| {
                let addr = free_addr();
                (addr, addr)
            });
        let process = self.start_entry(number, client, listen);
        self.entries.push(process);
        self.entry_addrs.push(client);
        self.entry_peers.push(advertised_addr);
    }

    /// Starts the process of an entry at these addresses.
    pub fn start_entry(&self, number: usize, client: SocketAddr, peer: SocketAddr) -> Process {
        let platform = self.layout.entry_platforms.get(&number);
        let advertised_addr = self.layout.entry_peer_addrs.get(&number);
        let settings = format!(
            "name = \"entry-{number}\"\navailability_zone = \"{}\"\nclient_listen = \"{client}\"\n\
             peer_listen = \"{peer}\"\npeer_addr = \"{}\"\nplatform = \"{}\"\n{}\n[operators.tester]\n\
             token_blake3 = \"{}\"\nsections = [\"capacity\", \"services\", \"zones\", \"quotas\"]\n",
            ZONES[0],
            advertised_addr.map_or(peer, |(_, advertised_addr)| *advertised_addr),
            platform.unwrap_or(&self.platform_addr),
            self.layout.entry_settings,
            blake3::hash(TOKEN.as_bytes()).to_hex(),
        );
        self.start_service(
            &format!("entry-{number}"),
            env!("CARGO_BIN_EXE_rattanslip-entry"),
            &settings,
        )
    }

    /// Starts the agent and the backend server of a worker.
    pub fn start_worker(&self, number: usize) -> WorkerHandle {
        let name = worker_name(number);
        let (peer_listen, peer_addr) =
            self.layout
                .peer_addrs
                .get(&name)
                .copied()
                .unwrap_or_else(|| {
                    let addr = free_addr();
                    (addr, addr)
                });
        let (http, backend) = (free_addr(), free_addr());
        let entries: Vec<String> = self
            .entry_peers
            .iter()
            .map(|addr| format!("\"{addr}\""))
            .collect();
        let settings = format!(
            "worker = \"{name}\"\navailability_zone = \"{}\"\npeer_listen = \"{peer_listen}\"\n\
             peer_addr = \"{peer_addr}\"\nhttp_listen = \"{http}\"\nentries = [{}]\n{}",
            worker_zone(number),
            entries.join(", "),
            self.layout.agent_settings,
        );
        let agent = self.start_service(
            &format!("agent-{name}"),
            env!("CARGO_BIN_EXE_rattanslip-agent"),
            &settings,
        );
        let backend_process = Process::start(
            env!("CARGO_BIN_EXE_rattanslip-standin"),
            &[
                "backend",
                "--listen",
                &backend.to_string(),
                "--agent",
                &http.to_string(),
                "--service",
                SERVICE,
                "--slots",
                &self.layout.slots.to_string(),
            ],
            &self.folder.join(format!("backend-{name}.log")),
        );
        WorkerHandle {
            name,
            agent,
            backend: backend_process,
            agent_http: http,
            agent_peer: peer_listen,
            backend_addr: backend,
        }
    }

    fn start_service(&self, name: &str, program: &str, settings: &str) -> Process {
        let file = self.folder.join(format!("{name}.toml"));
        fs::write(&file, settings).expect("settings");
        let file = file.to_str().expect("path");
        let log = self.folder.join(format!("{name}.log"));
        Process::start(program, &["--settings", file], &log)
    }

    /// Returns the log of a process by its name, such as `entry-0` or `agent-w01`.
    pub fn log(&self, name: &str) -> String {
        fs::read_to_string(self.folder.join(format!("{name}.log"))).unwrap_or_default()
    }

    async fn apply_initial_config(&self) {
        let entry = self.entry_addrs[0];
        let body = json!({ "text": self.document(), "based_on": 0 }).to_string();
        let limit = Duration::from_secs(10);
        eventually("the first configuration is applied", limit, || async {
            super::try_request("POST", entry, "/v1/config", &OPERATOR_HEADERS, &body)
                .await
                .is_ok_and(|reply| reply.status == 200)
        })
        .await;
    }

    /// Waits until each entry is ready and knows this many workers with a backend server.
    pub async fn wait_for_workers(&self, count: usize) {
        for entry in &self.entry_addrs {
            eventually("all workers are known", Duration::from_secs(10), || async {
                let Ok(reply) = super::try_request("GET", *entry, "/v1/workers", &[], "").await
                else {
                    return false;
                };
                let ready = get(*entry, "/ready").await.status == 200;
                let with_service = reply
                    .json()
                    .as_array()
                    .expect("workers")
                    .iter()
                    .filter(|worker| worker["services"][0] == SERVICE)
                    .count();
                ready && with_service == count
            })
            .await;
        }
    }

    /// Requests a ticket from an entry.
    pub async fn ticket(&self, entry: usize) -> String {
        let reply = request("POST", self.entry_addrs[entry], "/v1/tickets", &[], "").await;
        assert_eq!(reply.status, 200, "{}", reply.body);
        reply.json()["tickets"][0]
            .as_str()
            .expect("ticket")
            .to_owned()
    }

    /// Submits a job under a ticket and waits for its outcome.
    pub async fn submit(&self, entry: usize, ticket: &str, body: &str) -> Reply {
        let headers = [("rattanslip-ticket", ticket)];
        request("POST", self.entry_addrs[entry], "/v1/jobs", &headers, body).await
    }

    /// Sends a request as the operator.
    pub async fn operator_request(
        &self,
        entry: usize,
        method: &str,
        path: &str,
        body: &str,
    ) -> Reply {
        let entry = self.entry_addrs[entry];
        request(method, entry, path, &OPERATOR_HEADERS, body).await
    }

    /// Replaces the injected faults of a backend server.
    pub async fn set_backend_faults(&self, worker: usize, faults: &str) {
        let addr = self.workers[worker].backend_addr;
        let headers = [("content-type", "application/json")];
        let reply = request("POST", addr, "/faults", &headers, faults).await;
        assert_eq!(reply.status, 200, "{}", reply.body);
    }

    /// Replaces the injected faults of the platform.
    pub async fn set_platform_faults(&self, faults: &str) {
        let headers = [("content-type", "application/json")];
        let reply = request("POST", self.platform_addr, "/faults", &headers, faults).await;
        assert_eq!(reply.status, 200, "{}", reply.body);
    }

    /// Number of starts of each task, over all backend servers that respond.
    pub async fn start_counts(&self) -> BTreeMap<String, usize> {
        let mut starts = BTreeMap::new();
        for worker in &self.workers {
            let Ok(reply) =
                super::try_request("GET", worker.backend_addr, "/starts", &[], "").await
            else {
                continue;
            };
            for start in reply.json().as_array().expect("starts") {
                let task = start["task"].as_str().expect("task").to_owned();
                *starts.entry(task).or_default() += 1;
            }
        }
        starts
    }

    /// Panics if a task was started more than once; returns the number of started tasks.
    pub async fn assert_no_double_start(&self) -> usize {
        let starts = self.start_counts().await;
        let doubled: Vec<_> = starts.iter().filter(|(_, count)| **count > 1).collect();
        assert!(doubled.is_empty(), "started more than once: {doubled:?}");
        starts.len()
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        if !std::thread::panicking() {
            // Logs of a failed test are kept for debugging.
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}

fn worker_name(number: usize) -> String {
    format!("w{:02}", number + 1)
}

fn worker_zone(number: usize) -> &'static str {
    ZONES[number % ZONES.len()]
}
