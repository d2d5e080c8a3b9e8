//! Runs a tarpc service on one connection, with all its handlers owned by the caller's future.
//!
//! tarpc's own helper spawns each request and forgets it. Here a connection that ends takes its
//! handlers with it (a waiting watch included), so that a stopping server leaves no task behind.

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

/// Serves one accepted connection until the peer closes it or breaks the protocol. `handle` is
/// mostly a closure around a service's `serve`. Dropping the future ends all its handlers. Requests of
/// more than `longest` bytes end the connection.
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
pub async fn serve_connection<Req, Resp, H, F>(stream: TcpStream, longest: usize, handle: H)
where
    Req: for<'a> Deserialize<'a>,
    Resp: Serialize + Send + 'static,
    H: Fn(context::Context, Req) -> F,
    F: Future<Output = Result<Resp, ServerError>> + Send + 'static,
{
    serve_connection_with(stream, Json::default(), longest, handle, || {}).await;
}

/// The same with messages encoded by `codec`. `idle` is called whenever all requests so far have been
/// answered and the answers handed to the network.
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
    longest: usize,
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
    // Answers are small and awaited one by one; Nagle's algorithm would hold them back.
    if stream.set_nodelay(true).is_err() {
        return;
    }
    let frames = Framed::new(stream, frame::Codec::new(longest));
    let transport: Messages<_, ClientMessage<Req>, Response<Resp>, C> =
        Messages::new(frames, codec);
    pump(BaseChannel::with_defaults(transport), handle, idle).await;
}

/// The requests of one connection that are not answered yet.
struct Handlers<Resp> {
    running: JoinSet<Option<Response<Resp>>>,
    /// An answer has not been handed to the network whole.
    unsent: bool,
    /// All answers have been handed to the network since this was last asked.
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
    fn sent(&mut self) {
        self.is_idle |= self.unsent && self.running.is_empty();
        self.unsent = false;
    }

    fn take_idle(&mut self) -> bool {
        std::mem::take(&mut self.is_idle)
    }
}

/// Starts a handler for each request and sends what it answers.
async fn pump<C, H, F>(channel: C, handle: H, idle: impl Fn())
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
                Poll::Ready(Some(Ok(request))) => start(&mut handlers.running, request, &handle),
                Poll::Ready(Some(Err(_)) | None) => return Poll::Ready(()),
                Poll::Pending => break,
            }
        }
        let broken = answer(channel.as_mut(), &mut handlers, cx);
        if handlers.take_idle() {
            idle();
        }
        broken
    })
    .await;
}

/// Starts the handler of one request. It is given up at the caller's deadline: nobody waits for
/// its answer any longer.
fn start<Req, Resp, H, F>(
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

/// Sends the answers of all finished handlers; ready when the connection is broken.
fn answer<C>(
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
            // Given up at its deadline, as nobody waits for it any longer.
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
            handlers.sent();
            Poll::Pending
        }
        Poll::Pending => Poll::Pending,
    }
}
