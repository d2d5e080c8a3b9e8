//! The work of a traffic thread: resolves packets that carry a cookie and forwards them.

use std::{
    net::{SocketAddrV4, UdpSocket},
    sync::{Arc, atomic::AtomicBool},
};

use acacia_adapter::packet::{self, Frame};
use acacia_code::Code;
use acacia_cookie::{
    Action, Notice, Refusal, Reset, Resolver, Snapshot, cookie::Cookie, resolver::spill,
    snapshot::Server,
};
use acacia_load::demand::View;
use acacia_wire::{
    flow::Key,
    packet::{Error, Kind as PacketKind},
};
use arc_swap::{ArcSwap, ArcSwapOption};
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

/// The latest snapshot of routes and servers; `None` until they are known.
pub type Published = Arc<ArcSwapOption<Snapshot>>;

/// The latest demand for all services.
pub type Demand = Arc<ArcSwap<View>>;

/// State that a traffic thread shares with the rest of the process.
#[derive(Debug, Clone)]
pub struct Context {
    /// The latest snapshot of routes and servers.
    pub published: Published,
    /// The latest demand for all services. It changes several times a second, and a new snapshot would
    /// make the thread visit all flows.
    pub demand: Demand,
    /// Counts of packets and events.
    pub counter: Arc<Counter>,
    /// UDP port on which callers receive packets.
    pub port: u16,
    /// Notices to the control thread.
    pub notices: mpsc::Sender<Notice>,
    /// Response times measured on flows.
    pub meters: Arc<Meters>,
    /// Outcomes of flows, for the report on service-level burn.
    pub ledger: Arc<Ledger>,
}

/// Receives, resolves and forwards packets until `stop` is set.
///
/// # Errors
/// If the socket fails.
pub fn run(socket: &UdpSocket, context: &Context, stop: &AtomicBool) -> std::io::Result<()> {
    let mut resolver = Resolver::default();
    let mut last_snapshot: Option<Arc<Snapshot>> = None;
    let mut last_demand: Arc<View> = Arc::default();
    worker::process_batches(socket, &context.counter, stop, |received, to_send| {
        let Some(snapshot) = context.published.load_full() else {
            return;
        };
        if last_snapshot
            .as_ref()
            .is_none_or(|last_snapshot| !Arc::ptr_eq(last_snapshot, &snapshot))
        {
            for ended in resolver.end_flows_of_gone_servers(&snapshot) {
                end_flow(&ended, &snapshot, context, to_send);
            }
            resolver.retain_known(&snapshot);
            context.meters.flows.set_services(&snapshot);
            last_snapshot = Some(Arc::clone(&snapshot));
        }
        let demand = context.demand.load();
        if !Arc::ptr_eq(&last_demand, &demand) {
            last_demand = Arc::clone(&demand);
            resolver.set_demand(Arc::clone(&demand));
            let offset = clock::time_of_day().saturating_sub(clock::now());
            resolver.set_time_of_day(offset);
        }
        process_batch(&mut resolver, &snapshot, context, received, to_send);
        for timing in resolver.take_timings() {
            context.meters.observe(&timing, &snapshot);
            burn::count_opened(&context.ledger, &timing, &snapshot);
        }
        for spill in resolver.take_spills() {
            log_spill(&spill);
        }
        for notice in resolver.take_notices(clock::now()) {
            // If the queue is full, the notice is lost; the next retransmission of the packet creates another.
            if context.notices.try_send(notice).is_err() {
                context.counter.kind(Kind::Untold, 1);
            }
        }
    })
}

