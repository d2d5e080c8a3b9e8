//! What a traffic thread does with packets that carry a cookie.

use std::{
    net::{SocketAddrV4, UdpSocket},
    sync::{Arc, atomic::AtomicBool},
};

use acacia_adapter::packet::{self, Frame};
use acacia_code::Code;
use acacia_cookie::{Action, Resolver, Snapshot, cookie::Cookie};
use acacia_wire::packet::{Error, Kind as PacketKind};
use arc_swap::ArcSwapOption;

use crate::{
    clock,
    counter::{Counter, Kind},
    traffic::{
        batch::{Received, ToSend},
        worker,
    },
};

/// The latest routes and servers; none until they are known.
pub type Published = Arc<ArcSwapOption<Snapshot>>;

/// What a traffic thread shares with the rest of the process.
#[derive(Debug, Clone)]
pub struct Context {
    /// Routes and servers.
    pub published: Published,
    /// Counts.
    pub counter: Arc<Counter>,
    /// The port at which callers take packets.
    pub port: u16,
}

/// Resolves and passes on packets until `stop` is raised.
///
/// # Errors
/// When the socket fails.
pub fn run(socket: &UdpSocket, context: &Context, stop: &AtomicBool) -> std::io::Result<()> {
    let mut resolver = Resolver::default();
    worker::repeat(socket, &context.counter, stop, |received, to_send| {
        let snapshot = context.published.load();
        let Some(snapshot) = snapshot.as_deref() else {
            return;
        };
        batch(&mut resolver, snapshot, context, received, to_send);
    })
}

fn batch(
    resolver: &mut Resolver,
    snapshot: &Snapshot,
    context: &Context,
    received: &Received,
    to_send: &mut ToSend,
) {
    let now = clock::now();
    for index in 0..received.len() {
        let bytes = received.get(index);
        context.counter.kind(Kind::Ingress, 1);
        let frame = match packet::decode(bytes) {
            Ok(frame) => frame,
            Err(error) => {
                context.counter.code(code(error));
                continue;
            }
        };
        let cookie = Cookie::from_bits(frame.cookie);
        let action = resolver.resolve(snapshot, &frame.packet, cookie, now);
        carry_out(action, &frame, bytes, snapshot, context, to_send);
    }
}

fn carry_out(
    action: Action,
    frame: &Frame,
    bytes: &[u8],
    snapshot: &Snapshot,
    context: &Context,
    to_send: &mut ToSend,
) {
    match action {
        Action::Forward { server, cookie } => {
            let server = &snapshot.servers[server as usize];
            let opens = matches!(frame.packet.kind, PacketKind::Opening { .. });
            let written = opens.then_some(cookie.bits());
            context.counter.kind(Kind::Forwarded, 1);
            to_send.build(server.address, |out| {
                packet::forward(bytes, server.tag, written, out);
            });
        }
        Action::Reset { code } => {
            let key = &frame.packet.key;
            let caller = SocketAddrV4::new(key.client, context.port);
            context.counter.kind(Kind::Refused, 1);
            context.counter.code(code);
            let reset = packet::reset(key, frame.packet.acknowledgement);
            to_send.build(caller, |out| out.extend(reset));
        }
        Action::Drop { code } => context.counter.code(code),
    }
}

fn code(error: Error) -> Code {
    worker::packet_code(error)
}
