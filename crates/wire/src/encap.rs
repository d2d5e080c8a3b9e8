use thiserror::Error;

use crate::control::Secret;

/// The UDP port that IANA assigned to Generic UDP Encapsulation.
pub const PORT: u16 = 6080;

/// Length of a redirect header, in bytes: 4 of GUE, 16 of fields, 8 of authenticator.
pub const REDIRECT_LEN: usize = 28;
/// Length of the private fields and authenticator in GUE's unit of 32-bit words.
const PRIVATE_WORDS: u8 = ((REDIRECT_LEN - 4) / 4) as u8;
/// GUE protocol number of an encapsulated IPv4 packet.
const IPV4: u8 = 4;
/// Length of the truncated authenticator, in bytes.
const AUTHENTICATOR: usize = 8;
/// How many balancers a packet may pass before it is dropped.
///
/// Two balancers whose views of the membership differ could hand a packet back and forth. The
/// longest legal path is ingress, owner, backup and one predecessor of either; four redirects
/// cover it.
pub const MAX_HOPS: u8 = 4;

/// What the receiving balancer is asked to do with a redirected packet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[repr(u8)]
pub enum Purpose {
    /// Resolve the packet as the flow's owner.
    Resolve = 1,
    /// Store the pin that the header carries, then pass the packet on to its server.
    Replicate = 2,
    /// Forget the flow, then pass the packet on to its server.
    Release = 3,
}

/// The header that one balancer puts before a packet it hands to another.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Redirect {
    /// What is asked.
    pub purpose: Purpose,
    /// How many balancers the packet has passed, the sender included.
    pub hops: u8,
    /// The sending balancer.
    pub sender: u16,
    /// The pinned backend server, or [`NO_SERVER`].
    pub server: u16,
    /// Whether a balancer that was taken for the flow's owner passed the packet on.
    pub passed_on: bool,
    /// Balancers that know of the flow already.
    pub notified: Notified,
}

/// The numbers of some balancers, at most as many as a packet may pass.
///
/// They are listed by number, not by a bit for their place among the flow's owners: two balancers
/// with different views of the owners would read such a bit each in its own way, and hand the
/// packet to and fro.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Notified([u16; MAX_HOPS as usize]);

/// Stands in a free place of [`Notified`]. No balancer has this number.
const NOBODY: u16 = u16::MAX;

impl Default for Notified {
    fn default() -> Self {
        Notified([NOBODY; MAX_HOPS as usize])
    }
}

impl Notified {
    /// Whether `balancer` is listed.
    #[must_use]
    pub fn contains(&self, balancer: u16) -> bool {
        balancer != NOBODY && self.0.contains(&balancer)
    }

    /// The same with `balancer`. A full list stays as it is: the packet ends at the bound on its
    /// hops anyway.
    ///
    /// ```
    /// use acacia_wire::encap::Notified;
    /// let notified = Notified::default().with(3).with(3).with(7);
    /// assert!(notified.contains(3) && notified.contains(7) && !notified.contains(4));
    /// ```
    #[must_use]
    pub fn with(mut self, balancer: u16) -> Self {
        if !self.contains(balancer)
            && let Some(free) = self.0.iter_mut().find(|id| **id == NOBODY)
        {
            *free = balancer;
        }
        self
    }
}

/// Stands in [`Redirect::server`] where no server is pinned.
pub const NO_SERVER: u16 = u16::MAX;

/// A decoded datagram of the encapsulation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Frame<'a> {
    /// A packet directly from the fabric (GUE variant 1).
    Plain(&'a [u8]),
    /// A packet handed over by another balancer (GUE variant 0 with private fields).
    Redirected(Redirect, &'a [u8]),
}

/// Why a datagram is not a valid encapsulation.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum Error {
    /// The bytes end inside a header.
    #[error("encapsulation is truncated")]
    Truncated,
    /// A GUE version, length, protocol or purpose that is not used here.
    #[error("encapsulation header is unknown")]
    Unknown,
    /// The authenticator matches no valid key: a redirect that no balancer sent could otherwise
    /// pin a caller's flow to a server of the sender's choice.
    #[error("redirect is not authentic")]
    Forged,
    /// The packet has passed more balancers than any legal path has.
    #[error("redirect has passed too many balancers")]
    Hops,
}

impl Purpose {
    fn from_byte(byte: u8) -> Option<Self> {
        [Purpose::Resolve, Purpose::Replicate, Purpose::Release]
            .into_iter()
            .find(|purpose| *purpose as u8 == byte)
    }
}

/// Writes `redirect` and then `packet` into `out`, which is cleared first.
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
    out.extend([PRIVATE_WORDS, IPV4, 0, 0]);
    out.extend([redirect.purpose as u8, redirect.hops]);
    out.extend(redirect.sender.to_be_bytes());
    out.extend(redirect.server.to_be_bytes());
    out.extend([u8::from(redirect.passed_on), 0]);
    for balancer in redirect.notified.0 {
        out.extend(balancer.to_be_bytes());
    }
    let tag = secret.tag(&[&out[..], authenticated(packet)]);
    out.extend(&tag[..AUTHENTICATOR]);
    out.extend(packet);
}

/// Decodes one datagram.
pub fn decode<'a>(bytes: &'a [u8], secret: &Secret) -> Result<Frame<'a>, Error> {
    match bytes.first().map(|byte| byte >> 4) {
        None => Err(Error::Truncated),
        Some(4) => Ok(Frame::Plain(bytes)),
        Some(0 | 1) => redirected(bytes, secret),
        Some(_) => Err(Error::Unknown),
    }
}

fn redirected<'a>(bytes: &'a [u8], secret: &Secret) -> Result<Frame<'a>, Error> {
    let (header, packet) = bytes
        .split_at_checked(REDIRECT_LEN)
        .ok_or(Error::Truncated)?;
    let (fields, tag) = header.split_at(REDIRECT_LEN - AUTHENTICATOR);
    if fields[..4] != [PRIVATE_WORDS, IPV4, 0, 0] {
        return Err(Error::Unknown);
    }
    if !secret.verify(&[fields, authenticated(packet)], tag) {
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

/// The part of the packet that the authenticator covers: addresses, ports and TCP's sequence
/// numbers, enough to bind the redirect to its flow. The payload is the caller's own affair, and
/// hashing it would cost a microsecond a packet.
fn authenticated(packet: &[u8]) -> &[u8] {
    const COVERED: usize = 32;
    &packet[..packet.len().min(COVERED)]
}
