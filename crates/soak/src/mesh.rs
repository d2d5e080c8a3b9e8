//! The other balancers' way to a balancer: a relay on loopback that can fail in the ways of a
//! network. What the balancer itself sends goes out by the relays of the others, so that trouble
//! here is trouble in one direction.

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

/// What happens to what passes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[repr(u8)]
pub enum Trouble {
    /// Nothing.
    None,
    /// Nothing comes through.
    Cut,
    /// Every third datagram is lost.
    Lossy,
    /// Each comes twice, the second time 300 ms late.
    Late,
}

const TROUBLES: [Trouble; 4] = [Trouble::None, Trouble::Cut, Trouble::Lossy, Trouble::Late];

/// How late a late datagram is.
const LATE: Duration = Duration::from_millis(300);
/// Longest datagram, in bytes.
const LARGEST: usize = 9_000;

/// A running relay, for datagrams and connections; it ends when dropped.
#[derive(Debug)]
pub struct Relay {
    trouble: Arc<AtomicU8>,
    connections: Proxy,
    _tasks: JoinSet<()>,
}

impl Relay {
    /// Starts one between `listen` and `target`.
    ///
    /// # Errors
    /// When the address is taken.
    pub async fn start(listen: SocketAddr, target: SocketAddr) -> io::Result<Self> {
        let socket = UdpSocket::bind(listen).await?;
        let connections = Proxy::start(listen, target).await?;
        let trouble = Arc::new(AtomicU8::new(Trouble::None as u8));
        let mut tasks = JoinSet::new();
        tasks.spawn(carry(Arc::new(socket), target, Arc::clone(&trouble)));
        Ok(Relay {
            trouble,
            connections,
            _tasks: tasks,
        })
    }

    /// Sets what happens to connections alone from now on.
    pub fn set_connection_trouble(&self, trouble: proxy::Trouble) {
        self.connections.set_trouble(trouble);
    }

    /// Sets what happens from now on.
    pub fn set_trouble(&self, trouble: Trouble) {
        self.trouble.store(trouble as u8, Ordering::Relaxed);
        self.connections.set_trouble(match trouble {
            Trouble::Cut => proxy::Trouble::Silent,
            Trouble::Late => proxy::Trouble::Slow,
            Trouble::None | Trouble::Lossy => proxy::Trouble::None,
        });
    }
}

async fn carry(socket: Arc<UdpSocket>, target: SocketAddr, trouble: Arc<AtomicU8>) {
    let mut buffer = vec![0; LARGEST];
    let mut late = JoinSet::new();
    let mut count: u32 = 0;
    loop {
        while late.try_join_next().is_some() {}
        // A balancer that does not run answers a datagram with an error on the socket, which says
        // nothing of the next one.
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
                    time::sleep(LATE).await;
                    // One that can't be sent is lost, as any datagram may be.
                    let _ = socket.send_to(&bytes, target).await;
                });
            }
            Trouble::None | Trouble::Lossy => {}
        }
        // Likewise.
        let _ = socket.send_to(&buffer[..length], target).await;
    }
}
