//! Crowds of clients that begin requests, stop before the end and stay connected, against each server of ours.
//!
//! `scripts/test` runs them one at a time and without other tests.

use {
    crate::{
        site::wait_until_serving,
        support::{
            Crowd, Deployment, DescriptorSampler, HOST, Layout, Process, Shape, Site, get,
            job_body, request, send_slowly, site_job, try_request, wait_until_read,
        },
    },
    std::{net::SocketAddr, time::Duration},
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::TcpStream,
    },
};

/// Memory and descriptors of the host, as the settings tell them.
const MEMORY_MB: u64 = 64;
const MAX_DESCRIPTORS: usize = 128;
const SETTINGS: &str = "memory_mb = 64\nmax_descriptors = 128\n";
/// Largest body of a site's configuration, and by default in a standalone deployment.
const SITE_BODY: usize = 262_144;
const STANDALONE_BODY: usize = 4_194_304;
/// Largest header section of a site's configuration.
const SITE_HEADER: usize = 16_384;
/// Longer than any client waits.
const REPLY_TIMEOUT: Duration = Duration::from_secs(60);
const EXIT_TIMEOUT: Duration = Duration::from_secs(60);

/// A server of a site that others can reach.
#[derive(Debug, Clone, Copy)]
enum SiteServer {
    Clients,
    Readiness,
    EntryMetrics,
    Links,
    WorkerReports,
    AgentMetrics,
}

impl SiteServer {
    fn addr(self, site: &Site) -> SocketAddr {
        match self {
            Self::Clients => site.entries[0].client_addr,
            Self::Readiness => site.entries[0].ready_addr,
            Self::EntryMetrics => site.entries[0].metrics_addr,
            Self::Links => site.entries[0].link_addr,
            Self::WorkerReports => site.workers[0].report_addr,
            Self::AgentMetrics => site.workers[0].metrics_addr,
        }
    }

    fn path(self) -> &'static str {
        match self {
            Self::Clients => "/shares/00000000000000ff",
            Self::WorkerReports => "/v1/Instances.Heartbeat/w-9",
            _ => "/metrics",
        }
    }

    fn process(self, site: &mut Site) -> &mut Process {
        match self {
            Self::WorkerReports | Self::AgentMetrics => &mut site.workers[0].agent,
            _ => &mut site.entries[0].process,
        }
    }

    /// Whether the server answers an ordinary request.
    async fn assert_served(self, site: &Site) {
        let status = match self {
            Self::Readiness => get(self.addr(site), "/v1/ready").await.status,
            Self::EntryMetrics | Self::AgentMetrics => {
                get(self.addr(site), "/metrics").await.status
            }
            // Another worker's report: it is answered.
            Self::WorkerReports => {
                let path = "/v1/Instances.Heartbeat/w-9";
                let status = request("POST", self.addr(site), path, &[], "{}")
                    .await
                    .status;
                assert_eq!(status, 400);
                http::StatusCode::OK
            }
            Self::Clients | Self::Links => http::StatusCode::OK,
        };
        assert_eq!(status, 200);
        let id = format!("{:016x}", rand::random::<u64>());
        let reply = site.submit(0, &id, &site_job(2, 30)).await.expect("reply");
        assert_eq!(reply.body, r#"{"state":"completed"}"#);
    }
}

/// Checks that a process lives within the memory and the descriptors of its host.
fn assert_within_bounds(process: &mut Process, descriptors: DescriptorSampler) {
    assert!(!process.has_exited());
    let (peak_mb, most) = (process.peak_memory_mb(), descriptors.most());
    eprintln!("peak of {peak_mb} MB and {most} descriptors");
    assert!(peak_mb <= MEMORY_MB, "{peak_mb} MB");
    assert!(most <= MAX_DESCRIPTORS, "{most} descriptors");
}

async fn within<T>(work: impl Future<Output = T>) -> T {
    let work = tokio::time::timeout(REPLY_TIMEOUT, work);
    work.await.expect("an answer")
}

/// Crowds come one after the other; each stays until an ordinary request was answered.
async fn assert_site_survives(name: &str, server: SiteServer, crowds: &[(usize, Shape)]) {
    let mut site = Site::start_with(&format!("crowd-{name}"), 1, 1, SETTINGS).await;
    wait_until_serving(&site, 0).await;
    let addr = server.addr(&site);
    let sampler = DescriptorSampler::start(server.process(&mut site));
    for (clients, shape) in crowds {
        let crowd = Crowd::send(addr, server.path(), *clients, *shape).await;
        assert!(crowd.connected() > 0);
        assert!(!server.process(&mut site).has_exited());
        within(server.assert_served(&site)).await;
        drop(crowd);
        within(server.assert_served(&site)).await;
    }
    assert_within_bounds(server.process(&mut site), sampler);
}

