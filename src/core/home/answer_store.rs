//! Byte limit for the stored answers of ended jobs.

use {
    super::ticket_registry::JobKey,
    crate::core::job::{JobAnswer, TaskOutcome},
    slotmap::SecondaryMap,
    std::collections::VecDeque,
};

/// Sizes of the stored answers and the order in which they are evicted.
#[derive(Debug)]
pub(crate) struct AnswerStore {
    limit_bytes: usize,
    stored_bytes: usize,
    /// Oldest first; keys missing in `bytes` were removed.
    order: VecDeque<JobKey>,
    bytes: SecondaryMap<JobKey, usize>,
}

impl AnswerStore {
    /// An empty store with this limit.
    pub(crate) fn new(limit_bytes: usize) -> Self {
        Self {
            limit_bytes,
            stored_bytes: 0,
            order: VecDeque::new(),
            bytes: SecondaryMap::new(),
        }
    }

    /// Accounts for a new answer and returns the jobs whose answers are evicted.
    pub(crate) fn insert(&mut self, key: JobKey, answer: &JobAnswer) -> Vec<JobKey> {
        let bytes = answer_bytes(answer);
        self.stored_bytes += bytes;
        self.order.push_back(key);
        self.bytes.insert(key, bytes);
        let mut dropped = Vec::new();
        while self.stored_bytes > self.limit_bytes
            && let Some(oldest) = self.order.pop_front()
        {
            if self.release_bytes(oldest) {
                dropped.push(oldest);
            }
        }
        dropped
    }

    /// The newest jobs whose answers fit into this many bytes, oldest first.
    pub(crate) fn newest_within(&self, limit_bytes: usize) -> Vec<JobKey> {
        let mut total_bytes = 0;
        let mut newest: Vec<JobKey> = self
            .order
            .iter()
            .rev()
            .filter_map(|key| self.bytes.get(*key).map(|bytes| (*key, *bytes)))
            .take_while(|(_, bytes)| {
                total_bytes += bytes;
                total_bytes <= limit_bytes
            })
            .map(|(key, _)| key)
            .collect();
        newest.reverse();
        newest
    }

    /// Releases the bytes of a job whose record is dropped.
    pub(crate) fn remove(&mut self, key: JobKey) {
        self.release_bytes(key);
        while self
            .order
            .front()
            .is_some_and(|oldest| !self.bytes.contains_key(*oldest))
        {
            self.order.pop_front();
        }
    }

    fn release_bytes(&mut self, key: JobKey) -> bool {
        let Some(bytes) = self.bytes.remove(key) else {
            return false;
        };
        self.stored_bytes -= bytes;
        true
    }
}

fn answer_bytes(answer: &JobAnswer) -> usize {
    let texts: usize = answer
        .outcomes
        .iter()
        .map(|outcome| match outcome {
            TaskOutcome::Done { output } => output.len(),
            TaskOutcome::Failed { message } => message.len(),
            TaskOutcome::NotRun { .. } | TaskOutcome::MayHaveRun { .. } => 0,
        })
        .sum();
    size_of::<JobAnswer>() + texts + answer.outcomes.len() * size_of::<TaskOutcome>()
}
