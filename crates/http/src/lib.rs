//! A minimal HTTP/1.1 server for short requests: the routers' readiness checks and metrics.

use std::{convert::Infallible, time::Duration};

pub use http_body_util::Full;
pub use hyper::{
    Method, Request, Response, StatusCode,
    body::{Bytes, Incoming},
    header,
};
use hyper::{server::conn::http1, service::service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::TcpStream;

/// Timeout for receiving the head of a request. Clients send a request at once and the next one
/// within seconds, so a connection that is idle for longer only uses memory.
const HEAD_READ_TIMEOUT: Duration = Duration::from_secs(10);

/// Maximum size of a request's head, in bytes: several times the usual size.
const MAX_HEAD_BYTES: usize = 16 << 10;

/// Answers each request on a connection with the response that `respond` returns, until the
/// connection ends.
///
/// ```no_run
/// # async fn example(stream: tokio::net::TcpStream) {
/// use acacia_http::{Response, serve};
/// serve(stream, |_| Response::default()).await;
/// # }
/// ```
pub async fn serve(
    stream: TcpStream,
    respond: impl Fn(&Request<Incoming>) -> Response<Full<Bytes>>,
) {
    let answer = |request: Request<Incoming>| {
        let response = respond(&request);
        async move { Ok::<_, Infallible>(response) }
    };
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(HEAD_READ_TIMEOUT)
        .max_buf_size(MAX_HEAD_BYTES)
        .serve_connection(TokioIo::new(stream), service_fn(answer));
    if let Err(error) = connection.await {
        log::debug!("event=connection-ended error={error:?}");
    }
}

/// Returns a response with the given status and no body.
///
/// ```
/// use acacia_http::{StatusCode, status};
/// assert_eq!(status(StatusCode::NOT_FOUND).status(), 404);
/// ```
#[must_use]
pub fn status(status: StatusCode) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::default());
    *response.status_mut() = status;
    response
}
