//! Tests of dialling entries, with sockets on loopback.

use {
    crate::{
        adapters::{
            connections::ServerConnections,
            link::{FrameDuplex, serve_links},
            timer::TokioTimer,
        },
        core::{
            execution::ExecutionEvent,
            link::{AgentFrame, EntryFrame},
        },
        ports::{Counter, EntryListStore, Gauge, Histogram, Metrics},
        site_agent::{
            dialler::Dialler, execution_loop::LoopInput, stale_entry_remover::StaleEntryRemover,
        },
    },
    std::{
        collections::BTreeMap,
        net::SocketAddr,
        sync::{Arc, Mutex, atomic::AtomicU64},
        time::Duration,
    },
    tokio::{
        net::{TcpListener, TcpSocket, TcpStream},
        sync::mpsc,
        task::JoinHandle,
        time::{Instant, sleep, timeout},
    },
};

/// Entries that an agent selects.
const ENTRIES: usize = 12;
/// Agents of an entry, with 900 agents and 75 entries.
const AGENTS: usize = 144;
const OUTAGE: Duration = Duration::from_secs(2);
/// Time after the entries' return within which the agent must have its sessions.
const SESSIONS_LIMIT: Duration = Duration::from_millis(300);

/// Counts dials by outcome.
#[derive(Debug, Default)]
struct DialCounter(Mutex<BTreeMap<&'static str, u64>>);

impl DialCounter {
    fn count_of(&self, outcome: &str) -> u64 {
        let counts = self.0.lock().expect("lock");
        counts.get(outcome).copied().unwrap_or(0)
    }
}

impl Metrics for DialCounter {
    fn add(&self, counter: Counter, reason: &'static str, amount: u64) {
        if counter == Counter::Dials {
            *self.0.lock().expect("lock").entry(reason).or_default() += amount;
        }
    }

    fn count_for_queue(&self, _: Counter, _: &str, _: &'static str) {}

    fn set(&self, _: Gauge, _: u64) {}

    fn set_for_queue(&self, _: Gauge, _: &str, _: u64) {}

    fn observe(&self, _: Histogram, _: &'static str, _: u64) {}

    fn render(&self) -> String {
        String::new()
    }
}

/// A dialler whose sessions are closed when the entry closes them.
#[derive(Debug)]
struct Agent {
    dials: Arc<DialCounter>,
    /// Notified of each session, with the time at which it was opened.
    opened: mpsc::UnboundedReceiver<(String, Instant)>,
    _lists: mpsc::UnboundedSender<Vec<SocketAddr>>,
}

impl Agent {
    fn start(entries: Vec<SocketAddr>) -> Self {
        let (inputs, receiver) = mpsc::unbounded_channel();
        let (lists, list_receiver) = mpsc::unbounded_channel();
        let (opened_sender, opened) = mpsc::unbounded_channel();
        let dials = Arc::new(DialCounter::default());
        let dialler = Dialler {
            agent: "agent-1".to_owned(),
            inputs,
            timer: Arc::new(TokioTimer::new()),
            metrics: Arc::clone(&dials) as _,
            last_session: AtomicU64::new(1),
            stale_entry_remover: Arc::new(StaleEntryRemover {
                store: Arc::new(EntryListStore::default()),
            }),
        };
        tokio::spawn(Arc::new(dialler).run(list_receiver));
        tokio::spawn(maintain_sessions(receiver, opened_sender));
        lists.send(entries).expect("a dialler");
        Self {
            dials,
            opened,
            _lists: lists,
        }
    }

    /// Waits until there is a session with each of the entries; returns the time since `start` at which
    /// the last one was opened.
    async fn sessions_after(&mut self, start: Instant, entries: usize) -> Duration {
        let mut opened_at = BTreeMap::new();
        while opened_at.len() < entries {
            let opened = timeout(Duration::from_secs(5), self.opened.recv()).await;
            let (entry, at) = opened.expect("a session in time").expect("an agent");
            opened_at.insert(entry, at);
        }
        let last = opened_at.into_values().max().expect("a session");
        last.saturating_duration_since(start)
    }
}

/// Stands in for the execution loop: keeps sessions open until their entries close them.
async fn maintain_sessions(
    mut inputs: mpsc::UnboundedReceiver<LoopInput>,
    opened: mpsc::UnboundedSender<(String, Instant)>,
) {
    let mut sessions = BTreeMap::new();
    while let Some(input) = inputs.recv().await {
        match input {
            LoopInput::SessionOpened {
                session,
                entry,
                outgoing,
                drained,
            } => {
                sessions.insert(session, (outgoing, drained));
                let _ = opened.send((entry, Instant::now()));
            }
            LoopInput::Event(ExecutionEvent::SessionLost { session }) => {
                if let Some((_, drained)) = sessions.remove(&session) {
                    let _ = drained.send(());
                }
            }
            _ => {}
        }
    }
}

/// An entry's address, on which a listener may be present or not.
#[derive(Debug)]
struct Entry {
    addr: SocketAddr,
    /// Reserves the port while nobody listens.
    _reserved: TcpSocket,
}

fn bind(addr: SocketAddr) -> TcpSocket {
    let socket = TcpSocket::new_v4().expect("socket");
    socket.set_reuseaddr(true).expect("option");
    socket.bind(addr).expect("bind");
    socket
}

/// Sessions of a running entry; dropped to close them.
type Sessions = mpsc::UnboundedReceiver<FrameDuplex<AgentFrame, EntryFrame>>;

impl Entry {
    fn new() -> Self {
        let reserved = bind(SocketAddr::from(([127, 0, 0, 1], 0)));
        Self {
            addr: reserved.local_addr().expect("address"),
            _reserved: reserved,
        }
    }

    /// Starts the entry's process.
    fn start(&self) -> (JoinHandle<()>, Sessions) {
        let listener = bind(self.addr).listen(1_024).expect("listen");
        let (opened, sessions) = mpsc::unbounded_channel();
        let metrics = Arc::new(DialCounter::default());
        (
            tokio::spawn(serve_links(
                listener,
                opened,
                ServerConnections::unlimited(),
                metrics,
            )),
            sessions,
        )
    }

    /// Ignores connection attempts while the returned sockets are open: the accept queue holds one
    /// connection more than its length, and a full one drops SYNs.
    async fn ignore_dials(&self) -> (TcpListener, [TcpStream; 2]) {
        let listener = bind(self.addr).listen(1).expect("listen");
        let connect = || TcpStream::connect(self.addr);
        let queued = [
            connect().await.expect("first"),
            connect().await.expect("second"),
        ];
        (listener, queued)
    }
}

fn entries() -> Vec<Entry> {
    (0..ENTRIES).map(|_| Entry::new()).collect()
}

fn addrs(entries: &[Entry]) -> Vec<SocketAddr> {
    entries.iter().map(|entry| entry.addr).collect()
}

/// An entry that starts after a power loss must not wait for a long backoff of its agents.
#[tokio::test]
async fn entries_that_did_not_respond_have_sessions_soon_after_their_return() {
    let entries = entries();
    let mut unresponsive = Vec::new();
    for entry in &entries {
        unresponsive.push(entry.ignore_dials().await);
    }
    let mut agent = Agent::start(addrs(&entries));
    sleep(OUTAGE).await;
    assert_eq!(agent.dials.count_of("connected"), 0);
    drop(unresponsive);
    let start = Instant::now();
    let _running: Vec<_> = entries.iter().map(Entry::start).collect();
    let took = agent.sessions_after(start, ENTRIES).await;
    assert!(took <= SESSIONS_LIMIT, "{took:?}");
}

/// All agents of an entry dial it at about the same time.
#[tokio::test]
async fn an_entry_that_returns_has_nearly_all_of_its_agents_soon() {
    let entry = Entry::new();
    let unresponsive = entry.ignore_dials().await;
    let mut agents: Vec<Agent> = (0..AGENTS)
        .map(|_| Agent::start(vec![entry.addr]))
        .collect();
    sleep(OUTAGE).await;
    drop(unresponsive);
    let start = Instant::now();
    let _running = entry.start();
    let mut late = 0;
    for agent in &mut agents {
        late += usize::from(agent.sessions_after(start, 1).await > SESSIONS_LIMIT);
    }
    assert!(late <= AGENTS / 20, "{late} of {AGENTS} agents");
}

/// Hosts return before their processes; meanwhile connections are refused.
#[tokio::test]
async fn entries_that_refused_have_sessions_soon_after_their_start() {
    let entries = entries();
    let mut agent = Agent::start(addrs(&entries));
    sleep(OUTAGE).await;
    let start = Instant::now();
    let _running: Vec<_> = entries.iter().map(Entry::start).collect();
    let took = agent.sessions_after(start, ENTRIES).await;
    assert!(took <= SESSIONS_LIMIT, "{took:?}");
    let refused = agent.dials.count_of("refused");
    assert!(refused <= 2 * 150 + 24, "{refused} dials in 2 s");
}

/// Sessions that were open before an outage must come back like those of a new agent.
#[tokio::test]
async fn lost_sessions_come_back_soon_after_the_return_of_their_entries() {
    let entries = entries();
    let running: Vec<_> = entries.iter().map(Entry::start).collect();
    let start = Instant::now();
    let mut agent = Agent::start(addrs(&entries));
    let took = agent.sessions_after(start, ENTRIES).await;
    assert!(took <= SESSIONS_LIMIT, "{took:?} at first");
    for (server, _sessions) in running {
        server.abort();
        let _ = server.await;
    }
    let mut unresponsive = Vec::new();
    for entry in &entries {
        unresponsive.push(entry.ignore_dials().await);
    }
    sleep(OUTAGE).await;
    drop(unresponsive);
    let start = Instant::now();
    let _running: Vec<_> = entries.iter().map(Entry::start).collect();
    let took = agent.sessions_after(start, ENTRIES).await;
    assert!(took <= SESSIONS_LIMIT, "{took:?}");
}
