//! Cancellation of jobs by their clients, at any entry.
//!
//! Entries have no connections to each other, so a cancellation of a job that the entry doesn't have
//! goes to other entries through agents, and so does the confirmation.

use {
    super::{DispatchAction, DispatchLogEvent, Dispatcher, JobOutcome, LinkId, WaiterId},
    crate::core::{link::EntryFrame, time::Instant, work::JobId},
    rand::seq::IteratorRandom,
    std::collections::BTreeMap,
};

/// How long a cancelled job is remembered, in milliseconds; longer than late copies of it arrive.
const CANCELLATION_MEMORY_MS: u64 = 120_000;
/// Maximum number of cancelled jobs that are remembered.
const MAX_REMEMBERED_JOBS: usize = 4_096;
/// Number of agents that pass a message on at first. An agent has sessions with all entries, except
/// in the largest deployments.
const RELAY_COUNT: usize = 3;
/// Number of agents that pass a cancellation on which the first ones didn't bring to the job's entry.
const SECOND_RELAY_COUNT: usize = 24;
/// Time without a confirmation after which further agents pass the cancellation on, in milliseconds.
const SECOND_RELAY_DELAY_MS: u64 = 150;
/// Time without a confirmation after which no entry counts as having the job, in milliseconds.
const CONFIRMATION_TIMEOUT_MS: u64 = 400;
/// Maximum number of cancellations that wait for a confirmation.
const MAX_UNCONFIRMED: usize = 64;

/// A cancellation of a job that this entry doesn't have.
#[derive(Debug)]
struct Unconfirmed {
    waiters: Vec<WaiterId>,
    sent_at: Instant,
    /// Whether further agents were asked to pass it on.
    is_sent_again: bool,
}

/// Jobs that were cancelled recently, whose late copies must not run, and cancellations of other
/// entries' jobs.
#[derive(Debug, Default)]
pub(super) struct Cancellations {
    cancelled: BTreeMap<JobId, Instant>,
    unconfirmed: BTreeMap<JobId, Unconfirmed>,
}

impl Cancellations {
    fn record(&mut self, now: Instant, id: JobId) {
        self.cancelled
            .retain(|_, at| now.millis_since(*at) < CANCELLATION_MEMORY_MS);
        if self.cancelled.len() >= MAX_REMEMBERED_JOBS {
            let oldest = self.cancelled.iter().min_by_key(|(_, at)| **at);
            if let Some(oldest) = oldest.map(|(id, _)| *id) {
                self.cancelled.remove(&oldest);
            }
        }
        self.cancelled.insert(id, now);
    }

    pub(super) fn contains(&self, now: Instant, id: JobId) -> bool {
        let cancelled_at = self.cancelled.get(&id);
        cancelled_at.is_some_and(|at| now.millis_since(*at) < CANCELLATION_MEMORY_MS)
    }
}

impl Dispatcher {
    pub(super) fn on_cancel(&mut self, now: Instant, waiter: WaiterId, id: JobId) {
        if self.cancel_here(now, id) {
            self.send_to_agents(RELAY_COUNT, &EntryFrame::JobCancelled { job: id });
            self.reply_to_cancellation(waiter, id, true, 0);
            return;
        }
        if let Some(unconfirmed) = self.cancellations.unconfirmed.get_mut(&id) {
            unconfirmed.waiters.push(waiter);
            return;
        }
        let is_full = self.cancellations.unconfirmed.len() >= MAX_UNCONFIRMED;
        if is_full || self.by_link.is_empty() {
            self.reply_to_cancellation(waiter, id, false, 0);
            return;
        }
        let unconfirmed = Unconfirmed {
            waiters: vec![waiter],
            sent_at: now,
            is_sent_again: false,
        };
        self.cancellations.unconfirmed.insert(id, unconfirmed);
        self.send_to_agents(RELAY_COUNT, &EntryFrame::CancelJob { job: id });
    }

    /// Handles the cancellation of a job by a client of another entry.
    pub(super) fn on_forwarded_cancellation(&mut self, now: Instant, link: LinkId, id: JobId) {
        if self.cancel_here(now, id) {
            let frame = EntryFrame::JobCancelled { job: id };
            self.actions.push(DispatchAction::Send { link, frame });
        }
    }

    /// Handles the message that another entry has cancelled a job; this entry may have a copy.
    pub(super) fn on_job_cancelled_elsewhere(&mut self, now: Instant, id: JobId) {
        self.end_as_cancelled(now, id);
        self.cancellations.record(now, id);
        if let Some(confirmed) = self.cancellations.unconfirmed.remove(&id) {
            let took_ms = now.millis_since(confirmed.sent_at);
            for waiter in confirmed.waiters {
                self.reply_to_cancellation(waiter, id, true, took_ms);
            }
        }
    }

    /// Sends unconfirmed cancellations once more, and answers those that no entry confirms.
    pub(super) fn maintain_cancellations(&mut self, now: Instant) {
        let mut unconfirmed = std::mem::take(&mut self.cancellations.unconfirmed);
        unconfirmed.retain(|id, cancellation| {
            let waited_ms = now.millis_since(cancellation.sent_at);
            if waited_ms >= CONFIRMATION_TIMEOUT_MS {
                for waiter in &cancellation.waiters {
                    self.reply_to_cancellation(*waiter, *id, false, waited_ms);
                }
                return false;
            }
            if waited_ms >= SECOND_RELAY_DELAY_MS && !cancellation.is_sent_again {
                cancellation.is_sent_again = true;
                self.send_to_agents(SECOND_RELAY_COUNT, &EntryFrame::CancelJob { job: *id });
            }
            true
        });
        self.cancellations.unconfirmed = unconfirmed;
    }

    /// Cancels a job at this entry; false if the entry doesn't have it and hasn't cancelled it.
    fn cancel_here(&mut self, now: Instant, id: JobId) -> bool {
        if self.end_as_cancelled(now, id) {
            self.cancellations.record(now, id);
            return true;
        }
        self.cancellations.contains(now, id)
    }

    /// Ends an open job and its held copies: stops its runs and starts no more. False without any.
    fn end_as_cancelled(&mut self, now: Instant, id: JobId) -> bool {
        let copies = self.held_copies.remove(&id).unwrap_or_default();
        let mut is_ended = !copies.is_empty();
        for copy in copies {
            self.reply(copy.waiter, JobOutcome::Cancelled);
        }
        let key = self.by_id.get(&id).copied();
        let is_open = |key: &_| self.jobs.get(*key).is_some_and(|job| !job.closed);
        if let Some(key) = key.filter(is_open) {
            self.finish_job(now, key, JobOutcome::Cancelled);
            is_ended = true;
        }
        is_ended
    }

    /// Sends a frame to some agents, chosen at random.
    fn send_to_agents(&mut self, count: usize, frame: &EntryFrame) {
        let links = self.by_link.keys().copied();
        for link in links.sample(&mut self.rng, count) {
            let frame = frame.clone();
            self.actions.push(DispatchAction::Send { link, frame });
        }
    }

    fn reply_to_cancellation(
        &mut self,
        waiter: WaiterId,
        id: JobId,
        is_cancelled: bool,
        took_ms: u64,
    ) {
        self.log_event(DispatchLogEvent::CancellationAnswered {
            job: id.to_string(),
            is_cancelled,
            took_ms,
        });
        self.actions.push(DispatchAction::ReplyToCancellation {
            waiter,
            is_cancelled,
        });
    }
}
