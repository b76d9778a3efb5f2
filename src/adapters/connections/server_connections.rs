//! Tracks the connections of a server and closes those that its limits require.

use {
    crate::{
        core::{
            connections::{
                CloseMode, Closing, ConnectionId, ConnectionLimits, ConnectionTable, Stage,
            },
            time::Instant,
        },
        ports::{ConnectionLoad, Counter, Metrics},
    },
    std::{
        collections::BTreeMap,
        sync::{
            Arc, Mutex, MutexGuard, PoisonError,
            atomic::{AtomicUsize, Ordering},
        },
        time,
    },
    tokio::sync::{Notify, watch},
};

/// Label of connections that were closed because all others handle requests.
const REFUSED: &str = "refused";

#[derive(Debug)]
struct State {
    table: ConnectionTable,
    /// Orders to the tasks of the connections.
    orders: BTreeMap<ConnectionId, watch::Sender<Option<CloseMode>>>,
}

impl State {
    fn send_order(&self, id: ConnectionId, mode: CloseMode) {
        if let Some(order) = self.orders.get(&id) {
            order.send_replace(Some(mode));
        }
    }
}

/// The connections of one server.
#[derive(Debug)]
pub(crate) struct ServerConnections {
    /// Name in logs and metrics.
    server: &'static str,
    metrics: Option<Arc<dyn Metrics>>,
    started_at: time::Instant,
    state: Mutex<State>,
    /// Notified when a connection has gone.
    removed: Notify,
}

impl ServerConnections {
    pub(crate) fn new(
        server: &'static str,
        limits: ConnectionLimits,
        metrics: &Arc<dyn Metrics>,
    ) -> Arc<Self> {
        let connections = Arc::new(Self::build(server, limits, Some(Arc::clone(metrics))));
        let observed = Arc::downgrade(&connections);
        let load = move || observed.upgrade().map(|connections| connections.load());
        metrics.observe_connections(server, Box::new(load));
        connections
    }

    /// Connections of a server that has no untrusted clients.
    pub(crate) fn unlimited() -> Arc<Self> {
        let limits = ConnectionLimits {
            max_connections: usize::MAX / 2,
            max_buffered_bytes: usize::MAX,
        };
        Arc::new(Self::build("unlimited", limits, None))
    }

    fn build(
        server: &'static str,
        limits: ConnectionLimits,
        metrics: Option<Arc<dyn Metrics>>,
    ) -> Self {
        Self {
            server,
            metrics,
            started_at: time::Instant::now(),
            state: Mutex::new(State {
                table: ConnectionTable::new(limits),
                orders: BTreeMap::new(),
            }),
            removed: Notify::new(),
        }
    }

    fn count_closed(&self, cause: &'static str) {
        if let Some(metrics) = &self.metrics {
            metrics.count(Counter::ClosedConnections, cause);
        }
    }

