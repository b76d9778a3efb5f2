//! Timers and periodic checks of the home.

use {
    super::{
        Home, WaiterId,
        home::Timer,
        job_record::{JobRecord, JobState},
        ticket_registry::JobKey,
    },
    crate::core::{
        ticket::AgentId,
        time::Instant,
        verdict::{MayHaveRunReason, NotRunReason},
    },
};

/// Retry delay sent with a job whose deadline passed, in milliseconds.
const DEADLINE_RETRY_AFTER_MS: u64 = 1_000;
/// Minimum time between two ticks that counts as a pause of this process, in milliseconds.
const MIN_PAUSE_MS: u64 = 1_000;

impl Home {
    pub(super) fn on_tick(&mut self, now: Instant) {
        self.exclude_own_pause(now);
        self.fire_timers(now);
        self.remove_unresponsive_runners(now);
        self.drop_expired(now);
    }

    /// Excludes a pause of this process from the time that runners have been disconnected, since no
    /// reconnect was attempted during the pause.
    fn exclude_own_pause(&mut self, now: Instant) {
        let paused_ms = self
            .last_tick_at
            .replace(now)
            .map_or(0, |last_tick_at| now.millis_since(last_tick_at));
        if paused_ms < MIN_PAUSE_MS {
            return;
        }
        for link in self.links.values_mut() {
            if let Some(since) = &mut link.disconnected_since {
                *since = since.plus_ms(paused_ms).min(now);
            }
        }
    }

    fn fire_timers(&mut self, now: Instant) {
        while let Some((due, timer)) = self.timers.first().copied() {
            if due > now {
                break;
            }
            self.timers.pop_first();
            match timer {
                Timer::Deadline(key) => self.fail_job(
                    key,
                    NotRunReason::DeadlinePassed,
                    MayHaveRunReason::DeadlinePassed,
                    DEADLINE_RETRY_AFTER_MS,
                ),
                Timer::Wait(key, waiter) => self.end_wait(key, waiter),
            }
        }
    }

    fn remove_unresponsive_runners(&mut self, now: Instant) {
        let lost_after_ms = self.settings.runner_lost_after_ms;
        let unresponsive: Vec<AgentId> = self
            .links
            .iter()
            .filter(|(_, link)| {
                link.disconnected_since
                    .is_some_and(|since| now.millis_since(since) >= lost_after_ms)
            })
            .map(|(runner, _)| *runner)
            .collect();
        for runner in unresponsive {
            self.remove_runner(now, runner);
        }
    }

    fn drop_expired(&mut self, now: Instant) {
        let jobs = &self.jobs;
        let is_running = |key| {
            jobs.get(key)
                .is_some_and(|record| matches!(record.state, JobState::Running(_)))
        };
        for key in self.tickets.drop_expired(now, is_running) {
            self.jobs.remove(key);
            self.answers.remove(key);
        }
    }

    fn end_wait(&mut self, key: JobKey, waiter: WaiterId) {
        if let Some(JobRecord {
            state: JobState::Running(job),
            ..
        }) = self.jobs.get_mut(key)
            && let Some(position) = job.waiters.iter().position(|w| *w == waiter)
        {
            job.waiters.swap_remove(position);
            let status = job.progress();
            self.reply(waiter, status);
        }
    }
}