macro_rules! site_crowds {
    ($($name:ident: $server:ident, $crowds:expr;)+) => {
        $(
            #[tokio::test(flavor = "multi_thread", worker_threads = 2)]
            async fn $name() {
                assert_site_survives(stringify!($name), SiteServer::$server, &$crowds).await;
            }
        )+
    };
}

const TINY: Shape = Shape::Chunked {
    bytes: SITE_BODY - 1,
    chunk_bytes: 1,
};
const WHOLE: Shape = Shape::Whole { bytes: SITE_BODY };
const CHUNKED: Shape = Shape::Chunked {
    bytes: SITE_BODY - 1,
    chunk_bytes: 16_384,
};
const EXTENDED: Shape = Shape::Extended {
    bytes: SITE_BODY - 1,
};
const PIECES: Shape = Shape::Pieces {
    bytes: SITE_BODY,
    piece_bytes: 4_096,
};
const HEADER: Shape = Shape::Header {
    bytes: SITE_HEADER - 1_024,
};

// Bytes and connections of unfinished requests were not counted; the process ran out of memory or descriptors.
site_crowds! {
    clients_with_whole_bodies: Clients, [(300, WHOLE)];
    clients_with_chunked_bodies: Clients, [(300, CHUNKED)];
    clients_with_tiny_chunks: Clients, [(30, TINY)];
    clients_with_extended_chunks: Clients, [(30, EXTENDED)];
    clients_with_bodies_in_pieces: Clients, [(300, PIECES)];
    clients_with_endless_headers: Clients, [(300, HEADER)];
    clients_that_send_nothing: Clients, [(300, Shape::Silent)];
    clients_that_read_no_responses: Clients, [(300, Shape::Unread { requests: 2_000 })];
    crowds_that_come_again: Clients, [(300, WHOLE), (30, TINY), (300, HEADER), (300, CHUNKED)];
    probes_with_whole_bodies: Readiness, [(300, WHOLE)];
    probes_with_tiny_chunks: Readiness, [(30, TINY)];
    probes_that_send_nothing: Readiness, [(300, Shape::Silent)];
    entry_metrics_with_whole_bodies: EntryMetrics, [(300, WHOLE)];
    entry_metrics_with_tiny_chunks: EntryMetrics, [(30, TINY)];
    entry_metrics_that_are_not_read: EntryMetrics, [(100, Shape::Unread { requests: 200 })];
    links_that_send_nothing: Links, [(300, Shape::Silent)];
    links_with_whole_bodies: Links, [(300, WHOLE)];
    worker_reports_with_whole_bodies: WorkerReports, [(300, WHOLE)];
    worker_reports_with_tiny_chunks: WorkerReports, [(30, TINY)];
    worker_reports_with_endless_headers: WorkerReports, [(300, HEADER)];
    agent_metrics_with_tiny_chunks: AgentMetrics, [(30, TINY)];
    agent_metrics_that_send_nothing: AgentMetrics, [(300, Shape::Silent)];
}

/// A server of a standalone deployment that others can reach.
#[derive(Debug, Clone, Copy)]
enum StandaloneServer {
    Clients,
    Configuration,
    EntryPeers,
    AgentHttp,
    AgentPeers,
}

impl StandaloneServer {
    fn addr(self, deployment: &Deployment) -> SocketAddr {
        match self {
            Self::Clients | Self::Configuration => deployment.entry_addrs[0],
            Self::EntryPeers => deployment.entry_peers[0],
            Self::AgentHttp => deployment.workers[0].agent_http,
            Self::AgentPeers => deployment.workers[0].agent_peer,
        }
    }

    const fn path(self) -> &'static str {
        match self {
            Self::Clients => "/v1/requests/crew-share",
            Self::Configuration => "/v1/config/diff",
            _ => "/v1/backend",
        }
    }

    fn process(self, deployment: &mut Deployment) -> &mut Process {
        match self {
            Self::AgentHttp | Self::AgentPeers => &mut deployment.workers[0].agent,
            _ => &mut deployment.entries[0],
        }
    }

    async fn assert_served(self, deployment: &Deployment) {
        assert_eq!(
            get(deployment.workers[0].agent_http, "/health")
                .await
                .status,
            200
        );
        let key = format!("{:x}", rand::random::<u64>());
        let headers = [
            ("idempotency-key", key.as_str()),
            ("content-type", "application/json"),
        ];
        let body = job_body(2, 30, 8_000);
        let addr = deployment.entry_addrs[0];
        let reply = request("POST", addr, "/v1/jobs", &headers, &body).await;
        assert_eq!(reply.verdict(), "done", "{}", reply.body);
    }
}

async fn start_standalone() -> Deployment {
    let layout = Layout {
        entries: 1,
        workers: 1,
        agent_settings: SETTINGS.to_owned(),
        entry_settings: SETTINGS.to_owned(),
        ..Layout::default()
    };
    Deployment::start(layout).await
}

