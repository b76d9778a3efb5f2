//! Wires an agent together and runs it until it is told to stop.

use {
    super::{
        AgentHandle, announcer::Announcer, home_loop::HomeLoop, peer_handler::AgentPeerHandler,
        runner_loop::RunnerLoop,
    },
    crate::{
        adapters::{
            backend::HttpBackend,
            http::{AgentApi, serve_agent_api},
            metrics::OtelMetrics,
            peer::{H2Client, serve_peers},
            timer::TokioTimer,
        },
        cli::{RunError, stop_signal},
        conf::{AgentSettings, PlacementSetting},
        core::{
            home::{Home, HomeSettings},
            placement::{MostFree, Placement, RandomWorker},
            runner::{Runner, RunnerSettings},
            ticket::{AgentId, GrantSecret},
        },
        ports::{Metrics, PeerNetwork, TimerService},
    },
    rand::RngExt,
    std::{
        collections::BTreeMap,
        sync::{Arc, Mutex},
    },
    tokio::{
        net::TcpListener,
        sync::{Notify, mpsc},
    },
};

/// For how long the runner keeps outcomes that their homes have not acknowledged.
const KEEP_OUTCOME_MS: u64 = 120_000;
/// Pause between looks at what is left to do before a stop, in milliseconds.
const DRAIN_POLL_MS: u64 = 20;

/// Runs an agent until SIGTERM or SIGINT; work under way is finished first.
pub(crate) async fn run_agent(settings: AgentSettings) -> Result<(), RunError> {
    let metrics: Arc<dyn Metrics> = Arc::new(OtelMetrics::new().map_err(RunError::metrics)?);
    let timer: Arc<dyn TimerService> = Arc::new(TokioTimer::new());
    let network: Arc<dyn PeerNetwork> = Arc::new(H2Client::new(Arc::clone(&metrics)));
    let backend = Arc::new(HttpBackend::new(settings.connections));
    let peers = TcpListener::bind(settings.peer_listen)
        .await
        .map_err(|error| RunError::Listen(settings.peer_listen, error))?;
    let id = AgentId(rand::rng().random());
    let agent = start_loops(&settings, id, &metrics, &timer, &network, &backend);
    let handler = Arc::new(AgentPeerHandler {
        agent: Arc::clone(&agent),
    });
    tokio::spawn(serve_peers(peers, handler, Arc::clone(&metrics)));
    let announcer = Arc::new(Announcer {
        id,
        worker: settings.worker.clone(),
        availability_zone: settings.availability_zone.clone(),
        peer_addr: settings.peer_addr,
        entries: settings.entries.clone(),
        agent: Arc::clone(&agent),
        network,
        timer: Arc::clone(&timer),
        metrics: Arc::clone(&metrics),
    });
    tokio::spawn(announcer.run());
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
    serve_agent_api(settings.http_listen, api, stop).await?;
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
) -> Arc<AgentHandle> {
    let (home_inputs, home_received) = mpsc::unbounded_channel();
    let (runner_inputs, runner_received) = mpsc::unbounded_channel();
    let home = HomeLoop {
        home: Home::new(
            id,
            GrantSecret::new(rand::rng().random()),
            HomeSettings {
                ticket_ttl_ms: settings.ticket_ttl_ms,
                answers_limit_bytes: settings.answers_limit_bytes,
                runner_lost_after_ms: settings.runner_lost_after_ms,
            },
            placement(settings.placement),
        ),
        network: Arc::clone(network),
        timer: Arc::clone(timer),
        metrics: Arc::clone(metrics),
        inputs: home_inputs.clone(),
        waiters: BTreeMap::new(),
        sessions: BTreeMap::new(),
        next_waiter: 0,
    };
    let runner_settings = RunnerSettings {
        keep_outcome_ms: KEEP_OUTCOME_MS,
    };
    let runner = RunnerLoop {
        runner: Runner::new(id, runner_settings),
        backend: backend.clone(),
        timer: Arc::clone(timer),
        metrics: Arc::clone(metrics),
        inputs: runner_inputs.clone(),
        sessions: BTreeMap::new(),
        next_session: 0,
    };
    tokio::spawn(home.run(home_received));
    tokio::spawn(runner.run(runner_received));
    Arc::new(AgentHandle {
        home: home_inputs,
        runner: runner_inputs,
        timer: Arc::clone(timer),
        slots_limit: settings.slots,
        announce_now: Notify::new(),
        backend_heard_at: Mutex::new(None),
    })
}

fn placement(setting: PlacementSetting) -> Box<dyn Placement> {
    let seed = rand::rng().random();
    match setting {
        PlacementSetting::MostFree => Box::new(MostFree::new(seed)),
        PlacementSetting::Random => Box::new(RandomWorker::new(seed)),
    }
}

/// Waits until nothing runs here any more, or the limit is reached.
async fn drain(agent: &AgentHandle, timer: &dyn TimerService, limit_ms: u64) {
    let started_at = timer.now();
    agent.leave();
    let mut ticks = timer.subscribe(DRAIN_POLL_MS);
    while ticks.recv().await.is_some() {
        let running = agent
            .snapshot()
            .await
            .map_or(0, |snapshot| snapshot.running);
        let jobs = agent.jobs_running().await;
        let waited_ms = timer.now().millis_since(started_at);
        if running == 0 && jobs == 0 {
            log::info!(waited_ms; "all work under way is finished");
            return;
        }
        if waited_ms >= limit_ms {
            log::warn!(running, jobs, waited_ms; "stop limit reached with work under way");
            return;
        }
    }
}
