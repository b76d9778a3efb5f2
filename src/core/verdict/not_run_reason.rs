//! Reasons why a request or task did not run.

use super::reasons;

reasons! {
    /// Why a request or task did not run.
    NotRunReason {
        /// The request could not be parsed.
        BadRequest => "bad_request",
        /// The body is larger than the entry accepts.
        BodyTooLarge => "body_too_large",
        /// The configuration in force has no such service.
        UnknownService => "unknown_service",
        /// The job has no tasks or too many.
        TaskCount => "task_count",
        /// Neither a ticket nor an idempotency key was sent.
        TicketMissing => "ticket_missing",
        /// The ticket's text could not be decoded.
        TicketMalformed => "ticket_malformed",
        /// The ticket's MAC is wrong.
        TicketForged => "ticket_forged",
        /// The same ticket came with a different body.
        TicketReused => "ticket_reused",
        /// No home has granted tickets to this entry recently.
        NoTickets => "no_tickets",
        /// No configuration has been read yet.
        NoConfiguration => "no_configuration",
        /// No live worker in an open zone provides the service.
        NoWorkers => "no_workers",
        /// The task fits on no worker of the configuration.
        ImpossibleTask => "impossible_task",
        /// The expected wait exceeds the deadline, or a queue is full.
        Overloaded => "overloaded",
        /// The team's quota is used up.
        QuotaExceeded => "quota_exceeded",
        /// The deadline passed before the task was started.
        DeadlinePassed => "deadline_passed",
        /// The client cancelled before the task was started.
        Cancelled => "cancelled",
        /// Another task of the job failed first.
        JobFailed => "job_failed",
        /// All slots of the runner were in use.
        SlotsFull => "slots_full",
        /// The runner's permit to start tasks has expired, or its zone is closed.
        NoPermit => "no_permit",
        /// The worker or process is shutting down.
        Leaving => "leaving",
        /// The backend server is unavailable.
        BackendDown => "backend_down",
        /// The backend server rejected the task and reported that it ran nothing.
        BackendRefused => "backend_refused",
        /// The start was sent on a session that a newer one has replaced.
        Fenced => "fenced",
        /// The platform's store is unreachable, so the key cannot be bound.
        StoreUnavailable => "store_unavailable",
        /// More client keys wait than the write budget can bind in time.
        ClaimBudget => "claim_budget",
        /// The home of a newly issued ticket could not be reached.
        HomeUnreachable => "home_unreachable",
    }
}
