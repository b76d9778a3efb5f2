//! Tests of jobs that their clients cancel.

use {
    super::{TestDispatcher, job, step},
    crate::core::{
        dispatch::{DispatchAction, DispatchEvent, JobOutcome, LinkId, Submission, WaiterId},
        link::{AgentFrame, EntryFrame, RunOutcome},
        work::{JobId, StepSpec},
    },
};

/// A job whose second step depends on the first one.
fn two_steps(waiter: u64) -> Submission {
    let second = StepSpec {
        after: vec![0],
        ..step(2, 50)
    };
    Submission {
        waiter: WaiterId(waiter),
        ..job(1, 0, vec![step(2, 50), second])
    }
}

const JOB: u64 = 1;
/// Longer than an entry waits for other entries' confirmations.
const CONFIRMATION_MS: u64 = 500;
/// Longer than a cancelled job is remembered.
const MEMORY_MS: u64 = 121_000;

impl TestDispatcher {
    fn cancel(&mut self, number: u64) {
        self.send_event(DispatchEvent::Cancel {
            waiter: WaiterId(1_000 + number),
            id: JobId::of_number(number),
        });
    }

    /// Replies to cancellations: whether the job was cancelled.
    fn cancel_replies(&self) -> Vec<bool> {
        let replies = self.actions.iter().filter_map(|action| match action {
            DispatchAction::ReplyToCancellation { is_cancelled, .. } => Some(*is_cancelled),
            _ => None,
        });
        replies.collect()
    }

    /// Links on which a frame was sent.
    fn links_of(&self, sent: &EntryFrame) -> Vec<LinkId> {
        let links = self.actions.iter().filter_map(|action| match action {
            DispatchAction::Send { link, frame } if frame == sent => Some(*link),
            _ => None,
        });
        links.collect()
    }

    fn receive_cancellation(&mut self) {
        let job = JobId::of_number(JOB);
        self.receive_frame(1, AgentFrame::CancelJob { job });
    }

    fn receive_confirmation(&mut self) {
        let job = JobId::of_number(JOB);
        self.receive_frame(1, AgentFrame::JobCancelled { job });
    }
}

fn cancel_frame() -> EntryFrame {
    EntryFrame::CancelJob {
        job: JobId::of_number(JOB),
    }
}

fn cancelled_frame() -> EntryFrame {
    EntryFrame::JobCancelled {
        job: JobId::of_number(JOB),
    }
}

/// The tasks of a cancelled job ran on, and its next step started.
#[test]
fn a_cancelled_job_is_stopped_and_starts_nothing_more() {
    let mut dispatcher = TestDispatcher::with_workers(2);
    let starts = dispatcher.submit(two_steps(1));
    dispatcher.cancel(1);
    assert_eq!(dispatcher.outcomes(), [JobOutcome::Cancelled]);
    assert_eq!(dispatcher.cancel_replies(), [true]);
    assert_eq!(dispatcher.stops(), 2);
    // The stops may come too late.
    for start in starts {
        dispatcher.end_run(start, RunOutcome::Done);
        assert!(dispatcher.starts().is_empty());
    }
    dispatcher.advance_ms(500);
    assert!(dispatcher.starts().is_empty() && dispatcher.outcomes().is_empty());
}

/// A copy that was under way while the job was cancelled must not run.
#[test]
fn late_and_held_copies_of_a_cancelled_job_do_not_run() {
    let mut dispatcher = TestDispatcher::with_workers(2);
    let starts = dispatcher.submit(two_steps(1));
    dispatcher.send_event(DispatchEvent::ClientGone {
        waiter: WaiterId(1),
    });
    assert!(dispatcher.submit(two_steps(2)).is_empty());
    dispatcher.cancel(1);
    assert_eq!(dispatcher.outcomes(), [JobOutcome::Cancelled]);
    for start in starts {
        dispatcher.end_run(start, RunOutcome::Stopped);
        assert!(dispatcher.starts().is_empty());
    }
    assert!(dispatcher.submit(two_steps(3)).is_empty());
    assert_eq!(dispatcher.outcomes(), [JobOutcome::Cancelled]);
}

