use acacia_wire::control::Secret;
use etherparse::PacketBuilder;

pub const CLIENT: [u8; 4] = [192, 0, 2, 7];
pub const SERVICE: [u8; 4] = [198, 51, 100, 1];
pub const ENCAP_PORT: u16 = 6080;

pub fn secret() -> Secret {
    Secret::new(&[7; 32], None)
}

pub fn tcp(payload: &[u8], build: impl Fn(&mut etherparse::TcpHeader)) -> Vec<u8> {
    let mut header = etherparse::TcpHeader::new(40_000, 443, 1000, 4096);
    build(&mut header);
    let builder = PacketBuilder::ipv4(CLIENT, SERVICE, 64).tcp_header(header);
    let mut bytes = Vec::new();
    builder.write(&mut bytes, payload).unwrap();
    bytes
}

pub fn udp(port: u16, payload: &[u8]) -> Vec<u8> {
    let mut bytes = Vec::new();
    PacketBuilder::ipv4(CLIENT, SERVICE, 64)
        .udp(40_000, port)
        .write(&mut bytes, payload)
        .unwrap();
    bytes
}

/// The "fragmentation needed" error of a router about a packet from the service to the caller.
pub fn icmp_error() -> Vec<u8> {
    let mut quoted = Vec::new();
    PacketBuilder::ipv4(SERVICE, CLIENT, 64)
        .tcp(443, 40_000, 5, 100)
        .write(&mut quoted, b"")
        .unwrap();
    let mut bytes = Vec::new();
    PacketBuilder::ipv4([203, 0, 113, 9], SERVICE, 64)
        .icmpv4(etherparse::Icmpv4Type::DestinationUnreachable(
            etherparse::icmpv4::DestUnreachableHeader::FragmentationNeeded { next_hop_mtu: 1200 },
        ))
        .write(&mut bytes, &quoted[..28])
        .unwrap();
    bytes
}
