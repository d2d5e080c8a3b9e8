//! Serves a tarpc service on one connection. All request handlers are owned by the caller's future.
//!
//! tarpc's own helper spawns a detached task for each request. Here the handlers, including those
//! of waiting watches, are aborted when the connection ends, so that a server that stops leaves no
//! task behind.

mod frame;

use std::{
    io,
    pin::{Pin, pin},
    task::{Context, Poll},
};

use serde::{Deserialize, Serialize};
use tarpc::{
    ClientMessage, Response, ServerError, context,
    server::{BaseChannel, Channel, TrackedRequest},
    tokio_serde::{Deserializer, Framed as Messages, Serializer, formats::Json},
    tokio_util::codec::Framed,
};
use tokio::{net::TcpStream, task::JoinSet, time};

/// Serves one accepted connection until the peer closes it or violates the protocol. `handle` is
/// usually a closure around a service's `serve`. Dropping the future aborts all handlers. A request
/// of more than `max_request_len` bytes ends the connection.
///
/// ```no_run
/// # use acacia_platform::server;
/// # async fn example() -> std::io::Result<()> {
/// let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await?;
/// let (stream, _) = listener.accept().await?;
/// let answer = async |_, _: String| Ok(String::from("answer"));
/// server::serve_connection(stream, 1_024, answer).await;
/// # Ok(())
/// # }
/// ```
pub async fn serve_connection<Req, Resp, H, F>(stream: TcpStream, max_request_len: usize, handle: H)
where
    Req: for<'a> Deserialize<'a>,
    Resp: Serialize + Send + 'static,
    H: Fn(context::Context, Req) -> F,
    F: Future<Output = Result<Resp, ServerError>> + Send + 'static,
{
    serve_connection_with(stream, Json::default(), max_request_len, handle, || {}).await;
}

/// Like [`serve_connection`], with messages encoded by `codec`. `idle` is called whenever all
/// requests have been answered and the answers have been written to the socket.
///
/// ```no_run
/// # use acacia_platform::server;
/// # use tarpc::tokio_serde::formats::Json;
/// # async fn example(stream: tokio::net::TcpStream) {
/// let answer = async |_, _: String| Ok(String::from("answer"));
/// server::serve_connection_with(stream, Json::default(), 1_024, answer, || {}).await;
/// # }
/// ```
pub async fn serve_connection_with<Req, Resp, C, E, H, F>(
    stream: TcpStream,
    codec: C,
    max_request_len: usize,
    handle: H,
    idle: impl Fn(),
) where
    Req: for<'a> Deserialize<'a>,
    Resp: Serialize + Send + 'static,
    C: Serializer<Response<Resp>, Error = E> + Deserializer<ClientMessage<Req>, Error = E>,
    io::Error: From<E>,
    H: Fn(context::Context, Req) -> F,
    F: Future<Output = Result<Resp, ServerError>> + Send + 'static,
{
    // Nagle's algorithm would delay the answers, which are small and awaited one by one.
    if stream.set_nodelay(true).is_err() {
        return;
    }
    let frames = Framed::new(stream, frame::Codec::new(max_request_len));
    let transport: Messages<_, ClientMessage<Req>, Response<Resp>, C> =
        Messages::new(frames, codec);
    serve_requests(BaseChannel::with_defaults(transport), handle, idle).await;
}

/// The handlers of one connection whose answers are not sent yet.
struct Handlers<Resp> {
    running: JoinSet<Option<Response<Resp>>>,
    /// Whether an answer has not been written to the socket completely.
    unsent: bool,
    /// Whether the last pending answer was written to the socket since `take_idle` was last called.
    is_idle: bool,
}

impl<Resp> Default for Handlers<Resp> {
    fn default() -> Self {
        Handlers {
            running: JoinSet::new(),
            unsent: false,
            is_idle: false,
        }
    }
}

impl<Resp> Handlers<Resp> {
    fn record_flush(&mut self) {
        self.is_idle |= self.unsent && self.running.is_empty();
        self.unsent = false;
    }

    fn take_idle(&mut self) -> bool {
        std::mem::take(&mut self.is_idle)
    }
}

/// Spawns a handler for each request and sends its answer.
async fn serve_requests<C, H, F>(channel: C, handle: H, idle: impl Fn())
where
    C: Channel,
    C::Resp: Send + 'static,
    H: Fn(context::Context, C::Req) -> F,
    F: Future<Output = Result<C::Resp, ServerError>> + Send + 'static,
{
    let mut channel = pin!(channel);
    let mut handlers = Handlers::default();
    std::future::poll_fn(|cx| {
        loop {
            match channel.as_mut().poll_next(cx) {
                Poll::Ready(Some(Ok(request))) => spawn(&mut handlers.running, request, &handle),
                Poll::Ready(Some(Err(_)) | None) => return Poll::Ready(()),
                Poll::Pending => break,
            }
        }
        let closed = send_answers(channel.as_mut(), &mut handlers, cx);
        if handlers.take_idle() {
            idle();
        }
        closed
    })
    .await;
}

/// Spawns the handler of one request. It is dropped at the caller's deadline, as nobody waits for
/// the answer any longer.
fn spawn<Req, Resp, H, F>(
    handlers: &mut JoinSet<Option<Response<Resp>>>,
    tracked: TrackedRequest<Req>,
    handle: &H,
) where
    Resp: Send + 'static,
    H: Fn(context::Context, Req) -> F,
    F: Future<Output = Result<Resp, ServerError>> + Send + 'static,
{
    let request = tracked.request;
    let (request_id, deadline) = (request.id, request.context.deadline);
    let answer = handle(request.context, request.message);
    handlers.spawn(async move {
        let message = time::timeout_at(deadline.into(), answer).await.ok()?;
        Some(Response {
            request_id,
            message,
        })
    });
}

/// Sends the answers of all finished handlers; ready once the connection has failed.
fn send_answers<C>(
    mut channel: Pin<&mut C>,
    handlers: &mut Handlers<C::Resp>,
    cx: &mut Context<'_>,
) -> Poll<()>
where
    C: Channel,
    C::Resp: 'static,
{
    loop {
        match channel.as_mut().poll_ready(cx) {
            Poll::Ready(Ok(())) => {}
            Poll::Ready(Err(_)) => return Poll::Ready(()),
            Poll::Pending => break,
        }
        match handlers.running.poll_join_next(cx) {
            Poll::Ready(Some(Ok(Some(response)))) => {
                handlers.unsent = true;
                if channel.as_mut().start_send(response).is_err() {
                    return Poll::Ready(());
                }
            }
            // The handler was dropped at its deadline: there is no answer to send.
            Poll::Ready(Some(Ok(None))) => {}
            Poll::Ready(Some(Err(error))) => {
                log::error!("event=handler-panicked error=\"{error}\"");
            }
            Poll::Ready(None) | Poll::Pending => break,
        }
    }
    match channel.poll_flush(cx) {
        Poll::Ready(Err(_)) => Poll::Ready(()),
        Poll::Ready(Ok(())) => {
            handlers.record_flush();
            Poll::Pending
        }
        Poll::Pending => Poll::Pending,
    }
}
