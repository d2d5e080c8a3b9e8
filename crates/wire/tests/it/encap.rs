use acacia_wire::{
    control::Secret,
    encap::{Error, Frame, MAX_HOPS, NO_SERVER, Notified, Purpose, Redirect, decode, encode},
};
use proptest::prelude::*;

use crate::fixture::{secret, tcp};

fn redirect() -> Redirect {
    Redirect {
        purpose: Purpose::Replicate,
        hops: 2,
        sender: 5,
        server: 9,
        passed_on: true,
        notified: Notified::default().with(5),
    }
}

fn encoded(redirect: &Redirect) -> Vec<u8> {
    let mut bytes = Vec::new();
    encode(
        redirect,
        &tcp(b"x", |h| h.ack = true),
        &secret(),
        &mut bytes,
    );
    bytes
}

#[test]
fn a_packet_from_the_fabric_is_plain() {
    let bytes = tcp(b"x", |h| h.ack = true);

    assert_eq!(decode(&bytes, &secret()), Ok(Frame::Plain(&bytes)));
}

/// Anyone who can reach the traffic port can send a forged redirect. If it were accepted, it would
/// pin a caller's flow to a server of the attacker's choice.
#[test]
fn a_redirect_with_an_unknown_key_is_rejected() {
    let other = Secret::new(&[8; 32], None);
    let mut bytes = Vec::new();
    encode(&redirect(), &tcp(b"", |h| h.syn = true), &other, &mut bytes);

    assert_eq!(decode(&bytes, &secret()), Err(Error::Forged));
}

/// An attacker records a redirect and replaces its packet with one of another flow.
#[test]
fn a_redirect_is_bound_to_its_flow() {
    let mut bytes = encoded(&redirect());
    let port = acacia_wire::encap::REDIRECT_LEN + 21;
    bytes[port] ^= 1;

    assert_eq!(decode(&bytes, &secret()), Err(Error::Forged));
}

/// Two balancers with different views of the membership redirect a packet to each other. Without a
/// hop limit, the packet would loop until their views agree.
#[test]
fn a_packet_beyond_the_hop_limit_is_rejected() {
    let bytes = encoded(&Redirect {
        hops: MAX_HOPS + 1,
        ..redirect()
    });

    assert_eq!(decode(&bytes, &secret()), Err(Error::Hops));
}

proptest! {
    #[test]
    fn a_redirect_round_trips(
        hops in 0..=MAX_HOPS, sender: u16, server: u16, passed_on: bool, a: u16, b: u16, purpose in 0usize..3,
    ) {
        let purpose = [Purpose::Resolve, Purpose::Replicate, Purpose::Release][purpose];
        let redirect = Redirect { purpose, hops, sender, server, passed_on, notified: Notified::default().with(a).with(b) };
        let packet = tcp(b"payload", |h| h.ack = true);
        let bytes = encoded(&redirect);
        let packet_len = packet.len() - 6;
        let decoded = decode(&bytes, &secret());
        prop_assert!(matches!(decoded, Ok(Frame::Redirected(r, p)) if r == redirect && p.len() == packet_len));
    }

    #[test]
    fn arbitrary_bytes_never_panic(bytes in prop::collection::vec(any::<u8>(), 0..100)) {
        let _ = decode(&bytes, &secret());
    }

    #[test]
    fn modified_or_truncated_redirects_are_rejected(at in 0usize..28, bit in 0u8..8, len in 0usize..28) {
        let whole = encoded(&Redirect { server: NO_SERVER, ..redirect() });
        let mut changed = whole.clone();
        changed[at] ^= 1 << bit;
        prop_assert!(!matches!(decode(&changed, &secret()), Ok(Frame::Redirected(..))));
        prop_assert!(decode(&whole[..len], &secret()).is_err());
    }
}
