//! The network among the balancers, and between each of them and the platform. It forwards all
//! traffic, and on command blocks chosen directions or discards what open connections carry.
//!
//! The relay listens on the addresses that balancers advertise. It identifies the sender of a
//! datagram by the source address, and that of a control connection by the first frame.

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

/// Identifies the platform in a direction, in place of a balancer's number. No balancer has this
/// number.
pub const PLATFORM: u16 = u16::MAX;

/// Size of the length field before each frame, in bytes.
const LENGTH_FIELD_BYTES: usize = 8;
/// Maximum number of bytes read from a connection at once. While a direction is blocked, the bytes
/// beyond these stay in the kernel's buffers. They are forwarded once it is open again, as TCP would
/// retransmit them after an outage.
const READ_BUFFER_BYTES: usize = 16 << 10;

/// Addresses of the balancers, the platform and the administration socket.
#[derive(Debug, Clone, clap::Args)]
pub struct Options {
    /// A balancer as NUMBER,ADVERTISED,REAL, where the last two are IPv4 addresses.
    #[arg(long = "balancer")]
    pub balancers: Vec<Balancer>,
    /// Port of encapsulated packets.
    #[arg(long)]
    pub traffic: u16,
    /// Port of control traffic between balancers.
    #[arg(long)]
    pub control: u16,
    /// Address of the platform. Each balancer reaches it through the relay, at the balancer's
    /// advertised address and the platform's port.
    #[arg(long)]
    pub platform: SocketAddrV4,
    /// Address that receives administration commands.
    #[arg(long)]
    pub admin: SocketAddr,
}

/// A balancer behind the relay.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Balancer {
    /// The balancer's number.
    pub id: u16,
    /// Advertised address, at which the other balancers reach it through the relay.
    pub advertised: Ipv4Addr,
    /// Address on which the balancer listens.
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

/// The numbers of a sender and a receiver.
type Direction = (u16, u16);

/// Traffic that is not forwarded.
#[derive(Debug, Default)]
struct Faults {
    cut: Set<Direction>,
    /// For each direction, the number below which connections are silent: bytes read from them are
    /// discarded for good.
    silent_below: Map<Direction, u64>,
}

/// State shared by all tasks.
#[derive(Debug)]
struct Shared {
    faults: watch::Sender<Faults>,
    opened: AtomicU64,
    senders: Map<Ipv4Addr, u16>,
    /// Bytes of control traffic forwarded, by sender.
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
            if let Err(error) = admin::receive(&commands, |command| execute(&shared, command)) {
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
        tasks.spawn(forward_datagrams(state, socket, id, real(options.traffic)));

        let listener = TcpListener::bind(at(options.control)).await?;
        let (state, to) = (Arc::clone(shared), real(options.control));
        tasks.spawn(accept(listener, move |stream| {
            forward_control(Arc::clone(&state), stream, id, to)
        }));

        let listener = TcpListener::bind(at(options.platform.port())).await?;
        let (state, to) = (Arc::clone(shared), options.platform);
        tasks.spawn(accept(listener, move |stream| {
            forward_platform(Arc::clone(&state), stream, id, to)
        }));
    }
    Ok(tasks)
}

fn execute(shared: &Shared, command: Command) -> String {
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
        _ => return "the relay doesn't support this command".to_owned(),
    }
    DONE.to_owned()
}

/// Forwards redirected packets to balancer `to`.
async fn forward_datagrams(shared: Arc<Shared>, socket: UdpSocket, to: u16, real: SocketAddrV4) {
    let mut bytes = vec![0; 1 << 16];
    loop {
        // An error reports that an earlier datagram found no listener, because the balancer has
        // stopped.
        let Ok((len, from)) = socket.recv_from(&mut bytes).await else {
            continue;
        };
        let sender = match from {
            SocketAddr::V4(from) => shared.senders.get(from.ip()),
            SocketAddr::V6(_) => None,
        };
        let cut = sender.is_some_and(|from| shared.faults.borrow().cut.contains(&(*from, to)));
        if !cut {
            // A packet that doesn't fit the socket buffer is lost, as in a network.
            let _ = socket.send_to(&bytes[..len], real).await;
        }
    }
}

