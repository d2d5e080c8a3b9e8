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

/// ICMP type "destination unreachable" (RFC 792).
const UNREACHABLE: u8 = 3;
/// ICMP code "communication administratively prohibited" (RFC 1812).
const PROHIBITED: u8 = 13;
/// Bytes of the quoted packet before an extension, padded with zeroes (RFC 4884, 5.4).
const QUOTED: usize = 128;
/// Class of the extension object, from the part of the range that is for private use.
const RETRY_CLASS: u8 = 247;
/// Type of the object within its class: milliseconds until the caller may come back.
const RETRY_TYPE: u8 = 1;
/// Length of the object: its header and a number of 32 bits.
const RETRY_LENGTH: u16 = 8;

/// An ICMP error towards the caller that says its packet was refused by policy, and in an
/// extension object (RFC 4884) after how many milliseconds it may come back.
///
/// A reset alone tells the caller that its work did not run, but not when to ask again; callers
/// that retry at once keep a full service full. Those that don't know the object still learn from
/// the code that the refusal is deliberate.
///
/// ```
/// use acacia_wire::{flow::{Key, Protocol}, reply};
/// let key = Key { client: [192, 0, 2, 1].into(), service: [198, 51, 100, 1].into(),
///                 client_port: 1, service_port: 2, protocol: Protocol::Tcp };
/// let bytes = reply::icmp_refusal(&key, &[0x45; 40], 1500);
/// assert_eq!(reply::parse_icmp_refusal(&bytes), Some(1500));
/// ```
#[must_use]
pub fn icmp_refusal(key: &Key, packet: &[u8], millis: u32) -> Vec<u8> {
    let mut payload = packet[..packet.len().min(QUOTED)].to_vec();
    payload.resize(QUOTED, 0);
    payload.extend(extension(millis));
    let words = (QUOTED / 4) as u8;
    let builder = PacketBuilder::ipv4(key.service.octets(), key.client.octets(), TTL).icmpv4_raw(
        UNREACHABLE,
        PROHIBITED,
        [0, words, 0, 0],
    );
    let mut bytes = Vec::with_capacity(builder.size(payload.len()));
    builder
        .write(&mut bytes, &payload)
        .expect("writing to memory can't fail");
    bytes
}

/// Reads the milliseconds of [`icmp_refusal`] from an IP packet; none if it is another packet.
#[must_use]
pub fn parse_icmp_refusal(bytes: &[u8]) -> Option<u32> {
    const HEADERS: usize = 20 + 8;
    let kind = bytes.get(20..22)?;
    let extension = bytes.get(HEADERS + QUOTED..)?;
    let object = extension.get(4..12)?;
    let expected = [0, RETRY_LENGTH as u8, RETRY_CLASS, RETRY_TYPE];
    let millis: [u8; 4] = object[4..8].try_into().ok()?;
    let is_ours = kind == [UNREACHABLE, PROHIBITED] && object[..4] == expected;
    (is_ours && sum(extension) == u16::MAX).then_some(u32::from_be_bytes(millis))
}

/// The extension structure: version 2, checksum, one object.
fn extension(millis: u32) -> Vec<u8> {
    const VERSION: u8 = 2 << 4;
    let mut bytes = vec![VERSION, 0, 0, 0];
    bytes.extend(RETRY_LENGTH.to_be_bytes());
    bytes.extend([RETRY_CLASS, RETRY_TYPE]);
    bytes.extend(millis.to_be_bytes());
    let checksum = !sum(&bytes);
    bytes[2..4].copy_from_slice(&checksum.to_be_bytes());
    bytes
}

/// The Internet checksum's sum (RFC 1071) of an even number of bytes.
fn sum(bytes: &[u8]) -> u16 {
    let words = bytes
        .chunks_exact(2)
        .map(|pair| u32::from(u16::from_be_bytes([pair[0], pair[1]])));
    let total: u32 = words.sum();
    let folded = (total & 0xffff) + (total >> 16);
    ((folded & 0xffff) + (folded >> 16)) as u16
}
