use acacia_wire::control::{Envelope, Error, MAX_FRAME, Secret, open, seal};
use proptest::prelude::*;

use crate::fixture::secret;

const ENVELOPE: Envelope = Envelope {
    sender: 1,
    incarnation: 2,
    sequence: 3,
};

/// While operators rotate the key, some balancers already sign with the new key and others still
/// with the old one. If either key were rejected, balancers would declare each other dead.
#[test]
fn both_keys_are_valid_during_a_key_rotation() {
    let (old, new) = ([1; 32], [2; 32]);
    let before = Secret::new(&old, Some(&new));
    let after = Secret::new(&new, Some(&old));

    let by_old = seal(&ENVELOPE, &7u32, &before);
    let by_new = seal(&ENVELOPE, &7u32, &after);

    assert_eq!(open(&by_old, &after), Ok((ENVELOPE, 7u32)));
    assert_eq!(open(&by_new, &before), Ok((ENVELOPE, 7u32)));
}

#[test]
fn a_frame_with_an_unknown_key_is_rejected() {
    let frame = seal(&ENVELOPE, &7u32, &Secret::new(&[9; 32], None));

    assert_eq!(open::<u32>(&frame, &secret()), Err(Error::Forged));
}

#[test]
fn an_oversized_frame_is_rejected() {
    let frame = vec![0; MAX_FRAME + 1];

    assert_eq!(open::<u32>(&frame, &secret()), Err(Error::Oversized));
}

#[test]
fn an_undecodable_message_is_distinguished_from_a_forged_frame() {
    let frame = seal(&ENVELOPE, &(), &secret());

    assert_eq!(open::<String>(&frame, &secret()), Err(Error::Undecodable));
}

#[test]
fn keys_stay_out_of_debug_output() {
    assert_eq!(format!("{:?}", Secret::new(&[77; 32], None)), "Secret(..)");
}

proptest! {
    #[test]
    fn arbitrary_bytes_never_panic(bytes in prop::collection::vec(any::<u8>(), 0..200)) {
        prop_assert!(open::<Vec<u64>>(&bytes, &secret()).is_err());
    }

    #[test]
    fn a_modified_frame_is_rejected(text: String, at: prop::sample::Index, bit in 0u8..8) {
        let mut frame = seal(&ENVELOPE, &text, &secret());
        let at = at.index(frame.len());
        frame[at] ^= 1 << bit;
        prop_assert_eq!(open::<String>(&frame, &secret()), Err(Error::Forged));
    }
}
