//! Metrics over HTTP/1.1, for whoever scrapes them.

use std::{convert::Infallible, time::Duration};

use http_body_util::Full;
use hyper::{
    Method, Request, Response, StatusCode,
    body::{Bytes, Incoming},
    header::{CONTENT_TYPE, HeaderValue},
    server::conn::http1,
    service::service_fn,
};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::TcpStream;

/// Where metrics are asked for.
const PATH: &str = "/metrics";
/// The exposition format's media type.
const TYPE: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";
/// How long a connection may take to send a request's head.
const HEAD: Duration = Duration::from_secs(10);

/// Answers on one connection until it ends.
pub async fn serve(stream: TcpStream, text: impl Fn() -> String) {
    let answer = |request: Request<Incoming>| {
        let response = respond(&request, &text);
        async move { Ok::<_, Infallible>(response) }
    };
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(HEAD)
        .serve_connection(TokioIo::new(stream), service_fn(answer));
    if let Err(error) = connection.await {
        log::debug!("event=scrape-ended error={error:?}");
    }
}

fn respond(request: &Request<Incoming>, text: &impl Fn() -> String) -> Response<Full<Bytes>> {
    if request.method() != Method::GET || request.uri().path() != PATH {
        let mut response = Response::new(Full::default());
        *response.status_mut() = StatusCode::NOT_FOUND;
        return response;
    }
    let mut response = Response::new(Full::new(Bytes::from(text())));
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static(TYPE));
    response
}
