//! A TCP/IP stack in user space that carries each IP packet in a UDP datagram.

use std::{
    collections::VecDeque,
    net::{Ipv4Addr, SocketAddr, SocketAddrV4, UdpSocket},
    time::{Duration, Instant},
};

use acacia_wire::collections::Set;
use smoltcp::{
    iface::{Config, Interface, SocketHandle, SocketSet},
    phy::{self, DeviceCapabilities, Medium},
    socket::tcp,
    wire::{HardwareAddress, IpAddress, IpCidr, IpEndpoint},
};

/// Maximum size of an IP packet, in bytes: the MTU of Ethernet less the encapsulation's headers.
const MTU: usize = 1450;
/// Size of the send buffer and of the receive buffer of a TCP socket, in bytes.
const SOCKET_BUFFER_BYTES: usize = 16 * 1024;
/// Offset of the TCP flags in a packet without IP options.
const TCP_FLAGS_OFFSET: usize = 33;
const SYN: u8 = 2;
const RESET: u8 = 4;
const ACK: u8 = 16;
/// Maximum number of packets received per poll, so that a flood can't starve the protocol timers.
pub const MAX_PACKETS_PER_POLL: usize = 32;

/// A network interface with its TCP sockets, and the UDP socket that carries its packets.
pub struct Stack {
    interface: Interface,
    sockets: SocketSet<'static>,
    device: Device,
    link: UdpSocket,
    next_hop: SocketAddr,
    started: Instant,
    /// Remote endpoints whose SYN was received.
    opened_by: Set<SocketAddrV4>,
    resets: Resets,
}

/// Numbers of resets sent in answer to packets that belong to no connection.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Resets {
    /// In answer to packets of connections that were never opened here.
    pub stray: u64,
    /// In answer to packets of connections that were opened here and have ended: copies that were
    /// retransmitted and arrived late.
    pub late: u64,
}

impl Stack {
    /// Creates a stack with `address` that receives on `link` and sends every packet to `next_hop`.
    pub fn new(
        address: Ipv4Addr,
        link: UdpSocket,
        next_hop: SocketAddr,
        seed: u64,
    ) -> anyhow::Result<Self> {
        let mut device = Device::default();
        let mut config = Config::new(HardwareAddress::Ip);
        config.random_seed = seed;
        let mut interface = Interface::new(config, &mut device, smoltcp::time::Instant::ZERO);
        // Prefix length 0 makes every destination a neighbour: the link is the only way out.
        interface.update_ip_addrs(|addresses| {
            addresses
                .push(IpCidr::new(address.into(), 0))
                .expect("an interface holds at least one address");
        });
        Ok(Stack {
            interface,
            sockets: SocketSet::new(Vec::new()),
            device,
            link,
            next_hop,
            started: Instant::now(),
            opened_by: Set::default(),
            resets: Resets::default(),
        })
    }

    /// Receives pending packets, runs the protocol and sends the resulting packets. Waits for a
    /// packet until `wait` has passed or a protocol timer is due, whichever comes first.
    pub fn poll(&mut self, wait: Duration) -> std::io::Result<()> {
        let now = self.now();
        let due = self
            .interface
            .poll_delay(now, &self.sockets)
            .map(Duration::from);
        let wait = due
            .map_or(wait, |due| due.min(wait))
            .max(Duration::from_micros(100));
        self.link.set_nonblocking(false)?;
        self.link.set_read_timeout(Some(wait))?;
        let mut bytes = [0; 2048];
        for _ in 0..MAX_PACKETS_PER_POLL {
            match self.link.recv(&mut bytes) {
                Ok(len) if self.is_repeated_syn(&bytes[..len]) => {}
                Ok(len) => {
                    let packet = &bytes[..len];
                    if is_syn(packet) {
                        self.opened_by.insert(Endpoints::of(packet).from);
                    }
                    self.device.received.push_back(packet.to_vec());
                }
                Err(_) => break,
            }
            self.link.set_nonblocking(true)?;
        }
        self.interface
            .poll(self.now(), &mut self.device, &mut self.sockets);
        while let Some(packet) = self.device.to_send.pop_front() {
            if packet
                .get(TCP_FLAGS_OFFSET)
                .is_some_and(|flags| flags & RESET != 0)
            {
                let Endpoints { from, to } = Endpoints::of(&packet);
                let is_late = self.opened_by.contains(&to);
                self.resets.late += u64::from(is_late);
                self.resets.stray += u64::from(!is_late);
                log::info!("event=reset-sent from={from} to={to} late={is_late}");
            }
            // A packet that doesn't fit the socket buffer is lost, as in a network; TCP
            // retransmits it.
            let _ = self.link.send_to(&packet, self.next_hop);
        }
        Ok(())
    }

