use etherparse::PacketBuilder;

use crate::{
    flow::{Key, Protocol},
    packet::{Kind, Packet},
};

/// Time to live of packets that a balancer generates.
const TTL: u8 = 64;

/// Builds the TCP reset from the service to the caller that responds to `packet`.
///
/// Returns `None` for a UDP flow, which has no reset, and for a reset, which must not be answered
/// by another (RFC 9293, 3.10.7).
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

/// Builds the TCP reset from the caller to the backend server that ends the flow of `packet`.
/// Returns `None` for a UDP flow.
///
/// The reset has the sequence number of `packet`, which is the next one that the server expects
/// from a caller that retransmits without progress.
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
    Some(serialize(builder))
}

fn serialize(builder: etherparse::PacketBuilderStep<etherparse::TcpHeader>) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(builder.size(0));
    builder
        .write(&mut bytes, &[])
        .expect("writing to memory can't fail");
    bytes
}

/// ICMP type "destination unreachable" (RFC 792).
const TYPE_UNREACHABLE: u8 = 3;
/// ICMP code "communication administratively prohibited" (RFC 1812).
const CODE_PROHIBITED: u8 = 13;
/// Length of the quoted packet before an extension, in bytes. Shorter packets are padded with
/// zeroes (RFC 4884, 5.4).
const QUOTED_LEN: usize = 128;
/// Class of the extension object with the retry time, from the range for private use.
const RETRY_CLASS: u8 = 247;
/// Type of the extension object within its class: milliseconds until the caller may retry.
const RETRY_TYPE: u8 = 1;
/// Length of the extension object, in bytes: its header and a 32-bit number.
const RETRY_OBJECT_LEN: u16 = 8;

/// Builds the ICMP error that tells the caller that its packet was refused by policy. An extension
/// object (RFC 4884) holds the number of milliseconds after which the caller may retry.
///
/// A TCP reset alone tells the caller that its request did not run, but not when to retry, and
/// callers that retry immediately keep an overloaded service overloaded. Callers that don't know
/// the extension object still see from the ICMP code that the refusal is deliberate.
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
    let mut payload = packet[..packet.len().min(QUOTED_LEN)].to_vec();
    payload.resize(QUOTED_LEN, 0);
    payload.extend(extension(millis));
    let words = (QUOTED_LEN / 4) as u8;
    let builder = PacketBuilder::ipv4(key.service.octets(), key.client.octets(), TTL).icmpv4_raw(
        TYPE_UNREACHABLE,
        CODE_PROHIBITED,
        [0, words, 0, 0],
    );
    let mut bytes = Vec::with_capacity(builder.size(payload.len()));
    builder
        .write(&mut bytes, &payload)
        .expect("writing to memory can't fail");
    bytes
}

/// Returns the retry time in milliseconds from a packet built by [`icmp_refusal`], or `None` if
/// `bytes` is any other packet.
#[must_use]
pub fn parse_icmp_refusal(bytes: &[u8]) -> Option<u32> {
    const HEADERS_LEN: usize = 20 + 8;
    let kind = bytes.get(20..22)?;
    let extension = bytes.get(HEADERS_LEN + QUOTED_LEN..)?;
    let object = extension.get(4..12)?;
    let expected = [0, RETRY_OBJECT_LEN as u8, RETRY_CLASS, RETRY_TYPE];
    let millis: [u8; 4] = object[4..8].try_into().ok()?;
    let is_refusal = kind == [TYPE_UNREACHABLE, CODE_PROHIBITED] && object[..4] == expected;
    (is_refusal && checksum_sum(extension) == u16::MAX).then_some(u32::from_be_bytes(millis))
}

/// Encodes the extension structure: version 2, checksum and one object.
fn extension(millis: u32) -> Vec<u8> {
    const VERSION: u8 = 2 << 4;
    let mut bytes = vec![VERSION, 0, 0, 0];
    bytes.extend(RETRY_OBJECT_LEN.to_be_bytes());
    bytes.extend([RETRY_CLASS, RETRY_TYPE]);
    bytes.extend(millis.to_be_bytes());
    let checksum = !checksum_sum(&bytes);
    bytes[2..4].copy_from_slice(&checksum.to_be_bytes());
    bytes
}

/// Returns the ones' complement sum of the Internet checksum (RFC 1071) over an even number of
/// bytes.
fn checksum_sum(bytes: &[u8]) -> u16 {
    let words = bytes
        .chunks_exact(2)
        .map(|pair| u32::from(u16::from_be_bytes([pair[0], pair[1]])));
    let total: u32 = words.sum();
    let folded = (total & 0xffff) + (total >> 16);
    ((folded & 0xffff) + (folded >> 16)) as u16
}
