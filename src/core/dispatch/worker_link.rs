//! State of one agent and its worker, as seen by an entry.

use {
    super::{
        LinkId,
        job::{Job, JobKey},
    },
    crate::core::{
        ejection::RunnerHealth,
        link::{CapacityReport, EvacuatedZones},
        queue_shares::LevelReport,
        time::Instant,
        work::{Resources, RunId, StepSpec, WorkerView},
        worker_speed::NORMAL_PERMILLE,
    },
    slotmap::new_key_type,
    std::collections::{BTreeMap, VecDeque},
};

new_key_type! {
    /// Key of an agent in the dispatcher's slot map.
    pub(crate) struct WorkerKey;
}

/// A run that may still be executing.
#[derive(Debug, Clone, Copy)]
pub(super) struct OpenRun {
    pub(super) job: JobKey,
    /// The task's position in the job.
    pub(super) task: usize,
    pub(super) start_sent_at: Instant,
    /// Expected run time on a worker of normal speed.
    pub(super) estimate_ms: u64,
    /// A stop was sent.
    pub(super) stopping: bool,
    /// A worker has crashed under the task.
    pub(super) is_suspect: bool,
}

/// One agent and its worker.
#[derive(Debug)]
pub(super) struct WorkerLink {
    pub(super) agent: String,
    /// The current session, if any.
    pub(super) link: Option<LinkId>,
    /// The worker, if it accepts tasks.
    pub(super) view: Option<WorkerView>,
    /// Latest timestamp of the agent, in microseconds of its clock.
    pub(super) stamp_us: u64,
    /// When that timestamp arrived; bounds the lease that its echo grants.
    pub(super) stamp_received_at: Instant,
    pub(super) last_heard_at: Instant,
    pub(super) heartbeat_sent_at: Option<Instant>,
    /// Runs that may still be executing there.
    pub(super) runs: BTreeMap<RunId, OpenRun>,
    pub(super) health: RunnerHealth,
    /// No start order is sent before then.
    pub(super) paused_until: Instant,
    /// Run time divided by the estimate, as the agent reported it, in thousandths; retained across
    /// sessions.
    pub(super) slowness_permille: u16,
    /// The same in comparison with the other workers of the service.
    pub(super) slowness: f64,
    pub(super) last_start_at: Instant,
    /// Levels of the queues at the agent.
    pub(super) levels: LevelReport,
    /// A start order was rejected for lack of capacity; the agent then reserves capacity for this
    /// entry.
    capacity_requested: bool,
    report: CapacityReport,
    starts_sent: u32,
    /// Start orders that the report doesn't include yet, with their ordinals.
    unreported: VecDeque<(u32, Resources)>,
}

impl WorkerLink {
    pub(super) fn new(now: Instant, agent: String) -> Self {
        Self {
            agent,
            link: None,
            view: None,
            stamp_us: 0,
            stamp_received_at: now,
            last_heard_at: now,
            heartbeat_sent_at: None,
            runs: BTreeMap::new(),
            health: RunnerHealth::default(),
            paused_until: now,
            slowness_permille: NORMAL_PERMILLE,
            slowness: 1.0,
            last_start_at: now,
            levels: LevelReport::default(),
            capacity_requested: false,
            report: CapacityReport::default(),
            starts_sent: 0,
            unreported: VecDeque::new(),
        }
    }

    /// Starts a new session.
    pub(super) fn open_session(&mut self, now: Instant, link: LinkId, stamp_us: u64) {
        self.link = Some(link);
        self.view = None;
        self.levels = LevelReport::default();
        self.last_heard_at = now;
        self.heartbeat_sent_at = None;
        self.stamp_us = stamp_us;
        self.stamp_received_at = now;
        self.capacity_requested = false;
        self.report = CapacityReport::default();
        self.starts_sent = 0;
        self.unreported.clear();
    }

    pub(super) fn record_stamp(&mut self, now: Instant, stamp_us: u64) {
        if stamp_us > self.stamp_us {
            self.stamp_us = stamp_us;
            self.stamp_received_at = now;
        }
    }

    pub(super) fn record_start(&mut self, needs: Resources) {
        self.starts_sent += 1;
        self.unreported.push_back((self.starts_sent, needs));
    }

    pub(super) fn record_capacity(&mut self, report: CapacityReport) {
        self.report = report;
        while self
            .unreported
            .front()
            .is_some_and(|(ordinal, _)| *ordinal <= report.starts_seen)
        {
            self.unreported.pop_front();
        }
    }

    /// Records that a start order was rejected for lack of capacity.
    pub(super) const fn record_no_room(&mut self) {
        self.capacity_requested = true;
    }

    /// Clears the capacity request if the agent has reserved capacity that this entry doesn't use;
    /// returns whether it did, so that the agent is notified once.
    pub(super) fn clear_unused_request(&mut self) -> bool {
        let is_unused =
            self.capacity_requested && self.report.free.cpu_milli > 0 && self.unreported.is_empty();
        self.capacity_requested &= !is_unused;
        is_unused
    }

    /// The worker, if it accepts tasks of this step.
    pub(super) fn usable_view(
        &self,
        now: Instant,
        job: &Job,
        step: &StepSpec,
        zones: Option<&EvacuatedZones>,
    ) -> Option<&WorkerView> {
        let view = self.view.as_ref()?;
        let is_evacuated =
            zones.is_some_and(|zones| zones.evacuated.contains(&view.availability_zone));
        let is_usable = self.link.is_some()
            && !view.draining
            && view.service == job.route.service
            && !is_evacuated
            && !self.health.is_ejected(now)
            && step.has_required_label(view);
        is_usable.then_some(view)
    }

    /// Whether a task runs there under which a worker has crashed.
    pub(super) fn has_suspect_run(&self) -> bool {
        self.runs.values().any(|open| open.is_suspect)
    }

    /// This entry's share of the worker, from zero to one.
    pub(super) fn share(&self) -> f64 {
        f64::from(self.report.share_permille) / 1_000.0
    }

    /// Free capacity in the latest report, less what was started since then.
    pub(super) fn free_capacity(&self) -> Resources {
        let starts = self.unreported.iter();
        starts.fold(self.report.free, |free, (_, needs)| free.minus(*needs))
    }

    /// Whether a start order for these resources may be sent before the agent's next report.
    ///
    /// All entries see the same free capacity. If each of them filled it, for example when the
    /// agents of a whole site reconnect, the worker would reject most of the orders. An entry
    /// therefore sends at most its share of the reported capacity between two reports; a single
    /// active entry gets its share of the remainder with each report, every two milliseconds.
    pub(super) fn may_send_start(&self, needs: Resources) -> bool {
        let share = (f64::from(needs.times_in(self.report.free)) * self.share()).ceil() as u32;
        u32::try_from(self.unreported.len()).is_ok_and(|in_flight| in_flight < share)
    }
}
