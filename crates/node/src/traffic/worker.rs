//! The loop of one traffic thread.

use std::{
    net::{SocketAddrV4, UdpSocket},
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use acacia_code::Code;
use acacia_flow::{
    Shards, Verdict, resolve,
    snapshot::Address,
    verdict::{Action, Arrival, Notice, Request},
};
use acacia_wire::{
    control::Secret,
    encap::{self, Frame},
    packet::{self, Packet},
    reply,
};
use crossbeam_channel::Sender;

use super::batch::{LARGEST, Received, ToSend};
use crate::{
    clock,
    counter::{Counter, Kind},
    load::{Counts, FlowPlacer},
    view::{Published, View},
};

/// What a traffic thread shares with the rest of the process.
#[derive(Debug, Clone)]
pub struct Context {
    /// The latest view.
    pub published: Published,
    /// Pins and caches.
    pub shards: Arc<Shards>,
    /// Counts.
    pub counter: Arc<Counter>,
    /// Notices for peers, sent by the control thread.
    pub notices: Sender<(u16, Notice)>,
    /// Counts of load for the control thread.
    pub counts: Sender<Counts>,
    /// Seed of this thread's random choices.
    pub seed: u64,
    /// Keys of redirects.
    pub secret: Secret,
    /// Where packets for callers go.
    pub gateway: SocketAddrV4,
}

/// Resolves and passes on packets until `stop` is raised.
pub fn run(socket: &UdpSocket, context: &Context, stop: &AtomicBool) -> std::io::Result<()> {
    let mut placer = FlowPlacer::new(context.seed);
    process_batches(socket, &context.counter, stop, |received, to_send| {
        // One look a batch: a view is good for far longer than a batch takes.
        let view = context.published.load();
        let Some(view) = view.as_deref() else {
            return;
        };
        let now = clock::now();
        for index in 0..received.len() {
            let mut step = Step {
                context,
                view,
                now,
                index,
                to_send,
                placer: &mut placer,
            };
            if let Err(code) = step.datagram(received.get(index)) {
                context.counter.code(code);
            }
        }
        for counts in placer.drain(now) {
            // A full queue loses half a second of counts; estimates go on with the next.
            if context.counts.try_send(counts).is_err() {
                context.counter.kind(Kind::Untold, 1);
            }
        }
    })
}

/// Takes batches of datagrams until `stop` is raised, and sends what `handle` makes of each. It is
/// called at least as often as the socket's read timeout, also with an empty batch.
pub fn process_batches(
    socket: &UdpSocket,
    counter: &Counter,
    stop: &AtomicBool,
    mut handle: impl FnMut(&Received, &mut ToSend),
) -> std::io::Result<()> {
    let mut received = Received::default();
    let mut to_send = ToSend::default();
    while !stop.load(Ordering::Relaxed) {
        received.fill(socket)?;
        handle(&received, &mut to_send);
        let lost = to_send.flush(socket, &received);
        counter.kind(Kind::Unsent, lost as u64);
    }
    Ok(())
}

/// One datagram on its way through.
struct Step<'a> {
    context: &'a Context,
    view: &'a View,
    now: Duration,
    index: usize,
    to_send: &'a mut ToSend,
    placer: &'a mut FlowPlacer,
}

