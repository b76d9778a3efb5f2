//! Reasons for which nobody can say that a request did not run.

use super::reasons;

reasons! {
    /// Why something may have run.
    MayHaveRunReason {
        /// The task ran and the backend server reported a failure.
        TaskFailed => "task_failed",
        /// The task was running when another task of the job failed.
        JobFailed => "job_failed",
        /// The task was running when the client cancelled.
        Cancelled => "cancelled",
        /// The deadline passed while the task was running.
        DeadlinePassed => "deadline_passed",
        /// The backend server was cut off after the request's bytes were written.
        BackendLost => "backend_lost",
        /// The runner's process is gone.
        RunnerLost => "runner_lost",
        /// The home's process is gone, and its records with it.
        HomeLost => "home_lost",
        /// The home can't be reached now.
        HomeUnreachable => "home_unreachable",
        /// The platform's store can't be read, so nobody knows whether the key was used before.
        StoreUnavailable => "store_unavailable",
        /// The home has dropped the ticket's generation.
        TicketExpired => "ticket_expired",
        /// The job ran, and its answer is no longer kept.
        AnswerDropped => "answer_dropped",
        /// The answer failed the check of count and digest.
        AnswerCorrupt => "answer_corrupt",
    }
}
