use std::net::Ipv4Addr;

use serde::{Deserialize, Serialize};

/// The transport protocol of a flow.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[repr(u8)]
pub enum Protocol {
    /// TCP, where a SYN marks the start of a flow.
    Tcp = 6,
    /// UDP, where the first packet of a flow can't be told from later ones.
    Udp = 17,
}

/// The 5-tuple of a flow, in the direction from the caller to the service.
///
/// Ports are in host byte order. A key takes 16 bytes in memory.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Key {
    /// The caller's address.
    pub client: Ipv4Addr,
    /// The service's address.
    pub service: Ipv4Addr,
    /// The caller's port.
    pub client_port: u16,
    /// The service's port.
    pub service_port: u16,
    /// The transport protocol.
    pub protocol: Protocol,
}

impl Key {
    /// Returns a hash of the flow that is the same on every balancer and in every version of the
    /// program.
    ///
    /// The hash selects the flow's bucket and ranks its owners, so all balancers must agree on it.
    /// It is therefore a fixed function (the SplitMix64 finalizer, applied twice) and not a seeded
    /// hasher.
    ///
    /// ```
    /// # use acacia_wire::flow::{Key, Protocol};
    /// let key = Key {
    ///     client: [192, 0, 2, 1].into(),
    ///     service: [198, 51, 100, 1].into(),
    ///     client_port: 40_000,
    ///     service_port: 443,
    ///     protocol: Protocol::Tcp,
    /// };
    /// assert_eq!(key.hash(), key.hash());
    /// assert_ne!(key.hash(), Key { client_port: 40_001, ..key }.hash());
    /// ```
    #[must_use]
    pub fn hash(&self) -> u64 {
        let addresses = u64::from(self.client.to_bits()) << 32 | u64::from(self.service.to_bits());
        let ports = u64::from(self.client_port) << 32
            | u64::from(self.service_port) << 8
            | self.protocol as u64;
        mix(mix(addresses) ^ ports)
    }
}

/// Maps a uniformly distributed 64-bit hash to a number in the open interval from 0 to 1.
///
/// ```
/// use acacia_wire::flow::uniform;
/// assert!(uniform(0) > 0.0 && uniform(u64::MAX) < 1.0);
/// ```
#[must_use]
pub fn uniform(hash: u64) -> f64 {
    /// Bits of the hash that are used: an `f64` has 53 significant bits, of which the added half
    /// takes one.
    const BITS: u32 = 52;
    ((hash >> (u64::BITS - BITS)) as f64 + 0.5) / (1u64 << BITS) as f64
}

/// The finalizer of SplitMix64 (Steele, Lea and Flood, 2014): a bijection on 64-bit values in which
/// flipping one input bit flips about half of the output bits.
///
/// ```
/// assert_ne!(acacia_wire::flow::mix(1), acacia_wire::flow::mix(2));
/// ```
#[must_use]
pub fn mix(value: u64) -> u64 {
    let z = value.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    z ^ (z >> 31)
}
