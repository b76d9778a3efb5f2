//! Open streams and awaited replies of a connection.

use {
    std::{sync::Arc, time::Duration},
    tokio::{
        sync::watch,
        time::{sleep, timeout},
    },
};

#[derive(Debug, Clone, Copy, Default)]
struct ConnectionCounts {
    /// Open streams.
    streams: usize,
    /// Streams opened since the connection was established.
    opened: u64,
    /// Awaited replies and outcomes.
    awaited: usize,
    /// No more streams may be opened.
    closed: bool,
}

/// Activity of one connection, shared by its streams and its liveness check.
#[derive(Debug)]
pub(crate) struct ConnectionActivity {
    idle_timeout: Duration,
    counts: watch::Sender<ConnectionCounts>,
}

impl ConnectionActivity {
    pub(crate) fn new(idle_timeout: Duration) -> Self {
        Self {
            idle_timeout,
            counts: watch::Sender::default(),
        }
    }

    /// Counts a stream until the guard is dropped; `None` if the connection is being closed.
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

    /// Counts an awaited reply until the guard is dropped.
    pub(crate) fn await_reply(self: &Arc<Self>) -> AwaitedReplyGuard {
        self.counts.send_modify(|counts| counts.awaited += 1);
        AwaitedReplyGuard(Arc::clone(self))
    }

    /// Resolves with the future's value, or with `None` after the idle timeout.
    pub(crate) async fn within_idle_timeout<T>(&self, work: impl Future<Output = T>) -> Option<T> {
        timeout(self.idle_timeout, work).await.ok()
    }

    /// Resolves when a reply is awaited.
    pub(crate) async fn until_reply_awaited(&self) {
        // Can't fail: `self` owns the sender.
        let _ = self
            .counts
            .subscribe()
            .wait_for(|counts| counts.awaited > 0)
            .await;
    }

    pub(crate) fn is_reply_awaited(&self) -> bool {
        self.counts.borrow().awaited > 0
    }

    /// Resolves when the connection has had no stream for the idle timeout; then no stream can be opened.
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

/// Counts a stream as open until dropped.
#[derive(Debug)]
pub(crate) struct OpenStreamGuard(Arc<ConnectionActivity>);

impl Drop for OpenStreamGuard {
    fn drop(&mut self) {
        self.0.counts.send_modify(|counts| counts.streams -= 1);
    }
}

/// Counts a reply as awaited until dropped.
#[derive(Debug)]
pub(crate) struct AwaitedReplyGuard(Arc<ConnectionActivity>);

impl Drop for AwaitedReplyGuard {
    fn drop(&mut self) {
        self.0.counts.send_modify(|counts| counts.awaited -= 1);
    }
}
