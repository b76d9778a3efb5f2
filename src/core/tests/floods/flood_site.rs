//! Entries, agents and workers without faults, under a load of several queues.

use {
    super::flood_load::{FloodQueue, Received},
    crate::{
        core::{
            dispatch::{
                DispatchAction, DispatchEvent, DispatchLogEvent, DispatchSettings, Dispatcher,
                JobOutcome, LinkId, Submission, WaiterId,
            },
            execution::{ExecutionAction, ExecutionEvent, Executor, ExecutorSettings, SessionId},
            link::{AgentFrame, EntryFrame, RunOutcome},
            routes::Route,
            time::Instant,
            work::{JobId, Resources, RunLimits, WorkerView},
        },
        standin::WorkerModel,
    },
    rand::{RngExt, SeedableRng},
    rand_chacha::ChaCha8Rng,
    std::{collections::BTreeMap, sync::Arc},
};

pub(super) const WORKERS: usize = 24;
const CORES_PER_WORKER: u32 = 16;
pub(super) const CORES: f64 = WORKERS as f64 * CORES_PER_WORKER as f64;
/// One-way latency between entries and agents, in microseconds.
const LATENCY_US: u64 = 1_400;
/// Delay until a worker answers a long poll, in microseconds.
const POLL_DELAY_US: u64 = 3_000;
const TICK_MS: u64 = 20;
const WORKER_REPORT_MS: u64 = 1_500;
/// Time that a client waits, in milliseconds.
const CLIENT_TIMEOUT_MS: u64 = 1_500;
/// Time until all sessions are open, in milliseconds; jobs arrive from then on.
pub(super) const READY_AFTER_MS: u64 = 1_500;

#[derive(Debug)]
enum Event {
    ToEntry(usize, DispatchEvent),
    ToAgent(usize, ExecutionEvent),
    EntryTick(usize),
    AgentTick(usize),
    WorkerCall(usize, ExecutionAction),
    WorkerReport(usize),
    Connect(usize),
    Arrival { entry: usize, queue: usize },
}

/// Changes a frame in transit, to simulate wrong figures: the time since the start in milliseconds,
/// the entry or agent that sends it, and the frame.
#[derive(Debug, Clone, Copy)]
pub(super) struct Tampering {
    pub(super) of_entry: fn(u64, usize, &mut EntryFrame),
    pub(super) of_agent: fn(u64, usize, &mut AgentFrame),
}

impl Tampering {
    pub(super) const NONE: Self = Self {
        of_entry: |_, _, _| {},
        of_agent: |_, _, _| {},
    };
}

/// A site, its clock and its load.
pub(super) struct FloodSite {
    queues: Vec<(FloodQueue, Arc<Route>)>,
    /// Part of the load that arrives at each entry.
    entry_shares: Vec<f64>,
    /// Factor of a queue's usual load at a time in milliseconds.
    factor: fn(u64, usize) -> f64,
    tampering: Tampering,
    now: Instant,
    started_at: Instant,
    arrival_rng: ChaCha8Rng,
    run_rng: ChaCha8Rng,
    events: BTreeMap<(Instant, u64), Event>,
    last_event: u64,
    entries: Vec<Dispatcher>,
    agents: Vec<Executor>,
    workers: Vec<WorkerModel>,
    is_connected: Vec<bool>,
    /// Entry, queue and time of submission of open calls.
    calls: BTreeMap<u64, (usize, usize, Instant)>,
    last_call: u64,
    /// By second of submission, queue and entry.
    received: BTreeMap<(u64, usize, usize), Received>,
    /// Log lines of levels: time in milliseconds, entry and queue.
    pub(super) level_lines: Vec<(u64, usize, String)>,
}

impl FloodSite {
    pub(super) fn new(
        seed: u64,
        queues: &[FloodQueue],
        entry_shares: &[f64],
        factor: fn(u64, usize) -> f64,
        tampering: Tampering,
    ) -> Self {
        let now = Instant::from_millis(10_000);
        let limits = RunLimits::for_resend(1_300, 50);
        let entries = 0..entry_shares.len() as u64;
        let entries = entries.map(|seed| {
            Dispatcher::new(DispatchSettings {
                limits,
                remote_penalty_permille: 1_000,
                seed,
            })
        });
        let agents = (0..WORKERS).map(|agent| {
            Executor::new(ExecutorSettings {
                agent: format!("agent-{agent}"),
                service: "shares".to_owned(),
                limits,
                first_token: 1,
            })
        });
        let workers = (0..WORKERS)
            .map(|worker| WorkerModel::new(now, format!("w{worker}"), 1_000, 0, usize::MAX));
        let mut site = Self {
            queues: queues
                .iter()
                .map(|queue| (*queue, Arc::new(queue.route())))
                .collect(),
            entry_shares: entry_shares.to_vec(),
            factor,
            tampering,
            now,
            started_at: now,
            arrival_rng: ChaCha8Rng::seed_from_u64(seed),
            run_rng: ChaCha8Rng::seed_from_u64(seed),
            events: BTreeMap::new(),
            last_event: 0,
            entries: entries.collect(),
            agents: agents.collect(),
            workers: workers.collect(),
            is_connected: vec![false; WORKERS],
            calls: BTreeMap::new(),
            last_call: 0,
            received: BTreeMap::new(),
            level_lines: Vec::new(),
        };
        site.schedule_first_events();
        site
    }