async fn assert_standalone_survives(server: StandaloneServer, crowds: &[(usize, Shape)]) {
    let mut deployment = start_standalone().await;
    within(server.assert_served(&deployment)).await;
    let addr = server.addr(&deployment);
    let sampler = DescriptorSampler::start(server.process(&mut deployment));
    for (clients, shape) in crowds {
        let crowd = Crowd::send(addr, server.path(), *clients, *shape).await;
        assert!(crowd.connected() > 0);
        assert!(!server.process(&mut deployment).has_exited());
        within(server.assert_served(&deployment)).await;
        drop(crowd);
        within(server.assert_served(&deployment)).await;
    }
    assert_within_bounds(server.process(&mut deployment), sampler);
}

macro_rules! standalone_crowds {
    ($($name:ident: $server:ident, $crowds:expr;)+) => {
        $(
            #[tokio::test(flavor = "multi_thread", worker_threads = 2)]
            async fn $name() {
                assert_standalone_survives(StandaloneServer::$server, &$crowds).await;
            }
        )+
    };
}

const LARGE_WHOLE: Shape = Shape::Whole {
    bytes: STANDALONE_BODY,
};
const LARGE_CHUNKED: Shape = Shape::Chunked {
    bytes: STANDALONE_BODY - 1,
    chunk_bytes: 16_384,
};
const LARGE_TINY: Shape = Shape::Chunked {
    bytes: STANDALONE_BODY / 4,
    chunk_bytes: 1,
};
const LARGE_HEADER: Shape = Shape::Header { bytes: 400_000 };

// As on a site; no timeout closed these connections either.
standalone_crowds! {
    standalone_clients_with_whole_bodies: Clients, [(40, LARGE_WHOLE)];
    standalone_clients_with_chunked_bodies: Clients, [(40, LARGE_CHUNKED)];
    standalone_clients_with_tiny_chunks: Clients, [(10, LARGE_TINY)];
    standalone_clients_with_endless_headers: Clients, [(200, LARGE_HEADER)];
    standalone_clients_that_send_nothing: Clients, [(300, Shape::Silent)];
    standalone_crowds_that_come_again: Clients, [(40, LARGE_WHOLE), (200, LARGE_HEADER), (40, LARGE_CHUNKED)];
    configurations_with_whole_bodies: Configuration, [(40, LARGE_WHOLE)];
    configurations_with_tiny_chunks: Configuration, [(10, LARGE_TINY)];
    entry_peers_that_send_nothing: EntryPeers, [(300, Shape::Silent)];
    agent_announcements_with_whole_bodies: AgentHttp, [(40, LARGE_WHOLE)];
    agent_announcements_with_tiny_chunks: AgentHttp, [(10, LARGE_TINY)];
    agent_connections_that_send_nothing: AgentHttp, [(300, Shape::Silent)];
    agent_peers_that_send_nothing: AgentPeers, [(300, Shape::Silent)];
}

/// A planned stop must not wait until clients that stopped short have gone.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_stop_of_a_site_entry_does_not_wait_for_a_crowd() {
    let mut site = Site::start_with("crowd-stop", 1, 1, SETTINGS).await;
    wait_until_serving(&site, 0).await;
    let addr = site.entries[0].client_addr;
    let _crowd = Crowd::send(addr, SiteServer::Clients.path(), 300, WHOLE).await;
    site.entries[0].process.terminate();
    let _second = Crowd::send(addr, SiteServer::Clients.path(), 30, WHOLE).await;
    let status = site.entries[0].process.wait(EXIT_TIMEOUT).await;
    assert!(status.success());
}

/// A planned stop waited for the unfinished requests until its limit.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_stop_of_a_standalone_entry_does_not_wait_for_a_crowd() {
    let mut deployment = start_standalone().await;
    let server = StandaloneServer::Clients;
    let _crowd = Crowd::send(server.addr(&deployment), server.path(), 40, LARGE_WHOLE).await;
    server.process(&mut deployment).terminate();
    let status = server.process(&mut deployment).wait(EXIT_TIMEOUT).await;
    assert!(status.success());
}

/// A crowd that reconnects must not keep an entry from starting.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_entry_restarts_during_a_crowd() {
    let mut site = Site::start_with("crowd-restart", 1, 1, SETTINGS).await;
    let server = SiteServer::Clients;
    let addr = server.addr(&site);
    let _first = Crowd::send(addr, server.path(), 300, WHOLE).await;
    let coming = tokio::spawn(async move {
        let mut crowds = Vec::new();
        for _ in 0..20 {
            crowds.push(Crowd::send(addr, server.path(), 30, WHOLE).await);
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
        crowds
    });
    site.restart_entry(0);
    let sampler = DescriptorSampler::start(server.process(&mut site));
    let _crowds = coming.await.expect("crowds");
    wait_until_serving(&site, 0).await;
    within(server.assert_served(&site)).await;
    assert_within_bounds(server.process(&mut site), sampler);
}

