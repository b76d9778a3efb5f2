//! A host and its link.

use {
    std::{
        sync::{Mutex, MutexGuard},
        time::Duration,
    },
    tokio::time::{Instant, sleep_until},
};

/// Most bytes under way on one connection.
const WINDOW_BYTES: usize = 64 << 10;
/// Time from one host to another.
const DELAY: Duration = Duration::from_millis(1);

/// A host's link: what leaves shares its bandwidth, and so does what arrives.
#[derive(Debug)]
pub(in crate::site_entry::tests) struct HostModel {
    bytes_per_ms: u64,
    state: Mutex<HostState>,
}

#[derive(Debug)]
struct HostState {
    /// When all that waits to leave has left, and all that was sent here has arrived.
    idle_at: [Instant; 2],
    frozen_until: Instant,
    /// When the host was last disturbed.
    disturbed_at: Instant,
}

/// Position of a direction in the times at which the link is idle.
const OUT: usize = 0;
const IN: usize = 1;

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

    /// When bytes that are sent now have passed the link.
    fn pass(&self, direction: usize, bytes: usize) -> Instant {
        let mut state = self.state();
        let begins_at = state.idle_at[direction].max(Instant::now());
        let micros = bytes as u64 * 1_000 / self.bytes_per_ms;
        state.idle_at[direction] = begins_at + Duration::from_micros(micros);
        state.idle_at[direction]
    }

    /// Sends bytes to another host, a window at a time.
    pub(super) async fn send(&self, to: &Self, bytes: usize) {
        self.thawed().await;
        for window in windows(bytes) {
            let left_at = self.pass(OUT, window);
            sleep_until(left_at.max(to.pass(IN, window)) + DELAY).await;
        }
        to.thawed().await;
    }

    /// Receives a window of bytes from the store; the acknowledgement of each waits behind what leaves.
    pub(super) async fn receive(&self, bytes: usize) {
        sleep_until(self.pass(IN, bytes) + DELAY).await;
        sleep_until(self.pass(OUT, 0) + DELAY).await;
        self.thawed().await;
    }

    /// Waits until the host is at work.
    pub(super) async fn thawed(&self) {
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

    pub(super) fn disturb(&self) {
        let mut state = self.state();
        state.disturbed_at = state.disturbed_at.max(Instant::now());
    }

    /// For how long the host has not been disturbed.
    pub(super) fn calm_for(&self) -> Duration {
        let disturbed_at = self.state().disturbed_at;
        Instant::now().saturating_duration_since(disturbed_at)
    }
}

/// Sizes of the windows in which so many bytes cross.
pub(super) fn windows(bytes: usize) -> impl Iterator<Item = usize> {
    (0..bytes.max(1))
        .step_by(WINDOW_BYTES)
        .map(move |from| WINDOW_BYTES.min(bytes - from))
}
