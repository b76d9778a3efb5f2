//! One home and a few runners on a network with delays, disconnects and reordering.

use {
    super::sessions::Session,
    crate::core::{
        home::{Home, HomeAction, HomeEvent, HomeSettings, WaiterId},
        job::{JobAnswer, JobSpec, JobStatus, TaskOutcome, TaskRef, TaskSpec},
        message::{Candidate, StartFrame},
        placement::MostFree,
        runner::{Runner, RunnerAction, RunnerEvent, RunnerSettings},
        ticket::{AgentId, GrantSecret, Ticket},
        time::Instant,
        verdict::{MayHaveRunReason, NotRunReason},
    },
    std::{collections::BTreeMap, net::SocketAddr, sync::Arc},
};

const SERVICE: &str = "crew-share";
const OUTCOME_RETENTION_MS: u64 = 2_000;
const TICKET_TTL_MS: u64 = 20_000;

#[derive(Debug)]
pub(super) struct Node {
    runner: Runner,
    pub(super) id: AgentId,
    running: Vec<TaskRef>,
    /// Number of tasks that were started here.
    pub(super) start_count: u32,
    version: u64,
}

/// The simulated processes, with all starts and replies recorded.
#[derive(Debug)]
pub(super) struct Simulation {
    pub(super) now_ms: u64,
    pub(super) home: Home,
    pub(super) nodes: Vec<Node>,
    pub(super) sessions: Vec<Session>,
    pub(super) next_id: u64,
    pub(super) starts: BTreeMap<TaskRef, u32>,
    pub(super) replies: BTreeMap<WaiterId, Vec<JobStatus>>,
    pub(super) waiter_count: u64,
    pub(super) stopped: Vec<TaskRef>,
    /// Number of runners, from the first, that the home prefers.
    pub(super) own_runners: usize,
}

const fn home_settings() -> HomeSettings {
    HomeSettings {
        ticket_ttl_ms: TICKET_TTL_MS,
        answers_limit_bytes: 32 << 20,
        runner_lost_after_ms: 3_000,
    }
}

pub(super) fn job(tasks: usize, repeatable: bool, deadline_ms: u64) -> JobSpec {
    let tasks = (0..tasks)
        .map(|index| TaskSpec {
            input: format!("share {index}"),
            declared_run_ms: 0,
            memory_mb: 0,
            accelerators: 0,
        })
        .collect();
    JobSpec {
        service: SERVICE.to_owned(),
        team: String::new(),
        deadline_ms,
        repeatable,
        tasks,
    }
}

fn addr(node: usize) -> SocketAddr {
    let port = u16::try_from(1_000 + node).unwrap_or(u16::MAX);
    SocketAddr::from(([127, 0, 0, 1], port))
}

impl Simulation {
    /// A home and `nodes` runners with `slots` slots each, all with permits.
    pub(super) fn new(nodes: usize, slots: u16) -> Self {
        let secret = GrantSecret::new([7; 32]);
        let placement = Box::new(MostFree::new(11));
        let mut sim = Self {
            now_ms: 1_000,
            home: Home::new(AgentId(1), secret, home_settings(), placement),
            nodes: Vec::new(),
            sessions: Vec::new(),
            next_id: 100,
            starts: BTreeMap::new(),
            replies: BTreeMap::new(),
            waiter_count: 0,
            stopped: Vec::new(),
            own_runners: 1,
        };
        for _ in 0..nodes {
            let node = sim.start_runner(slots);
            sim.nodes.push(node);
        }
        sim
    }

    fn start_runner(&mut self, slots: u16) -> Node {
        self.next_id += 1;
        let id = AgentId(self.next_id);
        let settings = RunnerSettings {
            outcome_retention_ms: OUTCOME_RETENTION_MS,
        };
        let mut runner = Runner::new(id, settings);
        let services = vec![SERVICE.to_owned()];
        runner.handle(self.now(), RunnerEvent::BackendUp { services, slots });
        runner.handle(self.now(), permit(self.now(), 1, true));
        Node {
            runner,
            id,
            running: Vec::new(),
            start_count: 0,
            version: 1,
        }
    }

    pub(super) const fn now(&self) -> Instant {
        Instant::from_millis(self.now_ms)
    }

