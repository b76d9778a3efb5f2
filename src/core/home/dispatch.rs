//! Which task starts next, and where.

use {
    super::{
        Home, HomeAction,
        job_record::{JobRecord, JobState, TaskState},
        runner_link::RunnerLink,
        ticket_ring::JobKey,
    },
    crate::core::{job::TaskRef, message::HomeFrame, ticket::AgentId, time::Instant},
    std::collections::{BTreeSet, VecDeque},
};

impl Home {
    /// Opens sessions to runners that waiting jobs could use or that hold tasks.
    pub(super) fn open_sessions(&mut self, now: Instant) {
        let mut wanted: BTreeSet<AgentId> = BTreeSet::new();
        for key in &self.waiting {
            if let Some(JobState::Running(job)) = self.jobs.get(*key).map(|record| &record.state) {
                wanted.extend(&job.candidates);
            }
        }
        for (runner, link) in &mut self.links {
            if !wanted.contains(runner) && link.outstanding.is_empty() {
                continue;
            }
            if let Some(epoch) = link.next_epoch(now, &mut self.last_epoch) {
                self.actions.push(HomeAction::OpenSession {
                    runner: *runner,
                    peer_addr: link.peer_addr,
                    epoch,
                });
            }
        }
    }

    /// Starts queued tasks, oldest job first, while placement finds runners for them.
    pub(super) fn dispatch(&mut self, now: Instant) {
        let mut still_waiting = VecDeque::new();
        while let Some(key) = self.waiting.pop_front() {
            if self.dispatch_job(now, key) {
                still_waiting.push_back(key);
            }
        }
        self.waiting = still_waiting;
    }

    /// Starts what it can of one job; true if tasks are left in its queue.
    fn dispatch_job(&mut self, now: Instant, key: JobKey) -> bool {
        let Some(JobRecord {
            ticket,
            state: JobState::Running(job),
            ..
        }) = self.jobs.get_mut(key)
        else {
            return false;
        };
        while let Some(&index) = job.queued.front() {
            let usable: Vec<AgentId> = job
                .candidates
                .iter()
                .filter(|runner| {
                    self.links
                        .get(runner)
                        .is_some_and(|link| link.is_usable(now))
                })
                .copied()
                .collect();
            let views: Vec<_> = usable
                .iter()
                .filter_map(|runner| self.links.get(runner).map(RunnerLink::view))
                .collect();
            let Some(position) = self.placement.choose(now, &views) else {
                return true;
            };
            let runner = usable[position];
            let task = TaskRef {
                ticket: *ticket,
                index,
            };
            let (Some(frame), Some(link)) =
                (job.start_frame(now, task), self.links.get_mut(&runner))
            else {
                return true;
            };
            job.queued.pop_front();
            job.tasks[usize::from(index)] = TaskState::Started { runner };
            let attempts = &mut job.attempts[usize::from(index)];
            *attempts = attempts.saturating_add(1);
            link.note_start(task);
            self.actions.push(HomeAction::Send {
                runner,
                epoch: link.epoch,
                frame: HomeFrame::Start(frame),
            });
        }
        false
    }
}
