//! The simulated world.

use {
    super::{
        chance::Chance,
        checks::Checks,
        client_model::{ClientModel, RESEND_MS},
        faults::Fault,
        link_model::LinkModel,
    },
    crate::core::{
        dispatch::{
            DispatchAction, DispatchEvent, DispatchSettings, Dispatcher, JobOutcome, LinkId,
            Submission, WaiterId,
        },
        document::Document,
        execution::{
            ExecutionAction, ExecutionEvent, Executor, ExecutorSettings, HoldResponse, SessionId,
            StartResponse,
        },
        link::{AgentFrame, EntryFrame, EvacuatedZones, RunOutcome},
        routes::Route,
        time::Instant,
        work::{JobId, JobRequest, Resources, RunLimits, StepSpec, WorkerView},
    },
    crate::standin::WorkerModel,
    std::{
        collections::{BTreeMap, BTreeSet},
        sync::Arc,
    },
};

const ENTRIES: usize = 3;
const WORKERS: usize = 4;
/// Tasks that a worker runs at a time.
const ROOM: usize = 4;
const ZONES: [&str; 2] = ["north", "south"];
/// Time in which jobs come and faults begin, in milliseconds.
const BUSY_MS: u64 = 12_000;
/// Time after which all must be over, in milliseconds.
const END_MS: u64 = 32_000;
pub(super) const JOBS: u64 = 60;
const FAULTS: u64 = 7;
const TICK_MS: u64 = 20;
const HEARTBEAT_MS: u64 = 1_500;
/// Time in which an agent that starts reads what an earlier process knew of its worker, in milliseconds.
const RECALL_MS: u64 = 8;

/// Who goes by which bounds.
#[derive(Debug, Clone, Copy)]
pub(super) struct Setup {
    pub(super) entry_limits: RunLimits,
    pub(super) agent_limits: RunLimits,
}

impl Setup {
    /// As shipped.
    pub(super) fn sound() -> Self {
        let limits = RunLimits::for_resend(RESEND_MS, 50);
        Self {
            entry_limits: limits,
            agent_limits: limits,
        }
    }
}

#[derive(Debug)]
enum Event {
    EntryTick {
        entry: usize,
        life: u64,
    },
    AgentTick {
        agent: usize,
        life: u64,
    },
    WorkerTick {
        worker: usize,
    },
    DialFirst {
        agent: usize,
        life: u64,
    },
    Dial {
        entry: usize,
        agent: usize,
        life: u64,
    },
    ToEntry {
        link: u64,
        frame: AgentFrame,
    },
    ToAgent {
        link: u64,
        frame: EntryFrame,
    },
    Read {
        call: (usize, u64, u64),
        event: DispatchEvent,
    },
    LostAtEntry {
        link: u64,
    },
    LostAtAgent {
        link: u64,
    },
    Call {
        worker: usize,
        life: u64,
        action: ExecutionAction,
        answered: bool,
    },
    Answered {
        agent: usize,
        life: u64,
        event: ExecutionEvent,
    },
    Heartbeat {
        worker: usize,
    },
    Submit {
        client: usize,
    },
    ClientAnswer {
        client: usize,
        call: (usize, u64, u64),
        outcome: JobOutcome,
    },
    ClientBreak {
        client: usize,
    },
    ClientDeadline {
        client: usize,
    },
    Fault(Fault),
    StartEntry {
        entry: usize,
    },
    StartAgent {
        agent: usize,
    },
    Reborn {
        worker: usize,
        same_name: bool,
    },
    EndFault(Fault),
}

#[derive(Debug)]
struct Process<M> {
    machine: Option<M>,
    life: u64,
    suspended_until: Instant,
}

impl<M> Process<M> {
    fn is(&self, life: u64) -> bool {
        self.machine.is_some() && self.life == life
    }
}

/// Everything, at one moment.
#[derive(Debug)]
pub(super) struct World {
    setup: Setup,
    chance: Chance,
    now: Instant,
    events: BTreeMap<(Instant, u64), Event>,
    last_event: u64,
    entries: Vec<Process<Dispatcher>>,
    agents: Vec<Process<Executor>>,
    workers: Vec<WorkerModel>,
    alive: Vec<bool>,
    dialled: Vec<bool>,
    late_orders: Vec<(u64, Instant)>,
    worker_cut_until: Vec<Instant>,
    /// What agents have kept of their workers.
    kept_workers: BTreeMap<usize, WorkerView>,
    silent: BTreeMap<(usize, usize), Instant>,
    links: BTreeMap<u64, LinkModel>,
    last_link: u64,
    clients: Vec<ClientModel>,
    waiters: BTreeMap<(usize, u64, u64), usize>,
    last_waiter: u64,
    news: EvacuatedZones,
    evacuated_at: Option<Instant>,
    pub(super) checks: Checks,
}