    fn load(&self) -> ConnectionLoad {
        let state = self.lock();
        ConnectionLoad {
            connections: state.table.len() as u64,
            buffered_bytes: state.table.buffered_bytes() as u64,
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn now(&self) -> Instant {
        let micros = self.started_at.elapsed().as_micros();
        Instant::from_micros(u64::try_from(micros).unwrap_or(u64::MAX))
    }

    /// Adds a new connection and closes another one for it if necessary; `None` if none can be closed.
    ///
    /// Waits until the closed connection has gone, so that its descriptor is free before the next accept.
    pub(crate) async fn track(self: &Arc<Self>) -> Option<Arc<TrackedConnection>> {
        let tracked = self.open()?;
        while self.lock().table.is_over_limit() {
            self.removed.notified().await;
        }
        Some(tracked)
    }

    fn open(self: &Arc<Self>) -> Option<Arc<TrackedConnection>> {
        let now = self.now();
        let mut state = self.lock();
        let Some(opened) = state.table.open(now) else {
            drop(state);
            self.count_closed(REFUSED);
            log::info!(server = self.server; "connection refused: all others handle requests");
            return None;
        };
        if let Some(closing) = &opened.closed {
            state.send_order(closing.id, closing.mode);
        }
        if let Some(aborted) = opened.aborted {
            state.send_order(aborted, CloseMode::Abort);
        }
        let (order, received_order) = watch::channel(None);
        state.orders.insert(opened.id, order);
        drop(state);
        self.record(opened.closed.as_slice());
        Some(Arc::new(TrackedConnection {
            id: opened.id,
            connections: Arc::clone(self),
            order: received_order,
            max_request_bytes: AtomicUsize::new(0),
        }))
    }

    /// Whether no connection has a request in progress; those that are still being received count if
    /// `including_unfinished`.
    pub(crate) fn is_idle(&self, including_unfinished: bool) -> bool {
        let state = self.lock();
        if including_unfinished {
            return state.table.len() == 0;
        }
        state.table.count(Stage::Handling) == 0
    }

    /// Counts and logs closed connections.
    fn record(&self, closed: &[Closing]) {
        for closing in closed {
            let cause = closing.cause.as_str();
            self.count_closed(cause);
            log::info!(
                server = self.server,
                cause,
                stage = closing.stage.as_str(),
                held_ms = closing.held_ms,
                buffered_bytes = closing.buffered_bytes;
                "connection closed at a limit"
            );
        }
    }
}

/// An open connection; removed from its server's connections on drop.
#[derive(Debug)]
pub(crate) struct TrackedConnection {
    id: ConnectionId,
    connections: Arc<ServerConnections>,
    order: watch::Receiver<Option<CloseMode>>,
    /// Size of the largest request under the limits in force.
    max_request_bytes: AtomicUsize,
}

impl TrackedConnection {
    /// Waits until the connection must be closed.
    pub(crate) async fn close_order(&self) {
        let mut order = self.order.clone();
        // The sender lives as long as this connection.
        let _ = order.wait_for(Option::is_some).await;
    }

    /// Receiver of the orders to close the connection.
    pub(crate) fn orders(&self) -> watch::Receiver<Option<CloseMode>> {
        self.order.clone()
    }

    /// Whether the connection must be closed.
    pub(crate) fn is_closing(&self) -> bool {
        self.order.borrow().is_some()
    }

    pub(crate) fn set_max_request_bytes(&self, bytes: usize) {
        self.max_request_bytes.store(bytes, Ordering::Relaxed);
    }

    /// Changes the stage; false if the connection must be closed.
    pub(crate) fn enter(&self, stage: Stage) -> bool {
        let now = self.connections.now();
        self.connections.lock().table.enter(self.id, stage, now)
    }

    /// Counts bytes that arrived on the socket; those of a body are counted when they are kept.
    pub(crate) fn receive(&self, bytes: usize) {
        self.update(|table, max_request_bytes, now| {
            table.receive(self.id, bytes, max_request_bytes, now)
        });
    }

    /// Counts bytes that a body is about to occupy; false if the connection must be closed.
    pub(crate) fn reserve(&self, bytes: usize) -> bool {
        self.update(|table, max_request_bytes, now| {
            table.grow(self.id, bytes, max_request_bytes, now)
        });
        !self.is_closing()
    }

    fn update(&self, update: impl FnOnce(&mut ConnectionTable, usize, Instant) -> Vec<Closing>) {
        let now = self.connections.now();
        let max_request_bytes = self.max_request_bytes.load(Ordering::Relaxed);
        let mut state = self.connections.lock();
        let closed = update(&mut state.table, max_request_bytes, now);
        for closing in &closed {
            state.send_order(closing.id, closing.mode);
        }
        drop(state);
        self.connections.record(&closed);
    }
}

impl Drop for TrackedConnection {
    fn drop(&mut self) {
        let mut state = self.connections.lock();
        state.table.remove(self.id);
        state.orders.remove(&self.id);
        drop(state);
        self.connections.removed.notify_one();
    }
}
