//! Feeds the dispatcher and carries its actions out.

use {
    super::{operator_rows_watcher::OperatorRowsWatcher, state::EntryState},
    crate::{
        adapters::link::FrameDuplex,
        core::{
            dispatch::{
                DispatchAction, DispatchEvent, DispatchLogEvent, Dispatcher, JobOutcome, LinkId,
                Submission, WaiterId,
            },
            link::{AgentFrame, EntryFrame},
        },
        ports::{
            Counter, DecisionLog, Gauge, LogPriority, Metrics, Span, TimerService, log_decision,
        },
    },
    std::{collections::BTreeMap, sync::Arc},
    tokio::sync::{mpsc, oneshot},
};

/// Pause between ticks, in milliseconds: rights and deadlines are kept to within as much.
const TICK_MS: u64 = 20;
/// Inputs taken together before tasks are placed.
const MOST_INPUTS: usize = 64;

/// A session with an agent.
pub(super) type AgentLink = FrameDuplex<AgentFrame, EntryFrame>;

/// Something for the loop.
#[derive(Debug)]
pub(super) enum LoopInput {
    /// A job, and where its answer goes.
    Submit {
        submission: Submission,
        answer: oneshot::Sender<JobOutcome>,
    },
    /// Anything else for the dispatcher.
    Event(DispatchEvent),
    /// A question that the dispatcher's state answers.
    CountPending {
        route: String,
        count: oneshot::Sender<usize>,
    },
    /// Jobs that wait for their answer.
    CountOpen { count: oneshot::Sender<usize> },
}

/// Owns the dispatcher.
#[derive(Debug)]
pub(super) struct DispatchLoop {
    pub(super) dispatcher: Dispatcher,
    pub(super) timer: Arc<dyn TimerService>,
    pub(super) state: Arc<EntryState>,
    pub(super) news: Arc<OperatorRowsWatcher>,
    pub(super) decisions: Arc<dyn DecisionLog>,
    pub(super) metrics: Arc<dyn Metrics>,
    pub(super) waiters: BTreeMap<WaiterId, oneshot::Sender<JobOutcome>>,
    pub(super) links: BTreeMap<LinkId, mpsc::UnboundedSender<EntryFrame>>,
    pub(super) last_link: u64,
    pub(super) inputs_back: mpsc::UnboundedSender<LoopInput>,
}

impl DispatchLoop {
    /// Runs for as long as the process lives.
    pub(super) async fn run(
        mut self,
        mut inputs: mpsc::UnboundedReceiver<LoopInput>,
        mut opened: mpsc::UnboundedReceiver<AgentLink>,
    ) {
        let mut ticks = self.timer.subscribe(TICK_MS);
        loop {
            let mut events = Vec::new();
            tokio::select! {
                input = inputs.recv() => match input {
                    Some(input) => self.take_input(input, &mut events),
                    None => return,
                },
                link = opened.recv() => match link {
                    Some(link) => self.take_link(link),
                    None => return,
                },
                tick = ticks.recv() => match tick {
                    Some(_) => events.push(DispatchEvent::Tick),
                    None => return,
                },
            }
            while events.len() < MOST_INPUTS
                && let Ok(input) = inputs.try_recv()
            {
                self.take_input(input, &mut events);
            }
            let now = self.timer.now();
            let actions = self.dispatcher.handle(now, events);
            self.carry_out(actions);
            self.state.set_has_workers(self.dispatcher.has_workers());
        }
    }

    fn take_input(&mut self, input: LoopInput, events: &mut Vec<DispatchEvent>) {
        match input {
            LoopInput::Submit { submission, answer } => {
                self.waiters.insert(submission.waiter, answer);
                events.push(DispatchEvent::Submit(submission));
            }
            LoopInput::Event(event) => {
                if let DispatchEvent::ClientGone { waiter } = &event {
                    self.waiters.remove(waiter);
                }
                events.push(event);
            }
            // Whoever asked may have gone.
            LoopInput::CountPending { route, count } => {
                let _ = count.send(self.dispatcher.pending(&route));
            }
            LoopInput::CountOpen { count } => {
                let _ = count.send(self.dispatcher.open_jobs());
            }
        }
    }

    fn take_link(&mut self, duplex: AgentLink) {
        self.last_link += 1;
        let link = LinkId(self.last_link);
        self.links.insert(link, duplex.outgoing);
        tokio::spawn(forward_frames(
            link,
            duplex.incoming,
            self.inputs_back.clone(),
        ));
    }

    fn carry_out(&mut self, actions: Vec<DispatchAction>) {
        for action in actions {
            match action {
                DispatchAction::Send { link, frame } => {
                    if let EntryFrame::DocumentPart(part) = &frame {
                        let bytes = u64::try_from(part.bytes.len()).unwrap_or(u64::MAX);
                        self.metrics.add(Counter::DocumentBytes, "sent", bytes);
                    }
                    // A session that has ended is told of by its reader.
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
                    // A client that has gone meanwhile takes no answer.
                    if let Some(waiting) = self.waiters.remove(&waiter) {
                        let _ = waiting.send(outcome);
                    }
                }
                DispatchAction::ApplyEvacuatedZones(news) => self.news.take_news(news, "agent"),
                DispatchAction::ApplyDocument(document) => {
                    self.news.take_document(document, "agent");
                }
                DispatchAction::Log(decision) => self.write_down(&decision),
            }
        }
        let open = u64::try_from(self.dispatcher.open_jobs()).unwrap_or(u64::MAX);
        self.metrics.set(Gauge::JobsRunning, open);
    }

    fn write_down(&self, decision: &DispatchLogEvent) {
        let rank = match decision {
            DispatchLogEvent::JobAnswered {
                answer,
                took_ms,
                waited_ms,
                ..
            } => {
                self.metrics.observe(Span::JobTook, answer, *took_ms);
                self.metrics.observe(Span::JobWaited, answer, *waited_ms);
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
            | DispatchLogEvent::Woke { .. }
            | DispatchLogEvent::JobIsolated { .. }
            | DispatchLogEvent::HelloOutdated { .. }
            | DispatchLogEvent::AgentConnected { .. }
            | DispatchLogEvent::AgentLost { .. }
            | DispatchLogEvent::WorkerChanged { .. }
            | DispatchLogEvent::NewsInForce { .. } => LogPriority::Notable,
        };
        log_decision(&*self.decisions, rank, decision);
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
    // The loop ends only with the process.
    let _ = inputs.send(LoopInput::Event(DispatchEvent::LinkLost { link }));
}