/// A job that no entry has may be submitted after its cancellation.
#[test]
fn an_unknown_job_is_not_cancelled() {
    let mut dispatcher = TestDispatcher::with_workers(2);
    dispatcher.cancel(JOB);
    assert!(dispatcher.cancel_replies().is_empty());
    dispatcher.advance_ms(CONFIRMATION_MS);
    assert_eq!(dispatcher.cancel_replies(), [false]);
    assert_eq!(dispatcher.submit(two_steps(1)).len(), 2);
    dispatcher.cancel(JOB);
    assert_eq!(dispatcher.cancel_replies(), [true]);
}

/// The client must not wait for other entries that can't be asked.
#[test]
fn a_cancellation_without_agents_is_answered_at_once() {
    let mut dispatcher = TestDispatcher::with_seed(1);
    dispatcher.cancel(JOB);
    assert_eq!(dispatcher.cancel_replies(), [false]);
}

/// A job ran on when its client cancelled it at another entry.
#[test]
fn a_job_is_cancelled_through_another_entry() {
    let mut owner = TestDispatcher::with_workers(2);
    let mut other = TestDispatcher::with_workers(2);
    owner.submit(two_steps(1));
    other.cancel(JOB);
    assert_eq!(other.links_of(&cancel_frame()).len(), 2);

    owner.receive_cancellation();
    assert_eq!(owner.outcomes(), [JobOutcome::Cancelled]);
    assert_eq!(owner.stops(), 2);
    assert_eq!(owner.links_of(&cancelled_frame()), [LinkId(1)]);
    // Sent again by another agent.
    owner.receive_cancellation();
    assert_eq!(owner.links_of(&cancelled_frame()), [LinkId(1)]);

    other.receive_confirmation();
    assert_eq!(other.cancel_replies(), [true]);
    other.receive_confirmation();
    assert!(other.cancel_replies().is_empty());
    assert!(other.submit(two_steps(2)).is_empty());
    assert_eq!(other.outcomes(), [JobOutcome::Cancelled]);
}

/// A copy of a cancelled job ran on at an entry that the client didn't ask.
#[test]
fn copies_at_other_entries_are_cancelled() {
    let mut cancelling = TestDispatcher::with_workers(2);
    let mut other = TestDispatcher::with_workers(2);
    cancelling.submit(two_steps(1));
    other.submit(two_steps(1));
    cancelling.cancel(JOB);
    assert!(!cancelling.links_of(&cancelled_frame()).is_empty());
    other.receive_confirmation();
    assert_eq!(other.outcomes(), [JobOutcome::Cancelled]);
    assert_eq!(other.stops(), 2);
}

/// In a large deployment the first agents may have no session with the job's entry.
#[test]
fn an_unconfirmed_cancellation_goes_to_further_agents() {
    let mut dispatcher = TestDispatcher::with_workers(12);
    dispatcher.cancel(JOB);
    assert_eq!(dispatcher.links_of(&cancel_frame()).len(), 3);
    let mut sent_again = 0;
    for _ in 0..20 {
        dispatcher.advance_ms(20);
        sent_again += dispatcher.links_of(&cancel_frame()).len();
    }
    assert_eq!(sent_again, 12);
}

/// Cancellations of unknown jobs must not flood agents and other entries.
#[test]
fn too_many_unknown_jobs_are_answered_at_once() {
    let mut dispatcher = TestDispatcher::with_workers(2);
    let replies: usize = (1..=100)
        .map(|number| {
            dispatcher.cancel(number);
            dispatcher.cancel_replies().len()
        })
        .sum();
    assert_eq!(replies, 36);
}

/// A cancellation was answered as if the job were known, long after late copies had been possible.
#[test]
fn a_cancelled_job_is_forgotten() {
    let mut dispatcher = TestDispatcher::with_workers(2);
    for start in dispatcher.submit(two_steps(1)) {
        dispatcher.cancel(JOB);
        dispatcher.end_run(start, RunOutcome::Stopped);
    }
    dispatcher.advance_ms(MEMORY_MS);
    dispatcher.cancel(JOB);
    assert!(!dispatcher.cancel_replies().contains(&true));
}
