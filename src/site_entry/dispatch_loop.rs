//! Event loop of an entry: passes events to the dispatcher and executes its actions.

use {
    super::{operator_rows_watcher::OperatorRowsWatcher, state::EntryState},
    crate::{
        adapters::link::FrameDuplex,
        core::{
            dispatch::{
                DispatchAction, DispatchEvent, DispatchLogEvent, Dispatcher, JobOutcome, LinkId,
                RefusalReason, StartCounts, Submission, WaiterId,
            },
            link::{AgentFrame, EntryFrame},
            work::JobId,
        },
        ports::{
            Counter, DecisionLog, Gauge, Histogram, LogPriority, Metrics, TimerService,
            log_decision,
        },
    },
    std::{collections::BTreeMap, sync::Arc},
    tokio::sync::{mpsc, oneshot},
};

/// Tick interval in milliseconds; deadlines and timeouts are checked at this resolution.
const TICK_MS: u64 = 20;
/// Maximum number of events passed to the dispatcher before it places tasks.
const MAX_EVENTS_PER_BATCH: usize = 64;

/// Connection of an agent to this entry.
pub(super) type AgentLink = FrameDuplex<AgentFrame, EntryFrame>;

/// Input of the event loop.
#[derive(Debug)]
pub(super) enum LoopInput {
    /// A job, and the channel for its outcome.
    Submit {
        submission: Submission,
        reply: oneshot::Sender<JobOutcome>,
    },
    /// Any other event for the dispatcher.
    Event(DispatchEvent),
    /// Cancels a job; the reply says whether it was cancelled.
    Cancel {
        waiter: WaiterId,
        id: JobId,
        reply: oneshot::Sender<bool>,
    },
    /// Requests the number of pending jobs of a route.
    CountPending {
        route: String,
        reply: oneshot::Sender<usize>,
    },
    /// Requests the number of jobs without an outcome.
    CountOpenJobs { reply: oneshot::Sender<usize> },
}

/// Owns the dispatcher, the waiting clients and the connected agents.
#[derive(Debug)]
pub(super) struct DispatchLoop {
    pub(super) dispatcher: Dispatcher,
    pub(super) timer: Arc<dyn TimerService>,
    pub(super) state: Arc<EntryState>,
    pub(super) rows_watcher: Arc<OperatorRowsWatcher>,
    pub(super) decisions: Arc<dyn DecisionLog>,
    pub(super) metrics: Arc<dyn Metrics>,
    pub(super) waiters: BTreeMap<WaiterId, oneshot::Sender<JobOutcome>>,
    pub(super) cancel_waiters: BTreeMap<WaiterId, oneshot::Sender<bool>>,
    pub(super) links: BTreeMap<LinkId, mpsc::UnboundedSender<EntryFrame>>,
    pub(super) last_link_id: u64,
    pub(super) input_sender: mpsc::UnboundedSender<LoopInput>,
}

impl DispatchLoop {
    /// Runs until an input channel closes.
    pub(super) async fn run(
        mut self,
        mut inputs: mpsc::UnboundedReceiver<LoopInput>,
        mut new_links: mpsc::UnboundedReceiver<AgentLink>,
    ) {
        let mut ticks = self.timer.subscribe(TICK_MS);
        loop {
            let mut events = Vec::new();
            tokio::select! {
                input = inputs.recv() => match input {
                    Some(input) => self.handle_input(input, &mut events),
                    None => return,
                },
                link = new_links.recv() => match link {
                    Some(link) => self.add_link(link),
                    None => return,
                },
                tick = ticks.recv() => match tick {
                    Some(_) => events.push(DispatchEvent::Tick),
                    None => return,
                },
            }
            while events.len() < MAX_EVENTS_PER_BATCH
                && let Ok(input) = inputs.try_recv()
            {
                self.handle_input(input, &mut events);
            }
            let now = self.timer.now();
            let actions = self.dispatcher.handle(now, events);
            self.execute(actions);
            self.state.set_has_workers(self.dispatcher.has_workers());
        }
    }

    fn handle_input(&mut self, input: LoopInput, events: &mut Vec<DispatchEvent>) {
        match input {
            LoopInput::Submit { submission, reply } => {
                self.waiters.insert(submission.waiter, reply);
                events.push(DispatchEvent::Submit(submission));
            }
            LoopInput::Event(event) => {
                if let DispatchEvent::ClientGone { waiter } = &event {
                    self.waiters.remove(waiter);
                }
                events.push(event);
            }
            LoopInput::Cancel { waiter, id, reply } => {
                self.cancel_waiters.insert(waiter, reply);
                events.push(DispatchEvent::Cancel { waiter, id });
            }
            // The requester may have disconnected.
            LoopInput::CountPending { route, reply } => {
                let _ = reply.send(self.dispatcher.pending(&route));
            }
            LoopInput::CountOpenJobs { reply } => {
                let _ = reply.send(self.dispatcher.open_jobs());
            }
        }
    }

    fn add_link(&mut self, duplex: AgentLink) {
        self.last_link_id += 1;
        let link = LinkId(self.last_link_id);
        self.links.insert(link, duplex.outgoing);
        tokio::spawn(forward_frames(
            link,
            duplex.incoming,
            self.input_sender.clone(),
        ));
    }

