use std::{
    fmt,
    net::{IpAddr, Ipv4Addr, Ipv6Addr},
    str::FromStr,
    sync::Arc,
};

use acacia_code::Code;
use serde::Serialize;

use crate::Problem;

/// Whether callers pay. Trial work never crowds out paying work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
pub enum Mark {
    /// They try the service for free.
    Trial,
    /// They pay, or matter most for another reason.
    Paying,
}

impl Mark {
    /// Its name in the configuration.
    #[must_use]
    pub const fn label(self) -> &'static str {
        match self {
            Mark::Trial => "trial",
            Mark::Paying => "paying",
        }
    }
}

/// A customer: callers with a mark and a share of their own, known by their addresses.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Customer {
    /// Its name.
    pub name: Arc<str>,
    /// Whether it pays.
    pub mark: Mark,
    /// Its weight among the customers of the same mark when there is not enough for all.
    pub weight: u16,
    /// The addresses that its callers come from, in order.
    pub prefixes: Vec<Prefix>,
}

impl Customer {
    /// A customer of weight 1.
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

    /// The same with another weight.
    #[must_use]
    pub fn weight(mut self, weight: u16) -> Self {
        self.weight = weight;
        self
    }
}

/// A block of addresses, such as 10.77.0.0/16.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Prefix {
    address: IpAddr,
    length: u8,
}

impl Prefix {
    /// The block of the addresses that share the first `length` bits of `address`. None if the
    /// length is longer than the address, or the address has bits beyond it: such a block is
    /// mostly a slip of the pen.
    ///
    /// ```
    /// use acacia_config::Prefix;
    /// assert!(Prefix::new([10, 77, 0, 0].into(), 16).is_some());
    /// assert!(Prefix::new([10, 77, 0, 1].into(), 16).is_none());
    /// ```
    #[must_use]
    pub fn new(address: IpAddr, length: u8) -> Option<Self> {
        let prefix = Prefix { address, length };
        let rest = prefix.bits(address) & !prefix.mask();
        (length <= width(address) && rest == 0).then_some(prefix)
    }

    /// The block of that length around an address.
    pub(crate) fn around(address: IpAddr, length: u8) -> Self {
        let whole = Prefix { address, length };
        let bits = whole.bits(address) & whole.mask();
        let address = match address {
            IpAddr::V4(_) => IpAddr::V4(Ipv4Addr::from_bits((bits >> 96) as u32)),
            IpAddr::V6(_) => IpAddr::V6(Ipv6Addr::from_bits(bits)),
        };
        Prefix { address, length }
    }

    /// Its first address.
    #[must_use]
    pub fn address(&self) -> IpAddr {
        self.address
    }

    /// How many bits its addresses share.
    #[must_use]
    pub fn length(&self) -> u8 {
        self.length
    }

    /// Whether an address lies within it.
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

    /// The address left-aligned in 128 bits.
    fn bits(&self, address: IpAddr) -> u128 {
        match address {
            IpAddr::V4(v4) => u128::from(v4.to_bits()) << 96,
            IpAddr::V6(v6) => v6.to_bits(),
        }
    }

    fn mask(&self) -> u128 {
        let free = 128_u32.saturating_sub(u32::from(self.length));
        u128::MAX.checked_shl(free).unwrap_or(0)
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

    /// Reads `address/length`.
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
            expected: "a block such as 10.77.0.0/16, with no bits set beyond its length".into(),
        })
    }
}
