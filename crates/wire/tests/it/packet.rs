use acacia_wire::{
    flow::Protocol,
    packet::{Error, Kind, parse},
};
use proptest::prelude::*;
use rstest::rstest;

use crate::fixture::{CLIENT, ENCAP_PORT, SERVICE, icmp_error, tcp, udp};

#[rstest]
#[case::opening(tcp(b"", |h| h.syn = true), Kind::Opening { isn: 1000 })]
#[case::middle(tcp(b"data", |h| h.ack = true), Kind::Middle)]
#[case::syn_ack_is_no_opening(tcp(b"", |h| { h.syn = true; h.ack = true }), Kind::Middle)]
#[case::closing(tcp(b"", |h| { h.fin = true; h.ack = true }), Kind::Closing)]
#[case::reset(tcp(b"", |h| h.rst = true), Kind::Reset)]
#[case::datagram(udp(53, b"query"), Kind::Datagram)]
fn packets_are_classified_by_kind(#[case] bytes: Vec<u8>, #[case] kind: Kind) {
    let packet = parse(&bytes, ENCAP_PORT).unwrap();

    assert_eq!(packet.kind, kind);
    assert_eq!(packet.key.client.octets(), CLIENT);
    assert_eq!(packet.key.service.octets(), SERVICE);
}

/// A router between a backend server and a caller reports a packet that is too large. It sends the
/// ICMP error to the service's address, with its own address as the source. If the error reached
/// another server than the flow's, the flow's server would keep sending packets that are too large
/// and the caller's download would stall.
#[test]
fn an_icmp_error_belongs_to_the_flow_it_quotes() {
    let flow = parse(&tcp(b"", |h| h.ack = true), ENCAP_PORT).unwrap().key;

    let packet = parse(&icmp_error(), ENCAP_PORT).unwrap();

    assert_eq!(packet.kind, Kind::Error);
    assert_eq!(packet.key, flow);
    assert_eq!(packet.key.protocol, Protocol::Tcp);
}

/// Fragments after the first carry no ports. Hashing them without ports would send fragments of one
/// datagram to different servers, none of which could reassemble it.
#[test]
fn fragments_are_rejected() {
    let mut first = udp(53, &[0; 64]);
    first[6] |= 0x20;
    let mut later = udp(53, &[0; 64]);
    later[7] = 8;

    assert_eq!(parse(&first, ENCAP_PORT), Err(Error::Fragment));
    assert_eq!(parse(&later, ENCAP_PORT), Err(Error::Fragment));
}

/// A misconfigured route leads encapsulated packets back to the balancers. Each pass would
/// encapsulate them once more, and the loop would saturate the network.
#[test]
fn an_encapsulated_packet_is_rejected() {
    let bytes = udp(ENCAP_PORT, &tcp(b"", |h| h.syn = true));

    assert_eq!(parse(&bytes, ENCAP_PORT), Err(Error::Looping));
}

#[test]
fn contradictory_flags_are_rejected() {
    let bytes = tcp(b"", |h| {
        h.syn = true;
        h.fin = true;
    });

    assert_eq!(parse(&bytes, ENCAP_PORT), Err(Error::Malformed));
}

#[test]
fn padding_is_not_payload() {
    let mut bytes = tcp(b"abc", |h| h.ack = true);
    bytes.extend([0; 9]);

    assert_eq!(parse(&bytes, ENCAP_PORT).unwrap().payload, 3);
}

#[test]
fn truncated_packets_are_rejected() {
    for whole in [tcp(b"abc", |h| h.ack = true), udp(53, b"abc"), icmp_error()] {
        for len in 0..whole.len() {
            assert!(
                parse(&whole[..len], ENCAP_PORT).is_err(),
                "cut to {len} bytes"
            );
        }
    }
}

proptest! {
    /// A panic of the decoder would end a traffic thread and with it the balancer.
    #[test]
    fn arbitrary_bytes_never_panic(bytes in prop::collection::vec(any::<u8>(), 0..200)) {
        let _ = parse(&bytes, ENCAP_PORT);
    }

    /// Almost valid packets pass the first checks and reach the later ones.
    #[test]
    fn a_valid_packet_with_changed_bytes_never_panics(
        which in 0usize..3,
        changes in prop::collection::vec((0usize..60, any::<u8>()), 0..6),
        len in 0usize..80,
    ) {
        let mut bytes = match which {
            0 => tcp(b"payload", |h| h.ack = true),
            1 => udp(53, b"payload"),
            _ => icmp_error(),
        };
        for (at, value) in changes {
            let at = at % bytes.len();
            bytes[at] = value;
        }
        bytes.truncate(len);
        let _ = parse(&bytes, ENCAP_PORT);
    }
}
