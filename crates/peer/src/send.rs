use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use acacia_code::Code;
use futures_util::SinkExt as _;
use rand::{RngExt as _, SeedableRng as _};
use rand_pcg::Pcg64Mcg;
use tokio::io::AsyncReadExt as _;
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::task::JoinError;
use tokio::time::{Instant, sleep, timeout};
use tokio_util::codec::{FramedWrite, LengthDelimitedCodec};
use tokio_util::task::JoinMap;

use crate::frame::codec;
use crate::shared::Shared;
use crate::state::Frame;

/// How often silence, idleness and the budget are looked at when nothing else happens.
const TICK: Duration = Duration::from_millis(50);
/// First wait between two attempts to connect; it doubles up to [`RECONNECT_MOST`].
const RECONNECT: Duration = Duration::from_millis(100);
/// Longest wait between two attempts to connect, and longest time that one attempt may take: a peer
/// without power answers nothing at all.
const RECONNECT_MOST: Duration = Duration::from_secs(2);

/// A connection that lasted for so long was wanted by the peer. One that accepts and closes at once has
/// no place for it, and is dialled ever more rarely.
const STABLE: Duration = RECONNECT_MOST;

type Writer = FramedWrite<OwnedWriteHalf, LengthDelimitedCodec>;

/// Keeps one connection to each peer, until dropped.
pub(crate) async fn run(shared: Arc<Shared>, seed: u64) {
    let mut random = Pcg64Mcg::seed_from_u64(seed);
    let mut links: JoinMap<(u16, SocketAddr), ()> = JoinMap::new();
    loop {
        let peers = shared.lock().addresses();
        links.abort_matching(|(id, address)| peers.get(id) != Some(address));
        for (id, address) in peers {
            if links.contains_key(&(id, address)) {
                continue;
            }
            let link = Link {
                shared: Arc::clone(&shared),
                id,
                address,
                random: Pcg64Mcg::seed_from_u64(random.random()),
                unsent: None,
            };
            links.spawn((id, address), link.run());
        }
        tokio::select! {
            () = shared.peers_changed.notified() => {}
            Some(((id, address), ended)) = links.join_next() => note_end(id, address, ended).await,
        }
    }
}

/// A link ends by itself only by a fault. Its peer is dialled again, and not at once: the fault may
/// come back.
async fn note_end(id: u16, address: SocketAddr, ended: Result<(), JoinError>) {
    let Err(error) = ended else { return };
    if !error.is_cancelled() {
        log::error!("event=link-panicked peer={id} address={address} error=\"{error}\"");
        sleep(RECONNECT_MOST).await;
    }
}

/// Why a connection ended.
enum End {
    /// What was sent over it was not echoed.
    Silent,
    /// The peer closed it, or it failed.
    Closed(io::Error),
}

/// The connection to one peer.
struct Link {
    shared: Arc<Shared>,
    id: u16,
    address: SocketAddr,
    random: Pcg64Mcg,
    /// A frame that the last connection did not take whole.
    unsent: Option<Frame>,
}

impl Link {
    /// Connects, and connects again whenever the connection ends.
    async fn run(mut self) {
        let mut pause = RECONNECT;
        loop {
            let (id, address) = (self.id, self.address);
            match self.connect().await {
                Ok(stream) => {
                    let opened = Instant::now();
                    match self.serve(stream).await {
                        End::Silent => {
                            self.shared.lock().redialled(id);
                            let code = Code::ControlSilent;
                            log::warn!("event=redial code={code} peer={id} address={address}");
                            continue;
                        }
                        End::Closed(error) => {
                            log::debug!("event=connection_ended peer={id} error={error:?}");
                        }
                    }
                    if opened.elapsed() >= STABLE {
                        pause = RECONNECT;
                    }
                }
                Err(error) => {
                    log::debug!("event=dial_failed peer={id} address={address} error={error:?}");
                }
            }
            // Drawn at random: balancers that lost each other at one moment would else all dial together.
            sleep(pause.mul_f64(self.random.random_range(0.5..1.0))).await;
            pause = (pause * 2).min(RECONNECT_MOST);
        }
    }

    async fn connect(&self) -> io::Result<TcpStream> {
        let stream = timeout(RECONNECT_MOST, TcpStream::connect(self.address)).await??;
        stream.set_nodelay(true)?;
        self.shared.lock().connected(self.id);
        Ok(stream)
    }

    /// Sends over a connection until it ends.
    async fn serve(&mut self, stream: TcpStream) -> End {
        let jitter = self.random.random();
        let (reader, writer) = stream.into_split();
        let writer = FramedWrite::new(writer, codec());
        let (shared, id) = (Arc::clone(&self.shared), self.id);
        tokio::select! {
            error = self.send(writer) => End::Closed(error),
            error = closed(reader) => End::Closed(error),
            () = silence(&shared, id, jitter) => End::Silent,
        }
    }

    /// Opens the connection and sends what may pass; gives why it can't any more.
    async fn send(&mut self, mut writer: Writer) -> io::Error {
        if let Err(error) = self.open(&mut writer).await {
            return error;
        }
        loop {
            if self.unsent.is_none() {
                self.unsent = self.shared.lock().next_frame(self.id);
            }
            let Some(frame) = &self.unsent else {
                self.wait().await;
                continue;
            };
            if let Err(error) = writer.send(frame.bytes.clone()).await {
                return error;
            }
            self.shared.lock().count_sent(self.id, frame.bytes.len());
            self.unsent = None;
        }
    }

    /// Sends the frame that a connection begins with, and prepares the one that the last did not take.
    async fn open(&mut self, writer: &mut Writer) -> io::Result<()> {
        let opening = self.shared.lock().opening(self.id);
        if let Some(opening) = opening {
            writer.send(opening.bytes.clone()).await?;
            self.shared.lock().count_sent(self.id, opening.bytes.len());
        }
        if let Some(frame) = self.unsent.take() {
            self.unsent = self.shared.lock().reseal(self.id, frame);
        }
        Ok(())
    }

    /// Waits for something to send.
    async fn wait(&self) {
        let queued = self.shared.lock().queued(self.id);
        match queued {
            // Elapsed: the budget or the keepalive may let something pass now.
            Some(queued) => drop(timeout(TICK, queued.notified()).await),
            None => sleep(TICK).await,
        }
    }
}

/// Waits until the peer closes the connection. It sends nothing on it.
async fn closed(mut reader: OwnedReadHalf) -> io::Error {
    let mut byte = [0];
    match reader.read(&mut byte).await {
        Ok(0) => io::ErrorKind::UnexpectedEof.into(),
        Ok(_) => io::ErrorKind::InvalidData.into(),
        Err(error) => error,
    }
}

/// Waits until the connection to a peer has gone silent.
async fn silence(shared: &Shared, id: u16, jitter: f64) {
    loop {
        sleep(TICK).await;
        if shared.lock().is_silent(id, jitter) {
            return;
        }
    }
}
