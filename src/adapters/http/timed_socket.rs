//! When the other end of a connection last sent something.

use {
    crate::adapters::socket::{ObservedSocket, SocketObserver},
    std::{
        sync::{Arc, Mutex, PoisonError},
        time::Instant,
    },
};

#[derive(Debug, Clone, Copy)]
struct Times {
    /// Bytes that came after the last answer; they are the head of a call, or its beginning.
    head_since: Option<Instant>,
    /// The newest byte or answer.
    used_at: Instant,
    /// Calls that are being answered.
    calls: usize,
}

/// Clock of one connection, shared by its socket and its calls.
#[derive(Debug)]
pub(super) struct ConnectionClock {
    times: Mutex<Times>,
}

impl Default for ConnectionClock {
    fn default() -> Self {
        Self {
            times: Mutex::new(Times {
                head_since: None,
                used_at: Instant::now(),
                calls: 0,
            }),
        }
    }
}

/// A call that is being answered.
#[derive(Debug)]
pub(super) struct CallGuard(Arc<ConnectionClock>);

impl Drop for CallGuard {
    fn drop(&mut self) {
        self.0.change(|times| {
            times.calls -= 1;
            times.used_at = Instant::now();
        });
    }
}

impl ConnectionClock {
    fn change(&self, change: impl FnOnce(&mut Times)) {
        change(&mut self.times.lock().unwrap_or_else(PoisonError::into_inner));
    }

    fn times(&self) -> Times {
        *self.times.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Notes that a call's head has been read.
    pub(super) fn call(self: &Arc<Self>) -> CallGuard {
        self.change(|times| {
            times.calls += 1;
            times.head_since = None;
        });
        CallGuard(Arc::clone(self))
    }

    fn note_bytes(&self) {
        self.change(|times| {
            let now = Instant::now();
            times.used_at = now;
            if times.calls == 0 && times.head_since.is_none() {
                times.head_since = Some(now);
            }
        });
    }

    /// Whether a call's head has begun so long ago and is not there in full.
    pub(super) fn is_head_late(&self, after_ms: u64) -> bool {
        let since = self.times().head_since;
        since.is_some_and(|since| since.elapsed().as_millis() >= u128::from(after_ms))
    }

    /// Whether nothing has come or gone for so long.
    pub(super) fn is_idle_for(&self, after_ms: u64) -> bool {
        let times = self.times();
        times.calls == 0 && times.used_at.elapsed().as_millis() >= u128::from(after_ms)
    }
}

impl SocketObserver for Arc<ConnectionClock> {
    fn on_read(&self, _bytes: usize) {
        self.note_bytes();
    }
}

/// A socket that notes when bytes come in.
pub(super) type TimedSocket = ObservedSocket<Arc<ConnectionClock>>;
