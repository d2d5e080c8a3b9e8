//! Loopback addresses. Each deployment gets a network of its own, so that tests can run in parallel.

use std::{
    net::{Ipv4Addr, SocketAddrV4, TcpListener},
    sync::atomic::{AtomicU8, Ordering},
};

/// Port of encapsulated packets.
pub const TRAFFIC: u16 = 6080;
/// Port of control traffic between balancers.
pub const CONTROL: u16 = 6081;
/// Port of operators' requests and of commands to simulated components.
pub const ADMIN: u16 = 6082;
/// Port of the platform.
pub const PLATFORM: u16 = 6083;
/// Port at which the fabric receives packets for callers.
pub const ANSWERS: u16 = 6084;

/// Value of [`Network::second`] for the next attempt to reserve a network; wraps around.
static NEXT_NETWORK: AtomicU8 = AtomicU8::new(0);

/// A loopback network of 254 hosts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Network {
    first: u8,
    second: u8,
}

/// Host number whose control port is bound while a network is in use.
const CLAIM_HOST: u8 = 1;
/// Maximum number of networks to try.
const MAX_ATTEMPTS: usize = 256;

impl Network {
    /// Reserves a network that no other deployment on this machine uses while the listener is open.
    ///
    /// Traffic sockets may share an address. Without the reservation, two test processes whose
    /// process ids are equal modulo 200 could use the same network and receive each other's packets,
    /// and flows would break without a fault of a balancer.
    pub fn claim() -> std::io::Result<(Self, TcpListener)> {
        const FIRST: u8 = 16;
        let process = std::process::id();
        let mut last = std::io::Error::from(std::io::ErrorKind::AddrInUse);
        for _ in 0..MAX_ATTEMPTS {
            let network = Network {
                first: FIRST + (process % 200) as u8,
                second: NEXT_NETWORK.fetch_add(1, Ordering::Relaxed),
            };
            match TcpListener::bind(network.port(CLAIM_HOST, CONTROL)) {
                Ok(claim) => return Ok((network, claim)),
                Err(error) => last = error,
            }
        }
        Err(last)
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
