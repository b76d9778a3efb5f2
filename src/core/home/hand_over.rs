//! Hand-over of a home to another process at a planned stop.

use {
    super::{
        Home, HomeAction, HomeSettings,
        home::Timer,
        job_record::{JobRecord, JobState, RunningJob},
        records::{HomeRecords, MovedJob, MovedLink, MovedRunning, MovedState},
        runner_link::RunnerLink,
        ticket_registry::JobKey,
    },
    crate::core::{message::Candidate, placement::Placement, time::Instant},
    std::{collections::BTreeSet, sync::Arc},
};

/// Maximum size of the answers handed over, in bytes, so that the records fit into one message.
const MAX_MOVED_ANSWERS_BYTES: usize = 16 << 20;

impl Home {
    /// Returns the records for the successor and replies to all waiters with the job's progress.
    ///
    /// This home must handle no events afterwards, whether or not the records arrive. Otherwise two
    /// processes could run the same jobs.
    pub(crate) fn hand_over(&mut self, now: Instant) -> (HomeRecords, Vec<HomeAction>) {
        self.reply_progress_to_waiters();
        let records = HomeRecords {
            home: self.id,
            secret: self.tickets.secret().clone(),
            next_generation: self.tickets.next_generation(),
            last_epoch: self.last_epoch,
            generations: self.tickets.generations(now),
            jobs: self.moved_jobs(now),
            links: self.moved_links(),
        };
        (records, std::mem::take(&mut self.actions))
    }

    fn reply_progress_to_waiters(&mut self) {
        let mut replies = Vec::new();
        for record in self.jobs.values_mut() {
            if let JobState::Running(job) = &mut record.state {
                let status = job.progress();
                let waiters = std::mem::take(&mut job.waiters);
                replies.extend(waiters.into_iter().map(|waiter| (waiter, status.clone())));
            }
        }
        for (waiter, status) in replies {
            self.reply(waiter, status);
        }
    }

    fn moved_jobs(&self, now: Instant) -> Vec<MovedJob> {
        let ended = self.answers.newest_within(MAX_MOVED_ANSWERS_BYTES);
        let with_answer: BTreeSet<JobKey> = ended.iter().copied().collect();
        let others = self.jobs.keys().filter(|key| !with_answer.contains(key));
        ended
            .iter()
            .copied()
            .chain(others)
            .filter_map(|key| {
                let record = self.jobs.get(key)?;
                Some(moved_job(now, record, with_answer.contains(&key)))
            })
            .collect()
    }

    fn moved_links(&self) -> Vec<MovedLink> {
        self.links
            .iter()
            .filter(|(_, link)| !link.outstanding.is_empty())
            .map(|(runner, link)| MovedLink {
                runner: *runner,
                peer_addr: link.peer_addr,
                outstanding: link.outstanding.iter().map(|(t, e)| (*t, *e)).collect(),
            })
            .collect()
    }

    /// Resumes a handed-over home under its identity.
    ///
    /// No task starts twice: new sessions use higher epochs, which fences the old process at every
    /// runner, and the status of outstanding tasks is queried before any is retried.
    pub(crate) fn adopt(
        now: Instant,
        records: HomeRecords,
        settings: HomeSettings,
        placement: Box<dyn Placement>,
    ) -> Self {
        let mut home = Self::new(records.home, records.secret, settings, placement);
        home.last_epoch = records.last_epoch;
        home.tickets
            .restore(now, records.next_generation, &records.generations);
        for job in records.jobs {
            home.adopt_job(now, job);
        }
        for link in records.links {
            home.adopt_link(now, link);
        }
        home
    }

    fn adopt_job(&mut self, now: Instant, job: MovedJob) {
        let state = match job.state {
            MovedState::Running(running) => {
                JobState::Running(Box::new(RunningJob::adopt(now, *running)))
            }
            MovedState::Ended(answer) => JobState::Ended(answer),
            MovedState::Dropped => JobState::Dropped,
            MovedState::Cancelled => JobState::Cancelled,
        };
        let key = self.jobs.insert(JobRecord {
            ticket: job.ticket,
            digest: job.digest,
            state,
        });
        self.tickets.record(&job.ticket, key);
        match &self.jobs[key].state {
            JobState::Running(running) => {
                self.running += 1;
                self.timers.insert((running.deadline, Timer::Deadline(key)));
                self.waiting.push_back(key);
            }
            JobState::Ended(answer) => {
                let answer = Arc::clone(answer);
                self.store_answer(key, &answer);
            }
            JobState::Dropped | JobState::Cancelled => {}
        }
    }

    fn adopt_link(&mut self, now: Instant, moved: MovedLink) {
        let candidate = Candidate {
            runner: moved.runner,
            peer_addr: moved.peer_addr,
            slots: 0,
            free_slots: 0,
            own: false,
        };
        let mut link = RunnerLink::new(now, &candidate);
        link.outstanding = moved.outstanding.into_iter().collect();
        link.disconnected_since = Some(now);
        self.links.insert(moved.runner, link);
    }

    /// Whether no job and no valid ticket is left.
    pub(crate) fn is_finished(&self) -> bool {
        self.jobs.is_empty() && self.tickets.is_empty()
    }
}

fn moved_job(now: Instant, record: &JobRecord, with_answer: bool) -> MovedJob {
    let state = match &record.state {
        JobState::Running(job) => MovedState::Running(Box::new(job.moved(now))),
        JobState::Ended(answer) if with_answer => MovedState::Ended(Arc::clone(answer)),
        JobState::Ended(_) | JobState::Dropped => MovedState::Dropped,
        JobState::Cancelled => MovedState::Cancelled,
    };
    MovedJob {
        ticket: record.ticket,
        digest: record.digest,
        state,
    }
}

impl RunningJob {
    fn moved(&self, now: Instant) -> MovedRunning {
        MovedRunning {
            spec: self.spec.clone(),
            left_ms: self.deadline.millis_since(now),
            candidates: self.candidates.clone(),
            tasks: self.tasks.clone(),
            attempts: self.attempts.clone(),
            earlier: self.earlier.clone(),
        }
    }

    fn adopt(now: Instant, moved: MovedRunning) -> Self {
        let mut job = Self::new(now, moved.spec, moved.candidates);
        job.deadline = now.plus_ms(moved.left_ms);
        job.attempts = moved.attempts;
        job.earlier = moved.earlier;
        job.restore_tasks(moved.tasks);
        job
    }
}
