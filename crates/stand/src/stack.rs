//! A TCP/IP stack in user space whose link is an encapsulated UDP socket.

use std::{
    collections::VecDeque,
    net::{Ipv4Addr, SocketAddr, SocketAddrV4, UdpSocket},
    time::{Duration, Instant},
};

use smoltcp::{
    iface::{Config, Interface, SocketHandle, SocketSet},
    phy::{self, DeviceCapabilities, Medium},
    socket::tcp,
    wire::{HardwareAddress, IpAddress, IpCidr, IpEndpoint},
};

/// Largest IP packet, in bytes: an Ethernet frame less what the encapsulation adds.
const MTU: usize = 1450;
/// Buffer of each TCP socket, each way, in bytes.
const BUFFER: usize = 16 * 1024;
/// Where the TCP flags stand in a packet without IP options, and three of them.
const FLAGS: usize = 33;
const SYN: u8 = 2;
const RESET: u8 = 4;
const ACK: u8 = 16;
/// Packets taken in per turn, so that a flood can't keep timers from running.
pub const BATCH: usize = 32;

/// The stack: an interface, its sockets and the link.
pub struct Stack {
    interface: Interface,
    sockets: SocketSet<'static>,
    device: Device,
    link: UdpSocket,
    towards: SocketAddr,
    started: Instant,
    resets: u64,
}

impl Stack {
    /// A stack with `address`, that receives on `link` and sends everything to `towards`.
    pub fn new(
        address: Ipv4Addr,
        link: UdpSocket,
        towards: SocketAddr,
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
            towards,
            started: Instant::now(),
            resets: 0,
        })
    }

    /// Receives what has come, runs the protocol, sends what it has to say. Waits for a packet no
    /// longer than `wait`, less if a protocol timer is due before.
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
        for _ in 0..BATCH {
            match self.link.recv(&mut bytes) {
                Ok(len) if self.is_repeated(&bytes[..len]) => {}
                Ok(len) => self.device.received.push_back(bytes[..len].to_vec()),
                Err(_) => break,
            }
            self.link.set_nonblocking(true)?;
        }
        self.interface
            .poll(self.now(), &mut self.device, &mut self.sockets);
        while let Some(packet) = self.device.to_send.pop_front() {
            if packet.get(FLAGS).is_some_and(|flags| flags & RESET != 0) {
                self.resets += 1;
                let Ends { from, to } = Ends::of(&packet);
                log::info!("event=reset-sent from={from} to={to}");
            }
            // A full socket buffer loses the packet as a network would; TCP sends it again.
            let _ = self.link.send_to(&packet, self.towards);
        }
        Ok(())
    }

    /// Whether a packet opens a flow that a socket has, or that opens in this turn already.
    ///
    /// The library gives an opening to the first socket that takes it, and a listening one may come
    /// before the flow's own. An opening that its caller has sent again, as the first waited here for
    /// over a second, would then open the flow twice, with two sequence numbers, and the flow's own
    /// packets be answered by resets. Dropped, it is made good by the first one's answer.
    fn is_repeated(&self, packet: &[u8]) -> bool {
        let opens = |packet: &[u8]| {
            packet
                .get(FLAGS)
                .is_some_and(|flags| flags & (SYN | ACK) == SYN)
        };
        if !opens(packet) {
            return false;
        }
        let remote = Some(Ends::of(packet).from);
        let mut sockets = self.sockets.iter().map(|(_, socket)| match socket {
            smoltcp::socket::Socket::Tcp(socket) => socket,
        });
        let mut received = self.device.received.iter();
        sockets.any(|socket| socket.is_active() && socket.remote_endpoint().map(endpoint) == remote)
            || received.any(|other| opens(other) && Some(Ends::of(other).from) == remote)
    }

    /// Resets sent: answers to packets that belong to no connection here.
    #[must_use]
    pub fn resets(&self) -> u64 {
        self.resets
    }

    /// Adds a closed TCP socket.
    pub fn add(&mut self) -> SocketHandle {
        let buffer = || tcp::SocketBuffer::new(vec![0; BUFFER]);
        let mut socket = tcp::Socket::new(buffer(), buffer());
        socket.set_nagle_enabled(false);
        self.sockets.add(socket)
    }

    /// The TCP socket of `handle`.
    pub fn socket(&mut self, handle: SocketHandle) -> &mut tcp::Socket<'static> {
        self.sockets.get_mut(handle)
    }

    /// Opens a connection from `port` to `remote`.
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

/// Where a TCP packet without IP options comes from and goes to.
struct Ends {
    from: SocketAddrV4,
    to: SocketAddrV4,
}

impl Ends {
    /// Zeroes stand for what a short packet lacks.
    fn of(packet: &[u8]) -> Self {
        let byte = |at: usize| packet.get(at).copied().unwrap_or(0);
        let address = |at: usize| Ipv4Addr::new(byte(at), byte(at + 1), byte(at + 2), byte(at + 3));
        let port = |at: usize| u16::from_be_bytes([byte(at), byte(at + 1)]);
        Ends {
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