    fn execute(&mut self, actions: Vec<DispatchAction>) {
        for action in actions {
            match action {
                DispatchAction::Send { link, frame } => {
                    if let EntryFrame::DocumentPart(part) = &frame {
                        let bytes = u64::try_from(part.bytes.len()).unwrap_or(u64::MAX);
                        self.metrics.add(Counter::DocumentBytes, "sent", bytes);
                    }
                    // The reader of a closed link reports the disconnect.
                    if let Some(outgoing) = self.links.get(&link) {
                        let _ = outgoing.send(frame);
                    }
                }
                DispatchAction::Close { link } => {
                    self.links.remove(&link);
                }
                DispatchAction::Reply { waiter, outcome } => {
                    let (name, reason) = outcome.name_and_reason();
                    self.metrics.count(Counter::Answers, name);
                    if matches!(outcome, JobOutcome::NotRun { .. }) {
                        self.metrics.count(Counter::Refusals, reason);
                    }
                    // The client may have disconnected meanwhile.
                    if let Some(reply) = self.waiters.remove(&waiter) {
                        let _ = reply.send(outcome);
                    }
                }
                DispatchAction::ReplyToCancellation {
                    waiter,
                    is_cancelled,
                } => {
                    // The client may have disconnected meanwhile.
                    if let Some(reply) = self.cancel_waiters.remove(&waiter) {
                        let _ = reply.send(is_cancelled);
                    }
                }
                DispatchAction::ApplyEvacuatedZones(zones) => {
                    self.rows_watcher.apply_zones(zones, "agent")
                }
                DispatchAction::ApplyDocument(document) => {
                    self.rows_watcher.apply_document(document, "agent");
                }
                DispatchAction::SetQueueLevel {
                    queue,
                    level_permille,
                } => {
                    let level_permille = u64::from(level_permille);
                    self.metrics
                        .set_for_queue(Gauge::QueueLevel, &queue, level_permille);
                }
                DispatchAction::Log(event) => self.log_event(&event),
            }
        }
        let open = u64::try_from(self.dispatcher.open_jobs()).unwrap_or(u64::MAX);
        self.metrics.set(Gauge::JobsRunning, open);
        self.count_starts();
    }

    fn count_starts(&mut self) {
        let StartCounts { in_time, late } = self.dispatcher.take_start_counts();
        for (reason, amount) in [("in_time", in_time), ("late", late)] {
            if amount > 0 {
                self.metrics.add(Counter::ExpectedStarts, reason, amount);
            }
        }
    }

    fn log_event(&self, event: &DispatchLogEvent) {
        let priority = match event {
            DispatchLogEvent::JobAnswered {
                answer,
                took_ms,
                waited_ms,
                route,
                reason,
                share,
                ..
            } => {
                if *reason == RefusalReason::Overloaded.as_str() && !share.is_empty() {
                    self.metrics
                        .count_for_queue(Counter::QueueRefusals, route, share);
                }
                self.metrics.observe(Histogram::JobTook, answer, *took_ms);
                self.metrics
                    .observe(Histogram::JobWaited, answer, *waited_ms);
                if *answer == "completed" {
                    LogPriority::Routine
                } else {
                    LogPriority::Notable
                }
            }
            DispatchLogEvent::RunLost { end, .. } => {
                self.metrics.count(Counter::Retries, end);
                LogPriority::Notable
            }
            DispatchLogEvent::RunOverdue { .. } => {
                self.metrics.count(Counter::Retries, "overdue");
                LogPriority::Notable
            }
            DispatchLogEvent::WorkerEjected { reason, .. } => {
                self.metrics.count(Counter::Ejections, reason);
                LogPriority::Notable
            }
            DispatchLogEvent::DocumentFetched { bytes, .. } => {
                let bytes = u64::try_from(*bytes).unwrap_or(u64::MAX);
                self.metrics.add(Counter::DocumentBytes, "fetched", bytes);
                LogPriority::Notable
            }
            DispatchLogEvent::JobTaken { .. } => LogPriority::Routine,
            DispatchLogEvent::JobRefused { .. }
            | DispatchLogEvent::JobJoined { .. }
            | DispatchLogEvent::JobHeld { .. }
            | DispatchLogEvent::CancellationAnswered { .. }
            | DispatchLogEvent::Woke { .. }
            | DispatchLogEvent::JobIsolated { .. }
            | DispatchLogEvent::HelloOutdated { .. }
            | DispatchLogEvent::AgentConnected { .. }
            | DispatchLogEvent::AgentLost { .. }
            | DispatchLogEvent::WorkerChanged { .. }
            | DispatchLogEvent::QueueLevel { .. }
            | DispatchLogEvent::NewsInForce { .. } => LogPriority::Notable,
        };
        log_decision(&*self.decisions, priority, event);
    }
}

async fn forward_frames(
    link: LinkId,
    mut incoming: mpsc::Receiver<AgentFrame>,
    inputs: mpsc::UnboundedSender<LoopInput>,
) {
    while let Some(frame) = incoming.recv().await {
        let event = DispatchEvent::Frame { link, frame };
        if inputs.send(LoopInput::Event(event)).is_err() {
            return;
        }
    }
    // The loop runs as long as the process.
    let _ = inputs.send(LoopInput::Event(DispatchEvent::LinkLost { link }));
}
