//! The dispatcher's state and its event handling.

use {
    super::{
        DispatchAction, DispatchEvent, DispatchLogEvent, JobOutcome, LinkId, RefusalReason,
        Submission, WaiterId,
        arrival_rate::ArrivalRate,
        cancellation::Cancellations,
        client_deadlines::ClientDeadlines,
        connectivity::Connectivity,
        crashes::CrashRecords,
        expected_completion::StartCounts,
        job::{Job, JobKey},
        queue::{TaskQueue, WaitingTask},
        throughput::Throughput,
        worker_discovery::WorkerDiscovery,
        worker_link::{WorkerKey, WorkerLink},
        worker_speeds::WorkerSpeeds,
    },
    crate::core::{
        document::DocumentCopy,
        link::{EntryFrame, EvacuatedZones},
        queue_shares::QueueShares,
        time::Instant,
        work::{JobId, RunLimits},
    },
    rand::SeedableRng,
    rand_chacha::ChaCha8Rng,
    slotmap::SlotMap,
    std::{collections::BTreeMap, mem},
};

/// Settings of a dispatcher.
#[derive(Debug, Clone, Copy)]
pub(crate) struct DispatchSettings {
    /// Time limits of runs, shared with the agents.
    pub(crate) limits: RunLimits,
    /// Seed for the random choice of workers; it differs between entries, so that they choose
    /// differently.
    pub(crate) seed: u64,
    /// Factor of the run time of a task whose data is on another rack, in thousandths.
    pub(crate) remote_penalty_permille: u32,
}

/// Tracks the jobs that its entry has accepted and dispatches their tasks to agents.
#[derive(Debug)]
pub(crate) struct Dispatcher {
    pub(super) settings: DispatchSettings,
    pub(super) jobs: SlotMap<JobKey, Job>,
    pub(super) by_id: BTreeMap<JobId, JobKey>,
    pub(super) by_waiter: BTreeMap<WaiterId, JobKey>,
    /// Copies of closed jobs that wait until the stopped runs have ended.
    pub(super) held_copies: BTreeMap<JobId, Vec<Submission>>,
    pub(super) cancellations: Cancellations,
    pub(super) queue: TaskQueue,
    pub(super) workers: SlotMap<WorkerKey, WorkerLink>,
    pub(super) by_agent: BTreeMap<String, WorkerKey>,
    pub(super) by_link: BTreeMap<LinkId, WorkerKey>,
    pub(super) zones: Option<EvacuatedZones>,
    /// When the store was last read and had no zones but these.
    pub(super) zones_read_at: Option<Instant>,
    /// Store version up to which the operators' rows were read; zero without a read.
    pub(super) rows_version: u64,
    pub(super) document: DocumentCopy<LinkId>,
    /// Since when an agent has held a newer document than this entry.
    pub(super) document_behind_since: Option<Instant>,
    pub(super) leaving_since: Option<Instant>,
    pub(super) connectivity: Connectivity,
    /// Latest estimate.
    pub(super) throughput: Throughput,
    pub(super) speeds: WorkerSpeeds,
    /// Tasks of the current placement that wait for a faster worker, although others are free.
    pub(super) held_tasks: usize,
    pub(super) start_counts: StartCounts,
    pub(super) rng: ChaCha8Rng,
    pub(super) client_deadlines: ClientDeadlines,
    pub(super) arrivals: ArrivalRate,
    pub(super) queue_shares: QueueShares,
    /// When tasks last waited at the start of a batch of events.
    pub(super) congested_at: Option<Instant>,
    pub(super) crashes: CrashRecords,
    /// When an agent first announced a worker.
    pub(super) first_worker_at: Option<Instant>,
    pub(super) worker_discovery: WorkerDiscovery,
    /// Jobs accepted in the current batch of events.
    pub(super) new_jobs: Vec<JobKey>,
    /// Workers whose agents reported free capacity in the current batch of events.
    pub(super) capacity_reported: Vec<WorkerKey>,
    pub(super) actions: Vec<DispatchAction>,
}