    /// Grants a block of tickets and returns them.
    pub(super) fn tickets(&mut self, count: u32) -> Vec<Ticket> {
        let grant = self.home.grant(self.now(), count).expect("grant");
        (0..count).map(|counter| grant.ticket(counter)).collect()
    }

    fn candidates(&self) -> Vec<Candidate> {
        self.nodes
            .iter()
            .enumerate()
            .map(|(number, node)| Candidate {
                runner: node.id,
                peer_addr: addr(number),
                slots: node.runner.slots(),
                free_slots: node.runner.free_slots(),
                own: number < self.own_runners,
            })
            .collect()
    }

    fn waiter(&mut self) -> WaiterId {
        self.waiter_count += 1;
        WaiterId(self.waiter_count)
    }

    pub(super) fn submit(&mut self, ticket: Ticket, spec: JobSpec, wait_ms: u64) -> WaiterId {
        self.submit_as(ticket, false, spec, wait_ms)
    }

    pub(super) fn submit_by_key(
        &mut self,
        ticket: Ticket,
        spec: JobSpec,
        wait_ms: u64,
    ) -> WaiterId {
        self.submit_as(ticket, true, spec, wait_ms)
    }

    fn submit_as(&mut self, ticket: Ticket, by_key: bool, spec: JobSpec, wait_ms: u64) -> WaiterId {
        let (waiter, candidates) = (self.waiter(), self.candidates());
        self.send_event(HomeEvent::Submit {
            waiter,
            ticket,
            by_key,
            spec,
            impossible: false,
            candidates,
            wait_ms,
        });
        waiter
    }

    pub(super) fn poll(&mut self, ticket: Ticket, wait_ms: u64) -> WaiterId {
        let (waiter, candidates) = (self.waiter(), self.candidates());
        self.send_event(HomeEvent::Poll {
            waiter,
            ticket,
            candidates,
            wait_ms,
        });
        waiter
    }

    pub(super) fn cancel(&mut self, ticket: Ticket) -> WaiterId {
        let waiter = self.waiter();
        self.send_event(HomeEvent::Cancel { waiter, ticket });
        waiter
    }

    /// The single reply of this waiter; panics otherwise.
    pub(super) fn reply(&self, waiter: WaiterId) -> &JobStatus {
        match self.replies.get(&waiter).map(Vec::as_slice) {
            Some([status]) => status,
            other => panic!("{waiter:?} must have one reply, has {other:?}"),
        }
    }

    /// The final answer of this waiter; panics otherwise.
    pub(super) fn answer(&self, waiter: WaiterId) -> Arc<JobAnswer> {
        match self.reply(waiter) {
            JobStatus::Ended(answer) => Arc::clone(answer),
            other => panic!("{waiter:?} has no answer but {other:?}"),
        }
    }

    pub(super) fn send_event(&mut self, event: HomeEvent) {
        for action in self.home.handle(self.now(), event) {
            match action {
                HomeAction::OpenSession {
                    runner,
                    peer_addr,
                    epoch,
                } => self.open(runner, peer_addr, epoch),
                HomeAction::Send {
                    runner,
                    epoch,
                    frame,
                } => self.send(runner, epoch, frame),
                HomeAction::Reply { waiter, status } => {
                    self.replies.entry(waiter).or_default().push(status);
                }
                HomeAction::CountRetry(_)
                | HomeAction::CountOutcome(_)
                | HomeAction::CountEjection(_)
                | HomeAction::CountWasted { .. } => {}
            }
        }
    }

    pub(super) fn send_runner_event(&mut self, node: usize, event: RunnerEvent) {
        let now = self.now();
        for action in self.nodes[node].runner.handle(now, event) {
            match action {
                RunnerAction::Send { session, frame } => {
                    if let Some(open) = self.sessions.iter_mut().find(|s| s.id == session)
                        && !open.runner_closed
                    {
                        open.to_home.push_back(frame);
                    }
                }
                RunnerAction::Run(StartFrame { task, .. }) => {
                    *self.starts.entry(task).or_default() += 1;
                    self.nodes[node].start_count += 1;
                    self.nodes[node].running.push(task);
                }
                RunnerAction::Stop(task) => self.stopped.push(task),
                RunnerAction::Close(session) => {
                    if let Some(open) = self.sessions.iter_mut().find(|s| s.id == session) {
                        open.runner_closed = true;
                    }
                }
                RunnerAction::CountRefusal(_) => {}
            }
        }
    }

