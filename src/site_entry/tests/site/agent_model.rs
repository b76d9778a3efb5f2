//! Agent of the simulation: the production executor without a worker.

use {
    super::{HostModel, paused_timer::PausedTimer, store_model::StoreClient},
    crate::{
        adapters::link::FrameDuplex,
        core::{
            execution::{ExecutionAction, ExecutionEvent, Executor, ExecutorSettings, SessionId},
            link::{AgentFrame, EntryFrame},
            work::RunLimits,
        },
        ports::{SiteStore, TimerService},
        site_agent::changed_document,
    },
    serde::Serialize,
    std::{collections::BTreeMap, sync::Arc},
    tokio::{
        sync::{mpsc, oneshot},
        time::Instant,
    },
};

const TICK_MS: u64 = 20;

/// Input of an agent.
#[derive(Debug)]
pub(super) enum AgentInput {
    Event(ExecutionEvent),
    SessionOpened {
        session: SessionId,
        outgoing: mpsc::UnboundedSender<AgentFrame>,
        drained: oneshot::Sender<()>,
    },
}

/// Passes inputs and ticks to an executor until the task is aborted.
pub(super) async fn run_agent(
    name: String,
    host: Arc<HostModel>,
    origin: Instant,
    limits: RunLimits,
    store: StoreClient,
    (input_sender, mut inputs): (
        mpsc::UnboundedSender<AgentInput>,
        mpsc::UnboundedReceiver<AgentInput>,
    ),
) {
    let store = Arc::new(store);
    let mut executor = Executor::new(ExecutorSettings {
        agent: name,
        service: "shares".to_owned(),
        limits,
        first_token: 1,
    });
    let timer = PausedTimer { host, origin };
    let mut ticks = timer.subscribe(TICK_MS);
    let mut outgoing = BTreeMap::new();
    let mut drain_notifiers = BTreeMap::new();
    loop {
        let event = tokio::select! {
            input = inputs.recv() => match input {
                Some(AgentInput::Event(event)) => event,
                Some(AgentInput::SessionOpened { session, outgoing: frames, drained }) => {
                    outgoing.insert(session, frames);
                    drain_notifiers.insert(session, drained);
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
                    if let Some(drained) = drain_notifiers.remove(&session) {
                        let _: Result<(), _> = drained.send(());
                    }
                }
                ExecutionAction::ReadZones { document_after } => {
                    tokio::spawn(read_rows(
                        Arc::clone(&store),
                        document_after,
                        input_sender.clone(),
                    ));
                }
                _ => {}
            }
        }
    }
}

/// Reads the evacuated zones, and the document if it has changed after a version.
async fn read_rows(
    store: Arc<StoreClient>,
    document_after: Option<u64>,
    inputs: mpsc::UnboundedSender<AgentInput>,
) {
    let zones = store.read_evacuated_zones().await.ok();
    // The agent may have stopped meanwhile.
    let _: Result<(), _> = inputs.send(AgentInput::Event(ExecutionEvent::ZonesRead { zones }));
    if let Some(after) = document_after
        && let Ok(Some(document)) = changed_document(&*store, after).await
    {
        let event = ExecutionEvent::DocumentRead(document);
        let _: Result<(), _> = inputs.send(AgentInput::Event(event));
    }
}

/// Returns both ends of a session whose frames cross the links of two hosts.
pub(super) fn connect(
    entry: &Arc<HostModel>,
    agent: &Arc<HostModel>,
    spawn: impl Fn(std::pin::Pin<Box<dyn Future<Output = ()> + Send>>),
) -> (
    FrameDuplex<AgentFrame, EntryFrame>,
    FrameDuplex<EntryFrame, AgentFrame>,
) {
    let (entry_outgoing, entry_frames) = mpsc::unbounded_channel();
    let (agent_outgoing, agent_frames) = mpsc::unbounded_channel();
    let (to_entry, entry_incoming) = mpsc::channel(256);
    let (to_agent, agent_incoming) = mpsc::channel(256);
    let (entry, agent) = (Arc::clone(entry), Arc::clone(agent));
    spawn(Box::pin(async move {
        // Either end may close the session.
        tokio::select! {
            () = relay_frames(Arc::clone(&entry), Arc::clone(&agent), entry_frames, to_agent) => {}
            () = relay_frames(agent, entry, agent_frames, to_entry) => {}
        }
    }));
    let entry_end = FrameDuplex {
        incoming: entry_incoming,
        outgoing: entry_outgoing,
    };
    let agent_end = FrameDuplex {
        incoming: agent_incoming,
        outgoing: agent_outgoing,
    };
    (entry_end, agent_end)
}

async fn relay_frames<F: Serialize>(
    from: Arc<HostModel>,
    to: Arc<HostModel>,
    mut frames: mpsc::UnboundedReceiver<F>,
    delivered: mpsc::Sender<F>,
) {
    loop {
        let frame = tokio::select! {
            frame = frames.recv() => frame,
            () = delivered.closed() => None,
        };
        let Some(frame) = frame else {
            return;
        };
        let encoded = bincode::serde::encode_to_vec(&frame, bincode::config::standard());
        let sent = from.send(&to, encoded.expect("a frame").len());
        tokio::select! {
            () = sent => {}
            () = delivered.closed() => return,
        }
        if delivered.send(frame).await.is_err() {
            return;
        }
    }
}
