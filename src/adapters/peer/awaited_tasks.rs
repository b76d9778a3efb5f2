//! Tasks of one session whose outcomes the home awaits.

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
    /// Slots demanded and not yet offered.
    demanded: u16,
    /// Tasks started on this session (`None`) or queried as started in an epoch.
    tasks: BTreeMap<TaskRef, Option<u64>>,
    awaited: Option<AwaitedReplyGuard>,
}

/// Tracks a session's frames to determine whether a reply is awaited on its connection.
///
/// A reply is awaited from a hello to the welcome, from a start or query to the outcome and from a
/// demand to the offers. Only then is the connection pinged to detect an unresponsive runner.
#[derive(Debug)]
pub(crate) struct AwaitedTasks {
    activity: Arc<ConnectionActivity>,
    _stream: OpenStreamGuard,
    state: Mutex<SessionState>,
}

impl AwaitedTasks {
    /// Starts tracking a session before its hello is sent.
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
                    // A task that was started again since is still awaited.
                    if queried && !matches!(report.status, TaskStatus::Running) {
                        state.tasks.remove(&report.task);
                    }
                }
            }
        }
        self.update_awaited(&mut state);
    }

    /// Activity of the connection.
    pub(crate) fn activity(&self) -> &ConnectionActivity {
        &self.activity
    }

    /// Whether no reply is awaited.
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