impl Dispatcher {
    pub(crate) fn new(settings: DispatchSettings) -> Self {
        Self {
            rng: ChaCha8Rng::seed_from_u64(settings.seed),
            settings,
            jobs: SlotMap::with_key(),
            by_id: BTreeMap::new(),
            by_waiter: BTreeMap::new(),
            held_copies: BTreeMap::new(),
            cancellations: Cancellations::default(),
            queue: TaskQueue::default(),
            workers: SlotMap::with_key(),
            by_agent: BTreeMap::new(),
            by_link: BTreeMap::new(),
            zones: None,
            zones_read_at: None,
            rows_version: 0,
            document: DocumentCopy::default(),
            document_behind_since: None,
            leaving_since: None,
            connectivity: Connectivity::default(),
            throughput: Throughput::default(),
            speeds: WorkerSpeeds::default(),
            held_tasks: 0,
            start_counts: StartCounts::default(),
            client_deadlines: ClientDeadlines::default(),
            arrivals: ArrivalRate::default(),
            queue_shares: QueueShares::default(),
            congested_at: None,
            crashes: CrashRecords::default(),
            first_worker_at: None,
            worker_discovery: WorkerDiscovery::default(),
            new_jobs: Vec::new(),
            capacity_reported: Vec::new(),
            actions: Vec::new(),
        }
    }

    /// Number of jobs whose clients wait for an outcome.
    pub(crate) fn open_jobs(&self) -> usize {
        self.jobs.values().filter(|job| !job.closed).count()
    }

    /// Whether any worker accepts tasks.
    pub(crate) fn has_workers(&self) -> bool {
        self.workers
            .values()
            .any(|worker| worker.link.is_some() && worker.view.is_some())
    }

    /// Number of open jobs of a route without any started task.
    pub(crate) fn pending(&self, route: &str) -> usize {
        let open = self.jobs.values().filter(|job| !job.closed);
        open.filter(|job| job.starts == 0 && job.route.name == route)
            .count()
    }

    /// Handles a batch of events and returns the resulting actions.
    pub(crate) fn handle(
        &mut self,
        now: Instant,
        events: impl IntoIterator<Item = DispatchEvent>,
    ) -> Vec<DispatchAction> {
        self.detect_suspension(now);
        if !self.queue.is_empty() {
            self.congested_at = Some(now);
        }
        self.update_queue_shares(now);
        if !self.queue.is_empty() {
            self.throughput = self.estimate_throughput(now);
        }
        for event in events {
            self.handle_event(now, event);
        }
        self.compare_speeds();
        if self.connectivity.may_start(now) {
            self.place_tasks(now);
        }
        self.evaluate_new_jobs(now);
        self.decline_unused_capacity();
        mem::take(&mut self.actions)
    }

    fn handle_event(&mut self, now: Instant, event: DispatchEvent) {
        match event {
            DispatchEvent::Submit(submission) => self.on_submit(now, submission),
            DispatchEvent::Cancel { waiter, id } => self.on_cancel(now, waiter, id),
            DispatchEvent::ClientGone { waiter } => self.on_client_gone(now, waiter),
            DispatchEvent::Frame { link, frame } => self.on_frame(now, link, frame),
            DispatchEvent::LinkLost { link } => self.disconnect(now, link, "closed"),
            DispatchEvent::EvacuatedZones(zones) => self.on_evacuated_zones(zones),
            DispatchEvent::ZonesRead { at, rows_version } => {
                self.zones_read_at = self.zones_read_at.max(Some(at));
                self.rows_version = self.rows_version.max(rows_version);
            }
            DispatchEvent::Document(document) => self.set_document(document),
            DispatchEvent::Shutdown => self.leaving_since = Some(now),
            DispatchEvent::Tick => self.on_tick(now),
        }
    }

