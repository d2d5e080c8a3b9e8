use std::io;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use acacia_accept::{Slot, listen};
use acacia_wire::collections::Map;
use acacia_wire::control::{self, Envelope, open};
use crossbeam_channel::{Sender, TrySendError};
use futures_util::StreamExt as _;
use serde::de::DeserializeOwned;
use tokio::net::{TcpListener, TcpStream};
use tokio_util::codec::FramedRead;
use tokio_util::sync::CancellationToken;

use crate::frame;
use crate::shared::Shared;
use crate::{Error, Payload, Received};

/// Accepts connections and receives frames from them, until `stop` is cancelled.
pub(crate) async fn run<T: DeserializeOwned + Send + 'static>(
    shared: Arc<Shared>,
    listener: TcpListener,
    inbox: Sender<Received<T>>,
    stop: CancellationToken,
) {
    let current = CurrentConnections::default();
    let next_number = AtomicU64::new(0);
    let limiter = Arc::clone(&shared.limiter);
    listen(listener, stop, limiter, |stream, slot| {
        let connection = Connection {
            number: next_number.fetch_add(1, Ordering::Relaxed),
            shared: Arc::clone(&shared),
            current: Arc::clone(&current),
            inbox: inbox.clone(),
            slot,
        };
        connection.serve(stream)
    })
    .await;
}

/// For each peer the connection over which its last frame arrived: the connection's number, and the
/// token that closes it.
type CurrentConnections = Arc<Mutex<Map<u16, (u64, CancellationToken)>>>;

/// An accepted connection. The other end is unknown until the first valid frame.
struct Connection<T> {
    number: u64,
    shared: Arc<Shared>,
    current: CurrentConnections,
    inbox: Sender<Received<T>>,
    slot: Arc<Slot>,
}

impl<T: DeserializeOwned> Connection<T> {
    /// Receives frames until the connection ends or the peer has replaced it by another.
    async fn serve(self, stream: TcpStream) {
        let replaced = CancellationToken::new();
        let mut frames = FramedRead::new(stream, frame::pending_codec());
        loop {
            let frame = tokio::select! {
                () = replaced.cancelled() => return,
                frame = frames.next() => frame,
            };
            match frame {
                Some(Ok(frame)) => {
                    if self.process(&frame, &replaced) {
                        frame::allow_long(frames.decoder_mut());
                    }
                }
                Some(Err(error)) => {
                    self.handle_read_error(&error);
                    return;
                }
                None => return,
            }
        }
    }

    /// Processes a frame; returns false if it is not valid.
    fn process(&self, frame: &[u8], replaced: &CancellationToken) -> bool {
        match open_frame(&self.shared, frame) {
            Ok((envelope, body)) => {
                self.slot.activate();
                self.close_previous(envelope.sender, replaced);
                if let Some(message) = body {
                    self.deliver(Received { envelope, message });
                }
                true
            }
            Err(error) => {
                self.shared.lock().count_refused(&error);
                false
            }
        }
    }

    /// Logs why reading failed, and counts a declared frame length above the limit as oversized.
    fn handle_read_error(&self, error: &io::Error) {
        if error.kind() == io::ErrorKind::InvalidData {
            let oversized = Error::Frame(control::Error::Oversized);
            self.shared.lock().count_refused(&oversized);
        }
        log::debug!("event=connection_ended error={error:?}");
    }

    /// Makes this the current connection of the sender and closes the one before. That one may have
    /// gone silent, so that the peer's close never reaches us and it would stay open for long.
    fn close_previous(&self, sender: u16, replaced: &CancellationToken) {
        let mut current = lock(&self.current);
        if let Some((number, previous)) = current.get(&sender) {
            if *number == self.number {
                return;
            }
            previous.cancel();
        }
        current.insert(sender, (self.number, replaced.clone()));
    }

    /// Passes a message to the application; drops and counts it if the channel is full.
    fn deliver(&self, received: Received<T>) {
        if let Err(TrySendError::Full(_)) = self.inbox.try_send(received) {
            self.shared.lock().stats.inbox_full += 1;
            log::warn!("event=inbox_full");
        }
    }
}

/// Authenticates, checks and decodes a frame.
fn open_frame<T: DeserializeOwned>(
    shared: &Shared,
    frame: &[u8],
) -> Result<(Envelope, Option<T>), Error> {
    let secret = shared.lock().secret.clone();
    let (envelope, payload) = open::<Payload>(frame, &secret)?;
    let body = shared
        .lock()
        .accept_frame(&envelope, payload, frame.len())?;
    let message = body.map(|body| postcard::from_bytes(&body)).transpose();
    let message = message.map_err(|_| Error::Frame(control::Error::Undecodable))?;
    Ok((envelope, message))
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
