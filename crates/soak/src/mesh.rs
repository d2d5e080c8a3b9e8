//! A loopback relay in front of a balancer's control port that injects network faults. It carries
//! what the other balancers send to this one; traffic in the other direction passes through the
//! relays of its receivers, so a fault set here affects one direction only.

use std::{
    io,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU8, Ordering},
    },
    time::Duration,
};

use tokio::{net::UdpSocket, task::JoinSet, time};

use crate::proxy::{self, Proxy};

/// The fault that the relay injects.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[repr(u8)]
pub enum Trouble {
    /// Traffic passes unchanged.
    None,
    /// All traffic is dropped.
    Cut,
    /// Every third datagram is lost.
    Lossy,
    /// Every datagram is delivered twice, the second time after 300 ms; stream data is delayed.
    Late,
}

const TROUBLES: [Trouble; 4] = [Trouble::None, Trouble::Cut, Trouble::Lossy, Trouble::Late];

/// Delay of the duplicate of a datagram.
const DUPLICATE_DELAY: Duration = Duration::from_millis(300);
/// Longest datagram, in bytes.
const MAX_DATAGRAM: usize = 9_000;

/// A running relay for UDP and TCP; it stops when dropped.
#[derive(Debug)]
pub struct Relay {
    trouble: Arc<AtomicU8>,
    connections: Proxy,
    _tasks: JoinSet<()>,
}

impl Relay {
    /// Starts a relay from `listen` to `target`.
    ///
    /// # Errors
    /// When `listen` is already in use.
    pub async fn start(listen: SocketAddr, target: SocketAddr) -> io::Result<Self> {
        let socket = UdpSocket::bind(listen).await?;
        let connections = Proxy::start(listen, target).await?;
        let trouble = Arc::new(AtomicU8::new(Trouble::None as u8));
        let mut tasks = JoinSet::new();
        tasks.spawn(relay_datagrams(
            Arc::new(socket),
            target,
            Arc::clone(&trouble),
        ));
        Ok(Relay {
            trouble,
            connections,
            _tasks: tasks,
        })
    }

    /// Sets the fault of TCP connections only.
    pub fn set_connection_trouble(&self, trouble: proxy::Trouble) {
        self.connections.set_trouble(trouble);
    }

    /// Sets the fault of datagrams and the corresponding one of connections.
    pub fn set_trouble(&self, trouble: Trouble) {
        self.trouble.store(trouble as u8, Ordering::Relaxed);
        self.connections.set_trouble(match trouble {
            Trouble::Cut => proxy::Trouble::Silent,
            Trouble::Late => proxy::Trouble::Slow,
            Trouble::None | Trouble::Lossy => proxy::Trouble::None,
        });
    }
}

async fn relay_datagrams(socket: Arc<UdpSocket>, target: SocketAddr, trouble: Arc<AtomicU8>) {
    let mut buffer = vec![0; MAX_DATAGRAM];
    let mut late = JoinSet::new();
    let mut count: u32 = 0;
    loop {
        while late.try_join_next().is_some() {}
        // The socket may report an error for an earlier datagram, as when the balancer is not
        // running. Later datagrams are not affected.
        let Ok(length) = socket.recv(&mut buffer).await else {
            continue;
        };
        count = count.wrapping_add(1);
        match TROUBLES[usize::from(trouble.load(Ordering::Relaxed))] {
            Trouble::Cut => continue,
            Trouble::Lossy if count.is_multiple_of(3) => continue,
            Trouble::Late => {
                let (socket, bytes) = (Arc::clone(&socket), buffer[..length].to_vec());
                late.spawn(async move {
                    time::sleep(DUPLICATE_DELAY).await;
                    // A failed send counts as a lost datagram.
                    let _ = socket.send_to(&bytes, target).await;
                });
            }
            Trouble::None | Trouble::Lossy => {}
        }
        // A failed send counts as a lost datagram.
        let _ = socket.send_to(&buffer[..length], target).await;
    }
}