    fn on_tick(&mut self, now: Instant) {
        self.maintain_links(now);
        self.end_expired_jobs(now);
        self.end_isolated_jobs(now);
        self.stop_overdue_runs(now);
        self.maintain_cancellations(now);
    }

    /// Closes a job and sends its outcome to all waiters.
    pub(super) fn finish_job(&mut self, now: Instant, key: JobKey, outcome: JobOutcome) {
        let Some(job) = self.jobs.get_mut(key) else {
            return;
        };
        let waiters = mem::take(&mut job.waiters);
        job.closed = true;
        let (name, reason) = outcome.name_and_reason();
        let event = DispatchLogEvent::JobAnswered {
            job: job.id.to_string(),
            route: job.route.name.clone(),
            answer: name,
            reason,
            took_ms: now.millis_since(job.received_at),
            objective_ms: job.objective_ms,
            waited_ms: job.last_start.millis_since(job.received_at),
            starts: job.starts,
            failed_runs: job.failed_runs(),
            share: job.share_name(),
            left: job.remaining_tasks,
        };
        self.log_event(event);
        for waiter in waiters {
            self.by_waiter.remove(&waiter);
            self.reply(waiter, outcome);
        }
        self.close_job(key);
    }

    /// Rejects a submission that was not accepted as a job.
    pub(super) fn refuse(&mut self, waiter: WaiterId, reason: RefusalReason, retry_after_ms: u64) {
        let outcome = JobOutcome::NotRun {
            reason,
            retry_after_ms,
        };
        self.reply(waiter, outcome);
    }

    pub(super) fn reply(&mut self, waiter: WaiterId, outcome: JobOutcome) {
        self.actions.push(DispatchAction::Reply { waiter, outcome });
    }

    /// Removes a closed job's waiting tasks, stops its runs, and drops the job once no run is left.
    pub(super) fn close_job(&mut self, key: JobKey) {
        self.queue.remove_job(key);
        let mut stops = Vec::new();
        for worker in self.workers.values_mut() {
            let Some(link) = worker.link else {
                continue;
            };
            for (run, open) in &mut worker.runs {
                if open.job == key && !open.stopping {
                    open.stopping = true;
                    stops.push((link, *run));
                }
            }
        }
        for (link, run) in stops {
            let frame = EntryFrame::Stop { run };
            self.actions.push(DispatchAction::Send { link, frame });
        }
        self.remove_if_finished(key);
    }

    pub(super) fn enqueue(&mut self, now: Instant, key: JobKey, task: usize) {
        let Some(job) = self.jobs.get(key) else {
            return;
        };
        let spread_ms = self.spread_ms(job);
        match WaitingTask::new(now, key, job, task, spread_ms) {
            Some(waiting) => self.queue.insert(waiting),
            None => self.give_up(now, key),
        }
    }

    /// Expected time to start all waiting tasks of a job one after another, in milliseconds; zero
    /// if the queue is empty.
    fn spread_ms(&self, job: &Job) -> u64 {
        if self.queue.is_empty() {
            return 0;
        }
        self.throughput.time_for_ms(job.waiting_work_ms())
    }

    pub(super) fn log_event(&mut self, event: DispatchLogEvent) {
        self.actions.push(DispatchAction::Log(event));
    }
}

impl JobOutcome {
    /// Name and reason of the outcome, as used in logs and metrics.
    pub(crate) const fn name_and_reason(self) -> (&'static str, &'static str) {
        match self {
            Self::Completed => ("completed", ""),
            Self::Failed => ("failed", "failed_runs"),
            Self::FailedByCrashes => ("failed", "worker_crashes"),
            Self::Cancelled => ("cancelled", ""),
            Self::NotRun { reason, .. } => ("not_run", reason.as_str()),
            Self::GivenUp(reason) => ("given_up", reason.as_str()),
        }
    }
}