/// Accepts connections and serves each in a task of its own. They end when the task that runs this
/// function is aborted.
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
            // The result is ignored: both peers learn of the end when their connections close.
            Some(_) = connections.join_next() => {}
        }
    }
}

/// Forwards one control connection to balancer `to`.
async fn forward_control(
    shared: Arc<Shared>,
    mut stream: TcpStream,
    to: u16,
    real: SocketAddrV4,
) -> io::Result<()> {
    let number = shared.opened.fetch_add(1, Ordering::Relaxed);
    let mut upstream = TcpStream::connect(real).await?;
    let mut start = [0; LENGTH_FIELD_BYTES + 2];
    stream.read_exact(&mut start).await?;
    let from = u16::from_be_bytes([start[LENGTH_FIELD_BYTES], start[LENGTH_FIELD_BYTES + 1]]);
    let forwarder = Forwarder {
        shared,
        direction: (from, to),
        number,
    };
    let (read, mut write_back) = stream.split();
    let (mut answers, write_upstream) = upstream.split();
    tokio::select! {
        ended = forwarder.run(&start, read, write_upstream) => ended,
        ended = tokio::io::copy(&mut answers, &mut write_back) => ended.map(|_| ()),
    }
}

/// Forwards one connection of balancer `from` to the platform, in both directions.
async fn forward_platform(
    shared: Arc<Shared>,
    mut stream: TcpStream,
    from: u16,
    real: SocketAddrV4,
) -> io::Result<()> {
    let number = shared.opened.fetch_add(1, Ordering::Relaxed);
    let mut upstream = TcpStream::connect(real).await?;
    let forwarder = |direction| Forwarder {
        shared: Arc::clone(&shared),
        direction,
        number,
    };
    let (to_platform, from_platform) = (forwarder((from, PLATFORM)), forwarder((PLATFORM, from)));
    let (calls, write_back) = stream.split();
    let (answers, write_upstream) = upstream.split();
    tokio::select! {
        ended = to_platform.run(&[], calls, write_upstream) => ended,
        ended = from_platform.run(&[], answers, write_back) => ended,
    }
}

/// Forwards one direction of a connection.
struct Forwarder {
    shared: Arc<Shared>,
    direction: Direction,
    number: u64,
}

impl Forwarder {
    /// Forwards `first` and then the bytes read from `from`, until the end of the input.
    async fn run(
        &self,
        first: &[u8],
        mut from: impl AsyncRead + Unpin,
        mut to: impl AsyncWrite + Unpin,
    ) -> io::Result<()> {
        self.write(first, &mut to).await?;
        let mut bytes = vec![0; READ_BUFFER_BYTES];
        loop {
            let len = from.read(&mut bytes).await?;
            if len == 0 {
                return self.forward_end().await;
            }
            self.write(&bytes[..len], &mut to).await?;
        }
    }

    /// Waits until the direction is not blocked, and returns whether the connection is silent.
    async fn is_silent(&self) -> bool {
        let mut faults = self.shared.faults.subscribe();
        let open = faults.wait_for(|faults| !faults.cut.contains(&self.direction));
        open.await.is_ok_and(|faults| {
            let below = faults.silent_below.get(&self.direction);
            below.is_some_and(|below| self.number < *below)
        })
    }

    /// Forwards the end of the input: once the direction is not blocked, and never on a silent
    /// connection.
    async fn forward_end(&self) -> io::Result<()> {
        if self.is_silent().await {
            std::future::pending::<()>().await;
        }
        Ok(())
    }

    /// Writes once the direction is not blocked. Discards the bytes on a silent connection.
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
