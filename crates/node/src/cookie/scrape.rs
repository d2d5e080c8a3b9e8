//! Metrics over HTTP/1.1, for whoever scrapes them.

use acacia_http::{Bytes, Full, Incoming, Method, Request, Response, StatusCode, header};
use tokio::net::TcpStream;

/// Where metrics are asked for.
const PATH: &str = "/metrics";
/// The exposition format's media type.
const TYPE: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";

/// Answers on one connection until it ends.
pub async fn serve(stream: TcpStream, text: impl Fn() -> String) {
    acacia_http::serve(stream, |request| respond(request, &text)).await;
}

fn respond(request: &Request<Incoming>, text: &impl Fn() -> String) -> Response<Full<Bytes>> {
    if request.method() != Method::GET || request.uri().path() != PATH {
        return acacia_http::status(StatusCode::NOT_FOUND);
    }
    let mut response = Response::new(Full::new(Bytes::from(text())));
    let value = header::HeaderValue::from_static(TYPE);
    response.headers_mut().insert(header::CONTENT_TYPE, value);
    response
}
