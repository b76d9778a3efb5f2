//! HTTP servers and clients, based on poem and hyper.

mod agent_api;
mod body_reader;
mod client;
mod client_api;
mod config_body;
mod connection_pool;
mod entry_api;
mod health;
mod http_server;
mod job_body;
mod known_job;
mod operator_api;
mod request_body;
mod response;
mod route_server;
mod timed_socket;

#[cfg(test)]
mod tests;

pub(crate) use {
    agent_api::{AgentApi, BackendBody, serve_agent_api},
    body_reader::{BodyError, read_body_with_idle_timeout},
    client::{HttpClient, HttpClientResponse},
    client_api::{IDEMPOTENCY_KEY_HEADER, TEAM_HEADER, TICKET_HEADER},
    connection_pool::{ConnectionPool, PoolSettings, PooledClient},
    entry_api::{EntryApi, serve_entry_api},
    http_server::{HttpHandler, HttpRequest, HttpResponse, serve_http, serve_limited_http},
    response::{NEXT_TICKET_HEADER, REASON_HEADER, VERDICT_HEADER},
};
