//! HTTP client for the project's own tools.

use {
    bytes::Bytes,
    http::{HeaderMap, Method, Request, StatusCode},
    http_body_util::{BodyExt, Full},
    hyper_util::{
        client::legacy::{Client, connect::HttpConnector},
        rt::TokioExecutor,
    },
    quick_error::quick_error,
    std::net::SocketAddr,
};

quick_error! {
    /// Why a request failed.
    #[derive(Debug)]
    pub enum HttpClientError {
        /// The request is not valid.
        Request(error: http::Error) {
            from()
            display("{}", error)
        }
        /// Connecting, sending the request or receiving the response headers failed.
        Exchange(error: hyper_util::client::legacy::Error) {
            from()
            display("{}", error)
        }
        /// Reading the response body failed.
        Body(error: hyper::Error) {
            from()
            display("{}", error)
        }
    }
}

/// A response with its complete body.
#[derive(Debug)]
pub(crate) struct HttpClientResponse {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
}

impl HttpClientResponse {
    /// The body as text, with invalid UTF-8 replaced.
    pub(crate) fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }

    /// A header as text, empty if absent or not ASCII.
    pub(crate) fn header(&self, name: &str) -> &str {
        self.headers
            .get(name)
            .and_then(|value| value.to_str().ok())
            .unwrap_or_default()
    }
}

/// Sends requests to IP addresses.
#[derive(Debug, Clone)]
pub(crate) struct HttpClient {
    client: Client<HttpConnector, Full<Bytes>>,
}

impl HttpClient {
    pub(crate) fn new() -> Self {
        Self {
            client: Client::builder(TokioExecutor::new())
                .retry_canceled_requests(false)
                .build_http(),
        }
    }

    /// Sends a request and reads the complete response.
    pub(crate) async fn send(
        &self,
        method: Method,
        to: SocketAddr,
        path: &str,
        headers: &[(&str, &str)],
        body: String,
    ) -> Result<HttpClientResponse, HttpClientError> {
        let mut request = Request::builder()
            .method(method)
            .uri(format!("http://{to}{path}"));
        for (name, value) in headers {
            request = request.header(*name, *value);
        }
        let request = request.body(Full::new(Bytes::from(body)))?;
        let response = self.client.request(request).await?;
        let (parts, body) = response.into_parts();
        Ok(HttpClientResponse {
            status: parts.status,
            headers: parts.headers,
            body: body.collect().await?.to_bytes(),
        })
    }
}