impl World {
    pub(super) fn new(seed: u64, setup: Setup) -> Self {
        let mut world = Self {
            setup,
            chance: Chance::new(seed),
            now: Instant::from_millis(1_000),
            events: BTreeMap::new(),
            last_event: 0,
            entries: Vec::new(),
            agents: Vec::new(),
            workers: Vec::new(),
            alive: vec![true; WORKERS],
            dialled: vec![false; WORKERS],
            late_orders: vec![(0, Instant::default()); WORKERS],
            worker_cut_until: vec![Instant::default(); WORKERS],
            kept_workers: BTreeMap::new(),
            silent: BTreeMap::new(),
            links: BTreeMap::new(),
            last_link: 0,
            clients: Vec::new(),
            waiters: BTreeMap::new(),
            last_waiter: 0,
            news: EvacuatedZones {
                version: 1,
                evacuated: BTreeSet::new(),
            },
            evacuated_at: None,
            checks: Checks::default(),
        };
        world.set_up();
        world
    }

    fn set_up(&mut self) {
        for entry in 0..ENTRIES {
            self.entries.push(Process {
                machine: None,
                life: 0,
                suspended_until: self.now,
            });
            self.at_ms(0, Event::StartEntry { entry });
        }
        for worker in 0..WORKERS {
            let slow = self.chance.between(0, 21);
            let model = WorkerModel::new(self.now, format!("w{worker}"), 1_000, slow, ROOM);
            self.workers.push(model);
            self.agents.push(Process {
                machine: None,
                life: 0,
                suspended_until: self.now,
            });
            self.at_ms(0, Event::StartAgent { agent: worker });
            self.at_ms(5, Event::WorkerTick { worker });
            self.at_ms(100, Event::Heartbeat { worker });
        }
        for client in 0..JOBS {
            let at_ms = self.chance.between(2_000, 2_000 + BUSY_MS);
            self.add_client(client, at_ms);
        }
        for _ in 0..FAULTS {
            let fault = Fault::draw(&mut self.chance, ENTRIES, WORKERS);
            let at_ms = self.chance.between(1_500, 2_000 + BUSY_MS);
            self.at_ms(at_ms, Event::Fault(fault));
        }
    }

    fn add_client(&mut self, number: u64, at_ms: u64) {
        let patience_ms = self.chance.between(1_500, 7_000);
        self.clients.push(ClientModel {
            job: JobId(number + 1),
            tasks: self.chance.between(1, 4) as u16,
            // One job in four runs longer than a client waits before it sends a job again.
            run_ms: if self.chance.percent(25) {
                self.chance.between(900, 3_000)
            } else {
                self.chance.between(50, 900)
            },
            deadline: self.now.plus_ms(at_ms + patience_ms),
            call: None,
            calls: 0,
            not_run: 0,
            heard: false,
            ended: false,
        });
        let client = number as usize;
        self.at_ms(at_ms, Event::Submit { client });
        self.at_ms(at_ms + patience_ms, Event::ClientDeadline { client });
    }

    fn at(&mut self, when: Instant, event: Event) {
        self.last_event += 1;
        self.events.insert((when, self.last_event), event);
    }

    fn at_ms(&mut self, delay_ms: u64, event: Event) {
        let when = self.now.plus_ms(delay_ms);
        self.at(when, event);
    }

    fn soon(&mut self, event: Event) {
        let delay_us = self.chance.between(100, 3_000);
        let when = self.now.plus_micros(delay_us);
        self.at(when, event);
    }

    fn trace(&mut self, what: String) {
        let at_ms = self.now.as_micros() as f64 / 1_000.0;
        self.checks.trace.push(format!("{at_ms:10.1} {what}"));
    }

    /// Plays to the end, or to the first broken promise.
    pub(super) fn play(&mut self) {
        let end = self.now.plus_ms(END_MS);
        while let Some(((when, _), event)) = self.events.pop_first() {
            if when > end || !self.checks.broken.is_empty() {
                break;
            }
            self.now = when;
            self.react(event);
        }
        if self.checks.broken.is_empty() {
            self.check_end();
        }
    }

    fn check_end(&mut self) {
        for client in 0..self.clients.len() {
            if !self.clients[client].ended {
                self.checks
                    .break_promise(format!("client {client} never heard"));
            }
        }
        for worker in 0..WORKERS {
            let left = self.runs_at(worker);
            if left > 0 {
                self.checks
                    .break_promise(format!("{left} runs are left at worker {worker}"));
            }
        }
        let open: usize = self
            .entries
            .iter()
            .filter_map(|entry| entry.machine.as_ref())
            .map(Dispatcher::open_jobs)
            .sum();
        let runs: usize = self
            .agents
            .iter()
            .filter_map(|agent| agent.machine.as_ref())
            .map(Executor::run_count)
            .sum();
        if open + runs > 0 {
            let what = format!("{open} jobs at entries and {runs} runs at agents are left");
            self.checks.break_promise(what);
        }
    }

