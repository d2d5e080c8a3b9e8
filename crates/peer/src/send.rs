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

/// How often a connection checks for silence, a due keepalive and room in the budget when no
/// message is queued.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// First delay between two attempts to connect; it doubles up to [`MAX_RECONNECT_DELAY`].
const MIN_RECONNECT_DELAY: Duration = Duration::from_millis(100);
/// Longest delay between two attempts to connect, and timeout of a single attempt: a host without
/// power doesn't even refuse the connection.
const MAX_RECONNECT_DELAY: Duration = Duration::from_secs(2);
/// How long a connection has to last before the delay is reset. A peer at its limit of connections
/// accepts and closes them at once, and is therefore dialled less and less often.
const STABLE_AFTER: Duration = MAX_RECONNECT_DELAY;

type Writer = FramedWrite<OwnedWriteHalf, LengthDelimitedCodec>;

/// Keeps one outgoing connection to each peer, until dropped.
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
            Some(((id, address), ended)) = links.join_next() => on_panic(id, address, ended).await,
        }
    }
}

/// Logs the panic of a link's task and waits. Tasks of links end by themselves only if they panic,
/// and since that may happen again, the peer isn't dialled again at once.
async fn on_panic(id: u16, address: SocketAddr, ended: Result<(), JoinError>) {
    let Err(error) = ended else { return };
    if !error.is_cancelled() {
        log::error!("event=link-panicked peer={id} address={address} error=\"{error}\"");
        sleep(MAX_RECONNECT_DELAY).await;
    }
}

/// Why a connection to a peer ended.
enum Disconnect {
    /// The peer no longer echoes the frames sent over it.
    Silent,
    /// The peer closed the connection, or it failed.
    Closed(io::Error),
}

/// The outgoing connection to one peer, and its replacements.
struct Link {
    shared: Arc<Shared>,
    id: u16,
    address: SocketAddr,
    random: Pcg64Mcg,
    /// A frame that was not sent completely over the last connection.
    unsent: Option<Frame>,
}

impl Link {
    /// Connects, and reconnects whenever the connection ends.
    async fn run(mut self) {
        let mut delay = MIN_RECONNECT_DELAY;
        loop {
            let (id, address) = (self.id, self.address);
            match self.connect().await {
                Ok(stream) => {
                    let connected_at = Instant::now();
                    match self.serve(stream).await {
                        Disconnect::Silent => {
                            self.shared.lock().record_redial(id);
                            let code = Code::ControlSilent;
                            log::warn!("event=redial code={code} peer={id} address={address}");
                            continue;
                        }
                        Disconnect::Closed(error) => {
                            log::debug!("event=connection_ended peer={id} error={error:?}");
                        }
                    }
                    if connected_at.elapsed() >= STABLE_AFTER {
                        delay = MIN_RECONNECT_DELAY;
                    }
                }
                Err(error) => {
                    log::debug!("event=dial_failed peer={id} address={address} error={error:?}");
                }
            }
            // The jitter keeps balancers that lose each other at the same moment from dialling at
            // the same moment too.
            sleep(delay.mul_f64(self.random.random_range(0.5..1.0))).await;
            delay = (delay * 2).min(MAX_RECONNECT_DELAY);
        }
    }

    async fn connect(&self) -> io::Result<TcpStream> {
        let stream = timeout(MAX_RECONNECT_DELAY, TcpStream::connect(self.address)).await??;
        stream.set_nodelay(true)?;
        self.shared.lock().record_connected(self.id);
        Ok(stream)
    }

    /// Sends over a connection until it ends.
    async fn serve(&mut self, stream: TcpStream) -> Disconnect {
        let jitter = self.random.random();
        let (reader, writer) = stream.into_split();
        let writer = FramedWrite::new(writer, codec());
        let (shared, id) = (Arc::clone(&self.shared), self.id);
        tokio::select! {
            error = self.send(writer) => Disconnect::Closed(error),
            error = wait_until_closed(reader) => Disconnect::Closed(error),
            () = wait_until_silent(&shared, id, jitter) => Disconnect::Silent,
        }
    }

    /// Sends the first frame and then queued messages and keepalives, until sending fails.
    async fn send(&mut self, mut writer: Writer) -> io::Error {
        if let Err(error) = self.send_opening(&mut writer).await {
            return error;
        }
        loop {
            if self.unsent.is_none() {
                self.unsent = self.shared.lock().next_frame(self.id);
            }
            let Some(frame) = &self.unsent else {
                self.wait_for_message().await;
                continue;
            };
            if let Err(error) = writer.send(frame.bytes.clone()).await {
                return error;
            }
            self.shared.lock().count_sent(self.id, frame.bytes.len());
            self.unsent = None;
        }
    }

    /// Sends the first frame of the connection, and seals the frame again that was not sent
    /// completely over the last one.
    async fn send_opening(&mut self, writer: &mut Writer) -> io::Result<()> {
        let opening_frame = self.shared.lock().opening_frame(self.id);
        if let Some(opening_frame) = opening_frame {
            writer.send(opening_frame.bytes.clone()).await?;
            self.shared
                .lock()
                .count_sent(self.id, opening_frame.bytes.len());
        }
        if let Some(frame) = self.unsent.take() {
            self.unsent = self.shared.lock().reseal(self.id, frame);
        }
        Ok(())
    }

    /// Waits until a message is queued, for one [`POLL_INTERVAL`] at most.
    async fn wait_for_message(&self) {
        let queued = self.shared.lock().queued(self.id);
        match queued {
            // After a timeout there may be room in the budget, or a keepalive may be due.
            Some(queued) => drop(timeout(POLL_INTERVAL, queued.notified()).await),
            None => sleep(POLL_INTERVAL).await,
        }
    }
}

/// Waits until the peer closes the connection. The peer sends nothing on it, so any data is an
/// error.
async fn wait_until_closed(mut reader: OwnedReadHalf) -> io::Error {
    let mut byte = [0];
    match reader.read(&mut byte).await {
        Ok(0) => io::ErrorKind::UnexpectedEof.into(),
        Ok(_) => io::ErrorKind::InvalidData.into(),
        Err(error) => error,
    }
}

/// Waits until the connection to a peer has gone silent.
async fn wait_until_silent(shared: &Shared, id: u16, jitter: f64) {
    loop {
        sleep(POLL_INTERVAL).await;
        if shared.lock().is_silent(id, jitter) {
            return;
        }
    }
}
