//! The loop of one traffic thread.

use std::{
    net::{SocketAddrV4, UdpSocket},
    sync::atomic::{AtomicBool, Ordering},
};

use acacia_wire::{
    control::Secret,
    encap::{self, Frame},
    packet,
};

use super::batch::{Received, ToSend};
use crate::control::Published;

/// A service as the thin path knows it: an address and its backend servers.
#[derive(Debug, Clone)]
pub struct Service {
    /// Address and port that callers use.
    pub address: SocketAddrV4,
    /// Where each backend server takes encapsulated packets.
    pub servers: Vec<SocketAddrV4>,
}

/// Forwards packets until `stop` is raised.
pub fn run(
    socket: &UdpSocket,
    published: &Published,
    secret: &Secret,
    stop: &AtomicBool,
) -> std::io::Result<()> {
    let mut received = Received::default();
    let mut to_send = ToSend::default();
    while !stop.load(Ordering::Relaxed) {
        received.fill(socket)?;
        let services = published.load();
        for index in 0..received.len() {
            let datagram = received.get(index);
            let Ok(Frame::Plain(bytes)) = encap::decode(datagram, secret) else {
                continue;
            };
            let Ok(packet) = packet::parse(bytes, encap::PORT) else {
                continue;
            };
            let address = SocketAddrV4::new(packet.key.service, packet.key.service_port);
            let Some(service) = services.iter().find(|s| s.address == address) else {
                continue;
            };
            let Some(server) = choose(packet.key.hash(), &service.servers) else {
                continue;
            };
            to_send.forward(server, index, 0..datagram.len());
        }
        to_send.flush(socket, &received);
    }
    Ok(())
}

/// Rendezvous hashing: the server with the highest mix of its address and the flow.
fn choose(flow: u64, servers: &[SocketAddrV4]) -> Option<SocketAddrV4> {
    let rank = |server: &SocketAddrV4| {
        let address = u64::from(server.ip().to_bits()) << 16 | u64::from(server.port());
        acacia_wire::flow::mix(flow ^ acacia_wire::flow::mix(address))
    };
    servers.iter().copied().max_by_key(rank)
}