    fn react(&mut self, event: Event) {
        match event {
            Event::EntryTick { entry, life } => {
                if self.entries[entry].is(life) {
                    let wakes_at = self.entries[entry].suspended_until;
                    if wakes_at > self.now {
                        // Others of the events that wait go first.
                        self.at(wakes_at, Event::EntryTick { entry, life });
                        return;
                    }
                    self.at_ms(TICK_MS, Event::EntryTick { entry, life });
                    self.feed_entry(entry, DispatchEvent::Tick);
                }
            }
            Event::AgentTick { agent, life } => {
                if self.agents[agent].is(life) {
                    self.at_ms(TICK_MS, Event::AgentTick { agent, life });
                    self.feed_agent(agent, ExecutionEvent::Tick);
                }
            }
            Event::WorkerTick { worker } => self.tick_worker(worker),
            Event::DialFirst { agent, life } => {
                if self.agents[agent].is(life) {
                    self.dial_first(agent);
                }
            }
            Event::Dial { entry, agent, life } => self.dial(entry, agent, life),
            Event::ToEntry { link, frame } => self.deliver_to_entry(link, frame),
            Event::ToAgent { link, frame } => self.deliver_to_agent(link, frame),
            Event::Read { call, event } => self.wake_and_feed(call, event),
            Event::LostAtEntry { link } => self.lose_at_entry(link),
            Event::LostAtAgent { link } => self.lose_at_agent(link),
            Event::Call {
                worker,
                life,
                action,
                answered,
            } => self.carry_out_call(worker, life, action, answered),
            Event::Answered { agent, life, event } => {
                if self.agents[agent].is(life) {
                    self.feed_agent(agent, event);
                }
            }
            Event::Heartbeat { worker } => self.heartbeat(worker),
            Event::Submit { client } => self.submit(client),
            Event::ClientAnswer {
                client,
                call,
                outcome,
            } => self.answer_client(client, call, outcome),
            Event::ClientBreak { client } => self.break_client(client),
            Event::ClientDeadline { client } => self.end_client(client),
            Event::Fault(fault) => self.begin(fault),
            Event::EndFault(fault) => self.end_fault(fault),
            Event::StartEntry { entry } => self.start_entry(entry),
            Event::StartAgent { agent } => self.start_agent(agent),
            Event::Reborn { worker, same_name } => self.reborn(worker, same_name),
        }
    }

    // Entries.

    fn start_entry(&mut self, entry: usize) {
        let settings = DispatchSettings {
            limits: self.setup.entry_limits,
            seed: entry as u64,
        };
        let process = &mut self.entries[entry];
        process.life += 1;
        process.machine = Some(Dispatcher::new(settings));
        process.suspended_until = self.now;
        let life = process.life;
        self.at_ms(TICK_MS, Event::EntryTick { entry, life });
        let news = self.news.clone();
        self.feed_entry(entry, DispatchEvent::EvacuatedZones(news));
        let document = Document {
            revision: 1,
            text: Arc::from(&b"{}"[..]),
        };
        self.feed_entry(entry, DispatchEvent::Document(document));
    }

    /// Feeds an entry now, or when it wakes.
    fn feed_entry(&mut self, entry: usize, event: DispatchEvent) {
        let now = self.now;
        let process = &mut self.entries[entry];
        let Some(dispatcher) = &mut process.machine else {
            return;
        };
        let actions = dispatcher.handle(now, [event]);
        for action in actions {
            self.act_for_entry(entry, action);
        }
    }

    fn act_for_entry(&mut self, entry: usize, action: DispatchAction) {
        let life = self.entries[entry].life;
        match action {
            DispatchAction::Send { link, frame } => self.send_to_agent(link.0, frame),
            DispatchAction::Close { link } => {
                if let Some(model) = self.links.get_mut(&link.0) {
                    model.open_at_entry = false;
                    let at = model.arrival(self.now, 1, 1_000);
                    self.at(at, Event::LostAtAgent { link: link.0 });
                }
            }
            DispatchAction::Reply { waiter, outcome } => {
                let call = (entry, life, waiter.0);
                if let Some(client) = self.waiters.remove(&call) {
                    self.soon(Event::ClientAnswer {
                        client,
                        call,
                        outcome,
                    });
                }
            }
            DispatchAction::ApplyEvacuatedZones(news) => {
                self.feed_entry(entry, DispatchEvent::EvacuatedZones(news))
            }
            DispatchAction::ApplyDocument(document) => {
                self.feed_entry(entry, DispatchEvent::Document(document));
            }
            DispatchAction::Log(note) => self.trace(format!("entry {entry}: {note:?}")),
        }
    }

    fn send_to_agent(&mut self, link: u64, frame: EntryFrame) {
        let delay_us = self.chance.between(200, 2_500);
        let now = self.now;
        if let Some(model) = self.links.get_mut(&link)
            && model.open_at_entry
        {
            let at = model.arrival(now, 1, delay_us);
            self.at(at, Event::ToAgent { link, frame });
        }
    }

