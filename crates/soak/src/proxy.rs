//! A balancer's way to the store: a proxy on loopback that can fail in the ways of a network.

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

/// What happens to what passes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[repr(u8)]
pub enum Trouble {
    /// Nothing.
    None,
    /// New connections are accepted and closed.
    Refused,
    /// Bytes vanish in both directions, on open connections and new ones.
    Silent,
    /// What the store answers vanishes; calls reach it.
    OneWay,
    /// Open connections carry nothing any more, for good; new ones work.
    Forgotten,
    /// Bytes are held for 200 ms.
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

/// How long a slow proxy holds bytes.
const DELAY: Duration = Duration::from_millis(200);

#[derive(Debug, Default)]
struct Shared {
    trouble: AtomicU8,
    /// Connections with a lower number carry nothing any more.
    forgotten: AtomicU64,
    next: AtomicU64,
}

/// A running proxy; it ends when dropped.
#[derive(Debug)]
pub struct Proxy {
    shared: Arc<Shared>,
    _tasks: JoinSet<()>,
}

impl Proxy {
    /// Starts one between `listen` and `target`.
    ///
    /// # Errors
    /// When the address is taken.
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

    /// Sets what happens from now on.
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
                    connections.spawn(carry(stream, target, Arc::clone(&shared)));
                }
            }
            Some(_) = connections.join_next() => {}
        }
    }
}

async fn carry(stream: TcpStream, target: SocketAddr, shared: Arc<Shared>) {
    let number = shared.next.fetch_add(1, Ordering::Relaxed);
    if shared.trouble(number) == Trouble::Refused {
        return;
    }
    let Ok(onward) = TcpStream::connect(target).await else {
        return;
    };
    let (near_in, near_out) = stream.into_split();
    let (far_in, far_out) = onward.into_split();
    tokio::join!(
        pump(near_in, far_out, &shared, number, false),
        pump(far_in, near_out, &shared, number, true),
    );
}

/// Carries one direction of a connection until it ends.
async fn pump(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    shared: &Shared,
    number: u64,
    answers: bool,
) {
    let mut buffer = vec![0; 16 * 1_024];
    while let Ok(length) = from.read(&mut buffer).await {
        let trouble = shared.trouble(number);
        let vanishes = match trouble {
            Trouble::Silent | Trouble::Forgotten => true,
            Trouble::OneWay => answers,
            Trouble::None | Trouble::Refused | Trouble::Slow => false,
        };
        match (vanishes, length) {
            // The end of a connection vanishes like its bytes.
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
