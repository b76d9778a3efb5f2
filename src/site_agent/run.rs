//! Wires an agent together and runs it until it is told to stop.

use {
    super::{
        dialler::Dialler,
        execution_loop::{ExecutionLoop, LoopInput},
        worker_ear::WorkerEar,
        worker_memory::WorkerMemory,
    },
    crate::{
        adapters::{
            http::{HttpHandler, serve_http},
            timer::BootTimer,
        },
        cli::{RunError, listen, reload_signals, stop_signal},
        conf::SiteAgentSettings,
        core::{
            execution::{ExecutionEvent, Executor, ExecutorSettings},
            work::WorkerView,
        },
        platform::HttpWorkerClient,
        site_entry::{ProcessLogEvent, SiteProcess},
    },
    std::{
        collections::BTreeMap,
        sync::{Arc, atomic::AtomicU64},
        time::{Duration, SystemTime, UNIX_EPOCH},
    },
    tokio::{
        sync::{mpsc, oneshot, watch},
        time::{Instant, sleep, timeout},
    },
};

/// Time before the process is killed at which it ends by itself, in milliseconds.
const LAST_MS: u64 = 400;
/// Pause between looks at whether all runs are over, in milliseconds.
const LOOK_MS: u64 = 50;
/// Time beyond a lease after which nothing runs that an earlier process had started, in milliseconds.
const LEASE_SLACK_MS: u64 = 60;

/// What the parts of an agent share.
struct Shared {
    process: SiteProcess,
    inputs: mpsc::UnboundedSender<LoopInput>,
}

impl Shared {
    fn execution_loop(
        &self,
        settings: &SiteAgentSettings,
        kept_worker: watch::Sender<Option<WorkerView>>,
        clean_slate: watch::Sender<bool>,
    ) -> ExecutionLoop {
        let executor = Executor::new(ExecutorSettings {
            agent: settings.site.name.clone(),
            service: settings.service.clone(),
            limits: settings.site.limits,
            first_token: first_token(),
        });
        ExecutionLoop {
            executor,
            worker: Arc::new(HttpWorkerClient::new(
                self.process.caller.clone(),
                settings.worker,
            )),
            timer: Arc::new(BootTimer),
            decisions: Arc::clone(&self.process.decisions),
            metrics: Arc::clone(&self.process.metrics),
            sessions: BTreeMap::new(),
            clearing: BTreeMap::new(),
            kept_worker,
            clean_slate,
            inputs_back: self.inputs.clone(),
        }
    }

    fn dialler(&self, settings: &SiteAgentSettings) -> Arc<Dialler> {
        Arc::new(Dialler {
            store: Arc::clone(&self.process.store),
            inputs: self.inputs.clone(),
            metrics: Arc::clone(&self.process.metrics),
            last_session: AtomicU64::new(1),
            seeds: settings.seeds.clone(),
        })
    }

    fn worker_memory(&self, settings: &SiteAgentSettings) -> WorkerMemory {
        WorkerMemory {
            store: Arc::clone(&self.process.store),
            agent: settings.site.name.clone(),
            inputs: self.inputs.clone(),
        }
    }

    /// Serves the worker and whoever reads the metrics, for as long as the process lives.
    async fn serve_callers(
        &self,
        settings: &SiteAgentSettings,
        stopped: watch::Receiver<bool>,
    ) -> Result<(), RunError> {
        let worker = listen(settings.worker_listen).await?;
        let ear: Arc<dyn HttpHandler> = Arc::new(WorkerEar {
            inputs: self.inputs.clone(),
            metrics: Arc::clone(&self.process.metrics),
        });
        tokio::spawn(serve_http(worker, ear, stopped.clone()));
        self.process.serve_metrics(&settings.site, stopped).await
    }
}

/// Runs until the process is told to stop and its runs are over.
pub(crate) async fn run_site_agent(settings: SiteAgentSettings) -> Result<(), RunError> {
    let site = &settings.site;
    let (inputs, taken) = mpsc::unbounded_channel();
    let (clean_slate, is_clean) = watch::channel(false);
    let shared = Shared {
        process: SiteProcess::new(site)?,
        inputs,
    };
    let (kept_worker, newest_worker) = watch::channel(None);
    let execution = shared.execution_loop(&settings, kept_worker, clean_slate);
    let (_stop, stopped) = watch::channel(false);
    shared.serve_callers(&settings, stopped).await?;
    tokio::spawn(execution.run(taken));
    tokio::spawn(shared.worker_memory(&settings).run(newest_worker));
    tokio::spawn(reload_signals(Arc::clone(&shared.process.decisions)));
    shared.process.note_started(site);
    let lapse_ms = site.limits.lapse_ms() + LEASE_SLACK_MS;
    tokio::spawn(dial_when_clean(
        shared.dialler(&settings),
        is_clean,
        lapse_ms,
    ));

    stop_signal().await;
    end(&shared, site.stop_grace_s * 1_000).await;
    Ok(())
}

/// Dials entries once nothing of an earlier process runs at the worker.
///
/// Guards against two runs of a task: a session's hello says that nothing from before runs
/// here, but a process that was killed a moment ago may have left runs at the worker. They are
/// over once the worker's lists under a newer token show none, or else when their lease is.
async fn dial_when_clean(
    dialler: Arc<Dialler>,
    mut is_clean: watch::Receiver<bool>,
    lapse_ms: u64,
) {
    let lapse = Duration::from_millis(lapse_ms);
    // Either is enough, and the first session then opens half a second earlier.
    let _ = timeout(lapse, is_clean.wait_for(|clean| *clean)).await;
    dialler.follow().await;
}

/// A fencing token above those of this agent's earlier processes, as long as the time of day is right.
///
/// Where it isn't, the worker rejects the token and the executor raises it.
fn first_token() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    since_epoch.unwrap_or_default().as_secs()
}

async fn count_runs(inputs: &mpsc::UnboundedSender<LoopInput>) -> usize {
    let (count, counted) = oneshot::channel();
    if inputs.send(LoopInput::CountRuns { count }).is_err() {
        return 0;
    }
    counted.await.unwrap_or(0)
}

/// Takes nothing new and waits until what runs is over.
async fn end(shared: &Shared, grace_ms: u64) {
    let Shared {
        process, inputs, ..
    } = shared;
    let last_at = Instant::now() + Duration::from_millis(grace_ms.saturating_sub(LAST_MS));
    let open = count_runs(inputs).await;
    process.log_event(&ProcessLogEvent::Stopping { open, grace_ms });
    // The loop ends only with the process.
    let _ = inputs.send(LoopInput::Event(ExecutionEvent::Shutdown));
    while Instant::now() < last_at && count_runs(inputs).await > 0 {
        sleep(Duration::from_millis(LOOK_MS)).await;
    }
    // Ends that were just told are still on their way out.
    sleep(Duration::from_millis(LOOK_MS)).await;
    let open = count_runs(inputs).await;
    process.log_event(&ProcessLogEvent::Stopped { open });
    sleep(Duration::from_millis(LOOK_MS)).await;
}