    fn send_to_entry(&mut self, link: u64, frame: AgentFrame) {
        let delay_us = self.chance.between(200, 2_500);
        let now = self.now;
        if let Some(model) = self.links.get_mut(&link)
            && model.open_at_agent
        {
            let at = model.arrival(now, 0, delay_us);
            self.at(at, Event::ToEntry { link, frame });
        }
    }

    fn deliver_to_entry(&mut self, link: u64, frame: AgentFrame) {
        let Some(model) = self.links.get(&link) else {
            return;
        };
        let (entry, life) = (model.entry, model.lives.0);
        if !model.open_at_entry || !self.entries[entry].is(life) {
            return;
        }
        let wakes_at = self.entries[entry].suspended_until;
        if wakes_at > self.now {
            self.at(wakes_at, Event::ToEntry { link, frame });
            return;
        }
        let link = LinkId(link);
        self.feed_entry(entry, DispatchEvent::Frame { link, frame });
    }

    fn lose_at_entry(&mut self, link: u64) {
        let Some(model) = self.links.get_mut(&link) else {
            return;
        };
        let (entry, life) = (model.entry, model.lives.0);
        if !self.entries[entry].is(life) {
            return;
        }
        let wakes_at = self.entries[entry].suspended_until;
        if wakes_at > self.now {
            self.at(wakes_at, Event::LostAtEntry { link });
            return;
        }
        if std::mem::replace(&mut model.open_at_entry, false) {
            let link = LinkId(link);
            self.feed_entry(entry, DispatchEvent::LinkLost { link });
        }
    }

    // Agents.

    fn start_agent(&mut self, agent: usize) {
        let token = 1 + self.now.as_micros() / 1_000_000;
        let settings = ExecutorSettings {
            agent: format!("agent-{agent}"),
            service: "shares".to_owned(),
            limits: self.setup.agent_limits,
            first_token: token,
        };
        let lapse_ms = settings.limits.max_lease_ms() + 60;
        let process = &mut self.agents[agent];
        process.life += 1;
        process.machine = Some(Executor::new(settings));
        process.suspended_until = self.now;
        let life = process.life;
        self.at_ms(TICK_MS, Event::AgentTick { agent, life });
        self.dialled[agent] = false;
        self.at_ms(lapse_ms, Event::DialFirst { agent, life });
        if let Some(view) = self.kept_workers.get(&agent).cloned() {
            let event = ExecutionEvent::WorkerRestored { view };
            self.at_ms(RECALL_MS, Event::Answered { agent, life, event });
        }
    }

    /// Dials all entries, unless this life of the agent has done so.
    fn dial_first(&mut self, agent: usize) {
        if std::mem::replace(&mut self.dialled[agent], true) {
            return;
        }
        let life = self.agents[agent].life;
        for entry in 0..ENTRIES {
            self.at_ms(0, Event::Dial { entry, agent, life });
        }
    }

    fn dial(&mut self, entry: usize, agent: usize, life: u64) {
        if !self.agents[agent].is(life) {
            return;
        }
        let wakes_at = self.agents[agent].suspended_until;
        if wakes_at > self.now {
            self.at(wakes_at, Event::Dial { entry, agent, life });
            return;
        }
        let silent = self
            .silent
            .get(&(entry, agent))
            .is_some_and(|until| *until > self.now);
        if silent || self.entries[entry].machine.is_none() {
            self.at_ms(100, Event::Dial { entry, agent, life });
            return;
        }
        self.last_link += 1;
        let link = self.last_link;
        let model = LinkModel {
            entry,
            agent,
            lives: (self.entries[entry].life, life),
            silent_until: self.now,
            arrival: [self.now; 2],
            open_at_entry: true,
            open_at_agent: true,
        };
        self.links.insert(link, model);
        let opened = ExecutionEvent::SessionOpened {
            session: SessionId(link),
            entry: format!("entry-{entry}"),
        };
        self.feed_agent(agent, opened);
    }

    fn deliver_to_agent(&mut self, link: u64, frame: EntryFrame) {
        let Some(model) = self.links.get(&link) else {
            return;
        };
        let (agent, life) = (model.agent, model.lives.1);
        if !model.open_at_agent || !self.agents[agent].is(life) {
            return;
        }
        let wakes_at = self.agents[agent].suspended_until;
        if wakes_at > self.now {
            self.at(wakes_at, Event::ToAgent { link, frame });
            return;
        }
        let session = SessionId(link);
        self.feed_agent(agent, ExecutionEvent::Frame { session, frame });
    }

