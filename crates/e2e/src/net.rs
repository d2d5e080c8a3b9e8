//! Addresses on loopback: a network of its own for each deployment, so that tests run beside each
//! other.

use std::{
    net::{Ipv4Addr, SocketAddrV4},
    sync::atomic::{AtomicU8, Ordering},
};

/// Port of the encapsulation.
pub const TRAFFIC: u16 = 6080;
/// Port of control traffic between balancers.
pub const CONTROL: u16 = 6081;
/// Port of operators' requests and of commands to stand-ins.
pub const ADMIN: u16 = 6082;
/// Port of the platform.
pub const PLATFORM: u16 = 6083;
/// Port at which the fabric takes what is for callers.
pub const ANSWERS: u16 = 6084;

/// Networks handed out in this process.
static USED: AtomicU8 = AtomicU8::new(0);

/// A loopback network of 254 hosts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Network {
    first: u8,
    second: u8,
}

impl Network {
    /// A network that no other deployment of this process uses, and that another process uses
    /// only if its number is the same in the lower bits.
    #[must_use]
    pub fn unused() -> Self {
        const FIRST: u8 = 16;
        let process = std::process::id();
        Network {
            first: FIRST + (process % 200) as u8,
            second: USED.fetch_add(1, Ordering::Relaxed),
        }
    }

    /// The address of host `number`.
    #[must_use]
    pub fn host(&self, number: u8) -> Ipv4Addr {
        Ipv4Addr::new(127, self.first, self.second, number)
    }

    /// A port of host `number`.
    #[must_use]
    pub fn port(&self, number: u8, port: u16) -> SocketAddrV4 {
        SocketAddrV4::new(self.host(number), port)
    }
}
