//! The receive and send loop of a traffic thread.

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
    load::{Counts, Placer},
    view::{Published, View},
};

/// What a traffic thread shares with the rest of the process.
#[derive(Debug, Clone)]
pub struct Context {
    /// The latest view, published by the control thread.
    pub published: Published,
    /// Pins and caches, spread over shards.
    pub shards: Arc<Shards>,
    /// Event counters.
    pub counter: Arc<Counter>,
    /// Notices for peers, which the control thread sends.
    pub notices: Sender<(u16, Notice)>,
    /// Load counts for the control thread.
    pub counts: Sender<Counts>,
    /// Seed of this thread's random choices.
    pub seed: u64,
    /// Keys that authenticate redirected packets.
    pub secret: Secret,
    /// Address of the gateway, which packets for callers are sent to.
    pub gateway: SocketAddrV4,
}

/// Resolves and forwards packets until `stop` is set.
pub fn run(socket: &UdpSocket, context: &Context, stop: &AtomicBool) -> std::io::Result<()> {
    let mut placer = Placer::new(context.seed);
    process_batches(socket, &context.counter, stop, |received, to_send| {
        // Loaded once per batch: a view stays valid far longer than a batch takes.
        let view = context.published.load();
        let Some(view) = view.as_deref() else {
            return;
        };
        let now = clock::now();
        for index in 0..received.len() {
            let mut handler = Handler {
                context,
                view,
                now,
                index,
                to_send,
                placer: &mut placer,
            };
            if let Err(code) = handler.handle(received.get(index)) {
                context.counter.code(code);
            }
        }
        for counts in placer.drain(now) {
            // If the queue is full, half a second of counts is lost and estimates continue with the
            // next ones.
            if context.counts.try_send(counts).is_err() {
                context.counter.kind(Kind::Untold, 1);
            }
        }
    })
}

/// Receives batches of datagrams until `stop` is set, and sends the datagrams that `handle` adds
/// for each. `handle` runs at least once per read timeout of the socket, with an empty batch if no
/// datagram arrived.
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

/// The handling of one received datagram.
struct Handler<'a> {
    context: &'a Context,
    view: &'a View,
    now: Duration,
    index: usize,
    to_send: &'a mut ToSend,
    placer: &'a mut Placer,
}

impl Handler<'_> {
    /// Decodes the datagram, resolves its flow and carries out the verdict. The error is the code
    /// under which the datagram is dropped.
    fn handle(&mut self, datagram: &[u8]) -> Result<(), Code> {
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

    /// Acts on the verdict for a packet. `bytes` is the caller's packet, which starts at offset
    /// `skip` in the datagram.
    fn carry_out(
        &mut self,
        verdict: Verdict,
        packet: &Packet,
        skip: usize,
        bytes: &[u8],
    ) -> Result<(), Code> {
        if let Some(notice) = verdict.notice {
            // If the queue is full, the notice is lost. That costs a redirect or a repeated notice,
            // but breaks no flow.
            if self.context.notices.try_send(notice).is_err() {
                self.context.counter.kind(Kind::Untold, 1);
            }
        }
        let counter = &self.context.counter;
        match verdict.action {
            Action::Forward { server } => {
                let to = self.server_address(packet, server)?;
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
                // The packet with the retry time is sent first, because the reset closes the
                // caller's socket.
                let retry = reply::icmp_refusal(&packet.key, bytes, retry_after);
                self.to_send.build(self.context.gateway, |out| *out = retry);
                self.reset_caller(packet);
            }
            Action::End { server } => {
                counter.kind(Kind::Ended, 1);
                self.reset_caller(packet);
                let to = self.server_address(packet, server)?;
                if let Some(reset) = reply::reset_server(packet) {
                    self.to_send.build(to, |out| *out = reset);
                }
            }
            Action::Drop { code } => return Err(code),
        }
        Ok(())
    }

    fn reset_caller(&mut self, packet: &Packet) {
        if let Some(reset) = reply::reset(packet) {
            self.to_send.build(self.context.gateway, |out| *out = reset);
        }
    }

    fn server_address(&self, packet: &Packet, server: u16) -> Result<SocketAddrV4, Code> {
        let key = (Address::of(&packet.key), server);
        self.view
            .servers
            .get(&key)
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
