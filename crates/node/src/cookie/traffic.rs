//! What a traffic thread does with packets that carry a cookie.

use std::{
    net::{SocketAddrV4, UdpSocket},
    sync::{Arc, atomic::AtomicBool},
};

use acacia_adapter::packet::{self, Frame};
use acacia_code::Code;
use acacia_cookie::{Action, Notice, Resolver, Snapshot, cookie::Cookie};
use acacia_wire::{
    flow::Key,
    packet::{Error, Kind as PacketKind},
};
use arc_swap::ArcSwapOption;
use tokio::sync::mpsc;

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
    /// What the control thread is told.
    pub notices: mpsc::Sender<Notice>,
}

/// Resolves and passes on packets until `stop` is raised.
///
/// # Errors
/// When the socket fails.
pub fn run(socket: &UdpSocket, context: &Context, stop: &AtomicBool) -> std::io::Result<()> {
    let mut resolver = Resolver::default();
    let mut before: Option<Arc<Snapshot>> = None;
    worker::repeat(socket, &context.counter, stop, |received, to_send| {
        let Some(snapshot) = context.published.load_full() else {
            return;
        };
        if before
            .as_ref()
            .is_none_or(|before| !Arc::ptr_eq(before, &snapshot))
        {
            for (key, acknowledged) in resolver.end_lost(&snapshot) {
                context.counter.kind(Kind::Ended, 1);
                reset(&key, acknowledged, context, to_send);
            }
            before = Some(Arc::clone(&snapshot));
        }
        batch(&mut resolver, &snapshot, context, received, to_send);
        for notice in resolver.take_notices() {
            // A full queue loses the notice; the next copy of the packet makes another.
            let _ = context.notices.try_send(notice);
        }
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
            context.counter.kind(Kind::Refused, 1);
            context.counter.code(code);
            reset(
                &frame.packet.key,
                frame.packet.acknowledgement,
                context,
                to_send,
            );
        }
        Action::Drop { code } => context.counter.code(code),
    }
}

fn reset(key: &Key, acknowledged: u32, context: &Context, to_send: &mut ToSend) {
    let caller = SocketAddrV4::new(key.client, context.port);
    to_send.build(caller, |out| out.extend(packet::reset(key, acknowledged)));
}

fn code(error: Error) -> Code {
    worker::packet_code(error)
}
