//! HTTP client of the command line for an entry.

use {
    super::{RunError, commands::describe_conflicts},
    crate::adapters::http::{HttpClient, HttpClientResponse},
    http::{Method, StatusCode},
    serde_json::Value,
    std::net::SocketAddr,
};

/// Client of one entry, with the operator's token.
#[derive(Debug)]
pub(crate) struct OperatorClient {
    client: HttpClient,
    entry: SocketAddr,
    authorization: Option<String>,
    prints_errors: bool,
}

impl OperatorClient {
    /// Creates a client; fails if no entry is given.
    pub(crate) fn new(entry: Option<SocketAddr>, token: Option<&str>) -> Result<Self, RunError> {
        let entry = entry.ok_or_else(|| {
            RunError::Usage("name an entry with --entry or RATTANSLIP_ENTRY".to_owned())
        })?;
        Ok(Self {
            client: HttpClient::new(),
            entry,
            authorization: token.map(|token| format!("Bearer {token}")),
            prints_errors: false,
        })
    }

    /// Sets whether the JSON of error responses is printed.
    pub(crate) fn printing_errors(self, prints_errors: bool) -> Self {
        Self {
            prints_errors,
            ..self
        }
    }

    /// Sends a request and returns the response, whatever its status.
    pub(crate) async fn send(
        &self,
        method: Method,
        path: &str,
        headers: &[(&str, &str)],
        body: String,
    ) -> Result<HttpClientResponse, RunError> {
        let mut headers = headers.to_vec();
        headers.push(("content-type", "application/json"));
        if let Some(authorization) = &self.authorization {
            headers.push(("authorization", authorization));
        }
        self.client
            .send(method, self.entry, path, &headers, body)
            .await
            .map_err(|error| RunError::Unreachable(error.to_string()))
    }

    /// Sends a request and returns the JSON body; an unsuccessful status is an error.
    pub(crate) async fn request_json(
        &self,
        method: Method,
        path: &str,
        body: String,
    ) -> Result<Value, RunError> {
        let response = self.send(method, path, &[], body).await?;
        let value: Value = serde_json::from_slice(&response.body).unwrap_or(Value::Null);
        if response.status.is_success() {
            return Ok(value);
        }
        if self.prints_errors {
            println!("{value}");
        }
        let description = describe_error_response(&response, &value);
        Err(match (response.status, value["detail"].is_array()) {
            (StatusCode::BAD_REQUEST, true) => RunError::InvalidDocument(description),
            (StatusCode::GATEWAY_TIMEOUT, _) => RunError::Failed(description),
            _ => RunError::Refused(description),
        })
    }
}

fn describe_error_response(response: &HttpClientResponse, value: &Value) -> String {
    let error = value["error"].as_str().unwrap_or_default();
    let mut lines = vec![format!("refused ({}): {error}", response.status)];
    for fault in value["detail"].as_array().into_iter().flatten() {
        let line = &fault["line"];
        let field = fault["field"].as_str().unwrap_or_default();
        let message = fault["message"].as_str().unwrap_or_default();
        let separator = if field.is_empty() { "" } else { ": " };
        lines.push(format!("line {line}: {field}{separator}{message}"));
    }
    lines.extend(describe_conflicts(&value["detail"]));
    lines.join("\n")
}
