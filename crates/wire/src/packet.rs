use etherparse::{Icmpv4Type, IpNumber, Ipv4HeaderSlice, TcpHeaderSlice, UdpHeaderSlice};
use thiserror::Error;

use crate::flow::{Key, Protocol};

/// Length of an IPv4 header without options, in bytes.
const MIN_IPV4_HEADER_LEN: usize = 20;
/// Length of an ICMP error's header including its unused word, in bytes.
const ICMP_HEADER_LEN: usize = 8;
/// Length of the two ports at the start of a quoted transport header, in bytes. ICMP errors quote
/// at least 8 bytes of it (RFC 792).
const QUOTED_PORTS_LEN: usize = 4;

/// What a packet means for the state of its flow.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// A TCP packet with SYN and without ACK.
    Opening {
        /// The caller's initial sequence number. It distinguishes a retransmitted SYN from a new
        /// flow on the same ports.
        isn: u32,
    },
    /// Any other TCP packet without FIN and RST.
    Middle,
    /// A TCP packet with FIN.
    Closing,
    /// A TCP packet with RST.
    Reset,
    /// A UDP datagram, which may or may not be the first of its flow.
    Datagram,
    /// An ICMP error about a packet that the service sent to the caller. The packet's key is that
    /// of the quoted flow.
    Error,
}

/// The fields of a caller's packet that a balancer uses.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Packet {
    /// The flow, with the caller as its source.
    pub key: Key,
    /// What the packet means for the flow.
    pub kind: Kind,
    /// Length of the transport payload, in bytes.
    pub payload: u16,
    /// The TCP sequence number, or 0 for other protocols.
    pub sequence: u32,
    /// The TCP acknowledgement number, or 0 if the packet carries none.
    pub acknowledgement: u32,
}

/// Why a packet can't be assigned to a flow.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum Error {
    /// The packet is shorter than its headers or its stated length.
    #[error("packet is truncated")]
    Truncated,
    /// A header is inconsistent, for example in its version, its length or its flags (SYN with
    /// FIN).
    #[error("packet is malformed")]
    Malformed,
    /// The packet is a fragment. Fragments after the first carry no ports, so they can't be sent
    /// to the server that would receive the first one.
    #[error("packet is a fragment")]
    Fragment,
    /// The packet is neither TCP, nor UDP, nor an ICMP error about one of them.
    #[error("unsupported transport protocol")]
    Unsupported,
    /// The packet is itself encapsulated. Forwarding it would encapsulate it again and could loop.
    #[error("packet is already encapsulated")]
    Looping,
}

/// Decodes `bytes` as an IPv4 packet from a caller. Bytes past the stated length are ignored,
/// because link layers pad packets.
///
/// `encapsulation_port` is the UDP port of the encapsulation: a packet to that port is rejected
/// with [`Error::Looping`].
///
/// ```
/// use acacia_wire::packet::{parse, Error};
/// assert_eq!(parse(&[0x45, 0, 0], 6080), Err(Error::Truncated));
/// ```
pub fn parse(bytes: &[u8], encapsulation_port: u16) -> Result<Packet, Error> {
    if bytes.len() < MIN_IPV4_HEADER_LEN {
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
        payload: payload_len(body.len() - tcp.slice().len()),
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
        payload: payload_len(body.len() - udp.slice().len()),
        sequence: 0,
        acknowledgement: 0,
    })
}

/// Decodes an ICMP error. It quotes a packet from the service to the caller, so source and
/// destination are swapped to get the flow's key.
///
/// The error has to reach the flow's server. At any other server, path MTU discovery would fail
/// and large responses would stall.
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
    let quoted = body.get(ICMP_HEADER_LEN..).ok_or(Error::Truncated)?;
    if quoted.len() < MIN_IPV4_HEADER_LEN {
        return Err(Error::Truncated);
    }
    let ip = Ipv4HeaderSlice::from_slice(quoted).map_err(|_| Error::Malformed)?;
    if ip.fragments_offset().value() != 0 {
        return Err(Error::Fragment);
    }
    let start = ip.slice().len();
    let ports = quoted
        .get(start..start + QUOTED_PORTS_LEN)
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

/// Converts a payload length. It fits 16 bits because the total length of an IPv4 packet does.
fn payload_len(len: usize) -> u16 {
    u16::try_from(len).unwrap_or(u16::MAX)
}