/// How a single request of the largest size arrives.
async fn assert_largest_request_is_served(
    name: &str,
    settings: &str,
    chunked: bool,
    pause: Duration,
) {
    let site = Site::start_with(&format!("largest-{name}"), 1, 1, settings).await;
    wait_until_serving(&site, 0).await;
    let mut job = site_job(1, 30).to_string();
    job.push_str(&" ".repeat(SITE_BODY - job.len()));
    let head = format!(
        "POST /shares/00000000000000fe HTTP/1.1\r\nhost: {HOST}\r\nrattanslip-deadline-ms: 8000\r\n"
    );
    let (head, body) = if chunked {
        let chunks = job
            .bytes()
            .flat_map(|byte| [b'1', b'\r', b'\n', byte, b'\r', b'\n']);
        let body: Vec<u8> = chunks.chain(*b"0\r\n\r\n").collect();
        (format!("{head}transfer-encoding: chunked\r\n\r\n"), body)
    } else {
        let length = job.len();
        (
            format!("{head}content-length: {length}\r\n\r\n"),
            job.into_bytes(),
        )
    };
    let status = send_slowly(site.entries[0].client_addr, &head, &body, pause).await;
    assert_eq!(status, "200");
}

macro_rules! largest_requests {
    ($($name:ident: $settings:expr, $chunked:expr, $pause_ms:expr;)+) => {
        $(
            #[tokio::test]
            async fn $name() {
                let pause = Duration::from_millis($pause_ms);
                assert_largest_request_is_served(stringify!($name), $settings, $chunked, pause).await;
            }
        )+
    };
}

/// Least memory and descriptors that the settings accept, and less room than one body takes.
const LEAST: &str = "memory_mb = 16\nmax_descriptors = 64\nmax_buffered_bytes = 65536\n";

// The limits on a crowd must not refuse a single request within the configuration's limits.
largest_requests! {
    the_largest_request_is_served_whole: SETTINGS, false, 0;
    the_largest_request_is_served_in_tiny_chunks: SETTINGS, true, 0;
    the_largest_request_is_served_slowly: SETTINGS, false, 300;
    the_largest_request_is_served_with_the_least_settings: LEAST, false, 0;
    the_largest_request_is_served_in_tiny_chunks_with_the_least_settings: LEAST, true, 0;
}

/// A client that is closed out must be able to read the refusal and when to come back.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_unfinished_request_is_refused_with_a_retry_delay() {
    let site = Site::start_with("crowd-refused", 1, 1, SETTINGS).await;
    wait_until_serving(&site, 0).await;
    let addr = site.entries[0].client_addr;
    let id = "00000000000000fd";
    let headers = [("host", HOST)];
    let head = format!(
        "POST /shares/{id} HTTP/1.1\r\nhost: {HOST}\r\ncontent-length: {SITE_BODY}\r\n\r\n"
    );
    let mut unfinished = TcpStream::connect(addr).await.expect("connect");
    unfinished.write_all(head.as_bytes()).await.expect("header");
    let body = vec![b' '; SITE_BODY - 1];
    unfinished.write_all(&body).await.expect("body");
    wait_until_read(addr.port()).await;
    let _crowd = Crowd::send(addr, SiteServer::Clients.path(), 300, WHOLE).await;
    let mut response = String::new();
    let reading = unfinished.read_to_string(&mut response);
    within(reading).await.expect("a whole response");
    assert!(response.starts_with("HTTP/1.1 503"), "{response}");
    assert!(response.contains("retry-after"), "{response}");
    let known = try_request("GET", addr, &format!("/shares/{id}"), &headers, "").await;
    assert_eq!(known.expect("reply").status, 410);
}

/// Operators must see what is held, and that clients were closed out.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn closed_connections_are_counted_and_logged() {
    let site = Site::start_with("crowd-counted", 1, 1, SETTINGS).await;
    wait_until_serving(&site, 0).await;
    let addr = site.entries[0].client_addr;
    let _crowd = Crowd::send(addr, SiteServer::Clients.path(), 300, WHOLE).await;
    let metrics = get(site.entries[0].metrics_addr, "/metrics").await.body;
    for name in [
        "rattanslip_closed_connections_total{reason=\"connections\"}",
        "rattanslip_connections{server=\"clients\"}",
        "rattanslip_buffered_bytes{server=\"clients\"}",
    ] {
        assert!(metrics.contains(name), "{name} in {metrics}");
    }
    assert!(site.log("entry-0").contains("connection closed at a limit"));
}
