//! Messages between balancers: news and gossip by UDP, whole differences by TCP.
//!
//! Datagrams rather than lasting connections: one that is lost is made good by the next within a
//! second, none can go silent for good, and a balancer that has just started is answered at once,
//! where a connection would wait for its next attempt. Differences are fetched over a connection
//! of their own that ends with the answer, for the same reason.
//!
//! Differences travel as MessagePack, without the names of fields. As JSON, thousands of new routes are
//! four times as long, and callers' packets wait behind them on small links.

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

/// How long a peer has to accept a connection. With a round trip of 20 ms and a starved processor,
/// this is ample; one that is gone keeps nobody waiting for longer.
const ACCEPT: Duration = Duration::from_millis(500);
/// How long it has to give a difference, from the start. It answers from memory, but 3,000 routes take a
/// link of 2 Mbit/s 350 ms, and three ask for them at a time. With no more time than for the
/// connection, each transfer was broken off and begun anew, and the new routes were in force nowhere.
pub const FETCH: Duration = Duration::from_millis(2_000);

/// Longest question in bytes, several times a legal one.
const LONGEST_QUESTION: usize = 1_024;

/// What a balancer is asked by its peers.
#[tarpc::service]
pub trait Peer {
    /// All that changed after a revision.
    async fn difference(revision: u64) -> Difference;
}

/// Sends messages. One that can't be sent is lost, as any datagram may be.
pub async fn send(socket: &UdpSocket, outgoing: Vec<Outgoing>, secret: &Secret) {
    for Outgoing { to, message } in outgoing.into_iter().filter(|one| !one.to.is_empty()) {
        let envelope = Envelope {
            // Addresses tell these balancers apart, not numbers.
            sender: 0,
            incarnation: message.from.incarnation,
            sequence: message.from.beat,
        };
        let frame = control::seal(&envelope, &message, secret);
        for to in to {
            if let Err(error) = socket.send_to(&frame, to).await {
                log::debug!("event=message-unsent peer={to} error={error:?}");
            }
        }
    }
}

/// Takes the next message.
///
/// # Errors
/// When the socket fails. A datagram that is no message gives nothing.
pub async fn receive(
    socket: &UdpSocket,
    buffer: &mut [u8],
    secret: &Secret,
) -> io::Result<Result<Message, control::Error>> {
    let (length, _) = socket.recv_from(buffer).await?;
    let opened = control::open::<Message>(&buffer[..length], secret);
    Ok(opened.map(|(_, message)| message))
}

/// Fetches from the peer at `address` all that changed after `revision`.
///
/// # Errors
/// When it does not answer in time.
pub async fn fetch(address: SocketAddrV4, revision: u64) -> anyhow::Result<Difference> {
    let deadline = Instant::now() + FETCH;
    let stream = time::timeout(ACCEPT, TcpStream::connect(address)).await??;
    let transport = Transport::from((stream, MessagePack::default()));
    let new = PeerClient::new(client::Config::default(), transport);
    let mut ctx = context::current();
    ctx.deadline = deadline.into_std();
    // The connection is served here and not by a task of its own: it ends with this call.
    let call = time::timeout_at(deadline, new.client.difference(ctx, revision));
    Ok(answer::of(call, new.dispatch).await??)
}

/// Answers a peer on one connection until it ends. `idle` is called whenever all that was asked has been
/// answered.
pub async fn serve<D>(stream: TcpStream, difference: D, idle: impl Fn())
where
    D: Fn(u64) -> Difference + Clone + Send + Sync + 'static,
{
    let answers = Answers { difference };
    let handle = move |ctx, request| answers.clone().serve().serve(ctx, request);
    let codec = MessagePack::default();
    server::connection_as(stream, codec, LONGEST_QUESTION, handle, idle).await;
}

/// The answers as a tarpc service.
#[derive(Clone)]
struct Answers<D> {
    difference: D,
}

impl<D: Fn(u64) -> Difference + Send> Peer for Answers<D> {
    async fn difference(self, _: context::Context, revision: u64) -> Difference {
        (self.difference)(revision)
    }
}
