use acacia_wire::{packet::parse, reply::reset};
use etherparse::{Ipv4HeaderSlice, TcpHeaderSlice};

use crate::fixture::{CLIENT, ENCAP, SERVICE, tcp, udp};

/// A caller takes a reset for a refused opening only if it acknowledges the opening's sequence
/// number (RFC 9293, 3.10.7.3); otherwise it would go on knocking until its own timeout.
#[test]
fn a_reset_acknowledges_the_opening_it_answers() {
    let opening = parse(&tcp(b"", |h| h.syn = true), ENCAP).unwrap();

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
    let answered_reset = parse(&tcp(b"", |h| h.rst = true), ENCAP).unwrap();
    let datagram = parse(&udp(53, b""), ENCAP).unwrap();

    assert_eq!(reset(&answered_reset), None);
    assert_eq!(reset(&datagram), None);
}
