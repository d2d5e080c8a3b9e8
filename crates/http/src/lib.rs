//! Answers short HTTP/1.1 requests on one connection: the routers' checks, and metrics.

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

/// How long a connection may take to send a request's head. Whoever asks does so at once and again
/// within seconds; a connection that says nothing for longer only takes memory.
const HEAD: Duration = Duration::from_secs(10);

/// Longest head of a request in bytes, several times a usual one.
const LONGEST_HEAD: usize = 16 << 10;

/// Answers each request on a connection with what `respond` makes of it, until it ends.
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
        .header_read_timeout(HEAD)
        .max_buf_size(LONGEST_HEAD)
        .serve_connection(TokioIo::new(stream), service_fn(answer));
    if let Err(error) = connection.await {
        log::debug!("event=connection-ended error={error:?}");
    }
}

/// An answer without a body.
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
