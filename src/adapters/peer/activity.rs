//! Whether a connection is in use, and whether someone waits for the other end.

use {
    std::{sync::Arc, time::Duration},
    tokio::{
        sync::watch,
        time::{sleep, timeout},
    },
};

#[derive(Debug, Clone, Copy, Default)]
struct Counts {
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
pub(crate) struct Activity {
    idle_close: Duration,
    counts: watch::Sender<Counts>,
}

impl Activity {
    /// A connection that is closed after being unused for `idle_close`.
    pub(crate) fn new(idle_close: Duration) -> Self {
        Self {
            idle_close,
            counts: watch::Sender::default(),
        }
    }

    /// Notes a new stream; `None` if the connection is being closed.
    pub(crate) fn open_stream(self: &Arc<Self>) -> Option<OpenStream> {
        let mut is_open = false;
        self.counts.send_modify(|counts| {
            is_open = !counts.closed;
            if is_open {
                counts.streams += 1;
                counts.opened += 1;
            }
        });
        is_open.then(|| OpenStream(Arc::clone(self)))
    }

    /// Notes that someone waits for the other end, until the guard is dropped.
    pub(crate) fn await_reply(self: &Arc<Self>) -> AwaitedReply {
        self.counts.send_modify(|counts| counts.awaited += 1);
        AwaitedReply(Arc::clone(self))
    }

    /// Resolves with the future's value, or with `None` after the time that closes an idle session.
    pub(crate) async fn before_idle<T>(&self, work: impl Future<Output = T>) -> Option<T> {
        timeout(self.idle_close, work).await.ok()
    }

    /// Resolves as soon as someone waits for the other end.
    pub(crate) async fn awaiting(&self) {
        // The sender is this object, so it can't be gone.
        let _ = self
            .counts
            .subscribe()
            .wait_for(|counts| counts.awaited > 0)
            .await;
    }

    /// Whether someone waits for the other end.
    pub(crate) fn is_awaiting(&self) -> bool {
        self.counts.borrow().awaited > 0
    }

    /// Resolves when the connection has had no stream for a while; none can be opened from then on.
    pub(crate) async fn until_unused(&self) {
        let mut counts = self.counts.subscribe();
        loop {
            let opened = match counts.wait_for(|counts| counts.streams == 0).await {
                Ok(counts) => counts.opened,
                Err(_) => return,
            };
            sleep(self.idle_close).await;
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
pub(crate) struct OpenStream(Arc<Activity>);

impl Drop for OpenStream {
    fn drop(&mut self) {
        self.0.counts.send_modify(|counts| counts.streams -= 1);
    }
}

/// A reply that someone waits for.
#[derive(Debug)]
pub(crate) struct AwaitedReply(Arc<Activity>);

impl Drop for AwaitedReply {
    fn drop(&mut self) {
        self.0.counts.send_modify(|counts| counts.awaited -= 1);
    }
}
