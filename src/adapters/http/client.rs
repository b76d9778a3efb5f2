//! A small HTTP client for the project's own tools.

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
    /// Why there was no reply.
    #[derive(Debug)]
    pub enum HttpClientError {
        /// The request can't be formed.
        Request(error: http::Error) {
            from()
            display("{}", error)
        }
        /// No connection, or it broke.
        Exchange(error: hyper_util::client::legacy::Error) {
            from()
            display("{}", error)
        }
        /// The body broke off.
        Body(error: hyper::Error) {
            from()
            display("{}", error)
        }
    }
}

/// A reply read to its end.
#[derive(Debug)]
pub(crate) struct HttpClientResponse {
    /// The status.
    pub(crate) status: StatusCode,
    /// The headers.
    pub(crate) headers: HeaderMap,
    /// The body.
    pub(crate) body: Bytes,
}

impl HttpClientResponse {
    /// The body as text.
    pub(crate) fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }

    /// A header as text, empty if absent.
    pub(crate) fn header(&self, name: &str) -> &str {
        self.headers
            .get(name)
            .and_then(|value| value.to_str().ok())
            .unwrap_or_default()
    }
}

/// Sends requests to addresses by IP number.
#[derive(Debug, Clone)]
pub(crate) struct HttpClient {
    client: Client<HttpConnector, Full<Bytes>>,
}

impl HttpClient {
    /// A client without connections.
    pub(crate) fn new() -> Self {
        Self {
            client: Client::builder(TokioExecutor::new())
                .retry_canceled_requests(false)
                .build_http(),
        }
    }

    /// Sends a request and reads the reply to its end.
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
