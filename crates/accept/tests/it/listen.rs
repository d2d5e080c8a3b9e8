use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use acacia_accept::{Limiter, Limits, Slot, listen};
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::{TcpListener, TcpStream},
    task::JoinHandle,
    time::{sleep, timeout},
};
use tokio_util::sync::CancellationToken;

const LIMITS: Limits = Limits {
    pending: 4,
    active: 2,
    pending_timeout: Duration::from_millis(200),
    idle_timeout: Duration::from_millis(600),
    stalled_after: Duration::from_millis(100),
};
/// Timeout of a read or an exchange: far longer than either takes even on a busy machine.
const TIMEOUT: Duration = Duration::from_secs(10);

/// A server that echoes each byte. Zero is not a valid message, 255 makes the connection's task
/// panic, and all other bytes are valid messages.
struct Server {
    address: SocketAddr,
    limiter: Arc<Limiter>,
    stop: CancellationToken,
    task: JoinHandle<()>,
}

impl Server {
    async fn start() -> Server {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let address = listener.local_addr().expect("bound");
        let limiter = Arc::new(Limiter::new("test", LIMITS));
        let stop = CancellationToken::new();
        let (server_stop, server_limiter) = (stop.clone(), Arc::clone(&limiter));
        let task = tokio::spawn(listen(listener, server_stop, server_limiter, echo));
        Server {
            address,
            limiter,
            stop,
            task,
        }
    }

    async fn connect(&self) -> TcpStream {
        let connected = TcpStream::connect(self.address).await;
        connected.expect("connects")
    }
}

async fn echo(mut stream: TcpStream, slot: Arc<Slot>) {
    let mut byte = [0];
    while let Ok(1) = stream.read(&mut byte).await {
        assert!(byte[0] != 255, "a message that makes the task panic");
        if byte[0] != 0 && !slot.activate() {
            return;
        }
        if stream.write_all(&byte).await.is_err() {
            return;
        }
    }
}

/// Sends a byte and returns whether it is echoed.
async fn is_answered(stream: &mut TcpStream, byte: u8) -> bool {
    let mut answer = [0];
    let exchange = async {
        stream.write_all(&[byte]).await?;
        stream.read_exact(&mut answer).await
    };
    matches!(timeout(TIMEOUT, exchange).await, Ok(Ok(_))) && answer == [byte]
}

/// Waits for the server to close the connection; false if it sends data or nothing happens.
async fn is_closed(stream: &mut TcpStream) -> bool {
    let mut byte = [0];
    matches!(
        timeout(TIMEOUT, stream.read(&mut byte)).await,
        Ok(Ok(0) | Err(_))
    )
}

#[tokio::test]
async fn silent_connections_do_not_keep_others_out() {
    let server = Server::start().await;
    let mut silent = vec![];
    for _ in 0..20 {
        silent.push(server.connect().await);
    }

    let mut working = server.connect().await;

    assert!(is_answered(&mut working, 1).await);
    let stats = server.limiter.stats();
    assert_eq!(
        (stats.accepted, stats.displaced >= 16),
        (21, true),
        "{stats:?}"
    );
}

#[tokio::test]
async fn a_connection_without_a_valid_message_is_closed_at_its_deadline() {
    let server = Server::start().await;
    let start = Instant::now();
    let mut trickling = server.connect().await;

    while is_answered(&mut trickling, 0).await {
        sleep(Duration::from_millis(20)).await;
    }

    assert!(start.elapsed() >= LIMITS.pending_timeout);
    assert_eq!(server.limiter.stats().expired, 1);
    assert_eq!(server.limiter.open_connections(), (0, 0));
}

#[tokio::test]
async fn a_stalled_connection_is_closed_for_one_that_becomes_active() {
    let server = Server::start().await;
    let (mut one, mut two) = (server.connect().await, server.connect().await);
    assert!(is_answered(&mut one, 1).await && is_answered(&mut two, 2).await);
    sleep(LIMITS.stalled_after).await;

    let mut three = server.connect().await;

    assert!(is_answered(&mut three, 3).await);
    assert!(is_closed(&mut one).await);
    assert!(is_answered(&mut two, 2).await);
    assert_eq!(server.limiter.stats().stalled, 1);
}

#[tokio::test]
async fn a_connection_whose_task_panics_is_counted_and_leaves_others_open() {
    let server = Server::start().await;
    let mut other = server.connect().await;
    assert!(is_answered(&mut other, 1).await);

    let mut fatal = server.connect().await;
    assert!(!is_answered(&mut fatal, 255).await);

    assert!(is_answered(&mut other, 2).await);
    assert_eq!(server.limiter.stats().panicked, 1);
}

#[tokio::test]
async fn a_server_that_stops_closes_all_connections() {
    let server = Server::start().await;
    let mut open = server.connect().await;
    assert!(is_answered(&mut open, 1).await);

    server.stop.cancel();

    server.task.await.expect("no panic");
    assert!(is_closed(&mut open).await);
}
