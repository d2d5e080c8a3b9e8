//! Addresses on loopback: a network of its own for each deployment, so that tests run beside each
//! other.

use std::{
    net::{Ipv4Addr, SocketAddrV4, TcpListener},
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

/// Host number whose control port is bound for as long as a network is in use.
const CLAIM_HOST: u8 = 1;
/// Networks tried before giving up.
const TRIES: usize = 256;

impl Network {
    /// A network that no other deployment on this machine uses for as long as the listener lives.
    ///
    /// Without the claim, tests of two processes whose numbers agree in their lower bits would
    /// send each other's packets, as traffic sockets may share an address; one would see flows
    /// broken that no balancer broke.
    pub fn claim() -> std::io::Result<(Self, TcpListener)> {
        const FIRST: u8 = 16;
        let process = std::process::id();
        let mut last = std::io::Error::from(std::io::ErrorKind::AddrInUse);
        for _ in 0..TRIES {
            let network = Network {
                first: FIRST + (process % 200) as u8,
                second: USED.fetch_add(1, Ordering::Relaxed),
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