/// Resolves a batch of received packets and carries out the decisions.
fn process_batch(
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
                context.counter.code(packet_code(error));
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
        Action::Forward {
            server,
            cookie,
            selection,
        } => {
            let server = &snapshot.servers[server as usize];
            let opens = matches!(frame.packet.kind, PacketKind::Opening { .. });
            let written = opens.then_some(cookie.bits());
            if opens {
                context.meters.flows.record_opening(server, selection);
                log_opened(frame, server, cookie, snapshot);
            }
            context.counter.kind(Kind::Forwarded, 1);
            to_send.build(server.address, |out| {
                packet::forward(bytes, server.tag, written, out);
            });
        }
        Action::Reset { code } => {
            let cookie = frame.cookie;
            log_decision(
                "flow-reset",
                &frame.packet.key,
                snapshot,
                format_args!("code={code} cookie={cookie:08x}"),
            );
            context.counter.kind(Kind::Refused, 1);
            context.counter.code(code);
            if matches!(code, Code::ServerNone | Code::ServersCold) {
                let key = &frame.packet.key;
                context.meters.flows.record_reset(key, code, snapshot);
            }
            if code == Code::ServerNone {
                burn::count_refused(&context.ledger, &frame.packet.key, snapshot);
            }
            send_reset(
                &frame.packet.key,
                frame.packet.acknowledgement,
                context,
                to_send,
            );
        }
        Action::Refuse { refusal } => {
            log_refused(frame, &refusal, snapshot);
            context.meters.flows.record_refusal(&refusal, snapshot);
            context.counter.kind(Kind::Refused, 1);
            context.counter.code(refusal.code);
            burn::count_refused(&context.ledger, &frame.packet.key, snapshot);
            let acknowledged = frame.packet.acknowledgement;
            send_reset(&frame.packet.key, acknowledged, context, to_send);
        }
        Action::Drop { code } => {
            let cookie = frame.cookie;
            log_decision(
                "packet-dropped",
                &frame.packet.key,
                snapshot,
                format_args!("code={code} cookie={cookie:08x}"),
            );
            context.counter.code(code);
        }
    }
}

/// Logs an opening packet that was forwarded. If a caller reports a problem, its address and port lead to
/// this line, and the cookie in it leads to all events of the flow's server.
fn log_opened(frame: &Frame, server: &Server, cookie: Cookie, snapshot: &Snapshot) {
    let (id, bits, copies) = (&server.id, cookie.bits(), frame.copies);
    let details = format_args!("server={id} cookie={bits:08x} copies={copies}");
    log_decision("flow-opened", &frame.packet.key, snapshot, details);
}

/// Logs an opening that was refused under load, with the estimates that led to the decision.
fn log_refused(frame: &Frame, refusal: &Refusal, snapshot: &Snapshot) {
    let (code, server) = (refusal.code, &snapshot.servers[refusal.server as usize]);
    let (expected, limit) = (refusal.expected.as_millis(), refusal.limit.as_millis());
    let (id, copies) = (&server.id, frame.copies);
    let Refusal {
        demand, capacity, ..
    } = refusal;
    let details = format_args!(
        "code={code} first={id} expected_ms={expected} limit_ms={limit} demand={demand} capacity={capacity} copies={copies}"
    );
    log_decision("flow-refused", &frame.packet.key, snapshot, details);
}

/// Resets the flow of a server that is gone towards its caller, and logs and counts it.
fn end_flow(ended: &Reset, snapshot: &Snapshot, context: &Context, to_send: &mut ToSend) {
    let (code, server) = (Code::FlowServerGone, &ended.server);
    let found = snapshot.named(server);
    let data_centre = found.map_or("", |server| &server.data_centre);
    burn::count_ended(&context.ledger, ended, snapshot);
    log_decision(
        "flow-ended",
        &ended.key,
        snapshot,
        format_args!("code={code} server={server} data_centre={data_centre}"),
    );
    context.counter.kind(Kind::Ended, 1);
    context.counter.code(code);
    send_reset(&ended.key, ended.acknowledged, context, to_send);
}

/// Logs that a service begins or ceases to spill. A share above 0 is never shown as 0.
fn log_spill(event: &spill::Event) {
    let share = match event.share {
        share if share > 0.0 => share.max(0.001),
        _ => 0.0,
    };
    log::info!("event=spill service={} share={share:.3}", event.service);
}

/// Logs a decision on a flow, with the version and revision of the snapshot that it is based on.
fn log_decision(event: &str, key: &Key, snapshot: &Snapshot, details: std::fmt::Arguments<'_>) {
    let (version, revision) = (snapshot.version, snapshot.revision);
    log::info!(
        "event={event} caller={}:{} to={}:{} {details} version={version} revision={revision}",
        key.client,
        key.client_port,
        key.service,
        key.service_port,
    );
}

/// Sends a reset of the flow to its caller.
fn send_reset(key: &Key, acknowledged: u32, context: &Context, to_send: &mut ToSend) {
    let caller = SocketAddrV4::new(key.client, context.port);
    to_send.build(caller, |out| out.extend(packet::reset(key, acknowledged)));
}

fn packet_code(error: Error) -> Code {
    worker::packet_code(error)
}
