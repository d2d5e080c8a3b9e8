//! What a traffic thread does with packets that carry a cookie.

use std::{
    net::{SocketAddrV4, UdpSocket},
    sync::{Arc, atomic::AtomicBool},
};

use acacia_adapter::packet::{self, Frame};
use acacia_code::Code;
use acacia_cookie::{
    Action, Notice, Refusal, Reset, Resolver, Snapshot, cookie::Cookie, snapshot::Server,
};
use acacia_wire::{
    flow::Key,
    packet::{Error, Kind as PacketKind},
};
use arc_swap::ArcSwapOption;
use tokio::sync::mpsc;

use super::{burn, meters::Meters};
use crate::{
    clock,
    counter::{Counter, Kind},
    ledger::Ledger,
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
    /// Histograms of what packets show.
    pub meters: Arc<Meters>,
    /// How flows ended, for the report on service-level burn.
    pub ledger: Arc<Ledger>,
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
            for ended in resolver.end_flows_of_gone_servers(&snapshot) {
                end(&ended, &snapshot, context, to_send);
            }
            resolver.retain_known(&snapshot);
            before = Some(Arc::clone(&snapshot));
        }
        batch(&mut resolver, &snapshot, context, received, to_send);
        for timing in resolver.take_timings() {
            context.meters.observe(&timing, &snapshot);
            burn::opened(&context.ledger, &timing, &snapshot);
        }
        for notice in resolver.take_notices(clock::now()) {
            // A full queue loses the notice; the next copy of the packet makes another.
            if context.notices.try_send(notice).is_err() {
                context.counter.kind(Kind::Untold, 1);
            }
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
            if opens {
                opened(frame, server, cookie, snapshot);
            }
            context.counter.kind(Kind::Forwarded, 1);
            to_send.build(server.address, |out| {
                packet::forward(bytes, server.tag, written, out);
            });
        }
        Action::Reset { code } => {
            let cookie = frame.cookie;
            say(
                "flow-reset",
                &frame.packet.key,
                snapshot,
                format_args!("code={code} cookie={cookie:08x}"),
            );
            context.counter.kind(Kind::Refused, 1);
            context.counter.code(code);
            if code == Code::ServerNone {
                burn::refused(&context.ledger, &frame.packet.key, snapshot);
            }
            reset(
                &frame.packet.key,
                frame.packet.acknowledgement,
                context,
                to_send,
            );
        }
        Action::Refuse { refusal } => {
            refused(frame, &refusal, snapshot);
            context.counter.kind(Kind::Refused, 1);
            context.counter.code(refusal.code);
            burn::refused(&context.ledger, &frame.packet.key, snapshot);
            let acknowledged = frame.packet.acknowledgement;
            reset(&frame.packet.key, acknowledged, context, to_send);
        }
        Action::Drop { code } => {
            let cookie = frame.cookie;
            say(
                "packet-dropped",
                &frame.packet.key,
                snapshot,
                format_args!("code={code} cookie={cookie:08x}"),
            );
            context.counter.code(code);
        }
    }
}

/// Tells of an opening that was sent on. A caller's complaint leads here by the caller's address and
/// port, and from here by the cookie to all that happened to the flow's server.
fn opened(frame: &Frame, server: &Server, cookie: Cookie, snapshot: &Snapshot) {
    let (id, bits, copies) = (&server.id, cookie.bits(), frame.copies);
    let what = format_args!("server={id} cookie={bits:08x} copies={copies}");
    say("flow-opened", &frame.packet.key, snapshot, what);
}

/// Tells of an opening that was refused under load, and by what.
fn refused(frame: &Frame, refusal: &Refusal, snapshot: &Snapshot) {
    let (code, server) = (refusal.code, &snapshot.servers[refusal.server as usize]);
    let (expected, limit) = (refusal.expected.as_millis(), refusal.limit.as_millis());
    let (id, copies) = (&server.id, frame.copies);
    let what = format_args!(
        "code={code} first={id} expected_ms={expected} limit_ms={limit} copies={copies}"
    );
    say("flow-refused", &frame.packet.key, snapshot, what);
}

/// Tells the caller of a lost server that its flow has ended.
fn end(ended: &Reset, snapshot: &Snapshot, context: &Context, to_send: &mut ToSend) {
    let (code, server) = (Code::FlowServerGone, &ended.server);
    burn::ended(&context.ledger, ended, snapshot);
    say(
        "flow-ended",
        &ended.key,
        snapshot,
        format_args!("code={code} server={server}"),
    );
    context.counter.kind(Kind::Ended, 1);
    context.counter.code(code);
    reset(&ended.key, ended.acknowledged, context, to_send);
}

/// A line on a decision: the flow, what was decided, and the age of what it rests on.
fn say(event: &str, key: &Key, snapshot: &Snapshot, what: std::fmt::Arguments<'_>) {
    let (version, revision) = (snapshot.version, snapshot.revision);
    log::info!(
        "event={event} caller={}:{} to={}:{} {what} version={version} revision={revision}",
        key.client,
        key.client_port,
        key.service,
        key.service_port,
    );
}

fn reset(key: &Key, acknowledged: u32, context: &Context, to_send: &mut ToSend) {
    let caller = SocketAddrV4::new(key.client, context.port);
    to_send.build(caller, |out| out.extend(packet::reset(key, acknowledged)));
}

fn code(error: Error) -> Code {
    worker::packet_code(error)
}
