//! HTTP towards clients, operators and backend servers, by poem.

mod agent_api;
mod client;
mod client_api;
mod config_body;
mod entry_api;
mod health;
mod http_server;
mod job_body;
mod known_job;
mod long_body;
mod operator_api;
mod response;
mod timed_socket;

#[cfg(test)]
mod tests;

pub(crate) use {
    agent_api::{AgentApi, BackendBody, serve_agent_api},
    client::{HttpClient, HttpClientResponse},
    client_api::{IDEMPOTENCY_KEY_HEADER, TEAM_HEADER, TICKET_HEADER},
    entry_api::{EntryApi, serve_entry_api},
    http_server::{HttpHandler, HttpRequest, HttpResponse, serve_http},
    long_body::read_long_body,
    response::{NEXT_TICKET_HEADER, REASON_HEADER, VERDICT_HEADER},
};
