//! One agent: the executor as shipped, without a worker.

use {
    super::{HostModel, paused_timer::PausedTimer},
    crate::{
        adapters::link::FrameDuplex,
        core::{
            execution::{ExecutionAction, ExecutionEvent, Executor, ExecutorSettings, SessionId},
            link::{AgentFrame, EntryFrame},
            work::RunLimits,
        },
        ports::TimerService,
    },
    serde::Serialize,
    std::{collections::BTreeMap, sync::Arc},
    tokio::{
        sync::{mpsc, oneshot},
        time::Instant,
    },
};

const TICK_MS: u64 = 20;

/// Something for an agent.
#[derive(Debug)]
pub(super) enum AgentInput {
    Event(ExecutionEvent),
    Opened {
        session: SessionId,
        outgoing: mpsc::UnboundedSender<AgentFrame>,
        cleared: oneshot::Sender<()>,
    },
}

/// Feeds an executor for as long as its process lives.
pub(super) async fn run_agent(
    name: String,
    host: Arc<HostModel>,
    origin: Instant,
    limits: RunLimits,
    mut inputs: mpsc::UnboundedReceiver<AgentInput>,
) {
    let mut executor = Executor::new(ExecutorSettings {
        agent: name,
        service: "shares".to_owned(),
        limits,
        first_token: 1,
    });
    let timer = PausedTimer { host, origin };
    let mut ticks = timer.subscribe(TICK_MS);
    let mut outgoing = BTreeMap::new();
    let mut clearing = BTreeMap::new();
    loop {
        let event = tokio::select! {
            input = inputs.recv() => match input {
                Some(AgentInput::Event(event)) => event,
                Some(AgentInput::Opened { session, outgoing: frames, cleared }) => {
                    outgoing.insert(session, frames);
                    clearing.insert(session, cleared);
                    ExecutionEvent::SessionOpened { session, entry: format!("{session:?}") }
                }
                None => return,
            },
            _ = ticks.recv() => ExecutionEvent::Tick,
        };
        for action in executor.handle(timer.now(), event) {
            match action {
                ExecutionAction::Send { session, frame } => {
                    if let Some(frames) = outgoing.get(&session) {
                        let _: Result<(), _> = frames.send(frame);
                    }
                }
                ExecutionAction::Close { session } => {
                    outgoing.remove(&session);
                }
                ExecutionAction::SessionDrained { session } => {
                    outgoing.remove(&session);
                    if let Some(cleared) = clearing.remove(&session) {
                        let _: Result<(), _> = cleared.send(());
                    }
                }
                _ => {}
            }
        }
    }
}

/// Both ends of a session whose frames cross two links.
pub(super) fn connect(
    entry: &Arc<HostModel>,
    agent: &Arc<HostModel>,
    spawn: impl Fn(std::pin::Pin<Box<dyn Future<Output = ()> + Send>>),
) -> (
    FrameDuplex<AgentFrame, EntryFrame>,
    FrameDuplex<EntryFrame, AgentFrame>,
) {
    let (at_entry, from_entry) = mpsc::unbounded_channel();
    let (at_agent, from_agent) = mpsc::unbounded_channel();
    let (to_entry, entry_incoming) = mpsc::channel(256);
    let (to_agent, agent_incoming) = mpsc::channel(256);
    let (entry, agent) = (Arc::clone(entry), Arc::clone(agent));
    spawn(Box::pin(async move {
        // Either end closes the session.
        tokio::select! {
            () = carry(Arc::clone(&entry), Arc::clone(&agent), from_entry, to_agent) => {}
            () = carry(agent, entry, from_agent, to_entry) => {}
        }
    }));
    let entry_end = FrameDuplex {
        incoming: entry_incoming,
        outgoing: at_entry,
    };
    let agent_end = FrameDuplex {
        incoming: agent_incoming,
        outgoing: at_agent,
    };
    (entry_end, agent_end)
}

async fn carry<F: Serialize>(
    from: Arc<HostModel>,
    to: Arc<HostModel>,
    mut frames: mpsc::UnboundedReceiver<F>,
    arrived: mpsc::Sender<F>,
) {
    loop {
        let frame = tokio::select! {
            frame = frames.recv() => frame,
            () = arrived.closed() => None,
        };
        let Some(frame) = frame else {
            return;
        };
        let text = bincode::serde::encode_to_vec(&frame, bincode::config::standard());
        let sent = from.send(&to, text.expect("a frame").len());
        tokio::select! {
            () = sent => {}
            () = arrived.closed() => return,
        }
        if arrived.send(frame).await.is_err() {
            return;
        }
    }
}
