//! The 32 bits that travel with each packet of a flow.

use acacia_wire::flow::mix;

/// The cookie that names a backend server. 30 bits are a hash of the server's name, 2 the variant.
///
/// It is derived and never allotted, so balancers agree on it without a word. Among 21,000 servers
/// two share 30 bits in about one of five fleets; an opening then takes the first variant that its
/// server shares with nobody, and every later packet shows which one that was.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Cookie(u32);

/// How many cookies each server has.
pub const VARIANTS: u32 = 4;

impl Cookie {
    /// The cookie of the server `id` in one of its [`VARIANTS`].
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

    /// The cookie in a packet; none in one that carries none.
    #[must_use]
    pub const fn from_bits(bits: u32) -> Option<Self> {
        if bits == 0 { None } else { Some(Cookie(bits)) }
    }

    /// As it travels.
    #[must_use]
    pub const fn bits(self) -> u32 {
        self.0
    }
}

/// A hash of a name that is the same on every balancer, in every version of the program.
#[must_use]
pub fn hash(name: &str) -> u64 {
    name.bytes()
        .fold(0, |hash, byte| mix(hash ^ u64::from(byte)))
}