    /// The backend server ends its oldest task with the outcome that `kind` selects.
    pub(super) fn finish(&mut self, node: usize, kind: u8) {
        if self.nodes[node].running.is_empty() {
            return;
        }
        let task = self.nodes[node].running.remove(0);
        let outcome = match kind {
            0 => TaskOutcome::Failed {
                message: "broken".to_owned(),
            },
            1 => TaskOutcome::MayHaveRun {
                reason: MayHaveRunReason::BackendLost,
            },
            2 => {
                // The backend server reported that it ran nothing, so the start doesn't count.
                if let Some(count) = self.starts.get_mut(&task) {
                    *count -= 1;
                }
                TaskOutcome::NotRun {
                    reason: NotRunReason::BackendRefused,
                }
            }
            _ => TaskOutcome::Done {
                output: format!("out {}", task.index),
            },
        };
        self.send_runner_event(node, RunnerEvent::Finished { task, outcome });
    }

    /// The backend server ends its oldest task with this output.
    pub(super) fn finish_with(&mut self, node: usize, output: String) {
        let task = self.nodes[node].running.remove(0);
        let outcome = TaskOutcome::Done { output };
        self.send_runner_event(node, RunnerEvent::Finished { task, outcome });
    }

    /// Clears the recorded starts and replies, so that they don't count as the home's memory.
    pub(super) fn clear_observations(&mut self) {
        self.starts.clear();
        self.replies.clear();
    }

    /// Replaces the runner's process by another one at the same address.
    pub(super) fn restart_runner(&mut self, node: usize) {
        let slots = self.nodes[node].runner.slots();
        self.nodes[node] = self.start_runner(slots);
    }

    /// Hands the home over to a new process. Frames that the old process sent may still arrive.
    pub(super) fn hand_over(&mut self) {
        let (records, actions) = self.home.hand_over(self.now());
        for action in actions {
            if let HomeAction::Reply { waiter, status } = action {
                self.replies.entry(waiter).or_default().push(status);
            }
        }
        let placement = Box::new(MostFree::new(12));
        self.home = Home::adopt(self.now(), records, home_settings(), placement);
        for session in &mut self.sessions {
            session.home_disconnected = true;
        }
        self.send_event(HomeEvent::Tick);
    }

    /// Changes the number of slots of a runner.
    pub(super) fn set_slots(&mut self, node: usize, slots: u16) {
        let services = vec![SERVICE.to_owned()];
        self.send_runner_event(node, RunnerEvent::BackendUp { services, slots });
    }

    /// Opens or closes the zone of a runner.
    pub(super) fn set_zone(&mut self, node: usize, open: bool) {
        self.nodes[node].version += 1;
        let event = permit(self.now(), self.nodes[node].version, open);
        self.send_runner_event(node, event);
    }

    pub(super) fn advance(&mut self, ms: u64) {
        self.now_ms += ms;
        for node in 0..self.nodes.len() {
            self.send_runner_event(node, RunnerEvent::Tick);
        }
        self.send_event(HomeEvent::Tick);
    }

    /// Advances to `until_ms` while everything is delivered and finished. Frames on sessions that
    /// the home disconnected are delivered last, as the latest possible arrival.
    pub(super) fn run_until(&mut self, until_ms: u64) {
        while self.now_ms < until_ms {
            for _ in 0..4 {
                self.deliver_live();
                for node in 0..self.nodes.len() {
                    while !self.nodes[node].running.is_empty() {
                        self.finish(node, 3);
                    }
                }
            }
            self.advance(50);
        }
        self.deliver_all();
        // Checks the count of running jobs against the records (debug assertion).
        let _ = self.home.running_count();
    }
}

fn permit(sent_at: Instant, config_version: u64, zone_open: bool) -> RunnerEvent {
    RunnerEvent::PermitRenewed {
        sent_at,
        config_version,
        zone_open,
        permit_ms: 10_000_000,
    }
}
