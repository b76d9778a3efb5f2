//! Writes lines from a thread of its own, within a budget.

use {
    super::line_budget::LineBudget,
    crate::ports::LogPriority,
    std::{
        collections::BTreeMap,
        fmt,
        io::{self, Write},
        sync::{
            Mutex, PoisonError,
            mpsc::{Receiver, RecvTimeoutError, SyncSender, sync_channel},
        },
        thread,
        time::{Duration, Instant},
    },
};

/// Maximum number of lines queued for a slow reader.
const MAX_QUEUED_LINES: usize = 1_024;
/// Maximum time that a flush waits for the reader, in milliseconds.
const FLUSH_TIMEOUT_MS: u64 = 100;

#[derive(Debug)]
enum Item {
    Line(String),
    /// Notified when all earlier lines are written.
    Flush(SyncSender<()>),
}

/// Queues lines for a thread that writes them.
///
/// Only that thread blocks on a slow reader. Lines beyond the budget or the queue, or for a reader that is
/// gone, are dropped and counted.
pub(super) struct LineWriter {
    items: SyncSender<Item>,
    budget: Mutex<LineBudget>,
    started_at: Instant,
}

impl fmt::Debug for LineWriter {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("LineWriter").finish_non_exhaustive()
    }
}

impl LineWriter {
    /// Starts the thread under this name.
    pub(super) fn start(
        thread_name: &str,
        output: impl Write + Send + 'static,
    ) -> io::Result<Self> {
        let (items, queue) = sync_channel(MAX_QUEUED_LINES);
        thread::Builder::new()
            .name(thread_name.to_owned())
            .spawn(move || write_items(&queue, output))?;
        Ok(Self {
            items,
            budget: Mutex::new(LineBudget::default()),
            started_at: Instant::now(),
        })
    }

    /// Queues a line; never blocks. `kind` is the line's name in `notice`, which formats a line about the
    /// dropped ones.
    pub(super) fn write(
        &self,
        kind: &str,
        priority: LogPriority,
        line: String,
        notice: impl FnOnce(BTreeMap<String, u64>) -> String,
    ) {
        let now_ms = self.started_at.elapsed().as_millis() as u64;
        let mut budget = self.budget.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(dropped) = budget.drain_dropped(now_ms) {
            let notice = notice(dropped.clone());
            if self.items.try_send(Item::Line(notice)).is_err() {
                budget.restore_dropped(dropped);
            }
        }
        let fits = budget.try_consume(now_ms, priority, line.len());
        if !fits || self.items.try_send(Item::Line(line)).is_err() {
            budget.record_dropped(kind);
        }
    }

    /// Waits until the queued lines are written, for a limited time.
    pub(super) fn flush(&self) {
        let (written, is_written) = sync_channel(1);
        if self.items.try_send(Item::Flush(written)).is_err() {
            return;
        }
        let timeout = Duration::from_millis(FLUSH_TIMEOUT_MS);
        match is_written.recv_timeout(timeout) {
            // The reader is stuck or gone.
            Ok(()) | Err(RecvTimeoutError::Timeout | RecvTimeoutError::Disconnected) => {}
        }
    }
}

/// Writes all queued lines with one call.
fn write_items(queue: &Receiver<Item>, mut output: impl Write) {
    while let Ok(first) = queue.recv() {
        let mut text = String::new();
        let mut flushes = Vec::new();
        for item in std::iter::once(first).chain(queue.try_iter()) {
            match item {
                Item::Line(line) => text.push_str(&line),
                Item::Flush(written) => flushes.push(written),
            }
        }
        // The reader is gone; later lines are dropped.
        if output.write_all(text.as_bytes()).is_err() || output.flush().is_err() {
            return;
        }
        for written in flushes {
            // The flush may have timed out.
            let _ = written.try_send(());
        }
    }
}
