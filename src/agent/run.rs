//! Assembles an agent and runs it until a stop signal.

use {
    super::{
        AgentHandle, announcer::Announcer, home_routes::HomeRoutes, home_starter::HomeStarter,
        peer_handler::AgentPeerHandler, runner_loop::RunnerLoop,
    },
    crate::{
        adapters::{
            backend::HttpBackend,
            connections::ServerConnections,
            http::{AgentApi, serve_agent_api},
            metrics::OtelMetrics,
            peer::{H2Client, serve_peers},
            timer::TokioTimer,
        },
        cli::{RunError, listen, stop_signal},
        conf::AgentSettings,
        core::{
            gate::SharedPermit,
            home::HomeSettings,
            roster::EntryChoice,
            runner::{Runner, RunnerSettings},
            ticket::AgentId,
        },
        ports::{Metrics, PeerNetwork, TimerService},
    },
    rand::RngExt,
    std::{
        collections::BTreeMap,
        sync::{Arc, Mutex},
    },
    tokio::sync::{Notify, mpsc},
};

/// Retention of outcomes that their homes have not acknowledged.
const OUTCOME_RETENTION_MS: u64 = 120_000;
const DRAIN_POLL_MS: u64 = 20;
/// Period after a hand-over in which requests are still forwarded to the successor.
const FORWARDING_GRACE_MS: u64 = 1_500;
/// Maximum wait of an idle, stopping runner for homes to acknowledge outcomes.
const ACKNOWLEDGEMENT_TIMEOUT_MS: u64 = 3_000;

/// Runs an agent until SIGTERM or SIGINT, then drains it.
pub(crate) async fn run_agent(settings: AgentSettings) -> Result<(), RunError> {
    let metrics: Arc<dyn Metrics> = Arc::new(OtelMetrics::new().map_err(RunError::metrics)?);
    let timer: Arc<dyn TimerService> = Arc::new(TokioTimer::new());
    let network: Arc<dyn PeerNetwork> = Arc::new(H2Client::new(Arc::clone(&metrics)));
    let permit = Arc::new(SharedPermit::default());
    let backend = Arc::new(HttpBackend::new(
        settings.connections,
        Arc::clone(&permit),
        Arc::clone(&timer),
    ));
    let peers = listen(settings.peer_listen).await?;
    let id = AgentId(rand::rng().random());
    let agent = start_loops(&settings, id, &metrics, &timer, &network, &backend, permit);
    let handler = Arc::new(AgentPeerHandler {
        agent: Arc::clone(&agent),
    });
    let connections = ServerConnections::new("peers", settings.accepted.peers, &metrics);
    tokio::spawn(serve_peers(
        peers,
        handler,
        connections,
        Arc::clone(&metrics),
    ));
    let announcer = Announcer {
        id,
        worker: settings.worker.clone(),
        availability_zone: settings.availability_zone.clone(),
        peer_addr: settings.peer_addr,
        entries: EntryChoice::new(id, settings.entries.clone()),
        roster_digest: 0,
        last_number: 0,
        agent: Arc::clone(&agent),
        network,
        timer: Arc::clone(&timer),
        metrics: Arc::clone(&metrics),
    };
    tokio::spawn(announcer.run());
    let connections = ServerConnections::new("http", settings.accepted.http, &metrics);
    let api = Arc::new(AgentApi {
        agent: Arc::clone(&agent),
        backend,
        metrics,
    });
    log::info!(worker = settings.worker.as_str(), peer_listen:% = settings.peer_listen; "agent started");
    let stop = async {
        stop_signal().await;
        drain(&agent, timer.as_ref(), settings.stop_limit_ms).await;
    };
    serve_agent_api(
        settings.http_listen,
        api,
        settings.http_limits,
        connections,
        stop,
    )
    .await?;
    log::info!("agent stopped");
    Ok(())
}

