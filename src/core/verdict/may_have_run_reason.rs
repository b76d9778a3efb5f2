//! Reasons why a request cannot be reported as not run.

use super::reasons;

reasons! {
    /// Why a request or task may have run.
    MayHaveRunReason {
        /// The task ran and the backend server reported a failure.
        TaskFailed => "task_failed",
        /// The task was running when another task of the job failed.
        JobFailed => "job_failed",
        /// The task was running when the client cancelled.
        Cancelled => "cancelled",
        /// The deadline passed while the task was running.
        DeadlinePassed => "deadline_passed",
        /// The connection to the backend server was lost after the request was sent.
        BackendLost => "backend_lost",
        /// The runner restarted, was disconnected for too long or dropped the task's record.
        RunnerLost => "runner_lost",
        /// The home's process has ended and its records are lost.
        HomeLost => "home_lost",
        /// The home is currently unreachable.
        HomeUnreachable => "home_unreachable",
        /// The platform's store cannot be read, so it is unknown whether the key was used before.
        StoreUnavailable => "store_unavailable",
        /// The home has dropped the ticket's generation.
        TicketExpired => "ticket_expired",
        /// The job ran, and its answer is no longer retained.
        AnswerDropped => "answer_dropped",
        /// The answer's task count or digest is wrong.
        AnswerCorrupt => "answer_corrupt",
    }
}
