//! HTTP client of the tests.

use {
    bytes::Bytes,
    http::{HeaderMap, Request, StatusCode},
    http_body_util::{BodyExt, Full},
    hyper_util::{client::legacy::Client, rt::TokioExecutor},
    serde_json::Value,
    std::net::SocketAddr,
};

/// A response with its complete body.
#[derive(Debug)]
pub struct Reply {
    pub status: StatusCode,
    pub headers: HeaderMap,
    pub body: String,
}

impl Reply {
    /// Value of a header; empty if it is absent.
    pub fn header(&self, name: &str) -> &str {
        self.headers
            .get(name)
            .map_or("", |value| value.to_str().expect("text header"))
    }

    /// Value of the header `rattanslip-verdict`.
    pub fn verdict(&self) -> &str {
        self.header("rattanslip-verdict")
    }

    /// Value of the header `rattanslip-reason`.
    pub fn reason(&self) -> &str {
        self.header("rattanslip-reason")
    }

    /// Parses the body as JSON.
    pub fn json(&self) -> Value {
        serde_json::from_str(&self.body).expect("JSON body")
    }

    /// Outputs of all tasks of a job; `<none>` for a task without an output.
    pub fn outputs(&self) -> Vec<String> {
        self.json()["tasks"]
            .as_array()
            .expect("tasks")
            .iter()
            .map(|task| task["output"].as_str().unwrap_or("<none>").to_owned())
            .collect()
    }
}

/// Sends a request on a new connection; returns an error if the response is incomplete.
pub async fn try_request(
    method: &str,
    to: SocketAddr,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
) -> Result<Reply, String> {
    let client = Client::builder(TokioExecutor::new())
        .retry_canceled_requests(false)
        .build_http();
    let mut request = Request::builder()
        .method(method)
        .uri(format!("http://{to}{path}"));
    for (name, value) in headers {
        request = request.header(*name, *value);
    }
    let request = request
        .body(Full::new(Bytes::from(body.to_owned())))
        .expect("request");
    let response = client
        .request(request)
        .await
        .map_err(|error| error.to_string())?;
    let (parts, body) = response.into_parts();
    let body = body.collect().await.map_err(|error| error.to_string())?;
    Ok(Reply {
        status: parts.status,
        headers: parts.headers,
        body: String::from_utf8(body.to_bytes().to_vec()).expect("text body"),
    })
}

/// Sends a request; panics without a complete response.
pub async fn request(
    method: &str,
    to: SocketAddr,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
) -> Reply {
    try_request(method, to, path, headers, body)
        .await
        .expect("reply")
}

/// Sends a GET request; panics without a complete response.
pub async fn get(to: SocketAddr, path: &str) -> Reply {
    request("GET", to, path, &[], "").await
}
