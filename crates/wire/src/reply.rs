use etherparse::PacketBuilder;

use crate::{
    flow::{Key, Protocol},
    packet::{Kind, Packet},
};

/// Hop limit of packets that a balancer sends on its own account.
const TTL: u8 = 64;

/// A reset towards the caller, as if from the service, that answers `packet`.
///
/// Nothing for a UDP flow, which has no reset, and nothing in answer to a reset (RFC 9293, 3.10.7).
///
/// ```
/// use acacia_wire::{flow::{Key, Protocol}, packet::{Kind, Packet}, reply};
/// let key = Key { client: [192, 0, 2, 1].into(), service: [198, 51, 100, 1].into(),
///                 client_port: 1, service_port: 2, protocol: Protocol::Tcp };
/// let opening = Packet { key, kind: Kind::Opening { isn: 9 }, payload: 0, sequence: 9, acknowledgement: 0 };
/// assert!(reply::reset(&opening).is_some());
/// ```
#[must_use]
pub fn reset(packet: &Packet) -> Option<Vec<u8>> {
    if packet.key.protocol != Protocol::Tcp || packet.kind == Kind::Reset {
        return None;
    }
    let Key {
        client,
        service,
        client_port,
        service_port,
        ..
    } = packet.key;
    let consumed = u32::from(packet.payload)
        + u32::from(matches!(packet.kind, Kind::Opening { .. } | Kind::Closing));
    let acknowledged = packet.sequence.wrapping_add(consumed);
    let builder = PacketBuilder::ipv4(service.octets(), client.octets(), TTL)
        .tcp(service_port, client_port, packet.acknowledgement, 0)
        .rst()
        .ack(acknowledged);
    let mut bytes = Vec::with_capacity(builder.size(0));
    builder
        .write(&mut bytes, &[])
        .expect("writing to memory can't fail");
    Some(bytes)
}

/// A reset towards the backend server, as if from the caller, that ends the flow of `packet`.
///
/// It takes the packet's own sequence number, the next that the server expects of a caller that
/// resends without progress.
#[must_use]
pub fn reset_server(packet: &Packet) -> Option<Vec<u8>> {
    if packet.key.protocol != Protocol::Tcp {
        return None;
    }
    let Key {
        client,
        service,
        client_port,
        service_port,
        ..
    } = packet.key;
    let builder = PacketBuilder::ipv4(client.octets(), service.octets(), TTL)
        .tcp(client_port, service_port, packet.sequence, 0)
        .rst()
        .ack(packet.acknowledgement);
    Some(written(builder))
}

fn written(builder: etherparse::PacketBuilderStep<etherparse::TcpHeader>) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(builder.size(0));
    builder
        .write(&mut bytes, &[])
        .expect("writing to memory can't fail");
    bytes
}
