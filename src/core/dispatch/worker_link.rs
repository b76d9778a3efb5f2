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
const SPEED_WEIGHT: f64 = 0.1;
/// Bounds of the learnt speed, so that one strange run can't spoil it.
const SPEED_BOUNDS: (f64, f64) = (0.25, 4.0);

/// A run that was ordered and is not known to be over.
#[derive(Debug, Clone, Copy)]
pub(super) struct OpenRun {
    pub(super) job: JobKey,
    /// The task's position in the job.
    pub(super) task: usize,
    pub(super) ordered_at: Instant,
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
    pub(super) stamped_at: Instant,
    /// When the agent was last heard.
    pub(super) heard_at: Instant,
    /// When the last beat was sent.
    pub(super) beat_at: Option<Instant>,
    /// Runs that may be at work there.
    pub(super) runs: BTreeMap<RunId, OpenRun>,
    /// What became of its tasks.
    pub(super) health: RunnerHealth,
    /// Nothing is ordered before then.
    pub(super) paused_until: Instant,
    /// Run time divided by the clients' estimates.
    pub(super) slowness: f64,
    /// An order was turned away for want of room; the agent keeps that in mind and offers room in turn.
    wishes: bool,
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
            stamped_at: now,
            heard_at: now,
            beat_at: None,
            runs: BTreeMap::new(),
            health: RunnerHealth::default(),
            paused_until: now,
            slowness: 1.0,
            wishes: false,
            report: CapacityReport::default(),
            starts_sent: 0,
            unreported: VecDeque::new(),
        }
    }

    /// Begins with a new session.
    pub(super) fn open(&mut self, now: Instant, link: LinkId, stamp_us: u64) {
        self.link = Some(link);
        self.view = None;
        self.heard_at = now;
        self.beat_at = None;
        self.stamp_us = stamp_us;
        self.stamped_at = now;
        self.wishes = false;
        self.report = CapacityReport::default();
        self.starts_sent = 0;
        self.unreported.clear();
    }

    pub(super) fn note_stamp(&mut self, now: Instant, stamp_us: u64) {
        if stamp_us > self.stamp_us {
            self.stamp_us = stamp_us;
            self.stamped_at = now;
        }
    }

    pub(super) fn note_start(&mut self, needs: Resources) {
        self.starts_sent += 1;
        self.unreported.push_back((self.starts_sent, needs));
    }

    pub(super) fn note_room(&mut self, report: CapacityReport) {
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
    pub(super) const fn note_no_room(&mut self) {
        self.wishes = true;
    }

    /// Whether room that the agent offers on account of an order that it turned away is left unused; it is
    /// to be told so once.
    pub(super) fn declines(&mut self) -> bool {
        let declines = self.wishes && self.report.free.cpu_milli > 0 && self.unreported.is_empty();
        self.wishes &= !declines;
        declines
    }

    /// The worker, if it takes tasks of this step at all.
    pub(super) fn usable_view(
        &self,
        now: Instant,
        job: &Job,
        step: &StepSpec,
        news: Option<&EvacuatedZones>,
    ) -> Option<&WorkerView> {
        let view = self.view.as_ref()?;
        let has_label = |label: &String| view.labels.contains(label);
        let is_evacuated =
            news.is_some_and(|news| news.evacuated.contains(&view.availability_zone));
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
    pub(super) fn free(&self) -> Resources {
        let ordered = self.unreported.iter();
        ordered.fold(self.report.free, |free, (_, needs)| free.minus(*needs))
    }

    /// Whether another order like this may be sent before the agent's next report.
    ///
    /// Answers load that comes to all entries at once, above all the queues that have formed when the agents
    /// of a whole site are met again. Guards against orders that cross: each entry sees the same
    /// room and would fill it by itself, and the worker would turn all but one of them away, again and
    /// again. An entry therefore has no more under way than its share of the room that was reported;
    /// one that orders alone gets its share of what is left with each report, two milliseconds apart.
    pub(super) fn may_order(&self, needs: Resources) -> bool {
        let entries = u32::from(self.report.entries).max(1);
        let share = needs.times_in(self.report.free).div_ceil(entries);
        u32::try_from(self.unreported.len()).is_ok_and(|under_way| under_way < share)
    }

    /// Learns how its run times compare with the estimates.
    pub(super) fn note_run(&mut self, ran_ms: u64, estimate_ms: u64) {
        if estimate_ms == 0 {
            return;
        }
        let (least, most) = SPEED_BOUNDS;
        let ratio = (ran_ms as f64 / estimate_ms as f64).clamp(least, most);
        self.slowness += (ratio - self.slowness) * SPEED_WEIGHT;
    }
}