    fn lose_at_agent(&mut self, link: u64) {
        let Some(model) = self.links.get_mut(&link) else {
            return;
        };
        let (agent, life) = (model.agent, model.lives.1);
        if !self.agents[agent].is(life) {
            return;
        }
        let wakes_at = self.agents[agent].suspended_until;
        if wakes_at > self.now {
            self.at(wakes_at, Event::LostAtAgent { link });
            return;
        }
        if std::mem::replace(&mut model.open_at_agent, false) {
            let session = SessionId(link);
            self.feed_agent(agent, ExecutionEvent::SessionLost { session });
        }
    }

    fn feed_agent(&mut self, agent: usize, event: ExecutionEvent) {
        let now = self.now;
        let process = &mut self.agents[agent];
        if process.suspended_until > now {
            let (life, at) = (process.life, process.suspended_until);
            self.at(at, Event::Answered { agent, life, event });
            return;
        }
        let Some(executor) = &mut process.machine else {
            return;
        };
        let actions = executor.handle(now, event);
        for action in actions {
            self.act_for_agent(agent, action);
        }
    }

    fn act_for_agent(&mut self, agent: usize, action: ExecutionAction) {
        match action {
            ExecutionAction::Send { session, frame } => self.send_to_entry(session.0, frame),
            ExecutionAction::Close { session } => {
                let now = self.now;
                if let Some(model) = self.links.get_mut(&session.0) {
                    model.open_at_agent = false;
                    let at = model.arrival(now, 0, 1_000);
                    self.at(at, Event::LostAtEntry { link: session.0 });
                }
            }
            ExecutionAction::SessionDrained { session } => {
                if let Some(model) = self.links.get(&session.0) {
                    let (entry, life) = (model.entry, model.lives.1);
                    self.at_ms(20, Event::Dial { entry, agent, life });
                }
            }
            ExecutionAction::StaleRunsStopped => self.dial_first(agent),
            ExecutionAction::PersistWorker(view) => {
                self.kept_workers.insert(agent, view);
            }
            ExecutionAction::Log(note) => self.trace(format!("agent {agent}: {note:?}")),
            ExecutionAction::Start(_) | ExecutionAction::Stop(_) | ExecutionAction::Hold(_) => {
                self.call_worker(agent, action);
            }
        }
    }

    // Workers.

    /// Sends a call; it may be lost, answered, or carried out seconds later without an answer.
    fn call_worker(&mut self, agent: usize, action: ExecutionAction) {
        let life = self.agents[agent].life;
        let (percent, until) = self.late_orders[agent];
        let cut = self.worker_cut_until[agent] > self.now;
        let late = self.now < until && self.chance.percent(percent);
        if cut || late {
            let given_up = unanswered(&action);
            self.at_ms(
                160,
                Event::Answered {
                    agent,
                    life,
                    event: given_up,
                },
            );
            if late {
                let delay_ms = self.chance.between(2_000, 12_000);
                let lost_answer = self.chance.percent(30);
                let delay_ms = if lost_answer { 1 } else { delay_ms };
                self.at_ms(
                    delay_ms,
                    Event::Call {
                        worker: agent,
                        life,
                        action,
                        answered: false,
                    },
                );
            }
            return;
        }
        // A call that waits for ends is answered when the next tick of the model has some.
        let delay_us = match &action {
            ExecutionAction::Hold(call) if call.wait_ms > 0 => self.chance.between(300, 30_000),
            _ => self.chance.between(100, 2_000),
        };
        let at = self.now.plus_micros(delay_us);
        self.at(
            at,
            Event::Call {
                worker: agent,
                life,
                action,
                answered: true,
            },
        );
    }

    fn carry_out_call(
        &mut self,
        worker: usize,
        life: u64,
        action: ExecutionAction,
        answered: bool,
    ) {
        self.tick_ends(worker);
        let now = self.now;
        let event = if self.alive[worker] {
            match action {
                ExecutionAction::Start(call) => {
                    let response = self.start_at_worker(worker, &call);
                    ExecutionEvent::StartAnswered { call, response }
                }
                ExecutionAction::Stop(call) => {
                    let meant = call.worker == self.workers[worker].incarnation.id;
                    let confirmed = meant && self.workers[worker].stop(&call);
                    ExecutionEvent::StopAnswered { call, confirmed }
                }
                ExecutionAction::Hold(call) => {
                    let response = if call.worker == self.workers[worker].incarnation.id {
                        self.workers[worker].hold(now, &call)
                    } else {
                        HoldResponse::OtherWorker
                    };
                    ExecutionEvent::HoldAnswered { call, response }
                }
                _ => return,
            }
        } else {
            unanswered(&action)
        };
        if answered {
            self.soon(Event::Answered {
                agent: worker,
                life,
                event,
            });
        }
    }