    fn schedule_first_events(&mut self) {
        for agent in 0..WORKERS {
            self.schedule(0, Event::WorkerReport(agent));
            self.schedule(agent as u64 * 1_000, Event::AgentTick(agent));
        }
        for entry in 0..self.entries.len() {
            self.schedule(entry as u64 * 1_000, Event::EntryTick(entry));
            for queue in 0..self.queues.len() {
                let event = Event::Arrival { entry, queue };
                self.schedule(READY_AFTER_MS * 1_000, event);
            }
        }
    }

    fn schedule(&mut self, delay_us: u64, event: Event) {
        self.last_event += 1;
        let when = self.now.plus_micros(delay_us);
        self.events.insert((when, self.last_event), event);
    }

    fn elapsed_ms(&self) -> u64 {
        self.now.millis_since(self.started_at)
    }

    pub(super) fn run(&mut self, until_ms: u64) {
        let end = self.started_at.plus_ms(until_ms);
        while let Some(((when, _), event)) = self.events.pop_first()
            && when <= end
        {
            self.now = when;
            self.handle_event(event);
        }
    }

    fn handle_event(&mut self, event: Event) {
        match event {
            Event::ToEntry(entry, event) => self.handle_entry_event(entry, event),
            Event::ToAgent(agent, event) => self.handle_agent_event(agent, event),
            Event::EntryTick(entry) => {
                self.schedule(TICK_MS * 1_000, Event::EntryTick(entry));
                self.handle_entry_event(entry, DispatchEvent::Tick);
            }
            Event::AgentTick(agent) => {
                self.schedule(TICK_MS * 1_000, Event::AgentTick(agent));
                self.handle_agent_event(agent, ExecutionEvent::Tick);
            }
            Event::WorkerCall(worker, call) => self.handle_worker_call(worker, call),
            Event::WorkerReport(worker) => self.report_worker(worker),
            Event::Connect(agent) => self.connect(agent),
            Event::Arrival { entry, queue } => self.submit(entry, queue),
        }
    }

    /// Submits a job, and schedules the next one by a Poisson process.
    fn submit(&mut self, entry: usize, queue: usize) {
        let (load, route) = self.queues[queue].clone();
        let elapsed_ms = self.elapsed_ms();
        let usual = load.per_second * self.entry_shares[entry];
        let per_second = usual * (self.factor)(elapsed_ms, queue);
        if per_second <= 0.0 {
            self.schedule(20_000, Event::Arrival { entry, queue });
            return;
        }
        let uniform: f64 = self.arrival_rng.random_range(f64::MIN_POSITIVE..1.0);
        let gap_us = -uniform.ln() / per_second * 1e6;
        self.schedule(gap_us as u64, Event::Arrival { entry, queue });
        self.last_call += 1;
        let call = self.last_call;
        self.calls.insert(call, (entry, queue, self.now));
        let received = self.received.entry((elapsed_ms / 1_000, queue, entry));
        received.or_default().submitted += 1;
        let submission = Submission {
            waiter: WaiterId(call),
            // The worker derives the run time from the number.
            id: JobId::of_number(call * 8 + queue as u64),
            request: load.request(),
            route,
            time_left_ms: CLIENT_TIMEOUT_MS,
        };
        self.handle_entry_event(entry, DispatchEvent::Submit(submission));
    }

    fn handle_entry_event(&mut self, entry: usize, event: DispatchEvent) {
        let elapsed_ms = self.elapsed_ms();
        for action in self.entries[entry].handle(self.now, [event]) {
            match action {
                DispatchAction::Send { link, mut frame } => {
                    (self.tampering.of_entry)(elapsed_ms, entry, &mut frame);
                    let session = SessionId(link.0);
                    let event = ExecutionEvent::Frame { session, frame };
                    let agent = link.0 as usize % WORKERS;
                    self.schedule(LATENCY_US, Event::ToAgent(agent, event));
                }
                DispatchAction::Reply { waiter, outcome } => self.receive(waiter.0, outcome),
                DispatchAction::Log(DispatchLogEvent::QueueLevel { queue, .. }) => {
                    self.level_lines.push((elapsed_ms, entry, queue));
                }
                DispatchAction::Close { link } => panic!("{link:?} is closed"),
                DispatchAction::Log(_)
                | DispatchAction::SetQueueLevel { .. }
                | DispatchAction::ReplyToCancellation { .. }
                | DispatchAction::ApplyEvacuatedZones(_)
                | DispatchAction::ApplyDocument(_) => {}
            }
        }
    }