    /// Returns whether a packet is a repeated SYN: its flow already has a socket, or another SYN of
    /// the flow was received in the same poll.
    ///
    /// smoltcp passes a SYN to the first socket that accepts it, and a listening socket may precede
    /// the one that already holds the flow. If a SYN waits here for over a second, the caller
    /// retransmits it; accepting both would open the flow twice, with two initial sequence numbers,
    /// and later packets of the flow would be answered by resets. The repeated SYN can be dropped,
    /// because the answer to the first one serves the caller as well.
    fn is_repeated_syn(&self, packet: &[u8]) -> bool {
        if !is_syn(packet) {
            return false;
        }
        let remote = Some(Endpoints::of(packet).from);
        let mut sockets = self.sockets.iter().map(|(_, socket)| match socket {
            smoltcp::socket::Socket::Tcp(socket) => socket,
        });
        let mut received = self.device.received.iter();
        sockets.any(|socket| socket.is_active() && socket.remote_endpoint().map(endpoint) == remote)
            || received.any(|other| is_syn(other) && Some(Endpoints::of(other).from) == remote)
    }

    /// Returns the numbers of resets sent in answer to packets that belong to no connection.
    #[must_use]
    pub fn resets(&self) -> Resets {
        self.resets
    }

    /// Adds a closed TCP socket and returns its handle.
    pub fn add(&mut self) -> SocketHandle {
        let buffer = || tcp::SocketBuffer::new(vec![0; SOCKET_BUFFER_BYTES]);
        let mut socket = tcp::Socket::new(buffer(), buffer());
        socket.set_nagle_enabled(false);
        self.sockets.add(socket)
    }

    /// Returns the TCP socket of `handle`.
    pub fn socket(&mut self, handle: SocketHandle) -> &mut tcp::Socket<'static> {
        self.sockets.get_mut(handle)
    }

    /// Opens a connection from the local `port` to `remote`.
    pub fn connect(
        &mut self,
        handle: SocketHandle,
        remote: (Ipv4Addr, u16),
        port: u16,
    ) -> anyhow::Result<()> {
        let socket = self.sockets.get_mut::<tcp::Socket<'_>>(handle);
        socket
            .connect(self.interface.context(), remote, port)
            .map_err(|error| anyhow::anyhow!("connect: {error}"))
    }

    /// Removes a socket.
    pub fn remove(&mut self, handle: SocketHandle) {
        self.sockets.remove(handle);
    }

    fn now(&self) -> smoltcp::time::Instant {
        smoltcp::time::Instant::from_micros(self.started.elapsed().as_micros() as i64)
    }
}

/// Returns whether a packet opens a connection.
fn is_syn(packet: &[u8]) -> bool {
    packet
        .get(TCP_FLAGS_OFFSET)
        .is_some_and(|flags| flags & (SYN | ACK) == SYN)
}

/// Source and destination of a TCP packet without IP options.
struct Endpoints {
    from: SocketAddrV4,
    to: SocketAddrV4,
}

impl Endpoints {
    /// Reads the endpoints from a packet's headers. Bytes beyond the end of a short packet count as
    /// 0.
    fn of(packet: &[u8]) -> Self {
        let byte = |at: usize| packet.get(at).copied().unwrap_or(0);
        let address = |at: usize| Ipv4Addr::new(byte(at), byte(at + 1), byte(at + 2), byte(at + 3));
        let port = |at: usize| u16::from_be_bytes([byte(at), byte(at + 1)]);
        Endpoints {
            from: SocketAddrV4::new(address(12), port(20)),
            to: SocketAddrV4::new(address(16), port(22)),
        }
    }
}

fn endpoint(endpoint: IpEndpoint) -> SocketAddrV4 {
    let IpAddress::Ipv4(address) = endpoint.addr;
    SocketAddrV4::new(address, endpoint.port)
}

#[derive(Debug, Default)]
struct Device {
    received: VecDeque<Vec<u8>>,
    to_send: VecDeque<Vec<u8>>,
}

#[derive(Debug)]
struct RxToken(Vec<u8>);

#[derive(Debug)]
struct TxToken<'a>(&'a mut VecDeque<Vec<u8>>);

impl phy::Device for Device {
    type RxToken<'a> = RxToken;
    type TxToken<'a> = TxToken<'a>;

    fn capabilities(&self) -> DeviceCapabilities {
        let mut capabilities = DeviceCapabilities::default();
        capabilities.max_transmission_unit = MTU;
        capabilities.medium = Medium::Ip;
        capabilities
    }

    fn receive(
        &mut self,
        _timestamp: smoltcp::time::Instant,
    ) -> Option<(Self::RxToken<'_>, Self::TxToken<'_>)> {
        let packet = self.received.pop_front()?;
        Some((RxToken(packet), TxToken(&mut self.to_send)))
    }

    fn transmit(&mut self, _timestamp: smoltcp::time::Instant) -> Option<Self::TxToken<'_>> {
        Some(TxToken(&mut self.to_send))
    }
}

impl phy::RxToken for RxToken {
    fn consume<R, F: FnOnce(&[u8]) -> R>(self, f: F) -> R {
        f(&self.0)
    }
}

impl phy::TxToken for TxToken<'_> {
    fn consume<R, F: FnOnce(&mut [u8]) -> R>(self, len: usize, f: F) -> R {
        let mut packet = vec![0; len];
        let result = f(&mut packet);
        self.0.push_back(packet);
        result
    }
}
