use etherparse::{Icmpv4Type, IpNumber, Ipv4HeaderSlice, TcpHeaderSlice, UdpHeaderSlice};
use thiserror::Error;

use crate::flow::{Key, Protocol};

/// Length of the smallest IPv4 header, in bytes.
const IPV4_HEADER: usize = 20;
/// Length of an ICMP header with its unused word, in bytes.
const ICMP_HEADER: usize = 8;
/// How much of a quoted transport header an ICMP error must carry (RFC 792), in bytes.
const QUOTED_PORTS: usize = 4;

/// What a packet means for the life of its flow.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// A TCP packet with SYN and without ACK. `isn` is its initial sequence number, by which a
    /// repeated opening is told from a new one on the same ports.
    Opening {
        /// The caller's initial sequence number.
        isn: u32,
    },
    /// A TCP packet in the middle of a flow.
    Middle,
    /// A TCP packet with FIN.
    Closing,
    /// A TCP packet with RST.
    Reset,
    /// A UDP datagram: possibly the first, possibly not.
    Datagram,
    /// An ICMP error about a packet that the service sent to the caller. The key is that of the
    /// flow it quotes.
    Error,
}

/// What a balancer needs to know of a caller's packet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Packet {
    /// The flow, with the caller as its source.
    pub key: Key,
    /// What the packet means for the flow.
    pub kind: Kind,
    /// Bytes of transport payload.
    pub payload: u16,
    /// TCP sequence number, 0 for other transports.
    pub sequence: u32,
    /// TCP acknowledgement number, 0 where the packet carries none.
    pub acknowledgement: u32,
}

/// Why a packet could not be assigned to a flow.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum Error {
    /// The bytes end before the headers or the stated length do.
    #[error("packet is truncated")]
    Truncated,
    /// A header contradicts itself (version, length, reserved values, SYN with FIN).
    #[error("packet is malformed")]
    Malformed,
    /// A fragment other than the first carries no ports, and a first one would reach a server
    /// that its successors can't follow it to.
    #[error("packet is a fragment")]
    Fragment,
    /// Neither TCP, nor UDP, nor an ICMP error about one of them.
    #[error("transport protocol is not carried")]
    Unsupported,
    /// The packet is this system's own encapsulation wrapped again: forwarding it would loop.
    #[error("packet contains the encapsulation itself")]
    Looping,
}

/// Decodes `bytes`, an IPv4 packet from a caller. Bytes past the stated length are ignored, as
/// link layers pad.
///
/// `encapsulation_port` is the UDP port of the encapsulation: a packet addressed to it is refused
/// as [`Error::Looping`].
///
/// ```
/// use acacia_wire::packet::{parse, Error};
/// assert_eq!(parse(&[0x45, 0, 0], 6080), Err(Error::Truncated));
/// ```
pub fn parse(bytes: &[u8], encapsulation_port: u16) -> Result<Packet, Error> {
    if bytes.len() < IPV4_HEADER {
        return Err(Error::Truncated);
    }
    let ip = Ipv4HeaderSlice::from_slice(bytes).map_err(|_| Error::Malformed)?;
    let header = ip.slice().len();
    let total = usize::from(ip.total_len());
    if total < header {
        return Err(Error::Malformed);
    }
    let body = bytes.get(header..total).ok_or(Error::Truncated)?;
    if ip.is_fragmenting_payload() {
        return Err(Error::Fragment);
    }
    match ip.protocol() {
        IpNumber::TCP => tcp(&ip, body),
        IpNumber::UDP => udp(&ip, body, encapsulation_port),
        IpNumber::ICMP => icmp(body),
        IpNumber::IPV4 | IpNumber::GRE | IpNumber::IPV6 => Err(Error::Looping),
        _ => Err(Error::Unsupported),
    }
}

fn key(ip: &Ipv4HeaderSlice<'_>, protocol: Protocol, client_port: u16, service_port: u16) -> Key {
    Key {
        client: ip.source_addr(),
        service: ip.destination_addr(),
        client_port,
        service_port,
        protocol,
    }
}

