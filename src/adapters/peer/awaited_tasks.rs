//! The tasks of one session whose outcomes its home waits for.

use {
    super::activity::{AwaitedReplyGuard, ConnectionActivity, OpenStreamGuard},
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
struct SessionState {
    welcomed: bool,
    /// Slots asked for and not yet offered.
    demanded: u16,
    /// Started on this session (`None`), or asked after as started on that epoch.
    tasks: BTreeMap<TaskRef, Option<u64>>,
    awaited: Option<AwaitedReplyGuard>,
}

/// Follows a session's frames and tells its connection whether something is awaited on it.
///
/// Guards against a session that goes silent while its home waits: from the hello to the welcome
/// from a start or query to the outcome, and from a demand to the
/// offers the connection counts as awaited, so it is pinged.
/// A session on which nothing is awaited costs no pings.
#[derive(Debug)]
pub(crate) struct AwaitedTasks {
    activity: Arc<ConnectionActivity>,
    _stream: OpenStreamGuard,
    state: Mutex<SessionState>,
}

impl AwaitedTasks {
    /// A session whose hello is about to be sent.
    pub(crate) fn new(activity: Arc<ConnectionActivity>, stream: OpenStreamGuard) -> Self {
        let state = SessionState {
            welcomed: false,
            demanded: 0,
            tasks: BTreeMap::new(),
            awaited: Some(activity.await_reply()),
        };
        Self {
            activity,
            _stream: stream,
            state: Mutex::new(state),
        }
    }

    /// Follows a frame that is about to be sent.
    pub(crate) fn record_sent(&self, frame: &HomeFrame) {
        let mut state = self.lock();
        match frame {
            HomeFrame::Start(start) => {
                state.tasks.insert(start.task, None);
            }
            HomeFrame::Query { tasks } => {
                let queried = tasks.iter().map(|(task, epoch)| (*task, Some(*epoch)));
                state.tasks.extend(queried);
            }
            HomeFrame::Demand { tasks, .. } => state.demanded = *tasks,
            HomeFrame::Hello { .. } | HomeFrame::Cancel { .. } | HomeFrame::Ack { .. } => {}
        }
        self.update_awaited(&mut state);
    }

    /// Follows a frame that has come.
    pub(crate) fn record_received(&self, frame: &RunnerFrame) {
        let mut state = self.lock();
        match frame {
            RunnerFrame::Welcome { .. } => state.welcomed = true,
            RunnerFrame::Offer { .. } => state.demanded = state.demanded.saturating_sub(1),
            RunnerFrame::Outcome { task, .. } => {
                state.tasks.remove(task);
            }
            RunnerFrame::Statuses { tasks } => {
                for report in tasks {
                    let queried = state.tasks.get(&report.task) == Some(&Some(report.epoch));
                    // A task that was started anew since is awaited whatever became of the first.
                    if queried && !matches!(report.status, TaskStatus::Running) {
                        state.tasks.remove(&report.task);
                    }
                }
            }
        }
        self.update_awaited(&mut state);
    }

    /// The use of the session's connection.
    pub(crate) fn activity(&self) -> &ConnectionActivity {
        &self.activity
    }

    /// Whether nothing is awaited.
    pub(crate) fn is_empty(&self) -> bool {
        self.lock().awaited.is_none()
    }

    fn update_awaited(&self, state: &mut SessionState) {
        let is_reply_awaited = !state.welcomed || !state.tasks.is_empty() || state.demanded > 0;
        if !is_reply_awaited {
            state.awaited = None;
        } else if state.awaited.is_none() {
            state.awaited = Some(self.activity.await_reply());
        }
    }

    fn lock(&self) -> MutexGuard<'_, SessionState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
