//! The tasks of one session whose outcomes its home waits for.

use {
    super::activity::{Activity, AwaitedReply, OpenStream},
    crate::core::{
        job::TaskRef,
        message::{HomeFrame, RunnerFrame, TaskStatus},
    },
    std::{
        collections::BTreeMap,
        sync::{Arc, Mutex, MutexGuard, PoisonError},
    },
};

#[derive(Debug)]
struct Inner {
    welcomed: bool,
    /// Slots asked for and not yet offered.
    demanded: u16,
    /// Started on this session (`None`), or asked after as started on that epoch.
    tasks: BTreeMap<TaskRef, Option<u64>>,
    awaited: Option<AwaitedReply>,
}

/// Follows a session's frames and tells its connection whether something is awaited on it.
///
/// Guards against a session that goes silent while its home waits: from the hello to the welcome
/// from a start or query to the outcome, and from a demand to the
/// offers the connection counts as awaited, so it is pinged.
/// A session on which nothing is awaited costs no pings.
#[derive(Debug)]
pub(crate) struct AwaitedTasks {
    activity: Arc<Activity>,
    _stream: OpenStream,
    inner: Mutex<Inner>,
}

impl AwaitedTasks {
    /// A session whose hello is about to be sent.
    pub(crate) fn new(activity: Arc<Activity>, stream: OpenStream) -> Self {
        let inner = Inner {
            welcomed: false,
            demanded: 0,
            tasks: BTreeMap::new(),
            awaited: Some(activity.await_reply()),
        };
        Self {
            activity,
            _stream: stream,
            inner: Mutex::new(inner),
        }
    }

    /// Follows a frame that is about to be sent.
    pub(crate) fn sending(&self, frame: &HomeFrame) {
        let mut inner = self.lock();
        match frame {
            HomeFrame::Start(start) => {
                inner.tasks.insert(start.task, None);
            }
            HomeFrame::Query { tasks } => {
                let asked = tasks.iter().map(|(task, epoch)| (*task, Some(*epoch)));
                inner.tasks.extend(asked);
            }
            HomeFrame::Demand { tasks, .. } => inner.demanded = *tasks,
            HomeFrame::Hello { .. } | HomeFrame::Cancel { .. } | HomeFrame::Ack { .. } => {}
        }
        self.tell(&mut inner);
    }

    /// Follows a frame that has come.
    pub(crate) fn received(&self, frame: &RunnerFrame) {
        let mut inner = self.lock();
        match frame {
            RunnerFrame::Welcome { .. } => inner.welcomed = true,
            RunnerFrame::Offer { .. } => inner.demanded = inner.demanded.saturating_sub(1),
            RunnerFrame::Outcome { task, .. } => {
                inner.tasks.remove(task);
            }
            RunnerFrame::Statuses { tasks } => {
                for report in tasks {
                    let asked = inner.tasks.get(&report.task) == Some(&Some(report.epoch));
                    // A task that was started anew since is awaited whatever became of the first.
                    if asked && !matches!(report.status, TaskStatus::Running) {
                        inner.tasks.remove(&report.task);
                    }
                }
            }
        }
        self.tell(&mut inner);
    }

    /// The use of the session's connection.
    pub(crate) fn activity(&self) -> &Activity {
        &self.activity
    }

    /// Whether nothing is awaited.
    pub(crate) fn is_empty(&self) -> bool {
        self.lock().awaited.is_none()
    }

    fn tell(&self, inner: &mut Inner) {
        let is_awaiting = !inner.welcomed || !inner.tasks.is_empty() || inner.demanded > 0;
        if !is_awaiting {
            inner.awaited = None;
        } else if inner.awaited.is_none() {
            inner.awaited = Some(self.activity.await_reply());
        }
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
