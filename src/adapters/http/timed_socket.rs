//! Activity of an HTTP connection, for its timeouts.

use {
    crate::{
        adapters::{
            connections::TrackedConnection,
            socket::{ObservedSocket, SocketObserver},
        },
        core::connections::Stage,
    },
    std::{
        sync::{Arc, Mutex, PoisonError},
        time::Instant,
    },
};

#[derive(Debug, Clone, Copy)]
struct ConnectionState {
    /// When the first bytes of the current request header arrived.
    header_started_at: Option<Instant>,
    /// When bytes last arrived or a response was completed.
    last_activity_at: Instant,
    active_requests: usize,
}

/// Activity of one connection, shared by its socket and its requests.
#[derive(Debug)]
pub(super) struct ConnectionClock {
    state: Mutex<ConnectionState>,
    tracked: Arc<TrackedConnection>,
}

impl ConnectionClock {
    pub(super) fn new(tracked: Arc<TrackedConnection>) -> Self {
        Self {
            tracked,
            state: Mutex::new(ConnectionState {
                header_started_at: None,
                last_activity_at: Instant::now(),
                active_requests: 0,
            }),
        }
    }
}

/// Marks a request as active until dropped.
#[derive(Debug)]
pub(super) struct RequestGuard(Arc<ConnectionClock>);

impl Drop for RequestGuard {
    fn drop(&mut self) {
        // A connection that must be closed is closed by its task.
        self.0.tracked.enter(Stage::Idle);
        self.0.update(|state| {
            state.active_requests -= 1;
            state.last_activity_at = Instant::now();
        });
    }
}

impl ConnectionClock {
    fn update(&self, update: impl FnOnce(&mut ConnectionState)) {
        update(&mut self.state.lock().unwrap_or_else(PoisonError::into_inner));
    }

    fn state(&self) -> ConnectionState {
        *self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records that a request header has been read.
    pub(super) fn start_request(self: &Arc<Self>) -> RequestGuard {
        self.tracked.enter(Stage::Body);
        self.update(|state| {
            state.active_requests += 1;
            state.header_started_at = None;
        });
        RequestGuard(Arc::clone(self))
    }

    fn record_read(&self) {
        self.update(|state| {
            let now = Instant::now();
            state.last_activity_at = now;
            if state.active_requests == 0 && state.header_started_at.is_none() {
                state.header_started_at = Some(now);
            }
        });
    }

    /// Whether a request header is still incomplete `timeout_ms` after its first bytes.
    pub(super) fn is_header_overdue(&self, timeout_ms: u64) -> bool {
        let started_at = self.state().header_started_at;
        started_at
            .is_some_and(|started_at| started_at.elapsed().as_millis() >= u128::from(timeout_ms))
    }

    /// Whether the connection has had no activity for `timeout_ms`.
    pub(super) fn is_idle_for(&self, timeout_ms: u64) -> bool {
        let state = self.state();
        state.active_requests == 0
            && state.last_activity_at.elapsed().as_millis() >= u128::from(timeout_ms)
    }
}

impl SocketObserver for Arc<ConnectionClock> {
    fn on_read(&self, bytes: usize) {
        self.tracked.receive(bytes);
        self.record_read();
    }
}

/// A socket that records when bytes arrive.
pub(super) type TimedSocket = ObservedSocket<Arc<ConnectionClock>>;