fn start_loops(
    settings: &AgentSettings,
    id: AgentId,
    metrics: &Arc<dyn Metrics>,
    timer: &Arc<dyn TimerService>,
    network: &Arc<dyn PeerNetwork>,
    backend: &Arc<HttpBackend>,
    permit: Arc<SharedPermit>,
) -> Arc<AgentHandle> {
    let starter = HomeStarter {
        network: Arc::clone(network),
        timer: Arc::clone(timer),
        metrics: Arc::clone(metrics),
        settings: HomeSettings {
            ticket_ttl_ms: settings.ticket_ttl_ms,
            answers_limit_bytes: settings.answers_limit_bytes,
            runner_lost_after_ms: settings.runner_lost_after_ms,
        },
        placement: settings.placement,
    };
    let home_inputs = starter.start_own(id);
    let homes = HomeRoutes::default();
    homes.set_local(id, home_inputs.clone());
    let (runner_inputs, runner_received) = mpsc::unbounded_channel();
    let runner_settings = RunnerSettings {
        outcome_retention_ms: OUTCOME_RETENTION_MS,
    };
    let runner = RunnerLoop {
        runner: Runner::new(id, runner_settings),
        backend: backend.clone(),
        timer: Arc::clone(timer),
        metrics: Arc::clone(metrics),
        inputs: runner_inputs.clone(),
        sessions: BTreeMap::new(),
        next_session: 0,
        permit,
    };
    tokio::spawn(runner.run(runner_received));
    Arc::new(AgentHandle {
        id,
        homes,
        starter,
        successors: Mutex::new(Vec::new()),
        home: home_inputs,
        runner: runner_inputs,
        timer: Arc::clone(timer),
        slots_limit: settings.slots,
        announce_now: Notify::new(),
        backend_announced_at: Mutex::new(None),
    })
}

/// Moves the homes to a successor, then waits until all tasks have finished and their outcomes
/// are acknowledged, or `limit_ms` has passed.
///
/// Requests for moved homes are forwarded meanwhile, for at least `FORWARDING_GRACE_MS` so that
/// every entry learns of the successor.
async fn drain(agent: &Arc<AgentHandle>, timer: &dyn TimerService, limit_ms: u64) {
    let started_at = timer.now();
    agent.start_shutdown();
    agent.hand_over_homes(started_at.plus_ms(limit_ms)).await;
    let moved_at = timer.now();
    let mut idle_since = None;
    let mut ticks = timer.subscribe(DRAIN_POLL_MS);
    while ticks.recv().await.is_some() {
        let now = timer.now();
        let remaining = remaining_work(agent).await;
        let waited_ms = now.millis_since(started_at);
        if remaining.is_idle() {
            let idle_ms = now.millis_since(*idle_since.get_or_insert(now));
            let acknowledged =
                remaining.unacknowledged == 0 || idle_ms >= ACKNOWLEDGEMENT_TIMEOUT_MS;
            if acknowledged && now.millis_since(moved_at) >= FORWARDING_GRACE_MS {
                log::info!(waited_ms; "all running work finished");
                return;
            }
        }
        if waited_ms >= limit_ms {
            log::warn!(running = remaining.running, jobs = remaining.jobs, waited_ms; "stop limit reached before all work finished");
            return;
        }
    }
}

/// Work that a stopping agent waits for.
#[derive(Debug)]
struct RemainingWork {
    running: u16,
    jobs: usize,
    unacknowledged: usize,
}

impl RemainingWork {
    const fn is_idle(&self) -> bool {
        self.running == 0 && self.jobs == 0
    }
}

async fn remaining_work(agent: &AgentHandle) -> RemainingWork {
    let snapshot = agent.snapshot().await;
    RemainingWork {
        running: snapshot.as_ref().map_or(0, |snapshot| snapshot.running),
        unacknowledged: snapshot.map_or(0, |snapshot| snapshot.unacknowledged),
        jobs: agent.running_job_count().await,
    }
}
