//! The network between the balancers, and between each of them and the platform: passes
//! everything on, and on command cuts chosen directions or lets open connections go silent.
//!
//! It stands at the addresses that balancers advertise. The sender of a datagram is known by its
//! source address, that of a control connection by its first frame.

use std::{
    collections::BTreeMap,
    io,
    net::{Ipv4Addr, SocketAddr, SocketAddrV4},
    str::FromStr,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
    thread,
};

use acacia_wire::collections::{Map, Set};
use tokio::{
    io::{AsyncRead, AsyncReadExt as _, AsyncWrite, AsyncWriteExt as _},
    net::{TcpListener, TcpStream, UdpSocket},
    sync::watch,
    task::JoinSet,
};

use crate::{
    admin::{self, Command, DONE},
    stop::{Flag, POLL},
};

/// Stands for the platform where a balancer's number is expected. No balancer has this number.
pub const PLATFORM: u16 = u16::MAX;

/// Bytes before each frame that tell its length.
const LENGTH: usize = 8;
/// Bytes taken from a connection at once. What a cut holds back beyond them stays with the kernel,
/// and passes after the cut, as TCP sends it again.
const CHUNK: usize = 16 << 10;

/// Addresses.
#[derive(Debug, Clone, clap::Args)]
pub struct Options {
    /// A balancer as NUMBER,ADVERTISED,REAL; the last two are IP numbers.
    #[arg(long = "balancer")]
    pub balancers: Vec<Balancer>,
    /// Port of the encapsulation.
    #[arg(long)]
    pub traffic: u16,
    /// Port of control traffic between balancers.
    #[arg(long)]
    pub control: u16,
    /// The platform, offered to each balancer at its advertised address and the same port.
    #[arg(long)]
    pub platform: SocketAddrV4,
    /// Where commands come in.
    #[arg(long)]
    pub admin: SocketAddr,
}

/// A balancer behind the relay.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Balancer {
    /// Its number.
    pub id: u16,
    /// Where the others reach it.
    pub advertised: Ipv4Addr,
    /// Where it listens.
    pub real: Ipv4Addr,
}

impl FromStr for Balancer {
    type Err = anyhow::Error;

    /// ```
    /// let balancer: acacia_stand::relay::Balancer = "3,127.0.0.43,127.0.0.13".parse()?;
    /// assert_eq!(balancer.id, 3);
    /// # Ok::<(), anyhow::Error>(())
    /// ```
    fn from_str(text: &str) -> anyhow::Result<Self> {
        let parts: Vec<&str> = text.split(',').collect();
        let [id, advertised, real] = parts[..] else {
            anyhow::bail!("expected NUMBER,ADVERTISED,REAL");
        };
        Ok(Balancer {
            id: id.parse()?,
            advertised: advertised.parse()?,
            real: real.parse()?,
        })
    }
}

/// A sender and a receiver.
type Direction = (u16, u16);

/// What does not pass.
#[derive(Debug, Default)]
struct Faults {
    cut: Set<Direction>,
    /// Connections with a number below this are silent for good.
    silent_below: Map<Direction, u64>,
}

/// What all tasks share.
#[derive(Debug)]
struct Shared {
    faults: watch::Sender<Faults>,
    opened: AtomicU64,
    senders: Map<Ipv4Addr, u16>,
    /// Bytes of control traffic passed on, by sender.
    sent: Mutex<BTreeMap<u16, u64>>,
}

impl Shared {
    fn sent(&self) -> MutexGuard<'_, BTreeMap<u16, u64>> {
        self.sent.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Runs until `stop` is raised.
pub fn run(options: &Options, stop: &Flag) -> anyhow::Result<()> {
    let commands = std::net::UdpSocket::bind(options.admin)?;
    commands.set_read_timeout(Some(POLL))?;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    let shared = Arc::new(Shared {
        faults: watch::Sender::default(),
        opened: AtomicU64::new(0),
        senders: options.balancers.iter().map(|b| (b.real, b.id)).collect(),
        sent: Mutex::default(),
    });
    let mut tasks = runtime.block_on(start(options, &shared))?;
    log::info!("event=relay-up balancers={}", options.balancers.len());
    thread::scope(|scope| {
        scope.spawn(|| {
            runtime.block_on(async {
                while !stop.is_raised() {
                    tokio::time::sleep(POLL).await;
                }
                tasks.shutdown().await;
            });
        });
        while !stop.is_raised() {
            if let Err(error) = admin::receive(&commands, |command| obey(&shared, command)) {
                log::warn!("event=command-failed error=\"{error}\"");
            }
        }
    });
    Ok(())
}

async fn start(options: &Options, shared: &Arc<Shared>) -> io::Result<JoinSet<()>> {
    let mut tasks = JoinSet::new();
    for balancer in &options.balancers {
        let at = |port| SocketAddrV4::new(balancer.advertised, port);
        let real = |port| SocketAddrV4::new(balancer.real, port);
        let socket = UdpSocket::bind(at(options.traffic)).await?;
        let (id, state) = (balancer.id, Arc::clone(shared));
        tasks.spawn(datagrams(state, socket, id, real(options.traffic)));

        let listener = TcpListener::bind(at(options.control)).await?;
        let (state, to) = (Arc::clone(shared), real(options.control));
        tasks.spawn(accept(listener, move |stream| {
            control(Arc::clone(&state), stream, id, to)
        }));

        let listener = TcpListener::bind(at(options.platform.port())).await?;
        let (state, to) = (Arc::clone(shared), options.platform);
        tasks.spawn(accept(listener, move |stream| {
            platform(Arc::clone(&state), stream, id, to)
        }));
    }
    Ok(tasks)
}

fn obey(shared: &Shared, command: Command) -> String {
    match command {
        Command::Cut(directions) => shared
            .faults
            .send_modify(|faults| faults.cut = directions.into_iter().collect()),
        Command::Silence(directions) => {
            let below = shared.opened.load(Ordering::Relaxed);
            shared.faults.send_modify(|faults| {
                let silent = directions.into_iter().map(|direction| (direction, below));
                faults.silent_below.extend(silent);
            });
        }
        Command::Sent => return serde_json::json!(*shared.sent()).to_string(),
        _ => return "not for the relay".to_owned(),
    }
    DONE.to_owned()
}

/// Passes on redirected packets for balancer `to`.
async fn datagrams(shared: Arc<Shared>, socket: UdpSocket, to: u16, real: SocketAddrV4) {
    let mut bytes = vec![0; 1 << 16];
    loop {
        // An error tells that an earlier datagram found no listener: that balancer has ended.
        let Ok((len, from)) = socket.recv_from(&mut bytes).await else {
            continue;
        };
        let sender = match from {
            SocketAddr::V4(from) => shared.senders.get(from.ip()),
            SocketAddr::V6(_) => None,
        };
        let cut = sender.is_some_and(|from| shared.faults.borrow().cut.contains(&(*from, to)));
        if !cut {
            // A full socket buffer loses the packet as a network would.
            let _ = socket.send_to(&bytes[..len], real).await;
        }
    }
}

/// Serves each connection in a task, until its own is ended.
async fn accept<F>(listener: TcpListener, serve: impl Fn(TcpStream) -> F)
where
    F: Future<Output = io::Result<()>> + Send + 'static,
{
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            accepted = listener.accept() => {
                if let Ok((stream, _)) = accepted {
                    connections.spawn(serve(stream));
                }
            }
            // How a connection ended is told to both its ends by closing them.
            Some(_) = connections.join_next() => {}
        }
    }
}

