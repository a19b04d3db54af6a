//! Page on which metrics are read.

use bytes::Bytes;
use hyper::http::request::Parts;
use hyper::{Method, StatusCode};

use super::Metrics;
use crate::peer::BoxFuture;
use crate::web::{HttpHandler, Response, text};

/// Path of the page.
const PATH: &str = "/metrics";

/// Answers with the metrics as text.
pub(crate) struct MetricsSite(pub(crate) Metrics);

impl HttpHandler for MetricsSite {
    fn answer(&self, head: Parts, _body: Bytes) -> BoxFuture<'_, Response> {
        let answer = match (head.method, head.uri.path()) {
            (Method::GET, PATH) => text(StatusCode::OK, self.0.text()),
            (_, PATH) => text(StatusCode::METHOD_NOT_ALLOWED, ""),
            _ => text(StatusCode::NOT_FOUND, ""),
        };
        Box::pin(async move { answer })
    }
}