    fn start_at_worker(
        &mut self,
        worker: usize,
        call: &crate::core::execution::StartCall,
    ) -> StartResponse {
        if call.worker != self.workers[worker].incarnation.id {
            return StartResponse::Rejected;
        }
        let now = self.now;
        let run_ms = self
            .clients
            .iter()
            .find(|client| client.job == call.task.job)
            .map_or(100, |client| client.run_ms);
        let how = if self.chance.percent(3) {
            RunOutcome::Failed
        } else {
            RunOutcome::Done
        };
        let (answer, begun) = self.workers[worker].start(now, call, run_ms, how);
        if begun {
            self.check_start(worker, call.task);
        }
        answer
    }

    fn check_start(&mut self, worker: usize, task: crate::core::work::TaskId) {
        self.trace(format!("worker {worker}: begins {task}"));
        self.checks.starts += 1;
        self.checks.begun.insert(task.job);
        let of_task = |client: &&ClientModel| client.job == task.job;
        if let Some(client) = self.clients.iter().find(of_task)
            && client.was_only_refused()
        {
            let what = format!("{} begins after all its calls were refused", task.job);
            self.checks.break_promise(what);
        }
        for other in 0..WORKERS {
            self.tick_ends(other);
            if other != worker
                && self.alive[other]
                && self.workers[other].active_runs().contains_key(&task)
            {
                let what = format!("{task} runs twice, at workers {worker} and {other}");
                self.checks.break_promise(what);
            }
        }
    }

    fn tick_ends(&mut self, worker: usize) {
        let now = self.now;
        for task in self.workers[worker].advance(now) {
            self.checks.done.insert(task);
        }
    }

    fn tick_worker(&mut self, worker: usize) {
        self.tick_ends(worker);
        self.at_ms(10, Event::WorkerTick { worker });
    }

    fn heartbeat(&mut self, worker: usize) {
        self.at_ms(HEARTBEAT_MS, Event::Heartbeat { worker });
        if !self.alive[worker] {
            return;
        }
        let model = &mut self.workers[worker];
        model.reports += 1;
        let view = WorkerView {
            life: model.incarnation.clone(),
            service: "shares".to_owned(),
            availability_zone: ZONES[worker % ZONES.len()].to_owned(),
            capacity: Resources {
                cpu_milli: 1_000 * ROOM as u32,
                ..Resources::default()
            },
            labels: Vec::new(),
            draining: model.draining,
        };
        let sequence = model.reports;
        let life = self.agents[worker].life;
        let event = ExecutionEvent::Heartbeat { view, sequence };
        let delay_ms = if self.chance.percent(5) {
            self.chance.between(500, 4_000)
        } else {
            1
        };
        self.at_ms(
            delay_ms,
            Event::Answered {
                agent: worker,
                life,
                event,
            },
        );
    }

    fn reborn(&mut self, worker: usize, same_name: bool) {
        let born = self.now.as_micros() / 1_000;
        let old = &self.workers[worker];
        let id = if same_name {
            old.incarnation.id.clone()
        } else {
            format!("w{worker}-{born}")
        };
        let slow = self.chance.between(0, 21);
        self.workers[worker] = WorkerModel::new(self.now, id, born, slow, ROOM);
        self.alive[worker] = true;
        self.at_ms(1, Event::Heartbeat { worker });
    }

    fn runs_at(&self, worker: usize) -> usize {
        if self.alive[worker] {
            self.workers[worker].active_runs().len()
        } else {
            0
        }
    }

    // Clients.

    fn submit(&mut self, client: usize) {
        let now = self.now;
        let model = &self.clients[client];
        if model.ended || model.call.is_some() {
            return;
        }
        let entry = self.chance.pick(ENTRIES);
        if self.entries[entry].machine.is_none() {
            self.at_ms(50, Event::Submit { client });
            return;
        }
        self.last_waiter += 1;
        let call = (entry, self.entries[entry].life, self.last_waiter);
        let model = &mut self.clients[client];
        model.call = Some(call);
        model.calls += 1;
        let submission = Submission {
            waiter: WaiterId(call.2),
            id: model.job,
            request: request(model.tasks, model.run_ms),
            route: Arc::new(route()),
            time_left_ms: model.deadline.millis_since(now),
        };
        self.waiters.insert(call, client);
        self.wake_and_feed(call, DispatchEvent::Submit(submission));
    }

    fn answer_client(&mut self, client: usize, call: (usize, u64, u64), answer: JobOutcome) {
        if self.clients[client].call != Some(call) {
            return;
        }
        let (name, reason) = answer.name_and_reason();
        *self.checks.answers.entry(name).or_default() += 1;
        self.trace(format!("client {client}: {name} {reason}"));
        let model = &mut self.clients[client];
        model.call = None;
        model.heard = true;
        match answer {
            JobOutcome::Completed => {
                model.ended = true;
                self.check_complete(client);
            }
            JobOutcome::Failed => model.ended = true,
            JobOutcome::NotRun { retry_after_ms, .. } => {
                model.not_run += 1;
                model.ended = retry_after_ms == 0;
                let (job, refused_only) = (model.job, model.was_only_refused());
                if refused_only && self.checks.begun.contains(&job) {
                    self.checks
                        .break_promise(format!("{job} was refused and has begun"));
                }
                // It comes back when it was told to, if its patience lasts.
                self.at_ms(retry_after_ms, Event::Submit { client });
            }
            JobOutcome::GivenUp(_) => self.at_ms(RESEND_MS, Event::Submit { client }),
        }
    }

