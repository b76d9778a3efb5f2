//! Tests of the order of tasks, and of refusals, by the shares of competing queues.

use {super::*, crate::core::link::QueueLevel};

/// A queue that competes with others of its service.
fn competing_job(number: u64, priority: u32, steps: Vec<StepSpec>) -> Submission {
    let mut submission = job(number, priority, steps);
    submission.route = Arc::new(Route {
        competes: true,
        ..route(priority).as_ref().clone()
    });
    submission
}

/// A long job of one task, with enough slack to wait.
fn long_job(number: u64, priority: u32) -> Submission {
    let mut submission = competing_job(number, priority, vec![step(1, 900)]);
    submission.time_left_ms = 6_000;
    submission
}

impl TestDispatcher {
    /// Sends heartbeats of all agents with these levels of the queues `queue-0`, `queue-1` and so
    /// on, and waits until they are applied.
    fn set_levels(&mut self, levels: &[u16]) {
        let queue_levels: Vec<QueueLevel> = levels
            .iter()
            .enumerate()
            .map(|(priority, level_permille)| QueueLevel {
                queue: Arc::from(format!("queue-{priority}")),
                level_permille: *level_permille,
            })
            .collect();
        let links: Vec<LinkId> = self.dispatcher.by_link.keys().copied().collect();
        self.stamp_us += 1;
        for link in links {
            let frame = AgentFrame::Beat {
                stamp_us: self.stamp_us,
                document_revision: 0,
                queue_levels: queue_levels.clone(),
            };
            self.receive_frame(link.0, frame);
        }
        self.now = self.now.plus_ms(100);
        self.send_event(DispatchEvent::Tick);
    }

    /// Creates a dispatcher whose three workers are full, with a waiting job (number 3) of
    /// `queue-2`, and with these levels.
    fn congested(levels: &[u16]) -> (Self, Vec<(u64, RunId)>) {
        let mut dispatcher = Self::with_workers(3);
        let running = dispatcher.submit(competing_job(1, 0, vec![step(6, 900)]));
        assert_eq!(running.len(), 6);
        dispatcher.submit(competing_job(2, 1, vec![step(1, 100)]));
        dispatcher.submit(long_job(3, 2));
        dispatcher.set_levels(levels);
        (dispatcher, running)
    }

    /// Jobs whose tasks start when one slot after another becomes free.
    fn start_order(&mut self, running: &[(u64, RunId)]) -> Vec<u64> {
        let mut started = Vec::new();
        for run in running {
            self.end_run(*run, RunOutcome::Done);
            self.report_capacity(run.0, 1, 2);
            started.extend(self.starts().iter().map(|(_, run)| run.task.job.0));
            let ended = self.starts();
            for run in ended {
                self.report_capacity(run.0, 0, 9);
            }
        }
        started
    }
}

/// Submits jobs of a queue until one is beyond the share, which is the last; returns its number.
fn exhaust_share(dispatcher: &mut TestDispatcher, first: u64, priority: u32) -> u64 {
    for number in first..first + 100 {
        dispatcher.submit(competing_job(number, priority, vec![step(1, 100)]));
        let key = dispatcher.dispatcher.by_id.get(&JobId(number));
        let is_beyond = |job: &crate::core::dispatch::job::Job| job.share.is_beyond;
        let job = key.and_then(|key| dispatcher.dispatcher.jobs.get(*key));
        if job.is_some_and(is_beyond) || job.is_none() {
            return number;
        }
    }
    panic!("all jobs are within the share");
}
