use serde::{Serialize, de::DeserializeOwned};
use subtle::ConstantTimeEq;
use thiserror::Error;

/// Length of a control frame's authenticator, in bytes.
const TAG: usize = 16;
/// Length of the fixed part of a frame: sender, incarnation, sequence number.
const HEADER: usize = 2 + 8 + 8;
/// Largest accepted frame, in bytes: a whole configuration (a megabyte) and its envelope.
pub const MAX_FRAME: usize = 1_100_000;

/// The keys that authenticate traffic between balancers: one to sign with, and during a change of
/// key the previous one, still accepted.
#[derive(Clone)]
pub struct Secret {
    current: [u8; 32],
    previous: Option<[u8; 32]>,
}

impl std::fmt::Debug for Secret {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("Secret(..)")
    }
}

impl Secret {
    /// Takes the key in force and, during a change of key, the other one that stays valid.
    ///
    /// ```
    /// use acacia_wire::control::Secret;
    /// let new = Secret::new(&[2; 32], Some(&[1; 32]));
    /// let old = Secret::new(&[1; 32], None);
    /// assert!(new.verify(&[b"x"], &old.tag(&[b"x"])));
    /// ```
    #[must_use]
    pub fn new(current: &[u8; 32], previous: Option<&[u8; 32]>) -> Self {
        Secret {
            current: *current,
            previous: previous.copied(),
        }
    }

    /// The authenticator of the concatenation of `parts` under the key in force.
    #[must_use]
    pub fn tag(&self, parts: &[&[u8]]) -> [u8; 32] {
        keyed(&self.current, parts)
    }

    /// Whether `tag`, possibly truncated, authenticates `parts` under either key. An empty tag
    /// never does.
    #[must_use]
    pub fn verify(&self, parts: &[&[u8]], tag: &[u8]) -> bool {
        let matches = |key: &[u8; 32]| {
            keyed(key, parts)
                .get(..tag.len())
                .is_some_and(|full| bool::from(full.ct_eq(tag)))
        };
        !tag.is_empty() && (matches(&self.current) || self.previous.as_ref().is_some_and(matches))
    }
}

fn keyed(key: &[u8; 32], parts: &[&[u8]]) -> [u8; 32] {
    let mut hasher = blake3::Hasher::new_keyed(key);
    for part in parts {
        hasher.update(part);
    }
    *hasher.finalize().as_bytes()
}

/// Who sent a frame, and where it stands in the sender's order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Envelope {
    /// The sending balancer.
    pub sender: u16,
    /// The sender's incarnation: rises with every start of its process.
    pub incarnation: u64,
    /// Rises with every frame of one incarnation; a receiver drops what it has seen (replay).
    pub sequence: u64,
}

/// Why a control frame was dropped.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum Error {
    /// The bytes end inside the envelope.
    #[error("control frame is truncated")]
    Truncated,
    /// Longer than [`MAX_FRAME`].
    #[error("control frame is too large")]
    Oversized,
    /// The authenticator matches no valid key.
    #[error("control frame is not authentic")]
    Forged,
    /// Authentic, but the message can't be decoded: another version of the program.
    #[error("control message can't be decoded")]
    Undecodable,
}

/// Seals `message` into a frame.
///
/// ```
/// use acacia_wire::control::{open, seal, Envelope, Secret};
/// let secret = Secret::new(&[7; 32], None);
/// let envelope = Envelope { sender: 1, incarnation: 2, sequence: 3 };
/// let frame = seal(&envelope, &"hello".to_string(), &secret);
/// assert_eq!(open::<String>(&frame, &secret), Ok((envelope, "hello".to_string())));
/// ```
pub fn seal<T: Serialize>(envelope: &Envelope, message: &T, secret: &Secret) -> Vec<u8> {
    let mut frame = Vec::with_capacity(64);
    frame.extend(envelope.sender.to_be_bytes());
    frame.extend(envelope.incarnation.to_be_bytes());
    frame.extend(envelope.sequence.to_be_bytes());
    let mut frame = postcard::to_extend(message, frame)
        .expect("a message of owned values serializes into memory without fail");
    let tag = secret.tag(&[&frame]);
    frame.extend(&tag[..TAG]);
    frame
}

/// Checks and decodes a frame.
pub fn open<T: DeserializeOwned>(frame: &[u8], secret: &Secret) -> Result<(Envelope, T), Error> {
    if frame.len() > MAX_FRAME {
        return Err(Error::Oversized);
    }
    if frame.len() < HEADER + TAG {
        return Err(Error::Truncated);
    }
    let (signed, tag) = frame.split_at(frame.len() - TAG);
    if !secret.verify(&[signed], tag) {
        return Err(Error::Forged);
    }
    let (header, body) = signed.split_at(HEADER);
    let word = |at: usize| {
        let mut bytes = [0; 8];
        bytes.copy_from_slice(&header[at..at + 8]);
        u64::from_be_bytes(bytes)
    };
    let envelope = Envelope {
        sender: u16::from_be_bytes([header[0], header[1]]),
        incarnation: word(2),
        sequence: word(10),
    };
    let message = postcard::from_bytes(body).map_err(|_| Error::Undecodable)?;
    Ok((envelope, message))
}
