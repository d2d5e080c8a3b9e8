use thiserror::Error;

use crate::control::Secret;

/// The UDP port that IANA assigned to Generic UDP Encapsulation.
pub const PORT: u16 = 6080;

/// Length of a redirect header, in bytes: 4 of GUE header, 16 of private fields and 8 of
/// authenticator.
pub const REDIRECT_LEN: usize = 28;
/// Length of the private fields and the authenticator in 32-bit words, the unit of GUE's header
/// length.
const PRIVATE_WORDS: u8 = ((REDIRECT_LEN - 4) / 4) as u8;
/// IP protocol number of an encapsulated IPv4 packet, in GUE's protocol field.
const PROTOCOL_IPV4: u8 = 4;
/// Length of the truncated authenticator, in bytes.
const TAG_LEN: usize = 8;
/// Maximum number of balancers that a packet may traverse before it is dropped.
///
/// Without a limit, two balancers with different views of the membership could redirect a packet
/// to each other forever. The longest legal path is ingress, owner, backup and one predecessor of
/// either, which four redirects cover.
pub const MAX_HOPS: u8 = 4;

/// What the receiving balancer has to do with a redirected packet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[repr(u8)]
pub enum Purpose {
    /// Resolve the packet as the flow's owner.
    Resolve = 1,
    /// Store the pin in the header, then forward the packet to the pinned server.
    Replicate = 2,
    /// Forget the flow, then forward the packet to its server.
    Release = 3,
}

/// The header of a packet that one balancer redirects to another.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Redirect {
    /// What the receiver has to do with the packet.
    pub purpose: Purpose,
    /// Number of balancers that the packet has traversed, including the sender.
    pub hops: u8,
    /// The sending balancer.
    pub sender: u16,
    /// The pinned backend server, or [`NO_SERVER`].
    pub server: u16,
    /// Whether the packet was redirected to the sender as the flow's owner, and the sender
    /// redirected it again.
    pub passed_on: bool,
    /// Balancers that already know the flow.
    pub notified: Notified,
}

/// The balancers that have been notified of a flow, at most [`MAX_HOPS`] of them.
///
/// The list holds balancer numbers instead of one bit for each position among the flow's owners:
/// two balancers with different views of the owners would interpret such a bit differently and
/// redirect the packet to each other.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Notified([u16; MAX_HOPS as usize]);

/// Marks an unused slot of [`Notified`]. No balancer has this number.
const VACANT: u16 = u16::MAX;

impl Default for Notified {
    fn default() -> Self {
        Notified([VACANT; MAX_HOPS as usize])
    }
}

impl Notified {
    /// Returns whether `balancer` is in the list.
    #[must_use]
    pub fn contains(&self, balancer: u16) -> bool {
        balancer != VACANT && self.0.contains(&balancer)
    }

    /// Returns the list with `balancer` added. A full list stays unchanged: a packet that has
    /// notified that many balancers is dropped at [`MAX_HOPS`] anyway.
    ///
    /// ```
    /// use acacia_wire::encap::Notified;
    /// let notified = Notified::default().with(3).with(3).with(7);
    /// assert!(notified.contains(3) && notified.contains(7) && !notified.contains(4));
    /// ```
    #[must_use]
    pub fn with(mut self, balancer: u16) -> Self {
        if !self.contains(balancer)
            && let Some(free) = self.0.iter_mut().find(|id| **id == VACANT)
        {
            *free = balancer;
        }
        self
    }
}

/// The value of [`Redirect::server`] if no server is pinned.
pub const NO_SERVER: u16 = u16::MAX;

/// A decoded encapsulation datagram.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Frame<'a> {
    /// A packet received directly from the fabric (GUE variant 1).
    Plain(&'a [u8]),
    /// A packet redirected by another balancer (GUE variant 0 with private fields).
    Redirected(Redirect, &'a [u8]),
}

/// Why a datagram is not a valid encapsulation.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum Error {
    /// The bytes end inside a header.
    #[error("encapsulation is truncated")]
    Truncated,
    /// The GUE version, length or protocol, or the purpose, is not supported.
    #[error("unsupported encapsulation header")]
    Unknown,
    /// The authenticator matches no valid key. Without this check, any sender could pin a caller's
    /// flow to a server of its choice.
    #[error("redirect is not authentic")]
    Forged,
    /// The packet has traversed more than [`MAX_HOPS`] balancers.
    #[error("redirect exceeds the hop limit")]
    Hops,
}

