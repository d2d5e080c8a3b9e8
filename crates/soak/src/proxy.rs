//! A loopback TCP proxy between a balancer and the store that injects network faults.

use std::{
    io,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU8, AtomicU64, Ordering},
    },
    time::Duration,
};

use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::{
        TcpListener, TcpStream,
        tcp::{OwnedReadHalf, OwnedWriteHalf},
    },
    task::JoinSet,
    time,
};

/// The fault that the proxy injects.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[repr(u8)]
pub enum Trouble {
    /// Traffic passes unchanged.
    None,
    /// New connections are accepted and closed at once.
    Refused,
    /// Bytes are dropped in both directions, on open and new connections.
    Silent,
    /// Requests reach the store, but its responses are dropped.
    OneWay,
    /// Connections that are open now drop all bytes until they are closed; new ones work.
    Forgotten,
    /// Each read is forwarded after a delay of 200 ms.
    Slow,
}

const TROUBLES: [Trouble; 6] = [
    Trouble::None,
    Trouble::Refused,
    Trouble::Silent,
    Trouble::OneWay,
    Trouble::Forgotten,
    Trouble::Slow,
];

/// Delay of each read under [`Trouble::Slow`].
const DELAY: Duration = Duration::from_millis(200);

#[derive(Debug, Default)]
struct Shared {
    trouble: AtomicU8,
    /// Connections with a lower number drop all bytes.
    forgotten: AtomicU64,
    next: AtomicU64,
}

/// A running proxy; it stops when dropped.
#[derive(Debug)]
pub struct Proxy {
    shared: Arc<Shared>,
    _tasks: JoinSet<()>,
}

impl Proxy {
    /// Starts a proxy from `listen` to `target`.
    ///
    /// # Errors
    /// When `listen` is already in use.
    pub async fn start(listen: SocketAddr, target: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind(listen).await?;
        let shared = Arc::new(Shared::default());
        let mut tasks = JoinSet::new();
        tasks.spawn(accept(listener, target, Arc::clone(&shared)));
        Ok(Proxy {
            shared,
            _tasks: tasks,
        })
    }

    /// Sets the fault. [`Trouble::Forgotten`] applies to the connections that are open now and
    /// leaves the fault of the others as it is.
    pub fn set_trouble(&self, trouble: Trouble) {
        if trouble == Trouble::Forgotten {
            let next = self.shared.next.load(Ordering::Relaxed);
            self.shared.forgotten.store(next, Ordering::Relaxed);
            return;
        }
        self.shared.trouble.store(trouble as u8, Ordering::Relaxed);
    }
}

impl Shared {
    fn trouble(&self, connection: u64) -> Trouble {
        if connection < self.forgotten.load(Ordering::Relaxed) {
            return Trouble::Forgotten;
        }
        TROUBLES[usize::from(self.trouble.load(Ordering::Relaxed))]
    }
}

async fn accept(listener: TcpListener, target: SocketAddr, shared: Arc<Shared>) {
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            accepted = listener.accept() => {
                if let Ok((stream, _)) = accepted {
                    connections.spawn(serve(stream, target, Arc::clone(&shared)));
                }
            }
            Some(_) = connections.join_next() => {}
        }
    }
}

async fn serve(stream: TcpStream, target: SocketAddr, shared: Arc<Shared>) {
    let number = shared.next.fetch_add(1, Ordering::Relaxed);
    if shared.trouble(number) == Trouble::Refused {
        return;
    }
    let Ok(upstream) = TcpStream::connect(target).await else {
        return;
    };
    let (client_read, client_write) = stream.into_split();
    let (target_read, target_write) = upstream.into_split();
    tokio::join!(
        copy(client_read, target_write, &shared, number, false),
        copy(target_read, client_write, &shared, number, true),
    );
}

/// Copies one direction of a connection until it ends.
async fn copy(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    shared: &Shared,
    number: u64,
    is_response: bool,
) {
    let mut buffer = vec![0; 16 * 1_024];
    while let Ok(length) = from.read(&mut buffer).await {
        let trouble = shared.trouble(number);
        let is_dropped = match trouble {
            Trouble::Silent | Trouble::Forgotten => true,
            Trouble::OneWay => is_response,
            Trouble::None | Trouble::Refused | Trouble::Slow => false,
        };
        match (is_dropped, length) {
            // The end of the stream is dropped too, so the peer keeps the connection open.
            (true, 0) => return std::future::pending().await,
            (true, _) => continue,
            (false, 0) => break,
            (false, _) => {}
        }
        if trouble == Trouble::Slow {
            time::sleep(DELAY).await;
        }
        if to.write_all(&buffer[..length]).await.is_err() {
            break;
        }
    }
}
