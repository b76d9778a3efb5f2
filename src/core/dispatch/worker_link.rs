//! What an entry knows of one agent and the worker beside it.

use {
    super::{
        LinkId,
        job::{Job, JobKey},
    },
    crate::core::{
        ejection::RunnerHealth,
        link::{CapacityReport, EvacuatedZones},
        time::Instant,
        work::{Resources, RunId, StepSpec, WorkerView},
    },
    slotmap::new_key_type,
    std::collections::{BTreeMap, VecDeque},
};

new_key_type! {
    /// Names an agent in the arena of its dispatcher.
    pub(crate) struct WorkerKey;
}

/// Weight of the newest run in the learnt speed; ten runs or so make up most of it.
const SLOWNESS_WEIGHT: f64 = 0.1;
/// Bounds of the learnt speed, so that one strange run can't spoil it.
const SLOWNESS_BOUNDS: (f64, f64) = (0.25, 4.0);

/// A run that was ordered and is not known to be over.
#[derive(Debug, Clone, Copy)]
pub(super) struct OpenRun {
    pub(super) job: JobKey,
    /// The task's position in the job.
    pub(super) task: usize,
    pub(super) start_sent_at: Instant,
    pub(super) estimate_ms: u64,
    /// A stop was sent.
    pub(super) stopping: bool,
}

/// One agent.
#[derive(Debug)]
pub(super) struct WorkerLink {
    /// Its name.
    pub(super) agent: String,
    /// Its session, while it has one.
    pub(super) link: Option<LinkId>,
    /// Its worker, if that can take tasks.
    pub(super) view: Option<WorkerView>,
    /// Newest time stamp of the agent, in microseconds on its clock.
    pub(super) stamp_us: u64,
    /// When that stamp arrived: upper bound of the right that its echo gives.
    pub(super) stamp_received_at: Instant,
    /// When the agent was last heard.
    pub(super) last_heard_at: Instant,
    /// When the last beat was sent.
    pub(super) heartbeat_sent_at: Option<Instant>,
    /// Runs that may be at work there.
    pub(super) runs: BTreeMap<RunId, OpenRun>,
    /// What became of its tasks.
    pub(super) health: RunnerHealth,
    /// Nothing is ordered before then.
    pub(super) paused_until: Instant,
    /// Run time divided by the clients' estimates.
    pub(super) slowness: f64,
    /// An order was turned away for want of room; the agent keeps that in mind and offers room in turn.
    capacity_requested: bool,
    report: CapacityReport,
    starts_sent: u32,
    /// Orders that the report does not take account of.
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
            slowness: 1.0,
            capacity_requested: false,
            report: CapacityReport::default(),
            starts_sent: 0,
            unreported: VecDeque::new(),
        }
    }

    /// Begins with a new session.
    pub(super) fn open_session(&mut self, now: Instant, link: LinkId, stamp_us: u64) {
        self.link = Some(link);
        self.view = None;
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

    /// Notes that an order was turned away for want of room.
    pub(super) const fn record_no_room(&mut self) {
        self.capacity_requested = true;
    }

    /// Whether room that the agent offers on account of an order that it turned away is left unused; it is
    /// to be told so once.
    pub(super) fn clear_unused_request(&mut self) -> bool {
        let is_unused =
            self.capacity_requested && self.report.free.cpu_milli > 0 && self.unreported.is_empty();
        self.capacity_requested &= !is_unused;
        is_unused
    }

    /// The worker, if it takes tasks of this step at all.
    pub(super) fn usable_view(
        &self,
        now: Instant,
        job: &Job,
        step: &StepSpec,
        zones: Option<&EvacuatedZones>,
    ) -> Option<&WorkerView> {
        let view = self.view.as_ref()?;
        let has_label = |label: &String| view.labels.contains(label);
        let is_evacuated =
            zones.is_some_and(|zones| zones.evacuated.contains(&view.availability_zone));
        let is_usable = self.link.is_some()
            && !view.draining
            && view.service == job.route.service
            && !is_evacuated
            && !self.health.is_ejected(now)
            && step.required_label.as_ref().is_none_or(has_label);
        is_usable.then_some(view)
    }

    /// Entries that share the worker, at least one.
    pub(super) fn entries(&self) -> f64 {
        f64::from(self.report.entries.max(1))
    }

    /// What is free there, less what was ordered since the agent's report.
    pub(super) fn free_capacity(&self) -> Resources {
        let starts = self.unreported.iter();
        starts.fold(self.report.free, |free, (_, needs)| free.minus(*needs))
    }

    /// Whether another order like this may be sent before the agent's next report.
    ///
    /// Answers load that comes to all entries at once, above all the queues that have formed when the agents
    /// of a whole site are met again. Guards against orders that cross: each entry sees the same
    /// room and would fill it by itself, and the worker would turn all but one of them away, again and
    /// again. An entry therefore has no more under way than its share of the room that was reported;
    /// one that orders alone gets its share of what is left with each report, two milliseconds apart.
    pub(super) fn may_send_start(&self, needs: Resources) -> bool {
        let entries = u32::from(self.report.entries).max(1);
        let share = needs.times_in(self.report.free).div_ceil(entries);
        u32::try_from(self.unreported.len()).is_ok_and(|in_flight| in_flight < share)
    }

    /// Learns how its run times compare with the estimates.
    pub(super) fn record_run(&mut self, ran_ms: u64, estimate_ms: u64) {
        if estimate_ms == 0 {
            return;
        }
        let (lowest, highest) = SLOWNESS_BOUNDS;
        let ratio = (ran_ms as f64 / estimate_ms as f64).clamp(lowest, highest);
        self.slowness += (ratio - self.slowness) * SLOWNESS_WEIGHT;
    }
}
