//! Serves metrics over HTTP/1.1.

use acacia_http::{Bytes, Full, Incoming, Method, Request, Response, StatusCode, header};
use tokio::net::TcpStream;

/// Request path of the metrics.
const METRICS_PATH: &str = "/metrics";
/// Media type of the text format.
const MEDIA_TYPE: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";

/// Answers requests on one connection until it is closed. `text` returns the metrics.
pub async fn serve(stream: TcpStream, text: impl Fn() -> String) {
    acacia_http::serve(stream, |request| respond(request, &text)).await;
}

fn respond(request: &Request<Incoming>, text: &impl Fn() -> String) -> Response<Full<Bytes>> {
    if request.method() != Method::GET || request.uri().path() != METRICS_PATH {
        return acacia_http::status(StatusCode::NOT_FOUND);
    }
    let mut response = Response::new(Full::new(Bytes::from(text())));
    let value = header::HeaderValue::from_static(MEDIA_TYPE);
    response.headers_mut().insert(header::CONTENT_TYPE, value);
    response
}