    fn check_complete(&mut self, client: usize) {
        let (job, tasks) = (self.clients[client].job, self.clients[client].tasks);
        let done = self
            .checks
            .done
            .iter()
            .filter(|task| task.job == job)
            .count();
        if done < usize::from(tasks) {
            let what = format!("{job} is shown as completed with {done} of {tasks} tasks done");
            self.checks.break_promise(what);
        }
    }

    /// The client's connection breaks: it sends the job again a little later.
    fn break_client(&mut self, client: usize) {
        let Some(call) = self.clients[client].call.take() else {
            return;
        };
        self.tell_gone(call);
        self.at_ms(RESEND_MS, Event::Submit { client });
    }

    fn tell_gone(&mut self, call: (usize, u64, u64)) {
        self.waiters.remove(&call);
        let (entry, life, waiter) = call;
        if self.entries[entry].is(life) {
            let waiter = WaiterId(waiter);
            self.wake_and_feed(call, DispatchEvent::ClientGone { waiter });
        }
    }

    /// Feeds an entry, or lets the event lie in its socket until it wakes and reads it.
    fn wake_and_feed(&mut self, call: (usize, u64, u64), event: DispatchEvent) {
        let (entry, life, waiter) = call;
        if !self.entries[entry].is(life) {
            return;
        }
        let wakes_at = self.entries[entry].suspended_until;
        if wakes_at <= self.now {
            self.feed_entry(entry, event);
            return;
        }
        // A call is read before the end of its connection, and both soon after the entry woke.
        let read_after_us = match event {
            DispatchEvent::Submit(_) => waiter % 10_000,
            _ => 10_000 + waiter % 10_000,
        };
        let at = wakes_at.plus_micros(read_after_us);
        self.at(at, Event::Read { call, event });
    }

    fn end_client(&mut self, client: usize) {
        let model = &mut self.clients[client];
        if !model.ended && !model.heard {
            self.checks.unheard += 1;
        }
        model.ended = true;
        if let Some(call) = model.call.take() {
            self.tell_gone(call);
        }
    }

    // Faults.

    fn begin(&mut self, fault: Fault) {
        self.trace(format!("FAULT {fault:?}"));
        let now = self.now;
        match fault {
            Fault::KillEntry { entry, down_ms } => {
                if self.entries[entry].machine.take().is_some() {
                    self.reset_links(|link| link.entry == entry);
                    self.break_clients(entry);
                    self.at_ms(down_ms, Event::StartEntry { entry });
                }
            }
            Fault::KillAgent { agent, down_ms } => {
                if self.agents[agent].machine.take().is_some() {
                    self.reset_links(|link| link.agent == agent);
                    self.at_ms(down_ms, Event::StartAgent { agent });
                }
            }
            Fault::SuspendEntry { entry, for_ms } => {
                let until = now.plus_ms(for_ms);
                let process = &mut self.entries[entry];
                process.suspended_until = process.suspended_until.max(until);
                // Its clients hear nothing; half of them break off at once.
                if self.chance.percent(50) {
                    self.break_clients(entry);
                }
            }
            Fault::SuspendAgent { agent, for_ms } => {
                let until = now.plus_ms(for_ms);
                let process = &mut self.agents[agent];
                process.suspended_until = process.suspended_until.max(until);
            }
            Fault::Silence {
                entry,
                agent,
                for_ms,
            } => {
                let until = now.plus_ms(for_ms);
                self.silent.insert((entry, agent), until);
                for link in self.links.values_mut() {
                    if link.entry == entry && link.agent == agent {
                        link.silent_until = until;
                    }
                }
                self.hold_back(entry, agent, until);
            }
            Fault::Reset { entry, agent } => {
                self.reset_links(|link| link.entry == entry && link.agent == agent);
            }
            Fault::CrashWorker {
                worker,
                down_ms,
                same_name,
            } => {
                self.alive[worker] = false;
                self.at_ms(down_ms, Event::Reborn { worker, same_name });
            }
            Fault::LateOrders {
                worker,
                percent,
                for_ms,
            } => self.late_orders[worker] = (percent, now.plus_ms(for_ms)),
            Fault::CutWorker { worker, for_ms } => {
                self.worker_cut_until[worker] = now.plus_ms(for_ms);
            }
            Fault::Hang { worker, for_ms } => {
                self.workers[worker].hangs = true;
                self.at_ms(for_ms, Event::EndFault(fault));
            }
            Fault::Drain { worker } => {
                self.workers[worker].draining = true;
                self.at_ms(1, Event::Heartbeat { worker });
                self.at_ms(2_500, Event::EndFault(fault));
            }
            Fault::ResetClients { entry } => self.break_clients(entry),
            Fault::Evacuate { for_ms } => {
                self.evacuated_at = Some(now);
                self.set_evacuated(true);
                self.at_ms(for_ms, Event::EndFault(fault));
            }
        }
    }

