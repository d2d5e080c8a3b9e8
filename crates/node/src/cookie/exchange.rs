//! Messages between balancers: changes and gossip over UDP, complete differences over TCP.
//!
//! Gossip uses datagrams instead of long-lived connections. A lost datagram is made up for by the next
//! one within a second, there is no connection that could fail unnoticed, and a balancer that has just
//! started is answered at once, where a connection would wait for the next attempt to open it. For the
//! same reason, each difference is fetched over a connection of its own, which is closed after the
//! answer.
//!
//! Differences are encoded as MessagePack without field names. As JSON, thousands of new routes are four
//! times as long, and callers' packets are queued behind them on slow links.

use std::{io, net::SocketAddrV4, time::Duration};

use acacia_platform::{answer, server};
use acacia_wire::control::{self, Envelope, Secret};
use tarpc::{client, context, serde_transport::Transport, server::Serve as _};
use tokio::{
    net::{TcpStream, UdpSocket},
    time::{self, Instant},
};
use tokio_serde::formats::MessagePack;

use super::message::{Difference, Message, Outgoing};

/// Timeout for a connection to a peer. It is ample for a round trip of 20 ms and a peer that is short of
/// processor time, and it limits the delay caused by a peer that is gone.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Timeout for a whole fetch, including the connection. A peer answers from memory, but 3,000 routes
/// take 350 ms over a link of 2 Mbit/s, and three peers fetch them at the same time. With a timeout as
/// short as that of the connection, every transfer was aborted and restarted, and the new routes came
/// into force on no balancer.
pub const FETCH_TIMEOUT: Duration = Duration::from_millis(2_000);

/// Maximum length of a request in bytes, several times that of a valid one.
const MAX_REQUEST_BYTES: usize = 1_024;

/// RPC interface between balancers.
#[tarpc::service]
pub trait Peer {
    /// Returns all changes after a revision.
    async fn difference(revision: u64) -> Difference;
}

/// Sends outgoing to their receivers. One that can't be sent is lost, as any datagram may be.
pub async fn send(socket: &UdpSocket, outgoing: Vec<Outgoing>, secret: &Secret) {
    for Outgoing { to, message } in outgoing.into_iter().filter(|one| !one.to.is_empty()) {
        let envelope = Envelope {
            // These balancers are identified by address, not by number.
            sender: 0,
            incarnation: message.from.incarnation,
            sequence: message.from.version.into(),
        };
        let frame = control::seal(&envelope, &message, secret);
        for to in to {
            if let Err(error) = socket.send_to(&frame, to).await {
                log::debug!("event=message-unsent peer={to} error={error:?}");
            }
        }
    }
}

/// Receives a datagram and decodes its message. The inner result is an error if the datagram is not a
/// valid message.
///
/// # Errors
/// If the socket fails.
pub async fn receive(
    socket: &UdpSocket,
    buffer: &mut [u8],
    secret: &Secret,
) -> io::Result<Result<Message, control::Error>> {
    let (length, _) = socket.recv_from(buffer).await?;
    let opened = control::open::<Message>(&buffer[..length], secret);
    Ok(opened.map(|(_, message)| message))
}

/// Fetches all changes after `revision` from the peer at `address`.
///
/// # Errors
/// If the connection or the call fails, or the peer doesn't answer in time.
pub async fn fetch(address: SocketAddrV4, revision: u64) -> anyhow::Result<Difference> {
    let deadline = Instant::now() + FETCH_TIMEOUT;
    let stream = time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await??;
    let transport = Transport::from((stream, MessagePack::default()));
    let new_client = PeerClient::new(client::Config::default(), transport);
    let mut ctx = context::current();
    ctx.deadline = deadline.into_std();
    // The connection is driven here and not by a task of its own, so it is closed at the end of this call.
    let call = time::timeout_at(deadline, new_client.client.difference(ctx, revision));
    Ok(answer::wait_for(call, new_client.dispatch).await??)
}

/// Answers a peer's requests on one connection until it is closed. `difference` returns all changes after
/// a revision; `idle` is called whenever all requests so far have been answered.
pub async fn serve<D>(stream: TcpStream, difference: D, idle: impl Fn())
where
    D: Fn(u64) -> Difference + Clone + Send + Sync + 'static,
{
    let responder = Responder { difference };
    let handle = move |ctx, request| responder.clone().serve().serve(ctx, request);
    let codec = MessagePack::default();
    server::serve_connection_with(stream, codec, MAX_REQUEST_BYTES, handle, idle).await;
}

/// Implements [`Peer`] by a closure.
#[derive(Clone)]
struct Responder<D> {
    difference: D,
}

impl<D: Fn(u64) -> Difference + Send> Peer for Responder<D> {
    async fn difference(self, _: context::Context, revision: u64) -> Difference {
        (self.difference)(revision)
    }
}