    fn receive(&mut self, call: u64, outcome: JobOutcome) {
        let Some((entry, queue, submitted_at)) = self.calls.remove(&call) else {
            return;
        };
        let second = submitted_at.millis_since(self.started_at) / 1_000;
        let received = self.received.entry((second, queue, entry)).or_default();
        let took_ms = self.now.millis_since(submitted_at);
        match outcome {
            JobOutcome::Completed if took_ms <= self.queues[queue].0.objective_ms() => {
                received.in_time += 1;
            }
            JobOutcome::Completed => received.late += 1,
            JobOutcome::NotRun { .. } => received.refused += 1,
            JobOutcome::Failed
            | JobOutcome::FailedByCrashes
            | JobOutcome::Cancelled
            | JobOutcome::GivenUp(_) => {
                received.other += 1;
            }
        }
    }

    fn handle_agent_event(&mut self, agent: usize, event: ExecutionEvent) {
        let elapsed_ms = self.elapsed_ms();
        for action in self.agents[agent].handle(self.now, event) {
            match action {
                ExecutionAction::Send { session, mut frame } => {
                    (self.tampering.of_agent)(elapsed_ms, agent, &mut frame);
                    let link = LinkId(session.0);
                    let event = DispatchEvent::Frame { link, frame };
                    let entry = session.0 as usize / WORKERS;
                    self.schedule(LATENCY_US, Event::ToEntry(entry, event));
                }
                ExecutionAction::StaleRunsStopped => self.schedule(0, Event::Connect(agent)),
                ExecutionAction::Hold(call) if call.wait_ms > 0 => {
                    let call = ExecutionAction::Hold(call);
                    self.schedule(POLL_DELAY_US, Event::WorkerCall(agent, call));
                }
                ExecutionAction::Start(_) | ExecutionAction::Stop(_) | ExecutionAction::Hold(_) => {
                    self.schedule(300, Event::WorkerCall(agent, action));
                }
                ExecutionAction::Close { session } => panic!("{session:?} is closed"),
                ExecutionAction::SessionDrained { .. }
                | ExecutionAction::ReadZones { .. }
                | ExecutionAction::PersistWorker(_)
                | ExecutionAction::Log(_) => {}
            }
        }
    }

    fn connect(&mut self, agent: usize) {
        if std::mem::replace(&mut self.is_connected[agent], true) {
            return;
        }
        for entry in 0..self.entries.len() {
            let event = ExecutionEvent::SessionOpened {
                session: SessionId((entry * WORKERS + agent) as u64),
                entry: format!("entry-{entry}"),
            };
            self.handle_agent_event(agent, event);
        }
    }

    fn report_worker(&mut self, worker: usize) {
        self.schedule(WORKER_REPORT_MS * 1_000, Event::WorkerReport(worker));
        let model = &mut self.workers[worker];
        model.reports += 1;
        let view = WorkerView {
            life: model.incarnation.clone(),
            service: "shares".to_owned(),
            availability_zone: "north".to_owned(),
            capacity: Resources {
                cpu_milli: CORES_PER_WORKER * 1_000,
                ..Resources::default()
            },
            labels: Vec::new(),
            draining: false,
        };
        let sequence = model.reports;
        self.handle_agent_event(worker, ExecutionEvent::Heartbeat { view, sequence });
        self.schedule(800_000, Event::Connect(worker));
    }

    fn handle_worker_call(&mut self, worker: usize, call: ExecutionAction) {
        let now = self.now;
        let model = &mut self.workers[worker];
        model.advance(now);
        let event = match call {
            ExecutionAction::Start(call) => {
                let queue = (call.task.job.0 % 8) as usize;
                let spread = self.run_rng.random_range(0.6..1.4);
                let run_ms = (self.queues[queue].0.estimate_ms as f64 * spread) as u64;
                let (response, _) = model.start(now, &call, run_ms, RunOutcome::Done);
                ExecutionEvent::StartAnswered { call, response }
            }
            ExecutionAction::Stop(call) => {
                let confirmed = model.stop(&call);
                ExecutionEvent::StopAnswered { call, confirmed }
            }
            ExecutionAction::Hold(call) => {
                let response = model.hold(now, &call);
                ExecutionEvent::HoldAnswered { call, response }
            }
            _ => return,
        };
        self.handle_agent_event(worker, event);
    }

    /// What the clients of a queue received for the jobs that they submitted in these seconds.
    pub(super) fn received(&self, queue: usize, seconds: std::ops::Range<u64>) -> Received {
        let entries = 0..self.entries.len();
        let received = entries.map(|entry| self.received_at(entry, queue, seconds.clone()));
        received.fold(Received::default(), Received::plus)
    }

    /// The same from one entry.
    pub(super) fn received_at(
        &self,
        entry: usize,
        queue: usize,
        seconds: std::ops::Range<u64>,
    ) -> Received {
        let received = seconds.filter_map(|second| self.received.get(&(second, queue, entry)));
        received.fold(Received::default(), |sum, received| sum.plus(*received))
    }
}