    fn end_fault(&mut self, fault: Fault) {
        match fault {
            Fault::Hang { worker, .. } => self.workers[worker].hangs = false,
            Fault::Drain { worker } => {
                self.alive[worker] = false;
                self.at_ms(
                    1_000,
                    Event::Reborn {
                        worker,
                        same_name: false,
                    },
                );
            }
            Fault::Evacuate { .. } => {
                self.evacuated_at = None;
                self.set_evacuated(false);
            }
            _ => {}
        }
    }

    fn set_evacuated(&mut self, out: bool) {
        self.news.version += 1;
        if out {
            self.news.evacuated.insert(ZONES[0].to_owned());
        } else {
            self.news.evacuated.clear();
        }
        for entry in 0..ENTRIES {
            let news = self.news.clone();
            if self.entries[entry].suspended_until <= self.now {
                self.feed_entry(entry, DispatchEvent::EvacuatedZones(news));
            }
        }
    }

    fn break_clients(&mut self, entry: usize) {
        let waiting: Vec<usize> = (0..self.clients.len())
            .filter(|client| {
                self.clients[*client]
                    .call
                    .is_some_and(|call| call.0 == entry)
            })
            .collect();
        for client in waiting {
            let delay_ms = self.chance.between(0, 50);
            self.at_ms(delay_ms, Event::ClientBreak { client });
        }
    }

    fn reset_links(&mut self, which: impl Fn(&LinkModel) -> bool) {
        let broken: Vec<u64> = self
            .links
            .iter()
            .filter(|(_, link)| which(link))
            .map(|(link, _)| *link)
            .collect();
        for link in broken {
            self.soon(Event::LostAtEntry { link });
            self.soon(Event::LostAtAgent { link });
        }
    }

    /// Moves frames that are on their way to the end of a silence, in order.
    fn hold_back(&mut self, entry: usize, agent: usize, until: Instant) {
        let concerned = |links: &BTreeMap<u64, LinkModel>, event: &Event| {
            let link = match event {
                Event::ToEntry { link, .. }
                | Event::ToAgent { link, .. }
                | Event::LostAtEntry { link }
                | Event::LostAtAgent { link } => link,
                _ => return false,
            };
            links
                .get(link)
                .is_some_and(|link| link.entry == entry && link.agent == agent)
        };
        let held: Vec<(Instant, u64)> = self
            .events
            .iter()
            .filter(|(key, event)| key.0 < until && concerned(&self.links, event))
            .map(|(key, _)| *key)
            .collect();
        for key in held {
            if let Some(event) = self.events.remove(&key) {
                self.events.insert((until, key.1), event);
            }
        }
    }
}

fn unanswered(action: &ExecutionAction) -> ExecutionEvent {
    match action.clone_call() {
        ExecutionAction::Start(call) => ExecutionEvent::StartAnswered {
            call,
            response: StartResponse::Unanswered,
        },
        ExecutionAction::Stop(call) => ExecutionEvent::StopAnswered {
            call,
            confirmed: false,
        },
        ExecutionAction::Hold(call) => ExecutionEvent::HoldAnswered {
            call,
            response: HoldResponse::Unanswered,
        },
        _ => ExecutionEvent::Tick,
    }
}

impl ExecutionAction {
    /// A copy of a call to the worker; of anything else, a tick's worth of nothing.
    fn clone_call(&self) -> Self {
        match self {
            Self::Start(call) => Self::Start(call.clone()),
            Self::Stop(call) => Self::Stop(call.clone()),
            Self::Hold(call) => Self::Hold(call.clone()),
            _ => Self::Close {
                session: SessionId(0),
            },
        }
    }
}

fn route() -> Route {
    Route {
        name: "shares".to_owned(),
        host: "a.example".to_owned(),
        path_prefix: "/".to_owned(),
        service: "shares".to_owned(),
        timeout_ms: 1_500,
        max_attempts: 3,
        priority: 0,
        stretch: 1.6,
        target_ms: 60,
        needs_advice: false,
    }
}

fn request(tasks: u16, run_ms: u64) -> JobRequest {
    let step = StepSpec {
        tasks,
        needs: Resources {
            cpu_milli: 1_000,
            ..Resources::default()
        },
        estimate_ms: run_ms,
        after: Vec::new(),
        required_label: None,
        data_rack: None,
        max_per_worker: 0,
    };
    JobRequest {
        spec: Arc::from("spec"),
        steps: vec![step],
        unsupported: None,
    }
}
