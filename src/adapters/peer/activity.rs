//! Whether a connection is in use, and whether someone waits for the other end.

use {
    std::{sync::Arc, time::Duration},
    tokio::{
        sync::watch,
        time::{sleep, timeout},
    },
};

#[derive(Debug, Clone, Copy, Default)]
struct StreamCounts {
    /// Streams that are open.
    streams: usize,
    /// Streams that have been opened.
    opened: u64,
    /// Replies and outcomes that someone waits for.
    awaited: usize,
    /// No further stream may be opened.
    closed: bool,
}

/// Use of one connection, shared by its streams and the task that watches over it.
#[derive(Debug)]
pub(crate) struct ConnectionActivity {
    idle_timeout: Duration,
    counts: watch::Sender<StreamCounts>,
}

impl ConnectionActivity {
    /// A connection that is closed after being unused for `idle_close`.
    pub(crate) fn new(idle_timeout: Duration) -> Self {
        Self {
            idle_timeout,
            counts: watch::Sender::default(),
        }
    }

    /// Notes a new stream; `None` if the connection is being closed.
    pub(crate) fn open_stream(self: &Arc<Self>) -> Option<OpenStreamGuard> {
        let mut is_open = false;
        self.counts.send_modify(|counts| {
            is_open = !counts.closed;
            if is_open {
                counts.streams += 1;
                counts.opened += 1;
            }
        });
        is_open.then(|| OpenStreamGuard(Arc::clone(self)))
    }

    /// Notes that someone waits for the other end, until the guard is dropped.
    pub(crate) fn await_reply(self: &Arc<Self>) -> AwaitedReplyGuard {
        self.counts.send_modify(|counts| counts.awaited += 1);
        AwaitedReplyGuard(Arc::clone(self))
    }

    /// Resolves with the future's value, or with `None` after the time that closes an idle session.
    pub(crate) async fn within_idle_timeout<T>(&self, work: impl Future<Output = T>) -> Option<T> {
        timeout(self.idle_timeout, work).await.ok()
    }

    /// Resolves as soon as someone waits for the other end.
    pub(crate) async fn until_reply_awaited(&self) {
        // The sender is this object, so it can't be gone.
        let _ = self
            .counts
            .subscribe()
            .wait_for(|counts| counts.awaited > 0)
            .await;
    }

    /// Whether someone waits for the other end.
    pub(crate) fn is_reply_awaited(&self) -> bool {
        self.counts.borrow().awaited > 0
    }

    /// Resolves when the connection has had no stream for a while; none can be opened from then on.
    pub(crate) async fn until_idle(&self) {
        let mut counts = self.counts.subscribe();
        loop {
            let opened = match counts.wait_for(|counts| counts.streams == 0).await {
                Ok(counts) => counts.opened,
                Err(_) => return,
            };
            sleep(self.idle_timeout).await;
            self.counts.send_if_modified(|counts| {
                counts.closed = counts.streams == 0 && counts.opened == opened;
                false
            });
            if self.counts.borrow().closed {
                return;
            }
        }
    }
}

/// An open stream.
#[derive(Debug)]
pub(crate) struct OpenStreamGuard(Arc<ConnectionActivity>);

impl Drop for OpenStreamGuard {
    fn drop(&mut self) {
        self.0.counts.send_modify(|counts| counts.streams -= 1);
    }
}

/// A reply that someone waits for.
#[derive(Debug)]
pub(crate) struct AwaitedReplyGuard(Arc<ConnectionActivity>);

impl Drop for AwaitedReplyGuard {
    fn drop(&mut self) {
        self.0.counts.send_modify(|counts| counts.awaited -= 1);
    }
}
