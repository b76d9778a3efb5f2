//! Drives the home machine: feeds events in and carries actions out.

use {
    crate::{
        core::{
            home::{Home, HomeAction, HomeEvent, HomeRecords, WaiterId},
            job::JobStatus,
            message::HomeFrame,
            ticket::{AgentId, TicketGrant},
        },
        ports::{Counter, Gauge, Metrics, PeerNetwork, TimerService},
    },
    std::{collections::BTreeMap, net::SocketAddr, sync::Arc},
    tokio::sync::{mpsc, oneshot},
};

/// Resolution of the home's deadlines, in milliseconds.
const TICK_MS: u64 = 5;

/// Makes an event out of the waiter that its reply goes to.
pub(crate) type EventFor = Box<dyn FnOnce(WaiterId) -> HomeEvent + Send>;

/// What the loop takes in.
pub(crate) enum HomeInput {
    /// A request of an entry, with where its reply goes.
    Request(EventFor, oneshot::Sender<JobStatus>),
    /// An event without a reply.
    Event(HomeEvent),
    /// A session is open; frames go out here.
    SessionOpen {
        runner: AgentId,
        epoch: u64,
        outgoing: mpsc::UnboundedSender<HomeFrame>,
    },
    /// A request for tickets to announce.
    Grant(u32, oneshot::Sender<Option<TicketGrant>>),
    /// A planned stop: give everything away and end.
    HandOver(oneshot::Sender<Box<HomeRecords>>),
    /// A question how many jobs run.
    RunningCount(oneshot::Sender<usize>),
}

/// The home machine with its sessions and waiters.
pub(crate) struct HomeLoop {
    pub(crate) home: Home,
    /// Whether another process had this home before; it grants no tickets, so it ends.
    pub(crate) adopted: bool,
    pub(crate) network: Arc<dyn PeerNetwork>,
    pub(crate) timer: Arc<dyn TimerService>,
    pub(crate) metrics: Arc<dyn Metrics>,
    pub(crate) inputs: mpsc::UnboundedSender<HomeInput>,
    pub(crate) waiters: BTreeMap<WaiterId, oneshot::Sender<JobStatus>>,
    pub(crate) sessions: BTreeMap<AgentId, (u64, mpsc::UnboundedSender<HomeFrame>)>,
    pub(crate) next_waiter: u64,
    pub(crate) ended: bool,
}

impl HomeLoop {
    /// Runs until the process ends, or the home moves or is over.
    pub(crate) async fn run(mut self, mut received: mpsc::UnboundedReceiver<HomeInput>) {
        let mut ticks = self.timer.subscribe(TICK_MS);
        while !self.ended {
            tokio::select! {
                Some(input) = received.recv() => self.take(input),
                Some(_) = ticks.recv() => {
                    self.feed(HomeEvent::Tick);
                    self.ended = self.adopted && self.home.is_finished();
                    self.metrics.set(Gauge::JobsRunning, self.home.running_count() as u64);
                }
                else => return,
            }
        }
    }

    fn take(&mut self, input: HomeInput) {
        match input {
            HomeInput::Request(event_for, reply) => {
                self.next_waiter += 1;
                let waiter = WaiterId(self.next_waiter);
                self.waiters.insert(waiter, reply);
                self.feed(event_for(waiter));
            }
            HomeInput::Event(event) => {
                if let HomeEvent::SessionLost { runner, epoch } = event {
                    self.forget_session(runner, epoch);
                }
                self.feed(event);
            }
            HomeInput::SessionOpen {
                runner,
                epoch,
                outgoing,
            } => self.keep_session(runner, epoch, outgoing),
            // A dropped receiver no longer wants the reply.
            HomeInput::Grant(count, reply) => {
                let _ = reply.send(self.home.grant(self.timer.now(), count));
            }
            HomeInput::HandOver(reply) => {
                let (records, actions) = self.home.hand_over(self.timer.now());
                for action in actions {
                    self.carry_out(action);
                }
                let _ = reply.send(Box::new(records));
                self.ended = true;
            }
            HomeInput::RunningCount(reply) => {
                let _ = reply.send(self.home.running_count());
            }
        }
    }

    /// Guards against a session that opened late and takes the place of a newer one: the home
    /// sends on the newest only, so its frames would be dropped and its tasks never start.
    fn keep_session(
        &mut self,
        runner: AgentId,
        epoch: u64,
        outgoing: mpsc::UnboundedSender<HomeFrame>,
    ) {
        if self
            .sessions
            .get(&runner)
            .is_none_or(|(open_epoch, _)| *open_epoch < epoch)
        {
            self.sessions.insert(runner, (epoch, outgoing));
        }
    }

    fn forget_session(&mut self, runner: AgentId, epoch: u64) {
        if self
            .sessions
            .get(&runner)
            .is_some_and(|(open_epoch, _)| *open_epoch == epoch)
        {
            self.sessions.remove(&runner);
        }
    }

    fn feed(&mut self, event: HomeEvent) {
        let actions = self.home.handle(self.timer.now(), event);
        for action in actions {
            self.carry_out(action);
        }
    }

    fn carry_out(&mut self, action: HomeAction) {
        match action {
            HomeAction::OpenSession {
                runner,
                peer_addr,
                epoch,
            } => self.open_session(runner, peer_addr, epoch),
            HomeAction::Send {
                runner,
                epoch,
                frame,
            } => self.send(runner, epoch, frame),
            HomeAction::Reply { waiter, status } => {
                if let Some(reply) = self.waiters.remove(&waiter) {
                    // An entry that is gone asks again if it still wants to know.
                    let _ = reply.send(status);
                }
            }
            HomeAction::CountRetry(reason) => self.metrics.count(Counter::Retries, reason),
            HomeAction::CountWasted { kind, messages } => {
                for _ in 0..messages {
                    self.metrics.count(Counter::WastedMessages, kind);
                }
            }
            HomeAction::CountEjection(reason) => {
                self.metrics.count(Counter::Ejections, reason.as_str());
            }
            HomeAction::CountOutcome(reason) => self.metrics.count(Counter::Jobs, reason),
        }
    }

    fn send(&self, runner: AgentId, epoch: u64, frame: HomeFrame) {
        if let Some((open_epoch, outgoing)) = self.sessions.get(&runner)
            && *open_epoch == epoch
        {
            // A closed session is reported as lost by its reader.
            let _ = outgoing.send(frame);
        }
    }

    fn open_session(&self, runner: AgentId, peer_addr: SocketAddr, epoch: u64) {
        let network = Arc::clone(&self.network);
        let inputs = self.inputs.clone();
        let home = self.home.id();
        tokio::spawn(async move {
            if let Ok(session) = network.open_session(peer_addr, home, epoch).await {
                let mut incoming = session.incoming;
                let opened = HomeInput::SessionOpen {
                    runner,
                    epoch,
                    outgoing: session.outgoing,
                };
                if inputs.send(opened).is_err() {
                    return;
                }
                while let Some(frame) = incoming.recv().await {
                    let event = HomeEvent::Frame {
                        runner,
                        epoch,
                        frame,
                    };
                    if inputs.send(HomeInput::Event(event)).is_err() {
                        return;
                    }
                }
            }
            // The loop ends only with the process.
            let _ = inputs.send(HomeInput::Event(HomeEvent::SessionLost { runner, epoch }));
        });
    }
}
