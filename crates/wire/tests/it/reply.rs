use acacia_wire::{
    packet::parse,
    reply::{icmp_refusal, parse_icmp_refusal, reset, reset_server},
};
use etherparse::{Ipv4HeaderSlice, TcpHeaderSlice};
use proptest::prelude::*;

use crate::fixture::{CLIENT, ENCAP_PORT, SERVICE, tcp, udp};

/// A caller accepts a reset in response to its SYN only if the reset acknowledges the SYN's sequence
/// number (RFC 9293, 3.10.7.3). Otherwise it would retransmit the SYN until its own timeout.
#[test]
fn a_reset_acknowledges_the_opening_it_answers() {
    let opening = parse(&tcp(b"", |h| h.syn = true), ENCAP_PORT).unwrap();

    let bytes = reset(&opening).unwrap();

    let ip = Ipv4HeaderSlice::from_slice(&bytes).unwrap();
    assert_eq!((ip.source(), ip.destination()), (SERVICE, CLIENT));
    let tcp = TcpHeaderSlice::from_slice(&bytes[20..]).unwrap();
    assert!(tcp.rst() && tcp.ack());
    assert_eq!(tcp.acknowledgment_number(), 1001);
    assert_eq!((tcp.source_port(), tcp.destination_port()), (443, 40_000));
}

#[test]
fn resets_and_datagrams_are_not_answered() {
    let answered_reset = parse(&tcp(b"", |h| h.rst = true), ENCAP_PORT).unwrap();
    let datagram = parse(&udp(53, b""), ENCAP_PORT).unwrap();

    assert_eq!(reset(&answered_reset), None);
    assert_eq!(reset(&datagram), None);
}

/// An overloaded service refuses a caller. Without a retry time, all refused callers would retry
/// immediately and keep the service overloaded.
#[test]
fn a_refusal_contains_the_retry_time_and_quotes_the_opening() {
    let opening = tcp(b"", |h| h.syn = true);
    let packet = parse(&opening, ENCAP_PORT).unwrap();

    let bytes = icmp_refusal(&packet.key, &opening, 2_500);

    assert_eq!(parse_icmp_refusal(&bytes), Some(2_500));
    let ip = Ipv4HeaderSlice::from_slice(&bytes).unwrap();
    assert_eq!((ip.source(), ip.destination()), (SERVICE, CLIENT));
    assert_eq!(&bytes[28..28 + opening.len()], &opening[..]);
    assert!(etherparse::Icmpv4Slice::from_slice(&bytes[20..]).is_ok());
}

#[test]
fn a_server_reset_appears_to_come_from_the_caller() {
    let packet = parse(&tcp(b"again", |h| h.ack = true), ENCAP_PORT).unwrap();

    let bytes = reset_server(&packet).unwrap();

    let reset = parse(&bytes, ENCAP_PORT).unwrap();
    assert_eq!(
        (reset.key, reset.kind),
        (packet.key, acacia_wire::packet::Kind::Reset)
    );
    assert_eq!(reset.sequence, packet.sequence);
}

proptest! {
    #[test]
    fn arbitrary_bytes_are_no_refusal_and_never_panic(
        bytes in prop::collection::vec(any::<u8>(), 0..220),
    ) {
        prop_assert_eq!(parse_icmp_refusal(&bytes), None);
    }
}
