//! The 32-bit value that each packet of a flow carries.

use acacia_wire::flow::mix;

/// A cookie that names a backend server: 30 bits of a hash of the server's name and the variant, and
/// 2 bits for the variant.
///
/// It is derived from the name rather than allocated, so balancers agree on it without coordination.
/// In about one of five fleets of 21,000 servers, two servers have the same 30 bits. New flows use
/// the first variant whose cookie no other server has, and every later packet of the flow carries
/// that variant.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Cookie(u32);

/// Number of cookies of each server.
pub const VARIANTS: u32 = 4;

impl Cookie {
    /// Derives the cookie of the server `id` for one of its [`VARIANTS`].
    ///
    /// ```
    /// use acacia_cookie::cookie::Cookie;
    /// assert_eq!(Cookie::of("host-1", 0), Cookie::of("host-1", 0));
    /// assert_ne!(Cookie::of("host-1", 0), Cookie::of("host-1", 1));
    /// ```
    #[must_use]
    pub fn of(id: &str, variant: u32) -> Self {
        let hash = mix(hash(id) ^ u64::from(variant));
        Cookie(((hash as u32) << 2) | (variant % VARIANTS))
    }

    /// Reads the cookie field of a packet, which is 0 in a packet without a cookie.
    #[must_use]
    pub const fn from_bits(bits: u32) -> Option<Self> {
        if bits == 0 { None } else { Some(Cookie(bits)) }
    }

    /// The value to write into a packet.
    #[must_use]
    pub const fn bits(self) -> u32 {
        self.0
    }
}

/// Hashes a name, with the same result on every balancer and in every version of the program.
#[must_use]
pub fn hash(name: &str) -> u64 {
    name.bytes()
        .fold(0, |hash, byte| mix(hash ^ u64::from(byte)))
}
