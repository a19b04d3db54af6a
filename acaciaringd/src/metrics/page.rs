//! HTTP endpoint of the metrics.

use bytes::Bytes;
use hyper::http::request::Parts;
use hyper::{Method, StatusCode};

use super::Metrics;
use crate::peer::BoxFuture;
use crate::web::{HttpHandler, Response, text};

/// Path of the endpoint.
const PATH: &str = "/metrics";

/// Serves the metrics as text.
pub(crate) struct MetricsHandler(pub(crate) Metrics);

impl HttpHandler for MetricsHandler {
    fn answer(&self, head: Parts, _body: Bytes) -> BoxFuture<'_, Response> {
        let answer = match (head.method, head.uri.path()) {
            (Method::GET, PATH) => text(StatusCode::OK, self.0.text()),
            (_, PATH) => text(StatusCode::METHOD_NOT_ALLOWED, ""),
            _ => text(StatusCode::NOT_FOUND, ""),
        };
        Box::pin(async move { answer })
    }
}
