//! Tickets: job identifiers that name the one process that may start the job.

mod agent_id;
mod errors;
mod ticket;
mod ticket_grant;
mod ticket_office;

pub(crate) use {
    agent_id::AgentId,
    errors::TicketError,
    ticket::{Ticket, TicketId},
    ticket_grant::{GrantSecret, TicketGrant},
    ticket_office::TicketOffice,
};