impl Step<'_> {
    /// Decides on one datagram; the error is the code under which it is dropped.
    fn datagram(&mut self, datagram: &[u8]) -> Result<(), Code> {
        if datagram.len() == LARGEST {
            return Err(Code::PacketTruncated);
        }
        let frame = encap::decode(datagram, &self.context.secret).map_err(encap_code)?;
        let (arrival, bytes) = match frame {
            Frame::Plain(bytes) => {
                self.context.counter.kind(Kind::Ingress, 1);
                (Arrival::Ingress, bytes)
            }
            Frame::Redirected(redirect, bytes) => (Arrival::Redirected(redirect), bytes),
        };
        let packet = packet::parse(bytes, encap::PORT).map_err(packet_code)?;
        let time = clock::millis(self.now);
        let verdict = {
            let mut shard = self.context.shards.of(packet.key.hash());
            let (placer, policies, now) = (&mut *self.placer, &self.view.policies, self.now);
            let mut place = |request: &Request<'_>| placer.place(request, policies, now);
            resolve(
                &self.view.snapshot,
                &mut shard,
                time,
                &packet,
                arrival,
                &mut place,
            )
        };
        if let (Action::Forward { server }, Arrival::Ingress) = (verdict.action, arrival) {
            let address = Address::of(&packet.key);
            self.placer
                .observe(&packet, address, server, &self.view.policies, self.now);
        }
        self.carry_out(verdict, &packet, datagram.len() - bytes.len(), bytes)
    }

    /// `skip` bytes of the datagram stand before the caller's packet.
    fn carry_out(
        &mut self,
        verdict: Verdict,
        packet: &Packet,
        skip: usize,
        bytes: &[u8],
    ) -> Result<(), Code> {
        if let Some(notice) = verdict.notice {
            // A full queue loses the notice: that costs a redirect or a repetition, no flow.
            if self.context.notices.try_send(notice).is_err() {
                self.context.counter.kind(Kind::Untold, 1);
            }
        }
        let counter = &self.context.counter;
        match verdict.action {
            Action::Forward { server } => {
                let to = self.server(packet, server)?;
                counter.kind(Kind::Forwarded, 1);
                self.to_send
                    .forward(to, self.index, skip..skip + bytes.len());
            }
            Action::Redirect { to, header } => {
                let to = *self.view.peers.get(&to).ok_or(Code::OwnersUnreachable)?;
                counter.kind(Kind::Redirected, 1);
                let secret = &self.context.secret;
                self.to_send
                    .build(to, |out| encap::encode(&header, bytes, secret, out));
            }
            Action::Refuse { retry_after } => {
                counter.kind(Kind::Refused, 1);
                let key = &packet.key;
                log::info!(
                    "event=flow-refused caller={}:{} to={}:{} retry_after_ms={retry_after}",
                    key.client,
                    key.client_port,
                    key.service,
                    key.service_port
                );
                // The time to come back goes first: the reset ends the caller's socket.
                let told = reply::come_back(&packet.key, bytes, retry_after);
                self.to_send.build(self.context.gateway, |out| *out = told);
                self.reset(packet);
            }
            Action::End { server } => {
                counter.kind(Kind::Ended, 1);
                self.reset(packet);
                let to = self.server(packet, server)?;
                if let Some(reset) = reply::reset_server(packet) {
                    self.to_send.build(to, |out| *out = reset);
                }
            }
            Action::Drop { code } => return Err(code),
        }
        Ok(())
    }

    fn reset(&mut self, packet: &Packet) {
        if let Some(reset) = reply::reset(packet) {
            self.to_send.build(self.context.gateway, |out| *out = reset);
        }
    }

    fn server(&self, packet: &Packet, server: u16) -> Result<SocketAddrV4, Code> {
        let place = (Address::of(&packet.key), server);
        self.view
            .servers
            .get(&place)
            .copied()
            .ok_or(Code::FlowServerUnknown)
    }
}

fn encap_code(error: encap::Error) -> Code {
    match error {
        encap::Error::Truncated => Code::EncapTruncated,
        encap::Error::Unknown => Code::EncapUnknown,
        encap::Error::Forged => Code::RedirectForged,
        encap::Error::Hops => Code::RedirectHops,
    }
}

pub(crate) fn packet_code(error: packet::Error) -> Code {
    match error {
        packet::Error::Truncated => Code::PacketTruncated,
        packet::Error::Malformed => Code::PacketMalformed,
        packet::Error::Fragment => Code::PacketFragment,
        packet::Error::Unsupported => Code::PacketUnsupported,
        packet::Error::Looping => Code::PacketLooping,
    }
}
