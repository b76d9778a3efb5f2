//! Pool of unused tickets.

use {
    crate::adapters::http::HttpClient,
    http::Method,
    serde_json::Value,
    std::{
        net::SocketAddr,
        sync::{Mutex, PoisonError},
    },
};

/// Tickets requested per fetch.
const BATCH_SIZE: usize = 100;

/// Tickets fetched in advance or received with responses; the newest is used first.
#[derive(Debug, Default)]
pub(crate) struct TicketPool {
    tickets: Mutex<Vec<String>>,
}

impl TicketPool {
    /// Adds a ticket; ignores an empty string.
    pub(crate) fn add(&self, ticket: &str) {
        if !ticket.is_empty() {
            self.lock().push(ticket.to_owned());
        }
    }

    /// Removes a ticket from the pool, after fetching a batch from the entry if the pool is empty.
    pub(crate) async fn acquire(&self, client: &HttpClient, entry: SocketAddr) -> Option<String> {
        if let Some(ticket) = self.lock().pop() {
            return Some(ticket);
        }
        self.fetch(client, entry).await;
        self.lock().pop()
    }

    /// Fetches a batch of tickets from the entry.
    pub(crate) async fn fetch(&self, client: &HttpClient, entry: SocketAddr) {
        let path = format!("/v1/tickets?count={BATCH_SIZE}");
        let Ok(reply) = client
            .send(Method::POST, entry, &path, &[], String::new())
            .await
        else {
            return;
        };
        let body: Value = serde_json::from_slice(&reply.body).unwrap_or(Value::Null);
        for ticket in body["tickets"].as_array().into_iter().flatten() {
            self.add(ticket.as_str().unwrap_or_default());
        }
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Vec<String>> {
        self.tickets.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
