use std::{
    fmt,
    net::{IpAddr, Ipv4Addr, Ipv6Addr},
    str::FromStr,
    sync::Arc,
};

use acacia_code::Code;
use serde::Serialize;

use crate::Problem;

/// The class of callers. Work of trial callers never displaces work of paying ones.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
pub enum Mark {
    /// Callers that try the service for free.
    Trial,
    /// Callers that pay, or have priority for another reason.
    Paying,
}

impl Mark {
    /// The name in the configuration.
    #[must_use]
    pub const fn label(self) -> &'static str {
        match self {
            Mark::Trial => "trial",
            Mark::Paying => "paying",
        }
    }
}

/// A customer: a group of callers, identified by their addresses, with a mark and weight of its
/// own.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Customer {
    /// The customer's name.
    pub name: Arc<str>,
    /// Whether the customer pays.
    pub mark: Mark,
    /// Its weight among the customers of the same mark when capacity does not suffice for all.
    pub weight: u16,
    /// The prefixes that its callers' addresses belong to, sorted.
    pub prefixes: Vec<Prefix>,
}

impl Customer {
    /// Creates a customer of weight 1.
    #[must_use]
    pub fn new(name: &str, mark: Mark, prefixes: impl IntoIterator<Item = Prefix>) -> Self {
        let mut prefixes: Vec<_> = prefixes.into_iter().collect();
        prefixes.sort_unstable();
        Customer {
            name: name.into(),
            mark,
            weight: 1,
            prefixes,
        }
    }

    /// Sets the weight.
    #[must_use]
    pub fn weight(mut self, weight: u16) -> Self {
        self.weight = weight;
        self
    }
}

/// An IP prefix, such as 10.77.0.0/16.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Prefix {
    address: IpAddr,
    length: u8,
}

impl Prefix {
    /// The prefix of the first `length` bits of `address`. `None` if `length` is longer than the
    /// address, or if the address has bits set beyond it, which is usually a typing error.
    ///
    /// ```
    /// use acacia_config::Prefix;
    /// assert!(Prefix::new([10, 77, 0, 0].into(), 16).is_some());
    /// assert!(Prefix::new([10, 77, 0, 1].into(), 16).is_none());
    /// ```
    #[must_use]
    pub fn new(address: IpAddr, length: u8) -> Option<Self> {
        let prefix = Prefix { address, length };
        let host_bits = prefix.bits(address) & !prefix.mask();
        (length <= width(address) && host_bits == 0).then_some(prefix)
    }

    /// The prefix of the given length that contains an address.
    pub(crate) fn around(address: IpAddr, length: u8) -> Self {
        let unmasked = Prefix { address, length };
        let bits = unmasked.bits(address) & unmasked.mask();
        let address = match address {
            IpAddr::V4(_) => IpAddr::V4(Ipv4Addr::from_bits((bits >> 96) as u32)),
            IpAddr::V6(_) => IpAddr::V6(Ipv6Addr::from_bits(bits)),
        };
        Prefix { address, length }
    }

    /// The first address of the prefix.
    #[must_use]
    pub fn address(&self) -> IpAddr {
        self.address
    }

    /// The length of the prefix in bits.
    #[must_use]
    pub fn length(&self) -> u8 {
        self.length
    }

    /// Whether the prefix contains an address.
    ///
    /// ```
    /// use acacia_config::Prefix;
    /// let prefix: Prefix = "10.77.0.0/16".parse()?;
    /// assert!(prefix.contains([10, 77, 3, 4].into()));
    /// assert!(!prefix.contains([10, 78, 0, 1].into()));
    /// # Ok::<(), acacia_config::Problem>(())
    /// ```
    #[must_use]
    pub fn contains(&self, address: IpAddr) -> bool {
        self.address.is_ipv4() == address.is_ipv4()
            && self.bits(address) & self.mask() == self.bits(self.address)
    }

    /// The bits of an address, left-aligned in 128 bits.
    fn bits(&self, address: IpAddr) -> u128 {
        match address {
            IpAddr::V4(v4) => u128::from(v4.to_bits()) << 96,
            IpAddr::V6(v6) => v6.to_bits(),
        }
    }

    fn mask(&self) -> u128 {
        let host_bits = 128_u32.saturating_sub(u32::from(self.length));
        u128::MAX.checked_shl(host_bits).unwrap_or(0)
    }
}

fn width(address: IpAddr) -> u8 {
    if address.is_ipv4() { 32 } else { 128 }
}

impl fmt::Display for Prefix {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.address, self.length)
    }
}

impl FromStr for Prefix {
    type Err = Problem;

    /// Parses `address/length`.
    fn from_str(text: &str) -> Result<Self, Problem> {
        let read = || {
            let (address, length) = text.split_once('/')?;
            Prefix::new(address.parse().ok()?, length.parse().ok()?)
        };
        read().ok_or_else(|| Problem {
            code: Code::ConfigValueInvalid,
            section: "".into(),
            key: "prefix".into(),
            found: text.into(),
            expected: "a prefix such as 10.77.0.0/16, with no bits set beyond its length".into(),
        })
    }
}
