//! Host of the simulation and its network link.

use {
    std::{
        sync::{Mutex, MutexGuard},
        time::Duration,
    },
    tokio::time::{Instant, sleep_until},
};

/// Maximum bytes in flight on one connection.
const WINDOW_BYTES: usize = 64 << 10;
/// One-way latency.
const LINK_DELAY: Duration = Duration::from_millis(1);

/// A host with a full-duplex link; connections share the bandwidth of each direction.
#[derive(Debug)]
pub(in crate::site_entry::tests) struct HostModel {
    bytes_per_ms: u64,
    state: Mutex<HostState>,
}

#[derive(Debug)]
struct HostState {
    /// When the outbound and the inbound queue are empty.
    idle_at: [Instant; 2],
    frozen_until: Instant,
    /// When the host last started, stopped or thawed.
    disturbed_at: Instant,
}

/// Indexes into `HostState::idle_at`.
const OUTBOUND: usize = 0;
const INBOUND: usize = 1;

impl HostModel {
    pub(super) fn new(mbit_per_s: u64) -> Self {
        let now = Instant::now();
        Self {
            bytes_per_ms: mbit_per_s * 125,
            state: Mutex::new(HostState {
                idle_at: [now; 2],
                frozen_until: now,
                disturbed_at: now,
            }),
        }
    }

    fn state(&self) -> MutexGuard<'_, HostState> {
        self.state.lock().expect("lock")
    }

    /// Queues bytes on the link; returns when they have passed it.
    fn reserve_link(&self, direction: usize, bytes: usize) -> Instant {
        let mut state = self.state();
        let starts_at = state.idle_at[direction].max(Instant::now());
        let micros = bytes as u64 * 1_000 / self.bytes_per_ms;
        state.idle_at[direction] = starts_at + Duration::from_micros(micros);
        state.idle_at[direction]
    }

    /// Sends bytes to another host, one window at a time.
    pub(super) async fn send(&self, to: &Self, bytes: usize) {
        self.wait_while_frozen().await;
        for window in windows(bytes) {
            let sent_at = self.reserve_link(OUTBOUND, window);
            sleep_until(sent_at.max(to.reserve_link(INBOUND, window)) + LINK_DELAY).await;
        }
        to.wait_while_frozen().await;
    }

    /// Receives a window of bytes from the store; its acknowledgement waits for the outbound queue.
    pub(super) async fn receive(&self, bytes: usize) {
        sleep_until(self.reserve_link(INBOUND, bytes) + LINK_DELAY).await;
        sleep_until(self.reserve_link(OUTBOUND, 0) + LINK_DELAY).await;
        self.wait_while_frozen().await;
    }

    /// Waits until the host is not frozen.
    pub(super) async fn wait_while_frozen(&self) {
        loop {
            let frozen_until = self.state().frozen_until;
            if Instant::now() >= frozen_until {
                return;
            }
            sleep_until(frozen_until).await;
        }
    }

    pub(super) fn freeze(&self, for_ms: u64) {
        let until = Instant::now() + Duration::from_millis(for_ms);
        let mut state = self.state();
        state.frozen_until = until;
        state.disturbed_at = until;
    }

    pub(super) fn mark_disturbed(&self) {
        let mut state = self.state();
        state.disturbed_at = state.disturbed_at.max(Instant::now());
    }

    /// Time since the host last started, stopped or thawed.
    pub(super) fn undisturbed_for(&self) -> Duration {
        let disturbed_at = self.state().disturbed_at;
        Instant::now().saturating_duration_since(disturbed_at)
    }
}

/// Splits a number of bytes into window sizes.
pub(super) fn windows(bytes: usize) -> impl Iterator<Item = usize> {
    (0..bytes.max(1))
        .step_by(WINDOW_BYTES)
        .map(move |from| WINDOW_BYTES.min(bytes - from))
}