/// Passes on one control connection towards balancer `to`.
async fn control(
    shared: Arc<Shared>,
    mut stream: TcpStream,
    to: u16,
    real: SocketAddrV4,
) -> io::Result<()> {
    let number = shared.opened.fetch_add(1, Ordering::Relaxed);
    let mut onward = TcpStream::connect(real).await?;
    let mut start = [0; LENGTH + 2];
    stream.read_exact(&mut start).await?;
    let from = u16::from_be_bytes([start[LENGTH], start[LENGTH + 1]]);
    let pass = Pass {
        shared,
        direction: (from, to),
        number,
    };
    let (read, mut back) = stream.split();
    let (mut answers, write) = onward.split();
    tokio::select! {
        ended = pass.run(&start, read, write) => ended,
        ended = tokio::io::copy(&mut answers, &mut back) => ended.map(|_| ()),
    }
}

/// Passes on one connection of balancer `from` to the platform.
async fn platform(
    shared: Arc<Shared>,
    mut stream: TcpStream,
    from: u16,
    real: SocketAddrV4,
) -> io::Result<()> {
    let number = shared.opened.fetch_add(1, Ordering::Relaxed);
    let mut onward = TcpStream::connect(real).await?;
    let pass = |direction| Pass {
        shared: Arc::clone(&shared),
        direction,
        number,
    };
    let (there, here) = (pass((from, PLATFORM)), pass((PLATFORM, from)));
    let (calls, back) = stream.split();
    let (answers, forth) = onward.split();
    tokio::select! {
        ended = there.run(&[], calls, forth) => ended,
        ended = here.run(&[], answers, back) => ended,
    }
}

/// One direction of a connection.
struct Pass {
    shared: Arc<Shared>,
    direction: Direction,
    number: u64,
}

impl Pass {
    /// Passes on `first` and then what is read, until the end of the input.
    async fn run(
        &self,
        first: &[u8],
        mut from: impl AsyncRead + Unpin,
        mut to: impl AsyncWrite + Unpin,
    ) -> io::Result<()> {
        self.write(first, &mut to).await?;
        let mut bytes = vec![0; CHUNK];
        loop {
            let len = from.read(&mut bytes).await?;
            if len == 0 {
                return self.end().await;
            }
            self.write(&bytes[..len], &mut to).await?;
        }
    }

    /// Waits until the direction is not cut; gives whether the connection is silent.
    async fn is_silent(&self) -> bool {
        let mut faults = self.shared.faults.subscribe();
        let open = faults.wait_for(|faults| !faults.cut.contains(&self.direction));
        open.await.is_ok_and(|faults| {
            let below = faults.silent_below.get(&self.direction);
            below.is_some_and(|below| self.number < *below)
        })
    }

    /// The end of the input passes like bytes: after a cut, and never on a silent connection.
    async fn end(&self) -> io::Result<()> {
        if self.is_silent().await {
            std::future::pending::<()>().await;
        }
        Ok(())
    }

    /// Writes once the direction is not cut; writes nothing on a silent connection.
    async fn write(&self, bytes: &[u8], to: &mut (impl AsyncWrite + Unpin)) -> io::Result<()> {
        if self.is_silent().await {
            return Ok(());
        }
        let (from, to_id) = self.direction;
        if from != PLATFORM && to_id != PLATFORM {
            *self.shared.sent().entry(from).or_default() += bytes.len() as u64;
        }
        to.write_all(bytes).await
    }
}
