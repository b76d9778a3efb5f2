//! Ended jobs' answers, kept up to a byte limit.

use {
    super::ticket_ring::JobKey,
    crate::core::job::{JobAnswer, TaskOutcome},
    std::collections::VecDeque,
};

/// Order in which answers are dropped when memory runs short.
#[derive(Debug)]
pub(crate) struct AnswerStore {
    limit_bytes: usize,
    kept_bytes: usize,
    order: VecDeque<(JobKey, usize)>,
}

impl AnswerStore {
    /// A store that keeps up to `limit_bytes` of answers.
    pub(crate) const fn new(limit_bytes: usize) -> Self {
        Self {
            limit_bytes,
            kept_bytes: 0,
            order: VecDeque::new(),
        }
    }

    /// Accounts for a new answer and returns the jobs whose answers must go.
    pub(crate) fn keep(&mut self, key: JobKey, answer: &JobAnswer) -> Vec<JobKey> {
        let bytes = answer_bytes(answer);
        self.kept_bytes += bytes;
        self.order.push_back((key, bytes));
        let mut dropped = Vec::new();
        while self.kept_bytes > self.limit_bytes
            && let Some((oldest, oldest_bytes)) = self.order.pop_front()
        {
            self.kept_bytes -= oldest_bytes;
            dropped.push(oldest);
        }
        dropped
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
    texts + answer.outcomes.len() * size_of::<TaskOutcome>()
}
