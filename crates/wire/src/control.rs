use serde::{Serialize, de::DeserializeOwned};
use subtle::ConstantTimeEq;
use thiserror::Error;

/// Length of a control frame's authenticator, in bytes. The keyed hash is truncated to it.
const TAG_LEN: usize = 16;
/// Length of the fixed part of a frame, in bytes: sender, incarnation and sequence number.
const HEADER_LEN: usize = 2 + 8 + 8;
/// Maximum length of an accepted frame, in bytes. It fits a whole configuration (1 MB) and its
/// envelope.
pub const MAX_FRAME: usize = 1_100_000;

/// The keys that authenticate traffic between balancers: the current key, which signs, and during
/// a key rotation a second one that is only accepted.
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
    /// Creates a secret from the current key and, during a key rotation, the other valid key.
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

    /// Returns the authenticator of the concatenated `parts` under the current key.
    #[must_use]
    pub fn tag(&self, parts: &[&[u8]]) -> [u8; 32] {
        keyed_hash(&self.current, parts)
    }

    /// Returns whether `tag`, which may be truncated, authenticates the concatenated `parts` under
    /// either key. An empty tag is never valid.
    #[must_use]
    pub fn verify(&self, parts: &[&[u8]], tag: &[u8]) -> bool {
        let matches = |key: &[u8; 32]| {
            keyed_hash(key, parts)
                .get(..tag.len())
                .is_some_and(|full| bool::from(full.ct_eq(tag)))
        };
        !tag.is_empty() && (matches(&self.current) || self.previous.as_ref().is_some_and(matches))
    }
}

fn keyed_hash(key: &[u8; 32], parts: &[&[u8]]) -> [u8; 32] {
    let mut hasher = blake3::Hasher::new_keyed(key);
    for part in parts {
        hasher.update(part);
    }
    *hasher.finalize().as_bytes()
}

/// The sender of a frame and the frame's position in the sender's sequence.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Envelope {
    /// The sending balancer.
    pub sender: u16,
    /// The sender's incarnation, which increases with every start of its process.
    pub incarnation: u64,
    /// The sequence number, which increases with every frame of an incarnation. Receivers use it
    /// to drop replayed frames.
    pub sequence: u64,
}

/// Why a control frame was dropped.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum Error {
    /// The frame is shorter than its envelope and authenticator.
    #[error("control frame is truncated")]
    Truncated,
    /// The frame is longer than [`MAX_FRAME`].
    #[error("control frame is too large")]
    Oversized,
    /// The authenticator matches no valid key.
    #[error("control frame is not authentic")]
    Forged,
    /// The frame is authentic but its message can't be decoded, for example because the sender
    /// runs another version.
    #[error("control message can't be decoded")]
    Undecodable,
}

/// Encodes `message` as an authenticated frame.
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
        .expect("serializing owned values into memory can't fail");
    let tag = secret.tag(&[&frame]);
    frame.extend(&tag[..TAG_LEN]);
    frame
}

/// Authenticates a frame, then decodes its envelope and message.
pub fn open<T: DeserializeOwned>(frame: &[u8], secret: &Secret) -> Result<(Envelope, T), Error> {
    if frame.len() > MAX_FRAME {
        return Err(Error::Oversized);
    }
    if frame.len() < HEADER_LEN + TAG_LEN {
        return Err(Error::Truncated);
    }
    let (signed, tag) = frame.split_at(frame.len() - TAG_LEN);
    if !secret.verify(&[signed], tag) {
        return Err(Error::Forged);
    }
    let (header, body) = signed.split_at(HEADER_LEN);
    let read_u64 = |at: usize| {
        let mut bytes = [0; 8];
        bytes.copy_from_slice(&header[at..at + 8]);
        u64::from_be_bytes(bytes)
    };
    let envelope = Envelope {
        sender: u16::from_be_bytes([header[0], header[1]]),
        incarnation: read_u64(2),
        sequence: read_u64(10),
    };
    let message = postcard::from_bytes(body).map_err(|_| Error::Undecodable)?;
    Ok((envelope, message))
}
