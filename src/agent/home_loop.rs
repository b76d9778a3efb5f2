//! Event loop of a home: passes events to its state machine and executes the actions.

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

/// Builds an event for the waiter that receives the reply.
pub(crate) type EventBuilder = Box<dyn FnOnce(WaiterId) -> HomeEvent + Send>;

/// Input of the loop.
pub(crate) enum HomeInput {
    /// A request of an entry, with the channel for its reply.
    Request(EventBuilder, oneshot::Sender<JobStatus>),
    /// An event without a reply.
    Event(HomeEvent),
    /// A session was opened; `outgoing` sends its frames.
    SessionOpened {
        runner: AgentId,
        epoch: u64,
        outgoing: mpsc::UnboundedSender<HomeFrame>,
    },
    /// Requests a number of tickets for an announcement.
    Grant(u32, oneshot::Sender<Option<TicketGrant>>),
    /// Requests the home's records for a successor and stops the loop.
    HandOver(oneshot::Sender<Box<HomeRecords>>),
    /// Requests the number of unfinished jobs.
    RunningCount(oneshot::Sender<usize>),
}

/// A home with its sessions and waiters.
pub(crate) struct HomeLoop {
    pub(crate) home: Home,
    /// Whether the home comes from another process. It grants no tickets, so the loop ends once it is finished.
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
    /// Runs until the process exits, the home moves or an adopted home is finished.
    pub(crate) async fn run(mut self, mut received: mpsc::UnboundedReceiver<HomeInput>) {
        let mut ticks = self.timer.subscribe(TICK_MS);
        while !self.ended {
            tokio::select! {
                Some(input) = received.recv() => self.handle_input(input),
                Some(_) = ticks.recv() => {
                    self.handle_event(HomeEvent::Tick);
                    self.ended = self.adopted && self.home.is_finished();
                    self.metrics.set(Gauge::JobsRunning, self.home.running_count() as u64);
                }
                else => return,
            }
        }
    }

    fn handle_input(&mut self, input: HomeInput) {
        match input {
            HomeInput::Request(build_event, reply) => {
                self.next_waiter += 1;
                let waiter = WaiterId(self.next_waiter);
                self.waiters.insert(waiter, reply);
                self.handle_event(build_event(waiter));
            }
            HomeInput::Event(event) => {
                if let HomeEvent::SessionLost { runner, epoch } = event {
                    self.remove_session(runner, epoch);
                }
                self.handle_event(event);
            }
            HomeInput::SessionOpened {
                runner,
                epoch,
                outgoing,
            } => self.add_session(runner, epoch, outgoing),
            // The receiver may have been dropped.
            HomeInput::Grant(count, reply) => {
                let _ = reply.send(self.home.grant(self.timer.now(), count));
            }
            HomeInput::HandOver(reply) => {
                let (records, actions) = self.home.hand_over(self.timer.now());
                for action in actions {
                    self.execute(action);
                }
                let _ = reply.send(Box::new(records));
                self.ended = true;
            }
            HomeInput::RunningCount(reply) => {
                let _ = reply.send(self.home.running_count());
            }
        }
    }

    /// Adds a session unless a newer one exists: the home sends only on the newest, and frames for
    /// a replaced session would be dropped.
    fn add_session(
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

    fn remove_session(&mut self, runner: AgentId, epoch: u64) {
        if self
            .sessions
            .get(&runner)
            .is_some_and(|(open_epoch, _)| *open_epoch == epoch)
        {
            self.sessions.remove(&runner);
        }
    }

    fn handle_event(&mut self, event: HomeEvent) {
        let actions = self.home.handle(self.timer.now(), event);
        for action in actions {
            self.execute(action);
        }
    }

    fn execute(&mut self, action: HomeAction) {
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
                    // The receiver is dropped if the entry disconnected; the entry can poll again.
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
            // The reading task reports a closed session.
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
                let opened = HomeInput::SessionOpened {
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
            // The loop may have ended.
            let _ = inputs.send(HomeInput::Event(HomeEvent::SessionLost { runner, epoch }));
        });
    }
}