impl Purpose {
    fn from_byte(byte: u8) -> Option<Self> {
        [Purpose::Resolve, Purpose::Replicate, Purpose::Release]
            .into_iter()
            .find(|purpose| *purpose as u8 == byte)
    }
}

/// Encodes `redirect` followed by `packet` into `out`, which is cleared first.
///
/// ```
/// use acacia_wire::{control::Secret, encap::*};
/// let secret = Secret::new(&[7; 32], None);
/// let redirect = Redirect { purpose: Purpose::Resolve, hops: 1, sender: 3, server: NO_SERVER, passed_on: false, notified: Notified::default() };
/// let mut out = Vec::new();
/// encode(&redirect, &[0x45, 0, 0, 20], &secret, &mut out);
/// assert_eq!(decode(&out, &secret), Ok(Frame::Redirected(redirect, &[0x45, 0, 0, 20])));
/// ```
pub fn encode(redirect: &Redirect, packet: &[u8], secret: &Secret, out: &mut Vec<u8>) {
    out.clear();
    out.extend([PRIVATE_WORDS, PROTOCOL_IPV4, 0, 0]);
    out.extend([redirect.purpose as u8, redirect.hops]);
    out.extend(redirect.sender.to_be_bytes());
    out.extend(redirect.server.to_be_bytes());
    out.extend([u8::from(redirect.passed_on), 0]);
    for balancer in redirect.notified.0 {
        out.extend(balancer.to_be_bytes());
    }
    let tag = secret.tag(&[&out[..], authenticated_prefix(packet)]);
    out.extend(&tag[..TAG_LEN]);
    out.extend(packet);
}

/// Decodes one encapsulation datagram.
pub fn decode<'a>(bytes: &'a [u8], secret: &Secret) -> Result<Frame<'a>, Error> {
    match bytes.first().map(|byte| byte >> 4) {
        None => Err(Error::Truncated),
        Some(4) => Ok(Frame::Plain(bytes)),
        Some(0 | 1) => decode_redirect(bytes, secret),
        Some(_) => Err(Error::Unknown),
    }
}

fn decode_redirect<'a>(bytes: &'a [u8], secret: &Secret) -> Result<Frame<'a>, Error> {
    let (header, packet) = bytes
        .split_at_checked(REDIRECT_LEN)
        .ok_or(Error::Truncated)?;
    let (fields, tag) = header.split_at(REDIRECT_LEN - TAG_LEN);
    if fields[..4] != [PRIVATE_WORDS, PROTOCOL_IPV4, 0, 0] {
        return Err(Error::Unknown);
    }
    if !secret.verify(&[fields, authenticated_prefix(packet)], tag) {
        return Err(Error::Forged);
    }
    let purpose = Purpose::from_byte(fields[4]).ok_or(Error::Unknown)?;
    if fields[5] > MAX_HOPS {
        return Err(Error::Hops);
    }
    let redirect = Redirect {
        purpose,
        hops: fields[5],
        sender: u16::from_be_bytes([fields[6], fields[7]]),
        server: u16::from_be_bytes([fields[8], fields[9]]),
        passed_on: fields[10] != 0,
        notified: Notified(std::array::from_fn(|at| {
            u16::from_be_bytes([fields[12 + 2 * at], fields[13 + 2 * at]])
        })),
    };
    Ok(Frame::Redirected(redirect, packet))
}

/// Returns the part of the packet that the authenticator covers: addresses, ports and TCP sequence
/// numbers, which bind the redirect to its flow.
///
/// The payload is not covered: its integrity is the caller's responsibility, and hashing it would
/// cost a microsecond per packet.
fn authenticated_prefix(packet: &[u8]) -> &[u8] {
    const COVERED_LEN: usize = 32;
    &packet[..packet.len().min(COVERED_LEN)]
}