fn tcp(ip: &Ipv4HeaderSlice<'_>, body: &[u8]) -> Result<Packet, Error> {
    let tcp = TcpHeaderSlice::from_slice(body).map_err(|error| match error {
        etherparse::err::tcp::HeaderSliceError::Len(_) => Error::Truncated,
        etherparse::err::tcp::HeaderSliceError::Content(_) => Error::Malformed,
    })?;
    let kind = match (tcp.syn(), tcp.ack(), tcp.fin(), tcp.rst()) {
        (true, _, true, _) | (true, _, _, true) => return Err(Error::Malformed),
        (true, false, ..) => Kind::Opening {
            isn: tcp.sequence_number(),
        },
        (_, _, _, true) => Kind::Reset,
        (_, _, true, _) => Kind::Closing,
        _ => Kind::Middle,
    };
    Ok(Packet {
        key: key(ip, Protocol::Tcp, tcp.source_port(), tcp.destination_port()),
        kind,
        payload: payload(body.len() - tcp.slice().len()),
        sequence: tcp.sequence_number(),
        acknowledgement: if tcp.ack() {
            tcp.acknowledgment_number()
        } else {
            0
        },
    })
}

fn udp(ip: &Ipv4HeaderSlice<'_>, body: &[u8], encapsulation_port: u16) -> Result<Packet, Error> {
    let udp = UdpHeaderSlice::from_slice(body).map_err(|_| Error::Truncated)?;
    if udp.destination_port() == encapsulation_port {
        return Err(Error::Looping);
    }
    Ok(Packet {
        key: key(ip, Protocol::Udp, udp.source_port(), udp.destination_port()),
        kind: Kind::Datagram,
        payload: payload(body.len() - udp.slice().len()),
        sequence: 0,
        acknowledgement: 0,
    })
}

/// An ICMP error quotes the packet that caused it, which went from service to caller: its source
/// and destination are swapped to give the flow as the caller's packets show it. Sent anywhere
/// but to that flow's server, path MTU discovery would fail and large answers would stall.
fn icmp(body: &[u8]) -> Result<Packet, Error> {
    let icmp = etherparse::Icmpv4Slice::from_slice(body).map_err(|_| Error::Truncated)?;
    if !matches!(
        icmp.icmp_type(),
        Icmpv4Type::DestinationUnreachable(_)
            | Icmpv4Type::TimeExceeded(_)
            | Icmpv4Type::ParameterProblem(_)
    ) {
        return Err(Error::Unsupported);
    }
    let quoted = body.get(ICMP_HEADER..).ok_or(Error::Truncated)?;
    if quoted.len() < IPV4_HEADER {
        return Err(Error::Truncated);
    }
    let ip = Ipv4HeaderSlice::from_slice(quoted).map_err(|_| Error::Malformed)?;
    if ip.fragments_offset().value() != 0 {
        return Err(Error::Fragment);
    }
    let start = ip.slice().len();
    let ports = quoted
        .get(start..start + QUOTED_PORTS)
        .ok_or(Error::Truncated)?;
    let protocol = match ip.protocol() {
        IpNumber::TCP => Protocol::Tcp,
        IpNumber::UDP => Protocol::Udp,
        _ => return Err(Error::Unsupported),
    };
    Ok(Packet {
        key: Key {
            client: ip.destination_addr(),
            service: ip.source_addr(),
            client_port: u16::from_be_bytes([ports[2], ports[3]]),
            service_port: u16::from_be_bytes([ports[0], ports[1]]),
            protocol,
        },
        kind: Kind::Error,
        payload: 0,
        sequence: 0,
        acknowledgement: 0,
    })
}

/// A payload fits 16 bits because an IPv4 total length does.
fn payload(len: usize) -> u16 {
    u16::try_from(len).unwrap_or(u16::MAX)
}
